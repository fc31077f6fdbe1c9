// The platform's calls over loopback: against a stand-in by libsoup, and against a listener that
// answers whatever bytes the scene wants. Nothing sleeps; scenes run the loop until they are done.
#define BOOST_TEST_MODULE soup_platform
#include "tier/platform/soup_platform.h"

#include <libsoup/soup.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/glib_loop.h"
#include "tier/platform/call_timeout.h"

namespace shelflink::platform {
namespace {

using std::chrono::milliseconds;

const net::Address kAnyPort = net::Address::V4(0x7f000001, 0);
constexpr auto kPatience = std::chrono::seconds(10);  // A scene that takes longer has failed.
constexpr milliseconds kShortTimeout{60};

struct Loop {
  void RunUntil(const std::function<bool()>& done) {
    const net::Time limit = loop.Now() + kPatience;
    const net::TimerPtr guard = loop.NewTimer([] {});
    guard->ArmAt(limit);
    while (!done()) {
      BOOST_REQUIRE(loop.Now() < limit);
      g_main_context_iteration(nullptr, TRUE);
    }
  }
  net::GlibLoop loop;
};

// Answers each request with the next of `answers`, the last one again and again.
struct StandIn {
  struct Answer {
    guint status = 200;
    std::string body;
    std::string retry_after;
    bool hold = false;  // Answers only when released.
  };
  struct Request {
    std::string method;
    std::string target;
    std::string body;
    std::string holder;
    std::string fence;
    std::string connection;  // Its client's address.
  };

  StandIn() {
    server = soup_server_new("server-header", nullptr, nullptr);
    soup_server_add_handler(server, nullptr, OnRequest, this, nullptr);
    GError* error = nullptr;
    BOOST_REQUIRE(soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error));
    GSList* uris = soup_server_get_uris(server);
    const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
    address = net::Address::V4(0x7f000001, static_cast<std::uint16_t>(port));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  }
  ~StandIn() {
    for (SoupServerMessage* message : held) g_object_unref(message);
    soup_server_disconnect(server);
    g_object_unref(server);
  }
  // Lets the newest answer that was held go.
  void Release() {
    if (!held.empty()) soup_server_message_unpause(held.back());
  }
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  static std::string Header(SoupServerMessage* message, const char* name) {
    const char* value =
        soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
    return value == nullptr ? "" : value;
  }

  static void OnRequest(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                        gpointer data) {
    auto* self = static_cast<StandIn*>(data);
    GUri* uri = soup_server_message_get_uri(message);
    const char* query = g_uri_get_query(uri);
    const SoupMessageBody* body = soup_server_message_get_request_body(message);
    Request request;
    request.method = soup_server_message_get_method(message);
    request.target = std::string(g_uri_get_path(uri)) + (query == nullptr ? "" : "?") +
                     (query == nullptr ? "" : query);
    if (body->data != nullptr)
      request.body.assign(body->data, static_cast<std::size_t>(body->length));
    request.holder = Header(message, "Shelflink-Duty-Holder");
    request.fence = Header(message, "Shelflink-Fence-Token");
    char* peer = g_socket_connectable_to_string(
        G_SOCKET_CONNECTABLE(soup_server_message_get_remote_address(message)));
    request.connection = peer;
    g_free(peer);
    self->requests.push_back(request);
    const std::size_t index = std::min(self->requests.size(), self->answers.size()) - 1;
    const Answer& answer = self->answers[index];
    if (answer.hold) {
      soup_server_message_pause(message);
      self->held.push_back(static_cast<SoupServerMessage*>(g_object_ref(message)));
    }
    soup_server_message_set_status(message, answer.status, nullptr);
    if (!answer.retry_after.empty()) {
      soup_message_headers_append(soup_server_message_get_response_headers(message), "Retry-After",
                                  answer.retry_after.c_str());
    }
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY,
                                     answer.body.data(), answer.body.size());
  }

  SoupServer* server = nullptr;
  net::Address address;
  std::vector<Answer> answers;
  std::vector<Request> requests;
  std::vector<SoupServerMessage*> held;
};

struct Scene : Loop {
  // Runs one call to its end.
  CallResult<InstancePage> List(Platform& platform, const ListRequest& request = {}) {
    std::optional<CallResult<InstancePage>> got;
    platform.List(request, [&](CallResult<InstancePage> result) {
      BOOST_REQUIRE(!got.has_value());
      got = std::move(result);
    });
    BOOST_REQUIRE(!got.has_value());  // Not from inside.
    RunUntil([&] { return got.has_value(); });
    return *got;
  }
  CallResult<void> Report(Platform& platform, const UsageReport& report, const DutyHolder& holder) {
    std::optional<CallResult<void>> got;
    platform.ReportUsage(report, holder, [&](CallResult<void> result) { got = std::move(result); });
    RunUntil([&] { return got.has_value(); });
    return *got;
  }
  ErrorCode ListError(Platform& platform) {
    const auto result = List(platform);
    BOOST_REQUIRE(!result.has_value());
    return result.error().code;
  }
};

const std::string kPage =
    R"({"instances":[{"service":"s","address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready",)"
    R"("coldLeftMs":0,"id":"i"}],"nextToken":null})";

BOOST_FIXTURE_TEST_SUITE(soup_platform, Scene)

BOOST_AUTO_TEST_CASE(lists_pages_over_one_connection) {
  StandIn stand_in;
  stand_in.answers = {{200, kPage, "", false}};
  SoupPlatform platform(stand_in.address);
  const auto page = List(platform);
  BOOST_REQUIRE(page.has_value());
  BOOST_REQUIRE(page.value().entries.size() == 1U);
  BOOST_TEST(page.value().entries[0].id == "i");
  BOOST_TEST(List(platform, {"zone a", "p/5&0"}).has_value());
  BOOST_TEST(List(platform, {"", "p"}).has_value());
  BOOST_REQUIRE(stand_in.requests.size() == 3U);
  BOOST_TEST(stand_in.requests[0].target == "/instances");
  BOOST_TEST(stand_in.requests[1].target == "/instances?zone=zone%20a&pageToken=p%2F5%260");
  BOOST_TEST(stand_in.requests[2].target == "/instances?pageToken=p");
  BOOST_TEST(stand_in.requests[0].connection == stand_in.requests[2].connection);
}

BOOST_AUTO_TEST_CASE(duties_carry_their_holder_and_fence) {
  StandIn stand_in;
  stand_in.answers = {{200, "", "", false}};
  SoupPlatform platform(stand_in.address);
  const UsageReport report{353445120, {{"a \"b\"", 412}, {"c", 0}}};
  BOOST_TEST(Report(platform, report, {"edge-1", 12}).has_value());
  BOOST_TEST(stand_in.requests[0].method == "POST");
  BOOST_TEST(stand_in.requests[0].target == "/usage");
  BOOST_TEST(stand_in.requests[0].body == R"({"window":353445120,"counts":{"a \"b\"":412,"c":0}})");
  BOOST_TEST(stand_in.requests[0].holder == "edge-1");
  BOOST_TEST(stand_in.requests[0].fence == "12");
  std::optional<CallResult<void>> scaled;
  platform.Scale({"s", "z", 6}, {"edge-1", 18446744073709551615U},
                 [&](CallResult<void> result) { scaled = std::move(result); });
  RunUntil([&] { return scaled.has_value(); });
  BOOST_TEST(scaled->has_value());
  BOOST_TEST(stand_in.requests[1].target == "/scale");
  BOOST_TEST(stand_in.requests[1].body == R"({"service":"s","zone":"z","desired":6})");
  BOOST_TEST(stand_in.requests[1].fence == "18446744073709551615");
}

BOOST_AUTO_TEST_CASE(each_status_has_its_error) {
  StandIn stand_in;
  SoupPlatform platform(stand_in.address);
  const std::vector<std::pair<guint, ErrorCode>> cases = {
      {429, ErrorCode::kExhausted}, {409, ErrorCode::kConflict}, {503, ErrorCode::kUnavailable},
      {500, ErrorCode::kUnknown},   {504, ErrorCode::kUnknown},  {400, ErrorCode::kInvalid},
      {404, ErrorCode::kInvalid},   {204, ErrorCode::kInvalid},  {307, ErrorCode::kInvalid},
  };
  for (const auto& [status, code] : cases) {
    BOOST_TEST_CONTEXT(status) {
      stand_in.answers = {{status, "", "", false}};
      BOOST_TEST((ListError(platform) == code));
      const auto report = Report(platform, {1, {}}, {"n", 1});
      BOOST_REQUIRE(!report.has_value());
      BOOST_TEST((report.error().code == code));
    }
  }
}

BOOST_AUTO_TEST_CASE(the_platforms_advice_is_told) {
  StandIn stand_in;
  SoupPlatform platform(stand_in.address);
  const std::vector<std::pair<std::string, std::optional<milliseconds>>> cases = {
      {"0.25", milliseconds(250)}, {"2", milliseconds(2000)}, {"", std::nullopt},
      {"soon", std::nullopt},      {"-1", std::nullopt},      {"1e9", std::nullopt}};
  for (const auto& [text, wanted] : cases) {
    BOOST_TEST_CONTEXT(text) {
      stand_in.answers = {{429, "", text, false}};
      const auto result = List(platform);
      BOOST_REQUIRE(!result.has_value());
      BOOST_TEST((result.error().retry_after == wanted));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_page_that_cannot_be_used_is_invalid_with_its_findings) {
  StandIn stand_in;
  SoupPlatform platform(stand_in.address);
  std::string malformed = kPage;
  malformed.replace(malformed.find("\"ready\""), 7, "\"asleep\"");
  for (const std::string& body :
       {std::string("not JSON"), kPage.substr(0, 40), malformed, std::string()}) {
    stand_in.answers = {{200, body, "", false}};
    BOOST_TEST((ListError(platform) == ErrorCode::kInvalid));
  }
  stand_in.answers = {{200, malformed, "", false}};
  BOOST_TEST(List(platform).error().text.find("instances[0].state") != std::string::npos);
  stand_in.answers = {{200, kPage, "", false}};
  BOOST_TEST(List(platform).has_value());
}

BOOST_AUTO_TEST_CASE(silence_is_unknown_after_its_time_and_the_next_call_goes_on) {
  StandIn stand_in;
  stand_in.answers = {{200, "", "", true}, {200, kPage, "", false}};
  SoupPlatform platform(stand_in.address, kShortTimeout);
  BOOST_TEST((ListError(platform) == ErrorCode::kUnknown));
  BOOST_TEST(List(platform).has_value());
}

BOOST_AUTO_TEST_CASE(the_time_of_a_call_grows_with_silences_and_follows_answers) {
  CallTimeout timeout(milliseconds(1000));
  BOOST_TEST((timeout.current() == milliseconds(1000)));
  timeout.OnSilence();
  BOOST_TEST((timeout.current() == milliseconds(2000)));
  timeout.OnSilence();
  timeout.OnSilence();
  BOOST_TEST((timeout.current() == milliseconds(4000)));
  timeout.OnAnswer(milliseconds(1200));
  BOOST_TEST((timeout.current() == milliseconds(2400)));
  timeout.OnAnswer(milliseconds(3000));
  BOOST_TEST((timeout.current() == milliseconds(4000)));
  timeout.OnAnswer(milliseconds(5));
  BOOST_TEST((timeout.current() == milliseconds(1000)));
}

// Three times as slow as the least time-out: the first call is given up, a later one answered.
BOOST_AUTO_TEST_CASE(a_platform_that_is_slow_gets_to_answer) {
  StandIn stand_in;
  stand_in.answers = {{200, kPage, "", true}};
  SoupPlatform platform(stand_in.address, kShortTimeout);
  int silences = 0;
  std::optional<CallResult<InstancePage>> got;
  const net::TimerPtr slow = loop.NewTimer([&] { stand_in.Release(); });
  while (!got || !*got) {
    BOOST_REQUIRE(silences < 5);
    got.reset();
    platform.List({}, [&](CallResult<InstancePage> result) { got = std::move(result); });
    slow->ArmAt(loop.Now() + kShortTimeout * 3);
    RunUntil([&] { return got.has_value(); });
    if (!*got) ++silences;
  }
  BOOST_TEST(silences >= 1);
}

BOOST_AUTO_TEST_CASE(nobody_there_is_unknown) {
  net::Address address;
  {
    const net::ListenerPtr listener = loop.Listen(kAnyPort);
    address = listener->address();
  }
  SoupPlatform platform(address, kShortTimeout);
  BOOST_TEST((ListError(platform) == ErrorCode::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_platform_that_is_gone_tells_nobody) {
  StandIn stand_in;
  stand_in.answers = {{200, kPage, "", true}};
  bool told = false;
  {
    SoupPlatform platform(stand_in.address, kShortTimeout);
    platform.List({}, [&](const CallResult<InstancePage>&) { told = true; });
    platform.ReportUsage({1, {}}, {"n", 1}, [&](const CallResult<void>&) { told = true; });
    RunUntil([&] { return !stand_in.requests.empty(); });
  }
  bool over = false;
  const net::TimerPtr timer = loop.NewTimer([&] { over = true; });
  timer->ArmAt(loop.Now() + kShortTimeout * 2);
  RunUntil([&] { return over; });
  BOOST_TEST(!told);
}

BOOST_AUTO_TEST_CASE(the_platform_may_be_let_go_by_its_own_answer) {
  StandIn stand_in;
  stand_in.answers = {{200, kPage, "", false}};
  auto platform = std::make_unique<SoupPlatform>(stand_in.address);
  platform->List({}, [&](const CallResult<InstancePage>&) { platform.reset(); });
  RunUntil([&] { return platform == nullptr; });
  for (int i = 0; i < 20; ++i) g_main_context_iteration(nullptr, FALSE);
}

// Takes each connection in, reads a request of it and writes `bytes`; then closes it or stays.
struct RawServer {
  struct Connection : net::StreamUser {
    void OnBytes(std::string_view) override {
      if (!answered) stream->Write(server->bytes);
      answered = true;
      if (server->close_after) {
        stream->Close();
      } else {
        stream->Receive();
      }
    }
    void OnEnd(net::Fault) override {}
    RawServer* server = nullptr;
    net::StreamPtr stream;
    bool answered = false;
  };

  explicit RawServer(net::Loop& loop) : listener(loop.Listen(kAnyPort)) { Accept(); }
  void Accept() {
    listener->Accept([this](net::Fault fault, net::StreamPtr stream) {
      if (fault != net::Fault::kNone) return;
      auto connection = std::make_unique<Connection>();
      connection->server = this;
      connection->stream = std::move(stream);
      connection->stream->SetUser(*connection);
      connection->stream->Receive();
      connections.push_back(std::move(connection));
      Accept();
    });
  }

  net::ListenerPtr listener;
  std::vector<std::unique_ptr<Connection>> connections;
  std::string bytes;
  bool close_after = true;
};

BOOST_AUTO_TEST_CASE(answers_that_are_none_are_unknown) {
  RawServer server(loop);
  SoupPlatform platform(server.listener->address(), kShortTimeout);
  const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPage.size());
  const std::vector<std::string> answers = {
      "",
      "garbage\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Le",
      length + "\r\n\r\n",
      length + "\r\n\r\n" + kPage.substr(0, 30),
  };
  for (const bool close_after : {true, false}) {
    for (const std::string& answer : answers) {
      BOOST_TEST_CONTEXT((close_after ? "closed " : "held ") << answer) {
        server.bytes = answer;
        server.close_after = close_after;
        BOOST_TEST((ListError(platform) == ErrorCode::kUnknown));
      }
    }
  }
  server.bytes = length + "\r\n\r\n" + kPage;
  BOOST_TEST(List(platform).has_value());
}

// libsoup reads the end of the connection as the end of the chunks; the JSON tells that it is cut.
BOOST_AUTO_TEST_CASE(a_chunked_answer_that_is_cut_is_no_page) {
  RawServer server(loop);
  SoupPlatform platform(server.listener->address(), kShortTimeout);
  server.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"ins";
  BOOST_TEST((ListError(platform) == ErrorCode::kInvalid));
  server.close_after = false;
  BOOST_TEST((ListError(platform) == ErrorCode::kUnknown));
}

BOOST_AUTO_TEST_CASE(an_answer_without_end_is_cut_off_at_the_bound) {
  StandIn stand_in;
  stand_in.answers = {{200, std::string(kLargestAnswer + 1, ' '), "", false},
                      {200, kPage, "", false}};
  SoupPlatform platform(stand_in.address, std::chrono::seconds(8));
  BOOST_TEST((ListError(platform) == ErrorCode::kTooLarge));
  BOOST_TEST(List(platform).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace shelflink::platform
