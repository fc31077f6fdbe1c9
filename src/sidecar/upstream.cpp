#include "sidecar/upstream.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "sidecar/mutant.h"

namespace kelpspring {

namespace http = boost::beast::http;
using boost::system::error_code;
using gaugecart::EndpointId;
using gaugecart::Micros;
using gaugecart::OutcomeCode;

namespace {

constexpr std::chrono::microseconds kDefaultIdle = std::chrono::seconds(4);
constexpr std::chrono::microseconds kDefaultConnect = std::chrono::milliseconds(250);
constexpr double kIdlePart = 0.8;  // Of the keepalive; past all of it, what is written is lost.
constexpr auto kUnreadSpan = std::chrono::milliseconds(20);  // For what has come to be read.
constexpr int kMostInterim = 8;                              // 1xx answers ahead of the real one.
// How long a find that an idle connection was dead is remembered, and up to which idle time one is
// trusted meanwhile.
constexpr auto kDoubtSpan = std::chrono::seconds(30);
constexpr auto kTrustedIdle = std::chrono::milliseconds(50);

// Whether a request that may have run can be sent again, as the method tells (RFC 9110, 9.2.2) or
// the key that lets an endpoint know a repeat; or as its sender knows.
bool Repeatable(const Outbound& outbound) {
  const HttpRequest& message = outbound.message;
  if (outbound.repeatable) return *outbound.repeatable;
  return message.method() == http::verb::get || !message["Idempotency-Key"].empty();
}

// Whether the head leaves no doubt where the answer ends. A coding that is not known hides it.
bool Framed(const http::response_parser<TextBody>& parser) {
  return parser.get().count(http::field::transfer_encoding) == 0 || parser.chunked();
}

OutcomeCode CodeOf(const HttpResponse& answer) {
  switch (answer.result_int()) {
    case 200:
      return OutcomeCode::kOk;
    case 503:
    case 504:
      // Without the mark it may come from behind the endpoint, after work was done.
      return answer["X-Turned-Away"] == "1" ? OutcomeCode::kFull : OutcomeCode::kError;
    default:
      return OutcomeCode::kError;
  }
}

// How long an endpoint keeps an idle connection ("timeout=5" or "5"); none if it does not tell.
std::optional<std::chrono::seconds> KeptIdle(const HttpResponse& answer) {
  std::string_view word = View(answer[http::field::keep_alive]);
  if (const auto equals = word.find("timeout="); equals != word.npos) {
    word.remove_prefix(equals + std::string_view("timeout=").size());
  }
  unsigned seconds = 0;
  const auto read = std::from_chars(word.data(), word.data() + word.size(), seconds);
  if (read.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

Reading ReadHead(AttemptKey, const HttpResponse& head) { return {CodeOf(head), AnswerUse::kHold}; }

class Upstream::Connection : public net::StreamUser,
                             public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& owner, EndpointId id, const Endpoint& endpoint)
      : owner_(owner),
        id_(id),
        version_(endpoint.version),
        dial_(endpoint.dial),
        timer_(owner.loop_.NewTimer([this] { TimeUp(); })) {}

  void Start(Key key, const Outbound& outbound, Done done) {
    key_ = key;
    message_ = &outbound.message;
    until_ = outbound.until;
    write_by_ = outbound.write_by;
    left_ = outbound.left;
    silence_ = outbound.silence;
    end_ = outbound.end;
    deadline_ = outbound.deadline.value_or(outbound.until);
    more_ = outbound.more;
    in_parts_ = more_;
    request_in_parts_ = more_;
    skipped_ = false;
    wire_id_ = WireIdOf(outbound.message);
    done_ = std::move(done);
    written_ = false;
    passing_ = false;
    paused_ = false;
    took_.reset();
    const bool reused = state_ == State::kIdle;
    idle_ = reused ? owner_.loop_.Now() - idle_since_ : net::Span::zero();
    if (reused) return Write();
    timer_->ArmAt(std::min(WriteEnd(until_), owner_.loop_.Now() + owner_.connect_timeout_));
    owner_.log_.Trace([&] { return "connect " + dial_.Text(); });
    ++owner_.dials_;
    stream_ = owner_.loop_.Dial(dial_, *this);
  }

  // Whether an idle connection is still good. The pending read sees an end of it too, but only
  // when its turn comes: a request written before that would count as one that may have run.
  bool Alive() { return stream_->Peek() == net::Ahead::kNothing; }

  bool connecting() const { return state_ == State::kConnecting; }
  net::Time idle_since() const { return idle_since_; }
  // Whether its last attempt was of the same request, as its endpoint knows requests.
  bool LastCarried(const HttpRequest& message) const {
    return !wire_id_.empty() && wire_id_ == WireIdOf(message);
  }

  void Finish(OutcomeCode code, HttpResponse answer = {}, bool reusable = false) {
    const auto self = shared_from_this();
    const Done done = std::exchange(done_, nullptr);
    message_ = nullptr;
    outgoing_.Clear();
    parser_.reset();
    owner_.attempts_.erase(key_);
    Endpoint* endpoint = owner_.Find(id_);
    if (reusable && endpoint != nullptr && endpoint->ready && endpoint->version == version_ &&
        idle_span_ > net::Span::zero()) {
      state_ = State::kIdle;
      idle_since_ = owner_.loop_.Now();
      endpoint->idle.push_back(self);
      timer_->ArmAt(idle_since_ + idle_span_);
      Read();
    } else {
      Close();
    }
    if (done) done({code, std::move(answer), in_parts_ ? took_ : std::nullopt});
  }

  void Feed(std::string_view part, bool last) {
    if (state_ != State::kBusy || !more_) return;
    const auto self = shared_from_this();
    const bool chunked = message_->chunked();
    outgoing_.Add(chunked ? ChunkOf(part) : std::string(part));
    if (last && chunked) outgoing_.Add(std::string(kLastChunk));
    if (last) more_ = false;
    Flush();
  }

  void Resume() {
    if (!std::exchange(paused_, false)) return;
    const auto self = shared_from_this();
    AwaitAnswer();
    Read();
  }

  void Close() {
    if (state_ == State::kClosed) return;
    state_ = State::kClosed;
    timer_->Cancel();
    if (stream_) stream_->Close();
    if (!Mutated(Mutant::kLeakSocket)) owner_.budget_.Release();
  }

 private:
  enum class State { kConnecting, kBusy, kIdle, kClosed };

  void OnConnected(net::Fault fault) override {
    const auto self = shared_from_this();
    if (fault != net::Fault::kNone) return Finish(OutcomeCode::kConnectFailed);
    // The list may have changed while the connection came up: a send counts from its first byte.
    const Endpoint* endpoint = owner_.Find(id_);
    if (endpoint == nullptr || !endpoint->ready || endpoint->version != version_) {
      return Finish(OutcomeCode::kConnectFailed);
    }
    const bool wanted = owner_.user_.OnUp(key_);
    if (state_ != State::kConnecting) return;  // Taken back meanwhile.
    if (!wanted) return Finish(OutcomeCode::kNeverSent);
    Write();
  }

  void Write() {
    const net::Time now = owner_.loop_.Now();
    if (now >= WriteEnd(until_)) return Finish(OutcomeCode::kConnectFailed);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        more_ ? left_ : net::Span(deadline_ - now));
    message_->set(owner_.terms_.remaining_header,
                  std::to_string(std::max<std::int64_t>(1, left.count())));
    outgoing_.Start(more_ ? FirstPart() : TextOf(*message_));
    state_ = State::kBusy;
    timer_->ArmAt(WriteEnd(until_));
    NextParser();
    interim_ = 0;
    begun_ = false;
    Flush();
    if (state_ == State::kBusy) Read();
  }

  std::string FirstPart() const {
    std::string text = HeadOf(*message_);
    return text += message_->chunked() ? ChunkOf(message_->body()) : message_->body();
  }

  // At every moment it is known whether the last byte has left: a time-out or a reset may come
  // before a handler could have told of it, and an attempt that may have run must not pass for one
  // that never did.
  void Flush() {
    switch (outgoing_.Flush(*stream_)) {
      case Outgoing::State::kAllOut:
        return more_ ? WantMore() : Whole();
      case Outgoing::State::kBroken:
        return WriteBroken();
      case Outgoing::State::kMoreToCome:
        if (request_in_parts_) timer_->ArmAt(WriteEnd(owner_.loop_.Now() + silence_));
        return;
    }
  }

  // Its last byte never left; but an answer may have come before the break, and is read first.
  void WriteBroken() {
    if (owner_.terms_.early_answers && stream_->Peek() == net::Ahead::kBytes) {
      return outgoing_.Clear();
    }
    Finish(MayHaveRun() ? OutcomeCode::kReset : OutcomeCode::kConnectFailed);
  }

  // Whether the endpoint may have run the request: it has all of it, or it has begun to answer what
  // it has.
  bool MayHaveRun() const {
    if (written_) return true;
    return early_ && !skips();
  }

  // By then its last byte is out, or it is given up with nothing having run.
  net::Time WriteEnd(net::Time at) const { return write_by_ ? std::min(at, *write_by_) : at; }

  // The client's own pace is guarded where it is read.
  void WantMore() {
    write_by_ ? timer_->ArmAt(*write_by_) : timer_->Cancel();
    owner_.user_.OnWantsMore(key_);
  }

  void Whole() {
    written_ = true;
    whole_at_ = owner_.loop_.Now();
    if (request_in_parts_) until_ = whole_at_ + left_;
    if (request_in_parts_ || write_by_) timer_->ArmAt(until_);
    owner_.user_.OnWhole(key_);
  }

  void OnWritable() override {
    const auto self = shared_from_this();
    if (state_ == State::kBusy && !written_ && !outgoing_.empty()) Flush();
  }

  // One read is always pending, also on an idle connection, to see its end at once.
  void Read() {
    incoming_.Trim();
    stream_->Receive();
  }

  void OnBytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    incoming_.Append(bytes);
    Got(net::Fault::kNone);
  }

  void OnEnd(net::Fault fault) override {
    const auto self = shared_from_this();
    Got(fault);
  }

  void Got(net::Fault fault) {
    if (state_ == State::kIdle) return Drop();  // Its end, or bytes that nobody asked for.
    if (fault != net::Fault::kNone && fault != net::Fault::kEnd) return Broken();
    const bool ended = fault == net::Fault::kEnd;
    early_ = early_ || ComesEarly();
    if (!Take()) return Spoilt();
    // Without a length and without chunks the end tells the end.
    if (ended && parser_->is_header_done() && parser_->need_eof() && !parser_->is_done()) {
      error_code ec;
      parser_->put_eof(ec);
      if (ec) return Spoilt();
    }
    if (passing_ || IsLong()) return PassOn(ended);
    // What cannot be parsed yet is a head or a chunk's head: one without end must not fill memory.
    if (!parser_->is_done()) {
      if (ended) return Broken();
      if (incoming_.size() > kHeaderLimit) return Spoilt();
      // One that is said to be longer than it is would be waited for until the request's end.
      if (!incoming_.empty() || parser_->is_header_done()) {
        begun_ = true;
        AwaitRest();
      }
      return Read();
    }
    if (code_ == OutcomeCode::kOk && IsTooEarly()) return Broken();
    NoteTook();
    const bool reusable = Reusable(ended);
    HttpResponse answer = parser_->release();
    Finish(code_, std::move(answer), reusable);
  }

  bool ComesEarly() const { return owner_.terms_.early_answers && !written_ && !incoming_.empty(); }
  // Without early answers, what came before the request was out is no answer to it.
  bool IsTooEarly() const { return !written_ && !owner_.terms_.early_answers; }

  void NoteTook() {
    if (written_) took_ = owner_.loop_.Now() - whole_at_;
  }

  // Takes in what has come; false if it is no answer.
  bool Take() {
    error_code ec;
    bool in_head = !parser_->is_header_done();
    while (PutStep(*parser_, incoming_, ec) > 0) {
      if (!parser_->is_header_done()) continue;
      if (std::exchange(in_head, false) && !TakeHead()) return false;
      if (skips()) parser_->get().body().clear();
      if (parser_->is_done() && (parser_->get().result_int() < 200 || skips())) {
        // A 1xx answer only announces the real one; an endless row of them announces nothing.
        if (++interim_ > kMostInterim) return false;
        NextParser();
        in_head = true;
      }
    }
    return !ec;
  }

  // Before any trailers. False if it is no answer.
  bool TakeHead() {
    if (!Framed(*parser_)) return false;
    if (parser_->get().result_int() < 200) return true;
    reading_ = owner_.terms_.read_head(key_, parser_->get());
    code_ = reading_.code;
    if (reading_.use == AnswerUse::kSkip) skipped_ = true;
    idle_span_ = owner_.idle_span_;
    if (!owner_.terms_.heed_keep_alive) return true;
    if (const auto kept = KeptIdle(parser_->get())) {
      idle_span_ = std::chrono::duration_cast<net::Span>(*kept * kIdlePart);
    }
    return true;
  }

  bool skips() const {
    return parser_->is_header_done() && parser_->get().result_int() >= 200 &&
           reading_.use == AnswerUse::kSkip;
  }

  // Whether nothing is owed on the connection any more in either direction. Bytes beyond the answer
  // belong to no request. Behind an answer that came early, the rest of its request's body is still
  // to be read; an endpoint that sent an answer too many may send another.
  bool Reusable(bool ended) const {
    return !ended && written_ && !early_ && !skipped_ && parser_->keep_alive() && incoming_.empty();
  }

  // Longer than may be held. Of what is no answer to pass on the code is all that matters.
  bool IsLong() const {
    if (!parser_->is_header_done() || parser_->get().result_int() < 200 || skips()) return false;
    if (reading_.use == AnswerUse::kPass && code_ == OutcomeCode::kOk) return true;
    const std::uint64_t most = owner_.most_body_();
    const auto length = parser_->content_length();
    return (length && *length > most) || parser_->get().body().size() > most;
  }

  void PassOn(bool ended) {
    if (code_ != OutcomeCode::kOk) return Finish(code_);
    if (IsTooEarly()) return Broken();
    if (!passing_ && !BeginPassing()) return;
    const std::string part = std::exchange(parser_->get().body(), {});
    const bool wanted = part.empty() || owner_.user_.OnAnswerPart(key_, part);
    if (state_ != State::kBusy) return;  // Cancelled: its client has gone.
    if (parser_->is_done()) return Finish(OutcomeCode::kOk, {}, Reusable(ended));
    if (ended) return Broken();
    if (incoming_.size() > kHeaderLimit) return Spoilt();
    if (!wanted) {
      paused_ = true;
      return end_ ? timer_->ArmAt(*end_) : timer_->Cancel();
    }
    AwaitAnswer();
    Read();
  }

  bool BeginPassing() {
    passing_ = true;
    begun_ = true;
    in_parts_ = true;
    NoteTook();
    HttpResponse head(parser_->get().base());
    std::optional<std::uint64_t> length;
    if (const auto told = parser_->content_length()) length = *told;
    const bool wanted = owner_.user_.OnAnswerBegun(key_, std::move(head), length);
    if (!wanted && state_ == State::kBusy) Finish(OutcomeCode::kCancelled);
    return state_ == State::kBusy;
  }

  void AwaitAnswer() {
    const net::Time silent = owner_.loop_.Now() + silence_;
    timer_->ArmAt(end_ ? std::min(*end_, silent) : silent);
  }

  void AwaitRest() {
    const auto silence = owner_.terms_.answer_silence;
    if (silence == silence.zero()) return;
    timer_->ArmAt(std::min<net::Time>(until_, owner_.loop_.Now() + silence));
  }

  void NextParser() {
    parser_.emplace();
    // Not eager: Beast 1.74 then drops the error of a body over its limit if a part of the body has
    // come with the head, and takes in all of it.
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(kLargestBody);
    parser_->skip(message_->method() == http::verb::head);
    reading_ = {};
    early_ = ComesEarly();
  }

  // The endpoint has answered, and not in a way that can be used. It may have run, as with an error
  // that can be read; it is no sign that the endpoint has too much to do, as a break would be.
  void Spoilt() { Finish(MayHaveRun() ? OutcomeCode::kError : OutcomeCode::kConnectFailed); }

  // Ended. Before the request's last byte was handed over it never ran.
  void Broken() {
    if (Mutated(Mutant::kCallItUnsent)) return Finish(OutcomeCode::kConnectFailed);
    if (!begun_ && incoming_.empty() && idle_ > kTrustedIdle) owner_.NoteStale(idle_);
    Finish(MayHaveRun() ? OutcomeCode::kReset : OutcomeCode::kConnectFailed);
  }

  void Drop() {
    const auto self = shared_from_this();
    if (Endpoint* endpoint = owner_.Find(id_)) std::erase(endpoint->idle, self);
    Close();
  }

  void TimeUp() {
    const auto self = shared_from_this();
    if (state_ == State::kIdle) return Drop();
    if (owner_.terms_.read_before_time_up && state_ == State::kBusy && !paused_ &&
        stream_->Peek() == net::Ahead::kBytes) {
      return timer_->ArmAt(owner_.loop_.Now() + kUnreadSpan);
    }
    if (state_ == State::kBusy && MayHaveRun()) {
      if (const auto later = owner_.user_.OnLate(key_)) return timer_->ArmAt(*later);
    }
    if (begun_) return Spoilt();
    Finish(state_ == State::kBusy && MayHaveRun() ? OutcomeCode::kTimeout
                                                  : OutcomeCode::kConnectFailed);
  }

  Upstream& owner_;
  EndpointId id_;
  std::uint64_t version_;
  net::Address dial_;
  net::StreamPtr stream_;
  net::TimerPtr timer_;
  State state_ = State::kConnecting;
  Incoming incoming_;
  Outgoing outgoing_;
  std::optional<http::response_parser<TextBody>> parser_;
  Reading reading_;                         // Of the answer's head.
  OutcomeCode code_ = OutcomeCode::kError;  // The same, or none yet.
  net::Span idle_span_{};                   // How long it may lie idle after the present answer.
  std::string WireIdOf(const HttpRequest& message) const {
    const std::string& header = owner_.terms_.request_id_header;
    return header.empty() ? std::string() : std::string(View(message[header]));
  }

  Key key_{};
  std::string wire_id_;             // Of the present or last request, in the header's words.
  HttpRequest* message_ = nullptr;  // The caller keeps it until the attempt is over.
  bool written_ = false;            // The machine has its last byte.
  int interim_ = 0;
  bool begun_ = false;  // A part of the answer has come.
  net::Span idle_{};    // How long it lay idle before the present request.
  net::Time until_;
  std::optional<net::Time> write_by_;
  net::Span left_{};
  net::Span silence_{};
  std::optional<net::Time> end_;
  net::Time deadline_;
  bool more_ = false;      // Of the request's body, to be asked for.
  bool in_parts_ = false;  // The request or its answer.
  bool request_in_parts_ = false;
  bool early_ = false;    // The present answer began before the request's last byte was written.
  bool skipped_ = false;  // An answer to another request has come.
  bool passing_ = false;  // The answer goes out in parts,
  bool paused_ = false;   // and no more of it is wanted now.
  net::Time whole_at_;    // When the request's last byte was written.
  std::optional<net::Span> took_;
  net::Time idle_since_;
  Done done_;
};

Upstream::Upstream(net::Loop& loop, Log& log, SocketBudget& budget,
                   std::chrono::microseconds keepalive, std::chrono::microseconds connect_timeout,
                   AttemptUser& user, std::function<std::uint64_t()> most_body, UpstreamTerms terms)
    : loop_(loop),
      log_(log),
      budget_(budget),
      idle_span_(keepalive.count() > 0 ? std::chrono::microseconds(static_cast<std::int64_t>(
                                             static_cast<double>(keepalive.count()) * kIdlePart))
                                       : kDefaultIdle),
      connect_timeout_(connect_timeout.count() > 0 ? connect_timeout : kDefaultConnect),
      user_(user),
      most_body_(std::move(most_body)),
      terms_(std::move(terms)) {
  budget_.evict_idle = [this] { return EvictIdle(); };
}

Upstream::~Upstream() = default;

Upstream::Endpoint* Upstream::Find(EndpointId id) {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

Micros Upstream::Age(EndpointId id, Micros now) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() || it->second.born == 0 ? -1 : now - it->second.born;
}

void Upstream::Forget(EndpointId id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  for (const ConnectionPtr& connection : it->second.idle) connection->Close();
  endpoints_.erase(it);  // What is still out to it ends by itself.
}

void Upstream::SetEndpoint(EndpointId id, const net::Address& dial, bool ready, Micros born) {
  Endpoint& endpoint = endpoints_[id];
  if ((ready && endpoint.dial != dial) || endpoint.born != born) {
    ++endpoint.version;
    if (ready) endpoint.dial = dial;
    endpoint.born = born;
  } else if (ready) {
    endpoint.ready = true;
    return;
  }
  endpoint.ready = ready;
  for (const ConnectionPtr& connection : std::exchange(endpoint.idle, {})) connection->Close();
}

void Upstream::Send(Key key, EndpointId id, const Outbound& outbound, Done done) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || !it->second.ready) {
    return done({OutcomeCode::kNeverSent, {}});
  }
  Endpoint& endpoint = it->second;
  ConnectionPtr connection = TakeIdle(endpoint, outbound);
  if (!connection) {
    if (!budget_.TakeForAttempt()) return done({OutcomeCode::kConnectFailed, {}});
    connection = std::make_shared<Connection>(*this, id, endpoint);
  }
  attempts_[key] = connection;
  connection->Start(key, outbound, std::move(done));
}

// Guards against whatever drops idle connections without a word (an endpoint under pressure, a box
// in between): a request that then goes out on one ends as a reset, and one that must not run twice
// is lost by that. While there is doubt such requests get a connection of their own; repeatable
// ones go on using what lies idle, and so show for how long the doubt lasts. Harm: handshakes.
//
// One that carried an earlier attempt of the same request is not taken either: a second answer to
// that attempt may still come, and bears the id that this one waits for.
Upstream::ConnectionPtr Upstream::TakeIdle(Endpoint& endpoint, const Outbound& outbound) {
  const net::Time now = loop_.Now();
  const bool wary = now < doubt_until_ && !Repeatable(outbound);
  for (std::size_t index = endpoint.idle.size(); index > 0; --index) {
    ConnectionPtr connection = endpoint.idle[index - 1];
    if (connection->LastCarried(outbound.message)) continue;
    if (wary && now - connection->idle_since() > kTrustedIdle) {
      // The new one takes the place of the oldest, so that their number does not grow.
      endpoint.idle.front()->Close();
      endpoint.idle.pop_front();
      return nullptr;
    }
    std::erase(endpoint.idle, connection);
    if (connection->Alive()) return connection;
    connection->Close();
  }
  return nullptr;
}

void Upstream::NoteStale(net::Span idle) {
  const net::Time now = loop_.Now();
  if (now >= doubt_until_) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(idle).count();
    log_.Line("a connection broke on use without an answer after it lay idle for " +
              std::to_string(ms) +
              " ms: requests that must not be repeated get new ones for a while");
  }
  doubt_until_ = now + kDoubtSpan;
}

// Held by the caller: what is done to it may end it.
Upstream::ConnectionPtr Upstream::AttemptOf(Key key) const {
  const auto it = attempts_.find(key);
  return it == attempts_.end() ? nullptr : it->second;
}

void Upstream::Feed(Key key, std::string_view part, bool last) {
  if (const auto connection = AttemptOf(key)) connection->Feed(part, last);
}

void Upstream::Resume(Key key) {
  if (const auto connection = AttemptOf(key)) connection->Resume();
}

void Upstream::Cancel(Key key) {
  if (const auto connection = AttemptOf(key)) connection->Finish(OutcomeCode::kCancelled);
}

void Upstream::Withdraw(Key key) {
  const auto connection = AttemptOf(key);
  if (connection && connection->connecting()) connection->Finish(OutcomeCode::kNeverSent);
}

bool Upstream::EvictIdle() {
  std::deque<ConnectionPtr>* oldest = nullptr;
  for (auto& [id, endpoint] : endpoints_) {
    if (!endpoint.idle.empty() && (oldest == nullptr || endpoint.idle.front()->idle_since() <
                                                            oldest->front()->idle_since())) {
      oldest = &endpoint.idle;
    }
  }
  if (oldest == nullptr) return false;
  oldest->front()->Close();
  oldest->pop_front();
  return true;
}

}  // namespace kelpspring
