#include "sidecar/discovery.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "settings.h"
#include "sidecar/http.h"
#include "sidecar/mutant.h"

namespace kelpspring {

namespace http = boost::beast::http;
using boost::system::error_code;
using gaugecart::BadInput;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t kListLimit = 4 << 20;  // Bytes of one list.
// A call is given up when the protocol takes what it had to tell for told: that long after it was
// made, or, of one that may wait, so long after its wait is over.
constexpr auto kGrace = std::chrono::seconds(2);
constexpr auto kLongestCall = std::chrono::microseconds(recovery::kTold);
constexpr double kMostAdvice = 3600;  // Seconds.

gaugecart::Availability HealthOf(const std::string& word) {
  if (word == "SERVING") return gaugecart::Availability::kReady;
  if (word == "DRAINING") return gaugecart::Availability::kDraining;
  if (word == "DELETED") return gaugecart::Availability::kGone;
  throw BadInput("expected SERVING, DRAINING or DELETED for health");
}

// Seconds, whole or decimal, as in Retry-After; what cannot be read is no advice.
std::optional<recovery::Micros> AdviceOf(std::string_view word) {
  double seconds = 0;
  const auto r = std::from_chars(word.data(), word.data() + word.size(), seconds);
  if (r.ec != std::errc() || r.ptr != word.data() + word.size()) return std::nullopt;
  if (!(seconds >= 0 && seconds <= kMostAdvice)) return std::nullopt;
  return static_cast<recovery::Micros>(seconds * 1e6);
}

}  // namespace

net::Address ParseAddress(const std::string& text) {
  const auto address = net::Address::Parse(text);
  if (!address) throw BadInput("expected an address and port");
  return *address;
}

MemberList ParseMembers(const Json& json) {
  try {
    MemberList list;
    list.seq = json.at("seq").get<std::int64_t>();
    list.whole = json.at("whole").get<bool>();
    for (const Json& j : json.at("hosts")) {
      Member m;
      m.host = j.at("host").get<std::string>();
      if (m.host.empty()) throw BadInput("expected a name for host");
      m.health = HealthOf(j.at("health").get<std::string>());
      // One that is gone is not sent to, so it may come without an address.
      if (m.health != gaugecart::Availability::kGone || j.contains("dial")) {
        m.dial = ParseAddress(j.at("dial").get<std::string>());
      }
      m.site = j.value("site", std::string());
      m.block = j.value("block", std::int64_t{-1});
      m.share = j.value("share", 1.0);
      const auto born_ms = j.value("born_ms", std::int64_t{0});
      if (born_ms < 0 || born_ms > (std::int64_t{1} << 52)) throw BadInput("born_ms out of range");
      m.born = born_ms * 1000;
      list.members.push_back(std::move(m));
    }
    return list;
  } catch (const Json::exception& e) {
    throw BadInput(std::string("expected a list of endpoints: ") + e.what());
  }
}

// One call at a time over a connection that is kept.
class Discovery::Asker : public net::StreamUser {
 public:
  using Done = std::function<void(const std::optional<MemberList>&, const Failure&)>;

  Asker(net::Loop& loop, Log& log, const net::Address& address)
      : loop_(loop),
        log_(log),
        address_(address),
        timer_(loop.NewTimer([this] { Fail("no answer in time"); })) {}

  void Ask(const std::string& target, recovery::Micros dial, std::chrono::microseconds limit,
           Done done) {
    if (done_) return;  // One at a time; what is under way brings the list as well.
    done_ = std::move(done);
    log_.Trace([&] { return "ask " + target; });
    limit_ = limit;
    asked_ = loop_.LastingMicros();
    HttpRequest request{http::verb::get, target, 11};
    request.set(http::field::host, address_.Host());
    outgoing_.Start(TextOf(request));
    if (connected_) return Write();
    incoming_.Clear();
    timer_->ArmAt(loop_.Now() + std::chrono::microseconds(dial));
    stream_ = loop_.Dial(address_, *this);
  }
  bool asking() const { return done_ != nullptr; }
  // What is under way is wanted no more.
  void GiveUp() {
    if (!asking()) return;
    Drop();
    done_ = nullptr;
  }

 private:
  using Why = recovery::Pace::Why;

  void OnConnected(net::Fault fault) override {
    if (fault == net::Fault::kRefused) return Fail(net::WordOf(fault), {Why::kAbsent});
    if (fault != net::Fault::kNone) return Fail(net::WordOf(fault));
    connected_ = true;
    Write();
  }

  void Write() {
    // A discovery that is cut off says nothing at all: the call needs an end of its own.
    timer_->ArmAt(loop_.Now() + limit_);
    parser_.emplace();
    parser_->body_limit(kListLimit);
    stream_->Receive();
    OnWritable();
  }

  void OnWritable() override {
    if (outgoing_.Flush(*stream_) == Outgoing::State::kBroken)
      Fail(net::WordOf(net::Fault::kReset));
  }

  void OnBytes(std::string_view bytes) override {
    if (!done_) return Drop();  // Bytes that nobody asked for.
    incoming_.Append(bytes);
    error_code ec;
    while (PutStep(*parser_, incoming_, ec) > 0) {
    }
    if (ec) return Fail(ec.message());
    if (parser_->is_done()) return Read();
    stream_->Receive();
  }

  void OnEnd(net::Fault fault) override {
    if (!done_) return Drop();
    // An answer may be framed by the end of its connection.
    error_code ec;
    if (fault == net::Fault::kEnd && parser_->is_header_done()) parser_->put_eof(ec);
    if (fault == net::Fault::kEnd && parser_->is_done() && !ec) return Read();
    Fail(net::WordOf(fault));
  }

  void Read() {
    const auto answer = parser_->release();
    if (answer.result() != http::status::ok) {
      const auto word = answer[http::field::retry_after];
      return Fail("status " + std::to_string(answer.result_int()),
                  {Why::kRefused, AdviceOf({word.data(), word.size()})});
    }
    std::optional<MemberList> list;
    try {
      list = ParseMembers(Json::parse(answer.body()));
      list->asked = asked_;
    } catch (const std::exception& e) {
      return Fail(e.what());
    }
    timer_->Cancel();
    if (answer.keep_alive() && incoming_.empty()) {
      stream_->Receive();  // To see its end.
    } else {
      Drop();
    }
    std::exchange(done_, nullptr)(list, {});
  }

  void Drop() {
    timer_->Cancel();
    connected_ = false;
    incoming_.Clear();
    stream_.reset();
  }

  void Fail(const std::string& why, const Failure& failure = {}) {
    log_.Line("discovery: " + why);
    log_.Trace([&] { return "unanswered " + why; });
    Drop();
    std::exchange(done_, nullptr)(std::nullopt, failure);
  }

  net::Loop& loop_;
  Log& log_;
  net::Address address_;
  net::StreamPtr stream_;
  net::TimerPtr timer_;
  bool connected_ = false;
  Incoming incoming_;
  Outgoing outgoing_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::chrono::microseconds limit_{0};
  gaugecart::Micros asked_ = 0;
  Done done_;
};

Discovery::Discovery(net::Loop& loop, Log& log, const net::Address& address,
                     std::optional<std::int64_t> seq, const recovery::Pace::Place& place,
                     OnList on_list, OnFailed on_failed)
    : loop_(loop),
      log_(log),
      address_(address),
      seq_(seq),
      pace_(place),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      watcher_(std::make_unique<Asker>(loop, log, address)),
      second_(std::make_unique<Asker>(loop, log, address)),
      fetcher_(std::make_unique<Asker>(loop, log, address)),
      silence_(loop.NewTimer([this] { OnSilence(); })),
      pause_(loop.NewTimer([this] { PauseOver(); })) {}

Discovery::~Discovery() = default;

recovery::Micros Discovery::Now() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(loop_.Now().time_since_epoch())
      .count();
}

void Discovery::Begin() {
  if (!Mutated(Mutant::kAskInStep)) not_before_ = pace_.FirstAsk(Now());
  Watch();
}

void Discovery::Watch() {
  if (watching_) return;
  if (Now() < not_before_) return pause_->ArmAt(At(not_before_));
  watching_ = true;
  pause_->Cancel();
  Next();
}

void Discovery::Next() {
  asked_ = Now();
  answer_by_ = asked_ + (seq_ ? pace_.Wait() : 0);
  Ask(*watcher_);
  silence_->ArmAt(At(answer_by_ + (seq_ ? recovery::kLate : recovery::kTurn)));
}

void Discovery::Ask(Asker& line) {
  const auto wait = std::chrono::milliseconds(pace_.Wait() / 1000);
  const std::string watch =
      seq_ ? "?after=" + std::to_string(*seq_) + "&wait_ms=" + std::to_string(wait.count()) : "";
  line.Ask("/catalog/members" + watch, pace_.Dial(), seq_ ? wait + kGrace : kLongestCall,
           [this, &line](const std::optional<MemberList>& list, const Failure& failure) {
             list ? Answered(line, *list) : Unanswered(line, failure);
           });
}

// It may have lost its connection without a word, or wait its turn. Its place in that is kept, and
// what has been lost is found out, by asking on another connection too.
void Discovery::OnSilence() {
  if (seq_) pace_.OnWatchOver(Now() - answer_by_, false);
  Ask(*second_);
}

void Discovery::Answered(Asker& line, const MemberList& list) {
  silence_->Cancel();
  const bool watched = seq_.has_value();
  const bool second = &line == second_.get();
  if (second) std::swap(watcher_, second_);
  second_->GiveUp();
  const bool news = list.seq != seq_;
  seq_ = list.seq;
  if (watched && !news && !second) pace_.OnWatchOver(Now() - answer_by_, true);
  on_list_(list);
  const recovery::Micros next = pace_.OnAnswer(Now(), Now() - asked_, news);
  if (next > Now()) return pause_->ArmAt(At(next));
  if (Now() - asked_ >= pace_.Gap()) return Next();
  pause_->ArmAt(At(Now() + pace_.Gap()));
}

void Discovery::Unanswered(Asker& line, const Failure& failure) {
  if (&line == watcher_.get() && second_->asking()) return;  // That one knows more.
  silence_->Cancel();
  watcher_->GiveUp();
  watching_ = false;
  not_before_ = pace_.OnFailure(Now(), failure);
  pause_->ArmAt(At(not_before_));
  on_failed_();
}

void Discovery::PauseOver() {
  if (Mutated(Mutant::kBusyLoop)) return pause_->ArmAt(loop_.Now());
  watching_ ? Next() : Watch();
}

void Discovery::Fetch() {
  fetcher_->Ask("/catalog/members", pace_.Dial(), kLongestCall,
                [this](const std::optional<MemberList>& list, const Failure&) {
                  if (!list) return on_failed_();
                  // The watch goes on from its own version: what it says again does no harm.
                  on_list_(*list);
                });
}

void Discovery::Move(const net::Address& address) {
  if (address == address_) return;
  address_ = address;
  // The calls that are out bring nothing any more.
  watcher_ = std::make_unique<Asker>(loop_, log_, address);
  second_ = std::make_unique<Asker>(loop_, log_, address);
  fetcher_ = std::make_unique<Asker>(loop_, log_, address);
  pause_->Cancel();
  silence_->Cancel();
  seq_.reset();  // Another discovery may count from elsewhere.
  watching_ = true;
  Next();
}

}  // namespace kelpspring
