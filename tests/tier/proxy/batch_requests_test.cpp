// Clients' requests about batch jobs: what the batch part is asked, and what goes back.
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

// A batch part that keeps what it was asked and answers as it is told to.
class Batch : public proxy::BatchJobService {
 public:
  void Submit(const proxy::BatchCaller& caller, proxy::BatchSubmission submission,
              Reply<void> reply) override {
    asked = "submit " + caller.tenant + ' ' + submission.job + ' ' + submission.json;
    Answer(std::move(reply));
  }
  void Read(const proxy::BatchCaller& caller, const proxy::BatchRead& read,
            Reply<proxy::BatchPage> reply) override {
    asked = "read " + caller.tenant + ' ' + read.job + ' ' + std::to_string(read.after) + ' ' +
            std::to_string(read.wait.count());
    if (error) return reply(*error);
    proxy::BatchPage page;
    page.total = 2;
    page.results = {{"i", true, "text"}};
    reply(page);
  }
  void Body(const proxy::BatchCaller& caller, const std::string& job, const std::string& item,
            Reply<std::string> reply) override {
    asked = "body " + caller.tenant + ' ' + job + ' ' + item;
    if (error) return reply(*error);
    reply(std::string("\x01\x00raw", 5));
  }
  void End(const proxy::BatchCaller& caller, const std::string& job, Reply<void> reply) override {
    asked = "end " + caller.tenant + ' ' + job;
    Answer(std::move(reply));
  }

  std::string asked;
  std::optional<shelflink::Error> error;
  std::vector<Reply<void>> kept;
  bool keep = false;

 private:
  void Answer(Reply<void> reply) {
    if (keep) return kept.push_back(std::move(reply));
    if (error) return reply(*error);
    reply(BOOST_OUTCOME_V2_NAMESPACE::success());
  }
};

struct Desk {
  Desk()
      : configuration(proxy_test::SampleConfiguration()), fixture(1, Keyed(), 64 << 20, &batch) {}
  ~Desk() { batch.kept.clear(); }  // They hold clients, which must not outlive the fixture.
  Desk(const Desk&) = delete;
  Desk& operator=(const Desk&) = delete;
  static proxy_test::Configuration Keyed() {
    auto keyed = proxy_test::SampleConfiguration();
    keyed.routes[5].is_public = false;
    keyed.Index();
    return keyed;
  }
  Message SendRequest(const std::string& line, const std::string& more = "",
                      const std::string& body = "") {
    auto client = fixture.SendRequest(
        line + " HTTP/1.1\r\nHost: a.example\r\nShelflink-Credential: key-1\r\n" + more +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    fixture.Run(milliseconds(50));
    return client->NextResponse();
  }
  Batch batch;
  proxy_test::Configuration configuration;
  ProxyFixture fixture;
};

}  // namespace

BOOST_AUTO_TEST_CASE(jobs_are_submitted_read_and_ended) {
  Desk desk;
  BOOST_TEST(desk.SendRequest("POST /jobs/x", "Shelflink-Request-Id: j1\r\n", "{}").Status() ==
             202);
  BOOST_TEST(desk.batch.asked == "submit ten j1 {}");
  const Message page = desk.SendRequest("GET /lots/j1?afterId=12", "Shelflink-Wait-Ms: 1000\r\n");
  BOOST_TEST(page.Status() == 200);
  BOOST_TEST(
      page.body ==
      R"({"total":2,"nextToken":13,"results":[{"id":"i","state":"completed","text":"text"}]})");
  BOOST_TEST(desk.batch.asked == "read ten j1 12 1000");
  desk.SendRequest("GET /lots/j1");
  BOOST_TEST(desk.batch.asked == "read ten j1 0 0");
  BOOST_TEST(desk.SendRequest("GET /items/j1?id=e5").body == std::string("\x01\x00raw", 5));
  BOOST_TEST(desk.batch.asked == "body ten j1 e5");
  BOOST_TEST(desk.SendRequest("DELETE /lots/j1").Status() == 200);
  BOOST_TEST(desk.batch.asked == "end ten j1");
}

BOOST_AUTO_TEST_CASE(errors_become_statuses) {
  const std::vector<std::pair<ErrorCode, std::pair<int, int>>> all = {
      {ErrorCode::kInvalid, {400, 400}},     {ErrorCode::kNotFound, {404, 404}},
      {ErrorCode::kTooLarge, {413, 413}},    {ErrorCode::kExhausted, {429, 429}},
      {ErrorCode::kUnavailable, {503, 503}}, {ErrorCode::kUnknown, {504, 503}},
      {ErrorCode::kStorage, {504, 503}},     {ErrorCode::kConflict, {504, 503}},
  };
  for (const auto& [code, statuses] : all) {
    BOOST_TEST_CONTEXT(static_cast<int>(code)) {
      Desk desk;
      desk.batch.error = MakeError(code, "why");
      BOOST_TEST(desk.SendRequest("POST /jobs/x", "Shelflink-Request-Id: j1\r\n", "{}").Status() ==
                 statuses.first);
      BOOST_TEST(desk.SendRequest("GET /lots/j1").Status() == statuses.second);
      BOOST_TEST(desk.SendRequest("DELETE /lots/j1").Status() == statuses.second);
      BOOST_TEST(desk.SendRequest("GET /items/j1?id=e").Status() == statuses.second);
    }
  }
}

BOOST_AUTO_TEST_CASE(what_cannot_be_used_is_not_asked) {
  Desk desk;
  BOOST_TEST(desk.SendRequest("POST /jobs/x", "", "{}").Status() == 400);
  BOOST_TEST(desk.SendRequest("GET /lots/j1?afterId=x").Status() == 400);
  BOOST_TEST(desk.SendRequest("GET /items/j1").Status() == 400);
  BOOST_TEST(desk.SendRequest("PUT /lots/j1").Status() == 400);
  BOOST_TEST(desk.SendRequest("GET /jobs/x").Status() == 400);
  BOOST_TEST(desk.batch.asked.empty());
  auto keyless = desk.fixture.SendRequest("GET /lots/j1 HTTP/1.1\r\nHost: a.example\r\n\r\n");
  desk.fixture.Run(milliseconds(50));
  BOOST_TEST(keyless->NextResponse().Status() == 401);
  auto elsewhere = desk.fixture.SendRequest("GET /lots/j1 HTTP/1.1\r\nHost: b.example\r\n\r\n");
  desk.fixture.Run(milliseconds(50));
  BOOST_TEST(elsewhere->NextResponse().Status() == 404);
  BOOST_TEST(desk.batch.asked.empty());
}

BOOST_AUTO_TEST_CASE(an_answer_that_comes_after_its_client_left_harms_nobody) {
  Desk desk;
  desk.batch.keep = true;
  auto client = desk.fixture.SendRequest(
      "POST /jobs/x HTTP/1.1\r\nHost: a.example\r\nShelflink-Credential: key-1\r\n"
      "Shelflink-Request-Id: j1\r\nContent-Length: 2\r\n\r\n{}");
  desk.fixture.Run(milliseconds(50));
  BOOST_REQUIRE(desk.batch.kept.size() == 1U);
  client->Disconnect();
  desk.fixture.Run(milliseconds(50));
  desk.batch.kept.front()(BOOST_OUTCOME_V2_NAMESPACE::success());
  desk.fixture.Run(milliseconds(50));
  BOOST_TEST(client->received.empty());
}
