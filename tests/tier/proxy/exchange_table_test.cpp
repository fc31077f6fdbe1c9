// The table of docs/design/proxy-ends.md: the state in which a connection to an endpoint is, times
// what comes on it. One request (`subject`) is brought into each state, then the event happens.
// Behind it on the client's connection a second request is sent ahead: its answer must be its own.
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
  kAnswer,         // The rest of the answer, in its time.
  kEarlyAnswer,    // All of it, with the request's body unread, which is read on later.
  kEarlyHalf,      // A half of it, likewise; then a reset.
  kEarlyBegin,     // The beginning of it, likewise; the rest once the body has been read.
  kFailure,        // The endpoint's own 500; early where the request is not out.
  kNotRun,         // 503 with Shelflink-Not-Run; early where the request is not out.
  kForeignAnswer,  // A surplus answer to another request, before its own.
  kSecondAnswer,   // Its own answer twice.
  kInterim,        // 1xx before its own.
  kGarbage,
  kReset,
  kEnd,
  kSilence,
};

// What the client sees: a status, or kCut where the answer breaks off.
constexpr int kCut = 0;
struct Result {
  int status = 0;
  bool elsewhere = false;  // Sent to another endpoint.
};

struct Cell {
  State state;
  Event event;
  Result once;  // On a route whose requests may run at most once,
  Result many;  // and on an idempotent one.
  bool kept;    // Whether the connection may carry another request.
};

constexpr Result kFirst{200, false};
constexpr Result kOther{200, true};
constexpr Result kBad{502, false};
constexpr Result kLate{504, false};

// clang-format off
const std::vector<Cell> kTable = {
  // The request's body is not written to its end.
  {State::kHalfWritten, Event::kAnswer,        kFirst, kFirst, true},
  {State::kHalfWritten, Event::kEarlyAnswer,   kFirst, kFirst, false},
  {State::kHalfWritten, Event::kEarlyHalf,     kBad,   kOther, false},
  {State::kHalfWritten, Event::kEarlyBegin,    kFirst, kFirst, false},
  {State::kHalfWritten, Event::kFailure,       {500, false}, kOther, false},
  {State::kHalfWritten, Event::kNotRun,        kOther, kOther, false},
  {State::kHalfWritten, Event::kForeignAnswer, kFirst, kFirst, false},
  {State::kHalfWritten, Event::kInterim,       kFirst, kFirst, true},
  {State::kHalfWritten, Event::kGarbage,       kBad,   kOther, false},
  {State::kHalfWritten, Event::kReset,         kOther, kOther, false},
  {State::kHalfWritten, Event::kEnd,           kOther, kOther, false},
  {State::kHalfWritten, Event::kSilence,       {503, false}, kOther, false},
  // All of it is written, and nothing has come.
  {State::kWritten, Event::kAnswer,        kFirst, kFirst, true},
  {State::kWritten, Event::kFailure,       {500, false}, kOther, true},
  {State::kWritten, Event::kNotRun,        kOther, kOther, true},
  {State::kWritten, Event::kForeignAnswer, kFirst, kFirst, false},
  {State::kWritten, Event::kSecondAnswer,  kFirst, kFirst, false},
  {State::kWritten, Event::kInterim,       kFirst, kFirst, true},
  {State::kWritten, Event::kGarbage,       kBad,   kOther, false},
  {State::kWritten, Event::kReset,         kBad,   kOther, false},
  {State::kWritten, Event::kEnd,           kBad,   kOther, false},
  {State::kWritten, Event::kSilence,       kLate,  kOther, false},
  // A part of the answer's head has come.
  {State::kHeadHalfRead, Event::kAnswer,       kFirst, kFirst, true},
  {State::kHeadHalfRead, Event::kSecondAnswer, kFirst, kFirst, false},
  {State::kHeadHalfRead, Event::kGarbage,      kBad,   kOther, false},
  {State::kHeadHalfRead, Event::kReset,        kBad,   kOther, false},
  {State::kHeadHalfRead, Event::kEnd,          kBad,   kOther, false},
  {State::kHeadHalfRead, Event::kSilence,      kLate,  kOther, false},
  // A part of its body has come, and is held.
  {State::kBodyHalfRead, Event::kAnswer,       kFirst, kFirst, true},
  {State::kBodyHalfRead, Event::kSecondAnswer, kFirst, kFirst, false},
  {State::kBodyHalfRead, Event::kReset,        kBad,   kOther, false},
  {State::kBodyHalfRead, Event::kEnd,          kBad,   kOther, false},
  {State::kBodyHalfRead, Event::kSilence,      kLate,  kOther, false},
  // The same, and it has gone on to the client.
  {State::kPartsHalfRead, Event::kAnswer,       kFirst, kFirst, true},
  {State::kPartsHalfRead, Event::kSecondAnswer, kFirst, kFirst, false},
  {State::kPartsHalfRead, Event::kReset,        {kCut, false}, {kCut, false}, false},
  {State::kPartsHalfRead, Event::kEnd,          {kCut, false}, {kCut, false}, false},
  {State::kPartsHalfRead, Event::kSilence,      {kCut, false}, {kCut, false}, false},
};
// clang-format on

constexpr std::size_t kLongBody = 400'000;  // More than a connection takes unread.

// A fixture whose first endpoint holds the request `subject` in the state.
class Exchange {
 public:
  Exchange(State state, const std::string& path) : state_(state) {
    first_ = &fixture.Add(
        [this](Connection& connection, const Message& request) { Serve(connection, request); });
    first_->on_head = [this](Connection& connection, const Message& request) {
      if (request.Value("Shelflink-Request-Id") != "subject") return;
      Take(connection, request);
      connection.PauseReading();
    };
    auto warm = fixture.SendRequest(Request("/post/a", "warm"));
    fixture.Run(milliseconds(50));
    const bool long_body = state == State::kHalfWritten;
    client = fixture.SendRequest(
        Request(path, "subject", "", std::string(long_body ? kLongBody : 6, 'p')) + Ahead());
    fixture.Run(milliseconds(50));
    BOOST_REQUIRE(connection_ != nullptr);
    BOOST_REQUIRE(first_->connections == 1U);  // The one of before.
    if (state == State::kHalfWritten) BOOST_REQUIRE(connection_->request_count() == 1U);
    second_ = &fixture.Add([](Connection& connection, const Message& request) {
      connection.Write(Endpoint::Response(request, BodyOf("second", request)));
    });
    answer_ = Endpoint::Response(request_, Body());
    WriteUpTo(StartOf(state));
    fixture.Run(milliseconds(50));
  }

  // Waits behind the subject, and longer.
  static std::string Ahead() {
    return "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: ahead\r\n"
           "Content-Length: 0\r\n\r\n";
  }

  void Happen(Event event) {
    switch (event) {
      case Event::kAnswer:
        if (state_ == State::kHalfWritten) return connection_->ResumeReading();
        return WriteUpTo(answer_.size());
      case Event::kEarlyAnswer:
        connection_->Write(answer_);
        return ReadOnLater();
      case Event::kEarlyHalf:
        connection_->Write(answer_.substr(0, answer_.size() / 2));
        return first_->RunAfter(milliseconds(20), [this] { connection_->Reset(); });
      case Event::kEarlyBegin:
        connection_->Write(answer_.substr(0, 20));
        written_ = 20;
        return first_->RunAfter(milliseconds(200), [this] { connection_->ResumeReading(); });
      case Event::kFailure:
        connection_->Write(Endpoint::Response(request_, "why", 500));
        return ReadOnLater();
      case Event::kNotRun:
        connection_->Write(Endpoint::NotRunResponse(request_));
        return ReadOnLater();
      case Event::kForeignAnswer:
        connection_->Write(Endpoint::Response(Other(), "foreign"));
        return Happen(Event::kAnswer);
      case Event::kSecondAnswer:
        connection_->Write(answer_.substr(written_) + answer_);
        return;
      case Event::kInterim:
        connection_->Write("HTTP/1.1 103 Early\r\nX-Hint: a\r\n\r\n");
        return Happen(Event::kAnswer);
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

  // A further request, for which the first endpoint is the only one.
  Message AskAfter() {
    second_->draining = true;
    fixture.PublishEndpoints();
    auto after = fixture.SendRequest(Request("/post/a", "after"));
    fixture.Run(milliseconds(100));
    return after->NextResponse();
  }

  const Connection& connection() const { return *connection_; }
  std::size_t SentElsewhere() const {
    return static_cast<std::size_t>(std::count_if(
        second_->requests.begin(), second_->requests.end(),
        [](const Message& one) { return one.Value("Shelflink-Request-Id") == "subject"; }));
  }
  // What of the subject's request has been read may be followed by its own bytes alone.
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
    if (state_ != State::kHalfWritten) return Take(connection, request);
    if (!answered_early_) connection.Write(answer_.substr(written_));
  }
  void Take(Connection& connection, const Message& request) {
    connection_ = &connection;
    request_ = request;
  }
  static std::size_t StartOf(State state) {
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
  void WriteUpTo(std::size_t end) {
    if (end == SIZE_MAX) end = answer_.size() - 5;
    connection_->Write(answer_.substr(written_, end - written_));
    written_ = end;
  }
  void ReadOnLater() {
    answered_early_ = true;
    first_->RunAfter(milliseconds(200), [this] { connection_->ResumeReading(); });
  }
  Message Other() const {
    Message other = request_;
    for (auto& [name, value] : other.headers) {
      if (name == "Shelflink-Request-Id") value = "warm";
    }
    return other;
  }

  State state_;
  Endpoint* first_ = nullptr;
  Endpoint* second_ = nullptr;
  Connection* connection_ = nullptr;
  Message request_;
  std::string answer_;
  std::size_t written_ = 0;
  bool answered_early_ = false;
};

void CheckCell(const Cell& cell, const std::string& path, const Result& result) {
  Exchange exchange(cell.state, path);
  exchange.Happen(cell.event);
  exchange.fixture.Run(milliseconds(cell.event == Event::kSilence ? 4000 : 600));
  const Message answer = exchange.client->NextResponse();
  BOOST_TEST(exchange.SentElsewhere() == (result.elsewhere ? 1U : 0U));
  exchange.CheckWritten();
  const bool open = exchange.connection().open();
  BOOST_TEST(exchange.AskAfter().body == "first:after");
  if (!cell.kept)
    BOOST_TEST(exchange.connection().request_count() <= 2U);  // The warm one and the subject.
  if (result.status == kCut) {
    BOOST_TEST(!answer.whole);
    BOOST_TEST(exchange.client->closed);
    return;
  }
  BOOST_TEST(answer.Status() == result.status);
  if (result.status == 200) {
    BOOST_TEST((answer.body == (result.elsewhere ? "second:subject" : exchange.Body())));
  }
  if (cell.kept) BOOST_TEST(open);
  const Message ahead = exchange.client->NextResponse();
  BOOST_TEST(ahead.Status() == 200);
  BOOST_TEST(ahead.body.substr(ahead.body.find(':') + 1) == "ahead");
  BOOST_TEST(exchange.client->received.empty());  // One answer each, and no more.
}

}  // namespace

BOOST_AUTO_TEST_CASE(every_cell_of_the_table) {
  for (const Cell& cell : kTable) {
    BOOST_TEST_CONTEXT("state " << static_cast<int>(cell.state) << " event "
                                << static_cast<int>(cell.event)) {
      BOOST_TEST_CONTEXT("at most once") { CheckCell(cell, "/post/a", cell.once); }
      BOOST_TEST_CONTEXT("idempotent") { CheckCell(cell, "/get/a", cell.many); }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_client_that_goes_ends_it_in_every_state) {
  for (const State state : {State::kHalfWritten, State::kWritten, State::kHeadHalfRead,
                            State::kBodyHalfRead, State::kPartsHalfRead}) {
    for (const std::string path : {"/post/a", "/get/a"}) {
      BOOST_TEST_CONTEXT("state " << static_cast<int>(state) << " " << path) {
        Exchange exchange(state, path);
        exchange.client->Disconnect();
        exchange.fixture.Run(milliseconds(50));
        exchange.Happen(Event::kAnswer);  // So that a half-read connection sees its end.
        exchange.fixture.Run(milliseconds(50));
        BOOST_TEST(!exchange.connection().open());
        exchange.fixture.Run(milliseconds(1000));
        BOOST_TEST(exchange.SentElsewhere() == 0U);
        BOOST_TEST(exchange.fixture.calls.active_calls() == 0U);
      }
    }
  }
}

// ---- Dialling, idle and closing, which no request is on ----

BOOST_AUTO_TEST_CASE(a_client_that_goes_while_its_connection_is_dialled_sends_nothing) {
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

BOOST_AUTO_TEST_CASE(what_comes_on_an_idle_connection_ends_it) {
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

// An idle connection that the network has forgotten breaks on use: the request may have run.
BOOST_AUTO_TEST_CASE(a_request_on_a_dead_idle_connection_is_sent_again_only_where_it_may_be) {
  for (const bool idempotent : {false, true}) {
    BOOST_TEST_CONTEXT(idempotent) {
      ProxyFixture fixture;
      Endpoint& endpoint = fixture.Add(proxy_test::RespondWith("x"));
      auto one = fixture.SendRequest(Request("/post/a", "one"));
      fixture.Run(milliseconds(500));
      fixture.network.ForgetIdle(endpoint.process.host(), fixture.process.host());
      Endpoint& other = fixture.Add(proxy_test::RespondWith("y"));
      other.draining = true;  // So that the idle connection is chosen.
      fixture.PublishEndpoints();
      auto two = fixture.SendRequest(Request(idempotent ? "/get/a" : "/post/a", "two"));
      fixture.Run(milliseconds(1000));
      BOOST_TEST(two->NextResponse().Status() == (idempotent ? 200 : 502));
      BOOST_TEST(endpoint.requests.size() == (idempotent ? 2U : 1U));
    }
  }
}

BOOST_AUTO_TEST_CASE(what_comes_on_a_closing_connection_reaches_nobody) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::Response(request, request.Value("Shelflink-Request-Id"), 200,
                                        "Connection: close\r\n"));
    const Message kept = request;
    fixture.endpoints[0]->RunAfter(milliseconds(5), [&connection, kept] {
      if (connection.open()) connection.Write(Endpoint::Response(kept, "again"));
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

// ---- Answers whose end is the end of their connection ----

BOOST_AUTO_TEST_CASE(an_answer_without_length_is_whole_by_an_end_and_not_by_a_reset) {
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
        const Message answer = client->NextResponse();
        const bool long_answer = size > 100;
        BOOST_TEST(answer.whole == (!reset || !long_answer));
        if (!reset) BOOST_TEST((answer.body == body));
        if (reset && !long_answer) BOOST_TEST(answer.Status() == 502);
        BOOST_TEST(fixture.RequestCount() == 1U);
      }
    }
  }
}
