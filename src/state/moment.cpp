#include "state/moment.h"

#include <ctime>
#include <fstream>

namespace state {
namespace {

Micros Read(clockid_t clock) {
  timespec at{};
  if (::clock_gettime(clock, &at) != 0) return 0;
  return static_cast<Micros>(at.tv_sec) * 1'000'000 + at.tv_nsec / 1000;
}

}  // namespace

std::optional<Micros> AgeOf(const Moment& then, const Moment& now) {
  const bool same_boot = !then.boot.empty() && then.boot == now.boot;
  const Micros age = same_boot ? now.uptime - then.uptime : now.wall - then.wall;
  return age < 0 ? std::nullopt : std::optional(age);
}

Moment Here() {
  // One process lives in one start of the machine.
  static const std::string boot = [] {
    std::string id;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> id;
    return id;
  }();
  Moment moment;
  moment.boot = boot;
  moment.uptime = Read(CLOCK_BOOTTIME);
  moment.wall = Read(CLOCK_REALTIME);
  return moment;
}

}  // namespace state
