// Two processes of one sidecar on one listening socket, as an upgrade has them.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "handover/locks.h"
#include "loopback.h"

namespace kelpspring::testing {
namespace {

using std::chrono::milliseconds;
namespace fs = std::filesystem;

// ---- The state machine ----

// What two processes see of the same two locks.
struct Held {
  int serving = 0;
  int coming = 0;
};
class FakeLocks : public handover::Locks {
 public:
  FakeLocks(Held& held, int me) : held_(held), me_(me) {}
  ~FakeLocks() override {
    if (held_.serving == me_) held_.serving = 0;
    if (held_.coming == me_) held_.coming = 0;
  }
  bool TakeServing() override { return Take(held_.serving); }
  bool TakeComing() override { return Take(held_.coming); }
  void DropComing() override { held_.coming = 0; }

 private:
  bool Take(int& lock) const {
    if (lock != 0 && lock != me_) return false;
    lock = me_;
    return true;
  }
  Held& held_;
  int me_;
};

TEST(Presence, EachSeesTheOtherForAsLongAsItLives) {
  Held held;
  FakeLocks first(held, 1);
  handover::Presence old_one(first);
  EXPECT_FALSE(old_one.beside());
  {
    FakeLocks second(held, 2);
    handover::Presence killed(second);
    EXPECT_TRUE(killed.beside());
    EXPECT_TRUE(old_one.Look());
    EXPECT_TRUE(old_one.beside());
  }
  EXPECT_TRUE(old_one.Look());  // It was killed before it served.
  EXPECT_FALSE(old_one.beside());
  auto leaving = std::make_unique<FakeLocks>(held, 3);
  FakeLocks third(held, 4);
  held.serving = 3;  // Another serves; the fourth comes up.
  handover::Presence new_one(third);
  EXPECT_TRUE(new_one.beside());
  leaving.reset();
  EXPECT_TRUE(new_one.Look());
  EXPECT_FALSE(new_one.beside());
  EXPECT_EQ(held.serving, 4);
  EXPECT_EQ(held.coming, 0);
}

// ---- The files ----

struct Folder {
  fs::path path = fs::temp_directory_path() / ("handover-" + std::to_string(::getpid()));
  Folder() { fs::create_directories(path); }
  ~Folder() { fs::remove_all(path); }
};

TEST(FileLocks, WhatTheFilesHoldDoesNoHarm) {
  Folder folder;
  std::ofstream(folder.path / "shelflink-serving.lock") << std::string(100'000, '\0') << "torn";
  handover::FileLocks locks(folder.path);
  EXPECT_TRUE(locks.TakeServing());
  handover::FileLocks others(folder.path);
  EXPECT_FALSE(others.TakeServing());
  EXPECT_TRUE(others.TakeComing());
  EXPECT_FALSE(locks.TakeComing());
  others.DropComing();
  EXPECT_TRUE(locks.TakeComing());
}

TEST(FileLocks, WhatIsNoFileIsNamed) {
  Folder folder;
  fs::create_directory(folder.path / "shelflink-coming.lock");
  try {
    handover::FileLocks locks(folder.path);
    FAIL() << "a folder was locked";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("shelflink-coming.lock: expected a file to lock"),
              std::string::npos);
  }
}

// ---- The program ----

std::string FreeAddress() {
  Listener listener;
  return listener.Address();
}

// One process of the program, with its console and, where there is one, the clients' socket.
class Program {
 public:
  Program(const fs::path& folder, std::string config, const std::string& console, int shared,
          const std::string& named = "") {
    const fs::path file = folder / ("config-" + std::to_string(++count_) + ".json");
    if (!console.empty()) config.insert(1, "\"console\":\"" + console + "\",");
    std::ofstream(file) << config;
    int errors[2];
    EXPECT_EQ(::pipe(errors), 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(errors[1], 2);
      ::setenv("PROXY_CONFIG", file.c_str(), 1);
      ::setenv("TMPDIR", folder.c_str(), 1);
      if (shared >= 0) {
        ::dup2(shared, 3);
        ::setenv("PROXY_LISTEN_FD", "3", 1);
      }
      // Nothing else of the test's is its own.
      for (int other = shared >= 0 ? 4 : 3; other < 1024; ++other) ::close(other);
      if (!named.empty()) ::setenv("PROXY_LISTEN_FD", named.c_str(), 1);
      ::execl(KELPSPRING_PROGRAM, KELPSPRING_PROGRAM, nullptr);
      ::_exit(127);
    }
    ::close(errors[1]);
    errors_ = errors[0];
    console_ = console;
  }
  ~Program() {
    if (pid_ > 0) Kill();
    ::close(errors_);
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Terminate() const { ::kill(pid_, SIGTERM); }
  void Kill() {
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, 0), nullptr, 0);
  }
  // Its exit code; -1 if it was killed.
  int Exit() {
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::string Errors() const {
    std::string text;
    char bytes[512];
    for (ssize_t n = 0; (n = ::read(errors_, bytes, sizeof bytes)) > 0;) {
      text.append(bytes, static_cast<std::size_t>(n));
    }
    return text;
  }
  // 0 where nobody listens.
  int Ask(const std::string& call) const {
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code ec;
    const auto colon = console_.find(':');
    socket.connect({boost::asio::ip::make_address(console_.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(console_.substr(colon + 1)))},
                   ec);
    if (ec) return 0;
    Peer peer(std::move(socket));
    peer.Write(call + " HTTP/1.1\r\nHost: h\r\n\r\n");
    return peer.Read().Status();
  }
  void AwaitReady() const {
    const auto until = std::chrono::steady_clock::now() + milliseconds(kPatienceMs);
    while (Ask("GET /ready") != 200) {
      ASSERT_LT(std::chrono::steady_clock::now(), until) << "never ready";
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  std::size_t Descriptors() const {
    std::size_t count = 0;
    for ([[maybe_unused]] const auto& entry :
         fs::directory_iterator("/proc/" + std::to_string(pid_) + "/fd")) {
      ++count;
    }
    return count;
  }
  // Clock ticks spent so far.
  long Cpu() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string word;
    for (int i = 0; i < 13; ++i) stat >> word;
    long user = 0;
    long system = 0;
    stat >> user >> system;
    return user + system;
  }

 private:
  static inline int count_ = 0;
  pid_t pid_ = 0;
  int errors_ = -1;
  std::string console_;
};

// The platform's part: it holds the clients' socket, and discovery answers each whole list at once.
struct Platform {
  Folder folder;
  Listener clients;
  Listener endpoint;
  boost::asio::io_context io;
  tcp::acceptor discovery{io, Loopback()};
  std::thread answering{[this] { Answer(); }};
  std::vector<tcp::socket> watches;

  ~Platform() {
    ::shutdown(discovery.native_handle(), SHUT_RDWR);
    answering.join();
  }
  std::string Config(int sockets = 1024) {
    return ConfigText("127.0.0.1:" + std::to_string(discovery.local_endpoint().port()),
                      Member("e1", endpoint.Address()), "ask", sockets);
  }
  void Answer() {
    for (;;) {
      boost::system::error_code ec;
      tcp::socket socket(io);
      discovery.accept(socket, ec);
      if (ec) return;
      const std::string list = List(42, true, Member("e1", endpoint.Address()));
      boost::asio::write(socket, boost::asio::buffer(Reply("200 OK", list)), ec);
      watches.push_back(std::move(socket));  // What is asked next is never answered.
    }
  }
  int Socket() { return clients.native(); }
};

const char kId[] = "00000000000000a1";

TEST(Upgrade, LosesNoRequestAndTheOldOneDoesNotSpin) {
  Platform platform;
  Program old_one(platform.folder.path, platform.Config(), FreeAddress(), platform.Socket());
  old_one.AwaitReady();
  Peer held = platform.clients.Connect();
  held.Write(Call(kId, "safe"));
  Peer at = platform.endpoint.Accept();
  at.Read();
  Peer idle = platform.clients.Connect();
  idle.Write("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_EQ(idle.Read().Status(), 200);
  Program new_one(platform.folder.path, platform.Config(), FreeAddress(), platform.Socket());
  new_one.AwaitReady();
  old_one.Terminate();
  const long before = old_one.Cpu();
  idle.Write("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_EQ(idle.Read().Status(), 200);
  // Each comes to the new one: the old one has stopped accepting and yet its copy of the socket was
  // not shut down.
  for (int i = 0; i < 300; ++i) {
    Peer client = platform.clients.Connect();
    client.Write("GET /_health HTTP/1.1\r\n\r\n");
    EXPECT_EQ(client.Read().Status(), 200) << i;
  }
  EXPECT_LT(old_one.Cpu() - before, 20);
  at.Write(Reply("200 OK", "kept"));
  EXPECT_EQ(held.Read().body, "kept");
  EXPECT_EQ(old_one.Exit(), 0);
  EXPECT_EQ(new_one.Ask("GET /ready"), 200);
}

TEST(Upgrade, ANewOneThatIsKilledLeavesTheOldOneAsItWas) {
  Platform platform;
  Program old_one(platform.folder.path, platform.Config(), FreeAddress(), platform.Socket());
  old_one.AwaitReady();
  for (const bool wait : {false, true}) {
    Program new_one(platform.folder.path, platform.Config(), FreeAddress(), platform.Socket());
    if (wait) new_one.AwaitReady();
    new_one.Kill();
    for (int i = 0; i < 20; ++i) {
      Peer client = platform.clients.Connect();
      client.Write("GET /_health HTTP/1.1\r\n\r\n");
      // One that the killed one took in its last moment is reset, by no fault of the old one.
      const int status = client.Read().Status();
      EXPECT_TRUE(status == 200 || (wait && i == 0)) << status;
    }
  }
  old_one.Terminate();  // Nobody goes on: it drains as always.
  EXPECT_EQ(old_one.Exit(), 0);
}

// A crowd that takes all it can get, before and after the second process has come up.
TEST(Upgrade, BothTogetherKeepToTheDescriptorsOfOne) {
  constexpr int kSockets = 192;
  Platform platform;
  Program old_one(platform.folder.path, platform.Config(kSockets), FreeAddress(),
                  platform.Socket());
  old_one.AwaitReady();
  std::vector<Peer> crowd;
  const auto join = [&](int count) {
    for (int i = 0; i < count; ++i) {
      crowd.push_back(platform.clients.Connect());
      crowd.back().Write("GET /api HTTP/1.1\r\nX-Half: ");
    }
  };
  join(100);
  const auto until = std::chrono::steady_clock::now() + milliseconds(kPatienceMs);
  while (old_one.Descriptors() < 90) ASSERT_LT(std::chrono::steady_clock::now(), until);
  Program new_one(platform.folder.path, platform.Config(kSockets), FreeAddress(),
                  platform.Socket());
  new_one.AwaitReady();
  join(200);
  for (int i = 0; i < 50; ++i) {
    EXPECT_LE(old_one.Descriptors() + new_one.Descriptors(), kSockets);
    Peer client = platform.clients.Connect();
    client.Write("GET /_health HTTP/1.1\r\n\r\n");
    EXPECT_EQ(client.Read().Status(), 200);
  }
}

TEST(Upgrade, WhatCannotBeUsedIsNamedAndEndsTheStart) {
  Platform platform;
  Listener taken;
  boost::asio::io_context io;
  boost::asio::ip::udp::socket datagrams(io, boost::asio::ip::udp::v4());
  const auto start = [&](const std::string& console, int shared, const std::string& named) {
    Program program(platform.folder.path, platform.Config(), console, shared, named);
    EXPECT_EQ(program.Exit(), 1);
    return program.Errors();
  };
  EXPECT_EQ(start("", -1, "three"),
            "kelpspring: PROXY_LISTEN_FD: expected the number of a descriptor, got three\n");
  EXPECT_EQ(start("", -1, "977"),
            "kelpspring: PROXY_LISTEN_FD: descriptor 977: expected a listening TCP socket\n");
  EXPECT_EQ(start("", datagrams.native_handle(), ""),
            "kelpspring: PROXY_LISTEN_FD: descriptor 3: expected a listening TCP socket\n");
  EXPECT_EQ(start(taken.Address(), -1, ""),
            "kelpspring: console: listen at " + taken.Address() + ": Address already in use\n");
  EXPECT_EQ(start("nowhere", -1, ""), "kelpspring: console: expected an address and port\n");
}

}  // namespace
}  // namespace kelpspring::testing
