#include "seeds/run.h"

#include <array>

#include "seeds/world.h"

namespace seeds {

const char* WordOf(Moment moment) {
  static constexpr std::array<const char*, kMoments> kWords = {
      "cancel with the reply", "list update in a retry", "drain told in a connect",
      "SIGTERM in an answer",  "SIGHUP in a watch",      "older list",
      "node reborn",           "idle close crossing",    "descriptors short"};
  return kWords[static_cast<std::size_t>(moment)];
}

RunResult Play(const Script& script, const Timeline& timeline) {
  World world(script, timeline);
  return world.Run();
}

namespace {

// Takes away runs of faults, half of them at first, single ones at last (ddmin, Zeller 2002).
void Thin(Script& script, const std::function<bool(const Script&)>& fails) {
  std::size_t chunk = (script.faults.size() + 1) / 2;
  while (chunk > 0 && !script.faults.empty()) {
    bool thinner = false;
    for (std::size_t at = 0; at < script.faults.size();) {
      Script less = script;
      const auto first = less.faults.begin() + static_cast<std::ptrdiff_t>(at);
      const auto count = std::min(chunk, less.faults.size() - at);
      less.faults.erase(first, first + static_cast<std::ptrdiff_t>(count));
      if (fails(less)) {
        script = std::move(less);
        thinner = true;
      } else {
        at += chunk;
      }
    }
    if (!thinner) chunk = chunk == 1 ? 0 : (chunk + 1) / 2;
  }
}

bool TryOn(Script& script, const std::function<bool(const Script&)>& fails,
           const std::function<void(Script&)>& change) {
  Script other = script;
  change(other);
  if (!fails(other)) return false;
  script = std::move(other);
  return true;
}

}  // namespace

Script Shrink(const Script& script, const std::function<bool(const Script&)>& fails) {
  Script best = script;
  Thin(best, fails);
  for (std::size_t i = 0; i < best.faults.size(); ++i) {
    while (best.faults[i].lasts > 1000 &&
           TryOn(best, fails, [i](Script& s) { s.faults[i].lasts /= 2; })) {
    }
  }
  while (best.scene.length > 4 * shelflab::kSecond && TryOn(best, fails, [](Script& s) {
           s.scene.length = s.scene.length * 3 / 4;
           std::erase_if(s.faults, [&](const Fault& f) { return f.at > s.scene.length; });
         })) {
  }
  for (const auto& simpler :
       {std::function<void(Script&)>([](Script& s) { s.scene.sidecars = 1; }),
        std::function<void(Script&)>([](Script& s) { s.scene.cut = 0; }),
        std::function<void(Script&)>([](Script& s) { s.scene.grain = 1; }),
        std::function<void(Script&)>([](Script& s) { s.scene.window = 65536; }),
        std::function<void(Script&)>([](Script& s) { s.scene.rate /= 2; })}) {
    // Fewer sidecars would move the places that faults name.
    TryOn(best, fails, [&](Script& s) {
      const std::uint32_t before = s.scene.sidecars;
      simpler(s);
      for (Fault& f : s.faults) {
        f.other = f.other < before ? std::min(f.other, s.scene.sidecars - 1)
                                   : f.other - before + s.scene.sidecars;
      }
    });
  }
  return best;
}

}  // namespace seeds
