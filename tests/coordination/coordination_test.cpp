// The store over its published wire: the words as they are published, calls whose answers come, are
// lost, or cannot be understood, watches, and a stand-in that comes back with what it acknowledged.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "coordination/http_store.h"
#include "coordination/stand_in.h"
#include "coordination/view.h"
#include "coordination/wire.h"
#include "net/virtual.h"

namespace coordination {
namespace {

using Json = nlohmann::json;

// ---- The words ----

TEST(Base64, IsTheOneThatIsPublished) {
  const std::map<std::string, std::string> pairs = {{"", ""},
                                                    {"f", "Zg=="},
                                                    {"fo", "Zm8="},
                                                    {"foo", "Zm9v"},
                                                    {"bar", "YmFy"},
                                                    {"foobar", "Zm9vYmFy"},
                                                    {std::string("\0\xff", 2), "AP8="}};
  for (const auto& [bytes, text] : pairs) {
    EXPECT_EQ(wire::ToBase64(bytes), text);
    EXPECT_EQ(wire::FromBase64(text), bytes);
  }
  for (const char* bad : {"Zg", "Zg=", "Z===", "====", "Zg==Zg==", "Zm9*", "Z=9v"}) {
    EXPECT_THROW(wire::FromBase64(bad), wire::BadWire) << bad;
  }
}

// As the interface's own pages show them.
TEST(Wire, ReadsCallsAndAnswersInEitherSpelling) {
  const Txn txn = wire::TxnOf(Json::parse(
      R"({"compare":[{"createRevision":"2","target":"CREATE","key":"Zm9v"}],
          "success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}]})"));
  ASSERT_EQ(txn.compares.size(), 1U);
  EXPECT_EQ(txn.compares[0].of, Compare::Of::kCreated);
  EXPECT_EQ(txn.compares[0].is, Compare::Is::kEqual);
  EXPECT_EQ(txn.compares[0].key, "foo");
  EXPECT_EQ(txn.compares[0].number, 2);
  ASSERT_EQ(txn.then.size(), 1U);
  EXPECT_EQ(txn.then[0].what, Operation::What::kPut);
  EXPECT_EQ(txn.then[0].value, "bar");
  const Done done = wire::DoneOf(Json::parse(
      R"({"header":{"cluster_id":"12585971608760269493","revision":"3","raft_term":"2"},
          "succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}},
          {"response_range":{"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"3",
            "version":"2","value":"YmFy"}],"count":"1"}}]})"));
  EXPECT_TRUE(done.succeeded);
  EXPECT_EQ(done.revision, 3);
  ASSERT_EQ(done.found.size(), 2U);
  ASSERT_EQ(done.found[1].size(), 1U);
  EXPECT_EQ(done.found[1][0].created, 2);
  EXPECT_EQ(done.found[1][0].lease, 0);
  const wire::Told told = wire::ToldOf(Json::parse(
      R"({"result":{"header":{"revision":"3"},"events":[{"kv":{"key":"Zm9v",
          "create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}},
          {"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"3"}}]}})"));
  ASSERT_EQ(told.events.size(), 2U);
  EXPECT_FALSE(told.events[0].gone);
  EXPECT_TRUE(told.events[1].gone);
}

TEST(Wire, ComesBackAsItWas) {
  Txn txn;
  txn.compares = {{"a", Compare::Of::kModified, Compare::Is::kGreater, 7},
                  {"b", Compare::Of::kValue, Compare::Is::kNotEqual, 0, std::string("\0x", 2)}};
  txn.then = {{Operation::What::kPut, {"a"}, "v", 9}, {Operation::What::kDelete, {"a", "c"}}};
  txn.otherwise = {{Operation::What::kRange, {"a", "c"}}};
  EXPECT_EQ(wire::JsonOf(wire::TxnOf(wire::JsonOf(txn))), wire::JsonOf(txn));
  const wire::WatchOrder order = wire::WatchOrderOf(wire::JsonOf(wire::WatchOrder{{"a", "b"}, 5}));
  EXPECT_EQ(order.range.end, "b");
  EXPECT_EQ(order.from, 5);
}

TEST(Wire, SaysWhatItCannotUnderstand) {
  for (const char* bad :
       {R"([])", R"({})", R"({"header":{}})", R"({"header":{"revision":"x"}})",
        R"({"header":{"revision":"2"},"responses":{}})",
        R"({"header":{"revision":"2"},"responses":[{"response_range":{"kvs":[{"key":7}]}}]})",
        R"({"header":{"revision":"2"},"succeeded":"yes"})",
        R"({"header":{"revision":"99999999999999999999"}})"}) {
    EXPECT_THROW(wire::DoneOf(Json::parse(bad)), wire::BadWire) << bad;
  }
  EXPECT_THROW(wire::TxnOf(Json::parse(R"({"compare":[{"target":"SIZE"}]})")), wire::BadWire);
  EXPECT_THROW(wire::ToldOf(Json::parse(R"({"error":{"code":14}})")), wire::BadWire);
}

// ---- On the virtual network ----

constexpr std::uint32_t kStoreHost = 0x0a000001;
constexpr std::uint32_t kUserHost = 0x0a000009;

net::Address At(std::uint32_t host) { return net::Address::V4(host, 2379); }

struct World {
  explicit World(std::uint64_t seed = 1) : net(seed) { Restart(); }
  ~World() {
    users.clear();
    stand_in.reset();
    net.Clear();
  }

  void Restart() {
    stand_in.reset();
    if (!processes.empty()) processes.back()->Kill();
    processes.push_back(std::make_unique<net::VirtualProcess>(
        net, kStoreHost, "store" + std::to_string(processes.size()), 5000));
    stand_in = std::make_unique<StandIn>(*processes.back(), At(kStoreHost), 1,
                                         [this](const std::string& l) { journal += l + '\n'; });
    const std::string before = journal;
    stand_in->Play(before);
  }

  HttpStore& User(std::vector<net::Address> servers = {At(kStoreHost)}) {
    HttpStore::Setup setup;
    setup.servers = std::move(servers);
    setup.log = [this](const std::string& line) { log.push_back(line); };
    users.push_back(std::make_unique<HttpStore>(user, std::move(setup)));
    return *users.back();
  }

  void Pass(std::chrono::milliseconds span) { net.RunUntil(net.Now() + span); }

  template <typename T, typename Call>
  Answer<T> Get(const Call& call) {
    int times = 0;
    Answer<T> got;
    call([&](const Answer<T>& answer) {
      got = answer;
      ++times;
    });
    EXPECT_EQ(times, 0) << "told from inside the call";
    Pass(std::chrono::milliseconds(1100));
    EXPECT_EQ(times, 1);
    return got;
  }
  Answer<Done> Commit(HttpStore& store, const Txn& txn) {
    return Get<Done>([&](auto then) { store.Commit(txn, then); });
  }

  net::VirtualNet net;
  std::vector<std::unique_ptr<net::VirtualProcess>> processes;
  net::VirtualProcess user{net, kUserHost, "user", 256};
  std::string journal;
  std::unique_ptr<StandIn> stand_in;
  std::vector<std::unique_ptr<HttpStore>> users;
  std::vector<std::string> log;
};

Txn Put(const std::string& key, const std::string& value, LeaseId lease = 0) {
  Txn txn;
  txn.then = {{Operation::What::kPut, {key}, value, lease}};
  return txn;
}

Txn Read(const Range& range) {
  Txn txn;
  txn.then = {{Operation::What::kRange, range}};
  return txn;
}

TEST(HttpStore, WritesReadsComparesAndIsRefused) {
  World w;
  HttpStore& store = w.User();
  const auto put = w.Commit(store, Put("a/1", "x"));
  ASSERT_TRUE(put.done());
  EXPECT_EQ(put.value.revision, 2);
  Txn claim = Put("a/1", "y");
  claim.compares = {{"a/1", Compare::Of::kCreated, Compare::Is::kEqual, 0}};
  claim.otherwise = {{Operation::What::kRange, {"a/1"}}};
  const auto lost = w.Commit(store, claim);
  ASSERT_TRUE(lost.done());
  EXPECT_FALSE(lost.value.succeeded);
  ASSERT_EQ(lost.value.found.size(), 1U);
  EXPECT_EQ(lost.value.found[0].at(0).value, "x");
  EXPECT_EQ(w.Commit(store, Put("a/2", "z", 77)).fate, Fate::kRefused);
  EXPECT_EQ(w.Commit(store, Read(Prefix("a/"))).value.found.at(0).size(), 1U);
}

TEST(HttpStore, LeasesAreGrantedKeptRevokedAndRunOut) {
  World w;
  HttpStore& store = w.User();
  const auto lease = w.Get<Lease>([&](auto then) { store.Grant(2'500'000, then); });
  ASSERT_TRUE(lease.done());
  EXPECT_EQ(lease.value.ttl, 3'000'000);  // In whole seconds.
  ASSERT_TRUE(w.Commit(store, Put("k", "v", lease.value.id)).done());
  const auto kept = w.Get<Lease>([&](auto then) { store.KeepAlive(lease.value.id, then); });
  EXPECT_EQ(kept.value.id, lease.value.id);
  EXPECT_EQ(w.Commit(store, Read({"k"})).value.found.at(0).size(), 1U);  // 3.3 s after the grant.
  w.Pass(std::chrono::milliseconds(2000));
  EXPECT_EQ(w.Commit(store, Read({"k"})).value.found.at(0).size(), 0U);
  const auto gone = w.Get<Lease>([&](auto then) { store.KeepAlive(lease.value.id, then); });
  ASSERT_TRUE(gone.done());
  EXPECT_EQ(gone.value.id, 0);
  const auto revoked = w.Get<bool>([&](auto then) { store.Revoke(lease.value.id, then); });
  ASSERT_TRUE(revoked.done());
  EXPECT_FALSE(revoked.value);
}

// The effect is there, the answer is not: nobody may take that for a failure.
TEST(HttpStore, AnAnswerThatIsLostOrLateIsUnknown) {
  World w;
  HttpStore& store = w.User();
  StandIn::Faults lose;
  lose.lose = 1;
  w.stand_in->SetFaults(lose);
  EXPECT_EQ(w.Commit(store, Put("a", "1")).fate, Fate::kUnknown);
  StandIn::Faults late;
  late.late = 1'500'000;
  w.stand_in->SetFaults(late);
  EXPECT_EQ(w.Commit(store, Put("b", "1")).fate, Fate::kUnknown);
  w.stand_in->SetFaults({});
  EXPECT_EQ(w.Commit(store, Read({"a", "c"})).value.found.at(0).size(), 2U);
  EXPECT_EQ(w.log.size(), 1U) << "logged once until a call goes well";
}

TEST(HttpStore, WhatWasNeverSentIsRefusedAndGoesToTheNextAddressFirst) {
  World w;
  HttpStore& two = w.User({At(0x0a000005), At(kStoreHost)});
  EXPECT_TRUE(w.Commit(two, Put("a", "1")).done());
  HttpStore& none = w.User({At(0x0a000005), At(0x0a000006)});
  EXPECT_EQ(w.Commit(none, Put("a", "2")).fate, Fate::kRefused);
  EXPECT_EQ(w.Commit(two, Read({"a"})).value.found.at(0).at(0).value, "1");
}

TEST(HttpStore, AfterNoAnswerTheNextCallGoesToTheNextAddress) {
  World w;
  net::VirtualProcess mute(w.net, 0x0a000005, "mute", 64);
  const auto listener = mute.Listen(At(0x0a000005));  // Takes connections in and never reads.
  HttpStore& store = w.User({At(0x0a000005), At(kStoreHost)});
  EXPECT_EQ(w.Commit(store, Put("a", "1")).fate, Fate::kUnknown);
  EXPECT_TRUE(w.Commit(store, Put("a", "2")).done());
  w.users.clear();
}

TEST(HttpStore, BoundsItsCalls) {
  World w;
  HttpStore& store = w.User();
  std::map<Fate, int> fates;
  for (std::size_t i = 0; i < HttpStore::kCalls + 3; ++i) {
    store.Commit(Put("k" + std::to_string(i), "v"),
                 [&](const Answer<Done>& a) { ++fates[a.fate]; });
  }
  w.Pass(std::chrono::milliseconds(2000));
  EXPECT_EQ(fates[Fate::kDone], 64);
  EXPECT_EQ(fates[Fate::kRefused], 3);
  EXPECT_LE(w.user.most_descriptors_held(), HttpStore::kDescriptors);
}

// Whoever says such things is no store: an error of that call, and nothing else happens.
TEST(HttpStore, RubbishIsUnknown) {
  for (const std::string answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "SSH-2.0-x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n"}) {
    World w;
    net::VirtualProcess other(w.net, 0x0a000005, "other", 64);
    struct User : net::StreamUser {
      void OnBytes(std::string_view) override { stream->Write(text); }
      void OnEnd(net::Fault) override {}
      net::StreamPtr stream;
      std::string text;
    } user;
    user.text = answer;
    const auto listener = other.Listen(At(0x0a000005));
    listener->Accept([&](net::Fault, net::StreamPtr stream) {
      user.stream = std::move(stream);
      user.stream->SetUser(user);
      user.stream->Receive();
    });
    EXPECT_EQ(w.Commit(w.User({At(0x0a000005)}), Put("a", "1")).fate, Fate::kUnknown) << answer;
    EXPECT_EQ(w.log.size(), 1U);
    w.users.clear();
    user.stream.reset();
  }
}

// ---- A view ----

TEST(View, FollowsWhatHappensThroughDropsAndCompaction) {
  World w;
  HttpStore& store = w.User();
  ASSERT_TRUE(w.Commit(store, Put("a/1", "x")).done());
  int changes = 0;
  View view(w.user, store, Prefix("a/"), 1, [&] { ++changes; });
  w.Pass(std::chrono::milliseconds(500));
  ASSERT_TRUE(view.known());
  EXPECT_EQ(changes, 1);
  w.Commit(store, Put("a/2", "y"));
  w.Commit(store, Put("b/1", "n"));
  ASSERT_NE(view.Find("a/2"), nullptr);
  EXPECT_EQ(view.Find("b/1"), nullptr);
  EXPECT_EQ(changes, 2);
  // A dropped watch goes on from where it stood.
  w.stand_in->DropWatches();
  w.Commit(store, Put("a/2", "z"));
  EXPECT_EQ(view.Find("a/2")->value, "z");
  EXPECT_EQ(view.reads(), 1U);
  // What was compacted away while it was cut off is read anew.
  w.net.SetCut(kStoreHost, kUserHost, true);
  w.stand_in->DropWatches();
  HttpStore::Setup setup;
  setup.servers = {At(kStoreHost)};
  net::VirtualProcess other(w.net, 0x0a000007, "other", 64);
  HttpStore beside(other, std::move(setup));
  Txn gone;
  gone.then = {{Operation::What::kDelete, {"a/1"}}};
  ASSERT_TRUE(w.Commit(beside, gone).done());
  w.stand_in->Compact();
  w.net.SetCut(kStoreHost, kUserHost, false);
  w.Pass(std::chrono::seconds(20));
  EXPECT_EQ(view.Find("a/1"), nullptr);
  EXPECT_EQ(view.reads(), 2U);
  EXPECT_EQ(view.entries().size(), 1U);
}

// Revisions that begin anew say nothing of what was before: fences would go down.
TEST(View, OfAStoreThatLostWhatItHadKeepsWhatItKnowsAndSaysSo) {
  World w;
  HttpStore& store = w.User();
  for (const char* value : {"1", "2", "3"}) ASSERT_TRUE(w.Commit(store, Put("a/1", value)).done());
  View view(w.user, store, Prefix("a/"), 1, [] {});
  w.Pass(std::chrono::milliseconds(500));
  ASSERT_TRUE(view.following());
  w.journal.clear();
  w.Restart();
  w.Commit(store, Put("a/2", "x"));
  w.Pass(std::chrono::seconds(10));
  w.stand_in->Compact();
  w.Pass(std::chrono::seconds(20));
  EXPECT_GT(view.went_back(), 0U);
  EXPECT_FALSE(view.following());
  ASSERT_NE(view.Find("a/1"), nullptr);
  EXPECT_EQ(view.Find("a/2"), nullptr);
}

TEST(View, OfADeadConnectionFollowsAgain) {
  World w;
  HttpStore& store = w.User();
  View view(w.user, store, Prefix("a/"), 1, [] {});
  w.Pass(std::chrono::milliseconds(500));
  w.net.ForgetIdle(kStoreHost, kUserHost);
  Txn put = Put("a/1", "x");
  w.Commit(store, put);
  w.Commit(store, put);
  w.Pass(std::chrono::seconds(32));
  ASSERT_NE(view.Find("a/1"), nullptr);
}

TEST(StandIn, ComesBackWithAllThatItAcknowledgedAndLeasesForTheirWholeTime) {
  World w;
  HttpStore& store = w.User();
  const auto lease = w.Get<Lease>([&](auto then) { store.Grant(10'000'000, then); });
  ASSERT_TRUE(w.Commit(store, Put("held", "v", lease.value.id)).done());
  ASSERT_TRUE(w.Commit(store, Put("kept", "1")).done());
  const std::string words = [&] {
    w.Restart();
    return w.stand_in->model().Words();
  }();
  w.journal += R"({"txn":{"succ)";  // Cut while it was written.
  w.Restart();
  EXPECT_EQ(w.stand_in->model().Words(), words);
  w.Commit(store, Read({"held"}));  // The old connection is broken.
  w.Pass(std::chrono::milliseconds(7000));
  // 12.5 s after the grant, 9.2 s after the return.
  EXPECT_EQ(w.Commit(store, Read({"held"})).value.found.at(0).size(), 1U);
  w.Pass(std::chrono::milliseconds(1000));
  EXPECT_EQ(w.Commit(store, Read({"held"})).value.found.at(0).size(), 0U);
  EXPECT_EQ(w.Commit(store, Read({"kept"})).value.found.at(0).size(), 1U);
}

TEST(StandIn, SaysWhatFaultsItKnows) {
  EXPECT_EQ(StandIn::FaultsOf(Json::parse(R"({"late_ms":30,"lose":0.5})")).late, 30'000);
  for (const char* bad : {R"([])", R"({"late":1})", R"({"lose":1.5})", R"({"stall_ms":-1})"}) {
    EXPECT_THROW(StandIn::FaultsOf(Json::parse(bad)), wire::BadWire) << bad;
  }
}

}  // namespace
}  // namespace coordination
