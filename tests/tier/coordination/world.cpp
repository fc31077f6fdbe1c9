#include "coordination/world.h"

#include <algorithm>

namespace shelflink::coordination {

namespace {

constexpr std::uint16_t kPort = 7361;
constexpr net::Span kFairStep = std::chrono::milliseconds(1);

net::Address AddressOf(std::size_t node) {
  return net::Address::V4(0x0a000001 + static_cast<std::uint32_t>(node), kPort);
}

class ModelStorage : public storage::Storage {
 public:
  explicit ModelStorage(ModelDisk& disk) : disk_(disk) {}
  std::optional<std::string> Get(std::string_view key) const override {
    const auto found = disk_.contents().find(key);
    if (found == disk_.contents().end()) return std::nullopt;
    return found->second;
  }
  void Scan(std::string_view prefix, std::string_view from, const Visitor& visitor) const override {
    auto at = disk_.contents().lower_bound(from < prefix ? prefix : from);
    for (; at != disk_.contents().end(); ++at) {
      if (at->first.compare(0, prefix.size(), prefix) != 0) return;
      if (!visitor(at->first, at->second)) return;
    }
  }
  void Apply(const storage::Batch& batch) override { disk_.Apply(batch); }
  void Sync(Synced) override {}  // The world syncs by itself.
  storage::Usage usage() const override { return {}; }
  storage::Failure failure() const override { return storage::Failure::kNone; }
  std::string failure_text() const override { return ""; }
  Result<void> Recover() override { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

 private:
  ModelDisk& disk_;
};

std::uint64_t HashOf(std::string_view bytes) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
  }
  return hash;
}

}  // namespace

void ModelDisk::ApplyTo(Contents& contents, const storage::Batch& batch) {
  for (const storage::Batch::Change& change : batch.changes()) {
    if (change.value) {
      contents[change.key] = *change.value;
    } else {
      contents.erase(change.key);
    }
  }
}

void ModelDisk::Apply(const storage::Batch& batch) {
  ApplyTo(contents_, batch);
  unsynced_.push_back(batch);
  ++applied_;
}

void ModelDisk::MakeDurable(std::uint64_t applied) {
  for (; durable_count_ < applied; ++durable_count_) {
    ApplyTo(durable_, unsynced_.front());
    unsynced_.pop_front();
  }
}

void ModelDisk::Crash(std::size_t kept) {
  for (std::size_t i = 0; i < std::min(kept, unsynced_.size()); ++i) {
    ApplyTo(durable_, unsynced_[i]);
  }
  unsynced_.clear();
  contents_ = durable_;
  applied_ = 0;
  durable_count_ = 0;
}

World::World(std::size_t size, std::size_t failures) : nodes(size), failures_(failures) {
  for (std::size_t node = 0; node < size; ++node)
    nodes[node].identity = "disk" + std::to_string(node);
  for (std::size_t node = 0; node < std::min<std::size_t>(size, 3); ++node) seeds.push_back(node);
}

std::string World::NameOf(std::size_t node) const {
  return std::to_string(node) + "/" + std::to_string(nodes[node].lives);
}

void World::Start(std::size_t node, bool found) { StartMember(node, found, false); }

void World::FillDisk(std::size_t node, std::size_t kept) {
  Crash(node, kept);
  nodes[node].refuses = true;
  StartMember(node, false, true);
}

void World::MakeRoom(std::size_t node) {
  if (!nodes[node].refuses) return;
  Crash(node, 0);
  StartMember(node, false, true);
}

void World::StartMember(std::size_t node, bool found, bool after_failure) {
  Node& one = nodes[node];
  ++one.lives;
  Member::Options options;
  const std::string disk = one.refuses ? "" : one.identity;
  options.self = {"node" + std::to_string(node), "zone" + std::to_string(node), disk,
                  AddressOf(node)};
  options.incarnation = node * 1000 + one.lives;
  options.found = found;
  options.failures = failures_;
  options.after_failure = after_failure;
  for (const std::size_t seed : seeds) options.seeds.push_back(AddressOf(seed));
  one.transferred.reset();
  one.nothing = ModelDisk();
  const ModelStorage storage(one.refuses ? one.nothing : one.disk);
  one.member.emplace(options, storage, now);
  Run(node, [](Member& member, Step& step, MemberOutput& out) { member.Start(step, out); });
}

void World::Crash(std::size_t node, std::size_t kept) {
  Node& one = nodes[node];
  one.member.reset();
  one.syncs.clear();
  one.waiting.clear();
  one.refuses = false;
  one.disk.Crash(kept);
}

void World::Wipe(std::size_t node) {
  Crash(node, 0);
  nodes[node].disk = ModelDisk();
  nodes[node].identity = "disk" + std::to_string(node) + "." + std::to_string(++nodes[node].disks);
}

void World::Run(std::size_t node, const Event& event) {
  Node& one = nodes[node];
  if (!one.member) return;
  ModelStorage storage(one.refuses ? one.nothing : one.disk);
  Step step{now, storage, ++one.ticket, false};
  MemberOutput out;
  event(*one.member, step, out);
  if (step.wants_sync && !one.refuses) one.syncs.emplace_back(step.ticket, one.disk.applied());
  Carry(node, out);
  Check();
}

void World::Carry(std::size_t node, const MemberOutput& out) {
  Node& one = nodes[node];
  const Member::Options& self = one.member->options();
  for (const auto& [to, message] : out.messages) {
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      if (AddressOf(other) != to) continue;
      flights.push_back({{self.self, self.incarnation}, other, message});
    }
  }
  if (out.reset) history.Committed(NameOf(node), DocumentAt(node));
  for (const Entry& entry : out.committed) {
    for (const Write& write : entry.writes) {
      history.Committed(NameOf(node), DocumentIn({{write.key, write.value.value_or("")}}));
    }
    for (auto at = one.waiting.begin(); at != one.waiting.end();) {
      if (at->first == entry.position) history.Acknowledged(at->second);
      at = at->first.sequence <= entry.position.sequence ? one.waiting.erase(at) : at + 1;
    }
  }
  if (out.transferred) one.transferred = out.transferred;
  for (const MemberOutput::Role& role : out.roles) {
    if (role.primary) {
      history.BecamePrimary(NameOf(node), role.epoch);
    } else {
      one.waiting.clear();
    }
  }
}

void World::DeliverCopy(std::size_t flight) {
  const Flight copy = flights[flight];
  Run(copy.to, [&](Member& member, Step& step, MemberOutput& out) {
    member.OnMessage(step, out, copy.from, copy.message);
  });
}

void World::Deliver(std::size_t flight) {
  const Flight taken = std::move(flights[flight]);
  Lose(flight);
  Run(taken.to, [&](Member& member, Step& step, MemberOutput& out) {
    member.OnMessage(step, out, taken.from, taken.message);
  });
}

void World::EndSync(std::size_t node) {
  Node& one = nodes[node];
  if (one.syncs.empty()) return;
  const auto [ticket, covered] = one.syncs.front();
  one.syncs.pop_front();
  one.disk.MakeDurable(covered);
  Run(node, [&, told = ticket](Member& member, Step& step, MemberOutput& out) {
    member.OnSynced(step, out, told);
  });
}

void World::Fire(std::size_t node) {
  if (!up(node)) return;
  now = std::max(now, nodes[node].member->deadline());
  Run(node, [](Member& member, Step& step, MemberOutput& out) { member.OnTimer(step, out); });
}

void World::Transfer(std::size_t node) {
  Run(node, [](Member& member, Step& step, MemberOutput& out) { member.Transfer(step, out); });
}

void World::NextOrder(std::size_t client) {
  if (orders.size() <= client) orders.resize(client + 1);
  orders[client] = {history.newest(), "order" + std::to_string(++order_count_)};
}

void World::Submit(std::size_t node, std::size_t client) {
  Node& one = nodes[node];
  if (!up(node) || !one.member->Serving(now)) return;
  const Order order = orders[client];
  const std::uint64_t least = history.newest();
  const Document document = DocumentAt(node);
  const auto plan = PlanOf(order, {{kDocumentKey, TextOf(document)}});
  if (plan.has_error() || plan.value().empty()) history.CheckRead(least, document);
  if (plan.has_error()) {
    history.Refused(order);
    return;
  }
  if (plan.value().empty()) {
    history.Acknowledged(order);
    return;
  }
  Run(node, [&](Member& member, Step& step, MemberOutput& out) {
    const auto position = member.Propose(step, out, plan.value());
    if (position.has_value()) nodes[node].waiting.emplace_back(position.value(), order);
  });
}

std::optional<std::size_t> World::Primary() const {
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    if (up(node) && nodes[node].member->Serving(now)) return node;
  }
  return std::nullopt;
}

Document World::DocumentAt(std::size_t node) const {
  const Node& one = nodes[node];
  ModelDisk disk = one.disk;
  const ModelStorage storage(disk);
  Contents contents;
  one.member->replica().ForEach(storage, [&](std::string_view key, std::string_view value) {
    contents.emplace(key, value);
    return true;
  });
  return DocumentIn(contents);
}

void World::Check() {
  std::size_t primaries = 0;
  for (const Node& node : nodes) {
    if (node.member && node.member->primary() && node.member->HasLease(now)) ++primaries;
  }
  history.CheckPrimaryCount(primaries);
}

void World::Run(net::Span span, const Trouble& trouble) {
  const auto still = [&](std::size_t node) { return trouble.still && trouble.still(node); };
  const net::Time until = now + span;
  while (now < until) {
    // What was in flight arrives within this step; syncs that were under way end.
    std::vector<Flight> arriving = std::move(flights);
    flights.clear();
    for (Flight& flight : arriving) {
      const std::size_t from = flight.from.member.address.V4Host() - AddressOf(0).V4Host();
      if (trouble.cut && trouble.cut(from, flight.to)) continue;
      if (still(flight.to)) {
        flights.push_back(std::move(flight));
        continue;
      }
      Run(flight.to, [&](Member& member, Step& step, MemberOutput& out) {
        member.OnMessage(step, out, flight.from, flight.message);
      });
    }
    for (std::size_t node = 0; node < nodes.size(); ++node) {
      if (still(node)) continue;
      const bool stalled = trouble.stalled && trouble.stalled(node);
      const std::size_t under_way = stalled ? 0 : nodes[node].syncs.size();
      for (std::size_t i = 0; i < under_way; ++i) EndSync(node);
      if (up(node) && nodes[node].member->deadline() <= now) Fire(node);
    }
    now += kFairStep;
    Check();
  }
}

bool World::Acknowledges(std::size_t client, net::Span most, const Trouble& trouble) {
  const net::Time until = now + most;
  const std::size_t before = history.acknowledged();
  while (now < until) {
    // An order that lost its race is given up, as a client does on a certain refusal.
    if (orders[client].base < history.newest()) NextOrder(client);
    const auto primary = Primary();
    if (primary && !(trouble.still && trouble.still(*primary))) {
      if (DocumentAt(*primary).version > orders[client].base) {
        history.CheckRead(history.newest(), DocumentAt(*primary));
        orders[client].base = DocumentAt(*primary).version;
      }
      Submit(*primary, client);
    }
    Run(std::chrono::milliseconds(10), trouble);
    if (history.acknowledged() > before) return true;
  }
  return false;
}

std::uint64_t World::Fingerprint() const {
  cbor::Writer out;
  for (const Node& node : nodes) {
    out.Bool(node.member.has_value())
        .Bool(node.refuses)
        .Text(node.identity)
        .Uint(node.syncs.size());
    for (const auto& [key, value] : node.disk.contents()) out.Bytes(key).Bytes(value);
    if (node.member) node.member->Fingerprint(out, now);
    for (const auto& [position, order] : node.waiting) out.Uint(position.sequence);
  }
  std::uint64_t in_flight = 0;  // In any order.
  for (const Flight& flight : flights) {
    cbor::Writer one;
    one.Text(flight.from.member.disk).Uint(flight.from.incarnation).Uint(flight.to);
    one.Bytes(Encode(flight.message));
    in_flight += HashOf(one.data());
  }
  out.Uint(in_flight).Uint(history.newest());
  for (const Order& order : orders) out.Uint(order.base).Text(order.content);
  return HashOf(out.data());
}

std::string World::Describe() const {
  std::string text;
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    text += "node " + std::to_string(node);
    if (!up(node)) {
      text += " down\n";
      continue;
    }
    const Member& member = *nodes[node].member;
    text += " " + nodes[node].identity + " epoch " + std::to_string(member.record().epoch) +
            " primary " + member.record().primary + " replicas";
    for (const CoreMember& replica : member.record().replicas) text += " " + replica.disk;
    text += " witnesses";
    for (const CoreMember& witness : member.record().witnesses) text += " " + witness.disk;
    text += " committed " + std::to_string(member.replica().committed().sequence) + " last " +
            std::to_string(member.replica().last().sequence) +
            (member.replica().complete() ? "" : " incomplete") +
            (member.HasLease(now) ? " LEASE" : "") + "\n";
  }
  return text;
}

}  // namespace shelflink::coordination
