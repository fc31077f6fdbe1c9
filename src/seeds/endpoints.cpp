// The world's nodes: the emulator's model behind listeners of the virtual network.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "lab/wire.h"
#include "seeds/peer.h"
#include "seeds/world.h"

namespace seeds {

using shelflab::AnswerText;
using shelflab::BodyHash;
using shelflab::Connections;
using shelflab::FleetEffect;
using shelflab::Health;
using shelflab::NodeName;
using shelflab::ParseTxn;
using shelflab::Reader;
using shelflab::Seen;

constexpr Micros kSweep = 50'000;

class NodeLine : public Peer {
 public:
  NodeLine(World& world, NodeId at, std::uint32_t from, std::uint64_t number)
      : node(at), sidecar(from), id(number), world_(world) {}

  const NodeId node;
  const std::uint32_t sidecar;
  const std::uint64_t id;
  bool busy = false;
  auto& message() { return reader_.message(); }
  // When the first byte of the present request was written.
  net::Time begun() const { return begun_; }

  void NextRequest() {
    reader_.Next();
    busy = false;
    world_.nodes_[node]->connections.OnAnswered(world_.Now(), id);
    if (reader_.has_more()) Data({});
  }
  void Leave() {
    World::Node& at = *world_.nodes_[node];
    at.connections.Closed(id);
    at.lines.erase(id);
  }

 private:
  void Data(std::string_view bytes) override {
    if (!reader_.begun()) begun_ = net::VirtualNet::FirstWritten(*stream());
    const auto state = reader_.Feed(bytes);
    if (state == Reader<true>::State::kMalformed) {
      world_.Find("malformed request to a node", NodeName(world_.spec_, node));
      Reset();
      return Leave();
    }
    if (state != Reader<true>::State::kWhole || busy) return;
    busy = true;
    world_.OnRequest(*this);
  }
  void Over(net::Fault) override { Leave(); }

  World& world_;
  Reader<true> reader_;
  net::Time begun_;
};

void World::StartNode(NodeId id) {
  Node& node = *nodes_[id];
  node.connections.Clear();
  node.lines.clear();
  node.listener.reset();
  Bury(std::move(node.process));
  node.process = std::make_unique<net::VirtualProcess>(net_, node.host, NodeName(spec_, id), 4096);
  node.listener = node.process->Listen(net::Address::V4(node.host, kNodePort));
  AcceptAt(id);
  if (node.sidecar) StartSidecar(*node.sidecar);
}

void World::AcceptAt(NodeId id) {
  nodes_[id]->listener->Accept([this, id](net::Fault fault, net::StreamPtr stream) {
    if (fault != net::Fault::kNone) return;
    Node& node = *nodes_[id];
    std::uint32_t from = UINT32_MAX;
    const auto it = side_of_host_.find(stream->peer().V4Host());
    if (it != side_of_host_.end()) from = it->second;
    const auto line = std::make_shared<NodeLine>(*this, id, from, ++next_line_);
    node.connections.Opened(Now(), line->id);
    ++ThisSecond().connects;
    node.lines.emplace(line->id, line);
    line->Adopt(std::move(stream));
    if (from != UINT32_MAX) connecting_[from] = {id, Now()};
    if (drain_on_accept_ && *drain_on_accept_ == id) {
      drain_on_accept_.reset();
      DrainNode(id, true, true);
      After(drain_lasts_, [this, id] { DrainNode(id, false, false); });
    }
    AcceptAt(id);
  });
}

void World::OnRequest(NodeLine& line) {
  const Micros now = Now();
  const auto self = std::static_pointer_cast<NodeLine>(line.shared_from_this());
  const auto verdict = nodes_[line.node]->connections.OnRequest(line.id);
  if (verdict == Connections::Verdict::kReset) {
    line.Reset();
    return line.Leave();
  }
  auto& message = line.message();
  const auto word = message["X-Txn"];
  const auto txn = ParseTxn({word.data(), word.size()});
  const std::string lane(message["X-Lane"]);
  const auto cls = std::find_if(spec_.classes.begin(), spec_.classes.end(),
                                [&](const auto& c) { return c.name == lane; });
  if (!txn || cls == spec_.classes.end()) {
    Find("malformed request to a node", "X-Txn '" + std::string(word) + "', X-Lane '" + lane + "'");
    line.Send(AnswerText(400, "Bad Request", ""));
    return line.NextRequest();
  }
  shelflab::Attempt attempt;
  attempt.id = ++next_attempt_;
  attempt.node = line.node;
  attempt.cls = static_cast<std::uint32_t>(cls - spec_.classes.begin());
  attempt.fresh = verdict == Connections::Verdict::kFirst;
  Micros left = 0;
  const auto remaining = message["X-Remaining-Ms"];
  const auto r = std::from_chars(remaining.data(), remaining.data() + remaining.size(), left);
  if (r.ec != std::errc()) Find("no time left told", fmt::format("{:016x}", *txn));
  attempt.due = now + left * 1000;
  Seen seen;
  seen.kind = Seen::Kind::kAttemptBegan;
  // A process that stood still reads late what was sent in time.
  seen.at = MicrosOf(net::VirtualNet::Reached(*line.stream()));
  seen.sent = MicrosOf(line.begun());
  seen.txn = *txn;
  seen.node = line.node;
  seen.sidecar = line.sidecar;
  if (line.sidecar < sides_.size()) ++sides_[line.sidecar]->seen.attempts;
  seen.cls = attempt.cls;
  account_.On(seen);
  ++result_.attempts;
  ++ThisSecond().sends;
  const Micros started = fleet_.View(line.node).started;
  if (started > 0 && now - started < spec_.tiers[0].server.warm_up) ++ThisSecond().young;
  Say([&] { return fmt::format("{:016x} reaches {}", *txn, NodeName(spec_, line.node)); });
  open_[attempt.id] = {self,      *txn,         attempt.cls,
                       line.node, line.sidecar, std::string(message["X-Org"])};
  if (verdict == Connections::Verdict::kTurnAway) {
    FleetEffect full;
    full.answer = FleetEffect::Answer::kTurnedAway;
    full.attempt = attempt.id;
    Answer(full);
    self->CloseWhenSent();
    return self->Leave();
  }
  fleet_.OnAttempt(now, attempt);
  Settle();
}

void World::Answer(const FleetEffect& e) {
  const auto it = open_.find(e.attempt);
  if (it == open_.end()) return;
  const Open open = std::move(it->second);
  open_.erase(it);
  const auto line = open.line.lock();
  Seen seen;
  seen.kind = Seen::Kind::kAttemptEnded;
  seen.at = Now();
  seen.txn = open.txn;
  seen.node = open.node;
  std::string text;
  using Way = FleetEffect::Answer;
  if (e.answer == Way::kError || e.answer == Way::kReset) ++ThisSecond().errors;
  if (e.answer == Way::kTurnedAway) ++ThisSecond().turned_away;
  if (e.answer == Way::kOk || e.answer == Way::kHalf) {
    std::string body = fmt::format("{{\"txn\":\"{:016x}\",\"node\":{}}}", open.txn, open.node);
    if (body.size() < script_.scene.answer_bytes) body.resize(script_.scene.answer_bytes, '.');
    text = AnswerText(200, "OK", body);
    seen.status = e.answer == Way::kOk ? 200 : 0;
    seen.body = BodyHash(body);
  } else if (e.answer == Way::kError) {
    text = AnswerText(500, "Internal Server Error", "error");
    seen.status = 500;
  } else if (e.answer == Way::kTurnedAway) {
    text = AnswerText(503, "Service Unavailable", "full", "X-Turned-Away: 1\r\n");
    seen.status = 503;
    seen.never_ran = true;
  }
  const bool heard = line && !line->over();
  if (!heard) {
    seen.status = 0;
    seen.never_ran = false;
  }
  account_.On(seen);
  if (e.answer != Way::kOk && open.sidecar < sides_.size()) {
    sides_[open.sidecar]->retrying.insert(open.txn);
    if (random_.Chance(knob_.update_in_retry)) {
      // Something in the list changes that need not trouble anyone: it is told again.
      const auto rows = catalog_.Whole(fleet_.tier(open.node)).second;
      if (!rows.empty()) {
        const auto& row = rows[random_.Below(rows.size())];
        Fact(row.node, row.health, row.started, true);
      }
    }
  }
  if (!heard) return;
  if (e.answer == Way::kReset) {
    line->Reset();
    return line->Leave();
  }
  if (e.answer == Way::kHalf) {
    line->Send(std::string_view(text).substr(0, text.size() / 2));
    line->CloseWhenSent();
    return line->Leave();
  }
  line->Send(text);
  if (random_.Chance(knob_.cancel_with_reply)) {
    CancelWithReply(open.txn, net::VirtualNet::Arrival(*line->stream()));
  }
  line->NextRequest();
}

void World::CallNextTier(const FleetEffect& e) {
  const auto it = open_.find(e.attempt);
  const Node& node = *nodes_[e.node];
  if (it == open_.end() || !node.sidecar) return;
  Ask ask;
  ask.txn = random_.Bits();
  ask.cls = e.cls;
  ask.tenant = it->second.tenant;
  ask.due = ask.until = e.due;
  ask.sidecar = *node.sidecar;
  ask.attempt = e.attempt;
  if (e.due <= Now()) {
    After(0, [this, attempt = e.attempt] {
      fleet_.CallDone(Now(), attempt, false);
      Settle();
    });
    return;
  }
  Begin(std::move(ask));
}

void World::Died(NodeId id) {
  Node& node = *nodes_[id];
  Say([&] { return NodeName(spec_, id) + " dies"; });
  node.process->Kill();
  DropCallsOf(*node.process);
  node.connections.Clear();
  std::erase_if(open_, [id](const auto& entry) { return entry.second.node == id; });
  // From outside of what is running: its lines may be on the stack.
  After(0, [this, id, lines = std::exchange(node.lines, {})] {});
  if (node.sidecar) EndSidecar(*node.sidecar, true, shelflab::kNever);
  Fact(id, Health::kDeleted, 0);
}

// A sidecar can spare only a node of whose start it was told before the fall began.
void World::Fell(NodeId id) {
  const Micros now = Now();
  const Micros started = fleet_.View(id).started;
  for (const auto& side : sides_) {
    if (side->tier != fleet_.tier(id) || !side->process) continue;
    const auto it = side->births.find(id);
    if (it == side->births.end() || it->second.first < started) return;
    if (now - it->second.second < spec_.tiers[side->tier].server.fall) return;
  }
  Seen seen;
  seen.kind = Seen::Kind::kFellOver;
  seen.at = now;
  seen.node = id;
  account_.On(seen);
}

void World::SweepIdle() {
  for (const auto& node : nodes_) {
    if (!node->process || !node->process->alive() || fleet_.View(node->id).paused) continue;
    for (const auto id : node->connections.Expire(Now())) {
      const auto line = node->lines.extract(id);
      if (!line.empty()) line.mapped()->Close();
    }
  }
  After(kSweep, [this] { SweepIdle(); });
}

}  // namespace seeds
