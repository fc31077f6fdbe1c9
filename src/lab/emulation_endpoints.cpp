// The emulation's endpoints: their requests, their calls to the next tier, their lives.
#include <algorithm>
#include <charconv>

#include "lab/emulation_parts.h"

namespace shelflab {

namespace {

constexpr Micros kSweep = 100'000;  // Idle connections, sidecars' health and the like.
// What discovery has to tell counts as told at the latest so long after it was listed: the longest
// that a sidecar may go without asking, and 6 s for an answer that does not arrive.
constexpr Micros kToldWithin = 16 * kSecond;

}  // namespace

void Emulation::EndpointLine::NextRequest() {
  reader_.Next();
  busy = false;
  owner_.nodes_[node]->connections.OnAnswered(Now(), id);
  if (reader_.has_more()) OnBytes({});
}

void Emulation::EndpointLine::Leave() {
  Node& at = *owner_.nodes_[node];
  at.connections.Closed(id);
  const auto self = at.lines.extract(id);  // Keeps this alive to the end of the function.
}

// As a process that ends, or a machine that is back and knows nothing of before.
void Emulation::ResetLines(NodeId id) {
  Node& node = *nodes_[id];
  node.connections.Clear();
  for (const auto& [connection, line] : std::exchange(node.lines, {})) line->Reset();
}

// ---- Endpoints ----

void Emulation::OnRequest(EndpointLine& line) {
  const Micros now = Now();
  auto& message = line.message();
  const auto self = std::static_pointer_cast<EndpointLine>(line.shared_from_this());
  const auto verdict = nodes_[line.node]->connections.OnRequest(line.id);
  if (verdict == Connections::Verdict::kReset) {
    line.Reset();
    return line.Leave();
  }
  const auto txn_text = message["X-Txn"];
  const auto txn = ParseTxn({txn_text.data(), txn_text.size()});
  const std::string lane(message["X-Lane"]);
  const auto& classes = plan_.fleet.classes;
  const auto cls = std::find_if(classes.begin(), classes.end(),
                                [&](const ClassSpec& c) { return c.name == lane; });
  if (!txn || cls == classes.end()) {
    line.Write(AnswerText(txn ? 400 : 404, "Not a request", ""));
    return line.NextRequest();
  }
  Attempt attempt;
  attempt.id = ++next_attempt_;
  attempt.node = line.node;
  attempt.cls = static_cast<std::uint32_t>(cls - classes.begin());
  attempt.fresh = verdict == Connections::Verdict::kFirst;
  Micros left = 0;
  const auto remaining = message["X-Remaining-Ms"];
  const auto r = std::from_chars(remaining.data(), remaining.data() + remaining.size(), left);
  attempt.due = r.ec == std::errc() ? now + left * 1000 : now + cls->give_up;

  std::uint32_t sidecar = line.sidecar;
  if (OneDoor(fleet_.tier(line.node))) {
    const auto caller = caller_of_.find(*txn);
    sidecar = caller == caller_of_.end() ? UINT32_MAX : caller->second;
  }
  Seen seen;
  seen.kind = Seen::Kind::kAttemptBegan;
  seen.at = now;
  seen.txn = *txn;
  seen.node = line.node;
  seen.sidecar = sidecar;
  seen.cls = attempt.cls;
  seen_(seen);
  Node& node = *nodes_[line.node];
  ++node.window.came;
  Open open;
  open.line = self;
  open.txn = *txn;
  open.cls = attempt.cls;
  open.node = line.node;
  open.tenant = std::string(message["X-Org"]);
  open.came = now;
  open_.emplace(attempt.id, std::move(open));
  if (verdict == Connections::Verdict::kTurnAway) {
    FleetEffect full;
    full.kind = FleetEffect::Kind::kAnswer;
    full.answer = FleetEffect::Answer::kTurnedAway;
    full.attempt = attempt.id;
    Answer(full);
    self->CloseAfterSaying();
    return self->Leave();
  }
  fleet_.OnAttempt(now, attempt);
  Settle();
}

void Emulation::Answer(const FleetEffect& e) {
  const auto it = open_.find(e.attempt);
  if (it == open_.end()) return;
  const Open open = std::move(it->second);
  open_.erase(it);
  const auto line = open.line.lock();
  Node& node = *nodes_[open.node];
  const Micros now = Now();
  Seen seen;
  seen.kind = Seen::Kind::kAttemptEnded;
  seen.at = now;
  seen.txn = open.txn;
  seen.node = open.node;
  std::string text;
  using Way = FleetEffect::Answer;
  switch (e.answer) {
    case Way::kOk:
    case Way::kHalf: {
      std::string body = fmt::format("{{\"txn\":\"{:016x}\",\"node\":{}}}", open.txn, open.node);
      if (body.size() < plan_.answer_bytes) body.resize(plan_.answer_bytes, ' ');
      text = AnswerText(200, "OK", body);
      seen.status = e.answer == Way::kOk ? 200 : 0;
      seen.body = BodyHash(body);
      ++(e.answer == Way::kOk ? node.window.served : node.window.failed);
      node.window.service += static_cast<double>(now - open.came);
      ++node.window.timed;
      if (options_.record) {
        service_times_.push_back({open.node, open.came, now - open.came - open.calling});
      }
      break;
    }
    case Way::kError:
      text = AnswerText(500, "Internal Server Error", "error");
      seen.status = 500;
      ++node.window.failed;
      break;
    case Way::kTurnedAway:
      text = AnswerText(503, "Service Unavailable", "full", "X-Turned-Away: 1\r\n");
      seen.status = 503;
      seen.never_ran = true;
      ++node.window.turned_away;
      break;
    case Way::kReset:
      ++node.window.failed;
      break;
  }
  const bool heard = line && line->open() && !node.silent;
  if (!heard) {
    seen.status = 0;
    seen.never_ran = false;
  }
  seen_(seen);
  if (!heard) return;
  if (e.answer == Way::kReset) {
    line->Reset();
    return line->Leave();
  }
  if (e.answer == Way::kHalf) {
    line->Say(text.substr(0, text.size() / 2));
    line->CloseAfterSaying();
    return line->Leave();
  }
  line->Say(std::move(text));
  line->NextRequest();
}

void Emulation::CallNextTier(const FleetEffect& e) {
  const auto it = open_.find(e.attempt);
  if (it == open_.end()) return;
  Node& node = *nodes_[e.node];
  CallRequest request;
  request.txn = txns_.Bits();
  request.cls_index = e.cls;
  request.cls = &plan_.fleet.classes[e.cls];
  request.tenant = it->second.tenant;
  const Micros now = Now();
  request.due = e.due;
  if (e.due <= now) {
    // No time is left for it: the caller itself fails.
    asio::post(io_, [this, attempt = e.attempt] {
      fleet_.CallDone(Now(), attempt, false);
      Settle();
    });
    return;
  }
  // The tenant's name must outlive the call; the settings have it.
  for (const TenantSpec& t : plan_.fleet.tenants) {
    if (t.name == request.tenant) request.tenant = t.name;
  }
  caller_of_[request.txn] = node.sidecar;
  caller_ends_.emplace_back(now + kCallMemory, request.txn);
  it->second.called_at = now;
  node.calls->Call(request, [this, attempt = e.attempt](const CallResult& result) {
    const Micros ended = Now();
    const auto caller = open_.find(attempt);
    if (caller != open_.end()) caller->second.calling += ended - caller->second.called_at;
    fleet_.CallDone(ended, attempt, result.end == TryEnd::kServed);
    Settle();
  });
}

// ---- Lives of nodes ----

void Emulation::Fact(NodeId id, Health health, Micros started) {
  const Micros now = Now();
  const Listed row{id, health, started};
  catalog_.OnFact(now, fleet_.tier(id), row);
  told_late_.emplace(now + plan_.fleet.discovery.lateness + kToldWithin,
                     std::make_pair(fleet_.tier(id), row));
}

void Emulation::Died(NodeId id) {
  Node& node = *nodes_[id];
  spdlog::info("{} died", NodeName(plan_.fleet, id));
  node.paused = node.silent = false;
  for (auto& door : node.doors) ShutDoor(*door);
  ResetLines(id);
  std::erase_if(open_, [id](const auto& entry) { return entry.second.node == id; });
  if (node.calls) {
    // Its sidecar goes with it, and is owed nothing.
    node.calls->Stop();
    Sidecar& s = *sidecars_[node.sidecar];
    s.wanted = s.ready = false;
    ++s.life;
    s.process.Kill();
  }
  Fact(id, Health::kDeleted, 0);
}

void Emulation::Started(NodeId id) {
  Node& node = *nodes_[id];
  spdlog::info("{} starts", NodeName(plan_.fleet, id));
  for (auto& door : node.doors) OpenDoor(*door);
  if (node.calls) StartSidecar(*sidecars_[node.sidecar]);
  Fact(id, Health::kServing, Now());
}

// Connections that have stood idle too long are closed, those that died are told late.
void Emulation::SweepIdle() {
  sweep_timer_.expires_after(std::chrono::microseconds(kSweep));
  sweep_timer_.async_wait([this](error_code ec) {
    if (ec || stopped_) return;
    const Micros now = Now();
    for (auto& node : nodes_) {
      if (node->paused || node->silent) continue;
      for (const ConnectionId id : node->connections.Expire(now)) {
        const auto line = node->lines.extract(id);
        if (!line.empty()) line.mapped()->Close();
      }
    }
    while (!caller_ends_.empty() && caller_ends_.front().first <= now) {
      caller_of_.erase(caller_ends_.front().second);
      caller_ends_.pop_front();
    }
    CountTold();
    Watch();
    SweepIdle();
  });
}

void Emulation::CountTold() {
  const Micros now = Now();
  while (!told_late_.empty() && told_late_.begin()->first <= now) {
    const auto [tier, row] = told_late_.begin()->second;
    told_late_.erase(told_late_.begin());
    const NodeView view = fleet_.View(row.node);
    // Not if it has changed again since.
    const bool holds = row.health == Health::kDraining ? view.state == NodeState::kDraining
                                                       : view.state == NodeState::kDown;
    if (row.health == Health::kServing || !holds) continue;
    for (const auto& s : sidecars_) {
      if (s->tier == tier) TellRow(s->place, row, now);
    }
  }
}

}  // namespace shelflab
