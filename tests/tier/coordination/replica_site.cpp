#include "coordination/replica_site.h"

#include <algorithm>
#include <stdexcept>

#include "mix.h"
#include "tier/coordination/apply_writes.h"
#include "tier/coordination/catch_up.h"

namespace shelflink::coordination {

namespace {

constexpr milliseconds kTick{300};          // Of the timer and of invitations.
constexpr milliseconds kDecisionTakes{30};  // Each of the two rounds that name a learner.

}  // namespace

// What a storage posts ends a sync: it runs when the disk is through.
class SiteLoop : public net::Loop {
 public:
  SiteLoop(ReplicaSite& site, std::string name) : site_(site), name_(std::move(name)) {}
  net::Time Now() const override { return site_.now_; }
  std::int64_t WallMicros() const override { return 0; }
  std::int64_t LastingMicros() const override { return 0; }
  net::TimerPtr NewTimer(std::function<void()>) override { return nullptr; }
  void Post(std::function<void()> step) override {
    const auto& node = site_.nodes_[name_];
    site_.After(site_.speeds_.sync + node.slower,
                [site = &site_, name = name_, life = node.lives, step = std::move(step)] {
                  if (site->nodes_[name].lives == life && site->nodes_[name].storage) step();
                });
  }
  net::StreamPtr Dial(const net::Address&, net::StreamUser&) override { return nullptr; }
  net::ListenerPtr Listen(const net::Address&) override { return nullptr; }
  net::DatagramsPtr Bind(const net::Address&, net::Datagrams::OnMessage) override {
    return nullptr;
  }

 private:
  ReplicaSite& site_;
  std::string name_;
};

ReplicaSite::ReplicaSite(const std::vector<std::string>& names, SiteSpeeds speeds, OpenStorage open,
                         DigestLimits digests)
    : speeds_(speeds), open_storage_(std::move(open)), digests_(digests) {
  for (const std::string& name : names) {
    Start(name);
    RunStep(name, [&](Step& step, ReplicaOutput&) { ReplicaOf(name).Found(step); });
  }
  Assign(names.front(), names);
  After(kTick, [this] { Tick(); });
}

ReplicaSite::~ReplicaSite() { events_.clear(); }

void ReplicaSite::Start(const std::string& name) {
  Node& node = nodes_[name];
  ++node.lives;
  node.loop = std::make_unique<SiteLoop>(*this, name);
  if (open_storage_) {
    node.storage = open_storage_(*node.loop, name);
  } else {
    node.storage = std::make_unique<storage::CrashStorage>(
        node.disk, [&node](std::function<void()> step) { node.loop->Post(std::move(step)); });
  }
  Replica::Options options;
  options.disk = name;
  options.prefix = "p/";
  options.digests = digests_;
  node.replica.emplace(options, *node.storage);
  if (assignment_.epoch == 0) return;
  RunStep(name, [&](Step& step, ReplicaOutput& out) {
    out.reset = node.replica->complete();
    node.replica->Assign(step, out, assignment_, false);
  });
}

void ReplicaSite::Stop(const std::string& name, std::size_t kept) {
  Node& node = nodes_[name];
  node.replica.reset();
  node.storage.reset();
  node.disk.LosePower(kept);
  node.told.clear();
  node.told_to = {};
}

void ReplicaSite::Assign(const std::string& primary, const std::vector<std::string>& replicas) {
  assignment_.epoch += 1;
  assignment_.primary = primary;
  assignment_.replicas = replicas;
  deciding_.reset();
  for (auto& [name, node] : nodes_) {
    if (!node.replica) continue;
    RunStep(name, [&, &one = name](Step& step, ReplicaOutput& out) {
      ReplicaOf(one).Assign(step, out, assignment_, one == primary);
    });
  }
}

bool ReplicaSite::Names(const std::string& name) const {
  const auto& all = assignment_.replicas;
  return std::find(all.begin(), all.end(), name) != all.end();
}

bool ReplicaSite::Change(std::vector<Write> writes) {
  std::optional<Position> position;
  RunStep(assignment_.primary, [&](Step& step, ReplicaOutput& out) {
    const auto proposed = ReplicaOf(assignment_.primary).Propose(step, out, std::move(writes));
    if (proposed) position = proposed.value();
  });
  if (!position) return false;
  open_[position->sequence] = now_;
  return true;
}

void ReplicaSite::Run(net::Span span) {
  RunUntil([] { return false; }, span);
}

bool ReplicaSite::RunUntil(const std::function<bool()>& holds, net::Span most,
                           const std::function<void()>& each) {
  const net::Time until = now_ + most;
  while (!holds()) {
    if (each) each();
    if (events_.empty() || events_.begin()->first > until) {
      now_ = until;
      return holds();
    }
    now_ = events_.begin()->first;
    const auto step = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    step();
  }
  return true;
}

bool ReplicaSite::SameMap(const std::string& one, const std::string& other) const {
  const auto digest_of = [&](const std::string& name) {
    return DigestOf(PrefixView(*nodes_.at(name).storage, "p/m"), {}).digest;
  };
  return digest_of(one) == digest_of(other);
}

std::uint64_t ReplicaSite::StateBytes(const std::string& name) const {
  return DigestOf(PrefixView(*nodes_.at(name).storage, "p/m"), {}).bytes;
}

void ReplicaSite::After(net::Span span, std::function<void()> step) {
  events_.emplace(now_ + span, std::move(step));
}

void ReplicaSite::RunStep(const std::string& name, const Event& event) {
  Node& node = nodes_[name];
  Step step{now_, *node.storage, ++ticket_, false};
  ReplicaOutput out;
  event(step, out);
  if (node.storage->failed()) throw std::runtime_error("the storage of " + name + " has failed");
  if (step.wants_sync) SyncFor(name, step.ticket);
  Carry(name, out);
}

void ReplicaSite::SyncFor(const std::string& name, Ticket ticket) {
  nodes_[name].storage->Sync([this, name, ticket, life = nodes_[name].lives](const auto& result) {
    if (!result || nodes_[name].lives != life || !nodes_[name].replica) return;
    RunStep(name,
            [&](Step& step, ReplicaOutput& out) { ReplicaOf(name).OnSynced(step, out, ticket); });
  });
}

void ReplicaSite::Carry(const std::string& name, ReplicaOutput& out) {
  Node& node = nodes_[name];
  for (const auto& [to, message] : out.messages) SendOver(name, to, message);
  if (out.reset) {
    ++node.resets;
    node.told.clear();
    node.replica->ForEach(*node.storage, [&](std::string_view key, std::string_view value) {
      node.told.emplace(key, value);
      return true;
    });
    if (node.replica->committed() < node.told_to) throw std::runtime_error("told an older map");
    node.told_to = node.replica->committed();
    if (checks_maps) CheckMap(name, node);
  }
  for (const Entry& entry : out.committed) {
    if (entry.position < node.told_to) throw std::runtime_error("told an older entry");
    node.told_to = entry.position;
    Apply(node.told, entry.writes);
    if (checks_maps) CheckMap(name, node);
    const auto open = open_.find(entry.position.sequence);
    if (name != assignment_.primary || open == open_.end()) continue;
    const net::Span took = now_ - open->second;
    acknowledged.longest = std::max(acknowledged.longest, took);
    acknowledged.total += took;
    ++acknowledged.count;
    open_.erase(open);
  }
}

void ReplicaSite::CheckMap(const std::string& name, const Node& node) {
  std::uint64_t digest = gaugecart::Fnv1a("");
  for (const auto& [key, value] : node.told) {
    digest = gaugecart::Fnv1a(value, gaugecart::Fnv1a(key, digest) * gaugecart::kFnvPrime);
  }
  const auto [known, is_new] = map_digests_.emplace(node.told_to, digest);
  if (is_new && name != assignment_.primary) map_digests_.erase(known);
  if (!is_new && known->second != digest) throw std::runtime_error(name + " was told another map");
}

void ReplicaSite::SendOver(const std::string& from, const std::string& to,
                           const ReplicaMessage& message) {
  const std::string bytes = Encode(AsMessage(message));
  Traffic& counted = traffic[to];
  if (std::holds_alternative<Append>(message)) counted.appended += bytes.size();
  if (std::holds_alternative<CatchUpReply>(message)) {
    counted.copied += bytes.size();
    counted.largest_copied = std::max<std::uint64_t>(counted.largest_copied, bytes.size());
  }
  net::Time& free = link_free_[{from, to}];
  free = std::max(free, now_);
  free += net::Span(
      static_cast<net::Span::rep>(bytes.size() * std::nano::den / speeds_.bytes_per_second));
  const auto waiting = static_cast<std::uint64_t>((free - now_).count());
  counted.most_on_the_way = std::max(
      counted.most_on_the_way, waiting * speeds_.bytes_per_second / std::uint64_t{std::nano::den});
  const std::uint64_t lives = nodes_[to].lives;
  After(free - now_ + speeds_.latency, [this, from, to, bytes, lives] {
    // A connection ends with the process at its other end.
    if (!nodes_[to].replica || nodes_[to].lives != lives) return;
    auto decoded = DecodeMessage(bytes);
    if (!decoded) throw std::runtime_error("a message cannot be read");
    const auto replicated = AsReplicaMessage(std::move(*decoded));
    RunStep(to, [&](Step& step, ReplicaOutput& out) {
      ReplicaOf(to).OnMessage(step, out, from, *replicated);
    });
    for (const std::string& name : invited_) {
      if (to != assignment_.primary || deciding_ || Names(name)) continue;
      if (!ReplicaOf(to).Joined(name)) continue;
      deciding_ = name;
      After(kDecisionTakes, [this, name, epoch = assignment_.epoch] { Decide(name, epoch); });
    }
  });
}

void ReplicaSite::Decide(const std::string& learner, std::uint64_t epoch) {
  if (epoch != assignment_.epoch) return;
  deciding_.reset();
  if (!nodes_[assignment_.primary].replica || !ReplicaOf(assignment_.primary).Joined(learner)) {
    return;
  }
  deciding_ = learner;
  ReplicaOf(assignment_.primary).Require({learner});
  After(kDecisionTakes, [this, learner, epoch] {
    if (epoch != assignment_.epoch) return;
    std::vector<std::string> replicas = assignment_.replicas;
    replicas.push_back(learner);
    Assign(assignment_.primary, replicas);
  });
}

void ReplicaSite::Tick() {
  After(kTick, [this] { Tick(); });
  if (nodes_[assignment_.primary].replica) {
    RunStep(assignment_.primary, [&](Step& step, ReplicaOutput& out) {
      ReplicaOf(assignment_.primary).OnTimer(step, out);
    });
  }
  for (const std::string& name : invited_) {
    if (!nodes_[name].replica || Names(name)) continue;
    const bool joined =
        nodes_[assignment_.primary].replica && ReplicaOf(assignment_.primary).Joined(name);
    if (joined) continue;
    RunStep(name, [&](Step& step, ReplicaOutput& out) { ReplicaOf(name).CatchUp(step, out); });
  }
}

}  // namespace shelflink::coordination
