// The world's callers: clients with their time-outs, retries and whims, nodes that call the next
// tier, and whoever else finds the port.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "lab/wire.h"
#include "seeds/peer.h"
#include "seeds/world.h"

namespace seeds {

using shelflab::BodyHash;
using shelflab::kSecond;
using shelflab::Reader;
using shelflab::RequestText;
using shelflab::Seen;
using shelflab::TryEnd;

constexpr Micros kGrace = 60'000;  // Beyond its time until a caller no longer listens.
constexpr Micros kMostInBacklog = 20'000;
constexpr Micros kConnectLimit = kSecond;
constexpr Micros kSlowRead = 30'000;  // Between two reads of a slow reader.

// A caller's connection to a sidecar: one request at a time, kept for the next.
class CallLine : public Peer {
 public:
  CallLine(World& world, net::VirtualProcess& process, std::uint32_t sidecar, std::uint64_t n)
      : number(n),
        place(sidecar),
        world_(world),
        process_(process),
        timer_(process.NewTimer([this] { TimeUp(); })) {}

  const std::uint64_t number;
  const std::uint32_t place;
  bool idle() const { return !ask_ && !over() && up(); }
  net::VirtualProcess& process() { return process_; }

  void Call(Ask ask) {
    ask_ = std::move(ask);
    if (up()) return SendIt();
    timer_->ArmAt(world_.When(std::min(world_.Now() + kConnectLimit, ask_->due)));
    Dial(process_, world_.SidecarAddress(*world_.sides_[place]));
  }

  // The client goes away; nothing is owed to it any more.
  void Leave(std::optional<net::Time> arriving = std::nullopt) {
    if (!ask_ || over()) return;
    const auto self = shared_from_this();
    Tell(Seen::Kind::kLeft);
    timer_->Cancel();
    if (arriving) net::VirtualNet::CloseArriving(*stream(), *arriving);
    Close();
    Done(TryEnd::kTimedOut, 0);
  }
  // Its own process has died: nothing is owed to it.
  void Orphan() {
    if (ask_) Tell(Seen::Kind::kGone);
    ask_.reset();
    Close();
  }
  // Its process stands still: what it sees from now on is late by its own doing.
  void Excuse() {
    if (!ask_ || !sent_) return;
    Tell(Seen::Kind::kGone);
    muted_ = true;
  }
  bool slow = false;

 private:
  void Up() override {
    timer_->Cancel();
    if (ask_) SendIt();
  }

  void SendIt() {
    const Micros now = world_.Now();
    if (!resent_) Tell(Seen::Kind::kTaken);
    sent_ = true;
    sent_at_ = now;
    if (Present()) ++world_.sides_[place]->seen.asked;
    refused_ = RefusedDescriptors();
    shelflab::CallRequest request;
    request.txn = ask_->txn;
    request.cls = &world_.spec_.classes[ask_->cls];
    request.cls_index = ask_->cls;
    request.tenant = ask_->tenant;
    request.due = ask_->due;
    Send(RequestText(request, now));
    timer_->ArmAt(world_.When(ask_->due));
  }

  void Data(std::string_view bytes) override {
    const auto state = reader_.Feed(bytes);
    if (state == Reader<false>::State::kMalformed) {
      world_.Find("malformed answer", fmt::format("{:016x}", ask_ ? ask_->txn : last_txn_));
      Close();
      return Done(TryEnd::kFailed, 0);
    }
    if (state != Reader<false>::State::kWhole) {
      if (slow) Linger();
      if (world_.terminate_in_answer_ == place && !world_.sides_[place]->draining) {
        world_.terminate_in_answer_.reset();
        world_.Count(Moment::kTerminateInAnswer);
        world_.After(0, [w = &world_, p = place] { w->Terminate(p, 300'000); });
      }
      return;
    }
    auto& message = reader_.message();
    const int status = static_cast<int>(message.result_int());
    const auto advice = message["Retry-After"];
    const double seconds = advice.empty() ? 0 : std::strtod(std::string(advice).c_str(), nullptr);
    const bool keep = message.keep_alive();
    if (!ask_ && sent_any_) {
      world_.Find("an answer that nobody asked for", fmt::format("{:016x}", last_txn_));
      return Close();
    }
    Tell(Seen::Kind::kFinal, status, BodyHash(message.body()));
    TryEnd end = TryEnd::kFailed;
    if (status == 200) end = TryEnd::kServed;
    if (status == 429 || status == 503) end = TryEnd::kRefused;
    if (Present()) NoteSeen(status, end);
    reader_.Next();
    used_ = true;
    if (!keep) Close();
    Done(end, static_cast<Micros>(std::llround(seconds * 1e6)));
  }

  void Over(net::Fault) override {
    const auto self = shared_from_this();
    if (!ask_) return Done(TryEnd::kFailed, 0);
    if (!sent_) return Done(TryEnd::kUnreached, 0);
    // A connection that was closed between requests may cross one that the sidecar has not read.
    if (used_ && !reader_.begun() && !net::VirtualNet::BrokenByNet(*stream())) {
      world_.Count(Moment::kIdleCloseCrossing);
      Ask ask = *ask_;
      ask_.reset();
      timer_->Cancel();
      world_.calls_.erase(number);
      return world_.Resend(std::move(ask));
    }
    const World::Side& side = *world_.sides_[place];
    const bool excused =
        net::VirtualNet::BrokenByNet(*stream()) || !side.sidecar || side.life != life_ || slow;
    Tell(excused && !side.draining ? Seen::Kind::kGone : Seen::Kind::kCut);
    Done(TryEnd::kFailed, 0);
  }

  // The sidecar is the one that it was sent to.
  bool Present() const { return world_.sides_[place]->life == life_; }
  void NoteSeen(int status, TryEnd end) {
    const auto how = end == TryEnd::kServed    ? kelpspring::Ending::kAnswered
                     : end == TryEnd::kRefused ? kelpspring::Ending::kRefused
                                               : kelpspring::Ending::kFailed;
    // What was turned away unread was not taken.
    if (status >= 400 && status < 429) return;
    ++world_.sides_[place]->seen.answers[static_cast<std::size_t>(how)];
  }

  void TimeUp() {
    const auto self = shared_from_this();
    if (sent_ && world_.Now() < ask_->due + kGrace) {
      if (HeldByMachine()) Excuse();
      return timer_->ArmAt(world_.When(ask_->due + kGrace));
    }
    Close();
    Done(sent_ ? TryEnd::kTimedOut : TryEnd::kUnreached, 0);
  }

  std::uint64_t RefusedDescriptors() const {
    const auto& process = world_.sides_[place]->process;
    return process ? process->refused_descriptors() : 0;
  }
  // The machine gave the sidecar no descriptor while this waited to be accepted: what is not taken
  // is owed nothing, and what is taken late runs late.
  bool HeldByMachine() {
    return net::VirtualNet::Accepted(*stream()) > world_.When(sent_at_ + kMostInBacklog) &&
           RefusedDescriptors() > refused_;
  }

  void Linger() {
    Hold(true);
    const auto weak = std::weak_ptr<Peer>(shared_from_this());
    world_.After(kSlowRead, [weak] {
      if (const auto self = weak.lock()) self->Hold(false);
    });
  }

  void Tell(Seen::Kind kind, int status = 0, std::uint64_t body = 0) {
    if (muted_) return;
    world_.Say([&] {
      static constexpr std::array<const char*, 5> kWords = {"is sent to", "is answered by",
                                                            "is cut by", "is given up at",
                                                            "is left by its client at"};
      return fmt::format("{:016x} {} sidecar {}{}", ask_->txn,
                         kWords[static_cast<std::size_t>(kind)], place,
                         status == 0 ? std::string() : fmt::format(": {}", status));
    });
    Seen seen;
    seen.kind = kind;
    seen.at = world_.Now();
    seen.txn = ask_->txn;
    seen.cls = ask_->cls;
    seen.sidecar = place;
    // One that reads slowly cannot say when its answer was given.
    seen.due = slow ? ask_->due + 10 * kSecond : ask_->due;
    seen.status = status;
    seen.body = body;
    world_.account_.On(seen);
  }

  void Done(TryEnd end, Micros advice) {
    const auto self = shared_from_this();
    timer_->Cancel();
    if (over()) world_.calls_.erase(number);
    if (!ask_) return;
    const Ask ask = std::move(*ask_);
    ask_.reset();
    last_txn_ = ask.txn;
    sent_any_ = true;
    sent_ = resent_ = slow = muted_ = false;
    world_.Ended(ask, end, advice);
  }

  friend class World;
  World& world_;
  net::VirtualProcess& process_;
  net::TimerPtr timer_;
  Reader<false> reader_;
  std::optional<Ask> ask_;
  std::uint64_t last_txn_ = 0;
  std::uint64_t life_ = 0;
  bool sent_ = false;
  Micros sent_at_ = 0;
  std::uint64_t refused_ = 0;
  bool sent_any_ = false;
  bool resent_ = false;
  bool muted_ = false;
  bool used_ = false;
};

// A peer that means nothing good, or nothing at all.
class Stray : public Peer {
 public:
  explicit Stray(std::string text) : text_(std::move(text)) {}

 private:
  void Up() override {
    if (!text_.empty()) Send(text_);
  }
  void Data(std::string_view) override {}
  void Over(net::Fault) override {}
  std::string text_;
};

void World::NextArrival() {
  const Scene& scene = script_.scene;
  const double rate = scene.rate * knob_.burst;
  After(static_cast<Micros>(random_.Exponential(static_cast<double>(kSecond) / rate)), [this] {
    if (quiet_) return;
    NextArrival();
    Ask ask;
    const double which = random_.Unit();
    ask.cls = which < 0.4 ? 0 : which < 0.75 ? 1 : 2;
    ask.tenant = spec_.tenants[random_.Below(spec_.tenants.size())].name;
    ask.client = static_cast<std::uint32_t>(random_.Below(habits_.size()));
    ask.begun = Now();
    ask.until = Now() + spec_.classes[ask.cls].give_up;
    ++asked_;
    if (Now() > last_fault_ + kBackWithin) ++asked_after_;
    After(0, [this, ask] { Retry(ask); });
  });
}

// One try of a client's request.
void World::Retry(Ask ask) {
  std::vector<std::uint32_t> front;
  for (std::uint32_t i = 0; i < script_.scene.sidecars; ++i) {
    if (sides_[i]->in_front) front.push_back(i);
  }
  const shelflab::ClassSpec& cls = spec_.classes[ask.cls];
  ask.txn = random_.Bits();
  ask.due = Now() + habits_[ask.client].Patience(cls, ask.until - Now());
  if (front.empty()) return Ended(ask, TryEnd::kUnreached, 0);
  ask.sidecar = front[random_.Below(front.size())];
  Begin(std::move(ask));
}

net::VirtualProcess& World::CallerOf(const Ask& ask) {
  return ask.attempt == 0 ? *client_ : *nodes_[open_.at(ask.attempt).node]->process;
}

void World::Begin(Ask ask) {
  ++result_.requests;
  net::VirtualProcess& from = CallerOf(ask);
  std::shared_ptr<CallLine> line;
  for (const auto& [number, candidate] : calls_) {
    if (candidate->idle() && candidate->place == ask.sidecar && &candidate->process() == &from) {
      line = candidate;
    }
  }
  if (!line) {
    line = std::make_shared<CallLine>(*this, from, ask.sidecar, ++next_line_);
    calls_.emplace(line->number, line);
  }
  line->life_ = sides_[ask.sidecar]->life;
  if (ask.attempt == 0) {
    line->slow = random_.Chance(knob_.slow);
    by_txn_[ask.txn] = line;
    if (random_.Chance(knob_.cancel)) {
      const auto at = static_cast<Micros>(random_.Between(0, 300'000));
      After(at, [weak = std::weak_ptr(line), txn = ask.txn] {
        const auto self = weak.lock();
        if (self && self->ask_ && self->ask_->txn == txn && self->up()) self->Leave();
      });
    }
  }
  line->Call(std::move(ask));
}

void World::Resend(Ask ask) {
  const bool gone = ask.attempt != 0 && open_.count(ask.attempt) == 0;
  if (gone || !sides_[ask.sidecar]->sidecar) {
    Seen seen;
    seen.kind = Seen::Kind::kGone;
    seen.at = Now();
    seen.txn = ask.txn;
    account_.On(seen);
    return Ended(ask, TryEnd::kFailed, 0);
  }
  net::VirtualProcess& from = CallerOf(ask);
  const auto line = std::make_shared<CallLine>(*this, from, ask.sidecar, ++next_line_);
  calls_.emplace(line->number, line);
  line->life_ = sides_[ask.sidecar]->life;
  line->resent_ = true;
  line->Call(std::move(ask));
}

void World::Ended(const Ask& ask, TryEnd end, Micros advice) {
  sides_[ask.sidecar]->retrying.erase(ask.txn);
  if (ask.attempt != 0) {
    fleet_.CallDone(Now(), ask.attempt, end == TryEnd::kServed);
    return Settle();
  }
  by_txn_.erase(ask.txn);
  if (end == TryEnd::kRefused) ++ThisSecond().refused;
  if (end != TryEnd::kServed && end != TryEnd::kRefused) ++ThisSecond().failed;
  if (end == TryEnd::kServed) {
    ++ThisSecond().served;
    ++served_;
    if (ask.begun > last_fault_ + kBackWithin) ++served_after_;
    return;
  }
  const auto pause =
      habits_[ask.client].Retry(spec_.classes[ask.cls], end, ask.tries, ask.until - Now(), advice);
  if (!pause) return;
  Ask next = ask;
  ++next.tries;
  ++ThisSecond().retries;
  After(*pause, [this, next] {
    if (next.until > Now()) Retry(next);
  });
}

// What a node that died had called the next tier for.
void World::DropCallsOf(const net::VirtualProcess& process) {
  std::vector<std::shared_ptr<CallLine>> mine;
  for (const auto& [number, line] : calls_) {
    if (&line->process() == &process) mine.push_back(line);
  }
  for (const auto& line : mine) {
    line->Orphan();
    calls_.erase(line->number);
  }
  // Their objects go when nothing of them is on the stack.
  After(0, [mine] {});
}

void World::ExcuseCallsOf(const net::VirtualProcess& process) {
  for (const auto& [number, line] : calls_) {
    if (&line->process() == &process) line->Excuse();
  }
}

// Makes the client's leave reach its sidecar at the instant of the reply to its request.
void World::CancelWithReply(std::uint64_t txn, net::Time arrival) {
  const auto it = by_txn_.find(txn);
  const auto line = it == by_txn_.end() ? nullptr : it->second.lock();
  if (!line || !line->ask_ || line->ask_->txn != txn || !line->up()) return;
  const net::Stream& stream = *line->stream();
  line->Leave(arrival);
  if (net::VirtualNet::Arrival(stream) == arrival) Count(Moment::kCancelWithReply);
}

void World::NewStray(int sort) {
  static const std::array<std::string, 8> kBroken = {
      "nonsense\r\n\r\n",
      "GET /api HTTP/1.1\r\nX-Txn: zz\r\n\r\n",
      "POST /api HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
      "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
      "GET /api HTTP/1.1\r\nX-Lane: read\r\nX-Txn: 00000000000000ff\r\nX-Remaining-Ms: x\r\n\r\n",
      "POST /api HTTP/1.1\r\nContent-Length: 100000\r\n\r\n",
      "GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\n\r\n"};
  std::vector<std::uint32_t> live;
  for (const auto& side : sides_) {
    if (side->sidecar) live.push_back(side->place);
  }
  if (live.empty()) return;
  std::string text;
  if (sort == 1) text = kBroken[random_.Below(kBroken.size())];
  if (sort == 1 && random_.Chance(0.5)) text.resize(random_.Below(text.size()));
  if (sort == 2) {
    for (std::uint64_t i = 2 + random_.Below(40); i > 0; --i) {
      text += "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    }
  }
  const auto stray = std::make_shared<Stray>(std::move(text));
  std::erase_if(strays_, [](const auto& s) { return s->over(); });
  strays_.push_back(stray);
  stray->Dial(*client_, SidecarAddress(*sides_[live[random_.Below(live.size())]]));
  const auto stays = static_cast<Micros>(random_.Between(10'000, 5e6));
  After(stays, [weak = std::weak_ptr(stray), reset = random_.Chance(0.5)] {
    const auto self = weak.lock();
    if (self) reset ? self->Reset() : self->Close();
  });
}

}  // namespace seeds
