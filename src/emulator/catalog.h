// The discovery service as a pure state machine: lists of nodes by tier that come late, and calls
// handled in turn by one service of fixed capacity. A watch waits until something newer is listed.
// It knows only what it is told of processes: whether they run, drain or are gone.
#ifndef SHELFLAB_EMULATOR_CATALOG_H_
#define SHELFLAB_EMULATOR_CATALOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "emulator/spec.h"

namespace shelflab {

enum class Health { kServing, kDraining, kDeleted };

struct Listed {
  NodeId node = 0;
  Health health = Health::kServing;
  Micros started = 0;  // 0: long ago.
};

struct CatalogCall {
  std::uint64_t id = 0;
  std::uint32_t tier = 0;
  std::optional<std::int64_t> after;  // A watch: answer once the list is newer than this ...
  Micros wait = 0;                    // ... or after so long.
};

struct CatalogAnswer {
  std::uint64_t call = 0;
  Micros at = 0;
  bool ok = false;  // Else 503.
  std::int64_t seq = 0;
  bool whole = false;
  std::vector<Listed> rows;
};

class Catalog {
 public:
  Catalog(const DiscoverySpec& spec, std::uint32_t tiers);

  // All that is there at the start, listed at once.
  void List(std::uint32_t tier, const std::vector<Listed>& rows);
  // Something has changed; it is listed after the lateness that holds now.
  void OnFact(Micros now, std::uint32_t tier, const Listed& row);
  void OnCall(Micros now, const CatalogCall& call);
  void Hangup(std::uint64_t call);
  // From now on: the lateness of changes (below 0: as specified), calls refused, service gone.
  void SetLateness(Micros lateness) { late_ = lateness < 0 ? spec_.lateness : lateness; }
  Micros lateness() const { return late_; }
  void SetBusy(bool busy) { busy_ = busy; }
  // Forgets all calls; those who made them get no answer.
  void SetDown(bool down);
  bool down() const { return down_; }

  void Advance(Micros now);
  Micros Next() const;
  std::vector<CatalogAnswer> TakeAnswers();
  // The present list, as a new process would be told it.
  std::pair<std::int64_t, std::vector<Listed>> Whole(std::uint32_t tier) const;

 private:
  struct Change {
    std::int64_t seq;
    Listed row;
  };
  struct Tier {
    std::int64_t seq = 1;
    std::map<NodeId, Listed> rows;
    std::deque<Change> log;
  };
  struct Served {
    CatalogCall call;
    Micros came = 0;
    bool fails = false;
  };

  void Queue(Micros now, const CatalogCall& call);
  void Answer(Micros at, const Served& served);
  void Show(Micros at, std::uint32_t tier, const Listed& row);

  DiscoverySpec spec_;
  std::vector<Tier> tiers_;
  Micros late_;
  bool busy_ = false;
  bool down_ = false;
  Micros free_at_ = 0;  // When the service has done all it has been asked.
  std::multimap<Micros, std::pair<std::uint32_t, Listed>> facts_;  // By the time of their listing.
  std::multimap<Micros, Served> served_;                           // By the time of the answer.
  std::map<std::uint64_t, CatalogCall> watches_;
  std::multimap<Micros, std::uint64_t> watch_ends_;
  std::vector<CatalogAnswer> answers_;
};

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_CATALOG_H_
