#include "tier/platform/instance_page.h"

#include <optional>
#include <string>
#include <utility>

#include "tier/configuration/json.h"
#include "tier/configuration/object_reader.h"

namespace shelflink::platform {
namespace {

constexpr double kMostSlots = 1e6;
constexpr std::size_t kLongestId = 4096;  // It goes into a header of each request.

void ReadAddress(json::ObjectReader& reader, net::Address& target) {
  std::string text;
  reader.RequiredText("address", text);
  if (text.empty()) return;
  const std::optional<net::Address> address = net::Address::Parse(text);
  if (address) {
    target = *address;
  } else {
    reader.Report("address", "expected an IP address and a port");
  }
}

void ReadState(json::ObjectReader& reader, bool& draining) {
  std::string state;
  reader.RequiredText("state", state);
  if (state.empty()) return;
  draining = state == "draining";
  if (!draining && state != "ready") reader.Report("state", "expected ready or draining");
}

cluster::EndpointEntry ReadEntry(const cJSON* item, const std::string& place, Findings& findings) {
  json::ObjectReader reader(item, place, findings);
  cluster::EndpointEntry entry;
  if (!reader.usable()) return entry;
  reader.RequiredText("id", entry.id);
  if (entry.id.size() > kLongestId) {
    reader.Report("id", "expected at most " + std::to_string(kLongestId) + " bytes");
  }
  reader.RequiredText("service", entry.service);
  ReadAddress(reader, entry.address);
  reader.Text("zone", entry.zone);
  reader.Int("slots", {1.0, kMostSlots}, entry.slots);
  ReadState(reader, entry.draining);
  reader.Span("coldLeftMs", 1.0, entry.cold_left);
  return entry;
}

}  // namespace

BOOST_OUTCOME_V2_NAMESPACE::basic_result<InstancePage, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ParseInstancePage(std::string_view json) {
  Findings findings;
  const json::Tree tree = json::ReadWhole(json, findings);
  if (tree == nullptr) return findings;
  InstancePage page;
  json::ObjectReader reader(tree.get(), "", findings);
  const bool listed = reader.List("instances", [&](const cJSON* item, const std::string& place) {
    page.entries.push_back(ReadEntry(item, place, findings));
  });
  if (reader.usable() && !listed) reader.Report("instances", "expected a list, found nothing");
  reader.Text("nextToken", page.next_token);
  if (!findings.empty()) return findings;
  return page;
}

}  // namespace shelflink::platform
