#include "sidecar/lesson.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "settings.h"

namespace kelpspring {

using gaugecart::BadInput;
using Json = nlohmann::json;

namespace {

constexpr double kMostLimit = 1e6;  // Seats; more than any process has descriptors for.

}  // namespace

std::string WordsOf(const Lesson& lesson) {
  std::array<char, 32> limit{};
  std::snprintf(limit.data(), limit.size(), "%.1f", lesson.limit);
  std::string words = limit.data();
  words += " shunned";
  for (const auto& s : lesson.shunned) words += ' ' + s.host;
  return words;
}

std::string TextOf(const Lesson& lesson) {
  Json shunned = Json::array();
  for (const auto& s : lesson.shunned) {
    shunned.push_back(
        {{"host", s.host}, {"born", s.born}, {"left", s.left}, {"strikes", s.strikes}});
  }
  return Json{{"limit", lesson.limit}, {"shunned", shunned}}.dump();
}

Lesson ParseLesson(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    Lesson lesson;
    lesson.limit = json.at("limit").get<double>();
    if (!(lesson.limit >= 0 && lesson.limit <= kMostLimit)) throw BadInput("limit out of range");
    for (const Json& j : json.at("shunned")) {
      lesson.shunned.push_back(
          {j.at("host").get<std::string>(), j.at("born").get<gaugecart::Micros>(),
           j.at("left").get<gaugecart::Micros>(), j.at("strikes").get<std::int32_t>()});
    }
    return lesson;
  } catch (const Json::exception& e) {
    throw BadInput(std::string("expected what was learned: ") + e.what());
  }
}

Lesson Aged(Lesson lesson, gaugecart::Micros age) {
  for (auto& s : lesson.shunned) s.left -= age;
  std::erase_if(lesson.shunned, [](const Lesson::Shunned& s) { return s.left <= 0; });
  return lesson;
}

}  // namespace kelpspring
