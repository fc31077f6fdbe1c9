// How a sidecar gets the newest list from others of its fleet: pure, events with their time in,
// questions and lists out. Nothing here knows a clock, a socket or an address: peers are numbers.
//
// It asks in rounds. A round asks a few peers for the first part of the newest list that they have,
// takes the newest of what they offer, and gets its other parts from the one that offered it.
// Rounds go on while nothing is known, or while discovery does not answer; they stop as soon as it
// does.
//
// A list is taken by its version, never one that is not newer than what is known, and never beyond
// its age: that counts from when discovery last said that the list holds, whoever was told so, and
// on the way it only grows.
#ifndef SHELFLINK_PEERS_INQUIRY_H_
#define SHELFLINK_PEERS_INQUIRY_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peers/message.h"

namespace peers {

// Peers asked in a round. With three in ten of a fleet left, two rounds in three meet one of these.
constexpr std::size_t kAskedAtOnce = 3;
// Until a question counts as lost. Peers are of one site: an answer takes a small part of it.
constexpr Micros kAnswerSpan = 100'000;
// Questions for parts that are out at one time: together they fit a socket's usual buffer.
constexpr std::size_t kWindow = 8;
constexpr int kTries = 3;                    // Of one part.
constexpr Micros kFirstPause = 100'000;      // Between rounds of one that knows nothing: doubled
constexpr Micros kLongestPause = 2'000'000;  // each time, up to this.

struct Terms {
  std::size_t others = 0;  // Peers that there are.
  std::uint64_t seed = 0;  // Of all that is drawn.
  Micros list_age = 0;     // An older list is not taken.
  Micros ask_within = 0;   // Between rounds of one that has a list, while discovery is silent.
};

struct Question {
  std::size_t peer = 0;
  std::uint64_t nonce = 0;
  std::int64_t version = 0;  // 0: the newest.
  std::uint16_t part = 0;
};

struct Heard {
  std::size_t peer = 0;  // Who told it.
  std::int64_t version = 0;
  Micros held_at = 0;  // Discovery said no earlier than this that it holds.
  std::string text;
};

class Inquiry {
 public:
  static constexpr Micros kNever = std::numeric_limits<Micros>::max();

  explicit Inquiry(const Terms& terms);

  // The start, with a list of that version or with none.
  void Begin(Micros now, std::optional<std::int64_t> known);
  void OnDiscoveryAnswered(std::int64_t version);
  void OnDiscoveryFailed(Micros now);
  // False if nobody asked for it, or not any more.
  bool OnReply(Micros now, std::size_t peer, const Message& reply);
  void OnTimer(Micros now);

  // What is to be sent. To be asked for after every event.
  std::vector<Question> TakeQuestions() { return std::exchange(questions_, {}); }
  // What has been heard whole, at most once after every event. Whoever asks for it uses it.
  std::optional<Heard> TakeHeard() { return std::exchange(heard_, std::nullopt); }
  // When OnTimer is due.
  Micros next() const { return next_; }

 private:
  enum class Stage { kIdle, kPausing, kAsking, kFetching };
  struct Out {
    Question question;
    Micros at = 0;
    int tries = 1;
  };
  struct Offer {
    std::size_t peer = 0;
    std::int64_t version = 0;
    Micros held_at = 0;
    std::uint64_t checksum = 0;
    std::vector<std::string> parts;  // Empty where not there yet.
    std::size_t missing = 0;
  };

  bool Wanted() const { return !known_ || without_discovery_; }
  double Draw();
  std::uint64_t DrawWord();
  void Ask(Micros now, std::size_t peer, std::int64_t version, std::uint16_t part, int tries);
  void StartRound(Micros now);
  void OnOffer(Micros now, const Out& out, const Message& reply);
  bool Newer(std::int64_t version) const;
  bool TooOld(Micros now, Micros held_at) const;
  void Choose(Micros now);
  void OnPart(Micros now, const Out& out, const Message& reply);
  void AskMore(Micros now);
  void Complete(Micros now);
  void OnLost(Micros now);
  void EndRound(Micros now);
  void PauseFor(Micros now, Micros span);
  void Rearm();

  Terms terms_;
  std::uint64_t draws_;
  std::vector<std::size_t> order_;  // Of the peers, so that rounds meet all of them in turn.
  std::size_t turn_ = 0;
  Stage stage_ = Stage::kIdle;
  std::optional<std::int64_t> known_;
  bool without_discovery_ = false;
  Micros pause_ = kFirstPause;
  std::vector<Out> out_;
  std::vector<Offer> offers_;  // kAsking: so far; kFetching: the last one is being got.
  std::uint16_t next_part_ = 0;
  std::vector<Question> questions_;
  std::optional<Heard> heard_;
  Micros next_ = kNever;
};

}  // namespace peers

#endif  // SHELFLINK_PEERS_INQUIRY_H_
