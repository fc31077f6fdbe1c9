// Clients' requests about batch jobs: the calls of BatchJobService and the responses to the client.
#define BOOST_TEST_MODULE proxy_batch_requests
#include <boost/test/unit_test.hpp>

#include "proxy/proxy_fixture.h"

namespace proxy = shelflink::proxy;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::ProxyFixture;
using shelflink::ErrorCode;
using shelflink::MakeError;
using shelflink::Result;

namespace {

// A fake that records the last call and replies as configured.
class FakeBatchJobService : public proxy::BatchJobService {
 public:
  void Submit(const proxy::BatchCaller& caller, proxy::BatchSubmission submission,
              Reply<void> reply) override {
    last_call = "submit " + caller.tenant + ' ' + submission.job + ' ' + submission.json;
    SendReply(std::move(reply));
  }
  void Read(const proxy::BatchCaller& caller, const proxy::BatchRead& read,
            Reply<proxy::BatchPage> reply) override {
    last_call = "read " + caller.tenant + ' ' + read.job + ' ' + std::to_string(read.after) + ' ' +
                std::to_string(read.wait.count());
    if (error) return reply(*error);
    proxy::BatchPage page;
    page.total = 2;
    page.results = {{"i", true, "text"}};
    reply(page);
  }
  void Body(const proxy::BatchCaller& caller, const std::string& job, const std::string& item,
            Reply<std::string> reply) override {
    last_call = "body " + caller.tenant + ' ' + job + ' ' + item;
    if (error) return reply(*error);
    reply(std::string("\x01\x00raw", 5));
  }
  void End(const proxy::BatchCaller& caller, const std::string& job, Reply<void> reply) override {
    last_call = "end " + caller.tenant + ' ' + job;
    SendReply(std::move(reply));
  }

  std::string last_call;
  std::optional<shelflink::Error> error;
  std::vector<Reply<void>> pending;
  bool hold_replies = false;

 private:
  void SendReply(Reply<void> reply) {
    if (hold_replies) return pending.push_back(std::move(reply));
    if (error) return reply(*error);
    reply(BOOST_OUTCOME_V2_NAMESPACE::success());
  }
};

// A fixture whose batch route requires an API key.
struct BatchFixture {
  BatchFixture()
      : configuration(proxy_test::SampleConfiguration()),
        fixture(1, ConfigurationWithKeys(), 64 << 20, &batch) {}
  ~BatchFixture() { batch.pending.clear(); }  // They reference clients, which must not outlive it.
  BatchFixture(const BatchFixture&) = delete;
  BatchFixture& operator=(const BatchFixture&) = delete;
  static proxy_test::Configuration ConfigurationWithKeys() {
    auto with_keys = proxy_test::SampleConfiguration();
    with_keys.routes[5].is_public = false;
    with_keys.Index();
    return with_keys;
  }
  Message SendRequest(const std::string& line, const std::string& more = "",
                      const std::string& body = "") {
    auto client = fixture.SendRequest(
        line + " HTTP/1.1\r\nHost: a.example\r\nShelflink-Credential: key-1\r\n" + more +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    fixture.Run(milliseconds(50));
    return client->NextResponse();
  }
  FakeBatchJobService batch;
  proxy_test::Configuration configuration;
  ProxyFixture fixture;
};

}  // namespace

BOOST_AUTO_TEST_CASE(jobs_are_submitted_read_and_ended) {
  BatchFixture batch_fixture;
  BOOST_TEST(
      batch_fixture.SendRequest("POST /jobs/x", "Shelflink-Request-Id: j1\r\n", "{}").Status() ==
      202);
  BOOST_TEST(batch_fixture.batch.last_call == "submit ten j1 {}");
  const Message page =
      batch_fixture.SendRequest("GET /lots/j1?afterId=12", "Shelflink-Wait-Ms: 1000\r\n");
  BOOST_TEST(page.Status() == 200);
  BOOST_TEST(
      page.body ==
      R"({"total":2,"nextToken":13,"results":[{"id":"i","state":"completed","text":"text"}]})");
  BOOST_TEST(batch_fixture.batch.last_call == "read ten j1 12 1000");
  batch_fixture.SendRequest("GET /lots/j1");
  BOOST_TEST(batch_fixture.batch.last_call == "read ten j1 0 0");
  BOOST_TEST(batch_fixture.SendRequest("GET /items/j1?id=e5").body ==
             std::string("\x01\x00raw", 5));
  BOOST_TEST(batch_fixture.batch.last_call == "body ten j1 e5");
  BOOST_TEST(batch_fixture.SendRequest("DELETE /lots/j1").Status() == 200);
  BOOST_TEST(batch_fixture.batch.last_call == "end ten j1");
}

BOOST_AUTO_TEST_CASE(errors_become_statuses) {
  const std::vector<std::pair<ErrorCode, std::pair<int, int>>> errors = {
      {ErrorCode::kInvalid, {400, 400}},     {ErrorCode::kNotFound, {404, 404}},
      {ErrorCode::kTooLarge, {413, 413}},    {ErrorCode::kExhausted, {429, 429}},
      {ErrorCode::kUnavailable, {503, 503}}, {ErrorCode::kUnknown, {504, 503}},
      {ErrorCode::kStorage, {504, 503}},     {ErrorCode::kConflict, {504, 503}},
  };
  for (const auto& [code, statuses] : errors) {
    BOOST_TEST_CONTEXT(static_cast<int>(code)) {
      BatchFixture batch_fixture;
      batch_fixture.batch.error = MakeError(code, "why");
      BOOST_TEST(batch_fixture.SendRequest("POST /jobs/x", "Shelflink-Request-Id: j1\r\n", "{}")
                     .Status() == statuses.first);
      BOOST_TEST(batch_fixture.SendRequest("GET /lots/j1").Status() == statuses.second);
      BOOST_TEST(batch_fixture.SendRequest("DELETE /lots/j1").Status() == statuses.second);
      BOOST_TEST(batch_fixture.SendRequest("GET /items/j1?id=e").Status() == statuses.second);
    }
  }
}

BOOST_AUTO_TEST_CASE(invalid_requests_are_not_passed_on) {
  BatchFixture batch_fixture;
  BOOST_TEST(batch_fixture.SendRequest("POST /jobs/x", "", "{}").Status() == 400);
  BOOST_TEST(batch_fixture.SendRequest("GET /lots/j1?afterId=x").Status() == 400);
  BOOST_TEST(batch_fixture.SendRequest("GET /items/j1").Status() == 400);
  BOOST_TEST(batch_fixture.SendRequest("PUT /lots/j1").Status() == 400);
  BOOST_TEST(batch_fixture.SendRequest("GET /jobs/x").Status() == 400);
  BOOST_TEST(batch_fixture.batch.last_call.empty());
  auto keyless =
      batch_fixture.fixture.SendRequest("GET /lots/j1 HTTP/1.1\r\nHost: a.example\r\n\r\n");
  batch_fixture.fixture.Run(milliseconds(50));
  BOOST_TEST(keyless->NextResponse().Status() == 401);
  auto elsewhere =
      batch_fixture.fixture.SendRequest("GET /lots/j1 HTTP/1.1\r\nHost: b.example\r\n\r\n");
  batch_fixture.fixture.Run(milliseconds(50));
  BOOST_TEST(elsewhere->NextResponse().Status() == 404);
  BOOST_TEST(batch_fixture.batch.last_call.empty());
}

BOOST_AUTO_TEST_CASE(a_reply_after_the_client_has_disconnected_is_ignored) {
  BatchFixture batch_fixture;
  batch_fixture.batch.hold_replies = true;
  auto client = batch_fixture.fixture.SendRequest(
      "POST /jobs/x HTTP/1.1\r\nHost: a.example\r\nShelflink-Credential: key-1\r\n"
      "Shelflink-Request-Id: j1\r\nContent-Length: 2\r\n\r\n{}");
  batch_fixture.fixture.Run(milliseconds(50));
  BOOST_REQUIRE(batch_fixture.batch.pending.size() == 1U);
  client->Disconnect();
  batch_fixture.fixture.Run(milliseconds(50));
  batch_fixture.batch.pending.front()(BOOST_OUTCOME_V2_NAMESPACE::success());
  batch_fixture.fixture.Run(milliseconds(50));
  BOOST_TEST(client->received.empty());
}
