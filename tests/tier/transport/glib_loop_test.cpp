// The promises of net/loop.h, kept by the loop on GLib over loopback. Nothing sleeps: each scene
// runs the context until what it waits for has happened.
#define BOOST_TEST_MODULE glib_loop
#include "net/glib_loop.h"

#include <glib-unix.h>
#include <glib.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace net {
namespace {

using std::chrono::milliseconds;

const Address kAnyPort = Address::V4(0x7f000001, 0);
constexpr auto kPatience = std::chrono::seconds(10);  // A scene that takes longer has failed.
constexpr std::size_t kMuch = 8U << 20;               // More than the machine takes at once.

struct User : StreamUser {
  void OnConnected(Fault fault) override {
    connected = fault;
    ++answers;
    if (on_connected) on_connected();
  }
  void OnBytes(std::string_view bytes) override {
    got += bytes;
    ++reads;
    if (reading) stream->Receive();
    if (on_bytes) on_bytes();
  }
  void OnEnd(Fault fault) override {
    end = fault;
    ++ends;
  }
  void OnWritable() override {
    ++rooms;
    if (on_writable) on_writable();
  }

  StreamPtr stream;
  std::string got;
  Fault connected = Fault::kNone;
  Fault end = Fault::kNone;
  int answers = 0, reads = 0, ends = 0, rooms = 0;
  bool reading = true;
  std::function<void()> on_connected, on_bytes, on_writable;
};

// A loop with one listener and, after Connect, one connection.
struct Scene {
  void RunUntil(const std::function<bool()>& done) {
    const Time limit = loop.Now() + kPatience;
    // Wakes the context for the limit where nothing else does.
    const TimerPtr guard = loop.NewTimer([] {});
    guard->ArmAt(limit);
    while (!done()) {
      BOOST_REQUIRE(loop.Now() < limit);
      g_main_context_iteration(nullptr, TRUE);
    }
  }
  // What is due at this moment, and what it brings about.
  void RunTurns(int turns = 20) {
    for (int i = 0; i < turns; ++i) g_main_context_iteration(nullptr, FALSE);
  }
  void Connect() {
    listener->Accept([this](Fault fault, StreamPtr stream) {
      accept_fault = fault;
      if (fault != Fault::kNone) return;
      server.stream = std::move(stream);
      server.stream->SetUser(server);
      server.stream->Receive();
    });
    client.stream = loop.Dial(listener->address(), client);
    BOOST_TEST(client.answers == 0);
    RunUntil([this] { return client.answers == 1 && server.stream != nullptr; });
    BOOST_REQUIRE(client.connected == Fault::kNone);
    client.stream->Receive();
  }

  GlibLoop loop;
  ListenerPtr listener = loop.Listen(kAnyPort);
  User client, server;
  Fault accept_fault = Fault::kNone;
};

// As long as it lives the process gets no new descriptor.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = dup(0);
    close(next);
    rlimit none = before_;
    none.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

 private:
  rlimit before_{};
};

BOOST_FIXTURE_TEST_SUITE(streams, Scene)

BOOST_AUTO_TEST_CASE(BytesGoBothWaysWholeAndInOrder) {
  Connect();
  std::string all;
  for (int i = 0; i < 200; ++i) {
    const std::string part = std::to_string(i) + "-";
    all += part;
    BOOST_REQUIRE(client.stream->Write(part).bytes == part.size());
  }
  BOOST_TEST(server.stream->Write("answer").bytes == 6U);
  RunUntil([&] { return server.got.size() == all.size() && client.got.size() == 6; });
  BOOST_TEST(server.got == all);
  BOOST_TEST(client.got == "answer");
  BOOST_TEST(server.stream->peer().Host() == "127.0.0.1");
  BOOST_TEST(client.stream->peer().Text() == listener->address().Text());
}

BOOST_AUTO_TEST_CASE(NothingIsReadUntilItIsAskedFor) {
  server.reading = false;
  Connect();
  client.stream->Write("one");
  RunUntil([&] { return server.reads == 1; });
  client.stream->Write("two");
  RunUntil([&] { return server.stream->Peek() == Ahead::kBytes; });
  RunTurns();
  BOOST_TEST(server.got == "one");
  server.stream->Receive();
  server.stream->Receive();  // Of no effect.
  RunUntil([&] { return server.reads == 2; });
  BOOST_TEST(server.got == "onetwo");
  client.stream->Write("three");
  RunUntil([&] { return server.stream->Peek() == Ahead::kBytes; });
  RunTurns();
  BOOST_TEST(server.reads == 2);
}

BOOST_AUTO_TEST_CASE(AWriterIsHeldUntilItIsRead) {
  server.reading = false;
  Connect();
  const std::string much(kMuch, 'm');
  std::size_t sent = client.stream->Write(much).bytes;
  BOOST_REQUIRE(sent < much.size());
  RunTurns();
  BOOST_TEST(client.rooms == 0);
  client.on_writable = [&] {
    sent += client.stream->Write(std::string_view(much).substr(sent)).bytes;
  };
  server.reading = true;
  server.stream->Receive();
  RunUntil([&] { return server.got.size() == much.size(); });
  BOOST_TEST(sent == much.size());
  BOOST_TEST(client.rooms > 0);
  const int rooms = client.rooms;
  RunTurns();
  BOOST_TEST(client.rooms == rooms);  // Nothing was asked for.
}

BOOST_AUTO_TEST_CASE(AnEndComesAfterTheBytesAndAHalfCloseLeavesTheOtherWay) {
  Connect();
  client.stream->Write("last");
  client.stream->EndSending();
  RunUntil([&] { return server.ends == 1; });
  BOOST_TEST(server.got == "last");
  BOOST_CHECK(server.end == Fault::kEnd);
  BOOST_TEST(server.stream->Ended());
  BOOST_TEST(!client.stream->Ended());
  server.stream->Write("still");
  RunUntil([&] { return client.got == "still"; });
}

BOOST_AUTO_TEST_CASE(EndedIsToldWhileBytesAreUnread) {
  server.reading = false;
  Connect();
  BOOST_CHECK(server.stream->Peek() == Ahead::kNothing);
  client.stream->Write("one");
  RunUntil([&] { return server.reads == 1; });
  client.stream->Write("two");
  client.stream->Close();
  RunUntil([&] { return server.stream->Ended(); });
  BOOST_CHECK(server.stream->Peek() == Ahead::kBytes);
  server.reading = true;
  server.stream->Receive();
  RunUntil([&] { return server.ends == 1; });
  BOOST_TEST(server.got == "onetwo");
  BOOST_CHECK(server.stream->Peek() == Ahead::kOver);
}

BOOST_AUTO_TEST_CASE(AResetIsToldAsOneAndBreaksTheWriter) {
  Connect();
  client.stream->Reset();
  RunUntil([&] { return server.ends == 1; });
  BOOST_CHECK(server.end == Fault::kReset);
  // SIGPIPE would end this test.
  BOOST_CHECK(server.stream->Write("x").fault == Fault::kReset);
  BOOST_CHECK(client.stream->Write("x").fault == Fault::kClosed);
}

BOOST_AUTO_TEST_CASE(AnEndThatNobodyAsksForDoesNotSpinTheLoop) {
  server.reading = false;
  Connect();
  client.stream->Write("one");
  RunUntil([&] { return server.reads == 1; });
  client.stream->Reset();
  RunUntil([&] { return server.stream->Ended(); });
  RunTurns();
  BOOST_TEST(!g_main_context_pending(nullptr));
  server.stream->Receive();
  RunUntil([&] { return server.ends == 1; });
}

BOOST_AUTO_TEST_CASE(AStreamMayBeDestroyedWhenItIsConnected) {
  client.on_connected = [&] { client.stream.reset(); };
  client.stream = loop.Dial(listener->address(), client);
  RunUntil([&] { return client.answers == 1; });
  RunTurns();
  BOOST_TEST(client.ends == 0);
}

BOOST_AUTO_TEST_CASE(AStreamMayBeDestroyedWhenItIsRead) {
  Connect();
  server.reading = false;
  server.on_bytes = [&] { server.stream.reset(); };
  client.stream->Write("x");
  RunUntil([&] { return client.ends == 1; });
  BOOST_TEST(server.reads == 1);
}

BOOST_AUTO_TEST_CASE(AStreamMayBeDestroyedWhenItCanBeWritten) {
  Connect();
  client.on_writable = [&] { client.stream.reset(); };
  client.stream->Write(std::string(kMuch, 'm'));
  RunUntil([&] { return client.rooms == 1; });
  RunUntil([&] { return server.ends == 1; });
}

BOOST_AUTO_TEST_CASE(AClosedStreamTellsNothingThoughItsDescriptorIsUsedAnew) {
  Connect();
  client.stream->Write("for the closed one");
  RunUntil([&] { return server.reads == 1; });
  client.stream->Write("more");
  RunUntil([&] { return server.stream->Peek() == Ahead::kBytes; });
  server.stream->Close();
  // The newcomer gets the lowest free descriptor: that of the closed stream.
  User another;
  another.stream = loop.Dial(listener->address(), another);
  RunUntil([&] { return another.answers == 1; });
  another.stream->Receive();
  RunTurns();
  BOOST_TEST(another.reads == 0);
  BOOST_TEST(server.reads == 1);
}

BOOST_AUTO_TEST_CASE(WhoIsNotThereRefuses) {
  const Address gone = listener->address();
  listener.reset();
  client.stream = loop.Dial(gone, client);
  BOOST_TEST(client.answers == 0);
  RunUntil([&] { return client.answers == 1; });
  BOOST_CHECK(client.connected == Fault::kRefused);
}

BOOST_AUTO_TEST_CASE(ADialThatIsGivenUpTellsNothing) {
  client.stream = loop.Dial(listener->address(), client);
  client.stream.reset();
  RunTurns();
  BOOST_TEST(client.answers == 0);
}

// Stands before the next one, which takes the same way: sanitizers that meet a type for the first
// time need descriptors of their own.
BOOST_AUTO_TEST_CASE(ADialThatFailsAtOnceIsToldLater) {
  client.stream = loop.Dial(Address::V4(0xffffffff, 1), client);  // Broadcast: no connection ever.
  BOOST_TEST(client.answers == 0);
  RunUntil([&] { return client.answers == 1; });
  BOOST_CHECK(client.connected == Fault::kUnreachable);
}

BOOST_AUTO_TEST_CASE(ADialWithoutADescriptorIsToldLater) {
  auto none = std::make_unique<NoDescriptors>();
  client.stream = loop.Dial(listener->address(), client);
  none.reset();
  BOOST_TEST(client.answers == 0);
  RunUntil([&] { return client.answers == 1; });
  BOOST_CHECK(client.connected == Fault::kNoDescriptors);
}

BOOST_AUTO_TEST_CASE(AnAcceptWithoutADescriptorIsToldAndTheNextOneSucceeds) {
  Fault fault = Fault::kNone;
  bool told = false;
  listener->Accept([&](Fault f, StreamPtr) {
    fault = f;
    told = true;
  });
  client.stream = loop.Dial(listener->address(), client);
  auto none = std::make_unique<NoDescriptors>();
  RunUntil([&] { return told; });
  none.reset();
  BOOST_CHECK(fault == Fault::kNoDescriptors);
  RunTurns();
  BOOST_TEST(!g_main_context_pending(nullptr));  // Nobody accepts: nothing spins.
  told = false;
  listener->Accept([&](Fault f, StreamPtr stream) {
    fault = f;
    server.stream = std::move(stream);
    told = true;
  });
  RunUntil([&] { return told; });
  BOOST_CHECK(fault == Fault::kNone);
}

BOOST_AUTO_TEST_CASE(AListenerAcceptsOneAtATimeAndEndsItsAcceptWhenClosed) {
  int accepted = 0;
  listener->Accept([&](Fault, StreamPtr) { ++accepted; });
  User second;
  client.stream = loop.Dial(listener->address(), client);
  second.stream = loop.Dial(listener->address(), second);
  RunUntil([&] { return accepted == 1 && second.answers == 1; });
  RunTurns();
  BOOST_TEST(accepted == 1);
  BOOST_TEST((listener->TakeWaiting() != nullptr));
  BOOST_TEST((listener->TakeWaiting() == nullptr));
  Fault fault = Fault::kNone;
  listener->Accept([&](Fault f, StreamPtr) { fault = f; });
  listener->Close();
  BOOST_CHECK(fault == Fault::kNone);
  RunUntil([&] { return fault == Fault::kClosed; });
}

BOOST_AUTO_TEST_CASE(ATakenAddressIsAnError) {
  BOOST_CHECK_EXCEPTION(loop.Listen(listener->address()), Error,
                        [](const Error& e) { return e.fault == Fault::kOther; });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(timers, Scene)

BOOST_AUTO_TEST_CASE(TheyFireInOrderAndNeverEarly) {
  std::vector<int> order;
  const Time start = loop.Now();
  const TimerPtr second = loop.NewTimer([&] { order.push_back(2); });
  const TimerPtr first = loop.NewTimer([&] {
    BOOST_TEST((loop.Now() >= start + milliseconds(2)));
    order.push_back(1);
  });
  const TimerPtr past = loop.NewTimer([&] { order.push_back(0); });
  second->ArmAt(start + milliseconds(4));
  first->ArmAt(start + milliseconds(2));
  past->ArmAt(start - milliseconds(1));
  BOOST_TEST(order.empty());
  RunUntil([&] { return order.size() == 3; });
  BOOST_TEST((order == std::vector<int>{0, 1, 2}));
}

BOOST_AUTO_TEST_CASE(CancelledAndReArmedOnes) {
  int cancelled = 0, later = 0, sooner = 0;
  bool last = false;
  const Time start = loop.Now();
  const TimerPtr one = loop.NewTimer([&] { ++cancelled; });
  const TimerPtr two = loop.NewTimer([&] {
    ++later;
    BOOST_TEST((loop.Now() >= start + milliseconds(6)));
  });
  const TimerPtr three = loop.NewTimer([&] {
    ++sooner;
    BOOST_TEST(later == 0);
  });
  const TimerPtr end = loop.NewTimer([&] { last = true; });
  one->ArmAt(start + milliseconds(1));
  one->Cancel();
  two->ArmAt(start + milliseconds(1));
  two->ArmAt(start + milliseconds(6));
  three->ArmAt(start + milliseconds(100));
  three->ArmAt(start + milliseconds(2));
  end->ArmAt(start + milliseconds(10));
  RunUntil([&] { return last; });
  BOOST_TEST(cancelled == 0);
  BOOST_TEST(later == 1);
  BOOST_TEST(sooner == 1);
}

BOOST_AUTO_TEST_CASE(OneThatArmsItselfForThePastLeavesSocketsTheirTurn) {
  int fired = 0;
  TimerPtr timer;
  timer = loop.NewTimer([&] {
    ++fired;
    timer->ArmAt(loop.Now() - milliseconds(1));
  });
  timer->ArmAt(loop.Now());
  Connect();
  client.stream->Write("x");
  RunUntil([&] { return server.got == "x"; });
  BOOST_TEST(fired > 0);
}

BOOST_AUTO_TEST_CASE(OneMayDestroyItselfAndOthers) {
  TimerPtr one, two;
  int fired = 0;
  one = loop.NewTimer([&] {
    ++fired;
    one.reset();
    two.reset();
  });
  two = loop.NewTimer([&] { ++fired; });
  const Time at = loop.Now() + milliseconds(1);
  one->ArmAt(at);
  two->ArmAt(at + std::chrono::nanoseconds(1));
  bool last = false;
  const TimerPtr end = loop.NewTimer([&] { last = true; });
  end->ArmAt(at + milliseconds(2));
  RunUntil([&] { return last; });
  BOOST_TEST(fired == 1);
}

BOOST_AUTO_TEST_CASE(PostsRunAfterwardsInTheirOrder) {
  std::string order;
  loop.Post([&] {
    order += 'a';
    loop.Post([&] { order += 'c'; });
  });
  loop.Post([&] { order += 'b'; });
  BOOST_TEST(order.empty());
  RunUntil([&] { return order.size() == 3; });
  BOOST_TEST(order == "abc");
  BOOST_TEST(!g_main_context_pending(nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

// ---- Beside other users of the context ----

// Two ends of a connection that GLib, not the loop, watches at one end.
class Neighbour {
 public:
  Neighbour() {
    int ends[2];
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) == 0);
    watched_ = ends[0];
    other_ = ends[1];
    Watch(watched_);
  }
  ~Neighbour() {
    Unwatch();
    close(watched_);
    close(other_);
  }
  Neighbour(const Neighbour&) = delete;
  Neighbour& operator=(const Neighbour&) = delete;

  void Watch(int descriptor) {
    source_ = g_unix_fd_add(
        descriptor, G_IO_IN,
        [](gint, GIOCondition, gpointer self) -> gboolean {
          ++static_cast<Neighbour*>(self)->told;
          return G_SOURCE_CONTINUE;
        },
        this);
  }
  void Unwatch() {
    if (source_ != 0) g_source_remove(std::exchange(source_, 0));
  }
  void Send() { BOOST_REQUIRE(write(other_, "x", 1) == 1); }
  void Read() {
    char byte = 0;
    BOOST_REQUIRE(read(watched_, &byte, 1) == 1);
  }
  int descriptor() const { return watched_; }

  int told = 0;

 private:
  guint source_ = 0;
  int watched_ = -1;
  int other_ = -1;
};

BOOST_FIXTURE_TEST_SUITE(neighbours, Scene)

BOOST_AUTO_TEST_CASE(DescriptorsThatGlibWatchesAreToldBesideTheLoops) {
  Neighbour neighbour;
  Connect();
  neighbour.Send();
  client.stream->Write("x");
  RunUntil([&] { return neighbour.told > 0 && server.got == "x"; });
  neighbour.Read();
  const int told = neighbour.told;
  RunTurns();
  BOOST_TEST(neighbour.told == told);
  client.stream->Write("y");
  RunUntil([&] { return server.got == "xy"; });
  neighbour.Send();
  RunUntil([&] { return neighbour.told > told; });
}

BOOST_AUTO_TEST_CASE(ADescriptorThatGotTheNumberOfAClosedOneIsTold) {
  auto neighbour = std::make_unique<Neighbour>();
  RunTurns();
  for (int i = 0; i < 3; ++i) {
    const int before = neighbour->descriptor();
    neighbour.reset();
    neighbour = std::make_unique<Neighbour>();
    BOOST_TEST(neighbour->descriptor() == before);
    neighbour->Send();
    RunUntil([&] { return neighbour->told > 0; });
    neighbour->Read();
    RunTurns();
  }
}

BOOST_AUTO_TEST_CASE(ASocketOfTheLoopMayGetTheNumberOfAClosedNeighbour) {
  auto neighbour = std::make_unique<Neighbour>();
  RunTurns();
  neighbour.reset();
  Connect();
  client.stream->Write("x");
  RunUntil([&] { return server.got == "x"; });
  // And the other way round.
  client.stream->Close();
  RunUntil([&] { return server.ends == 1; });
  neighbour = std::make_unique<Neighbour>();
  neighbour->Send();
  RunUntil([&] { return neighbour->told > 0; });
}

BOOST_AUTO_TEST_CASE(ADescriptorThatGlibWatchesNoMoreDoesNotWakeTheLoop) {
  Neighbour neighbour;
  neighbour.Send();
  RunUntil([&] { return neighbour.told > 0; });
  neighbour.Unwatch();
  RunTurns();
  BOOST_TEST(!g_main_context_pending(nullptr));
  neighbour.Watch(neighbour.descriptor());
  const int told = neighbour.told;
  RunUntil([&] { return neighbour.told > told; });
}

BOOST_AUTO_TEST_CASE(WhatEpollCannotWatchIsWaitedForByPoll) {
  std::FILE* file = std::tmpfile();
  BOOST_REQUIRE(file != nullptr);
  {
    Neighbour neighbour;
    neighbour.Unwatch();
    neighbour.Watch(fileno(file));  // Always readable, and nothing for epoll.
    Connect();
    client.stream->Write("x");
    RunUntil([&] { return neighbour.told > 0 && server.got == "x"; });
  }
  std::fclose(file);
  client.stream->Write("y");
  RunUntil([&] { return server.got == "xy"; });
}

BOOST_AUTO_TEST_CASE(TwoLoopsShareAContext) {
  GlibLoop second;
  bool fired = false;
  const TimerPtr timer = second.NewTimer([&] { fired = true; });
  timer->ArmAt(second.Now() + milliseconds(1));
  User other;
  other.stream = second.Dial(listener->address(), other);
  Connect();
  client.stream->Write("x");
  RunUntil([&] { return fired && other.answers == 1; });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(others, Scene)

BOOST_AUTO_TEST_CASE(DatagramsComeWhole) {
  std::vector<std::string> came;
  Address from;
  DatagramsPtr to = loop.Bind(kAnyPort, [&](const Address& sender, std::string_view bytes) {
    from = sender;
    came.emplace_back(bytes);
    if (bytes == "last") to.reset();
  });
  const DatagramsPtr sender = loop.Bind(kAnyPort, [](const Address&, std::string_view) {});
  BOOST_TEST(sender->Send(to->address(), "one"));
  BOOST_TEST(sender->Send(to->address(), "last"));
  BOOST_TEST(sender->Send(to->address(), "for nobody"));
  RunUntil([&] { return came.size() == 2; });
  BOOST_TEST(came[0] == "one");
  BOOST_TEST(from.Text() == sender->address().Text());
  RunTurns();
  BOOST_TEST(came.size() == 2U);
}

BOOST_AUTO_TEST_CASE(SignalsAreToldOnTheLoop) {
  int hangups = 0;
  loop.OnSignal(SIGHUP, [&] { ++hangups; });
  raise(SIGHUP);
  BOOST_TEST(hangups == 0);
  RunUntil([&] { return hangups == 1; });
}

BOOST_AUTO_TEST_CASE(AContextThatIsRunInsideAStepTellsNothingOfTheLoop) {
  int inner = 0, outer = 0;
  loop.Post([&] {
    loop.Post([&] { ++inner; });
    RunTurns(3);
    BOOST_TEST(inner == 0);
    ++outer;
  });
  RunUntil([&] { return outer == 1 && inner == 1; });
}

BOOST_AUTO_TEST_CASE(AContextThatIsRunInsideOnBytesLosesNoOtherEvent) {
  Connect();
  int nested = 0;
  const auto run_inside = [&] {
    ++nested;
    RunTurns(3);
  };
  client.on_bytes = run_inside;
  server.on_bytes = run_inside;
  // Both are ready in one turn.
  client.stream->Write("to the server");
  server.stream->Write("to the client");
  RunUntil([&] { return server.reads == 1 && client.reads == 1; });
  BOOST_TEST(nested == 2);
  BOOST_TEST(server.got == "to the server");
  BOOST_TEST(client.got == "to the client");
}

BOOST_AUTO_TEST_CASE(RunGoesOnUntilStop) {
  int steps = 0;
  loop.Post([&] { ++steps; });
  const TimerPtr timer = loop.NewTimer([&] { loop.Stop(); });
  timer->ArmAt(loop.Now() + milliseconds(1));
  loop.Run();
  BOOST_TEST(steps == 1);
}

BOOST_AUTO_TEST_CASE(WhatOutlivesTheLoopIsHarmless) {
  auto brief = std::make_unique<GlibLoop>();
  const TimerPtr timer = brief->NewTimer([] { BOOST_ERROR("fired"); });
  timer->ArmAt(brief->Now());
  User user;
  user.stream = brief->Dial(listener->address(), user);
  brief->Post([] { BOOST_ERROR("ran"); });
  brief.reset();
  RunTurns();
  BOOST_TEST(user.answers == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace net
