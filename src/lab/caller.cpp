#include "lab/caller.h"

#include <boost/asio/post.hpp>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "lab/clock.h"

namespace shelflab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// How long a connection may take to come up.
constexpr Micros kConnectLimit = kSecond;

}  // namespace

class Caller::Line : public Stream {
 public:
  Line(Socket socket, Caller* owner) : Stream(std::move(socket)), owner_(owner) {}
  void Disown() { owner_ = nullptr; }
  bool used = false;

 protected:
  void OnBytes(std::string_view bytes) override {
    const auto state = reader_.Feed(bytes);
    if (owner_ == nullptr) return;
    if (state == Reader<false>::State::kMalformed) {
      Close();
      return std::exchange(owner_, nullptr)->Ended(true);
    }
    if (state != Reader<false>::State::kWhole) return;
    auto& message = reader_.message();
    const int status = static_cast<int>(message.result_int());
    const std::string body = std::move(message.body());
    const auto advice = message["Retry-After"];
    const double seconds = advice.empty() ? 0 : std::strtod(std::string(advice).c_str(), nullptr);
    const bool keep = message.keep_alive();
    reader_.Next();
    Caller* owner = owner_;
    if (!keep) {
      owner_ = nullptr;
      Close();
    }
    owner->Answered(status, body, static_cast<Micros>(std::llround(seconds * 1e6)));
  }
  void OnClosed() override {
    if (owner_ != nullptr) std::exchange(owner_, nullptr)->Ended(reader_.begun());
  }

 private:
  Caller* owner_;
  Reader<false> reader_;
};

Caller::~Caller() {
  if (line_) line_->Disown();
}

bool Caller::connected() const { return line_ && line_->open(); }

void Caller::Tell(Seen::Kind kind, Micros at, int status, std::uint64_t body) {
  Seen seen;
  seen.kind = kind;
  seen.at = at;
  seen.txn = kind == Seen::Kind::kFinal && !busy() ? last_txn_ : request_.txn;
  seen.cls = request_.cls_index;
  seen.due = request_.due;
  seen.status = status;
  seen.body = body;
  seen_(seen);
}

void Caller::Call(const CallRequest& request, Done done) {
  request_ = request;
  done_ = std::move(done);
  sent_ = resent_ = false;
  if (connected()) {
    Send();
  } else {
    Open();
  }
}

void Caller::Connect() {
  if (!connected() && !opening_) Open();
}

void Caller::Open() {
  if (opening_) return Arm(Now() + kConnectLimit);
  const auto target = target_();
  const std::uint64_t turn = ++turn_;
  if (!target) {
    asio::post(io_, [self = shared_from_this(), turn] {
      if (turn == self->turn_ && self->busy()) self->Finish({TryEnd::kUnreached, 0, 0, Now()});
    });
    return;
  }
  opening_ = std::make_shared<asio::ip::tcp::socket>(io_);
  Arm(Now() + kConnectLimit);
  opening_->async_connect(*target, [self = shared_from_this(), turn](error_code ec) {
    if (turn != self->turn_ || !self->opening_) return;
    const auto socket = std::exchange(self->opening_, nullptr);
    self->timer_.cancel();
    if (ec) {
      if (self->busy()) self->Finish({TryEnd::kUnreached, 0, 0, Now()});
      return;
    }
    Prepare(*socket);
    ++self->connections_;
    self->line_ = std::make_shared<Line>(std::move(*socket), self.get());
    self->line_->StartReading();
    if (self->busy()) self->Send();
  });
}

void Caller::Send() {
  const Micros now = Now();
  // Before the write: whoever gets it must not be seen to have had it earlier.
  if (!resent_) Tell(Seen::Kind::kTaken, now);
  sent_ = true;
  line_->Write(RequestText(request_, now));
  Arm(request_.due + kClientGrace);
}

void Caller::Answered(int status, std::string_view body, Micros advice) {
  const Micros now = Now();
  Tell(Seen::Kind::kFinal, now, status, BodyHash(body));
  if (!busy()) return line_->Close();  // An answer that nobody asked for.
  line_->used = true;
  TryEnd end = TryEnd::kFailed;
  if (status == 200) end = TryEnd::kServed;
  if (status == 429 || status == 503) end = TryEnd::kRefused;
  Finish({end, status, advice, now});
}

void Caller::Ended(bool answer_begun) {
  const bool reused = line_ && line_->used;
  line_.reset();
  if (!busy() || !sent_) return;
  // A connection that was closed between requests may cross one that the sidecar has not read.
  if (reused && !answer_begun && !resent_) {
    resent_ = true;
    return Open();
  }
  Tell(answer_begun ? Seen::Kind::kGone : Seen::Kind::kCut, Now());
  Finish({TryEnd::kFailed, 0, 0, Now()});
}

void Caller::Finish(CallResult result) {
  timer_.cancel();
  ++turn_;
  opening_.reset();
  last_txn_ = request_.txn;
  const auto done = std::exchange(done_, nullptr);
  sent_ = false;
  if (done) done(result);
}

void Caller::Arm(Micros at) {
  timer_.expires_at(At(at));
  timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (ec) return;
    if (self->opening_) {
      self->opening_.reset();
      ++self->turn_;
    }
    if (!self->busy()) return;
    if (!self->sent_) return self->Finish({TryEnd::kUnreached, 0, 0, Now()});
    // Its connection is of no more use: the answer may still come.
    self->line_->Disown();
    self->line_->Close();
    self->line_.reset();
    self->Finish({TryEnd::kTimedOut, 0, 0, Now()});
  });
}

void Caller::Stop() {
  if (busy() && sent_) Tell(Seen::Kind::kGone, Now());
  if (line_) {
    line_->Disown();
    line_->Reset();
    line_.reset();
  }
  opening_.reset();
  timer_.cancel();
  ++turn_;
  done_ = nullptr;
  sent_ = false;
}

CallerPool::CallerPool(asio::io_context& io,
                       std::function<std::optional<Caller::Endpoint>()> target, SeenSink seen,
                       std::size_t most)
    : io_(io), target_(std::move(target)), seen_(std::move(seen)), most_(most) {}

void CallerPool::Call(const CallRequest& request, Caller::Done done) {
  std::shared_ptr<Caller> caller;
  if (!idle_.empty()) {
    caller = idle_.back();
    idle_.pop_back();
  } else if (all_.size() < most_) {
    caller = all_.emplace_back(std::make_shared<Caller>(io_, target_, seen_));
  } else {
    waiting_.push_back({request, std::move(done)});
    return;
  }
  Start(caller, request, std::move(done));
}

void CallerPool::Start(const std::shared_ptr<Caller>& caller, const CallRequest& request,
                       Caller::Done done) {
  caller->Call(request, [this, caller, life = life_, done = std::move(done)](const CallResult& r) {
    if (life != life_) return;
    idle_.push_back(caller);
    done(r);
    if (waiting_.empty() || idle_.empty()) return;
    Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    Call(next.request, std::move(next.done));
  });
}

void CallerPool::Stop() {
  ++life_;
  for (const auto& caller : all_) caller->Stop();
  all_.clear();
  idle_.clear();
  waiting_.clear();
}

}  // namespace shelflab
