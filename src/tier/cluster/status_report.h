// The answer to GET /status as decoded by the status command, with its text for operators and its
// exit status. Pure. Unknown fields are ignored, so that a newer core may send more.
#ifndef SHELFLINK_TIER_CLUSTER_STATUS_REPORT_H_
#define SHELFLINK_TIER_CLUSTER_STATUS_REPORT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "tier/foundation/result.h"

namespace shelflink::cluster {

struct StatusReport {
  struct Member {
    std::string node;
    std::string zone;
    bool replica = false;
    bool witness = false;
    std::string disk;  // "takes_writes", "silent", "refuses", "replaced", "unknown".
  };
  struct Store {
    std::string node;
    std::string zone;
    bool live = false;
    bool retiring = false;
    std::uint64_t bytes_used = 0;
    std::uint64_t bytes_free = 0;
  };
  struct Partitions {
    bool known = false;  // Whether `whole` is known.
    std::uint64_t count = 0;
    std::uint64_t wanted = 0;
    std::uint64_t whole = 0;
  };
  struct Lacking {
    std::optional<std::uint64_t> partition;  // None: the control state.
    std::uint64_t whole = 0;
    std::uint64_t wanted = 0;
    std::chrono::milliseconds lasts{0};
    bool at_least = false;
    std::uint64_t bytes_copied = 0;
    std::optional<std::uint64_t> bytes_left;
  };
  struct SizeClass {
    std::optional<std::uint64_t> most_bytes;
    std::uint64_t losses = 0;
    std::chrono::milliseconds median{0};
    std::chrono::milliseconds worst{0};
  };
  struct History {
    std::uint64_t losses = 0;
    std::uint64_t ended = 0;
    std::uint64_t handed_on = 0;
    std::uint64_t bytes_copied = 0;
    std::chrono::milliseconds median{0};
    std::chrono::milliseconds worst{0};
    std::vector<SizeClass> by_size;
  };

  std::string node;    // The sender of the answer.
  bool leads = false;  // It is the primary; only then stores, partitions and lacking are filled in.
  std::uint64_t epoch = 0;
  std::string primary;                          // Empty: unknown.
  std::optional<net::Address> primary_control;  // Its operator listener.
  std::uint64_t wanted = 0;                     // Copies of the control state.
  std::vector<Member> members;
  std::vector<Store> stores;
  Partitions partitions;
  std::vector<Lacking> lacking;
  std::chrono::milliseconds led{0};
  History control;
  History batch;
};

// Findings name the field and what was expected.
BOOST_OUTCOME_V2_NAMESPACE::basic_result<StatusReport, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ReadStatusReport(std::string_view json);

enum class Redundancy : std::uint8_t { kWhole, kLacking, kUnknown };
Redundancy RedundancyOf(const StatusReport& report);

// Lines for an operator, each with its end.
std::string TextOf(const StatusReport& report);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_STATUS_REPORT_H_
