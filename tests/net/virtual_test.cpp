// The virtual network does to bytes what its weather says, and nothing else.
#include "net/virtual.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace net {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kHere = 0x0a000001;
constexpr std::uint32_t kThere = 0x0a000002;
const Address kPort = Address::V4(kThere, 80);

struct User : StreamUser {
  void OnConnected(Fault f) override {
    connected = f;
    ++answers;
    if (f == Fault::kNone) stream->Receive();
  }
  void OnBytes(std::string_view bytes) override {
    got += bytes;
    ++reads;
    if (reading) stream->Receive();
  }
  void OnEnd(Fault f) override { end = f; }
  void OnWritable() override { ++rooms; }

  StreamPtr stream;
  std::string got;
  Fault connected = Fault::kNone;
  Fault end = Fault::kNone;
  int answers = 0, reads = 0, rooms = 0;
  bool reading = true;
};

class VirtualTest : public ::testing::Test {
 protected:
  VirtualTest() { Listen(); }
  ~VirtualTest() override { net.Clear(); }

  void Listen() {
    listener = there->Listen(kPort);
    Accept();
  }
  void Accept() {
    listener->Accept([this](Fault f, StreamPtr stream) {
      accept_fault = f;
      if (f != Fault::kNone) return;
      server.stream = std::move(stream);
      server.stream->SetUser(server);
      server.stream->Receive();
    });
  }
  void Connect() {
    client.stream = here.Dial(kPort, client);
    Run(milliseconds(100));
  }
  void Run(Span span) { net.RunUntil(net.Now() + span); }

  VirtualNet net{1};
  VirtualProcess here{net, kHere, "here", 16};
  std::unique_ptr<VirtualProcess> there =
      std::make_unique<VirtualProcess>(net, kThere, "there", 16);
  ListenerPtr listener;
  User client, server;
  Fault accept_fault = Fault::kNone;
};

TEST_F(VirtualTest, BytesArriveWholeAndInOrderHoweverTheyAreCut) {
  Weather w;
  w.cut = 1;
  w.late = 0.5;
  net.SetWeather(w);
  Connect();
  std::string all;
  for (int i = 0; i < 200; ++i) {
    const std::string part = std::to_string(i) + "-";
    all += part;
    ASSERT_EQ(client.stream->Write(part).bytes, part.size());
  }
  Run(milliseconds(500));
  EXPECT_EQ(server.got, all);
  EXPECT_GT(server.reads, 200);  // Pieces.
}

TEST_F(VirtualTest, ASmallWindowHoldsTheWriterUntilItIsRead) {
  Weather w;
  w.window = 10;
  net.SetWeather(w);
  server.reading = false;
  Connect();
  EXPECT_EQ(client.stream->Write("0123456789abc").bytes, 10U);
  EXPECT_EQ(client.stream->Write("x").bytes, 0U);
  Run(milliseconds(100));
  EXPECT_EQ(client.rooms, 1);  // What it asked for was read; room was told once.
  EXPECT_EQ(client.stream->Write("abc").bytes, 3U);
}

TEST_F(VirtualTest, AnEndComesAfterTheBytesAndAHalfCloseLeavesTheOtherWay) {
  Connect();
  client.stream->Write("last");
  client.stream->EndSending();
  Run(milliseconds(100));
  EXPECT_EQ(server.got, "last");
  EXPECT_EQ(server.end, Fault::kEnd);
  server.stream->Write("still");
  Run(milliseconds(100));
  EXPECT_EQ(client.got, "still");
}

TEST_F(VirtualTest, ClosingWithBytesUnreadIsAReset) {
  server.reading = false;
  Connect();
  client.stream->Write("one");
  Run(milliseconds(10));
  client.stream->Write("two");
  Run(milliseconds(10));
  EXPECT_EQ(server.stream->Peek(), Ahead::kBytes);
  server.stream->Close();
  Run(milliseconds(10));
  EXPECT_EQ(client.end, Fault::kReset);
}

TEST_F(VirtualTest, WhoIsNotThereRefusesAndWhoIsCutOffSaysNothing) {
  listener.reset();
  Connect();
  EXPECT_EQ(client.connected, Fault::kRefused);
  net.SetCutOff(kThere, true);
  client.answers = 0;
  Connect();
  Run(std::chrono::seconds(30));
  EXPECT_EQ(client.answers, 0);
}

TEST_F(VirtualTest, WhatACutHoldsUpArrivesAtItsEnd) {
  Connect();
  net.SetCut(kHere, kThere, true);
  client.stream->Write("held");
  Run(std::chrono::seconds(5));
  EXPECT_EQ(server.got, "");
  net.SetCut(kHere, kThere, false);
  Run(milliseconds(10));
  EXPECT_EQ(server.got, "held");
}

TEST_F(VirtualTest, AOneWayCutHoldsUpOneDirectionOnly) {
  Connect();
  net.SetOneWayCut(kHere, kThere, true);
  client.stream->Write("held");
  server.stream->Write("passes");
  Run(std::chrono::seconds(5));
  EXPECT_EQ(server.got, "");
  EXPECT_EQ(client.got, "passes");
  net.SetOneWayCut(kHere, kThere, false);
  Run(milliseconds(10));
  EXPECT_EQ(server.got, "held");
}

TEST_F(VirtualTest, NoConnectionComesUpOverAOneWayCut) {
  for (const bool back : {false, true}) {
    client.answers = 0;
    net.SetOneWayCut(back ? kThere : kHere, back ? kHere : kThere, true);
    Connect();
    Run(std::chrono::seconds(5));
    EXPECT_EQ(client.answers, 0);
    net.SetOneWayCut(back ? kThere : kHere, back ? kHere : kThere, false);
    Run(milliseconds(10));
    EXPECT_EQ(client.answers, 1);
  }
}

TEST_F(VirtualTest, AProcessThatDiesResetsItsConnectionsAndRunsNoMore) {
  Connect();
  bool fired = false;
  const TimerPtr timer = there->NewTimer([&] { fired = true; });
  timer->ArmAt(net.Now() + milliseconds(5));
  there->Kill();
  Run(milliseconds(100));
  EXPECT_FALSE(fired);
  EXPECT_EQ(client.end, Fault::kReset);
}

TEST_F(VirtualTest, WhatIsWrittenOnAForgottenConnectionBreaksIt) {
  Connect();
  net.ForgetIdle(kHere, kThere);
  EXPECT_EQ(client.stream->Peek(), Ahead::kNothing);  // No sign of it before the write.
  EXPECT_EQ(client.stream->Write("lost").bytes, 4U);
  Run(milliseconds(100));
  EXPECT_EQ(server.got, "");
  EXPECT_EQ(client.end, Fault::kReset);
  EXPECT_TRUE(VirtualNet::BrokenByNet(*client.stream));
}

TEST_F(VirtualTest, DescriptorsRunOutOnBothSides) {
  there->SetDescriptors(1);  // Its listener's.
  Connect();
  EXPECT_EQ(accept_fault, Fault::kNoDescriptors);
  here.SetDescriptors(1);
  User second;
  second.stream = here.Dial(kPort, second);
  Run(milliseconds(10));
  EXPECT_EQ(second.connected, Fault::kNoDescriptors);
}

TEST_F(VirtualTest, ACloseCanBeMadeToArriveAtAnInstant) {
  Connect();
  const Time at = net.Now() + milliseconds(7);
  VirtualNet::CloseArriving(*client.stream, at);
  net.RunUntil(at - std::chrono::nanoseconds(1));
  EXPECT_EQ(server.end, Fault::kNone);
  net.RunUntil(at);
  EXPECT_EQ(server.end, Fault::kEnd);
}

TEST_F(VirtualTest, APausedProcessDoesEverythingAfterwards) {
  Connect();
  there->SetPaused(true);
  client.stream->Write("later");
  Run(std::chrono::seconds(1));
  EXPECT_EQ(server.got, "");
  there->SetPaused(false);
  Run(milliseconds(1));
  EXPECT_EQ(server.got, "later");
}

TEST_F(VirtualTest, ACancelledTimerDoesNotFireAndOneArmedAnewFiresOnce) {
  int fired = 0;
  const TimerPtr timer = here.NewTimer([&] { ++fired; });
  timer->ArmAt(net.Now() + milliseconds(1));
  timer->Cancel();
  Run(milliseconds(5));
  EXPECT_EQ(fired, 0);
  timer->ArmAt(net.Now() + milliseconds(1));
  timer->ArmAt(net.Now() + milliseconds(2));
  Run(milliseconds(5));
  EXPECT_EQ(fired, 1);
}

TEST_F(VirtualTest, TimeThatDoesNotMoveIsDetected) {
  net.SetMostAtOnce(1000);
  TimerPtr timer;
  timer = here.NewTimer([&] { timer->ArmAt(here.Now()); });
  timer->ArmAt(net.Now() + milliseconds(1));
  EXPECT_THROW(Run(milliseconds(5)), TimeStands);
}

TEST_F(VirtualTest, TimeThatCreepsByNanosecondsIsDetectedToo) {
  net.SetMostAtOnce(1000);
  TimerPtr timer;
  timer = here.NewTimer([&] { timer->ArmAt(here.Now() + std::chrono::nanoseconds(1)); });
  timer->ArmAt(net.Now() + milliseconds(1));
  EXPECT_THROW(Run(milliseconds(5)), TimeStands);
}

TEST_F(VirtualTest, DatagramsAreLostRepeatedAndCut) {
  int came = 0;
  const DatagramsPtr to = there->Bind(Address::V4(kThere, 90), [&](const Address&, auto text) {
    EXPECT_EQ(text, "hello");
    ++came;
  });
  const DatagramsPtr from = here.Bind(Address::V4(kHere, 91), [](const Address&, auto) {});
  Weather w;
  const auto send = [&] {
    came = 0;
    net.SetWeather(w);
    for (int i = 0; i < 100; ++i) from->Send(to->address(), "hello");
    Run(milliseconds(100));
    return came;
  };
  EXPECT_EQ(send(), 100);
  w.lose = 1;
  EXPECT_EQ(send(), 0);
  w.lose = 0;
  w.repeat = 1;
  EXPECT_EQ(send(), 200);
  net.SetCut(kHere, kThere, true);
  EXPECT_EQ(send(), 0);
}

TEST_F(VirtualTest, AStepOfTheWallClockMovesNothingElse) {
  const auto wall = here.WallMicros();
  const Time now = here.Now();
  here.StepWall(-3'600'000'000);
  EXPECT_EQ(here.WallMicros(), wall - 3'600'000'000);
  EXPECT_EQ(here.Now(), now);
}

}  // namespace
}  // namespace net
