// The emulation's discovery: what each sidecar was told, and when that counts as told.
#include <chrono>

#include "lab/emulation_parts.h"

namespace shelflab {

namespace {

// What a sidecar counts as told by a row of a list.
Seen ToldOf(std::uint32_t sidecar, const Listed& row, Micros at) {
  Seen seen;
  seen.kind = row.health == Health::kServing ? Seen::Kind::kServing : Seen::Kind::kTold;
  seen.at = at;
  seen.node = row.node;
  seen.sidecar = sidecar;
  return seen;
}

}  // namespace

Micros WallClock(Micros time) {
  const auto wall = std::chrono::system_clock::now() + std::chrono::microseconds(time - Now());
  return std::chrono::duration_cast<std::chrono::microseconds>(wall.time_since_epoch()).count();
}

// A row of the list, as discovery tells it and as a configuration knows it.
nlohmann::json RowText(const FleetSpec& fleet, const Listed& row, const tcp::endpoint& dial,
                       const std::string& kind) {
  return JsonOf(MemberRow{NodeName(fleet, row.node), AddressText(dial), fleet.zone, kind,
                          row.health, row.started == 0 ? 0 : WallClock(row.started) / 1000});
}

// ---- Discovery ----

void Emulation::OnDiscoveryCall(DiscoveryLine& line) {
  const std::string target(line.message().target());
  if (target.rfind("/catalog/members", 0) != 0) {
    line.Write(AnswerText(404, "Not Found", ""));
    return line.NextRequest();
  }
  Note(FleetNote::Kind::kCalled, *sidecars_[line.sidecar]);
  CatalogCall call = ParseCatalogCall(target);
  call.id = ++next_call_;
  call.tier = sidecars_[line.sidecar]->tier;
  line.call = call.id;
  asking_[call.id] = std::static_pointer_cast<DiscoveryLine>(line.shared_from_this());
  catalog_.OnCall(Now(), call);
  Settle();
}

void Emulation::AnswerDiscovery(const CatalogAnswer& answer) {
  const auto it = asking_.find(answer.call);
  if (it == asking_.end()) return;
  const auto line = it->second.lock();
  asking_.erase(it);
  if (!line || !line->open()) return;
  line->call = 0;
  line->NextRequest();
  if (!answer.ok) return line->Say(AnswerText(503, "Service Unavailable", "busy"));
  nlohmann::json hosts = nlohmann::json::array();
  const Sidecar& side = *sidecars_[line->sidecar];
  for (const Listed& row : answer.rows) {
    const Node& node = *nodes_[row.node];
    const std::size_t door = OneDoor(side.tier) ? 0 : side.number;
    hosts.push_back(RowText(plan_.fleet, row, node.doors[door]->address, fleet_.kind(row.node)));
  }
  const nlohmann::json body = {{"seq", answer.seq}, {"whole", answer.whole}, {"hosts", hosts}};
  line->Say(AnswerText(200, "OK", body.dump()),
            [this, place = line->sidecar, life = side.life, answer] {
              Sidecar& told = *sidecars_[place];
              if (life != told.life) return;
              const Micros now = Now();
              for (const Listed& row : answer.rows) TellRow(place, row, now);
              if (answer.whole) TellAbsent(place, answer.rows, now);
              Learn(told, answer);
            });
}

void Emulation::Learn(Sidecar& s, const CatalogAnswer& answer) {
  Note(FleetNote::Kind::kTold, s, answer.seq);
  if (answer.whole) s.had.rows.clear();
  s.had.seq = answer.seq;
  for (const Listed& row : answer.rows) {
    if (row.health == Health::kDeleted) {
      s.had.rows.erase(row.node);
    } else {
      s.had.rows[row.node] = row;
    }
  }
  if (relay_ && s.tier == 0) versions_[answer.seq] = s.had.rows;
}

std::vector<Seen> Emulation::HeardBy(std::uint32_t number, std::int64_t version, Micros at) const {
  std::vector<Seen> told;
  const auto rows = versions_.find(version);
  if (rows == versions_.end()) return told;
  for (NodeId node = 0; node < plan_.fleet.tiers.front().nodes; ++node) {
    const auto row = rows->second.find(node);
    const bool listed = row != rows->second.end();
    told.push_back(ToldOf(number, listed ? row->second : Listed{node, Health::kDeleted, 0}, at));
  }
  return told;
}

// What a whole list does not name is gone.
void Emulation::TellAbsent(std::uint32_t sidecar, const std::vector<Listed>& rows, Micros at) {
  const std::uint32_t tier = sidecars_[sidecar]->tier;
  const NodeId first = FirstNode(plan_.fleet, tier);
  std::vector<bool> named(plan_.fleet.tiers[tier].nodes);
  for (const Listed& row : rows) named[row.node - first] = true;
  for (NodeId n = 0; n < named.size(); ++n) {
    if (!named[n]) TellRow(sidecar, {first + n, Health::kDeleted, 0}, at);
  }
}

void Emulation::TellRow(std::uint32_t sidecar, const Listed& row, Micros at) {
  seen_(ToldOf(sidecar, row, at));
}

}  // namespace shelflab
