// What sidecars of one fleet say to each other about the list of endpoints: one datagram a message.
// Pure. The form is ours alone and of one version: whoever reads another leaves it out.
//
//   bytes  0-3   "SLP1"
//          4     kind
//          5-12  fleet: hash of its name; what bears another is somebody else's
//         13-20  nonce of the question, the same in its answer
//         21-28  version of the list; in a question 0 for the newest there is
//         29-32  age of the list in milliseconds, rounded up
//         33-34  how many parts the list has; 0 in a question
//         35-36  which of them, from 0
//         37-44  checksum of the whole list's text
//         45-    the part's bytes
//
// All numbers with the most significant byte first.
#ifndef SHELFLINK_PEERS_MESSAGE_H_
#define SHELFLINK_PEERS_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peers {

using Micros = std::int64_t;  // Of a clock that no step moves and that counts sleep.

// A part and its head stay below what an Ethernet frame carries: fragments are lost together.
constexpr std::size_t kPartBytes = 1200;
// Of a whole list: what discovery's may have, too.
constexpr std::size_t kMostBytes = std::size_t{4} << 20;
constexpr std::size_t kMostParts = (kMostBytes + kPartBytes - 1) / kPartBytes;

enum class Kind : std::uint8_t {
  kAsk = 1,   // For a part of a version, or of the newest there is.
  kPart = 2,  // It.
  kNone = 3,  // There is no such version here.
};

struct Message {
  Kind kind = Kind::kAsk;
  std::uint64_t fleet = 0;
  std::uint64_t nonce = 0;
  std::int64_t version = 0;
  Micros age = 0;
  std::uint16_t parts = 0;
  std::uint16_t part = 0;
  std::uint64_t checksum = 0;
  std::string bytes;
};

std::string Encode(const Message& message);
// None unless it is whole and in form.
std::optional<Message> Decode(std::string_view bytes);

std::uint64_t ChecksumOf(std::string_view text);
std::uint16_t PartsOf(std::string_view text);
std::string_view PartOf(std::string_view text, std::uint16_t part);

}  // namespace peers

#endif  // SHELFLINK_PEERS_MESSAGE_H_
