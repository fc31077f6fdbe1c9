// Reads the operators' documents one after the other. Items whose text stood in the document before
// are taken from there, so that a small change of a large document costs little.
#ifndef SHELFLINK_TIER_CONFIGURATION_DOCUMENT_READER_H_
#define SHELFLINK_TIER_CONFIGURATION_DOCUMENT_READER_H_

#include <string_view>

#include "tier/configuration/model.h"
#include "tier/foundation/text_map.h"

namespace shelflink::configuration {

class DocumentReader {
 public:
  // The same as Parse, but the text must be one that Parse or json::ReadWhole has taken, or that
  // ApplyPatch has made of such ones. Holds the document's items and their texts until the next.
  ParseResult Read(std::string_view json);

 private:
  TextMap<Route> routes_;  // By their texts.
  TextMap<Service> services_;
  TextMap<Tenant> tenants_;
};

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_DOCUMENT_READER_H_
