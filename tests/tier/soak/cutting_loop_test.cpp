// A cut is silence: nothing passes in its direction, nothing is reset, and all that was held back
// arrives when it is over.
#define BOOST_TEST_MODULE cutting_loop
#include "soak/cutting_loop.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

namespace shelflink::soak {
namespace {

using std::chrono::milliseconds;

// Longer than the loop waits before it reads the file of cuts again.
constexpr milliseconds kSoon{200};
constexpr const char* kPeer = "127.0.0.1";

// One end of a connection, which notes what it is told.
class End : public net::StreamUser {
 public:
  void OnConnected(net::Fault fault) override { connected = fault; }
  void OnBytes(std::string_view bytes) override {
    received.append(bytes);
    stream->Receive();
  }
  void OnEnd(net::Fault fault) override { ended = fault; }

  net::StreamPtr stream;
  std::string received;
  std::optional<net::Fault> connected;
  std::optional<net::Fault> ended;
};

struct Connection {
  Connection()
      : path((std::filesystem::temp_directory_path() /
              ("cutting_loop_test." + std::to_string(::getpid())))
                 .string()),
        loop(path),
        listener(loop.Listen(*net::Address::Parse(std::string(kPeer) + ":0"))) {
    Accept();
  }
  ~Connection() { std::filesystem::remove(path); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Accept() {
    listener->Accept([this](net::Fault, net::StreamPtr stream) {
      accepted.stream = std::move(stream);
      if (!accepted.stream) return;
      accepted.stream->SetUser(accepted);
      accepted.stream->Receive();
    });
  }

  void Dial() {
    dialled.stream = loop.Dial(listener->address(), dialled);
    dialled.stream->Receive();
  }

  // From now on; empty: nothing is cut.
  void Cut(const std::string& ways, const std::string& peer = kPeer) {
    std::ofstream file(path);
    if (ways.find("to") != std::string::npos) file << "to " << peer << '\n';
    if (ways.find("from") != std::string::npos) file << "from " << peer << '\n';
    file.close();
    Run();
  }

  void Run() {
    const net::TimerPtr timer = loop.NewTimer([this] { loop.Stop(); });
    timer->ArmAt(loop.Now() + kSoon);
    loop.Run();
  }

  std::string path;
  CuttingLoop loop;
  net::ListenerPtr listener;
  End accepted;
  End dialled;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(BytesPassWithoutACut, Connection) {
  Dial();
  Run();
  dialled.stream->Write("there");
  accepted.stream->Write("back");
  Run();
  BOOST_TEST(dialled.connected.has_value());
  BOOST_TEST(accepted.received == "there");
  BOOST_TEST(dialled.received == "back");
}

BOOST_FIXTURE_TEST_CASE(ACutTowardsThePeerHoldsBackWhatIsWritten, Connection) {
  Dial();
  Run();
  Cut("to");
  BOOST_TEST(dialled.stream->Write("there").bytes == 5U);
  accepted.stream->Write("back");
  Run();
  BOOST_TEST(accepted.received.empty());
  BOOST_TEST(dialled.received == "back");
  Cut("");
  BOOST_TEST(accepted.received == "there");
}

BOOST_FIXTURE_TEST_CASE(ACutFromThePeerHoldsBackWhatItWrites, Connection) {
  Dial();
  Run();
  Cut("from");
  dialled.stream->Write("there");
  accepted.stream->Write("back");
  Run();
  BOOST_TEST(accepted.received == "there");
  BOOST_TEST(dialled.received.empty());
  Cut("");
  BOOST_TEST(dialled.received == "back");
}

BOOST_FIXTURE_TEST_CASE(AProcessMayBeCutOffAlone, Connection) {
  Dial();
  Run();
  const net::Address& at = listener->address();
  Cut("to from", std::string(kPeer) + ":" + std::to_string(at.port() == 1 ? 2 : 1));
  dialled.stream->Write("there");
  Run();
  BOOST_TEST(accepted.received == "there");
  Cut("to from", at.Text());
  dialled.stream->Write(" and on");
  accepted.stream->Write("back");
  Run();
  BOOST_TEST(accepted.received == "there");
  BOOST_TEST(dialled.received.empty());
  Cut("");
  BOOST_TEST(accepted.received == "there and on");
  BOOST_TEST(dialled.received == "back");
}

BOOST_FIXTURE_TEST_CASE(AConnectionComesUpOnceTheCutIsOver, Connection) {
  Cut("from");
  Dial();
  Run();
  BOOST_TEST(!dialled.connected.has_value());
  BOOST_TEST(accepted.stream == nullptr);
  Cut("");
  BOOST_TEST(dialled.connected.has_value());
  BOOST_TEST(accepted.stream != nullptr);
}

BOOST_FIXTURE_TEST_CASE(AnEndWithinACutIsToldOnceItIsOver, Connection) {
  Dial();
  Run();
  Cut("to from");
  dialled.stream.reset();
  Run();
  BOOST_TEST(!accepted.ended.has_value());
  Cut("");
  BOOST_TEST(accepted.ended.has_value());
}

BOOST_FIXTURE_TEST_CASE(ThePeersEndIsToldOnceTheCutIsOver, Connection) {
  Dial();
  Run();
  Cut("from");
  accepted.stream->Write("last");
  accepted.stream.reset();
  Run();
  BOOST_TEST(!dialled.ended.has_value());
  BOOST_TEST(!dialled.stream->Ended());
  Cut("");
  BOOST_TEST(dialled.received == "last");
  BOOST_TEST(dialled.ended.has_value());
}

}  // namespace shelflink::soak
