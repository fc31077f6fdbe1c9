// The table of docs/design/proxy-ends.md: states of a connection to an endpoint, times events on
// it. One request (`subject`) is brought into each state, then the event happens. A second request
// (`ahead`) is pipelined after it on the client's connection and must get its own response.
#define BOOST_TEST_MODULE proxy_exchange_table
#include <boost/test/unit_test.hpp>

#include "proxy/proxy_fixture.h"

using proxy_test::Client;
using proxy_test::Endpoint;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::ProxyFixture;
using proxy_test::Request;
using Connection = Endpoint::Connection;

namespace {

enum class State { kHalfWritten, kWritten, kHeadHalfRead, kBodyHalfRead, kPartsHalfRead };
enum class Event {
  kResponse,         // The rest of the response, after the request has been read.
  kEarlyResponse,    // The whole response before the request's body is read; it is read later.
  kEarlyHalf,        // Half of the response before the body is read; then a reset.
  kEarlyBegin,       // The start of the response before the body is read, the rest afterwards.
  kFailure,          // A 500 of the endpoint; early if the request is not completely written.
  kNotRun,           // 503 with Shelflink-Not-Run; early if the request is not completely written.
  kForeignResponse,  // A surplus response to another request, before the right one.
  kSecondResponse,   // The right response twice.
  kInterim,          // A 1xx response before the final one.
  kGarbage,
  kReset,
  kEnd,
  kSilence,
};

// Result for the client: a status, or kCut if the response is truncated.
constexpr int kCut = 0;
struct Result {
  int status = 0;
  bool elsewhere = false;  // The request was also sent to another endpoint.
};

struct Cell {
  State state;
  Event event;
  Result non_idempotent;  // On a route whose requests may be executed at most once.
  Result idempotent;      // On an idempotent route.
  bool reusable;          // The connection may carry another request.
};

constexpr Result kFromFirst{200, false};
constexpr Result kFromOther{200, true};
constexpr Result kBadGateway{502, false};
constexpr Result kGatewayTimeout{504, false};

// clang-format off
const std::vector<Cell> kTable = {
  // The request's body is not completely written.
  {State::kHalfWritten, Event::kResponse,        kFromFirst, kFromFirst, true},
  {State::kHalfWritten, Event::kEarlyResponse,   kFromFirst, kFromFirst, false},
  {State::kHalfWritten, Event::kEarlyHalf,       kBadGateway,   kFromOther, false},
  {State::kHalfWritten, Event::kEarlyBegin,      kFromFirst, kFromFirst, false},
  {State::kHalfWritten, Event::kFailure,         {500, false}, kFromOther, false},
  {State::kHalfWritten, Event::kNotRun,          kFromOther, kFromOther, false},
  {State::kHalfWritten, Event::kForeignResponse, kFromFirst, kFromFirst, false},
  {State::kHalfWritten, Event::kInterim,         kFromFirst, kFromFirst, true},
  {State::kHalfWritten, Event::kGarbage,         kBadGateway,   kFromOther, false},
  {State::kHalfWritten, Event::kReset,           kFromOther, kFromOther, false},
  {State::kHalfWritten, Event::kEnd,             kFromOther, kFromOther, false},
  {State::kHalfWritten, Event::kSilence,         {503, false}, kFromOther, false},
  // The request is written, and no part of the response has been received.
  {State::kWritten, Event::kResponse,        kFromFirst, kFromFirst, true},
  {State::kWritten, Event::kFailure,         {500, false}, kFromOther, true},
  {State::kWritten, Event::kNotRun,          kFromOther, kFromOther, true},
  {State::kWritten, Event::kForeignResponse, kFromFirst, kFromFirst, false},
  {State::kWritten, Event::kSecondResponse,  kFromFirst, kFromFirst, false},
  {State::kWritten, Event::kInterim,         kFromFirst, kFromFirst, true},
  {State::kWritten, Event::kGarbage,         kBadGateway,   kFromOther, false},
  {State::kWritten, Event::kReset,           kBadGateway,   kFromOther, false},
  {State::kWritten, Event::kEnd,             kBadGateway,   kFromOther, false},
  {State::kWritten, Event::kSilence,         kGatewayTimeout,  kFromOther, false},
  // A part of the response's head has been received.
  {State::kHeadHalfRead, Event::kResponse,        kFromFirst, kFromFirst, true},
  {State::kHeadHalfRead, Event::kSecondResponse,  kFromFirst, kFromFirst, false},
  {State::kHeadHalfRead, Event::kGarbage,         kBadGateway,   kFromOther, false},
  {State::kHeadHalfRead, Event::kReset,           kBadGateway,   kFromOther, false},
  {State::kHeadHalfRead, Event::kEnd,             kBadGateway,   kFromOther, false},
  {State::kHeadHalfRead, Event::kSilence,         kGatewayTimeout,  kFromOther, false},
  // A part of the response's body has been received and is buffered.
  {State::kBodyHalfRead, Event::kResponse,        kFromFirst, kFromFirst, true},
  {State::kBodyHalfRead, Event::kSecondResponse,  kFromFirst, kFromFirst, false},
  {State::kBodyHalfRead, Event::kReset,           kBadGateway,   kFromOther, false},
  {State::kBodyHalfRead, Event::kEnd,             kBadGateway,   kFromOther, false},
  {State::kBodyHalfRead, Event::kSilence,         kGatewayTimeout,  kFromOther, false},
  // A part of the response's body has been received and forwarded to the client.
  {State::kPartsHalfRead, Event::kResponse,        kFromFirst, kFromFirst, true},
  {State::kPartsHalfRead, Event::kSecondResponse,  kFromFirst, kFromFirst, false},
  {State::kPartsHalfRead, Event::kReset,           {kCut, false}, {kCut, false}, false},
  {State::kPartsHalfRead, Event::kEnd,             {kCut, false}, {kCut, false}, false},
  {State::kPartsHalfRead, Event::kSilence,         {kCut, false}, {kCut, false}, false},
};
// clang-format on

// More bytes than a connection buffers while the peer does not read.
constexpr std::size_t kLongBody = 400'000;

// A fixture whose first endpoint has received the request `subject` and is in the given state.
class Exchange {
 public:
  Exchange(State state, const std::string& path) : state_(state) {
    first_ = &fixture.Add(
        [this](Connection& connection, const Message& request) { Serve(connection, request); });
    first_->on_head = [this](Connection& connection, const Message& request) {
      if (request.Value("Shelflink-Request-Id") != "subject") return;
      Capture(connection, request);
      connection.PauseReading();
    };
    auto warm = fixture.SendRequest(Request("/post/a", "warm"));
    fixture.Run(milliseconds(50));
    const bool long_body = state == State::kHalfWritten;
    client = fixture.SendRequest(
        Request(path, "subject", "", std::string(long_body ? kLongBody : 6, 'p')) +
        PipelinedRequest());
    fixture.Run(milliseconds(50));
    BOOST_REQUIRE(connection_ != nullptr);
    BOOST_REQUIRE(first_->connections == 1U);  // Reuses the connection of `warm`.
    if (state == State::kHalfWritten) BOOST_REQUIRE(connection_->request_count() == 1U);
    second_ = &fixture.Add([](Connection& connection, const Message& request) {
      connection.Write(Endpoint::Response(request, BodyOf("second", request)));
    });
    response_ = Endpoint::Response(request_, Body());
    WriteUntil(InitialBytes(state));
    fixture.Run(milliseconds(50));
  }

  // A request that is pipelined after the subject. It has no deadline, so it outlasts the subject.
  static std::string PipelinedRequest() {
    return "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: ahead\r\n"
           "Content-Length: 0\r\n\r\n";
  }

  void Trigger(Event event) {
    switch (event) {
      case Event::kResponse:
        if (state_ == State::kHalfWritten) return connection_->ResumeReading();
        return WriteUntil(response_.size());
      case Event::kEarlyResponse:
        connection_->Write(response_);
        return ResumeReadingLater();
      case Event::kEarlyHalf:
        connection_->Write(response_.substr(0, response_.size() / 2));
        return first_->RunAfter(milliseconds(20), [this] { connection_->Reset(); });
      case Event::kEarlyBegin:
        connection_->Write(response_.substr(0, 20));
        written_ = 20;
        return first_->RunAfter(milliseconds(200), [this] { connection_->ResumeReading(); });
      case Event::kFailure:
        connection_->Write(Endpoint::Response(request_, "why", 500));
        return ResumeReadingLater();
      case Event::kNotRun:
        connection_->Write(Endpoint::NotRunResponse(request_));
        return ResumeReadingLater();
      case Event::kForeignResponse:
        connection_->Write(Endpoint::Response(RequestOfWarm(), "foreign"));
        return Trigger(Event::kResponse);
      case Event::kSecondResponse:
        connection_->Write(response_.substr(written_) + response_);
        return;
      case Event::kInterim:
        connection_->Write("HTTP/1.1 103 Early\r\nX-Hint: a\r\n\r\n");
        return Trigger(Event::kResponse);
      case Event::kGarbage:
        return connection_->Write("\x01 no answer\r\n\r\n");
      case Event::kReset:
        return connection_->Reset();
      case Event::kEnd:
        return connection_->Close();
      case Event::kSilence:
        return;
    }
  }

  // Sends a further request, for which only the first endpoint is available.
  Message SendAnotherRequest() {
    second_->draining = true;
    fixture.PublishEndpoints();
    auto after = fixture.SendRequest(Request("/post/a", "after"));
    fixture.Run(milliseconds(100));
    return after->NextResponse();
  }

  const Connection& connection() const { return *connection_; }
  std::size_t CountSentElsewhere() const {
    return static_cast<std::size_t>(std::count_if(
        second_->requests.begin(), second_->requests.end(),
        [](const Message& one) { return one.Value("Shelflink-Request-Id") == "subject"; }));
  }
  // Checks that nothing but the subject's own body was written after its head.
  void CheckWritten() const {
    const std::string& text = connection_->received();
    const std::size_t body = text.find("\r\n\r\n", text.find("subject")) + 4;
    if (state_ != State::kHalfWritten || connection_->request_count() > 1) return;
    BOOST_TEST(text.find_first_not_of('p', body) == std::string::npos);
  }
  static std::string BodyOf(const std::string& who, const Message& request) {
    return who + ":" + request.Value("Shelflink-Request-Id");
  }
  std::string Body() const {
    if (state_ != State::kPartsHalfRead) return BodyOf("first", request_);
    return std::string(200'000, 'b');
  }

  ProxyFixture fixture;
  std::unique_ptr<Client> client;

 private:
  void Serve(Connection& connection, const Message& request) {
    if (request.Value("Shelflink-Request-Id") != "subject") {
      return connection.Write(Endpoint::Response(request, BodyOf("first", request)));
    }
    if (state_ != State::kHalfWritten) return Capture(connection, request);
    if (!responded_early_) connection.Write(response_.substr(written_));
  }
  void Capture(Connection& connection, const Message& request) {
    connection_ = &connection;
    request_ = request;
  }
  static std::size_t InitialBytes(State state) {
    switch (state) {
      case State::kHalfWritten:
      case State::kWritten:
        return 0;
      case State::kHeadHalfRead:
        return 30;
      case State::kBodyHalfRead:
        return SIZE_MAX;
      case State::kPartsHalfRead:
        return 100'000;
    }
    return 0;
  }
  void WriteUntil(std::size_t end) {
    if (end == SIZE_MAX) end = response_.size() - 5;
    connection_->Write(response_.substr(written_, end - written_));
    written_ = end;
  }
  void ResumeReadingLater() {
    responded_early_ = true;
    first_->RunAfter(milliseconds(200), [this] { connection_->ResumeReading(); });
  }
  Message RequestOfWarm() const {
    Message warm = request_;
    for (auto& [name, value] : warm.headers) {
      if (name == "Shelflink-Request-Id") value = "warm";
    }
    return warm;
  }

  State state_;
  Endpoint* first_ = nullptr;
  Endpoint* second_ = nullptr;
  Connection* connection_ = nullptr;
  Message request_;
  std::string response_;
  std::size_t written_ = 0;
  bool responded_early_ = false;
};

void CheckCell(const Cell& cell, const std::string& path, const Result& result) {
  Exchange exchange(cell.state, path);
  exchange.Trigger(cell.event);
  exchange.fixture.Run(milliseconds(cell.event == Event::kSilence ? 4000 : 600));
  const Message response = exchange.client->NextResponse();
  BOOST_TEST(exchange.CountSentElsewhere() == (result.elsewhere ? 1U : 0U));
  exchange.CheckWritten();
  const bool open = exchange.connection().open();
  BOOST_TEST(exchange.SendAnotherRequest().body == "first:after");
  // `warm` and the subject.
  if (!cell.reusable) BOOST_TEST(exchange.connection().request_count() <= 2U);
  if (result.status == kCut) {
    BOOST_TEST(!response.whole);
    BOOST_TEST(exchange.client->closed);
    return;
  }
  BOOST_TEST(response.Status() == result.status);
  if (result.status == 200) {
    BOOST_TEST((response.body == (result.elsewhere ? "second:subject" : exchange.Body())));
  }
  if (cell.reusable) BOOST_TEST(open);
  const Message ahead = exchange.client->NextResponse();
  BOOST_TEST(ahead.Status() == 200);
  BOOST_TEST(ahead.body.substr(ahead.body.find(':') + 1) == "ahead");
  BOOST_TEST(exchange.client->received.empty());  // Exactly one response each.
}

}  // namespace

BOOST_AUTO_TEST_CASE(every_cell_of_the_table) {
  for (const Cell& cell : kTable) {
    BOOST_TEST_CONTEXT("state " << static_cast<int>(cell.state) << " event "
                                << static_cast<int>(cell.event)) {
      BOOST_TEST_CONTEXT("at most once") { CheckCell(cell, "/post/a", cell.non_idempotent); }
      BOOST_TEST_CONTEXT("idempotent") { CheckCell(cell, "/get/a", cell.idempotent); }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_client_disconnect_ends_the_exchange_in_every_state) {
  for (const State state : {State::kHalfWritten, State::kWritten, State::kHeadHalfRead,
                            State::kBodyHalfRead, State::kPartsHalfRead}) {
    for (const std::string path : {"/post/a", "/get/a"}) {
      BOOST_TEST_CONTEXT("state " << static_cast<int>(state) << " " << path) {
        Exchange exchange(state, path);
        exchange.client->Disconnect();
        exchange.fixture.Run(milliseconds(50));
        exchange.Trigger(
            Event::kResponse);  // Lets an endpoint that has paused reading see the close.
        exchange.fixture.Run(milliseconds(50));
        BOOST_TEST(!exchange.connection().open());
        exchange.fixture.Run(milliseconds(1000));
        BOOST_TEST(exchange.CountSentElsewhere() == 0U);
        BOOST_TEST(exchange.fixture.calls.active_calls() == 0U);
      }
    }
  }
}

// ---- Connections without a request: connecting, idle, closing ----

BOOST_AUTO_TEST_CASE(a_client_disconnect_while_connecting_sends_nothing) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(proxy_test::RespondWith("x"));
  net::Weather slow;
  slow.latency_low = milliseconds(50);
  slow.latency_high = milliseconds(50);
  fixture.network.SetWeather(endpoint.process.host(), fixture.process.host(), slow);
  auto client = fixture.SendRequest(Request("/get/a"));
  fixture.Run(milliseconds(20));
  client->Disconnect();
  fixture.Run(milliseconds(1000));
  BOOST_TEST(endpoint.requests.empty());
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(data_on_an_idle_connection_closes_it) {
  const std::vector<std::function<void(Connection&, const Message&)>> events = {
      [](Connection& connection, const Message& before) {
        connection.Write(Endpoint::Response(before, "again"));
      },
      [](Connection& connection, const Message&) {
        connection.Write("HTTP/1.1 103 Early\r\n\r\n");
      },
      [](Connection& connection, const Message&) { connection.Write("x"); },
      [](Connection& connection, const Message&) { connection.Reset(); },
      [](Connection& connection, const Message&) { connection.Close(); },
  };
  for (std::size_t number = 0; number < events.size(); ++number) {
    BOOST_TEST_CONTEXT(number) {
      ProxyFixture fixture;
      Connection* connection = nullptr;
      Endpoint& endpoint = fixture.Add([&](Connection& at, const Message& request) {
        if (connection == nullptr) connection = &at;
        at.Write(Endpoint::Response(request, request.Value("Shelflink-Request-Id")));
      });
      auto one = fixture.SendRequest(Request("/post/a", "one"));
      fixture.Run(milliseconds(50));
      events[number](*connection, endpoint.requests.front());
      fixture.Run(milliseconds(50));
      auto two = fixture.SendRequest(Request("/post/a", "two"));
      fixture.Run(milliseconds(50));
      BOOST_TEST(two->NextResponse().body == "two");
      BOOST_TEST(endpoint.connections == 2U);
      BOOST_TEST(connection->request_count() == 1U);
    }
  }
}

// The network has dropped the idle connection silently: it fails on use, and the request may have
// been executed.
BOOST_AUTO_TEST_CASE(a_request_on_a_dead_idle_connection_is_retried_only_if_idempotent) {
  for (const bool idempotent : {false, true}) {
    BOOST_TEST_CONTEXT(idempotent) {
      ProxyFixture fixture;
      Endpoint& endpoint = fixture.Add(proxy_test::RespondWith("x"));
      auto one = fixture.SendRequest(Request("/post/a", "one"));
      fixture.Run(milliseconds(500));
      fixture.network.ForgetIdle(endpoint.process.host(), fixture.process.host());
      Endpoint& other = fixture.Add(proxy_test::RespondWith("y"));
      other.draining = true;  // Makes the proxy choose the idle connection.
      fixture.PublishEndpoints();
      auto two = fixture.SendRequest(Request(idempotent ? "/get/a" : "/post/a", "two"));
      fixture.Run(milliseconds(1000));
      BOOST_TEST(two->NextResponse().Status() == (idempotent ? 200 : 502));
      BOOST_TEST(endpoint.requests.size() == (idempotent ? 2U : 1U));
    }
  }
}

BOOST_AUTO_TEST_CASE(data_on_a_closing_connection_is_discarded) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::Response(request, request.Value("Shelflink-Request-Id"), 200,
                                        "Connection: close\r\n"));
    const Message original = request;
    fixture.endpoints[0]->RunAfter(milliseconds(5), [&connection, original] {
      if (connection.open()) connection.Write(Endpoint::Response(original, "again"));
    });
  });
  for (const std::string id : {"one", "two", "three"}) {
    auto client = fixture.SendRequest(Request("/post/a", id));
    fixture.Run(milliseconds(50));
    BOOST_TEST(client->NextResponse().body == id);
    BOOST_TEST(client->received.empty());
  }
  BOOST_TEST(endpoint.connections == 3U);
}

// ---- Responses that end with their connection ----

BOOST_AUTO_TEST_CASE(a_response_without_length_is_complete_on_close_and_not_on_reset) {
  for (const std::size_t size : {std::size_t{5}, std::size_t{200'000}}) {
    for (const bool reset : {false, true}) {
      BOOST_TEST_CONTEXT(size << " " << reset) {
        ProxyFixture fixture;
        const std::string body(size, 'b');
        fixture.Add([&](Connection& connection, const Message& request) {
          connection.Write(Endpoint::Head(request, "") + body);
          fixture.endpoints[0]->RunAfter(milliseconds(300), [&connection, reset] {
            reset ? connection.Reset() : connection.Close();
          });
        });
        auto client = fixture.SendRequest(Request("/post/a"));
        fixture.Run(milliseconds(600));
        const Message response = client->NextResponse();
        const bool long_answer = size > 100;
        BOOST_TEST(response.whole == (!reset || !long_answer));
        if (!reset) BOOST_TEST((response.body == body));
        if (reset && !long_answer) BOOST_TEST(response.Status() == 502);
        BOOST_TEST(fixture.RequestCount() == 1U);
      }
    }
  }
}
