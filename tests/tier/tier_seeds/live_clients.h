// Clients of live requests: what they ask, at which sidecars, and what they hold the answers to.
//
// - Every answer belongs to its request: id, stamp, status and the endpoint's whole body.
// - What may run once is never sent again by the tier; 408, 421, 429 and 503 promise "not run".
// - The events of a stream are whole, in order, of one run unless the stream may be resumed.
// - No sidecar goes back to an older configuration within a life.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_LIVE_CLIENTS_H_
#define SHELFLINK_TESTS_TIER_SEEDS_LIVE_CLIENTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/random.h"
#include "net/virtual.h"
#include "tier_seeds/deployment.h"
#include "tier_seeds/endpoint_fleet.h"
#include "tier_seeds/http_caller.h"
#include "tier_seeds/journal.h"
#include "tier_seeds/machines.h"
#include "tier_seeds/operators.h"

namespace shelflink::tier_seeds {

using Proxies = std::vector<std::unique_ptr<ProxyMachine>>;

// The platform's way in: asks every sidecar whether it is ready, and hands out those that are.
class Ingress {
 public:
  Ingress(HttpCallers& callers, const Proxies& proxies, std::uint64_t seed);

  void Start(net::VirtualNet& net, net::Time until);
  // One of those that are in; of all if fewer than half of them are.
  std::size_t Pick();
  bool in(std::size_t proxy) const { return states_[proxy].in; }
  // The last check's answer was 200.
  bool ready(std::size_t proxy) const { return states_[proxy].missed == 0; }

 private:
  struct State {
    bool in = false;
    int missed = 2;
  };
  void Check(net::VirtualNet& net, std::size_t proxy, net::Time until);

  HttpCallers& callers_;
  const Proxies& proxies_;
  shelflab::Random random_;
  std::vector<State> states_;
};

class LiveClients {
 public:
  LiveClients(net::VirtualNet& net, Journal& journal, Ledger& ledger, Operators& operators,
              const Proxies& proxies, Ingress& ingress, HttpCallers& callers,
              const Deployment& deployment);

  void Start(net::Time until);
  // From now on every request counts for the share that is served.
  void CountFromNow();
  // Whether the tier serves again: enough requests, every sidecar, the newest configuration.
  void JudgeCalm();

 private:
  struct Call {
    std::string id;
    std::size_t proxy = 0;
    std::uint64_t life = 0;  // Of the proxy.
    net::Time sent{};
    std::string target;
    int events_before = 0;  // Of a stream that is taken up again,
    int taken_up = 0;       // and how often it was.
    bool counted = false;
  };
  struct Seen {  // The newest configuration seen in force at a proxy in its present life.
    std::uint64_t life = 0;
    std::uint64_t version = 0;
    net::Time at{};
  };

  void Next(net::Time until);
  void Begin();
  AskedRequest DrawRequest();
  void AskOn(HttpConnection& connection, std::size_t proxy, int more);
  HttpRequestText TextFor(const Call& call, const AskedRequest& asked);
  Call NewCall(std::size_t proxy, const AskedRequest& asked);
  void Judge(const Call& call, const HttpOutcome& outcome);
  void JudgeStamped(const Call& call, const AskedRequest& asked, const HttpOutcome& outcome,
                    const std::string& stamp);
  void JudgeEvents(const Call& call, const AskedRequest& asked, const HttpOutcome& outcome,
                   const EndpointRun& run);
  void JudgeUnstamped(const Call& call, const AskedRequest& asked, const HttpOutcome& outcome);
  void TakeUpAgain(const Call& before, int events);
  void AskForbidden();
  void Probe(std::size_t proxy, net::Time until);
  void AskForMarker(std::size_t proxy, const ConfigurationOrder& order);
  void SawMarker(const Call& call, const std::string& tag);

  net::VirtualNet& net_;
  Journal& journal_;
  Ledger& ledger_;
  Operators& operators_;
  const Proxies& proxies_;
  Ingress& ingress_;
  HttpCallers& callers_;
  const Deployment& deployment_;
  shelflab::Random random_;
  std::uint64_t ids_ = 0;
  std::vector<Seen> seen_;                        // By proxy.
  std::map<std::size_t, std::string> marker_at_;  // By proxy: the tag served last.
  bool counting_ = false;
  std::uint64_t counted_ = 0;
  std::uint64_t served_ = 0;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_LIVE_CLIENTS_H_
