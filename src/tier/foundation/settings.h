// Settings that the platform hands to a process: the file named by SHELFLINK_CONFIG, lines of the
// form a.b=value, lists joined by commas. Read and checked whole; unknown keys are ignored.
#ifndef SHELFLINK_TIER_FOUNDATION_SETTINGS_H_
#define SHELFLINK_TIER_FOUNDATION_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "tier/foundation/result.h"

namespace shelflink {

using Milliseconds = std::chrono::milliseconds;

struct ProcessLimits {
  double cpu_share = 1.0;
  int cores = 1;
  std::uint64_t memory_mb = 256;
  std::uint64_t max_fds = 1024;
  double link_mbps = 1000.0;
  std::uint64_t disk_mb = 0;  // 0: no disk.
};

struct FaultTolerance {  // What may be lost at one time.
  int machines = 1;
  int zones = 0;
  int regions = 0;
};

// The operators' bounds, see RULES; spans in the units of the type.
struct Bounds {
  Milliseconds seed_lag{3000};
  Milliseconds reuse_after{2000};
  Milliseconds contact{3000};
  Milliseconds ack{4000};
  Milliseconds catch_up{5200};
  Milliseconds drain{3000};
  Milliseconds grace{8000};
  Milliseconds loss_slack{200};
  Milliseconds config_apply{2000};
  Milliseconds rollback_slack{250};
  Milliseconds max_skew{5000};
  bool revocation = false;
  Milliseconds revoke{5000};
  bool fencing = true;
  Milliseconds lease{3000};
  Milliseconds thaw_slack{300};
  Milliseconds usage_window{5000};
  double usage_tolerance = 0.05;
  Milliseconds usage_late{10000};
  Milliseconds recovery{12000};
  Milliseconds pass{120};
  Milliseconds finish{10000};
  Milliseconds status{120000};
  Milliseconds cancel{3000};
  Milliseconds settle{1000};
  double quota_overage = 0.1;
};

struct CloudSettings {
  std::optional<net::Address> address;  // None: there is no platform.
  double rate_per_s = 1.0;              // Calls for the list, from all sidecars together.
  std::set<std::string> duties;         // "usage_report", "autoscale"
  Milliseconds lag{0};
  double duty_per_s = 1.0;
};

struct ProcessSettings {
  std::string node;
  std::string role;
  std::string machine_class;
  std::set<std::string> serves;  // "edge", "control_plane", "storage"
  std::string ip;
  std::string zone;
  std::string region;
  std::map<std::string, std::string> zones;  // Zone to region.
  std::optional<net::Address> listen_front;
  std::optional<net::Address> listen_ready;
  std::optional<net::Address> listen_control;
  std::uint16_t port_first = 0;
  std::uint16_t port_last = 0;
  std::vector<net::Address> seeds;  // Control addresses.
  bool bootstrap = false;
  bool counts_for_quorum = false;
  ProcessLimits limits;
  std::string data_dir;  // Empty: no disk.
  Milliseconds heartbeat{1200};
  std::set<std::string> contracts;
  FaultTolerance tolerance;
  Bounds bounds;
  CloudSettings cloud;
};

// Internal listeners: one port of portRange for each kind of process, alike on all machines.
enum class ProcessKind : std::uint16_t { kProxy = 0, kCore = 1, kStore = 2 };
net::Address InternalAddress(const ProcessSettings& settings, ProcessKind kind);
// The internal address of the core process whose control address is given.
net::Address CoreAddressOf(const ProcessSettings& settings, const net::Address& control);

// `text` as the file holds it. All findings together; each place names line and key.
BOOST_OUTCOME_V2_NAMESPACE::basic_result<ProcessSettings, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ParseSettings(std::string_view text);
// Reads the file; one that cannot be read is a finding.
BOOST_OUTCOME_V2_NAMESPACE::basic_result<ProcessSettings, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ReadSettings(const std::string& path);

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_SETTINGS_H_
