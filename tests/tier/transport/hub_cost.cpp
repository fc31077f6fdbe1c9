// Measures what the hub costs on the loop on GLib and on the one on Boost.Asio: processor time a
// call, a message, a heartbeat of many peers and a megabyte, and memory an idle connection. Not a
// test. Both ends of every connection run in this process, so a figure holds both.
//
//   tier_hub_cost glib|asio calls|messages|heartbeats|reconnects|megabytes|idle [count]
#include <glib.h>
#include <malloc.h>
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/glib_loop.h"
#include "net/sockets.h"
#include "tier/transport/hub.h"

namespace shelflink::transport {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr MessageKind kNote = kClusterKinds;
constexpr MessageKind kEcho = kClusterKinds + 1;
constexpr std::size_t kBody = 100;  // Bytes of a usual message.
constexpr std::size_t kBatch = 100;
constexpr std::size_t kPeers = 1000;
constexpr std::size_t kLarge = 5U << 20;

// A loop and the way to run it for one turn, which waits.
struct Driver {
  std::unique_ptr<net::Loop> loop;
  std::function<void()> turn;
};

Driver NewDriver(const std::string& kind) {
  if (kind == "glib") {
    return {std::make_unique<net::GlibLoop>(), [] { g_main_context_iteration(nullptr, TRUE); }};
  }
  const auto io = std::make_shared<boost::asio::io_context>(1);
  return {std::make_unique<net::SocketLoop>(*io), [io] {
            io->restart();
            io->run_one();
          }};
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class Measurement {
 public:
  explicit Measurement(const std::string& kind) : driver_(NewDriver(kind)), server_(NewHub()) {
    Serve();
  }

  void Calls(std::size_t count) {
    const auto client = NewHub();
    CallOnce(*client, kBody);
    Report("us a call", count, 1e6, [&] {
      for (std::size_t i = 0; i < count; ++i) CallOnce(*client, kBody);
    });
  }

  void Messages(std::size_t count) {
    const auto client = NewHub();
    CallOnce(*client, kBody);
    Report("us a message", count, 1e6, [&] {
      for (std::size_t sent = 0; sent < count;) {
        for (std::size_t i = 0; i < kBatch; ++i, ++sent) {
          client->Send(server_->self().address, kNote, std::string(kBody, 'x'));
        }
        RunUntil([&] { return notes_ == sent; });
      }
    });
  }

  void Heartbeats(std::size_t rounds) {
    std::vector<std::unique_ptr<Hub>> peers;
    ConnectPeers(peers);
    Report("us a heartbeat", rounds * kPeers, 1e6, [&] {
      for (std::size_t round = 0; round < rounds; ++round) {
        for (const auto& peer : peers) CallOnce(*peer, kBody);
      }
    });
  }

  // The server ends and is there again; all peers call it at once.
  void Reconnects(std::size_t rounds) {
    std::vector<std::unique_ptr<Hub>> peers;
    ConnectPeers(peers);
    const PeerIdentity self = server_->self();
    Report("us a reconnect", rounds * kPeers, 1e6, [&] {
      for (std::size_t round = 0; round < rounds; ++round) {
        server_.reset();
        server_ = std::make_unique<Hub>(*driver_.loop, self, Hub::Options{});
        Serve();
        std::size_t answered = 0;
        while (answered < kPeers) {
          answered = 0;
          std::size_t asked = 0;
          for (const auto& peer : peers) {
            peer->Call(self.address, kEcho, std::string(kBody, 'x'), std::chrono::seconds(10),
                       [&](const Result<std::string>& result) {
                         ++asked;
                         if (result) ++answered;
                       });
          }
          RunUntil([&] { return asked == kPeers; });
        }
      }
    });
  }

  void Megabytes(std::size_t count) {
    const auto client = NewHub();
    CallOnce(*client, kBody);
    Report("us a MB", count * kLarge >> 20, 1e6, [&] {
      for (std::size_t i = 0; i < count; ++i) {
        client->Send(server_->self().address, kNote, std::string(kLarge, 'x'));
        RunUntil([&] { return notes_ == i + 1; });
      }
    });
  }

  void Idle() {
    std::vector<std::unique_ptr<Hub>> peers;
    for (std::size_t i = 0; i < kPeers; ++i) peers.push_back(NewHub());
    const std::size_t before = HeapBytes();
    for (const auto& peer : peers) CallOnce(*peer, kBody);
    const double heap = static_cast<double>(HeapBytes() - before) / kPeers;
    std::printf("%.0f bytes of heap a connection, both ends\n", heap);
    const double start = ProcessorSeconds();
    bool over = false;
    const auto timer = driver_.loop->NewTimer([&] { over = true; });
    timer->ArmAt(driver_.loop->Now() + std::chrono::seconds(10));
    std::size_t turns = 0;
    while (!over) {
      driver_.turn();
      ++turns;
    }
    std::printf("%zu turns and %.3f ms in 10 s of %zu idle connections\n", turns,
                (ProcessorSeconds() - start) * 1e3, kPeers);
  }

 private:
  void Serve() {
    server_->Handle(kNote, [this](const PeerIdentity&, std::string_view) { ++notes_; });
    server_->HandleCall(kEcho, [](const PeerIdentity&, std::string_view body,
                                  const Hub::Reply& reply) { reply(std::string(body)); });
  }

  static std::size_t HeapBytes() { return mallinfo2().uordblks; }

  std::unique_ptr<Hub> NewHub() {
    const PeerIdentity self{"node", "role", "zone", net::Address::V4(kLoopback, 0), 1};
    return std::make_unique<Hub>(*driver_.loop, self, Hub::Options{});
  }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) driver_.turn();
  }

  void ConnectPeers(std::vector<std::unique_ptr<Hub>>& peers) {
    for (std::size_t i = 0; i < kPeers; ++i) {
      peers.push_back(NewHub());
      CallOnce(*peers.back(), kBody);
    }
  }

  void CallOnce(Hub& from, std::size_t bytes) {
    bool done = false;
    from.Call(server_->self().address, kEcho, std::string(bytes, 'x'), std::chrono::seconds(10),
              [&](const Result<std::string>& result) {
                if (!result) std::abort();
                done = true;
              });
    RunUntil([&] { return done; });
  }

  static void Report(const char* unit, std::size_t count, double scale,
                     const std::function<void()>& work) {
    const double start = ProcessorSeconds();
    work();
    const double spent = ProcessorSeconds() - start;
    std::printf("%.2f %s (%zu)\n", spent * scale / static_cast<double>(count), unit, count);
  }

  Driver driver_;
  std::unique_ptr<Hub> server_;
  std::size_t notes_ = 0;
};

int Main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(
        stderr, "usage: %s glib|asio calls|messages|heartbeats|reconnects|megabytes|idle [count]\n",
        argv[0]);
    return 2;
  }
  Measurement measurement(argv[1]);
  const std::string what = argv[2];
  const std::size_t count = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 100;
  if (what == "calls") measurement.Calls(count);
  if (what == "messages") measurement.Messages(count);
  if (what == "heartbeats") measurement.Heartbeats(count);
  if (what == "megabytes") measurement.Megabytes(count);
  if (what == "reconnects") measurement.Reconnects(count);
  if (what == "idle") measurement.Idle();
  return 0;
}

}  // namespace
}  // namespace shelflink::transport

int main(int argc, char** argv) {
  try {
    return shelflink::transport::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
