#include "tier/foundation/drop_counter.h"

#include "tier/foundation/log.h"

namespace shelflink {

bool DropCounter::Tell(const std::string& cause, const std::string& text) {
  Count(cause);
  const auto held_back = gate_.Pass(cause, loop_.LastingMicros());
  if (!held_back) return false;
  log::Warning(module_, "dropped (" + cause + "): " + text + log::LeftOut(*held_back));
  return true;
}

}  // namespace shelflink
