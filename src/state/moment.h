// When something was learned, told so that a later process of the same machine can say how old it
// is, whatever became of the wall clock in between. Pure but for Here().
#ifndef SHELFLINK_STATE_MOMENT_H_
#define SHELFLINK_STATE_MOMENT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace state {

using Micros = std::int64_t;

struct Moment {
  std::string boot;   // Which start of the machine; empty where that is not known.
  Micros uptime = 0;  // Since that start, time asleep included.
  Micros wall = 0;    // Since 1970, by a clock that may be stepped.
};

// How long ago; none where nothing can be said: between two starts of the machine only the wall
// clock tells, and where that has gone back it tells nothing.
std::optional<Micros> AgeOf(const Moment& then, const Moment& now);

// This moment on this machine.
Moment Here();

}  // namespace state

#endif  // SHELFLINK_STATE_MOMENT_H_
