// What a sidecar has learned that its next start may begin with: by names, so that it outlives the
// numbers that a process gives to endpoints.
#ifndef KELPSPRING_LESSON_H_
#define KELPSPRING_LESSON_H_

#include <string>
#include <vector>

#include "gaugecart/choice.h"

namespace kelpspring {

struct Lesson {
  struct Shunned {
    std::string host;
    gaugecart::Micros born = 0;  // Of its process, as the list has it.
    gaugecart::Micros left = 0;  // How long it was still to be shunned.
    std::int32_t strikes = 0;
  };
  double limit = 0;  // Of all priority levels together; 0: not learned.
  std::vector<Shunned> shunned;
};

// A short list of words, for traces: "12.5 shunned n3 n8".
std::string WordsOf(const Lesson& lesson);
std::string TextOf(const Lesson& lesson);
// Throws gaugecart::BadInput for what TextOf cannot have written.
Lesson ParseLesson(const std::string& text);
// The same `age` later.
Lesson Aged(Lesson lesson, gaugecart::Micros age);

}  // namespace kelpspring

#endif  // KELPSPRING_LESSON_H_
