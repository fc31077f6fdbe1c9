// What a peer may do wrong at the internal listener: frames cut at each byte, of another version,
// too long, spoilt anywhere, from who it is not. Each is dropped and counted by its cause, the log
// has a line a minute for a cause, and the next peer is served.
#define BOOST_TEST_MODULE bad_frames
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "net/virtual.h"
#include "tier/transport/frames.h"
#include "tier/transport/hub.h"

namespace shelflink::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MessageKind kNote = kClusterKinds;
constexpr MessageKind kEcho = kClusterKinds + 1;
constexpr std::uint32_t kHubHost = 0x0a010001;
constexpr std::uint32_t kPeerHost = 0x0a010002;
constexpr auto kBetweenParts = milliseconds(20);
constexpr auto kSilence = seconds(2);  // Longer than the hub waits for what is owed.

PeerIdentity IdentityOf(std::uint32_t host, std::uint16_t port = 7000) {
  return {"node", "core", "zone", net::Address::V4(host, port), 1};
}

// A connection that writes raw bytes and notes what comes back.
class RawPeer : public net::StreamUser {
 public:
  RawPeer(net::VirtualProcess& process, const net::Address& to)
      : stream_(process.Dial(to, *this)) {}

  void Send(const std::string& bytes) {
    unsent_ += bytes;
    if (up_) OnWritable();
  }
  void Close() { stream_->Close(); }

  std::string got;
  bool ended = false;

 private:
  void OnConnected(net::Fault fault) override {
    up_ = fault == net::Fault::kNone;
    ended = !up_;
    if (!up_) return;
    OnWritable();
    stream_->Receive();
  }
  void OnWritable() override {
    if (!unsent_.empty()) unsent_.erase(0, stream_->Write(unsent_).bytes);
  }
  void OnBytes(std::string_view bytes) override {
    got.append(bytes);
    stream_->Receive();
  }
  void OnEnd(net::Fault) override { ended = true; }

  net::StreamPtr stream_;
  std::string unsent_;
  bool up_ = false;
};

// What the hub made of one connection.
struct Outcome {
  std::vector<std::string> notes;
  std::size_t calls = 0;
  std::string got;
  bool ended = false;
  std::map<std::string, std::uint64_t> dropped;

  bool operator==(const Outcome&) const = default;
};

std::ostream& operator<<(std::ostream& out, const Outcome& outcome) {
  out << "{notes:";
  for (const std::string& note : outcome.notes) out << ' ' << note;
  out << ", calls: " << outcome.calls << ", got: " << outcome.got.size() << " bytes";
  for (const auto& [cause, count] : outcome.dropped) out << ", " << cause << ": " << count;
  return out << (outcome.ended ? ", ended}" : "}");
}

struct Scene {
  Scene()
      : network(1),
        here(network, kHubHost, "hub", 64),
        outside(network, kPeerHost, "peer", 64),
        hub(std::make_unique<Hub>(here, IdentityOf(kHubHost), Hub::Options{})) {
    hub->Handle(kNote,
                [this](const PeerIdentity&, std::string_view body) { notes.emplace_back(body); });
    hub->HandleCall(kEcho,
                    [this](const PeerIdentity&, std::string_view body, const Hub::Reply& reply) {
                      ++calls;
                      reply("echo " + std::string(body));
                    });
  }
  ~Scene() { network.Clear(); }

  void Run(net::Span span) { network.RunUntil(network.Now() + span); }
  std::unique_ptr<RawPeer> Dial() {
    return std::make_unique<RawPeer>(outside, hub->self().address);
  }
  std::uint64_t dropped(const std::string& cause) const {
    const auto found = hub->counters().dropped.find(cause);
    return found == hub->counters().dropped.end() ? 0 : found->second;
  }
  // The same text in two parts, with time between.
  Outcome Play(const std::string& text, std::size_t cut) {
    notes.clear();
    calls = 0;
    const auto dropped_before = hub->counters().dropped;
    const auto peer = Dial();
    peer->Send(text.substr(0, cut));
    Run(kBetweenParts);
    peer->Send(text.substr(cut));
    Run(kBetweenParts);
    Outcome outcome{notes, calls, peer->got, peer->ended, hub->counters().dropped};
    if (outcome.ended) outcome.got.clear();  // What was still to be said is lost with it.
    for (const auto& [cause, count] : dropped_before) {
      outcome.dropped[cause] -= count;
      if (outcome.dropped[cause] == 0) outcome.dropped.erase(cause);
    }
    peer->Close();
    Run(kBetweenParts);
    return outcome;
  }
  // Another hub calls and is answered.
  bool Serves() {
    net::VirtualProcess there(network, kPeerHost + 1, "other", 64);
    Hub other(there, IdentityOf(kPeerHost + 1), {});
    std::string answer;
    other.Call(hub->self().address, kEcho, "x", seconds(1),
               [&](const Result<std::string>& result) { answer = result ? result.value() : ""; });
    Run(milliseconds(50));
    there.Kill();
    return answer == "echo x";
  }

  net::VirtualNet network;
  net::VirtualProcess here;
  net::VirtualProcess outside;
  std::unique_ptr<Hub> hub;
  std::vector<std::string> notes;
  std::size_t calls = 0;
};

// A greeting, a message, a call, and signs of life around them.
std::string Conversation() {
  return EncodeHello(IdentityOf(kPeerHost), 1) + EncodePing() + EncodeMessage(kNote, "note") +
         EncodePong() + EncodeCall(kEcho, 7, "call") + EncodeMessage(kNote, "last");
}

BOOST_FIXTURE_TEST_SUITE(bad_frames, Scene)

BOOST_AUTO_TEST_CASE(frames_may_be_cut_at_each_byte) {
  const std::string text = Conversation();
  const Outcome uncut = Play(text, text.size());
  BOOST_TEST(uncut.notes.size() == 2U);
  BOOST_TEST(uncut.calls == 1U);
  BOOST_TEST(uncut.dropped.empty());
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    BOOST_TEST_CONTEXT("cut at " << cut) { BOOST_TEST(Play(text, cut) == uncut); }
  }
  BOOST_TEST(Serves());
}

BOOST_AUTO_TEST_CASE(what_is_cut_off_is_not_delivered) {
  const std::string text = Conversation();
  const std::size_t last_frame = EncodeMessage(kNote, "last").size();
  for (std::size_t length = 0; length < text.size(); ++length) {
    BOOST_TEST_CONTEXT("ends at " << length) {
      const Outcome outcome = Play(text.substr(0, length), length);
      BOOST_TEST(outcome.notes.size() <= 1U);
      BOOST_TEST((outcome.calls == 1U) == (length >= text.size() - last_frame));
      BOOST_TEST(outcome.dropped.empty());
    }
  }
  BOOST_TEST(Serves());
}

// Whatever one byte is turned into, it comes to the same in one part and in two.
BOOST_AUTO_TEST_CASE(frames_with_a_byte_changed_may_be_cut_at_each_byte) {
  const std::string text = Conversation();
  for (std::size_t at = 0; at < text.size(); ++at) {
    for (const unsigned change : {0x01U, 0x80U, 0xffU}) {
      std::string changed = text;
      changed[at] = static_cast<char>(static_cast<unsigned char>(changed[at]) ^ change);
      const Outcome uncut = Play(changed, changed.size());
      BOOST_TEST_CONTEXT("byte " << at << " changed by " << change) {
        for (std::size_t cut = 0; cut < text.size(); cut += 3) {
          const Outcome outcome = Play(changed, cut);
          BOOST_TEST_CONTEXT("cut at " << cut) { BOOST_TEST(outcome == uncut); }
        }
      }
    }
  }
  BOOST_TEST(Serves());
}

BOOST_AUTO_TEST_CASE(each_fault_is_counted_by_its_cause_and_ends_the_connection) {
  const std::string hello = EncodeHello(IdentityOf(kPeerHost), 1);
  const std::string long_head = {'\x10', '\0', '\0', '\0'};
  const std::vector<std::pair<std::string, std::string>> faults = {
      {"version", EncodeHello(IdentityOf(kPeerHost), 1, kProtocolVersion + 1)},
      {"version", EncodeHello(IdentityOf(kPeerHost), 1, 0)},
      {"too_long", long_head},
      {"too_long", hello + long_head},
      {"too_long", std::string(4, '\xff')},
      {"malformed", std::string(4, '\0')},
      {"malformed", std::string("\0\0\0\3abc", 7)},
      {"malformed", EncodeMessage(kNote, "before a greeting")},
      {"malformed", hello + hello},
      {"address", EncodeHello(IdentityOf(kHubHost), 1)},
  };
  for (const auto& [cause, text] : faults) {
    const std::uint64_t before = dropped(cause);
    const Outcome outcome = Play(text, text.size() / 2);
    BOOST_TEST_CONTEXT(cause) {
      BOOST_TEST(outcome.ended);
      BOOST_TEST(outcome.notes.empty());
      BOOST_TEST(dropped(cause) == before + 1);
    }
  }
  BOOST_TEST(Serves());
}

// However many peers there are that speak another version.
BOOST_AUTO_TEST_CASE(the_log_has_a_line_a_minute_for_a_cause) {
  const auto speak = [this](std::uint16_t port) {
    Play(EncodeHello(IdentityOf(kPeerHost, port), 1, kProtocolVersion + 1), 0);
  };
  for (std::uint16_t port = 1; port <= 200; ++port) speak(port);
  BOOST_TEST(dropped("version") == 200U);
  BOOST_TEST(hub->counters().drop_lines == 1U);
  Play(std::string(4, '\xff'), 0);  // Another cause has its own.
  BOOST_TEST(hub->counters().drop_lines == 2U);
  Run(seconds(60));
  speak(1);
  speak(2);
  BOOST_TEST(hub->counters().drop_lines == 3U);
}

BOOST_AUTO_TEST_CASE(a_stranger_that_says_nothing_is_let_go) {
  const auto peer = Dial();
  Run(kSilence);
  BOOST_TEST(peer->ended);
  BOOST_TEST(dropped("silence") == 1U);
}

BOOST_AUTO_TEST_CASE(a_handler_that_was_taken_away_is_not_called) {
  hub->Handle(kNote, nullptr);
  hub->HandleCall(kEcho, nullptr);
  const Outcome outcome = Play(Conversation(), 0);
  BOOST_TEST(outcome.notes.empty());
  BOOST_TEST(outcome.calls == 0U);
  BOOST_TEST(!outcome.ended);
  BOOST_TEST(dropped("unhandled") == 3U);
}

// As a part does that ends while it handles a message.
BOOST_AUTO_TEST_CASE(a_handler_may_take_its_own_place) {
  const auto held = std::make_shared<std::string>("of the first handler");
  hub->Handle(kNote, [this, held](const PeerIdentity&, std::string_view body) {
    hub->Handle(kNote, nullptr);
    notes.push_back(std::string(body) + ' ' + *held);
  });
  hub->HandleCall(kEcho,
                  [this, held](const PeerIdentity&, std::string_view, const Hub::Reply& reply) {
                    hub->HandleCall(kEcho, nullptr);
                    reply(*held);
                  });
  const Outcome outcome = Play(Conversation(), 0);
  BOOST_REQUIRE(outcome.notes.size() == 1U);
  BOOST_TEST(outcome.notes[0] == "note of the first handler");
  BOOST_TEST(outcome.got.find(*held) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace shelflink::transport
