#include "fuzz/targets.h"

#include "seeds/script.h"
#include "settings.h"
#include "sidecar/config.h"

namespace fuzz {
namespace {

void PlayConfig(std::string_view bytes) {
  try {
    kelpspring::ParseConfig(std::string(bytes));
  } catch (const gaugecart::BadInput&) {
  }
}

void PlayScript(std::string_view bytes) {
  try {
    seeds::ParseScript(std::string(bytes), "fuzz.toml");
  } catch (const seeds::BadScript&) {
  }
}

}  // namespace

const std::vector<Target>& Targets() {
  static const std::vector<Target> targets = {
      {"client", PlayClient},   {"endpoint", PlayEndpoint}, {"discovery", PlayDiscovery},
      {"config", PlayConfig},   {"script", PlayScript},     {"module", PlayModule},
      {"console", PlayConsole}, {"parts", PlayParts}};
  return targets;
}

}  // namespace fuzz
