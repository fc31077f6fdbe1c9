// The sidecar: reads its configuration, serves until it is told to stop.
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include "app/fleet_part.h"
#include "app/remember.h"
#include "control/orders.h"
#include "handover/locks.h"
#include "metrics/registry.h"
#include "net/sockets.h"
#include "sidecar/config.h"
#include "sidecar/log.h"
#include "sidecar/sidecar.h"

namespace {

// A new configuration that cannot be used leaves the old one in force.
void Reload(kelpspring::Sidecar& sidecar) {
  try {
    sidecar.Reload(kelpspring::LoadConfig(std::getenv("PROXY_CONFIG")));
    kelpspring::LogToStandardError("reloaded the configuration");
  } catch (const std::exception& e) {
    kelpspring::LogToStandardError(std::string("the old configuration is kept: ") + e.what());
  }
}

// The clients' listening socket, where the platform holds it and names it; null where it does not.
net::ListenerPtr Inherited(net::SocketLoop& loop) {
  const char* word = std::getenv("PROXY_LISTEN_FD");
  if (word == nullptr || *word == '\0') return nullptr;
  const std::string_view text(word);
  int descriptor = -1;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), descriptor);
  if (r.ec != std::errc() || r.ptr != text.data() + text.size() || descriptor < 0) {
    throw gaugecart::BadInput("PROXY_LISTEN_FD: expected the number of a descriptor, got " +
                              std::string(text));
  }
  try {
    return loop.Inherit(descriptor);
  } catch (const net::Error& e) {
    throw gaugecart::BadInput(std::string("PROXY_LISTEN_FD: ") + e.what());
  }
}

// Looks now and then what the sidecar has learned, for its next start.
class Lessons {
 public:
  Lessons(net::Loop& loop, kelpspring::Sidecar& sidecar, kelpspring::Remember& remember)
      : loop_(loop),
        sidecar_(sidecar),
        remember_(remember),
        timer_(loop.NewTimer([this] { Look(); })) {
    timer_->ArmAt(loop_.Now() + kPause);
  }

 private:
  // A limit that is older says little; a shunned endpoint is shunned for 2 s at least.
  static constexpr auto kPause = std::chrono::seconds(2);

  void Look() {
    const kelpspring::Lesson lesson = sidecar_.Learned();
    if (remember_.OnLesson(lesson)) {
      sidecar_.log().Trace([&] { return "lesson " + WordsOf(lesson); });
    }
    timer_->ArmAt(loop_.Now() + kPause);
  }

  net::Loop& loop_;
  kelpspring::Sidecar& sidecar_;
  kelpspring::Remember& remember_;
  net::TimerPtr timer_;
};

// Looks every fifth of a second whether another process of the same sidecar runs beside this one.
class Neighbour {
 public:
  // `alone`: nobody else can hold the clients' socket, so nothing is looked for.
  Neighbour(net::Loop& loop, kelpspring::Sidecar& sidecar, bool alone)
      : loop_(loop), sidecar_(sidecar), timer_(loop.NewTimer([this] { Look(); })), alone_(alone) {
    if (alone_) return;
    const char* folder = std::getenv("TMPDIR");
    try {
      locks_ = std::make_unique<handover::FileLocks>(folder == nullptr ? "/tmp" : folder);
      presence_.emplace(*locks_);
      Look();
    } catch (const std::runtime_error& e) {
      kelpspring::LogToStandardError(std::string("half of the limits is kept free: ") + e.what());
      sidecar_.SetBeside(true);
    }
  }
  // At this moment, not at the last look.
  bool Beside() {
    if (!presence_) return !alone_;
    Look();
    return presence_->beside();
  }

 private:
  void Look() {
    presence_->Look();
    sidecar_.SetBeside(presence_->beside());
    timer_->ArmAt(loop_.Now() + std::chrono::milliseconds(200));
  }

  net::Loop& loop_;
  kelpspring::Sidecar& sidecar_;
  net::TimerPtr timer_;
  std::unique_ptr<handover::FileLocks> locks_;
  std::optional<handover::Presence> presence_;  // None where the locks cannot be had.
  bool alone_;
};

std::unique_ptr<control::Door> OpenDoor(net::Loop& loop, kelpspring::Sidecar& sidecar,
                                        const metrics::Registry& registry,
                                        const std::unique_ptr<fleet::Fleet>& fleet,
                                        const std::optional<net::Address>& at) {
  if (!at) return nullptr;
  try {
    control::Orders orders = control::OrdersFor(sidecar, registry, [&fleet] {
      return fleet ? std::optional(fleet->counts()) : std::nullopt;
    });
    if (fleet) orders.fleet = kelpspring::FleetOrders(*fleet);
    return std::make_unique<control::Door>(loop, sidecar.log(), *at, std::move(orders));
  } catch (const net::Error& e) {
    throw gaugecart::BadInput(std::string("console: ") + e.what());
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    const std::span<char*> words(argv, static_cast<std::size_t>(argc));
    const bool traced = words.size() == 2 && words[1] == std::string_view("--trace");
    if (words.size() > 1 && !traced) {
      std::cerr << "kelpspring: " << words[1] << ": expected no argument, or --trace" << std::endl;
      return 2;
    }
    kelpspring::Config config = kelpspring::LoadConfig(std::getenv("PROXY_CONFIG"));
    config.traced = traced;
    if (const char* console = std::getenv("PROXY_CONSOLE"); !config.console && console != nullptr) {
      config.console = kelpspring::ConsoleAddress(console);
    }
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur < config.sockets) {
      config.sockets = std::max<std::size_t>(files.rlim_cur, kelpspring::kFewestSockets);
    }
    std::optional<kelpspring::Remember> remember;
    if (config.state) remember.emplace(config);
    boost::asio::io_context io(1);
    net::SocketLoop loop(io);
    const auto console = config.console;
    const auto coordination = config.coordination;
    const bool coordinated = coordination.has_value();
    const auto fleet_setup = coordinated ? kelpspring::FleetSetup(loop, config) : fleet::Setup();
    metrics::Registry registry(gaugecart::InOrder(config.setup.classes));
    auto inherited = Inherited(loop);
    const bool alone = inherited == nullptr;
    kelpspring::Sidecar sidecar(loop, std::move(config),
                                {.inherited = std::move(inherited),
                                 .observer = &registry,
                                 .on_list =
                                     [&remember](const kelpspring::MemberList& list) {
                                       if (remember) remember->OnList(list);
                                     },
                                 .set_aside = (console ? control::Door::kDescriptors : 0) +
                                              (coordinated ? fleet::Fleet::kDescriptors : 0)});
    Neighbour neighbour(loop, sidecar, alone);
    std::optional<Lessons> lessons;
    if (remember) lessons.emplace(loop, sidecar, *remember);
    std::unique_ptr<fleet::Fleet> fleet;
    // What it owns goes to others at once; its clients have the time that they need.
    const auto leave = [&] {
      const auto left = std::make_shared<int>(fleet ? 2 : 1);
      const auto one = [&io, left] {
        if (--*left == 0) io.stop();
      };
      if (fleet) fleet->Leave(one);
      sidecar.Leave(neighbour.Beside(), one);
    };
    if (coordinated) {
      fleet = std::make_unique<fleet::Fleet>(
          loop, sidecar.log(), fleet_setup,
          kelpspring::OpenStore(loop, sidecar.log(), *coordination),
          kelpspring::HandsOf(sidecar, leave, [&remember](ownership::Fence fence) {
            if (remember) remember->OnFence(fence);
          }));
    }
    const auto door = OpenDoor(loop, sidecar, registry, fleet, console);
    loop.OnSignal(SIGHUP, [&] { Reload(sidecar); });
    for (const int signal : {SIGTERM, SIGINT}) {
      loop.OnSignal(signal, leave);
    }
    for (;;) {
      try {
        io.run();
        return 0;
      } catch (const std::exception& e) {
        // One connection's trouble is no reason to drop all the others.
        kelpspring::LogToStandardError(std::string("unexpected: ") + e.what());
      }
    }
  } catch (const std::exception& e) {
    std::cerr << "kelpspring: " << e.what() << std::endl;
    return 1;
  }
}
