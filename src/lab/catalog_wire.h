// The wire form of discovery, as PROTOCOL has it: calls for the list, and its rows.
#ifndef SHELFLAB_LAB_CATALOG_WIRE_H_
#define SHELFLAB_LAB_CATALOG_WIRE_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "emulator/catalog.h"

namespace shelflab {

// What the target of a call asks for; its number and tier are for the caller to give. Nothing is
// asked where a number cannot be read.
CatalogCall ParseCatalogCall(std::string_view target);

struct MemberRow {
  std::string host;
  std::string dial;  // Address and port.
  std::string site;
  std::string kind;
  Health health = Health::kServing;
  std::int64_t born_ms = 0;  // Milliseconds since 1970; 0 for long ago.
};
nlohmann::json JsonOf(const MemberRow& row);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_CATALOG_WIRE_H_
