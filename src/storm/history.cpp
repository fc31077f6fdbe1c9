#include "storm/history.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace storm {
namespace {

using Json = nlohmann::json;

std::string_view NextWord(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  const std::string_view word = text.substr(0, text.find(' '));
  text.remove_prefix(word.size());
  return word;
}

std::optional<std::int64_t> Number(std::string_view word) {
  std::int64_t value = 0;
  const auto r = std::from_chars(word.data(), word.data() + word.size(), value);
  if (r.ec != std::errc() || r.ptr != word.data() + word.size()) return std::nullopt;
  return value;
}

// The word after `name`, or none.
std::string_view After(std::string_view text, std::string_view name) {
  while (!text.empty()) {
    if (NextWord(text) == name) return NextWord(text);
  }
  return {};
}

}  // namespace

std::string LineOf(const Record& record) {
  Json json = {
      {"at", record.at}, {"who", record.who}, {"life", record.life}, {"what", record.what}};
  if (record.version) json["version"] = *record.version;
  if (!record.about.empty()) json["about"] = record.about;
  return json.dump();
}

Record ParseRecord(std::string_view text, const std::string& name, std::size_t line) {
  try {
    const Json json = Json::parse(text);
    Record record;
    record.at = json.at("at").get<Micros>();
    record.who = json.at("who").get<std::string>();
    record.life = json.at("life").get<std::uint64_t>();
    record.what = json.at("what").get<std::string>();
    if (json.contains("version")) record.version = json["version"].get<std::int64_t>();
    record.about = json.value("about", std::string());
    return record;
  } catch (const Json::exception& e) {
    throw BadHistory(name + ":" + std::to_string(line) +
                     ": expected a record of a history: " + e.what());
  }
}

std::vector<Record> ParseHistory(std::string_view text, const std::string& name) {
  std::vector<Record> records;
  for (std::size_t line = 1; !text.empty(); ++line) {
    const std::string_view row = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(row.size() + 1, text.size()));
    if (!row.empty()) records.push_back(ParseRecord(row, name, line));
  }
  return records;
}

std::optional<Record> FromTrace(std::string_view line, std::int64_t start) {
  const std::size_t at = line.find("trace ");
  if (at == std::string_view::npos) return std::nullopt;
  std::string_view rest = line.substr(at);
  NextWord(rest);
  const auto wall = Number(NextWord(rest));
  const std::string_view event = NextWord(rest);
  if (!wall || event.empty()) return std::nullopt;
  Record record;
  record.at = *wall - start;
  record.what = std::string(event);
  if (event == what::kList) {
    record.version = Number(NextWord(rest));
  } else if (event == what::kHeard) {
    record.version = Number(NextWord(rest));
    const auto held = Number(After(rest, "held"));
    if (held) record.about = std::to_string(*held - start);
  } else if (event == what::kLesson || event == what::kRecall) {
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    record.about = std::string(rest);
  } else if (event == what::kWon || event == what::kLost || event == what::kAct ||
             event == what::kOut || event == what::kBack || event == what::kLate ||
             event == what::kRefused) {
    record.version = Number(NextWord(rest));
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    record.about = std::string(rest);
  } else if (event == what::kSend) {
    record.version = Number(After(rest, "version"));
    record.about = std::string(After(rest, "to"));
  } else {
    record.about = std::string(NextWord(rest));
  }
  return record;
}

}  // namespace storm
