#include "tier/foundation/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <functional>
#include <sstream>
#include <utility>

namespace shelflink {
namespace {

constexpr std::string_view kZonePrefix = "zones.";
constexpr std::size_t kLongestName = 255;  // Of a node or a zone, as its peers take it.
// In milliseconds, some thirty years: sums with it must fit into nanoseconds.
constexpr double kLongestSpan = 1e12;

struct Entry {
  std::size_t line = 0;
  std::string key;
  std::string value;
};

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

std::vector<std::string_view> SplitList(std::string_view text) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const std::string_view part = Trim(text.substr(0, comma));
    if (!part.empty()) parts.push_back(part);
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return parts;
}

// Sets one field from its text; false if the text has another form.
using Setter = std::function<bool(std::string_view)>;

template <typename Number>
bool ParseNumber(std::string_view text, Number least, Number& to) {
  Number value{};
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size() || value < least) return false;
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(value)) return false;
  }
  to = value;
  return true;
}

struct Key {
  const char* expected;
  Setter set;
};

class SettingsParser {
 public:
  SettingsParser() { Declare(); }

  void Take(const Entry& entry) {
    if (entry.key.starts_with(kZonePrefix)) {
      settings_.zones[entry.key.substr(kZonePrefix.size())] = entry.value;
      return;
    }
    const auto key = keys_.find(entry.key);
    if (key == keys_.end()) return;  // Fields may be added later.
    seen_.insert(entry.key);
    // A key without a value concerns a matter that is not open here.
    if (entry.value.empty() && !required_.contains(entry.key)) return;
    if (!key->second.set(entry.value)) {
      Find(entry, std::string(key->second.expected) + ", found \"" + entry.value + "\"");
    }
  }

  void Find(const Entry& entry, std::string expected) {
    findings_.push_back(
        {"line " + std::to_string(entry.line) + ", " + entry.key, std::move(expected)});
  }
  void Find(std::string place, std::string expected) {
    findings_.push_back({std::move(place), std::move(expected)});
  }

  void CheckWhole() {
    for (const std::string& key : required_) {
      if (!seen_.contains(key)) Find(key, "expected a value, the key is missing");
    }
    // What one wrong value brings with it is no finding of its own.
    if (!findings_.empty()) return;
    constexpr int kBeyondFirst = static_cast<int>(ProcessKind::kStore);
    if (settings_.node.size() > kLongestName) Find("node", "expected at most 255 bytes");
    if (settings_.zone.size() > kLongestName) Find("zone", "expected at most 255 bytes");
    if (settings_.heartbeat.count() < 1) {
      Find("heartbeatMs", "expected milliseconds, 1 or more");
    }
    if (settings_.port_last - settings_.port_first < kBeyondFirst) {
      Find("portRange", "expected three ports at least, the lowest first");
    }
    if (settings_.serves.contains("edge") && (!settings_.listen_front || !settings_.listen_ready)) {
      Find("serves", "expected listen.front and listen.ready beside edge");
    }
    if (settings_.serves.contains("control_plane") && !settings_.listen_control) {
      Find("serves", "expected listen.control beside control_plane");
    }
  }

  ProcessSettings settings_;
  Findings findings_;

 private:
  void Declare() {
    ProcessSettings& s = settings_;
    Text("node", s.node);
    Text("role", s.role);
    Text("machineClass", s.machine_class);
    Names("serves", s.serves);
    keys_["ip"] = {"expected an IPv4 address", [&s](std::string_view text) {
                     s.ip = text;
                     return net::Address::Parse(s.ip + ":1").has_value();
                   }};
    Text("zone", s.zone);
    Text("region", s.region);
    Place("listen.front", s.listen_front);
    Place("listen.ready", s.listen_ready);
    Place("listen.control", s.listen_control);
    keys_["portRange"] = {"expected two ports from 1 to 65535, as in 7360,7375",
                          [&s](std::string_view text) { return ParsePorts(text, s); }};
    keys_["seeds"] = {"expected addresses, as in 10.1.0.14:8683,10.2.0.22:8683",
                      [&s](std::string_view text) { return ParseSeeds(text, s); }};
    Flag("bootstrap", s.bootstrap);
    Flag("countsForQuorum", s.counts_for_quorum);
    Number("limits.cpuShare", s.limits.cpu_share, 0.001);
    Number("limits.cores", s.limits.cores, 1);
    Number("limits.memoryMb", s.limits.memory_mb, std::uint64_t{1});
    Number("limits.maxFds", s.limits.max_fds, std::uint64_t{16});
    Number("limits.linkMbps", s.limits.link_mbps, 0.001);
    Number("limits.diskMb", s.limits.disk_mb, std::uint64_t{0});
    Text("dataDir", s.data_dir);
    Span("heartbeatMs", s.heartbeat);
    Names("contracts", s.contracts);
    Number("faultTolerance.machines", s.tolerance.machines, 0);
    Number("faultTolerance.zones", s.tolerance.zones, 0);
    Number("faultTolerance.regions", s.tolerance.regions, 0);
    DeclareBounds();
    Place("cloud.address", s.cloud.address);
    Number("cloud.ratePerS", s.cloud.rate_per_s, 0.0);
    Names("cloud.duties", s.cloud.duties);
    Span("cloud.lagMs", s.cloud.lag);
    Number("cloud.dutyPerS", s.cloud.duty_per_s, 0.0);
    required_ = {"node", "ip", "zone", "portRange", "seeds"};
  }

  void DeclareBounds() {
    Bounds& b = settings_.bounds;
    SpanSeconds("bounds.seedLagS", b.seed_lag);
    SpanSeconds("bounds.reuseAfterS", b.reuse_after);
    Span("bounds.contactMs", b.contact);
    Span("bounds.ackMs", b.ack);
    SpanSeconds("bounds.catchUpS", b.catch_up);
    Span("bounds.drainMs", b.drain);
    SpanSeconds("bounds.graceS", b.grace);
    Span("bounds.lossSlackMs", b.loss_slack);
    Span("bounds.configApplyMs", b.config_apply);
    Span("bounds.rollbackSlackMs", b.rollback_slack);
    Span("bounds.maxSkewMs", b.max_skew);
    Flag("bounds.revocation", b.revocation);
    Span("bounds.revokeMs", b.revoke);
    Flag("bounds.fencing", b.fencing);
    Span("bounds.leaseMs", b.lease);
    Span("bounds.thawSlackMs", b.thaw_slack);
    SpanSeconds("bounds.usageWindowS", b.usage_window);
    Number("bounds.usageTolerance", b.usage_tolerance, 0.0);
    SpanSeconds("bounds.usageLateS", b.usage_late);
    SpanSeconds("bounds.recoveryS", b.recovery);
    Span("bounds.pass_ms", b.pass);
    SpanSeconds("bounds.finishS", b.finish);
    SpanSeconds("bounds.statusS", b.status);
    Span("bounds.cancelMs", b.cancel);
    Span("bounds.settleMs", b.settle);
    Number("bounds.quotaOverage", b.quota_overage, 0.0);
  }

  void Text(const char* key, std::string& to) {
    keys_[key] = {"expected a text", [&to](std::string_view text) {
                    to = text;
                    return true;
                  }};
  }
  void Names(const char* key, std::set<std::string>& to) {
    keys_[key] = {"expected names joined by commas", [&to](std::string_view text) {
                    to.clear();
                    for (const std::string_view part : SplitList(text)) to.emplace(part);
                    return true;
                  }};
  }
  void Place(const char* key, std::optional<net::Address>& to) {
    keys_[key] = {"expected an address, as in 10.1.0.14:8683", [&to](std::string_view text) {
                    to = net::Address::Parse(text);
                    return to.has_value();
                  }};
  }
  void Flag(const char* key, bool& to) {
    keys_[key] = {"expected true or false", [&to](std::string_view text) {
                    to = text == "true";
                    return to || text == "false";
                  }};
  }
  template <typename Value>
  void Number(const char* key, Value& to, Value least) {
    keys_[key] = {std::is_floating_point_v<Value> ? "expected a number, not below the least"
                                                  : "expected a whole number, not below the least",
                  [&to, least](std::string_view text) { return ParseNumber(text, least, to); }};
  }
  void Span(const char* key, Milliseconds& to) { SpanOf(key, to, 1.0, "milliseconds"); }
  void SpanSeconds(const char* key, Milliseconds& to) { SpanOf(key, to, 1000.0, "seconds"); }
  void SpanOf(const char* key, Milliseconds& to, double unit, const char* name) {
    const char* expected = std::strcmp(name, "seconds") == 0 ? "expected seconds, 0 or more"
                                                             : "expected milliseconds, 0 or more";
    keys_[key] = {expected, [&to, unit](std::string_view text) {
                    double value = 0;
                    if (!ParseNumber(text, 0.0, value) || value * unit > kLongestSpan) return false;
                    to = Milliseconds(static_cast<std::int64_t>(std::llround(value * unit)));
                    return true;
                  }};
  }

  static bool ParsePorts(std::string_view text, ProcessSettings& s) {
    const std::vector<std::string_view> parts = SplitList(text);
    if (parts.size() != 2) return false;
    return ParseNumber(parts[0], std::uint16_t{1}, s.port_first) &&
           ParseNumber(parts[1], std::uint16_t{1}, s.port_last);
  }
  static bool ParseSeeds(std::string_view text, ProcessSettings& s) {
    s.seeds.clear();
    for (const std::string_view part : SplitList(text)) {
      const std::optional<net::Address> seed = net::Address::Parse(part);
      if (!seed) return false;
      s.seeds.push_back(*seed);
    }
    return true;
  }

  std::map<std::string, Key, std::less<>> keys_;
  std::set<std::string> required_;
  std::set<std::string> seen_;
};

}  // namespace

net::Address InternalAddress(const ProcessSettings& settings, ProcessKind kind) {
  const auto port =
      static_cast<std::uint16_t>(settings.port_first + static_cast<std::uint16_t>(kind));
  return net::Address::Parse(settings.ip + ":" + std::to_string(port)).value_or(net::Address());
}

net::Address CoreAddressOf(const ProcessSettings& settings, const net::Address& control) {
  const auto port = static_cast<std::uint16_t>(settings.port_first +
                                               static_cast<std::uint16_t>(ProcessKind::kCore));
  return net::Address::FromBytes(control.bytes(), control.v6(), port);
}

BOOST_OUTCOME_V2_NAMESPACE::basic_result<ProcessSettings, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ParseSettings(std::string_view text) {
  SettingsParser parser;
  std::size_t line = 0;
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size());
    const std::string_view whole = Trim(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    ++line;
    if (whole.empty() || whole.front() == '#') continue;
    const auto equals = whole.find('=');
    if (equals == std::string_view::npos) {
      parser.Find("line " + std::to_string(line), "expected a.b=value");
      continue;
    }
    parser.Take({line, std::string(Trim(whole.substr(0, equals))),
                 std::string(Trim(whole.substr(equals + 1)))});
  }
  parser.CheckWhole();
  if (!parser.findings_.empty()) return std::move(parser.findings_);
  return std::move(parser.settings_);
}

BOOST_OUTCOME_V2_NAMESPACE::basic_result<ProcessSettings, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ReadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Findings{
        {path, std::string("expected a file that can be read: ") + std::strerror(errno)}};
  }
  auto settings = ParseSettings(text.str());
  if (settings) return settings;
  Findings findings = std::move(settings).error();
  for (Finding& finding : findings) finding.place = path + ", " + finding.place;
  return findings;
}

}  // namespace shelflink
