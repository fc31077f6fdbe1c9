// The entry that libFuzzer calls; TARGET names which one of TARGETS this program plays.
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string_view>

#include "fuzz/targets.h"
#include "fuzz/tier_targets.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const auto play = [] {
    for (const fuzz::Target& t : fuzz::TARGETS()) {
      if (std::string_view(t.name) == TARGET) return t.play;
    }
    throw std::logic_error("no such target: " TARGET);
  }();
  play({reinterpret_cast<const char*>(data), size});
  return 0;
}
