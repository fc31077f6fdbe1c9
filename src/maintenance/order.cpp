#include "maintenance/order.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace maintenance {
namespace {

using coordination::Compare;
using coordination::Operation;
using Json = nlohmann::json;

constexpr double kMicros = 1e6;
constexpr double kLongestBack = 24 * 3600;
constexpr std::array kWhats = {What::kDrain, What::kRestart};
constexpr std::array kStates = {State::kRunning, State::kPaused, State::kOff, State::kStopped,
                                State::kDone};

template <typename T, std::size_t kCount>
T OfWord(const std::array<T, kCount>& all, const std::string& word, const char* expected) {
  for (const T t : all) {
    if (word == WordOf(t)) return t;
  }
  throw BadOrder(expected);
}

Json Parse(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) throw BadOrder("expected a JSON object");
  return json;
}

// Puts the field's name before whatever is wrong with it.
template <typename Read>
void Field(const Json& json, const char* name, const Read& read) {
  try {
    read(json.at(name));
  } catch (const std::exception& e) {
    throw BadOrder(std::string(name) + ": " + e.what());
  }
}

std::vector<std::string> ParseNames(const Json& json) {
  auto names = json.get<std::vector<std::string>>();
  if (names.empty() || names.size() > kMostMembers) {
    throw BadOrder("expected one to " + std::to_string(kMostMembers) + " names");
  }
  const std::set<std::string> distinct(names.begin(), names.end());
  if (distinct.size() != names.size()) throw BadOrder("expected each name once");
  return names;
}

std::uint32_t ParseCount(const Json& json) {
  if (!json.is_number_unsigned() || json.get<std::uint64_t>() < 1 ||
      json.get<std::uint64_t>() > kMostMembers) {
    throw BadOrder("expected a whole number, 1 at least");
  }
  return json.get<std::uint32_t>();
}

Micros ParseSpan(const Json& json) {
  const double seconds = json.is_number() ? json.get<double>() : -1;
  if (!(seconds >= 1 && seconds <= kLongestBack)) {
    throw BadOrder("expected seconds, from 1 to 86400");
  }
  return static_cast<Micros>(seconds * kMicros);
}

Compare CreatedAt(const std::string& key, Revision revision) {
  return {key, Compare::Of::kCreated, Compare::Is::kEqual, revision};
}
Compare ModifiedAt(const std::string& key, Revision revision) {
  return {key, Compare::Of::kModified, Compare::Is::kEqual, revision};
}
Operation Put(const std::string& key, const std::string& value) {
  return {Operation::What::kPut, {key}, value};
}
Operation Get(const std::string& key) { return {Operation::What::kRange, {key}}; }

}  // namespace

const char* WordOf(What what) { return what == What::kDrain ? "drain" : "restart"; }

const char* WordOf(State state) {
  switch (state) {
    case State::kRunning:
      return "running";
    case State::kPaused:
      return "paused";
    case State::kOff:
      return "off";
    case State::kStopped:
      return "stopped";
    case State::kDone:
      break;
  }
  return "done";
}

std::string TextOf(const Order& order) {
  return Json{{"id", order.id},
              {"what", WordOf(order.what)},
              {"members", order.members},
              {"at_once", order.at_once},
              {"back_within_s", static_cast<double>(order.back_within) / kMicros},
              {"state", WordOf(order.state)},
              {"why", order.why}}
      .dump();
}

Order ParseOrder(const std::string& text) {
  const Json json = Parse(text);
  Order order;
  Field(json, "id", [&](const Json& j) { order.id = j.get<std::string>(); });
  Field(json, "what", [&](const Json& j) {
    order.what = OfWord(kWhats, j.get<std::string>(), "expected drain or restart");
  });
  Field(json, "members", [&](const Json& j) { order.members = ParseNames(j); });
  Field(json, "at_once", [&](const Json& j) { order.at_once = ParseCount(j); });
  Field(json, "back_within_s", [&](const Json& j) { order.back_within = ParseSpan(j); });
  Field(json, "state", [&](const Json& j) {
    order.state = OfWord(kStates, j.get<std::string>(), "expected a state");
  });
  Field(json, "why", [&](const Json& j) { order.why = j.get<std::string>(); });
  return order;
}

Order ParseWish(const std::string& text, const std::vector<std::string>& all) {
  const Json json = Parse(text);
  for (const auto& [key, value] : json.items()) {
    if (key != "what" && key != "members" && key != "at_once" && key != "back_within_s") {
      throw BadOrder(key + ": expected what, members, at_once or back_within_s");
    }
  }
  Order order;
  Field(json, "what", [&](const Json& j) {
    order.what = OfWord(kWhats, j.get<std::string>(), "expected drain or restart");
  });
  order.members = all;
  if (json.contains("members")) {
    Field(json, "members", [&](const Json& j) { order.members = ParseNames(j); });
  }
  if (order.members.empty()) throw BadOrder("members: there are none");
  for (const std::string& name : order.members) {
    if (std::find(all.begin(), all.end(), name) == all.end()) {
      throw BadOrder("members: " + name + " is no member at this moment");
    }
  }
  if (json.contains("at_once")) {
    Field(json, "at_once", [&](const Json& j) { order.at_once = ParseCount(j); });
  }
  if (json.contains("back_within_s")) {
    Field(json, "back_within_s", [&](const Json& j) { order.back_within = ParseSpan(j); });
  }
  return order;
}

std::string TextOf(const Part& part) {
  return Json{
      {"start", part.start}, {"slot", part.slot}, {"fence", part.fence}, {"back", part.back}}
      .dump();
}

Part ParsePart(const std::string& text) {
  const Json json = Parse(text);
  Part part;
  Field(json, "start", [&](const Json& j) { part.start = j.get<std::string>(); });
  Field(json, "slot", [&](const Json& j) { part.slot = j.get<std::uint32_t>(); });
  Field(json, "fence", [&](const Json& j) { part.fence = j.get<std::int64_t>(); });
  Field(json, "back", [&](const Json& j) { part.back = j.get<bool>(); });
  return part;
}

std::string TextOf(const Call& call) {
  return Json{{"order", call.order},
              {"order_revision", call.order_revision},
              {"fence", call.fence},
              {"slot", call.slot}}
      .dump();
}

Call ParseCall(const std::string& text) {
  const Json json = Parse(text);
  Call call;
  Field(json, "order", [&](const Json& j) { call.order = j.get<std::string>(); });
  Field(json, "order_revision", [&](const Json& j) { call.order_revision = j.get<Revision>(); });
  Field(json, "fence", [&](const Json& j) { call.fence = j.get<ownership::Fence>(); });
  Field(json, "slot", [&](const Json& j) { call.slot = j.get<std::uint32_t>(); });
  if (call.order.empty() || call.fence <= 0) throw BadOrder("expected an order and a fence");
  return call;
}

Txn TakePart(const Keys& keys, const std::string& name, const std::string& start,
             const Call& call) {
  const std::string part = keys.PartOf(call.order, name);
  const std::string slot = keys.Slot(call.order, call.slot);
  Txn txn;
  txn.compares = {CreatedAt(keys.Work(), call.fence),
                  ModifiedAt(keys.TheOrder(), call.order_revision), CreatedAt(part, 0),
                  CreatedAt(slot, 0)};
  txn.then = {Put(part, TextOf(Part{start, call.slot, call.fence, false})), Put(slot, name)};
  txn.otherwise = {Get(keys.Work()), Get(keys.TheOrder()), Get(part)};
  return txn;
}

Txn BringBack(const Keys& keys, const std::string& name, const std::string& order, Part part,
              Revision seen) {
  const std::string key = keys.PartOf(order, name);
  part.back = true;
  Txn txn;
  txn.compares = {ModifiedAt(key, seen)};
  txn.then = {Put(key, TextOf(part)), {Operation::What::kDelete, {keys.Slot(order, part.slot)}}};
  return txn;
}

Txn ChangeOrder(const Keys& keys, const Order& order, Revision seen) {
  Txn txn;
  txn.compares = {ModifiedAt(keys.TheOrder(), seen)};
  txn.then = {Put(keys.TheOrder(), TextOf(order))};
  return txn;
}

Txn BeginOrder(const Keys& keys, const Order& order, Revision seen, const std::string& last) {
  Txn txn = ChangeOrder(keys, order, seen);
  if (last.empty()) return txn;
  for (const std::string& prefix : {keys.Parts(last), keys.Slots(last)}) {
    txn.then.push_back({Operation::What::kDelete, coordination::Prefix(prefix)});
  }
  return txn;
}

Txn EndOrder(const Keys& keys, const Order& order, Revision seen, ownership::Fence fence) {
  Txn txn = ChangeOrder(keys, order, seen);
  txn.compares.push_back(CreatedAt(keys.Work(), fence));
  return txn;
}

}  // namespace maintenance
