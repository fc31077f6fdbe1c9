// Messages between agents and the core's primary, and between parents and children of the relay
// tree, with their CBOR encoding. A message that cannot be decoded is dropped by the receiver.
#ifndef SHELFLINK_TIER_CLUSTER_MESSAGES_H_
#define SHELFLINK_TIER_CLUSTER_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "tier/cluster/view.h"
#include "tier/foundation/result.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

// Call, agent to core: Renewal -> RenewalAnswer.
constexpr transport::MessageKind kRenewKind = transport::kClusterKinds + 0;
// Send, downwards: Push.
constexpr transport::MessageKind kPushKind = transport::kClusterKinds + 1;
// Call, agent to parent or core: Fetch -> Push. kNotFound: that version is not held there.
constexpr transport::MessageKind kFetchKind = transport::kClusterKinds + 2;
// Call, agent to core: its last Renewal -> empty. The agent leaves; others learn it at once.
constexpr transport::MessageKind kLeaveKind = transport::kClusterKinds + 3;
// Call, primary store of a partition to core: BackupReport -> empty. kConflict: the row has another
// epoch by now, and the new placement is on its way.
constexpr transport::MessageKind kBackupReportKind = transport::kClusterKinds + 4;
// Call, agent that reaches no core process to another agent, which forwards it to the core's
// primary: Detour -> RenewalAnswer without a lease.
constexpr transport::MessageKind kDetourKind = transport::kClusterKinds + 5;

// Call, proxy to a proxy that reads the platform's list itself: ListReadingFetch -> ListReading.
// kNotFound: there is nothing newer.
constexpr transport::MessageKind kListReadingKind = transport::kClusterKinds + 6;

enum class Part : std::uint8_t { kConfiguration, kEndpoints, kPlacement, kMembers };
constexpr std::size_t kParts = 4;

struct PartVersions {
  Version of[kParts];
  Version& operator[](Part part) { return of[static_cast<std::size_t>(part)]; }
  const Version& operator[](Part part) const { return of[static_cast<std::size_t>(part)]; }
  bool operator==(const PartVersions&) const = default;
};

// Requests of one tenant that began to run in one window, counted by one incarnation of a sidecar.
// Cumulative, so that a repeated message has no effect.
struct UseCount {
  std::uint64_t window = 0;
  std::string tenant;
  std::uint64_t count = 0;
  bool operator==(const UseCount&) const = default;
};

// Tokens of a service at one sidecar.
struct ServiceLoad {
  std::string service;
  std::uint64_t tokens_running = 0;
  std::uint64_t tokens_waiting = 0;
  bool operator==(const ServiceLoad&) const = default;
};

// Progress of copying a partition to a joiner, reported by the partition's primary.
struct CopyUnderWay {
  std::uint32_t partition = 0;
  std::string disk;                // Of the joiner.
  std::uint64_t bytes_copied = 0;  // Contents sent since the joiner's session began.
  std::uint64_t bytes_left = 0;    // Upper bound: equal contents are not copied.
  bool operator==(const CopyUnderWay&) const = default;
};

// State of a store, for placement.
struct StoreState {
  std::string disk;
  std::uint64_t bytes_used = 0;
  std::uint64_t bytes_free = 0;
  std::uint64_t tokens_queued = 0;
  std::vector<CopyUnderWay> copying = {};  // Of partitions whose primary it is.
  bool operator==(const StoreState&) const = default;
};

// Metrics of a store, exported by the core because a store has no listener of its own for them.
struct StoreFigures {
  std::chrono::milliseconds uptime{0};  // Of its process.
  bool disk_refuses = false;            // The disk refuses writes; the store has no partition.
  std::uint64_t bytes_used = 0;         // On the disk.
  std::uint64_t bytes_limit = 0;
  // Copies of partitions: as primary, as complete backup, as incomplete backup, and those that no
  // row names any more.
  std::uint64_t primaries = 0;
  std::uint64_t backups = 0;
  std::uint64_t incomplete = 0;
  std::uint64_t left = 0;
  // Of the partitions whose primary it is.
  std::uint64_t jobs = 0;
  std::uint64_t items_waiting = 0;
  std::uint64_t items_overdue = 0;  // Waiting items of jobs whose due time has passed.
  std::uint64_t items_leased = 0;
  // Since the process started: jobs accepted, jobs refused by reason, items leased, and the total
  // time that these waited since their jobs were first sent.
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_over_quota = 0;
  std::uint64_t jobs_without_room = 0;
  std::uint64_t jobs_refused_busy = 0;
  std::uint64_t leases = 0;
  std::chrono::milliseconds lease_wait{0};
  std::uint64_t violations = 0;  // Invariant violations in this process.
  // Age of the platform reading behind its endpoint list; none: unknown.
  std::optional<std::chrono::milliseconds> endpoints_age;
  bool operator==(const StoreFigures&) const = default;
};

struct Renewal {
  bool ready = false;
  PartVersions versions;
  bool parent_silent = false;  // Requests another parent than `parent`.
  std::optional<net::Address> parent;
  std::int64_t wall_micros = 0;   // Local time of day, for the estimate of true time.
  std::uint64_t window_open = 0;  // Counting is finished for all windows before this one.
  std::vector<UseCount> uses;     // Of every window that the core has not reported as settled.
  std::vector<ServiceLoad> loads;
  std::optional<StoreState> store;      // None: not a store, or a store without a usable disk.
  std::optional<StoreFigures> figures;  // Of a store.
  bool operator==(const Renewal&) const = default;
};

// A renewal forwarded by another agent. It grants no lease: it delivers usage counts to the core,
// and its answer delivers the newest versions.
struct Detour {
  transport::PeerIdentity origin;
  Renewal renewal;
};

struct RenewalAnswer {
  bool accepted = false;                // By the core's primary.
  std::optional<net::Address> primary;  // If not accepted: the primary, if known.
  std::uint64_t epoch = 0;
  std::uint64_t incarnation = 0;  // Of the core process, which has stored the usage counts.
  std::uint32_t lease_ms = 0;     // Counted from when the renewal was sent.
  std::uint32_t interval_ms = 0;  // Until the next renewal.
  PartVersions versions;          // The newest.
  // Age of the platform reading behind the newest endpoint list, from its start; none: this primary
  // has read no list.
  std::optional<std::chrono::milliseconds> endpoints_age;
  std::optional<net::Address> parent;  // In the relay tree; none: the core itself.
  std::vector<net::Address> children;  // Receivers of forwarded pushes.
  std::int64_t true_micros = 0;        // True time (ClockEstimate).
  std::uint64_t settled_before = 0;    // Windows below are reported; their counts can be dropped.
  std::vector<net::Address> cores;     // For an agent without a member list: all core processes.
  bool disk_refuses = false;           // Of the core process that answers.
  bool operator==(const RenewalAnswer&) const = default;
};

struct Push {
  Part part = Part::kConfiguration;
  Version version;
  std::string body;  // Configuration: see configuration_history.h; others: see view_codec.h.
  bool operator==(const Push&) const = default;
};

// Only the newest version of a part is useful, except that steps of the configuration build on each
// other. The endpoint list overtakes the other parts, which may be large: drains must take effect
// within `drainMs`.
transport::Delivery DeliveryOf(const Push& push);

struct Fetch {
  Part part = Part::kConfiguration;
  Version least;      // An older version is useless.
  Version have = {};  // Held by the sender; of the configuration only later changes are returned.
  bool operator==(const Fetch&) const = default;
};

struct ListReadingFetch {
  std::chrono::milliseconds age{0};  // Of what the caller holds; only a newer reading is useful.
  bool operator==(const ListReadingFetch&) const = default;
};
// The endpoint list that a proxy uses.
struct ListReading {
  std::chrono::milliseconds age{0};  // Of the reading of the platform's list, from its start.
  std::string endpoints;             // See view_codec.h.
  // The platform does not answer the sender; other proxies may have a newer list.
  bool in_trouble = false;
  bool operator==(const ListReading&) const = default;
};

// Reported by the primary of a partition about one of its backups under that epoch of the row.
enum class BackupCondition : std::uint8_t {
  kComplete,  // The joiner holds everything and syncs every later write.
  kStalled,   // The backup does not answer, so writes cannot be acknowledged.
};
struct BackupReport {
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;  // Of the row.
  std::string disk;         // Of the backup.
  BackupCondition condition = BackupCondition::kComplete;
  std::uint64_t bytes_copied = 0;  // To the joiner, if it is complete.
  bool operator==(const BackupReport&) const = default;
};

std::string Encode(const Renewal& message);
std::string Encode(const Detour& message);
std::string Encode(const RenewalAnswer& message);
std::string Encode(const Push& message);
std::string Encode(const Fetch& message);
std::string Encode(const BackupReport& message);
std::string Encode(const ListReadingFetch& message);
std::string Encode(const ListReading& message);

// kInvalid: the body is not such a message.
Result<Renewal> DecodeRenewal(std::string_view body);
Result<Detour> DecodeDetour(std::string_view body);
Result<RenewalAnswer> DecodeRenewalAnswer(std::string_view body);
Result<Push> DecodePush(std::string_view body);
Result<Fetch> DecodeFetch(std::string_view body);
Result<BackupReport> DecodeBackupReport(std::string_view body);
Result<ListReadingFetch> DecodeListReadingFetch(std::string_view body);
Result<ListReading> DecodeListReading(std::string_view body);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_MESSAGES_H_
