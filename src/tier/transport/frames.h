// What travels on one connection between two hubs: frames of a 4-byte big-endian length and one
// CBOR array, whose first field is the frame's type. Pure: bytes in, typed frames out.
#ifndef SHELFLINK_TIER_TRANSPORT_FRAMES_H_
#define SHELFLINK_TIER_TRANSPORT_FRAMES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tier/transport/hub.h"

namespace shelflink::transport {

// The first frame of each side.
struct HelloFrame {
  PeerIdentity identity;
  // Counts the connections that the sender has dialled in this life, so that the receiver knows
  // which of several is the newest; 0 from the side that accepted.
  std::uint64_t dial = 0;
};
// One way, with no answer.
struct MessageFrame {
  MessageKind kind = 0;
  std::string_view body;
};
struct CallFrame {
  MessageKind kind = 0;
  std::uint64_t call = 0;  // Drawn by the caller; the answer repeats it.
  std::string_view body;
};
struct AnswerFrame {
  std::uint64_t call = 0;
  std::string_view body;
};
struct FailureFrame {
  std::uint64_t call = 0;
  Error error;
};
struct PingFrame {};
struct PongFrame {};
// A piece of the payload of a long frame, which others may go between; the last one completes it.
struct PartFrame {
  bool last = false;
  std::string_view bytes;
};
using Frame = std::variant<HelloFrame, MessageFrame, CallFrame, AnswerFrame, FailureFrame,
                           PingFrame, PongFrame, PartFrame>;

// Why a connection cannot go on.
enum class FrameFault { kMalformed, kVersion, kTooLong };
// "malformed", "version", "too_long"
const char* NameOf(FrameFault fault);

constexpr std::size_t kFrameHead = 4;           // Bytes of the length.
constexpr std::size_t kMostEnvelope = 64;       // Bytes of a frame beside its body, at most.
constexpr std::size_t kLargestHello = 4096;     // Nothing longer is taken from a stranger.
constexpr std::size_t kLongestName = 255;       // Of a node, a role or a zone.
constexpr std::size_t kLongestErrorText = 512;  // Longer ones are cut.
constexpr std::size_t kLargestBody = kLargestFrame - kMostEnvelope;
constexpr std::size_t kLongestPart = 32768;  // Bytes of a payload in one part, at most.

// Each makes one whole frame, its length included.
std::string EncodeHello(const PeerIdentity& identity, std::uint64_t dial,
                        std::uint64_t version = kProtocolVersion);
std::string EncodeMessage(MessageKind kind, std::string_view body);
std::string EncodeCall(MessageKind kind, std::uint64_t call, std::string_view body);
std::string EncodeAnswer(std::uint64_t call, std::string_view body);
std::string EncodeFailure(std::uint64_t call, const Error& error);
std::string EncodePing();
std::string EncodePong();
std::string EncodePart(bool last, std::string_view bytes);

// The whole frame as parts, in their order.
std::vector<std::string> CutIntoParts(std::string_view frame);

using FrameResult =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<Frame, FrameFault,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// `payload` is a frame without its length; bodies point into it. Fields behind those that are known
// are ignored.
FrameResult DecodeFrame(std::string_view payload);

// Cuts a stream of bytes into frames. Whole frames are handed on from where they lie; only what is
// not yet whole is kept, and nothing is held between frames.
class FrameSplitter {
 public:
  enum class Outcome { kGoOn, kStopped, kTooLong };

  // Calls `take(payload)` for each frame that `bytes` completes, until it returns false (kStopped).
  // No frame may be longer than `largest`.
  template <typename Take>
  Outcome Feed(std::string_view bytes, const std::size_t& largest, const Take& take) {
    while (!bytes.empty()) {
      std::string whole;
      std::string_view payload;
      switch (Next(bytes, largest, whole, payload)) {
        case Step::kIncomplete:
          return Outcome::kGoOn;
        case Step::kTooLong:
          return Outcome::kTooLong;
        case Step::kFrame:
          break;
      }
      if (!take(payload)) return Outcome::kStopped;
    }
    return Outcome::kGoOn;
  }

  std::size_t held() const { return partial_.size(); }

 private:
  enum class Step { kFrame, kIncomplete, kTooLong };
  // Takes one frame off the front of `bytes`; `payload` points into those or into `whole`.
  Step Next(std::string_view& bytes, std::size_t largest, std::string& whole,
            std::string_view& payload);
  void TakeUpTo(std::size_t total, std::string_view& bytes);

  std::string partial_;  // The beginning of a frame, its length included.
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_FRAMES_H_
