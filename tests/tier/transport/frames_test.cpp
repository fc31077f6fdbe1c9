// The frames, their splitting, the outbox and the judgement on silence, without any network.
#define BOOST_TEST_MODULE frames
#include "tier/transport/frames.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tier/foundation/cbor.h"
#include "tier/transport/outbox.h"
#include "tier/transport/silence.h"

namespace shelflink::transport {
namespace {

using std::chrono::milliseconds;

const PeerIdentity kIdentity{"edge-1", "proxy", "zone-a", *net::Address::Parse("10.1.0.14:7360"),
                             0xfedcba9876543210};

std::string_view PayloadOf(const std::string& frame) {
  return std::string_view(frame).substr(kFrameHead);
}

template <typename T>
T Decoded(const std::string& frame) {
  const FrameResult result = DecodeFrame(PayloadOf(frame));
  BOOST_REQUIRE(result.has_value());
  BOOST_REQUIRE(std::holds_alternative<T>(result.value()));
  return std::get<T>(result.value());
}

std::vector<std::string> OneOfEach() {
  return {EncodeHello(kIdentity, 3),
          EncodeMessage(201, "a body"),
          EncodeCall(301, 77, std::string(300, 'b')),
          EncodeAnswer(77, ""),
          EncodeFailure(78, MakeError(ErrorCode::kConflict, "another version is in place")),
          EncodePing(),
          EncodePong(),
          EncodePart(true, "the end of a payload")};
}

BOOST_AUTO_TEST_CASE(EachFrameComesBackAsItWas) {
  const auto hello = Decoded<HelloFrame>(EncodeHello(kIdentity, 3)).identity;
  BOOST_TEST(Decoded<HelloFrame>(EncodeHello(kIdentity, 3)).dial == 3U);
  BOOST_TEST(hello.node == kIdentity.node);
  BOOST_TEST(hello.role == kIdentity.role);
  BOOST_TEST(hello.zone == kIdentity.zone);
  BOOST_TEST((hello.address == kIdentity.address));
  BOOST_TEST(hello.incarnation == kIdentity.incarnation);
  const std::string message = EncodeMessage(65535, "a body");
  BOOST_TEST(Decoded<MessageFrame>(message).kind == 65535);
  BOOST_TEST(Decoded<MessageFrame>(message).body == "a body");
  const std::string call = EncodeCall(7, UINT64_MAX, "question");
  BOOST_TEST(Decoded<CallFrame>(call).call == UINT64_MAX);
  BOOST_TEST(Decoded<CallFrame>(call).kind == 7);
  BOOST_TEST(Decoded<CallFrame>(call).body == "question");
  const std::string answer = EncodeAnswer(9, "reply");
  BOOST_TEST(Decoded<AnswerFrame>(answer).call == 9U);
  BOOST_TEST(Decoded<AnswerFrame>(answer).body == "reply");
  const std::string failure = EncodeFailure(10, MakeError(ErrorCode::kStorage, "disk"));
  BOOST_CHECK(Decoded<FailureFrame>(failure).error.code == ErrorCode::kStorage);
  BOOST_TEST(Decoded<FailureFrame>(failure).error.text == "disk");
  Decoded<PingFrame>(EncodePing());
  Decoded<PongFrame>(EncodePong());
}

BOOST_AUTO_TEST_CASE(BodiesOfEverySizeOfTheLengthComeBack) {
  for (const std::size_t size : {0U, 1U, 23U, 24U, 255U, 256U, 65535U, 65536U, 5U << 20}) {
    const std::string body(size, 'x');
    BOOST_TEST((Decoded<MessageFrame>(EncodeMessage(1, body)).body == body));
    const std::string frame = EncodeMessage(1, body);
    BOOST_TEST(frame.size() - size <= kMostEnvelope);
    // As the writer of the foundation would have it.
    cbor::Writer writer;
    writer.Array(3).Uint(1).Uint(1).Bytes(body);
    BOOST_TEST((PayloadOf(frame) == writer.data()));
  }
}

BOOST_AUTO_TEST_CASE(PartsAreThePayloadInOrder) {
  for (const std::size_t size : {kLongestPart, kLongestPart + 1, 5 * kLongestPart - 3}) {
    std::string body(size, '\0');
    for (std::size_t at = 0; at < size; ++at) body[at] = static_cast<char>(at * 131 >> 3);
    const std::string frame = EncodeAnswer(9, body);
    const std::vector<std::string> parts = CutIntoParts(frame);
    BOOST_TEST(parts.size() == (frame.size() - kFrameHead + kLongestPart - 1) / kLongestPart);
    std::string payload;
    for (const std::string& encoded : parts) {
      const auto part = Decoded<PartFrame>(encoded);
      BOOST_TEST(part.bytes.size() <= kLongestPart);
      payload += part.bytes;
      BOOST_TEST(part.last == (&encoded == &parts.back()));
    }
    BOOST_TEST((payload == PayloadOf(frame)));
  }
  BOOST_TEST(!DecodeFrame(PayloadOf(EncodePart(false, ""))).has_value());
}

BOOST_AUTO_TEST_CASE(AnotherVersionIsToldApartFromGarbage) {
  const std::string frame = EncodeHello(kIdentity, 3, kProtocolVersion + 1);
  BOOST_CHECK(DecodeFrame(PayloadOf(frame)).error() == FrameFault::kVersion);
  BOOST_CHECK(DecodeFrame("").error() == FrameFault::kMalformed);
  BOOST_CHECK(DecodeFrame("GET / HTTP/1.1\r\n\r\n").error() == FrameFault::kMalformed);
}

BOOST_AUTO_TEST_CASE(FieldsBehindThoseThatAreKnownAreIgnored) {
  cbor::Writer writer;
  writer.Array(5).Uint(1).Uint(201).Bytes("body").Text("new").Array(0);
  BOOST_TEST(std::get<MessageFrame>(DecodeFrame(writer.data()).value()).body == "body");
}

BOOST_AUTO_TEST_CASE(ALongErrorTextIsCutAndAnUnknownCodeIsUnknown) {
  const std::string frame =
      EncodeFailure(1, MakeError(ErrorCode::kInvalid, std::string(100'000, 'e')));
  BOOST_TEST(Decoded<FailureFrame>(frame).error.text.size() == kLongestErrorText);
  cbor::Writer writer;
  writer.Array(4).Uint(4).Uint(1).Uint(1000).Text("from the future");
  const Frame decoded = DecodeFrame(writer.data()).value();
  BOOST_CHECK(std::get<FailureFrame>(decoded).error.code == ErrorCode::kUnknown);
}

BOOST_AUTO_TEST_CASE(AFrameThatIsCutShortIsMalformed) {
  for (const std::string& frame : OneOfEach()) {
    const std::string_view payload = PayloadOf(frame);
    for (std::size_t size = 0; size < payload.size(); ++size) {
      const FrameResult result = DecodeFrame(payload.substr(0, size));
      BOOST_REQUIRE(!result);
      BOOST_CHECK(result.error() == FrameFault::kMalformed);
    }
  }
}

// Whatever one byte turns into: a fault, or a frame whose bodies lie within the payload.
BOOST_AUTO_TEST_CASE(AFrameWithOneByteChangedIsAFaultOrAFrame) {
  for (const std::string& frame : OneOfEach()) {
    std::string payload(PayloadOf(frame));
    for (char& byte : payload) {
      const char before = byte;
      for (int value = 0; value < 256; ++value) {
        byte = static_cast<char>(value);
        const FrameResult result = DecodeFrame(payload);
        if (!result) continue;
        if (const auto* message = std::get_if<MessageFrame>(&result.value())) {
          BOOST_REQUIRE(message->body.size() <= payload.size());
        }
      }
      byte = before;
    }
  }
}

// ---- The splitter ----

struct Splitting {
  FrameSplitter::Outcome Feed(std::string_view bytes, std::size_t largest = kLargestFrame) {
    return splitter.Feed(bytes, largest, [this](std::string_view payload) {
      payloads.emplace_back(payload);
      return payloads.size() != stop_after;
    });
  }
  FrameSplitter splitter;
  std::vector<std::string> payloads;
  std::size_t stop_after = SIZE_MAX;
};

BOOST_AUTO_TEST_CASE(FramesAreFoundHoweverTheStreamIsCut) {
  std::string stream;
  std::vector<std::string> expected;
  for (const std::string& frame : OneOfEach()) {
    stream += frame;
    expected.emplace_back(PayloadOf(frame));
  }
  for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
    Splitting splitting;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      BOOST_CHECK(splitting.Feed(stream.substr(at, piece)) == FrameSplitter::Outcome::kGoOn);
    }
    BOOST_TEST(splitting.payloads == expected, boost::test_tools::per_element());
    BOOST_TEST(splitting.splitter.held() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(ALengthBeyondTheLimitIsRefusedAtOnceInOnePieceOrByBytes) {
  const std::string frame = EncodeMessage(1, std::string(100, 'x'));
  const std::size_t length = frame.size() - kFrameHead;
  Splitting exact, over, bytewise;
  BOOST_CHECK(exact.Feed(frame, length) == FrameSplitter::Outcome::kGoOn);
  BOOST_TEST(exact.payloads.size() == 1U);
  BOOST_CHECK(over.Feed(frame, length - 1) == FrameSplitter::Outcome::kTooLong);
  for (std::size_t i = 0; i + 1 < kFrameHead; ++i) bytewise.Feed(frame.substr(i, 1), length - 1);
  BOOST_CHECK(bytewise.Feed(frame.substr(kFrameHead - 1, 1), length - 1) ==
              FrameSplitter::Outcome::kTooLong);
}

BOOST_AUTO_TEST_CASE(NothingIsTakenAfterAStop) {
  Splitting splitting;
  splitting.stop_after = 1;
  BOOST_CHECK(splitting.Feed(EncodePing() + EncodePong()) == FrameSplitter::Outcome::kStopped);
  BOOST_TEST(splitting.payloads.size() == 1U);
}

// ---- The outbox ----

BOOST_AUTO_TEST_CASE(SmallFramesAreOneWriteAndPlacesTellWhatHasLeft) {
  Outbox outbox;
  BOOST_TEST(outbox.Append("12345") == 0U);
  BOOST_TEST(outbox.Append("678") == 5U);
  BOOST_TEST(outbox.Front() == "12345678");
  outbox.Written(5);
  BOOST_TEST(outbox.written() == 5U);  // No byte of the second frame.
  BOOST_TEST(outbox.Append("9") == 8U);
  BOOST_TEST(outbox.Front() == "6789");
  outbox.Written(4);
  BOOST_TEST(outbox.empty());
  const std::string large(Outbox::kChunk, 'x');
  BOOST_TEST(outbox.Append(large) == 9U);
  BOOST_TEST(outbox.Append("tail") == 9U + large.size());
  BOOST_TEST(outbox.Front().size() == large.size());
  outbox.Written(large.size());
  BOOST_TEST(outbox.Front() == "tail");
  BOOST_TEST(outbox.size() == 4U);
}

BOOST_AUTO_TEST_CASE(AnOutboxThatIsNeverEmptyKeepsItsOrder) {
  Outbox outbox;
  std::string expected, written;
  for (int i = 0; i < 300; ++i) {
    const std::string frame(Outbox::kChunk, static_cast<char>('a' + i % 26));
    expected += frame;
    outbox.Append(frame);
    if (i < 2) continue;
    written += outbox.Front();
    outbox.Written(outbox.Front().size());
    BOOST_TEST(outbox.size() == 2 * Outbox::kChunk);
  }
  while (!outbox.empty()) {
    written += outbox.Front();
    outbox.Written(outbox.Front().size());
  }
  BOOST_TEST((written == expected));
}

std::string TakeAll(Outbox& outbox) {
  std::string taken;
  while (!outbox.empty()) {
    const std::string front(outbox.Front());
    taken += front;
    outbox.Written(front.size());
  }
  return taken;
}

constexpr Delivery kUrgent{.urgent = true};
constexpr std::uint32_t kSlot = 7;

BOOST_AUTO_TEST_CASE(UrgentFramesGoBeforeAllThatHasNotBegunToLeave) {
  Outbox outbox;
  const std::string large(Outbox::kChunk, 'x');
  outbox.Append(large);
  outbox.Append(large);
  outbox.Written(1);
  outbox.Append("first", kUrgent);
  outbox.Append("second", kUrgent);
  // What has begun is sent to its end.
  BOOST_TEST(outbox.Front().size() == large.size() - 1);
  outbox.Written(large.size() - 1);
  BOOST_TEST(outbox.Front() == "firstsecond");
  outbox.Written(3);
  outbox.Append("ordinary");
  BOOST_TEST(outbox.Front() == "stsecond");
  outbox.Written(8);
  BOOST_TEST((TakeAll(outbox) == large + "ordinary"));
}

BOOST_AUTO_TEST_CASE(OfASlotOnlyTheNewestWaitsAtThePlaceOfTheOldest) {
  Outbox outbox;
  BOOST_TEST(outbox.Append("old", {.slot = kSlot}).replaced == 0U);
  const std::uint64_t place = outbox.Append("call");
  outbox.Append("other", {.slot = kSlot + 1});
  BOOST_TEST(outbox.Append("newest", {.slot = kSlot}).replaced == 3U);
  BOOST_TEST(outbox.size() == 15U);
  BOOST_TEST(outbox.Front() == "newest");
  outbox.Written(1);
  // Of one that has begun to leave nothing is replaced.
  BOOST_TEST(outbox.Append("later", {.slot = kSlot}).replaced == 0U);
  outbox.Written(4);
  BOOST_TEST(outbox.written() <= place);  // No byte of the call.
  outbox.Written(1);
  BOOST_TEST(outbox.written() <= place);
  BOOST_TEST(outbox.Front() == "call");
  outbox.Written(1);
  BOOST_TEST(outbox.written() > place);
  BOOST_TEST(TakeAll(outbox) == "allotherlater");
  BOOST_TEST(outbox.size() == 0U);
}

BOOST_AUTO_TEST_CASE(UrgentFramesHaveSlotsOfTheirOwn) {
  Outbox outbox;
  outbox.Append("document", {.slot = kSlot});
  outbox.Append("list", {.urgent = true, .slot = kSlot + 1});
  BOOST_TEST(outbox.Append("newer", {.urgent = true, .slot = kSlot + 1}).replaced == 4U);
  BOOST_TEST(TakeAll(outbox) == "newerdocument");
}

// ---- Silence ----

constexpr net::Span kSpan = milliseconds(1000);
constexpr net::Time At(int millis) { return net::Time(milliseconds(millis)); }

BOOST_AUTO_TEST_CASE(NothingIsCheckedWhileNothingIsOwed) {
  Silence silence(kSpan);
  BOOST_CHECK(silence.NextCheck() == net::Time::max());
  silence.CallOpened(At(0));
  BOOST_CHECK(silence.NextCheck() == At(500));
  silence.Heard(At(10));
  silence.CallEnded();
  BOOST_CHECK(silence.NextCheck() == net::Time::max());
  BOOST_CHECK(silence.Check(At(10'000)) == Silence::Verdict::kFine);
}

BOOST_AUTO_TEST_CASE(ASilentPeerIsAskedOnceAndThenDead) {
  Silence silence(kSpan);
  silence.Sent(At(0));
  silence.Sent(At(400));  // Does not put it off.
  BOOST_CHECK(silence.Check(At(499)) == Silence::Verdict::kFine);
  BOOST_CHECK(silence.Check(At(500)) == Silence::Verdict::kPing);
  BOOST_CHECK(silence.Check(At(999)) == Silence::Verdict::kFine);
  BOOST_CHECK(silence.Check(At(1000)) == Silence::Verdict::kDead);
}

BOOST_AUTO_TEST_CASE(AnAnsweredPingKeepsASlowCallOpen) {
  Silence silence(kSpan);
  silence.CallOpened(At(0));
  for (int at = 500; at < 10'000; at += 501) {
    BOOST_CHECK(silence.Check(At(at)) == Silence::Verdict::kPing);
    silence.Heard(At(at + 1));
  }
}

BOOST_AUTO_TEST_CASE(ALateCheckGivesThePeerItsTime) {
  Silence silence(kSpan);
  silence.CallOpened(At(0));
  BOOST_CHECK(silence.Check(At(60'000)) == Silence::Verdict::kPing);
  BOOST_CHECK(silence.Check(At(60'499)) == Silence::Verdict::kFine);
  silence.Restart(At(90'000));
  BOOST_CHECK(silence.Check(At(90'000)) == Silence::Verdict::kFine);
  BOOST_CHECK(silence.Check(At(90'500)) == Silence::Verdict::kPing);
  BOOST_CHECK(silence.Check(At(91'000)) == Silence::Verdict::kDead);
}

}  // namespace
}  // namespace shelflink::transport
