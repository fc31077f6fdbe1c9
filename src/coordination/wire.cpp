#include "coordination/wire.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace coordination::wire {
namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::array<std::int8_t, 256> Values() {
  std::array<std::int8_t, 256> values{};
  values.fill(-1);
  for (std::size_t i = 0; i < kDigits.size(); ++i) {
    values[static_cast<unsigned char>(kDigits[i])] = static_cast<std::int8_t>(i);
  }
  return values;
}

// The other published spelling of a name: created_by for createdBy.
std::string Underscored(std::string_view name) {
  std::string other;
  for (const char c : name) {
    if (c >= 'A' && c <= 'Z') {
      other += '_';
      other += static_cast<char>(c - 'A' + 'a');
    } else {
      other += c;
    }
  }
  return other;
}

const Json* Find(const Json& json, std::string_view name) {
  if (!json.is_object()) throw BadWire("expected an object");
  auto it = json.find(std::string(name));
  if (it == json.end()) it = json.find(Underscored(name));
  return it == json.end() || it->is_null() ? nullptr : &*it;
}

std::string BytesIn(const Json& json, std::string_view name) {
  const Json* found = Find(json, name);
  if (found == nullptr) return {};
  if (!found->is_string()) throw BadWire(std::string(name) + ": expected text in base64");
  return FromBase64(found->get_ref<const std::string&>());
}

bool FlagIn(const Json& json, std::string_view name) {
  const Json* found = Find(json, name);
  if (found == nullptr) return false;
  if (!found->is_boolean()) throw BadWire(std::string(name) + ": expected true or false");
  return found->get<bool>();
}

const Json& ObjectIn(const Json& json, std::string_view name) {
  const Json* found = Find(json, name);
  if (found == nullptr) throw BadWire(std::string(name) + ": missing");
  return *found;
}

// A list that may be left out.
const Json& ListIn(const Json& json, std::string_view name) {
  static const Json kNone = Json::array();
  const Json* found = Find(json, name);
  if (found == nullptr) return kNone;
  if (!found->is_array()) throw BadWire(std::string(name) + ": expected a list");
  return *found;
}

std::string WordIn(const Json& json, std::string_view name, std::string_view otherwise) {
  const Json* found = Find(json, name);
  if (found == nullptr) return std::string(otherwise);
  if (!found->is_string()) throw BadWire(std::string(name) + ": expected a word");
  return found->get<std::string>();
}

std::string NumberText(std::int64_t number) { return std::to_string(number); }

// ---- Compares and operations ----

constexpr std::array<std::string_view, 5> kTargets = {"VERSION", "CREATE", "MOD", "LEASE", "VALUE"};
constexpr std::array<std::string_view, 5> kFields = {"version", "createRevision", "modRevision",
                                                     "lease", "value"};
constexpr std::array<std::string_view, 4> kResults = {"EQUAL", "NOT_EQUAL", "LESS", "GREATER"};

template <std::size_t kCount>
std::size_t IndexOf(const std::array<std::string_view, kCount>& words, const std::string& word,
                    const char* what) {
  for (std::size_t i = 0; i < kCount; ++i) {
    if (words[i] == word) return i;
  }
  throw BadWire(std::string(what) + ": unknown word " + word);
}

Json JsonOf(const Compare& c) {
  const auto of = static_cast<std::size_t>(c.of);
  Json json = {{"key", ToBase64(c.key)},
               {"target", kTargets[of]},
               {"result", kResults[static_cast<std::size_t>(c.is)]}};
  const bool value = c.of == Compare::Of::kValue;
  json[std::string(kFields[of])] = value ? ToBase64(c.value) : NumberText(c.number);
  return json;
}

Compare CompareOf(const Json& json) {
  Compare c;
  c.key = BytesIn(json, "key");
  const std::size_t of = IndexOf(kTargets, WordIn(json, "target", kTargets[0]), "target");
  c.of = static_cast<Compare::Of>(of);
  c.is = static_cast<Compare::Is>(IndexOf(kResults, WordIn(json, "result", kResults[0]), "result"));
  if (c.of == Compare::Of::kValue) {
    c.value = BytesIn(json, kFields[of]);
  } else {
    c.number = NumberIn(json, kFields[of]);
  }
  return c;
}

Json JsonOf(const Operation& o) {
  if (o.what == Operation::What::kPut) {
    return {{"requestPut",
             {{"key", ToBase64(o.range.key)},
              {"value", ToBase64(o.value)},
              {"lease", NumberText(o.lease)}}}};
  }
  const bool range = o.what == Operation::What::kRange;
  return {{range ? "requestRange" : "requestDeleteRange", wire::JsonOf(o.range)}};
}

Operation OperationOf(const Json& json) {
  if (const Json* put = Find(json, "requestPut")) return PutOf(*put);
  Operation o;
  if (const Json* range = Find(json, "requestRange")) {
    o.range = RangeOf(*range);
    return o;
  }
  const Json* gone = Find(json, "requestDeleteRange");
  if (gone == nullptr) throw BadWire("expected requestPut, requestRange or requestDeleteRange");
  o.what = Operation::What::kDelete;
  o.range = RangeOf(*gone);
  return o;
}

std::vector<Operation> OperationsIn(const Json& json, std::string_view name) {
  std::vector<Operation> operations;
  for (const Json& j : ListIn(json, name)) operations.push_back(OperationOf(j));
  return operations;
}

// ---- Entries ----

Json JsonOf(const Entry& e) {
  return {{"key", ToBase64(e.key)},
          {"value", ToBase64(e.value)},
          {"create_revision", NumberText(e.created)},
          {"mod_revision", NumberText(e.modified)},
          {"version", NumberText(e.version)},
          {"lease", NumberText(e.lease)}};
}

Entry EntryOf(const Json& json) {
  Entry e;
  e.key = BytesIn(json, "key");
  e.value = BytesIn(json, "value");
  e.created = NumberIn(json, "createRevision");
  e.modified = NumberIn(json, "modRevision");
  e.version = NumberIn(json, "version");
  e.lease = NumberIn(json, "lease");
  return e;
}

Json JsonOf(const std::vector<Entry>& entries) {
  Json json = Json::array();
  for (const Entry& e : entries) json.push_back(JsonOf(e));
  return json;
}

std::vector<Entry> EntriesIn(const Json& json, std::string_view name) {
  std::vector<Entry> entries;
  for (const Json& j : ListIn(json, name)) entries.push_back(EntryOf(j));
  return entries;
}

}  // namespace

std::string ToBase64(std::string_view bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += k <= n ? kDigits[bits >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

std::string FromBase64(std::string_view text) {
  static const auto kValues = Values();
  if (text.size() % 4 != 0) throw BadWire("base64: expected groups of four");
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t bits = 0;
    std::size_t digits = 0;
    for (std::size_t k = 0; k < 4; ++k) {
      const char c = text[i + k];
      const std::int8_t value = kValues[static_cast<unsigned char>(c)];
      const bool padding = c == '=' && i + 4 == text.size() && k >= 2;
      if (padding ? false : value < 0 || digits < k) throw BadWire("base64: unexpected byte");
      if (!padding) ++digits;
      bits = bits << 6 | (padding ? 0U : static_cast<std::uint32_t>(value));
    }
    for (std::size_t k = 0; k + 1 < digits; ++k) {
      bytes += static_cast<char>(bits >> (16 - 8 * k) & 255);
    }
  }
  return bytes;
}

std::int64_t NumberIn(const Json& json, std::string_view name) {
  const Json* found = Find(json, name);
  if (found == nullptr) return 0;
  if (found->is_number_integer()) return found->get<std::int64_t>();
  std::int64_t number = 0;
  if (found->is_string()) {
    const auto& text = found->get_ref<const std::string&>();
    const char* end = text.data() + text.size();
    const auto r = std::from_chars(text.data(), end, number);
    if (r.ec == std::errc() && r.ptr == end && !text.empty()) return number;
  }
  throw BadWire(std::string(name) + ": expected a whole number");
}

Json JsonOf(const Range& range) {
  return {{"key", ToBase64(range.key)}, {"range_end", ToBase64(range.end)}};
}

Range RangeOf(const Json& json) { return {BytesIn(json, "key"), BytesIn(json, "rangeEnd")}; }

Operation PutOf(const Json& json) {
  Operation o;
  o.what = Operation::What::kPut;
  o.range.key = BytesIn(json, "key");
  o.value = BytesIn(json, "value");
  o.lease = NumberIn(json, "lease");
  return o;
}

Json JsonOf(const Txn& txn) {
  Json json = {{"compare", Json::array()}, {"success", Json::array()}, {"failure", Json::array()}};
  for (const Compare& c : txn.compares) json["compare"].push_back(JsonOf(c));
  for (const Operation& o : txn.then) json["success"].push_back(JsonOf(o));
  for (const Operation& o : txn.otherwise) json["failure"].push_back(JsonOf(o));
  return json;
}

Txn TxnOf(const Json& json) {
  Txn txn;
  for (const Json& j : ListIn(json, "compare")) txn.compares.push_back(CompareOf(j));
  txn.then = OperationsIn(json, "success");
  txn.otherwise = OperationsIn(json, "failure");
  return txn;
}

Json JsonOf(const WatchOrder& order) {
  Json create = JsonOf(order.range);
  create["start_revision"] = NumberText(order.from);
  return {{"create_request", create}};
}

WatchOrder WatchOrderOf(const Json& json) {
  const Json& create = ObjectIn(json, "createRequest");
  return {RangeOf(create), NumberIn(create, "startRevision")};
}

Json HeaderOf(Revision revision) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", NumberText(revision)},
          {"raft_term", "1"}};
}

Json JsonOf(const Done& done, const Txn& txn) {
  Json responses = Json::array();
  const auto& operations = done.succeeded ? txn.then : txn.otherwise;
  for (std::size_t i = 0; i < operations.size(); ++i) {
    const auto& found = done.found[i];
    const std::string count = NumberText(static_cast<std::int64_t>(found.size()));
    Json one = {{"header", HeaderOf(done.revision)}};
    switch (operations[i].what) {
      case Operation::What::kPut:
        responses.push_back({{"response_put", one}});
        break;
      case Operation::What::kRange:
        one["kvs"] = JsonOf(found);
        one["count"] = count;
        responses.push_back({{"response_range", one}});
        break;
      case Operation::What::kDelete:
        one["prev_kvs"] = JsonOf(found);
        one["deleted"] = count;
        responses.push_back({{"response_delete_range", one}});
        break;
    }
  }
  Json json = {{"header", HeaderOf(done.revision)}, {"responses", responses}};
  if (done.succeeded) json["succeeded"] = true;  // What is false is left out.
  return json;
}

Done DoneOf(const Json& json) {
  Done done;
  done.revision = NumberIn(ObjectIn(json, "header"), "revision");
  if (done.revision <= 0) throw BadWire("header.revision: expected one above 0");
  done.succeeded = FlagIn(json, "succeeded");
  for (const Json& j : ListIn(json, "responses")) {
    auto& found = done.found.emplace_back();
    if (const Json* range = Find(j, "responseRange")) found = EntriesIn(*range, "kvs");
    if (const Json* gone = Find(j, "responseDeleteRange")) found = EntriesIn(*gone, "prevKvs");
  }
  return done;
}

Json JsonOf(const Told& told) {
  Json json = {{"header", HeaderOf(told.revision)}, {"watch_id", "0"}};
  if (told.created) json["created"] = true;
  if (told.cancelled) json["canceled"] = true;
  if (told.compacted > 0) json["compact_revision"] = NumberText(told.compacted);
  for (const Event& e : told.events) {
    // A put is the word that may be left out.
    Json event = {{"kv", JsonOf(e.entry)}};
    if (e.gone) event["type"] = "DELETE";
    json["events"].push_back(std::move(event));
  }
  return {{"result", json}};
}

Told ToldOf(const Json& json) {
  const Json& result = ObjectIn(json, "result");
  Told told;
  told.revision = NumberIn(ObjectIn(result, "header"), "revision");
  told.created = FlagIn(result, "created");
  told.cancelled = FlagIn(result, "canceled");
  told.compacted = NumberIn(result, "compactRevision");
  for (const Json& j : ListIn(result, "events")) {
    const std::string type = WordIn(j, "type", "PUT");
    if (type != "PUT" && type != "DELETE") throw BadWire("type: expected PUT or DELETE");
    told.events.push_back({type == "DELETE", EntryOf(ObjectIn(j, "kv"))});
  }
  return told;
}

Json JsonOf(const Model::Image& image) {
  Json json = {{"revision", image.revision},     {"compacted", image.compacted},
               {"last_lease", image.last_lease}, {"entries", JsonOf(image.entries)},
               {"leases", Json::array()},        {"events", Json::array()}};
  for (const auto& l : image.leases) {
    json["leases"].push_back({{"id", l.id}, {"ttl", l.ttl}, {"until", l.until}});
  }
  for (const auto& [revision, event] : image.events) {
    json["events"].push_back(
        {{"revision", revision}, {"gone", event.gone}, {"kv", JsonOf(event.entry)}});
  }
  return json;
}

Model::Image ImageOf(const Json& json) {
  Model::Image image;
  image.revision = NumberIn(json, "revision");
  image.compacted = NumberIn(json, "compacted");
  image.last_lease = NumberIn(json, "last_lease");
  if (image.revision < 1 || image.compacted > image.revision) {
    throw BadWire("revision: expected one above 0, and none compacted beyond it");
  }
  image.entries = EntriesIn(json, "entries");
  for (const Json& j : ListIn(json, "leases")) {
    image.leases.push_back({NumberIn(j, "id"), NumberIn(j, "ttl"), NumberIn(j, "until")});
  }
  for (const Json& j : ListIn(json, "events")) {
    image.events.emplace_back(NumberIn(j, "revision"),
                              Event{FlagIn(j, "gone"), EntryOf(ObjectIn(j, "kv"))});
  }
  return image;
}

Json JsonOf(const Error& error) {
  return {{"error", error.text}, {"code", error.code}, {"message", error.text}};
}

Error ErrorOf(const Json& json) {
  Error error;
  error.code = static_cast<int>(NumberIn(json, "code"));
  error.text = WordIn(json, "message", WordIn(json, "error", ""));
  return error;
}

bool NothingDone(int code) {
  switch (static_cast<Code>(code)) {
    case Code::kInvalid:
    case Code::kNotFound:
    case Code::kFailed:
    case Code::kOutOfRange:
      return true;
    case Code::kUnavailable:
      break;
  }
  return false;
}

}  // namespace coordination::wire
