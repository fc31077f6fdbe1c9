// Whole histories of batch jobs on the virtual network: clients, sidecars (front and runner),
// stores (service and job book) and endpoints, with faults between them. One seed is one history;
// the judge knows what was promised and none of the code.
//
// SHELFLINK_BATCH_SEEDS plays so many seeds in place of kSeeds, SHELFLINK_BATCH_FIRST_SEED from
// there.
#define BOOST_TEST_MODULE batch_history
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "batch/batch_judge.h"
#include "batch/memory_replicas.h"
#include "batch/streaming_endpoints.h"
#include "batch/virtual_nodes.h"
#include "tier/batch/front.h"
#include "tier/batch/runner.h"
#include "tier/batch/store_service.h"

namespace shelflink::batch {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 40;
constexpr std::uint32_t kProxies = 3;
constexpr std::uint32_t kStores = 2;
constexpr std::size_t kPartitions = 2;
constexpr std::uint32_t kFirstStore = 10;  // Number of its machine.
constexpr int kJobs = 12;
constexpr seconds kTrouble{25};
constexpr seconds kClose{75};
constexpr std::uint32_t kMaxAttempts = 3;

struct Proxy {
  Proxy(net::VirtualNet& net, std::uint32_t number, std::mt19937_64& random, BatchJudge& judge,
        cluster::View now)
      : node(net, number, "proxy"), view(std::move(now)), endpoints(node.process, random, judge) {
    const ViewSource source = [this]() -> const cluster::View& { return view; };
    front = std::make_unique<Front>(node.process, *node.hub, source, Bounds());
    runner = std::make_unique<Runner>(node.process, *node.hub, endpoints, source, Bounds());
  }

  Node node;
  cluster::View view;
  StreamingEndpoints endpoints;
  std::unique_ptr<Front> front;
  std::unique_ptr<Runner> runner;
  bool paused = false;
};

struct StoreNode {
  StoreNode(net::VirtualNet& net, std::uint32_t number, SharedPartitions& shared,
            std::uint64_t issuer, const configuration::Configuration& configuration)
      : node(net, number, "store"), replicas(node.process, shared, node.address()) {
    StoreService::Options options;
    options.issuer = issuer;
    options.time_of_day = [this] { return node.process.WallMicros(); };
    service = std::make_unique<StoreService>(node.process, *node.hub, replicas, std::move(options));
    service->OnConfiguration(configuration);
  }

  Node node;
  MemoryReplicas replicas;
  std::unique_ptr<StoreService> service;
};

class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed), net_(seed) {
    configuration_ = MakeConfiguration();
    shared_.all.resize(kPartitions);
    stores_.resize(kStores);
    proxies_.resize(kProxies);
    for (std::uint32_t i = 0; i < kStores; ++i) StartStore(i);
    for (std::uint32_t i = 0; i < kProxies; ++i) StartProxy(i);
    for (std::size_t partition = 0; partition < kPartitions; ++partition) MovePartition(partition);
  }
  ~World() {
    net_.Clear();
    proxies_.clear();
    stores_.clear();
  }

  void Play() {
    for (int number = 0; number < kJobs; ++number) {
      net_.At(net_.Now() + Draw(0, 15'000), [this, number] { SubmitNew(number); });
    }
    for (net::Time at = net_.Now() + Draw(500, 2000); at < net::Time() + kTrouble;
         at += Draw(300, 2500)) {
      net_.At(at, [this] { MakeTrouble(); });
    }
    net_.RunUntil(net::Time() + kClose);
    judge.OnClose();
  }

  BatchJudge judge;

 private:
  struct Client {
    std::string job;
    std::string json;
    std::size_t tenant = 0;
    std::uint64_t next = 0;      // Position to read next.
    std::uint64_t question = 0;  // Answers to earlier ones are not heard any more.
    bool to_be_ended = false;
    bool ended = false;
    bool done = false;
  };

  std::chrono::milliseconds Draw(std::uint64_t low, std::uint64_t high) {
    return std::chrono::milliseconds(low + random_() % (high - low + 1));
  }
  std::size_t DrawIndex(std::size_t count) { return random_() % count; }
  bool Chance(std::uint64_t percent) { return random_() % 100 < percent; }
  bool Troubled() const { return net_.Now() < net::Time() + kTrouble; }

  static std::shared_ptr<configuration::Configuration> MakeConfiguration() {
    auto configuration = std::make_shared<configuration::Configuration>();
    configuration::Route route;
    route.name = "r-jobs";
    route.hostname = "lots.example";
    route.path_prefix = "/jobs/";
    route.kind = configuration::RouteKind::kBatch;
    route.split = {{"captions", 1.0}};
    route.max_attempts = kMaxAttempts;
    route.run_aim = seconds(10);
    route.keep = seconds(600);
    configuration->routes = {route};
    configuration->tenants.resize(3);
    for (std::size_t i = 0; i < 3; ++i) configuration->tenants[i].name = TenantName(i);
    configuration->has_tenants = true;
    configuration->Index();
    return configuration;
  }
  static std::string TenantName(std::size_t index) { return "tenant-" + std::to_string(index); }

  // --- Machines ---

  void StartStore(std::uint32_t index) {
    stores_[index].reset();
    stores_[index] =
        std::make_unique<StoreNode>(net_, kFirstStore + index, shared_, random_(), *configuration_);
    if (placement_) stores_[index]->replicas.OnPlacement(*placement_);
  }
  void StartProxy(std::uint32_t index) {
    proxies_[index].reset();
    cluster::View view;
    view.configuration = configuration_;
    view.placement = placement_;
    proxies_[index] = std::make_unique<Proxy>(net_, index, random_, judge, view);
  }

  // A new row: another store or the same one anew.
  void MovePartition(std::size_t partition) {
    if (!placement_) placement_ = PlacementOf(std::vector<net::Address>(kPartitions), 0);
    auto next = std::make_shared<cluster::Placement>(*placement_);
    cluster::PartitionRow& row = next->rows[partition];
    row.epoch = ++shared_.all[partition].epoch;
    row.primary = StoreAddress(AnyStoreUp());
    placement_ = next;
    for (std::uint32_t i = 0; i < kStores; ++i) {
      net_.At(net_.Now() + Draw(1, 60), [this, i] {
        if (stores_[i] && !store_paused_[i]) stores_[i]->replicas.OnPlacement(*placement_);
      });
    }
    for (std::uint32_t i = 0; i < kProxies; ++i) {
      net_.At(net_.Now() + Draw(1, 400), [this, i, next] { TellPlacement(i, next); });
    }
  }
  void TellPlacement(std::uint32_t index, const std::shared_ptr<const cluster::Placement>& next) {
    Proxy* proxy = proxies_[index].get();
    if (proxy == nullptr) return;
    if (proxy->paused) {
      net_.At(net_.Now() + Draw(50, 400), [this, index, next] { TellPlacement(index, next); });
      return;
    }
    if (proxy->view.placement == placement_) return;
    proxy->view.placement = placement_;
    proxy->front->OnPlacement();
    proxy->runner->OnPlacement();
  }
  net::Address StoreAddress(std::size_t index) const {
    return net::Address::V4(kFirstHost + kFirstStore + static_cast<std::uint32_t>(index), 7000);
  }
  std::size_t AnyStoreUp() {
    for (;;) {
      const std::size_t index = DrawIndex(kStores);
      if (stores_[index] && !store_paused_[index]) return index;
    }
  }

  // --- Trouble ---

  void MakeTrouble() {
    const auto proxy = static_cast<std::uint32_t>(DrawIndex(kProxies));
    const auto store = static_cast<std::uint32_t>(DrawIndex(kStores));
    switch (DrawIndex(6)) {
      case 0:
        return KillProxy(proxy);
      case 1:
        return FreezeProxy(proxy);
      case 2:
        return TakeStore(store, true);
      case 3:
        return TakeStore(store, false);
      case 4:
        net_.ResetBetween(kFirstHost + proxy, kFirstHost + kFirstStore + store);
        return;
      default:
        return CutLink(proxy, store);
    }
  }
  void KillProxy(std::uint32_t index) {
    if (!proxies_[index] || proxies_[index]->paused) return;
    proxies_[index]->node.process.Kill();
    proxies_[index].reset();
    net_.At(net_.Now() + Draw(100, 2500), [this, index] { StartProxy(index); });
  }
  void FreezeProxy(std::uint32_t index) {
    if (!proxies_[index] || proxies_[index]->paused) return;
    SetPaused(index, true);
    net_.At(net_.Now() + Draw(300, 9000), [this, index] { SetPaused(index, false); });
  }
  void SetPaused(std::uint32_t index, bool paused) {
    proxies_[index]->paused = paused;
    proxies_[index]->node.process.SetPaused(paused);
  }
  // The store is killed or freezes; its partitions move when its lease has run out.
  void TakeStore(std::uint32_t index, bool kill) {
    for (std::uint32_t i = 0; i < kStores; ++i) {
      if (!stores_[i] || store_paused_[i]) return;  // One at a time.
    }
    if (kill) {
      stores_[index]->node.process.Kill();
      stores_[index].reset();
    } else {
      store_paused_[index] = true;
      stores_[index]->node.process.SetPaused(true);
    }
    net_.At(net_.Now() + Draw(500, 4000), [this, index] {
      for (std::size_t partition = 0; partition < kPartitions; ++partition) {
        if (placement_->rows[partition].primary == StoreAddress(index)) MovePartition(partition);
      }
    });
    net_.At(net_.Now() + Draw(4100, 6000), [this, index, kill] {
      if (kill) {
        StartStore(index);
      } else {
        store_paused_[index] = false;
        stores_[index]->node.process.SetPaused(false);
        stores_[index]->replicas.OnPlacement(*placement_);
      }
    });
  }
  void CutLink(std::uint32_t proxy, std::uint32_t store) {
    const std::uint32_t one = kFirstHost + proxy;
    const std::uint32_t other = kFirstHost + kFirstStore + store;
    net_.SetCut(one, other, true);
    net_.At(net_.Now() + Draw(200, 8000), [this, one, other] { net_.SetCut(one, other, false); });
  }

  // --- Clients ---

  void SubmitNew(int number) {
    Client& client = clients_[number];
    client.job = "job-" + std::to_string(number);
    client.tenant = DrawIndex(3);
    client.to_be_ended = Chance(40);
    std::map<std::string, ItemNature> items;
    client.json = R"({"requests":[)";
    const std::uint64_t count = 1 + random_() % 8;
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::string id = client.job + "/" + std::to_string(i);
      items[id] = {1 + random_() % 12, Chance(8), Chance(5)};
      client.json += (i == 0 ? "" : ",") + (R"({"id":")" + id) +
                     R"(","path":"/jobs/x","headers":{},"body":"Zm9v","tokens":10})";
    }
    client.json += "]}";
    judge.OnSubmitted(client.job, std::move(items), kMaxAttempts);
    Submit(number);
  }

  // A sidecar that the client reaches; null: it hears nothing.
  Proxy* AnyProxy() {
    Proxy* proxy = proxies_[DrawIndex(kProxies)].get();
    return proxy == nullptr || proxy->paused ? nullptr : proxy;
  }
  proxy::BatchCaller CallerOf(const Client& client, const Proxy& proxy) const {
    return {configuration_, &configuration_->routes[0], TenantName(client.tenant),
            proxy.node.process.Now()};
  }
  // Begins a question; after `patience` without an answer the client goes on by `otherwise`.
  std::uint64_t Ask(int number, std::chrono::milliseconds patience, void (World::*otherwise)(int)) {
    const std::uint64_t question = ++clients_[number].question;
    net_.At(net_.Now() + patience, [this, number, question, otherwise] {
      if (clients_[number].question == question) (this->*otherwise)(number);
    });
    return question;
  }
  // Whether an answer is still waited for; it is answered then.
  bool Heard(int number, std::uint64_t question) {
    if (clients_[number].question != question) return false;
    ++clients_[number].question;
    return true;
  }
  void Later(int number, std::chrono::milliseconds pause, void (World::*step)(int)) {
    net_.At(net_.Now() + pause, [this, number, step] { (this->*step)(number); });
  }

  void Submit(int number) {
    Client& client = clients_[number];
    const std::uint64_t question = Ask(number, milliseconds(4000), &World::Submit);
    Proxy* proxy = AnyProxy();
    if (proxy == nullptr) return;
    proxy->front->Submit(CallerOf(client, *proxy), {client.job, client.json},
                         [this, number, question](const Result<void>& result) {
                           if (!Heard(number, question)) return;
                           OnSubmitAnswer(number, result);
                         });
    // The client's impatience: the same job at another sidecar while the first is under way.
    if (Chance(10)) Later(number, Draw(1, 300), &World::SubmitBeside);
  }
  void SubmitBeside(int number) {
    const Client& client = clients_[number];
    Proxy* proxy = AnyProxy();
    if (proxy == nullptr || client.ended) return;
    proxy->front->Submit(CallerOf(client, *proxy), {client.job, client.json},
                         [](const Result<void>&) {});
  }
  void OnSubmitAnswer(int number, const Result<void>& result) {
    if (result) {
      judge.OnAccepted(clients_[number].job);
      Later(number, Draw(0, 500), &World::Read);
      return;
    }
    if (result.error().code != ErrorCode::kUnknown) {
      judge.violations.push_back("submission refused: " + result.error().text);
    }
    Later(number, Draw(10, 300), &World::Submit);
  }

  void Read(int number) {
    Client& client = clients_[number];
    if (client.to_be_ended && !client.ended && Chance(20)) return End(number);
    const std::uint64_t question = Ask(number, milliseconds(2500), &World::Read);
    Proxy* proxy = AnyProxy();
    if (proxy == nullptr) return;
    const std::uint64_t after = Chance(30) ? 0 : client.next;
    proxy->front->Read(CallerOf(client, *proxy), {client.job, after, Draw(0, 1000)},
                       [this, number, question, after](const Result<proxy::BatchPage>& page) {
                         if (!Heard(number, question)) return;
                         OnPage(number, after, page);
                       });
  }
  void OnPage(int number, std::uint64_t after, const Result<proxy::BatchPage>& page) {
    Client& client = clients_[number];
    if (page) {
      judge.OnPage(client.job, after, page.value());
      client.next = std::max(client.next, after + page.value().results.size());
    } else if (page.error().code == ErrorCode::kNotFound) {
      judge.OnNotFound(client.job);
    }
    Later(number, Draw(100, 700), &World::Read);
  }

  void End(int number) {
    Client& client = clients_[number];
    judge.OnEndAsked(client.job);
    const std::uint64_t question = Ask(number, milliseconds(4000), &World::End);
    Proxy* proxy = AnyProxy();
    if (proxy == nullptr) return;
    proxy->front->End(CallerOf(client, *proxy), client.job,
                      [this, number, question](const Result<void>& result) {
                        if (!Heard(number, question)) return;
                        OnEndAnswer(number, result);
                      });
  }
  void OnEndAnswer(int number, const Result<void>& result) {
    Client& client = clients_[number];
    if (!result) {
      if (result.error().code == ErrorCode::kNotFound) judge.OnNotFound(client.job);
      return Later(number, Draw(10, 300), &World::End);
    }
    client.ended = true;
    judge.OnEndAcknowledged(client.job, net_.Now());
    Later(number, Draw(10, 300), &World::Read);
  }

  std::mt19937_64 random_;
  net::VirtualNet net_;
  std::shared_ptr<configuration::Configuration> configuration_;
  SharedPartitions shared_;
  std::shared_ptr<const cluster::Placement> placement_;
  std::vector<std::unique_ptr<StoreNode>> stores_;
  bool store_paused_[kStores] = {};
  std::vector<std::unique_ptr<Proxy>> proxies_;
  Client clients_[kJobs];
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

BOOST_AUTO_TEST_CASE(promises_hold_in_every_history) {
  const std::uint64_t first = FromEnvironment("SHELFLINK_BATCH_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SHELFLINK_BATCH_SEEDS", kSeeds);
  std::size_t results = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      World world(seed);
      world.Play();
      for (const std::string& violation : world.judge.violations) BOOST_ERROR(violation);
      results += world.judge.results();
    }
  }
  BOOST_TEST(results > count * kJobs);  // The histories are about something.
}

}  // namespace
}  // namespace shelflink::batch
