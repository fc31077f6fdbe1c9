// Endpoints as PROTOCOL describes them, with all that may go wrong at one, and the ledger of what
// was asked and what has run: it judges what an endpoint sees.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_ENDPOINT_FLEET_H_
#define SHELFLINK_TESTS_TIER_SEEDS_ENDPOINT_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "net/virtual.h"
#include "proxy/proxy_fixture.h"
#include "tier_seeds/contact_record.h"
#include "tier_seeds/deployment.h"
#include "tier_seeds/journal.h"
#include "tier_seeds/platform_world.h"

namespace shelflink::tier_seeds {

// A request as its client sent it.
struct AskedRequest {
  std::string method;
  std::string target;
  std::string body;
  std::string tenant;   // Empty: a public route.
  std::string service;  // The only one that any configuration allows; empty: either.
  bool once = false;    // It may run once at most.
  bool events = false;  // Answered by a stream of events.
  bool resumable = false;
  bool is_item = false;  // Of a batch job.
  bool doomed = false;   // Every endpoint answers 422.
  net::Time at{};        // When it was sent.
};

// One run of a request at an endpoint.
struct EndpointRun {
  std::string endpoint;
  std::string service;
  std::string stamp;
  int status = 200;
  std::string body;     // Whole; of a stream that began at its first event.
  bool broken = false;  // The endpoint itself spoiled the answer.
  net::Time at{};
};

class Ledger {
 public:
  Ledger(const net::VirtualNet& net, Journal& journal) : net_(net), journal_(journal) {}

  void Ask(const std::string& id, AskedRequest request);
  const AskedRequest* Asked(const std::string& id) const;
  // The client was told that it has not run and never will.
  void Promise(const std::string& id, const std::string& how);
  EndpointRun& Run(const std::string& id, EndpointRun run);
  const EndpointRun* RunWithStamp(const std::string& id, const std::string& stamp) const;
  std::size_t Runs(const std::string& id) const;
  std::size_t RunsAnswered(const std::string& id, int status) const;
  std::optional<net::Time> LastRun(const std::string& id) const;
  // An endpoint has sent its last event.
  void RanWhole(const std::string& id) { whole_.insert(id); }
  bool HasWholeRun(const std::string& id) const { return whole_.contains(id); }

 private:
  const net::VirtualNet& net_;
  Journal& journal_;
  std::map<std::string, AskedRequest> asked_;
  std::map<std::string, std::vector<std::unique_ptr<EndpointRun>>> runs_;
  std::map<std::string, std::string> promises_;
  std::set<std::string> whole_;
};

// Events of a stream: how many, and their data, by the request's target. Those that may not be
// resumed carry the stamp of their run, so that pieces of two runs are told apart.
int EventCount(const std::string& target);
std::string EventData(const std::string& key, int number);
std::string EventText(const std::string& key, int number);

class EndpointFleet {
 public:
  EndpointFleet(net::VirtualNet& net, Journal& journal, Ledger& ledger, PlatformWorld& platform,
                const ContactRecord& contact, const Deployment& deployment);
  ~EndpointFleet();

  // Endpoints leave in order now and then, all day.
  void Start();
  // Of those that are not given up.
  std::size_t AnyPlace(shelflab::Random& random) const;
  // A new incarnation takes the place after a while, perhaps at the address of another.
  void Crash(std::size_t place);
  void ResetConnections(std::size_t place);
  // Leaves in order: listed as draining and ended some time after its drain span, at times long
  // after; another comes in a place of its own, and this one is given up.
  void Drain(std::size_t place);
  // Share of answers that something is wrong with.
  void SetMischief(double share) { mischief_ = share; }

 private:
  struct Serving {
    proxy_test::Message request;
    std::string id;
    const AskedRequest* asked = nullptr;
    EndpointRun* run = nullptr;
    int next_event = 1;
    int last_event = 0;
  };
  struct Place {
    std::string service;
    std::string zone;
    std::uint32_t host = 0;
    proxy_test::Endpoint* now = nullptr;
    bool draining = false;
    bool given_up = false;
    std::optional<net::Time> harmed_at;  // The links to it were broken.
    std::set<proxy_test::Endpoint::Connection*> busy;
    std::set<proxy_test::Endpoint::Connection*>
        cut_short;  // Half an answer went out, no more follows.
  };
  using Line = proxy_test::Endpoint::Connection;

  void StartAt(std::size_t place, std::uint32_t host);
  void ReleaseLater();
  // Judges the rule DRAIN: a request that is no health check reaches the endpoint on this line.
  void CheckDrain(const Place& place, const proxy_test::Endpoint& endpoint, const Line& line,
                  const std::string& id, const AskedRequest& asked);
  void TellPlatform();
  void Serve(std::size_t place, proxy_test::Endpoint& endpoint, Line& line,
             const proxy_test::Message& request);
  bool Accepts(const proxy_test::Endpoint& endpoint, const Place& place, Line& line,
               const proxy_test::Message& request);
  void CheckUnchanged(const std::string& id, const AskedRequest& asked,
                      const proxy_test::Message& request);
  void Answer(std::size_t place, proxy_test::Endpoint& endpoint, Line& line,
              const std::shared_ptr<Serving>& serving);
  void AnswerWrongly(std::size_t place, proxy_test::Endpoint& endpoint, Line& line,
                     const std::shared_ptr<Serving>& serving);
  void Events(std::size_t place, proxy_test::Endpoint& endpoint, Line& line,
              const std::shared_ptr<Serving>& serving);
  void Done(std::size_t place, const proxy_test::Endpoint& endpoint, Line& line);
  std::string Head(const Serving& serving, const std::string& more) const;
  std::string Whole(const Serving& serving) const;
  net::Span ServiceTime();

  net::VirtualNet& net_;
  Journal& journal_;
  Ledger& ledger_;
  PlatformWorld& platform_;
  const ContactRecord& contact_;
  const Deployment& deployment_;
  shelflab::Random random_;
  shelflab::Random releases_;
  double mischief_ = 0;
  std::vector<Place> places_;
  std::map<std::string, int> late_;  // Requests that broke DRAIN, by endpoint.
  std::vector<std::unique_ptr<proxy_test::Endpoint>> all_;
  std::uint32_t next_host_ = kFirstEndpoint;
  std::uint64_t incarnations_ = 0;
  std::uint64_t stamps_ = 0;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_ENDPOINT_FLEET_H_
