#include "sidecar/server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "sidecar/mutant.h"

namespace kelpspring {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kReadAhead = 32768;      // Of a next request while one is held.
constexpr std::size_t kLingerBytes = 1 << 18;  // Read away of what follows an error.
// The least pace of a body, half the slowest that operators name: its time grows with what comes.
constexpr std::int64_t kLeastBytesPerSecond = 32'000;
// One limit for each phase, beside those of ServerTerms.
constexpr auto kAnswerSpan = milliseconds(2500);  // For a client to take a part of its answer.
// The same of an answer in parts. What the machine holds for a slow reader is some megabytes, and
// it asks for more only after a good part of them: at 64 kB/s that takes many seconds.
constexpr auto kTakeSpan = milliseconds(30'000);
constexpr auto kLingerSpan = milliseconds(500);
constexpr auto kCrossingSpan = milliseconds(100);  // For what has come but was not read yet.
// From the accept, in which a first request may be on its way: closing would lose it.
constexpr auto kFreshSpan = milliseconds(20);
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// From the start of a drain that is not for good: what is half read by then is refused.
constexpr auto kDrainHalfRead = milliseconds(1800);
constexpr auto kLastSpan = milliseconds(200);  // For a request on a connection taken in meanwhile.

// How a request's length must be told: once, by plain digits or as chunks. Beast takes more than
// that, and where two readers can differ on where a request ends, another hides in its body.
bool Framed(const http::request_parser<TextBody>& parser) {
  const auto& head = parser.get();
  const auto length = head[http::field::content_length];
  const bool digits = length.find_first_not_of("0123456789") == length.npos;
  const auto codings = head.count(http::field::transfer_encoding);
  if (head.count(http::field::content_length) + codings > 1 || !digits) return false;
  return codings == 0 || boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

std::string SizeText(std::uint64_t bytes) {
  constexpr std::uint64_t kMebibyte = 1 << 20;
  if (bytes % kMebibyte == 0) return std::to_string(bytes / kMebibyte) + " MiB";
  return std::to_string(bytes) + " bytes";
}

}  // namespace

Client::Client(Server& server, net::StreamPtr stream)
    : server_(server),
      stream_(std::move(stream)),
      timer_(server.loop_.NewTimer([this] { TimeUp(); })) {}

void Client::Start() {
  stream_->SetUser(*this);
  fresh_until_ = server_.loop_.Now() + kFreshSpan;
  awaited_since_ = server_.loop_.Now();
  const ServerTerms& terms = server_.terms_;
  Rest(server_.shut() ? kLastSpan : terms.first_span.value_or(terms.rest_span));
  Read();
}

void Client::Hurry() {
  if (fresh_until_ <= server_.loop_.Now()) return Close();
  Rest(kLastSpan);
}

void Client::Rest(milliseconds span) {
  Yields(kWaiting);
  Arm(span);
}

void Client::Yields(std::optional<Yield> as) {
  if (yields_) server_.yielding_[*yields_].erase(used_);
  yields_ = as;
  if (as) server_.yielding_[*as].emplace(used_ = server_.NextUse(), this);
}

void Client::Read() {
  // A flood of requests sent ahead waits in the socket, not in memory.
  if (state_ == State::kClosed || incoming_.size() >= server_.MostReadAhead()) return;
  incoming_.Trim();
  stream_->Receive();
}

// An end of the client's side means that it has gone.
void Client::OnEnd(net::Fault) { Leave(); }

void Client::Leave() {
  const auto self = shared_from_this();
  const auto gone = std::exchange(gone_, nullptr);
  Close();
  if (gone) gone();
}

bool Client::HasLeft() {
  if (Mutated(Mutant::kServeLeft)) return false;
  if (state_ == State::kClosed) return true;
  if (!stream_->Ended()) return false;
  Leave();
  return true;
}

void Client::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (state_ == State::kLingering) {
    if (bytes.size() > linger_left_) return Close();
    linger_left_ -= bytes.size();
    return Read();
  }
  came_at_ = server_.loop_.Now();
  if (incoming_.empty() && !parser_) began_ = came_at_;
  incoming_.Append(bytes);
  if (state_ == State::kIdle) {
    Parse();
  } else if (feed_) {
    FeedNext();
  }
  // While a request is held the read watches for the client's end.
  Read();
}

void Client::StartParser() {
  parser_.emplace();
  // Not eager, so that the head is looked at before any of the body is taken in.
  parser_->header_limit(server_.terms_.header_limit);
  parser_->body_limit(server_.terms_.body_limit);
  head_.reset();
  whole_by_.reset();
  came_ = 0;
  if (!first_ || !server_.terms_.first_span) spent_ = {};
  if (!yields_) Yields(kWaiting);
}

// Beast joins a value that goes on in a further line; other readers see two headers. A head is
// parsed only once all of it is there.
bool Client::Folded() const {
  const auto data = incoming_.data();
  const std::string_view text(static_cast<const char*>(data.data()), data.size());
  const std::string_view head = text.substr(0, text.find("\r\n\r\n"));
  return head.find("\r\n ") != head.npos || head.find("\r\n\t") != head.npos;
}

bool Client::Take() {
  error_code ec;
  if (!head_ && !server_.terms_.folded_headers && Folded()) {
    return Spoil(400, "malformed HTTP\n"), false;
  }
  while (const std::size_t used = PutStep(*parser_, incoming_, ec)) {
    if (head_) came_ += used;
    if (!head_ && parser_->is_header_done() && !LookAtHead()) return false;
  }
  if (ec == http::error::body_limit) {
    return Spoil(413, "the body is over " + SizeText(server_.terms_.body_limit) + '\n'), false;
  }
  if (ec == http::error::header_limit) return Spoil(431, "the head is too large\n"), false;
  if (ec) return Spoil(400, "malformed HTTP\n"), false;
  // The head of a chunk without end, as long as it may be read ahead.
  if (!parser_->is_done() && incoming_.size() >= server_.MostReadAhead()) {
    return Spoil(400, "malformed HTTP\n"), false;
  }
  return true;
}

bool Client::LookAtHead() {
  if (!Framed(*parser_)) return Spoil(400, "the length is not told plainly\n"), false;
  head_ = std::move(parser_->get().base());
  if (const auto& longest = server_.terms_.longest_arrival) {
    if (const auto span = longest(*head_)) whole_by_ = began_ + *span;
  }
  const auto expect = (*head_)[http::field::expect];
  if (expect.empty() || head_->version() < 11) return true;
  if (!boost::beast::iequals(expect, "100-continue")) {
    return Spoil(417, "Expect: 100-continue is all that can be met\n"), false;
  }
  if (!incoming_.empty() || parser_->is_done()) return true;  // It has not waited.
  outgoing_.Start("HTTP/1.1 100 Continue\r\n\r\n");
  outgoing_.Flush(*stream_);
  return true;
}

void Client::Spoil(unsigned status, const std::string& text) {
  const auto self = shared_from_this();
  feed_ = nullptr;
  const auto gone = std::exchange(gone_, nullptr);
  if (gone) gone();
  // An answer that has begun can only be broken off: whatever followed would pass for a part of it.
  if (state_ == State::kStreaming) return Break();
  if (state_ == State::kIdle || state_ == State::kHeld) Reject(status, text);
}

// Only waiting for the client counts: while nobody wants more of its body it may not be able to
// send.
void Client::Await() {
  if (awaited_since_) return;
  const net::Time now = server_.loop_.Now();
  awaited_since_ = now;
  const auto paced = std::chrono::microseconds(static_cast<std::int64_t>(came_) * 1'000'000 /
                                               kLeastBytesPerSecond);
  const net::Time paced_end = now + server_.terms_.request_span + paced - spent_;
  timer_->ArmAt(whole_by_ ? std::min(*whole_by_, paced_end) : paced_end);
}

void Client::Came() {
  if (!awaited_since_) return;
  spent_ += server_.loop_.Now() - *awaited_since_;
  awaited_since_.reset();
}

void Client::HoldsBody(std::uint64_t bytes) {
  server_.body_bytes_ += bytes - held_;
  held_ = bytes;
}

void Client::Parse() {
  Came();
  if (!parser_) StartParser();
  if (!Take()) return;
  // Nothing is handed on before its head is whole, however little of a body may be held.
  if (!head_) return Await();
  const std::string& body = parser_->get().body();
  HoldsBody(body.size());
  if (!parser_->is_done() && body.size() < server_.most_body_()) return Await();
  timer_->Cancel();
  Yields(std::nullopt);
  HoldsBody(0);
  first_ = false;
  fresh_until_ = {};
  Arrival arrival{parser_->is_done(), std::nullopt, began_};
  began_ = came_at_;  // Of the next request, where a part of it has come.
  if (const auto length = parser_->content_length()) arrival.length = *length;
  HttpRequest request(std::move(*head_));
  request.body() = std::exchange(parser_->get().body(), {});
  if (arrival.whole) parser_.reset();
  state_ = State::kHeld;
  keep_alive_ = request.keep_alive() && request.version() >= 11;
  version_ = request.version();
  Dispatch(std::move(request), arrival);
}

void Client::Dispatch(HttpRequest request, Arrival arrival) {
  const std::string& health = server_.terms_.health_path;
  if (!health.empty() && PathOf(View(request.target())) == health) {
    const bool ready = server_.ready_() && server_.drain_.healthy();
    return RespondPlain(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  server_.on_request_(shared_from_this(), std::move(request), arrival);
}

void Client::Pull(Feed feed) {
  if (state_ != State::kHeld || !parser_) return;
  feed_ = std::move(feed);
  FeedNext();
}

void Client::FeedNext() {
  const auto self = shared_from_this();
  Came();
  if (!Take()) return;
  std::string part = std::exchange(parser_->get().body(), {});
  const bool last = parser_->is_done();
  if (part.empty() && !last) {
    Await();
    return Read();
  }
  timer_->Cancel();
  if (last) parser_.reset();
  const Feed feed = std::exchange(feed_, nullptr);
  feed(std::move(part), last);
  Read();
}

// What cannot be read as a request ends the connection: where the next one starts is not known.
void Client::Reject(unsigned status, const std::string& text) {
  timer_->Cancel();
  Yields(std::nullopt);
  HoldsBody(0);
  parser_.reset();
  incoming_.Clear();
  if (state_ == State::kClosed) return;
  state_ = State::kHeld;
  keep_alive_ = false;
  ++server_.rejected_[status];
  server_.log_.Line("a client's request was rejected: " + text.substr(0, text.size() - 1));
  RespondPlain(status, text);
}

void Client::RespondPlain(unsigned status, const std::string& text) {
  Respond(PlainText(http::int_to_status(status), text));
}

void Client::SetTerms(HttpResponse& answer) {
  // What is left of a request that is answered before its end belongs to nothing.
  if (server_.phase_ != Server::Phase::kOpen || parser_) keep_alive_ = false;
  answer.version(version_);
  answer.keep_alive(keep_alive_);
}

void Client::Respond(HttpResponse response) {
  if (state_ != State::kHeld) return;
  gone_ = nullptr;
  feed_ = nullptr;
  state_ = State::kAnswering;
  SetTerms(response);
  response.prepare_payload();
  std::string text = TextOf(response);
  if (Mutated(Mutant::kDropAnswer)) return Close();
  if (Mutated(Mutant::kAnswerTwice)) text += text;
  outgoing_.Add(std::move(text));
  Arm(kAnswerSpan);
  Flush();
}

void Client::Begin(HttpResponse head, std::optional<std::uint64_t> length,
                   std::function<void()> drained) {
  if (state_ != State::kHeld) return;
  state_ = State::kStreaming;
  drained_ = std::move(drained);
  ending_ = false;
  chunked_ = !length && version_ >= 11;
  sized_ = length.has_value();
  SetTerms(head);
  if (length) head.content_length(*length);
  if (chunked_) head.chunked(true);
  outgoing_.Add(HeadOf(head));
}

bool Client::Part(std::string_view bytes) {
  if (state_ != State::kStreaming) return true;
  outgoing_.Add(chunked_ ? ChunkOf(bytes) : std::string(bytes));
  Flush();
  return outgoing_.empty();
}

void Client::EndBody() {
  if (state_ != State::kStreaming) return;
  gone_ = nullptr;
  drained_ = nullptr;
  ending_ = true;
  if (chunked_) outgoing_.Add(std::string(kLastChunk));
  Flush();
}

void Client::Break() {
  if (state_ != State::kStreaming) return;
  const auto self = shared_from_this();
  gone_ = nullptr;
  if (server_.terms_.break_by_reset || !(chunked_ || sized_)) stream_->Reset();
  Close();
}

void Client::Flush() {
  if (state_ != State::kAnswering && state_ != State::kStreaming) return;
  const auto self = shared_from_this();
  const bool streaming = state_ == State::kStreaming;
  switch (outgoing_.Flush(*stream_)) {
    case Outgoing::State::kAllOut:
      if (!streaming || ending_) return Answered();
      return timer_->Cancel();
    case Outgoing::State::kBroken:
      return Leave();
    case Outgoing::State::kMoreToCome:
      return Arm(streaming ? kTakeSpan : kAnswerSpan);
  }
}

void Client::Answered() {
  drained_ = nullptr;
  // An answer that was under way when the drain began did not say that this is the end.
  if (!keep_alive_ || server_.shut()) return Linger();
  state_ = State::kIdle;
  spent_ = {};
  if (incoming_.empty()) {
    Rest(server_.terms_.rest_span);
    server_.Accept();
    return Read();
  }
  // Not from here: a row of requests sent ahead would be answered one inside the other.
  timer_->Cancel();
  server_.loop_.Post([self = shared_from_this()] { self->Next(); });
}

void Client::Next() {
  if (state_ != State::kIdle) return;
  if (!incoming_.empty()) Parse();
  Read();
}

// Closing at once with bytes unread would reset the connection, and the client might lose the
// answer: it is given a moment to close first.
void Client::Linger() {
  state_ = State::kLingering;
  stream_->EndSending();
  incoming_.Clear();
  // The rest of a long request may be on its way, from a client that reads only after it.
  linger_left_ = parser_ ? server_.terms_.body_limit : kLingerBytes;
  Arm(parser_ ? server_.terms_.request_span : kLingerSpan);
  parser_.reset();
  Yields(kLeaving);
  Read();
  server_.Accept();
  server_.CheckDone();
}

void Client::Arm(milliseconds span) { timer_->ArmAt(server_.loop_.Now() + span); }

void Client::TimeUp() {
  if (state_ == State::kIdle) {
    // What has come in the meantime is read first: closing would fail a good client's request.
    if (!parser_ && HasUnread()) return Arm(kCrossingSpan);
    if (parser_) return Reject(408, "the rest of the request did not come\n");
  }
  if (state_ == State::kHeld) return Spoil(408, "the rest of the request did not come\n");
  Leave();
}

void Client::OnWritable() {
  const auto self = shared_from_this();
  Flush();
  if (state_ != State::kStreaming || !outgoing_.empty()) return;
  const auto drained = drained_;  // It may end the answer, and with it the member.
  if (drained) drained();
}

bool Client::HasUnread() { return stream_->Peek() == net::Ahead::kBytes; }

void Client::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  gone_ = nullptr;
  HoldsBody(0);
  timer_->Cancel();
  feed_ = nullptr;
  drained_ = nullptr;
  outgoing_.Clear();
  Yields(std::nullopt);
  stream_->Close();
  server_.Removed(shared_from_this());
}

Server::Server(net::Loop& loop, Log& log, net::ListenerPtr listener, SocketBudget& budget,
               const Drain& drain, std::function<bool()> ready,
               std::function<std::uint64_t()> most_body, OnRequest on_request, ServerTerms terms)
    : loop_(loop),
      log_(log),
      budget_(budget),
      drain_(drain),
      ready_(std::move(ready)),
      most_body_(std::move(most_body)),
      on_request_(std::move(on_request)),
      terms_(std::move(terms)),
      listener_(std::move(listener)),
      pause_(loop.NewTimer([this] { Accept(); })),
      drain_timer_(loop.NewTimer([this] { NextPhase(); })) {}

// A head is parsed only once all of it is there.
std::size_t Server::MostReadAhead() const {
  return std::max<std::size_t>(kReadAhead, 2 * std::size_t{terms_.header_limit});
}

void Server::Open() {
  open_ = true;
  Accept();
}

// Idle connections to endpoints first, then clients to whom nothing is owed.
void Server::Shrink() {
  while (budget_.open > budget_.limit && budget_.evict_idle && budget_.evict_idle()) {
  }
  while ((budget_.open > budget_.limit || clients_.size() > MostClients(budget_.limit)) &&
         MakeRoom()) {
  }
  Accept();
}

void Server::Accept() {
  if (accepting_ || closed_ || !open_) return;
  if (clients_.size() >= MostClients(budget_.limit) && !MakeRoom()) return;
  if (!budget_.Take() && !(MakeRoom() && budget_.Take())) {
    budget_.client_waits = true;
    budget_.on_room = [this] { loop_.Post([this] { Accept(); }); };
    return;
  }
  accepting_ = true;
  budget_.client_waits = false;
  listener_->Accept([this](net::Fault fault, net::StreamPtr stream) {
    accepting_ = false;
    if (fault != net::Fault::kNone) return AcceptFailed(fault);
    // Also if the listener has been closed since: the client may have sent its request.
    Accepted(std::move(stream));
    Accept();
  });
}

void Server::AcceptFailed(net::Fault fault) {
  budget_.Release();
  if (closed_) return;
  // Out of descriptors, say: an accept at once would fail again, and so on without end.
  log_.Line(std::string("accept: ") + net::WordOf(fault));
  if (Mutated(Mutant::kAcceptNoMore)) return void(accepting_ = true);
  budget_.evict_idle();
  pause_->ArmAt(loop_.Now() + kAcceptPause);
}

void Server::Accepted(net::StreamPtr stream) {
  const auto client = std::make_shared<Client>(*this, std::move(stream));
  clients_.insert(client);
  client->Start();
}

// Requests wait unseen in the accept queue, so what is not owed an answer makes room for it: first
// those that have had their last, then those without a whole request, the longest so first: a fresh
// one is about to carry a request, and one half read may never be whole. Nothing is walked: under a
// flood this happens with each connection. One that has only just come up is spared for a moment,
// or it would be closed for the next in the queue before its request could get here.
bool Server::MakeRoom() {
  const net::Time now = loop_.Now();
  for (const auto& clients : yielding_) {
    for (const auto& [use, client] : clients) {
      if (client->at_rest() && client->HasUnread()) continue;
      if (client->fresh_until() > now && !Mutated(Mutant::kCloseFresh)) {
        // Those after it are fresher still.
        pause_->ArmAt(client->fresh_until());
        break;
      }
      client->Close();
      return true;
    }
  }
  return false;
}

void Server::Removed(const std::shared_ptr<Client>& client) {
  clients_.erase(client);
  budget_.Release();
  if (closed_) return CheckDone();
  // Not from inside a loop over the clients.
  loop_.Post([this] { Accept(); });
}

void Server::StartDrain() {
  phase_ = Phase::kAnswersClose;
  drained_at_ = loop_.Now();
  drain_timer_->ArmAt(drained_at_ + terms_.drain_window);
}

void Server::EndDrain() {
  phase_ = Phase::kOpen;
  drain_timer_->Cancel();
}

void Server::Leave(bool succeeded, std::function<void()> done) {
  done_ = std::move(done);
  StartDrain();
  if (!succeeded) return;
  closed_ = true;
  listener_->Close();
}

void Server::NextPhase() {
  const bool leaving = drain_.state() == Drain::State::kLeaving;
  if (phase_ == Phase::kAnswersClose) {
    phase_ = Phase::kNoneIdle;
    drain_timer_->ArmAt(drained_at_ + (leaving ? terms_.leave_half_read : kDrainHalfRead));
    if (leaving && !closed_) CloseListener();
    CloseAllIdle();
  } else if (phase_ == Phase::kNoneIdle) {
    phase_ = Phase::kNoneHalfRead;
    RefuseHalfRead();
  }
}

void Server::CloseListener() {
  // Closing a listener resets what stands in its queue, so that is taken out first.
  while (clients_.size() < MostClients(budget_.limit) && budget_.Take()) {
    net::StreamPtr stream = listener_->TakeWaiting();
    if (!stream) {
      budget_.Release();
      break;
    }
    Accepted(std::move(stream));
  }
  closed_ = true;
  listener_->Close();
}

void Server::CloseAllIdle() {
  const auto waiting = yielding_[kWaiting];
  for (const auto& [use, client] : waiting) {
    if (client->at_rest() && !client->HasUnread()) client->Hurry();
  }
  CheckDone();
}

// Its last byte has not come, so it was not taken: trying again is harmless.
void Server::RefuseHalfRead() {
  const auto waiting = yielding_[kWaiting];
  for (const auto& [use, client] : waiting) {
    if (client->half_read()) client->Reject(503, "draining: try again\n");
  }
}

void Server::CheckDone() {
  // The end of the process would close what lingers, and take an answer with it that the client has
  // not read while bytes of its own are unread here.
  if (!closed_ || !shut() || !done_ || !clients_.empty()) return;
  std::exchange(done_, nullptr)();
}

}  // namespace kelpspring
