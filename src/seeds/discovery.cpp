// The world's discovery: the emulator's catalog behind listeners, late, old, garbled or gone.
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lab/catalog_wire.h"
#include "lab/wire.h"
#include "seeds/peer.h"
#include "seeds/world.h"

namespace seeds {

using shelflab::AnswerText;
using shelflab::FirstNode;
using shelflab::Health;
using shelflab::kSecond;
using shelflab::Listed;
using shelflab::NodeName;
using shelflab::Reader;
using shelflab::Seen;

constexpr Micros kConnecting = 20'000;  // A connection as young as that may not be up yet.

class DiscoveryLine : public Peer {
 public:
  DiscoveryLine(World& world, std::uint32_t place) : sidecar(place), world_(world) {}
  const std::uint32_t sidecar;
  std::uint64_t call = 0;
  auto& message() { return reader_.message(); }
  void NextRequest() { reader_.Next(); }

 private:
  void Data(std::string_view bytes) override {
    const auto state = reader_.Feed(bytes);
    if (state == Reader<true>::State::kMalformed) return Close();
    if (state == Reader<true>::State::kWhole) world_.OnCall(*this);
  }
  void Over(net::Fault) override {
    if (call == 0) return;
    world_.catalog_.Hangup(call);
    world_.asking_.erase(call);
    world_.sides_[sidecar]->asking.erase(call);
  }

  World& world_;
  Reader<true> reader_;
};

net::Address World::DoorOf(const Side& side, bool other) const {
  return net::Address::V4(kDiscoveryHost,
                          static_cast<std::uint16_t>((other ? 8000 : 5000) + side.place));
}

void World::StartDiscovery() {
  doors_.clear();
  Bury(std::move(discovery_));
  discovery_ = std::make_unique<net::VirtualProcess>(net_, kDiscoveryHost, "discovery", 4096);
  for (const auto& side : sides_) {
    for (const bool other : {false, true}) {
      doors_.push_back(discovery_->Listen(DoorOf(*side, other)));
      AcceptAtDiscovery(side->place, doors_.size() - 1);
    }
  }
}

void World::StopDiscovery() {
  discovery_->Kill();
  asking_.clear();
  for (const auto& side : sides_) side->asking.clear();
}

void World::AcceptAtDiscovery(std::uint32_t place, std::size_t door) {
  doors_[door]->Accept([this, place, door](net::Fault fault, net::StreamPtr stream) {
    if (fault != net::Fault::kNone) return;
    std::erase_if(discovery_lines_, [](const auto& line) { return line->over(); });
    const auto line = std::make_shared<DiscoveryLine>(*this, place);
    discovery_lines_.push_back(line);
    line->Adopt(std::move(stream));
    AcceptAtDiscovery(place, door);
  });
}

void World::OnCall(DiscoveryLine& line) {
  shelflab::CatalogCall call = shelflab::ParseCatalogCall(std::string(line.message().target()));
  call.id = ++next_call_;
  ++ThisSecond().list_calls;
  ++list_calls_by_tenth_[Now() / (kSecond / 10)];
  Return& back = sides_[line.sidecar]->back;
  if (Now() - back.started < kReturnSpan) ++back.list_calls;
  call.tier = sides_[line.sidecar]->tier;
  // One that was told an older list by a discovery that forgot asks for what it never heard of.
  if (Now() < old_until_) {
    line.NextRequest();
    return SendList(line, old_seq_[call.tier], true, old_rows_[call.tier]);
  }
  if (call.after && *call.after > catalog_.Whole(call.tier).first) call.after.reset();
  line.call = call.id;
  if (call.after) sides_[line.sidecar]->asking.insert(call.id);
  asking_[call.id] = std::static_pointer_cast<DiscoveryLine>(line.shared_from_this());
  catalog_.OnCall(Now(), call);
  Settle();
}

void World::AnswerCall(const shelflab::CatalogAnswer& answer) {
  const auto it = asking_.find(answer.call);
  if (it == asking_.end()) return;
  const auto line = it->second.lock();
  asking_.erase(it);
  if (!line || line->over()) return;
  sides_[line->sidecar]->asking.erase(line->call);
  line->call = 0;
  line->NextRequest();
  if (!answer.ok) return line->Send(AnswerText(503, "Service Unavailable", "busy"));
  SendList(*line, answer.seq, answer.whole, answer.rows);
}

std::string World::ListText(std::int64_t seq, bool whole, const std::vector<Listed>& rows) const {
  nlohmann::json hosts = nlohmann::json::array();
  constexpr std::int64_t kStart = 1'700'000'000'000;  // As the network's wall clock begins.
  for (const Listed& row : rows) {
    shelflab::MemberRow member;
    member.host = NodeName(spec_, row.node);
    member.dial = net::Address::V4(nodes_[row.node]->host, kNodePort).Text();
    member.site = "z";
    member.kind = "k";
    member.health = row.health;
    member.born_ms = row.started == 0 ? 0 : kStart + row.started / 1000;
    hosts.push_back(JsonOf(member));
  }
  return nlohmann::json{{"seq", seq}, {"whole", whole}, {"hosts", hosts}}.dump();
}

void World::SendList(DiscoveryLine& line, std::int64_t seq, bool whole,
                     const std::vector<Listed>& rows) {
  const Side& side = *sides_[line.sidecar];
  std::string text = ListText(seq, whole, rows);
  if (garbled_) {
    text.resize(random_.Below(text.size()));
    return line.Send(AnswerText(200, "OK", text));
  }
  line.Send(AnswerText(200, "OK", text));
  // It counts as told when all of it has got there: what a cut holds up arrives at its end, also
  // when the discovery that wrote it has died meanwhile.
  net::VirtualNet::WhenCame(*line.stream(), net::VirtualNet::Sent(*line.stream()) + line.unsent(),
                            [this, place = line.sidecar, life = side.life, seq, whole, rows] {
                              Tell(place, life, seq, whole, rows);
                            });
}

void World::Tell(std::uint32_t place, std::uint64_t life, std::int64_t seq, bool whole,
                 const std::vector<Listed>& rows) {
  Side& side = *sides_[place];
  if (life != side.life || !side.sidecar) return;
  if (seq < side.told) Count(Moment::kOlderList);
  side.told = std::max(side.told, seq);
  if (!rows.empty() && !side.retrying.empty()) Count(Moment::kUpdateInRetry);
  Say([&] {
    return fmt::format("sidecar {} is told version {} ({} rows)", place, seq, rows.size());
  });
  for (const Listed& row : rows) TellRow(side, row);
  if (!whole) return;
  const NodeId first = FirstNode(spec_, side.tier);
  for (NodeId n = first; n < first + spec_.tiers[side.tier].nodes; ++n) {
    const bool named =
        std::any_of(rows.begin(), rows.end(), [n](const Listed& row) { return row.node == n; });
    if (!named) TellRow(side, {n, Health::kDeleted, 0});
  }
}

void World::TellRow(Side& side, const Listed& row) {
  Seen seen;
  seen.kind = row.health == Health::kServing ? Seen::Kind::kServing : Seen::Kind::kTold;
  seen.at = Now();
  seen.node = row.node;
  seen.sidecar = side.place;
  account_.On(seen);
  if (row.health == Health::kServing && side.births[row.node].first != row.started) {
    side.births[row.node] = {row.started, Now()};
  }
  const auto it = connecting_.find(side.place);
  if (row.health == Health::kDraining && it != connecting_.end() && it->second.first == row.node &&
      Now() - it->second.second < kConnecting) {
    Count(Moment::kDrainInConnect);
  }
}

// `at_once`: listed without the lateness that holds otherwise.
void World::Fact(NodeId id, Health health, Micros started, bool at_once) {
  const auto late = catalog_.lateness();
  if (at_once) catalog_.SetLateness(0);
  catalog_.OnFact(Now(), fleet_.tier(id), {id, health, started});
  if (at_once) catalog_.SetLateness(late);
  Arm();
}

}  // namespace seeds
