// Clients of batch jobs: submit, submit again, read from any position, ask for bodies, end; and
// what they hold the tier to.
//
// - A batch job that was accepted can be read; a position that was read holds the same for ever.
// - The text of a completed item is its whole output in order; a dead letter has a reason.
// - Until an item is listed its body can be had, byte for byte, unless the job was ended.
// - No item runs of a job whose every try was refused, nor long after an end was acknowledged.
// - What is accepted for a tenant stays within its quota.
// - In the end, when all is calm, every item of a job that was not ended is listed.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_BATCH_CLIENTS_H_
#define SHELFLINK_TESTS_TIER_SEEDS_BATCH_CLIENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "net/virtual.h"
#include "tier_seeds/deployment.h"
#include "tier_seeds/endpoint_fleet.h"
#include "tier_seeds/http_caller.h"
#include "tier_seeds/journal.h"
#include "tier_seeds/live_clients.h"

namespace shelflink::tier_seeds {

struct BatchItem {
  std::string id;
  std::string target;
  std::string body;
  std::uint64_t tokens = 0;
};

struct BatchResultSeen {
  std::string id;
  std::string state;
  std::string text;
  bool operator==(const BatchResultSeen&) const = default;
};

struct BatchJob {
  std::string id;
  std::string key;
  std::string tenant;
  std::vector<BatchItem> items;
  std::string body;      // As it is submitted.
  bool unclear = false;  // A try that was neither accepted nor refused.
  bool given_up = false;
  std::optional<net::Time> accepted;
  bool end_asked = false;
  std::optional<net::Time> end_acknowledged;
  std::vector<BatchResultSeen> read;  // By position.
};

class BatchClients {
 public:
  BatchClients(net::VirtualNet& net, Journal& journal, Ledger& ledger, const Proxies& proxies,
               Ingress& ingress, HttpCallers& callers, const Deployment& deployment);

  // New jobs until then; old ones are read on.
  void Start(net::Time until, net::Time end);
  // Reads everything from the start, asks for bodies of what is not listed.
  void ReadBack(net::Time end);
  void Judge();

 private:
  using Job = std::shared_ptr<BatchJob>;

  void Next(net::Time until, net::Time end);
  Job DrawJob();
  void Submit(const Job& job, int attempt, net::Time end);
  void Accepted(const Job& job, net::Time end);
  bool MayBeDead(const BatchItem& item) const;
  bool MayBeOver(const BatchItem& item) const;
  void CheckQuota(const BatchJob& accepted);
  void Follow(const Job& job, net::Time end);
  void Read(const Job& job, std::size_t from, net::Time end, bool must);
  void TookPage(const Job& job, std::size_t from, const std::string& json);
  void TookResult(const Job& job, std::size_t position, const BatchResultSeen& result);
  void CheckResult(const BatchJob& job, const BatchResultSeen& result);
  void AskForBody(const Job& job, net::Time end, bool must);
  void End(const Job& job, net::Time end);
  void CheckRuns(const BatchJob& job);
  void Ask(const std::string& method, const std::string& target, const Job& job,
           const std::string& headers, const std::string& body, const HttpConnection::Done& done);
  static const BatchItem* ItemOf(const BatchJob& job, const std::string& id);
  static bool IsListed(const BatchJob& job, const std::string& id);

  net::VirtualNet& net_;
  Journal& journal_;
  Ledger& ledger_;
  const Proxies& proxies_;
  Ingress& ingress_;
  HttpCallers& callers_;
  const Deployment& deployment_;
  shelflab::Random random_;
  std::vector<Job> jobs_;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_BATCH_CLIENTS_H_
