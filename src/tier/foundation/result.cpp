#include "tier/foundation/result.h"

namespace shelflink {

std::string TextOf(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    if (!text.empty()) text += "; ";
    text += finding.place;
    text += ": ";
    text += finding.expected;
  }
  return text;
}

}  // namespace shelflink
