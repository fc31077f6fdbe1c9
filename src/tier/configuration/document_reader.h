// Parses successive documents of the operators. Items whose text is the same as in the previous
// document are not parsed again, so that a small change of a large document costs little.
#ifndef SHELFLINK_TIER_CONFIGURATION_DOCUMENT_READER_H_
#define SHELFLINK_TIER_CONFIGURATION_DOCUMENT_READER_H_

#include <string_view>

#include "tier/configuration/model.h"
#include "tier/foundation/text_map.h"

namespace shelflink::configuration {

class DocumentReader {
 public:
  // Equivalent to Parse. Requires a text that Parse or json::ReadWhole has accepted, or that
  // ApplyPatch has made of such texts. Keeps the items and their texts until the next call.
  ParseResult Read(std::string_view json);

 private:
  TextMap<Route> routes_;  // By the text of the item.
  TextMap<Service> services_;
  TextMap<Tenant> tenants_;
};

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_DOCUMENT_READER_H_
