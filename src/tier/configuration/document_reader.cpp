#include "tier/configuration/document_reader.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "tier/configuration/item_readers.h"
#include "tier/configuration/json.h"
#include "tier/configuration/object_reader.h"
#include "tier/configuration/whole_checks.h"

namespace shelflink::configuration {
namespace {

using json::ItemPlace;
using json::ObjectReader;
using json::Part;

constexpr std::string_view kLists[] = {"routes", "services", "tenants"};

void ReadLimits(const ObjectReader& document, Findings& findings, ClientLimits& limits) {
  const cJSON* member = document.Member("limits");
  if (member == nullptr) return;
  ObjectReader reader(member, "limits", findings);
  reader.SizeAboveZero("maxHeaderBytes", limits.max_header_bytes);
  reader.SizeAboveZero("maxBodyBytes", limits.max_body_bytes);
  reader.SpanAboveZero("headerTimeoutMs", limits.header_timeout);
  reader.SpanAboveZero("idleTimeoutMs", limits.idle_timeout);
}

void ReadVersion(ObjectReader& reader, Configuration& configuration) {
  if (reader.Member("configVersion") == nullptr) {
    reader.Report("configVersion", "expected a whole number above 0, found nothing");
    return;
  }
  const auto version = reader.WholeNumber("configVersion", {1.0, json::kLargestExactInteger});
  if (version) configuration.version = static_cast<std::uint64_t>(*version);
}

bool IsList(const Part& member) {
  return member.value.starts_with('[') &&
         std::find(std::begin(kLists), std::end(kLists), member.name) != std::end(kLists);
}

// Returns the document with its lists of items emptied.
std::string WithoutItems(const std::vector<Part>& members) {
  std::string text = "{";
  for (const Part& member : members) {
    if (text.size() > 1) text += ',';
    text += json::Quoted(member.name) + ":";
    text += IsList(member) ? std::string_view("[]") : member.value;
  }
  return text + "}";
}

std::string_view TextOfList(const std::vector<Part>& members, std::string_view name) {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const Part& member) { return member.name == name; });
  return found == members.end() ? std::string_view() : found->value;
}

// Parses the items of one list with the reader of a single item.
template <typename Item>
class ListReader {
 public:
  using ReadOne = Item (*)(const cJSON* item, const std::string& place, Findings& findings);

  // `known`: the items of the previous document by their texts; replaced by those of this one.
  ListReader(TextMap<Item>& known, ReadOne read_one, Findings& findings)
      : known_(known), read_one_(read_one), findings_(findings) {}

  std::vector<Item> Read(const char* name, std::string_view list) {
    std::vector<Item> items;
    TextMap<Item> next;
    const std::vector<Part> parts = json::ItemsOf(list).value_or(std::vector<Part>());
    items.reserve(parts.size());
    next.reserve(parts.size());
    for (std::size_t index = 0; index < parts.size(); ++index) {
      if (findings_.size() >= json::kMostFindings) break;
      items.push_back(ReadItem(parts[index].value, ItemPlace(name, index), next));
    }
    known_ = std::move(next);
    return items;
  }

 private:
  Item ReadItem(std::string_view text, const std::string& place, TextMap<Item>& next) {
    const auto known = known_.find(text);
    if (known != known_.end()) return next.insert(known_.extract(known)).position->second;
    const std::size_t findings_before = findings_.size();
    const json::Tree tree = json::ReadWhole(text, findings_);
    Item item = read_one_(tree.get(), place, findings_);
    if (findings_.size() == findings_before) next.emplace(text, item);
    return item;
  }

  TextMap<Item>& known_;
  ReadOne read_one_;
  Findings& findings_;
};

}  // namespace

ParseResult DocumentReader::Read(std::string_view json) {
  Findings findings;
  if (json::HoldsTooManyValues(json)) {
    findings.push_back(json::TooManyValues());
    return findings;
  }
  const auto parts = json::MembersOf(json);
  const std::vector<Part> members = parts.value_or(std::vector<Part>());
  const json::Tree tree =
      json::ReadWhole(parts ? WithoutItems(members) : std::string(json), findings);
  Configuration configuration;
  ObjectReader reader(tree.get(), "", findings);
  if (!reader.usable()) return findings;
  ReadVersion(reader, configuration);
  const auto items_of = [&](const char* name) {
    return reader.List(name, [](const cJSON*, const std::string&) {});
  };
  if (!items_of("routes")) reader.Report("routes", "expected a list, found nothing");
  configuration.routes =
      ListReader<Route>(routes_, ReadRoute, findings).Read("routes", TextOfList(members, "routes"));
  if (!items_of("services")) reader.Report("services", "expected a list, found nothing");
  configuration.services = ListReader<Service>(services_, ReadService, findings)
                               .Read("services", TextOfList(members, "services"));
  configuration.has_tenants = items_of("tenants");
  configuration.tenants = ListReader<Tenant>(tenants_, ReadTenant, findings)
                              .Read("tenants", TextOfList(members, "tenants"));
  ReadLimits(reader, findings, configuration.limits);
  CheckWhole(configuration, findings);
  if (!findings.empty()) return findings;
  configuration.Index();
  return configuration;
}

ParseResult Parse(std::string_view json) {
  Findings findings;
  if (json::ReadWhole(json, findings) == nullptr) return findings;
  return DocumentReader().Read(json);
}

}  // namespace shelflink::configuration
