#include "tier/cluster/status_report.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <iterator>
#include <utility>

#include "tier/configuration/json.h"

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

constexpr double kLargestNumber = 9007199254740992.0;  // Whole numbers up to here are exact.
constexpr double kBytesPerKilobyte = 1000.0;
constexpr double kMillisPerSecond = 1000.0;

// What a terminal would take for an order is not printed.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](unsigned char letter) { return std::iscntrl(letter) != 0; },
      '?');
  return text;
}

// Members of an object, with their place for findings.
class Object {
 public:
  Object(const cJSON* object, std::string place, Findings& findings)
      : object_(cJSON_IsObject(object) ? object : nullptr),
        place_(std::move(place)),
        findings_(findings) {
    if (object_ == nullptr) Expected("", "an object");
  }

  bool Has(const char* name) const { return Find(name) != nullptr; }

  bool Flag(const char* name) const {
    const cJSON* value = Find(name);
    if (object_ != nullptr && !cJSON_IsBool(value)) Expected(name, "true or false");
    return cJSON_IsTrue(value) != 0;
  }

  std::string Text(const char* name) const {
    const cJSON* value = Find(name);
    if (cJSON_IsString(value)) return Printable(value->valuestring);
    if (object_ != nullptr) Expected(name, "a text");
    return {};
  }

  std::uint64_t Number(const char* name) const {
    const cJSON* value = Find(name);
    const double number = cJSON_IsNumber(value) ? value->valuedouble : -1.0;
    if (number >= 0.0 && number <= kLargestNumber) return static_cast<std::uint64_t>(number);
    if (object_ != nullptr) Expected(name, "a number of 0 at least");
    return 0;
  }

  std::optional<std::uint64_t> OptionalNumber(const char* name) const {
    if (!Has(name)) return std::nullopt;
    return Number(name);
  }

  milliseconds Millis(const char* name) const {
    return milliseconds(static_cast<std::int64_t>(Number(name)));
  }

  Object Member(const char* name) const { return {Find(name), PlaceOf(name), findings_}; }

  template <typename Read>
  void Each(const char* name, Read read) const {
    const cJSON* array = Find(name);
    if (!cJSON_IsArray(array)) {
      if (object_ != nullptr) Expected(name, "a list");
      return;
    }
    std::size_t index = 0;
    const cJSON* item = nullptr;
    cJSON_ArrayForEach(item, array) {
      read(Object(item, PlaceOf(name) + "[" + std::to_string(index) + "]", findings_));
      ++index;
    }
  }

 private:
  const cJSON* Find(const char* name) const {
    return object_ == nullptr ? nullptr : cJSON_GetObjectItemCaseSensitive(object_, name);
  }
  std::string PlaceOf(const std::string& name) const {
    if (place_.empty() || name.empty()) return place_ + name;
    return place_ + "." + name;
  }
  void Expected(const char* name, const char* what) const {
    const std::string place = PlaceOf(name);
    findings_.push_back({place.empty() ? "document" : place, std::string("expected ") + what});
  }

  const cJSON* object_;
  std::string place_;
  Findings& findings_;
};

StatusReport::Member ReadMember(const Object& item) {
  return {item.Text("node"), item.Text("zone"), item.Flag("replica"), item.Flag("witness"),
          item.Text("disk")};
}

StatusReport::Store ReadStore(const Object& item) {
  StatusReport::Store store;
  store.node = item.Text("node");
  store.zone = item.Text("zone");
  store.live = item.Flag("live");
  store.retiring = item.Flag("retiring");
  if (!store.live) return store;
  store.bytes_used = item.Number("bytes_used");
  store.bytes_free = item.Number("bytes_free");
  return store;
}

StatusReport::Lacking ReadLacking(const Object& item) {
  StatusReport::Lacking lacking;
  if (item.Text("kind") == "batch") lacking.partition = item.Number("partition");
  lacking.whole = item.Number("whole");
  lacking.wanted = item.Number("wanted");
  lacking.lasts = item.Millis("for_ms");
  lacking.at_least = item.Flag("at_least");
  lacking.bytes_copied = item.Number("bytes_copied");
  lacking.bytes_left = item.OptionalNumber("bytes_left");
  return lacking;
}

StatusReport::History ReadHistory(const Object& object) {
  StatusReport::History history;
  history.losses = object.Number("losses");
  history.ended = object.Number("ended");
  history.handed_on = object.Number("handed_on");
  history.bytes_copied = object.Number("bytes_copied");
  history.median = object.Millis("median_ms");
  history.worst = object.Millis("worst_ms");
  object.Each("by_size", [&](const Object& item) {
    history.by_size.push_back({item.OptionalNumber("most_bytes"), item.Number("losses"),
                               item.Millis("median_ms"), item.Millis("worst_ms")});
  });
  return history;
}

void ReadPrimary(const Object& status, StatusReport& report) {
  if (!status.Has("primary")) return;
  const Object primary = status.Member("primary");
  report.primary = primary.Text("node");
  if (primary.Has("control")) {
    report.primary_control = net::Address::Parse(primary.Text("control"));
  }
}

// What the primary alone tells.
void ReadStanding(const Object& status, StatusReport& report) {
  status.Each("stores", [&](const Object& item) { report.stores.push_back(ReadStore(item)); });
  status.Each("lacking", [&](const Object& item) { report.lacking.push_back(ReadLacking(item)); });
  const Object partitions = status.Member("partitions");
  report.partitions.known = partitions.Flag("known");
  report.partitions.count = partitions.Number("count");
  report.partitions.wanted = partitions.Number("wanted");
  if (report.partitions.known) report.partitions.whole = partitions.Number("whole");
}

// ---- Text.

std::string BytesText(std::uint64_t bytes) {
  static constexpr const char* kUnits[] = {"B", "kB", "MB", "GB", "TB"};
  auto value = static_cast<double>(bytes);
  std::size_t unit = 0;
  while (value >= kBytesPerKilobyte && unit + 1 < std::size(kUnits)) {
    value /= kBytesPerKilobyte;
    ++unit;
  }
  char text[32];
  std::snprintf(text, sizeof text, unit == 0 ? "%.0f %s" : "%.1f %s", value, kUnits[unit]);
  return text;
}

std::string SecondsText(milliseconds span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s", static_cast<double>(span.count()) / kMillisPerSecond);
  return text;
}

std::string CountText(std::uint64_t count, const std::string& one, const std::string& many) {
  return std::to_string(count) + " " + (count == 1 ? one : many);
}

std::string Spaced(std::string name) {
  std::replace(name.begin(), name.end(), '_', ' ');
  return name;
}

std::string PartsText(const StatusReport::Member& member) {
  if (member.replica && member.witness) return "replica, witness";
  return member.replica ? "replica" : "witness";
}

std::string CoreText(const StatusReport& report) {
  std::string text = "control state: ";
  text += report.primary.empty() ? "no primary known" : "primary " + report.primary;
  text += ", epoch " + std::to_string(report.epoch);
  text += ", " + CountText(report.wanted, "copy", "copies") + " wanted\n";
  for (const StatusReport::Member& member : report.members) {
    text += "  " + member.node + " (" + member.zone + "): " + PartsText(member) + "; disk " +
            Spaced(member.disk) + "\n";
  }
  return text;
}

std::string StoresText(const StatusReport& report) {
  const auto live = std::count_if(report.stores.begin(), report.stores.end(),
                                  [](const StatusReport::Store& store) { return store.live; });
  std::string text =
      "stores: " + std::to_string(report.stores.size()) + ", " + std::to_string(live) + " live\n";
  for (const StatusReport::Store& store : report.stores) {
    text += "  " + store.node + " (" + store.zone + "): " + (store.live ? "live" : "no lease");
    if (store.retiring) text += ", being emptied";
    if (store.live) {
      text +=
          "; " + BytesText(store.bytes_used) + " used, " + BytesText(store.bytes_free) + " free";
    }
    text += "\n";
  }
  return text;
}

std::string PartitionsText(const StatusReport::Partitions& partitions) {
  std::string text = "partitions: " + std::to_string(partitions.count) + ", " +
                     CountText(partitions.wanted, "copy", "copies") + " wanted of each";
  if (!partitions.known) return text + "; this primary has not heard of all stores yet\n";
  return text + ", " + std::to_string(partitions.whole) + " whole\n";
}

std::string LackingText(const StatusReport::Lacking& lacking) {
  std::string text = lacking.partition ? "partition " + std::to_string(*lacking.partition)
                                       : std::string("control state");
  text += ": " + std::to_string(lacking.whole) + " of " + std::to_string(lacking.wanted) +
          " copies for " + (lacking.at_least ? "at least " : "") + SecondsText(lacking.lasts) +
          ", " + BytesText(lacking.bytes_copied) + " copied";
  if (lacking.bytes_left) {
    return text + ", " + BytesText(*lacking.bytes_left) + " left at most\n";
  }
  return text + ", no copy under way that is known\n";
}

std::string RedundancyText(const StatusReport& report) {
  switch (RedundancyOf(report)) {
    case Redundancy::kWhole:
      return "redundancy: whole\n";
    case Redundancy::kUnknown:
      return "redundancy: cannot be told yet\n";
    case Redundancy::kLacking:
      break;
  }
  std::string text = "redundancy: LACKING\n";
  for (const StatusReport::Lacking& lacking : report.lacking) text += "  " + LackingText(lacking);
  return text;
}

std::string HistoryText(const char* name, const StatusReport::History& history) {
  std::string text = std::string("  ") + name + ": " + CountText(history.losses, "loss", "losses") +
                     " of redundancy, " + std::to_string(history.ended) + " ended";
  if (history.handed_on > 0) {
    text += ", " + std::to_string(history.handed_on) + " went on under another primary";
  }
  if (history.ended == 0) return text + "\n";
  text += "; without it median " + SecondsText(history.median) + ", worst " +
          SecondsText(history.worst) + "; " + BytesText(history.bytes_copied) + " copied\n";
  for (const StatusReport::SizeClass& size : history.by_size) {
    text += std::string("    ") +
            (size.most_bytes ? "up to " + BytesText(*size.most_bytes) : std::string("more")) +
            " copied: " + std::to_string(size.losses) + ", median " + SecondsText(size.median) +
            ", worst " + SecondsText(size.worst) + "\n";
  }
  return text;
}

}  // namespace

BOOST_OUTCOME_V2_NAMESPACE::basic_result<StatusReport, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ReadStatusReport(std::string_view text) {
  Findings findings;
  const json::Tree tree = json::ReadWhole(text, findings);
  if (tree == nullptr) return findings;
  const Object status(tree.get(), "", findings);
  StatusReport report;
  report.node = status.Text("node");
  report.leads = status.Flag("leads");
  report.epoch = status.Number("epoch");
  ReadPrimary(status, report);
  const Object core = status.Member("core");
  report.wanted = core.Number("wanted");
  core.Each("members", [&](const Object& item) { report.members.push_back(ReadMember(item)); });
  if (report.leads) ReadStanding(status, report);
  const Object history = status.Member("history");
  report.led = history.Millis("led_ms");
  report.control = ReadHistory(history.Member("control"));
  report.batch = ReadHistory(history.Member("batch"));
  if (!findings.empty()) return findings;
  return report;
}

Redundancy RedundancyOf(const StatusReport& report) {
  if (!report.leads) return Redundancy::kUnknown;
  if (!report.lacking.empty()) return Redundancy::kLacking;
  return report.partitions.known ? Redundancy::kWhole : Redundancy::kUnknown;
}

std::string TextOf(const StatusReport& report) {
  std::string text = CoreText(report);
  if (report.leads) {
    text += StoresText(report) + PartitionsText(report.partitions);
  }
  text += RedundancyText(report);
  text += "since " + report.node + " leads (" + SecondsText(report.led) + " altogether):\n";
  text += HistoryText("control state", report.control);
  text += HistoryText("batch partitions", report.batch);
  return text;
}

}  // namespace shelflink::cluster
