#include "control/door.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/parser.hpp>
#include <utility>

#include "sidecar/http.h"

namespace control {

namespace http = boost::beast::http;
using boost::system::error_code;
using kelpspring::HttpResponse;
using kelpspring::PlainText;

namespace {

constexpr std::uint32_t kHeadLimit = 8192;
constexpr std::uint64_t kCallBody = 4096;            // A call needs none; a small one is read away.
constexpr auto kCallSpan = std::chrono::seconds(2);  // From the connection to the whole call.
constexpr auto kAnswerSpan = std::chrono::seconds(2);
constexpr auto kLingerSpan = std::chrono::milliseconds(500);
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

HttpResponse YesOrNo(bool yes, http::status no, const char* if_yes, const char* if_no) {
  return PlainText(yes ? http::status::ok : no, yes ? if_yes : if_no);
}

struct Path {
  std::string_view name;
  http::verb method;
};
constexpr Path kReady{"/ready", http::verb::get};
constexpr Path kMetrics{"/metrics", http::verb::get};
constexpr Path kDrain{"/drain", http::verb::post};
constexpr Path kUndrain{"/undrain", http::verb::post};
// Of the fleet, where there is a channel to it.
constexpr std::array kFleet = {
    Path{"/fleet", http::verb::get},         Path{"/orders", http::verb::post},
    Path{"/orders/pause", http::verb::post}, Path{"/orders/resume", http::verb::post},
    Path{"/orders/off", http::verb::post},   Path{"/turn", http::verb::post}};

HttpResponse WrongMethod(const Path& path) {
  auto response = PlainText(http::status::method_not_allowed, "expected another method\n");
  response.set(http::field::allow, http::to_string(path.method));
  return response;
}

const Path* FleetPath(std::string_view name) {
  const auto it = std::find_if(kFleet.begin(), kFleet.end(),
                               [&](const Path& path) { return path.name == name; });
  return it == kFleet.end() ? nullptr : it;
}

HttpResponse Obey(const Orders& orders, http::verb method, std::string_view target) {
  const std::string_view name = kelpspring::PathOf(target);
  for (const Path& path : {kReady, kMetrics, kDrain, kUndrain}) {
    if (name != path.name) continue;
    if (method != path.method) return WrongMethod(path);
    if (name == kReady.name) {
      return YesOrNo(orders.ready(), http::status::service_unavailable, "ready\n", "not ready\n");
    }
    if (name == kMetrics.name) {
      auto response = PlainText(http::status::ok, orders.metrics());
      response.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
      return response;
    }
    if (name == kUndrain.name) {
      return YesOrNo(orders.undrain(), http::status::conflict, "serving\n",
                     "this process is leaving\n");
    }
    orders.drain();
    return PlainText(http::status::ok, "draining\n");
  }
  return PlainText(http::status::not_found, "expected /ready, /metrics, /drain or /undrain\n");
}

}  // namespace

// One connection, for one call.
class Door::Caller : public net::StreamUser, public std::enable_shared_from_this<Caller> {
 public:
  enum class State { kReading, kAnswering, kLeft };

  Caller(Door& door, net::StreamPtr stream)
      : door_(door), stream_(std::move(stream)), timer_(door.loop_.NewTimer([this] { End(); })) {
    parser_.header_limit(kHeadLimit);
    parser_.body_limit(kCallBody);
  }

  void Start() {
    stream_->SetUser(*this);
    timer_->ArmAt(door_.loop_.Now() + kCallSpan);
    stream_->Receive();
  }

  State state() const { return state_; }

  void End() {
    const auto self = shared_from_this();
    ended_ = true;
    timer_->Cancel();
    stream_->Close();
    door_.Remove(self);
  }

 private:
  void OnBytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    if (state_ == State::kReading) Read(bytes);
    // What follows the call is read away, so that the close does not reset its answer.
    stream_->Receive();
  }

  void OnEnd(net::Fault fault) override {
    // A caller that has only ended its sending still waits for its answer.
    if (fault == net::Fault::kEnd && state_ == State::kAnswering) return;
    End();
  }

  void OnWritable() override {
    const auto self = shared_from_this();
    Flush();
  }

  void Read(std::string_view bytes) {
    incoming_.Append(bytes);
    error_code ec;
    while (kelpspring::PutStep(parser_, incoming_, ec) > 0) {
    }
    const bool endless = !parser_.is_done() && incoming_.size() > kHeadLimit;
    if (ec == http::error::body_limit) {
      Answer(PlainText(http::status::payload_too_large, "the body is over 4 KiB\n"));
    } else if (ec == http::error::header_limit || (!ec && endless)) {
      Answer(PlainText(http::status::request_header_fields_too_large, "the head is over 8 KiB\n"));
    } else if (ec) {
      Answer(PlainText(http::status::bad_request, "malformed HTTP\n"));
    } else if (parser_.is_done()) {
      Obeyed();
    }
  }

  void Obeyed() {
    const auto& call = parser_.get();
    const std::string_view target = kelpspring::View(call.target());
    const Path* path = door_.orders_.fleet ? FleetPath(kelpspring::PathOf(target)) : nullptr;
    if (path == nullptr) return Answer(Obey(door_.orders_, call.method(), target));
    if (call.method() != path->method) return Answer(WrongMethod(*path));
    // Until then it counts as one that is being answered.
    state_ = State::kAnswering;
    timer_->ArmAt(door_.loop_.Now() + kAnswerSpan);
    door_.orders_.fleet(
        path->name, call.body(), [weak = weak_from_this()](int status, std::string text) {
          const auto self = weak.lock();
          if (!self || self->ended_) return;
          self->Answer(PlainText(static_cast<http::status>(status), std::move(text)));
        });
  }

  void Answer(HttpResponse response) {
    state_ = State::kAnswering;
    incoming_.Clear();
    response.keep_alive(false);
    response.prepare_payload();
    outgoing_.Start(kelpspring::TextOf(response));
    timer_->ArmAt(door_.loop_.Now() + kAnswerSpan);
    Flush();
  }

  void Flush() {
    if (state_ != State::kAnswering) return;
    switch (outgoing_.Flush(*stream_)) {
      case kelpspring::Outgoing::State::kMoreToCome:
        return;
      case kelpspring::Outgoing::State::kBroken:
        return End();
      case kelpspring::Outgoing::State::kAllOut:
        state_ = State::kLeft;
        stream_->EndSending();
        timer_->ArmAt(door_.loop_.Now() + kLingerSpan);
    }
  }

  Door& door_;
  net::StreamPtr stream_;
  net::TimerPtr timer_;
  State state_ = State::kReading;
  bool ended_ = false;
  kelpspring::Incoming incoming_;
  kelpspring::Outgoing outgoing_;
  http::request_parser<kelpspring::TextBody> parser_;
};

Door::Door(net::Loop& loop, kelpspring::Log& log, const net::Address& at, Orders orders)
    : loop_(loop),
      log_(log),
      orders_(std::move(orders)),
      listener_(loop.Listen(at)),
      pause_(loop.NewTimer([this] { Accept(); })) {
  Accept();
}

Door::~Door() = default;  // Each caller's connection closes with it.

void Door::Accept() {
  listener_->Accept([this](net::Fault fault, net::StreamPtr stream) {
    if (fault == net::Fault::kNone) {
      Accepted(std::move(stream));
      return Accept();
    }
    if (fault == net::Fault::kClosed) return;
    log_.Line(std::string("the operators' door: accept: ") + net::WordOf(fault));
    pause_->ArmAt(loop_.Now() + kAcceptPause);
  });
}

void Door::Accepted(net::StreamPtr stream) {
  MakeRoom();
  callers_.push_back(std::make_shared<Caller>(*this, std::move(stream)));
  callers_.back()->Start();
}

void Door::MakeRoom() {
  if (callers_.size() < kPlaces) return;
  for (const auto state :
       {Caller::State::kLeft, Caller::State::kReading, Caller::State::kAnswering}) {
    const auto oldest = std::find_if(callers_.begin(), callers_.end(),
                                     [&](const CallerPtr& c) { return c->state() == state; });
    if (oldest == callers_.end()) continue;
    const CallerPtr caller = *oldest;
    return caller->End();
  }
}

}  // namespace control
