// The operator's HTTP interface over loopback, with clients that send raw bytes. No test sleeps: a
// scene runs the loop until its condition holds.
#ifndef SHELFLINK_TESTS_TIER_OPERATOR_API_SERVER_SCENE_H_
#define SHELFLINK_TESTS_TIER_OPERATOR_API_SERVER_SCENE_H_

#include <glib.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/glib_loop.h"
#include "operator_api/fake_service.h"
#include "tier/operator_api/server.h"

#ifdef __SANITIZE_ADDRESS__
// libsoup 3.2.3 itself loses the path of a request line whose version it doesn't know.
extern "C" {
const char* __asan_default_options() { return "fast_unwind_on_malloc=0"; }                 // NOLINT
const char* __lsan_default_suppressions() { return "leak:soup_headers_parse_request\n"; }  // NOLINT
}
#endif

namespace shelflink::operator_api {

using std::chrono::milliseconds;

inline const net::Address kAnyPort = net::Address::V4(0x7f000001, 0);
constexpr auto kPatience = std::chrono::seconds(10);  // A test that waits longer fails.

// A connection that writes raw bytes and keeps what it receives.
class Client : public net::StreamUser {
 public:
  Client(net::Loop& loop, const net::Address& server) : stream_(loop.Dial(server, *this)) {}

  void Send(const std::string& bytes) {
    unsent_ += bytes;
    if (connected_) WriteMore();
  }
  void Close() { stream_->Close(); }

  void OnConnected(net::Fault fault) override {
    connected_ = fault == net::Fault::kNone;
    ended = !connected_;
    if (!connected_) return;
    stream_->Receive();
    WriteMore();
  }
  void OnBytes(std::string_view bytes) override {
    got += bytes;
    stream_->Receive();
  }
  void OnEnd(net::Fault) override { ended = true; }
  void OnWritable() override { WriteMore(); }

  // Number of whole answers received; each answer of the server has a Content-Length.
  std::size_t answers() const {
    std::size_t count = 0;
    std::size_t at = 0;
    while (AnswerEnd(at) != std::string::npos) {
      at = AnswerEnd(at);
      ++count;
    }
    return count;
  }
  int status(std::size_t index = 0) const {
    std::size_t at = 0;
    for (std::size_t i = 0; i < index; ++i) at = AnswerEnd(at);
    return std::stoi(got.substr(at + 9, 3));
  }
  bool has(const std::string& text) const { return got.find(text) != std::string::npos; }

  std::string got;
  bool ended = false;

 private:
  std::size_t AnswerEnd(std::size_t at) const {
    if (at == std::string::npos) return at;
    const std::size_t head = got.find("\r\n\r\n", at);
    if (head == std::string::npos) return head;
    const std::size_t length_at = got.find("Content-Length: ", at);
    BOOST_REQUIRE(length_at < head);
    const std::size_t end = head + 4 + std::stoul(got.substr(length_at + 16));
    return end <= got.size() ? end : std::string::npos;
  }
  void WriteMore() {
    const net::Written written = stream_->Write(unsent_);
    unsent_.erase(0, written.bytes);
  }

  net::StreamPtr stream_;
  std::string unsent_;
  bool connected_ = false;
};

struct Scene {
  Scene() { service.is_primary_here = true; }

  void RunUntil(const std::function<bool()>& done) {
    const net::Time limit = loop.Now() + kPatience;
    const net::TimerPtr guard = loop.NewTimer([] {});
    guard->ArmAt(limit);
    while (!done()) {
      BOOST_REQUIRE(loop.Now() < limit);
      g_main_context_iteration(nullptr, TRUE);
    }
  }
  std::unique_ptr<Client> Connect(const std::string& bytes = "") {
    auto client = std::make_unique<Client>(loop, server->address());
    client->Send(bytes);
    return client;
  }
  // Gives the forwarder this answer timeout.
  void AnswerWithin(milliseconds span) {
    server.reset();
    forwarder = std::make_unique<Forwarder>(loop, hub, service, Forwarder::Options{span});
    server = std::make_unique<Server>(loop, *forwarder, kAnyPort);
  }
  // The status of the only answer to these bytes.
  int StatusOf(const std::string& bytes) {
    const auto client = Connect(bytes);
    RunUntil([&] { return client->answers() >= 1 || client->ended; });
    BOOST_REQUIRE_MESSAGE(client->answers() == 1, "no answer to " << bytes.substr(0, 100));
    return client->status();
  }

  net::GlibLoop loop;
  FakeService service{loop};
  transport::Hub hub{loop, transport::PeerIdentity{"node", "core", "zone", kAnyPort, 1},
                     transport::Hub::Options{}};
  // A long answer timeout, so that a busy machine makes no difference.
  std::unique_ptr<Forwarder> forwarder =
      std::make_unique<Forwarder>(loop, hub, service, Forwarder::Options{std::chrono::seconds(20)});
  std::unique_ptr<Server> server = std::make_unique<Server>(loop, *forwarder, kAnyPort);
};

inline std::string Request(const std::string& line, const std::string& headers = "",
                           const std::string& body = "") {
  return line + " HTTP/1.1\r\nHost: core\r\n" + headers +
         (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
         body;
}

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TESTS_TIER_OPERATOR_API_SERVER_SCENE_H_
