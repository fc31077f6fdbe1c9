// What a sidecar tells others of its fleet about the list that it has: pure.
#ifndef SHELFLINK_PEERS_ANSWERER_H_
#define SHELFLINK_PEERS_ANSWERER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "peers/message.h"

namespace peers {

// Answers a second, at most: at some 10 microseconds each a twentieth of a core. A question beyond
// that is dropped; whoever asked asks again, or another peer.
constexpr double kMostAnswers = 5000;

class Answerer {
 public:
  // Replaces what there was. `text` is called once somebody asks; longer than kMostBytes, and it is
  // not told.
  void SetList(std::int64_t version, Micros held_at, std::function<std::string()> text);
  // Discovery has said again that it holds.
  void SetHeld(Micros held_at) { held_at_ = std::max(held_at_, held_at); }
  // None: dropped. `ask` is a question.
  std::optional<Message> Answer(Micros now, const Message& ask);

 private:
  void Make();

  std::int64_t version_ = 0;  // 0: nothing to be told.

  std::function<std::string()> make_;  // Null once the text is there.
  std::string text_;
  std::uint64_t checksum_ = 0;
  Micros held_at_ = 0;
  double tokens_ = kMostAnswers / 10;
  Micros filled_at_ = 0;
};

}  // namespace peers

#endif  // SHELFLINK_PEERS_ANSWERER_H_
