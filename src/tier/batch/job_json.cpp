#include "tier/batch/job_json.h"

#include <cjson/cJSON.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <optional>
#include <unordered_set>

#include "tier/batch/base64.h"
#include "tier/foundation/json_text.h"

namespace shelflink::batch {
namespace {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::size_t kLongestQuoted = 40;

// What stands in a header of an item but is the system's to set, or concerns one connection only.
constexpr std::array<std::string_view, 17> kOwnHeaders = {"connection",
                                                          "content-length",
                                                          "expect",
                                                          "host",
                                                          "keep-alive",
                                                          "last-event-id",
                                                          "proxy-authenticate",
                                                          "proxy-authorization",
                                                          "proxy-connection",
                                                          "shelflink-credential",
                                                          "shelflink-request-id",
                                                          "shelflink-expect-instance",
                                                          "shelflink-tenant",
                                                          "te",
                                                          "trailer",
                                                          "transfer-encoding",
                                                          "upgrade"};

struct TreeDeleter {
  void operator()(cJSON* tree) const { cJSON_Delete(tree); }
};
using Tree = std::unique_ptr<cJSON, TreeDeleter>;

char LowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string LowerCased(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), LowerCase);
  return lower;
}

bool IsVisible(char c) { return c > 0x20 && c < 0x7f; }

bool IsTokenCharacter(char c) {
  constexpr std::string_view kDelimiters = "\"(),/:;<=>?@[\\]{}";
  return IsVisible(c) && kDelimiters.find(c) == std::string_view::npos;
}

bool IsHeaderValueCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

// A value of the input as a finding may show it.
std::string Quoted(std::string_view text) {
  std::string quoted;
  AppendJsonString(quoted, text.substr(0, kLongestQuoted));
  if (text.size() > kLongestQuoted) quoted += "...";
  return quoted;
}

// Collects findings up to the limit and counts those beyond.
class FindingList {
 public:
  void Add(std::string place, std::string expected) {
    if (findings_.size() < kMostFindings) {
      findings_.push_back({std::move(place), std::move(expected)});
    } else {
      ++left_out_;
    }
  }
  bool empty() const { return findings_.empty(); }
  Findings Take() {
    if (left_out_ != 0) {
      findings_.push_back({"requests", std::to_string(left_out_) + " more findings left out"});
    }
    return std::move(findings_);
  }

 private:
  Findings findings_;
  std::size_t left_out_ = 0;
};

// What the tree's library would let pass or could not hold: too many values, and characters in
// strings that JSON forbids or that would end them early. The grammar itself is left to the
// library.
class Screening {
 public:
  explicit Screening(std::string_view json) : json_(json) {}

  std::optional<Finding> Run() {
    std::size_t values = 1;
    for (position_ = 0; position_ < json_.size(); ++position_) {
      const char c = json_[position_];
      if (c == '"') {
        if (auto finding = ScreenString()) return finding;
      } else if (c == ',' || c == '[' || c == '{') {
        if (++values > kMostValues) {
          return Finding{"body", "expected at most " + std::to_string(kMostValues) + " values"};
        }
      }
    }
    return std::nullopt;
  }

 private:
  // Leaves the position at the closing quote, or at the end of an unfinished string.
  std::optional<Finding> ScreenString() {
    for (++position_; position_ < json_.size(); ++position_) {
      const char c = json_[position_];
      if (c == '"') return std::nullopt;
      if (static_cast<unsigned char>(c) < 0x20) {
        return Here("expected no control character in a string");
      }
      if (c != '\\') continue;
      if (json_.substr(position_).starts_with("\\u0000")) {
        return Here("expected no \\u0000 in a string");
      }
      ++position_;
    }
    return std::nullopt;
  }

  Finding Here(std::string expected) const {
    return {"body, byte " + std::to_string(position_), std::move(expected)};
  }

  std::string_view json_;
  std::size_t position_ = 0;
};

// The fields of one item, each at most once.
struct ItemFields {
  const cJSON* id = nullptr;
  const cJSON* path = nullptr;
  const cJSON* headers = nullptr;
  const cJSON* body = nullptr;
  const cJSON* tokens = nullptr;

  // Null: a field that is unknown here and ignored.
  const cJSON** Slot(std::string_view name) {
    if (name == "id") return &id;
    if (name == "path") return &path;
    if (name == "headers") return &headers;
    if (name == "body") return &body;
    if (name == "tokens") return &tokens;
    return nullptr;
  }
};

class SubmissionReader {
 public:
  SubmissionReader(const configuration::Configuration& configuration,
                   const configuration::Route& route, std::string_view host)
      : configuration_(configuration), route_(route), host_(host) {}

  outcome::basic_result<std::vector<Item>, Findings, outcome::policy::all_narrow> Read(
      std::string_view json) {
    ReadDocument(json);
    if (!findings_.empty()) return findings_.Take();
    return std::move(items_);
  }

 private:
  void ReadDocument(std::string_view json) {
    if (auto finding = Screening(json).Run()) {
      findings_.Add(finding->place, finding->expected);
      return;
    }
    const char* end = nullptr;
    const Tree document(cJSON_ParseWithLengthOpts(json.data(), json.size(), &end, false));
    if (document == nullptr) {
      const auto offset = end == nullptr ? 0 : end - json.data();
      findings_.Add("body, byte " + std::to_string(offset), "expected JSON");
      return;
    }
    const std::string_view rest = json.substr(static_cast<std::size_t>(end - json.data()));
    if (rest.find_first_not_of(kWhitespace) != std::string_view::npos) {
      findings_.Add("body", "expected nothing behind the JSON value");
      return;
    }
    ReadRequests(document.get());
  }

  void ReadRequests(cJSON* document) {
    if (!cJSON_IsObject(document)) {
      findings_.Add("body", "expected an object");
      return;
    }
    cJSON* requests = nullptr;
    for (cJSON* field = document->child; field != nullptr; field = field->next) {
      if (std::string_view(field->string) != "requests") continue;
      if (requests != nullptr) findings_.Add("requests", "expected once, found twice");
      requests = field;
    }
    if (requests == nullptr || !cJSON_IsArray(requests)) {
      findings_.Add("requests", "expected a list of 1 to " + std::to_string(kMostItems) + " items");
      return;
    }
    const auto count = static_cast<std::size_t>(cJSON_GetArraySize(requests));
    if (count == 0 || count > kMostItems) {
      findings_.Add("requests", "expected 1 to " + std::to_string(kMostItems) + " items, found " +
                                    std::to_string(count));
      return;
    }
    items_.reserve(count);
    for (index_ = 0; index_ < count; ++index_) {
      // Freed item by item: the tree and the decoded bodies need not both be whole in memory.
      const Tree item(cJSON_DetachItemViaPointer(requests, requests->child));
      ReadItem(item.get());
    }
  }

  void ReadItem(const cJSON* object) {
    if (!cJSON_IsObject(object)) {
      findings_.Add("requests[" + std::to_string(index_) + "]", "expected an object");
      return;
    }
    ItemFields fields;
    for (const cJSON* field = object->child; field != nullptr; field = field->next) {
      const cJSON** slot = fields.Slot(field->string);
      if (slot == nullptr) continue;
      if (*slot != nullptr) Add(field->string, "expected once, found twice");
      *slot = field;
    }
    Item item;
    ReadId(fields.id, item);
    ReadPath(fields.path, item);
    ReadHeaders(fields.headers, item);
    ReadBody(fields.body, item);
    ReadTokens(fields.tokens, item);
    items_.push_back(std::move(item));
  }

  void ReadId(const cJSON* field, Item& item) {
    const auto id = Text("id", field);
    if (!id) return;
    if (!IsValidId(*id)) {
      Add("id", "expected 1 to " + std::to_string(kLongestId) +
                    " visible ASCII characters, found " + Quoted(*id));
      return;
    }
    if (!ids_.insert(std::string(*id)).second) {
      Add("id", "expected an id of its own, found " + Quoted(*id) + " a second time");
    }
    item.id = *id;
  }

  void ReadPath(const cJSON* field, Item& item) {
    const auto path = Text("path", field);
    if (!path) return;
    const bool written_well = path->starts_with('/') && path->size() <= kLongestPath &&
                              std::all_of(path->begin(), path->end(), IsVisible) &&
                              path->find('#') == std::string_view::npos;
    if (!written_well) {
      Add("path", "expected a path of at most " + std::to_string(kLongestPath) +
                      " visible ASCII characters without a fragment, found " + Quoted(*path));
      return;
    }
    const std::string_view without_query = path->substr(0, path->find('?'));
    if (configuration_.FindRoute(host_, without_query) != &route_) {
      Add("path",
          "expected a path of the route " + Quoted(route_.name) + ", found " + Quoted(*path));
      return;
    }
    item.path = *path;
  }

  void ReadHeaders(const cJSON* field, Item& item) {
    if (!cJSON_IsObject(field)) {
      Add("headers", "expected an object of names and values");
      return;
    }
    std::unordered_set<std::string> names;
    for (const cJSON* header = field->child; header != nullptr; header = header->next) {
      const std::string_view name = header->string;
      if (name.empty() || !std::all_of(name.begin(), name.end(), IsTokenCharacter)) {
        Add("headers", "expected names of header fields, found " + Quoted(name));
        continue;
      }
      const std::string lower = LowerCased(name);
      const std::string place = "headers." + std::string(name.substr(0, kLongestQuoted));
      if (!names.insert(lower).second) Add(place, "expected once, found twice");
      const auto value = Text(place, header);
      if (value && name.size() + value->size() > kLongestHeader) {
        Add(place, "expected at most " + std::to_string(kLongestHeader) + " bytes with its name");
        continue;
      }
      if (!value) continue;
      if (!std::all_of(value->begin(), value->end(), IsHeaderValueCharacter)) {
        Add(place, "expected no control characters");
        continue;
      }
      const bool own =
          std::find(kOwnHeaders.begin(), kOwnHeaders.end(), lower) != kOwnHeaders.end();
      if (!own) item.headers.emplace_back(name, *value);
    }
  }

  void ReadBody(const cJSON* field, Item& item) {
    const auto text = Text("body", field);
    if (!text) return;
    auto bytes = DecodeBase64(*text);
    if (!bytes) {
      Add("body", "expected base64 with its padding");
      return;
    }
    item.body = std::move(*bytes);
  }

  void ReadTokens(const cJSON* field, Item& item) {
    const double tokens = cJSON_IsNumber(field) ? field->valuedouble : -1.0;
    const bool whole = tokens >= 0 && tokens <= static_cast<double>(kMostItemTokens) &&
                       std::floor(tokens) == tokens;
    if (!whole) {
      Add("tokens", "expected a whole number from 0 to " + std::to_string(kMostItemTokens));
      return;
    }
    item.tokens = static_cast<std::uint64_t>(tokens);
  }

  std::optional<std::string_view> Text(const std::string& name, const cJSON* field) {
    if (cJSON_IsString(field)) return field->valuestring;
    Add(name, field == nullptr ? "expected a string, found none" : "expected a string");
    return std::nullopt;
  }

  void Add(std::string_view field, std::string expected) {
    std::string place = "requests[" + std::to_string(index_) + "].";
    findings_.Add(place.append(field), std::move(expected));
  }

  const configuration::Configuration& configuration_;
  const configuration::Route& route_;
  std::string_view host_;
  std::size_t index_ = 0;
  std::unordered_set<std::string> ids_;
  std::vector<Item> items_;
  FindingList findings_;
};

}  // namespace

bool IsValidId(std::string_view id) {
  return !id.empty() && id.size() <= kLongestId && std::all_of(id.begin(), id.end(), IsVisible);
}

outcome::basic_result<std::vector<Item>, Findings, outcome::policy::all_narrow> ParseSubmission(
    std::string_view json, const configuration::Configuration& configuration,
    const configuration::Route& route, std::string_view host) {
  return SubmissionReader(configuration, route, host).Read(json);
}

}  // namespace shelflink::batch
