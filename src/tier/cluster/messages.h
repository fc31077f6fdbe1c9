// Messages between agents and the core's primary, and between parents and children of the relay
// tree. Typed values and their CBOR form; whoever receives one that cannot be read drops it.
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
// Call, agent to whoever has the part (parent or core): Fetch -> Push. kNotFound: not that version.
constexpr transport::MessageKind kFetchKind = transport::kClusterKinds + 2;
// Call, agent to core: its last Renewal -> empty. It leaves; others learn so at once.
constexpr transport::MessageKind kLeaveKind = transport::kClusterKinds + 3;
// Call, store that is primary of a partition to core: BackupReport -> empty. kConflict: the row has
// another epoch by now; the placement that says so follows.
constexpr transport::MessageKind kBackupReportKind = transport::kClusterKinds + 4;
// Call, from an agent that reaches no core process to another agent, and from that one to the
// core's primary: Detour -> RenewalAnswer without a lease.
constexpr transport::MessageKind kDetourKind = transport::kClusterKinds + 5;

// Call, proxy to a proxy that reads the platform's list itself: ListReadingFetch -> ListReading.
// kNotFound: it knows nothing newer.
constexpr transport::MessageKind kListReadingKind = transport::kClusterKinds + 6;

enum class Part : std::uint8_t { kConfiguration, kEndpoints, kPlacement, kMembers };
constexpr std::size_t kParts = 4;

struct PartVersions {
  Version of[kParts];
  Version& operator[](Part part) { return of[static_cast<std::size_t>(part)]; }
  const Version& operator[](Part part) const { return of[static_cast<std::size_t>(part)]; }
  bool operator==(const PartVersions&) const = default;
};

// Requests of one tenant that began to run in one window, counted by one life of one sidecar;
// cumulative, so that a repeated message changes nothing.
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

// How far the copy of a partition has come on its way to a joiner, as the partition's primary
// tells.
struct CopyUnderWay {
  std::uint32_t partition = 0;
  std::string disk;                // Of the joiner.
  std::uint64_t bytes_copied = 0;  // Of contents, since the joiner's session began.
  std::uint64_t bytes_left = 0;    // At most: what is equal already is not copied.
  bool operator==(const CopyUnderWay&) const = default;
};

// What a store tells of itself.
struct StoreState {
  std::string disk;
  std::uint64_t bytes_used = 0;
  std::uint64_t bytes_free = 0;
  std::uint64_t tokens_queued = 0;
  std::vector<CopyUnderWay> copying = {};  // Of partitions that it leads.
  bool operator==(const StoreState&) const = default;
};

// What a store tells of itself for the metrics of the core, as nobody may ask it from outside.
struct StoreFigures {
  std::chrono::milliseconds uptime{0};  // Of its process.
  bool disk_refuses = false;            // No write is taken: it has no partition.
  std::uint64_t bytes_used = 0;         // Of the disk.
  std::uint64_t bytes_limit = 0;
  // Copies of partitions: those that it decides for; others that are whole; others that a row asks
  // for and that are not; and those that no row asks for any more.
  std::uint64_t primaries = 0;
  std::uint64_t backups = 0;
  std::uint64_t incomplete = 0;
  std::uint64_t left = 0;
  // Of the partitions that it decides for.
  std::uint64_t jobs = 0;
  std::uint64_t items_waiting = 0;
  std::uint64_t items_overdue = 0;  // Of those that wait: their job was due before.
  std::uint64_t items_leased = 0;
  // Since the process began: jobs accepted, refused by reason; items handed out, and how long they
  // waited for it altogether since their jobs were first sent.
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_over_quota = 0;
  std::uint64_t jobs_without_room = 0;
  std::uint64_t jobs_refused_busy = 0;
  std::uint64_t leases = 0;
  std::chrono::milliseconds lease_wait{0};
  std::uint64_t violations = 0;  // Of all invariants, in this process.
  // Of the reading of the platform's list that its list of endpoints stands for; none: not known.
  std::optional<std::chrono::milliseconds> endpoints_age;
  bool operator==(const StoreFigures&) const = default;
};

struct Renewal {
  bool ready = false;
  PartVersions versions;
  bool parent_silent = false;  // Asks for another parent than `parent`.
  std::optional<net::Address> parent;
  std::int64_t wall_micros = 0;   // Its time of day, so that the core can tell whose is wrong.
  std::uint64_t window_open = 0;  // All windows before this one are counted to their end.
  std::vector<UseCount> uses;     // Of every window that the core has not told as settled.
  std::vector<ServiceLoad> loads;
  std::optional<StoreState> store;  // None: no store, or one without a disk to place anything on.
  std::optional<StoreFigures> figures;  // Of a store.
  bool operator==(const Renewal&) const = default;
};

// A renewal that came by another agent. It gives no lease: it carries counts of use up, and the
// newest versions down.
struct Detour {
  transport::PeerIdentity origin;
  Renewal renewal;
};

struct RenewalAnswer {
  bool accepted = false;                // By the core's primary.
  std::optional<net::Address> primary;  // Where not accepted: who is, if known.
  std::uint64_t epoch = 0;
  std::uint64_t incarnation = 0;  // Of the core process, which has taken the counts of use.
  std::uint32_t lease_ms = 0;     // From when the renewal was sent.
  std::uint32_t interval_ms = 0;  // Until the next renewal.
  PartVersions versions;          // The newest.
  // Of the reading of the platform's list that the newest list of endpoints stands for, from its
  // start; none: no list was read by this primary.
  std::optional<std::chrono::milliseconds> endpoints_age;
  std::optional<net::Address> parent;  // In the relay tree; none: the core itself.
  std::vector<net::Address> children;  // Whom to pass pushes on to.
  std::int64_t true_micros = 0;        // Time of day as most processes have it.
  std::uint64_t settled_before = 0;    // Windows below are reported; their counts can go.
  std::vector<net::Address> cores;     // For an agent without members yet: all core processes.
  bool disk_refuses = false;           // Of the core process that answers.
  bool operator==(const RenewalAnswer&) const = default;
};

struct Push {
  Part part = Part::kConfiguration;
  Version version;
  std::string body;  // Configuration: see configuration_history.h; others: see view_codec.h.
  bool operator==(const Push&) const = default;
};

// Only the newest version of a part is of use, save that steps of the configuration lead on from
// each other. The list of endpoints overtakes the others, which may be large: drains must bind
// within `drainMs`.
transport::Delivery DeliveryOf(const Push& push);

struct Fetch {
  Part part = Part::kConfiguration;
  Version least;      // An older one is of no use.
  Version have = {};  // What the asker has: of the configuration only what has changed since comes.
  bool operator==(const Fetch&) const = default;
};

struct ListReadingFetch {
  std::chrono::milliseconds age{0};  // Of what the caller knows; only what is newer is of use.
  bool operator==(const ListReadingFetch&) const = default;
};
// The list of endpoints by which a proxy acts.
struct ListReading {
  std::chrono::milliseconds age{0};  // Of the reading of the platform's list, from its start.
  std::string endpoints;             // See view_codec.h.
  // The platform does not answer who gives this list. Others may have a newer one.
  bool in_trouble = false;
  bool operator==(const ListReading&) const = default;
};

// Told by the primary of a partition, of one of its backups under that epoch of the row.
enum class BackupCondition : std::uint8_t {
  kComplete,  // The joiner holds everything; every later write is synced there too.
  kStalled,   // It does not answer; writes cannot be acknowledged with it.
};
struct BackupReport {
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;  // Of the row.
  std::string disk;         // Of the backup.
  BackupCondition condition = BackupCondition::kComplete;
  std::uint64_t bytes_copied = 0;  // To a joiner that is complete.
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

// kInvalid where the body is no such message.
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
