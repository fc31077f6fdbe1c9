#include "lab/catalog_wire.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace shelflab {

namespace {

std::optional<std::int64_t> NumberIn(std::string_view target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string_view::npos) return std::nullopt;
  std::int64_t value = 0;
  const char* begin = target.data() + at + name.size() + 1;
  const auto r = std::from_chars(begin, target.data() + target.size(), value);
  return r.ec == std::errc() ? std::optional(value) : std::nullopt;
}

const char* WordOf(Health health) {
  switch (health) {
    case Health::kServing:
      return "SERVING";
    case Health::kDraining:
      return "DRAINING";
    case Health::kDeleted:
      break;
  }
  return "DELETED";
}

}  // namespace

CatalogCall ParseCatalogCall(std::string_view target) {
  CatalogCall call;
  call.after = NumberIn(target, "after");
  call.wait = std::clamp<std::int64_t>(NumberIn(target, "wait_ms").value_or(0), 0, 60'000) * 1000;
  return call;
}

nlohmann::json JsonOf(const MemberRow& row) {
  return {{"host", row.host}, {"dial", row.dial},
          {"site", row.site}, {"class", row.kind},
          {"block", 0},       {"health", WordOf(row.health)},
          {"share", 1.0},     {"born_ms", row.born_ms}};
}

}  // namespace shelflab
