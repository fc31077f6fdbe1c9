#include "tier/configuration/patch.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tier/configuration/json.h"

namespace shelflink::configuration {
namespace {

constexpr double kLargestExactInteger = 9007199254740992.0;  // 2^53: cJSON keeps doubles.
constexpr std::string_view kEmptyDocument = R"({"routes":[],"services":[]})";

using json::Part;
using Parts = std::vector<Part>;

std::string ItemPlace(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

// Returns a non-empty string value; none if the value is anything else.
std::optional<std::string> NameIn(std::string_view text) {
  std::optional<std::string> name = json::StringOf(text);
  if (name && name->empty()) return std::nullopt;
  return name;
}

const Part* Named(const Parts& parts, std::string_view name) {
  const auto found =
      std::find_if(parts.begin(), parts.end(), [&](const Part& part) { return part.name == name; });
  return found == parts.end() ? nullptr : &*found;
}

// Returns the name of an item; none if it has no name.
std::optional<std::string> NameOfItem(std::string_view item) {
  const auto members = json::MembersOf(item);
  if (!members) return std::nullopt;
  const Part* name = Named(*members, "name");
  return name == nullptr ? std::nullopt : NameIn(name->value);
}

struct Item {
  std::string name;
  std::string_view text;
};

// A list of the document while it is changed. If items share a name, the first one is replaced.
class ItemList {
 public:
  void Append(Item item) {
    positions_.try_emplace(item.name, items_.size());
    items_.push_back(std::move(item));
  }
  void Remove(const std::set<std::string>& names) {
    std::erase_if(items_, [&](const Item& item) { return names.contains(item.name); });
    positions_.clear();
    for (std::size_t i = 0; i < items_.size(); ++i) positions_.try_emplace(items_[i].name, i);
  }
  void Put(const Item& added) {
    const auto found = positions_.find(added.name);
    if (found == positions_.end()) {
      Append(added);
    } else {
      items_[found->second] = added;
    }
  }
  const std::vector<Item>& items() const { return items_; }
  std::string Text() const {
    std::string text = "[";
    for (const Item& item : items_) {
      if (text.size() > 1) text += ',';
      text += item.text;
    }
    return text + "]";
  }

 private:
  std::vector<Item> items_;
  std::unordered_map<std::string, std::size_t> positions_;
};

std::optional<ItemList> ItemsWithNames(std::string_view text, const std::string& place,
                                       Findings& findings) {
  const auto parts = json::ItemsOf(text);
  if (!parts) {
    findings.push_back({place, "expected a list"});
    return std::nullopt;
  }
  ItemList list;
  for (std::size_t i = 0; i < parts->size(); ++i) {
    const std::string_view item = (*parts)[i].value;
    const std::optional<std::string> name = NameOfItem(item);
    if (name) {
      list.Append({*name, item});
    } else {
      findings.push_back({ItemPlace(place, i), "expected an object with a name"});
    }
  }
  return list;
}

std::set<std::string> NamesIn(std::string_view text, const std::string& place, Findings& findings) {
  std::set<std::string> names;
  const auto parts = json::ItemsOf(text);
  if (!parts) {
    findings.push_back({place, "expected a list"});
    return names;
  }
  for (std::size_t i = 0; i < parts->size(); ++i) {
    std::optional<std::string> name = NameIn((*parts)[i].value);
    if (name) {
      names.insert(std::move(*name));
    } else {
      findings.push_back({ItemPlace(place, i), "expected a name"});
    }
  }
  return names;
}

// The members of the document. A changed list gets its new text.
class DocumentEditor {
 public:
  DocumentEditor(const Parts& members, Findings& findings) : findings_(findings) {
    for (const Part& member : members) {
      members_.push_back({member.name, std::string(member.value)});
    }
  }

  void SetVersion(std::string_view version) { Member("configVersion") = version; }

  void Remove(const std::string& list_name, std::string_view names) {
    const std::set<std::string> removed = NamesIn(names, "remove." + list_name, findings_);
    if (!Has(list_name)) return;
    Edit(list_name, [&](ItemList& list) { list.Remove(removed); });
  }

  void Upsert(const std::string& list_name, std::string_view items) {
    auto added = ItemsWithNames(items, "upsert." + list_name, findings_);
    if (!added) return;
    Edit(list_name, [&](ItemList& list) {
      for (const Item& item : added->items()) list.Put(item);
    });
  }

  std::string Text() const {
    std::string text = "{";
    for (const auto& [name, value] : members_) {
      if (text.size() > 1) text += ',';
      text += json::Quoted(name) + ":" + value;
    }
    return text + "}";
  }

 private:
  struct EditedMember {
    std::string name;
    std::string value;
  };

  bool Has(std::string_view name) const {
    return std::any_of(members_.begin(), members_.end(),
                       [&](const EditedMember& member) { return member.name == name; });
  }

  std::string& Member(std::string_view name) {
    for (EditedMember& member : members_) {
      if (member.name == name) return member.value;
    }
    return members_.emplace_back(EditedMember{std::string(name), "[]"}).value;
  }

  template <typename Change>
  void Edit(const std::string& list_name, Change change) {
    std::string& text = Member(list_name);
    if (text == "null") text = "[]";
    auto list = ItemsWithNames(text, list_name, findings_);
    if (!list) return;
    change(*list);
    text = list->Text();
  }

  Findings& findings_;
  std::vector<EditedMember> members_;
};

// The lists under `upsert` or `remove`; empty if the member is missing.
Parts ListsUnder(const Parts& change, std::string_view name, Findings& findings) {
  const Part* member = Named(change, name);
  if (member == nullptr || member->value == "null") return {};
  auto lists = json::MembersOf(member->value);
  if (lists) return std::move(*lists);
  findings.push_back({std::string(name), "expected an object of lists"});
  return {};
}

}  // namespace

std::optional<std::uint64_t> VersionOf(std::string_view json, Findings& findings) {
  const json::Tree tree = json::ReadWhole(json, findings);
  if (tree == nullptr) return std::nullopt;
  if (!cJSON_IsObject(tree.get())) {
    findings.push_back({"document", "expected an object"});
    return std::nullopt;
  }
  const cJSON* version = cJSON_GetObjectItemCaseSensitive(tree.get(), "configVersion");
  const double number = cJSON_IsNumber(version) ? version->valuedouble : 0.0;
  const bool usable =
      number >= 1.0 && number <= kLargestExactInteger && std::floor(number) == number;
  if (!usable) {
    findings.push_back({"configVersion", "expected a whole number above 0"});
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(number);
}

std::optional<std::string> ApplyPatch(std::string_view document, std::string_view change,
                                      Findings& findings) {
  const auto members = json::MembersOf(document.empty() ? kEmptyDocument : document);
  const auto parts = json::MembersOf(change);
  if (!members || !parts) {
    findings.push_back({"document", "expected an object"});
    return std::nullopt;
  }
  const std::size_t findings_before = findings.size();
  DocumentEditor editor(*members, findings);
  if (const Part* version = Named(*parts, "configVersion")) editor.SetVersion(version->value);
  for (const Part& list : ListsUnder(*parts, "remove", findings)) {
    editor.Remove(list.name, list.value);
  }
  for (const Part& list : ListsUnder(*parts, "upsert", findings)) {
    editor.Upsert(list.name, list.value);
  }
  if (findings.size() > findings_before) return std::nullopt;
  return editor.Text();
}

}  // namespace shelflink::configuration
