// The store in a folder: several users at once, on real disk and clock, one after the other or
// together; what is torn, foreign or not understood; one that is killed at any point.
#include "state/shared_store.h"

#include <gtest/gtest.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/view.h"
#include "net/sockets.h"
#include "state/store.h"

namespace state {
namespace {

using coordination::Answer;
using coordination::Compare;
using coordination::Done;
using coordination::Fate;
using coordination::Lease;
using coordination::Operation;
using coordination::Txn;

class Folder {
 public:
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "shared-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }
  std::string file() const { return path_ + "/coordination.sqlite"; }

 private:
  std::string path_;
};

struct User {
  explicit User(const std::string& folder, std::size_t events = SharedStore::kEvents)
      : store(std::make_unique<SharedStore>(
            loop, SharedStore::Setup{folder, 5'000'000,
                                     [this](const std::string& l) { log.push_back(l); }, events})) {
  }

  template <typename T, typename Call>
  Answer<T> Get(const Call& call) {
    std::optional<Answer<T>> got;
    call([&](const Answer<T>& answer) { got = answer; });
    EXPECT_FALSE(got) << "told from inside the call";
    Until([&] { return got.has_value(); });
    return got.value_or(Answer<T>{});
  }
  // Only a failing test waits as long.
  bool Until(const std::function<bool()>& there) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!there() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_for(std::chrono::milliseconds(1));
    }
    return there();
  }
  Answer<Done> Commit(const Txn& txn) {
    return Get<Done>([&](auto then) { store->Commit(txn, then); });
  }
  Answer<Lease> Grant(Micros ttl) {
    return Get<Lease>([&](auto then) { store->Grant(ttl, then); });
  }

  boost::asio::io_context io{1};
  net::SocketLoop loop{io};
  std::vector<std::string> log;
  std::unique_ptr<SharedStore> store;
};

Txn Put(const std::string& key, const std::string& value, coordination::LeaseId lease = 0) {
  Txn txn;
  txn.then = {{Operation::What::kPut, {key}, value, lease}};
  return txn;
}
Txn Read(const std::string& key) {
  Txn txn;
  txn.then = {{Operation::What::kRange, {key}}};
  return txn;
}
Txn Claim(const std::string& key, const std::string& who) {
  Txn txn = Put(key, who);
  txn.compares = {{key, Compare::Of::kCreated, Compare::Is::kEqual, 0}};
  txn.otherwise = Read(key).then;
  return txn;
}

TEST(SharedStore, WhatOneWritesTheOthersReadAndFollow) {
  const Folder folder;
  User a(folder.path());
  User b(folder.path());
  int changes = 0;
  coordination::View view(b.loop, *b.store, coordination::Prefix("k/"), 1, [&] { ++changes; });
  ASSERT_TRUE(b.Until([&] { return view.following(); }));
  const auto first = a.Commit(Claim("k/1", "a"));
  ASSERT_TRUE(first.done());
  EXPECT_TRUE(first.value.succeeded);
  const auto second = b.Commit(Claim("k/1", "b"));
  ASSERT_TRUE(second.done());
  EXPECT_FALSE(second.value.succeeded);
  EXPECT_EQ(second.value.found.at(0).at(0).value, "a");
  EXPECT_TRUE(b.Until([&] { return view.Find("k/1") != nullptr; }));
  EXPECT_EQ(b.Commit(Put("k/2", "x", 99)).fate, Fate::kRefused);
  EXPECT_EQ(b.log.size(), 1U);
}

TEST(SharedStore, ALeaseRunsOutForAllAndItsKeyGoesWithIt) {
  const Folder folder;
  User a(folder.path());
  User b(folder.path());
  coordination::View view(b.loop, *b.store, coordination::Prefix("k"), 1, [] {});
  const auto lease = a.Grant(300'000);
  ASSERT_TRUE(lease.done());
  ASSERT_TRUE(a.Commit(Put("k", "v", lease.value.id)).done());
  ASSERT_TRUE(b.Until([&] { return view.Find("k") != nullptr; }));
  // Nobody asks for anything: whoever watches sees it go.
  EXPECT_TRUE(b.Until([&] { return view.Find("k") == nullptr; }));
  const auto gone = a.Get<Lease>([&](auto then) { a.store->KeepAlive(lease.value.id, then); });
  ASSERT_TRUE(gone.done());
  EXPECT_EQ(gone.value.id, 0);
}

TEST(SharedStore, OldEventsAreForgottenAndAViewReadsAnew) {
  const Folder folder;
  User a(folder.path(), 20);
  for (std::size_t i = 0; i < 25; ++i) {
    ASSERT_TRUE(a.Commit(Put("k", std::to_string(i))).done());
  }
  std::optional<coordination::Revision> compacted;
  const auto watch = a.store->Open({"k"}, 2,
                                   {[](const auto&, auto) { ADD_FAILURE() << "what is forgotten"; },
                                    [&](coordination::Revision upto) { compacted = upto; },
                                    [](const std::string& why) { ADD_FAILURE() << why; }});
  EXPECT_TRUE(a.Until([&] { return compacted.has_value(); }));
}

// Whatever a killed process had been told is there, and what it was writing is whole or not at all.
TEST(SharedStore, OfAProcessThatIsKilledWhileItWritesNothingIsHalfThere) {
  for (int round = 0; round < 8; ++round) {
    const Folder folder;
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    const pid_t child = ::fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
      User writer(folder.path());
      for (int i = 1;; ++i) {
        Txn txn = Put("a", std::to_string(i));
        txn.then.push_back({Operation::What::kPut, {"b"}, std::to_string(i), 0});
        if (!writer.Commit(txn).done()) ::_exit(1);
        const auto byte = static_cast<char>(i);
        if (::write(pipe[1], &byte, 1) != 1) ::_exit(1);
      }
    }
    char told = 0;
    for (int i = 0; i <= round; ++i) ASSERT_EQ(::read(pipe[0], &told, 1), 1);
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    ::close(pipe[1]);
    for (char more = 0; ::read(pipe[0], &more, 1) == 1;) told = more;
    ::close(pipe[0]);
    User reader(folder.path());
    const auto a = reader.Commit(Read("a"));
    const auto b = reader.Commit(Read("b"));
    ASSERT_TRUE(a.done()) << a.why;
    ASSERT_EQ(a.value.found.at(0).size(), 1U);
    EXPECT_EQ(a.value.found[0][0].value, b.value.found.at(0).at(0).value);
    EXPECT_GE(std::stoi(a.value.found[0][0].value), told);
  }
}

TEST(SharedStore, AFileThatIsNoneRefusesAndIsLeftAsItIs) {
  for (const std::string kind : {"garbage", "foreign", "rubbish"}) {
    SCOPED_TRACE(kind);
    const Folder folder;
    if (kind == "garbage") {
      std::ofstream(folder.file()) << std::string(5000, 'x');
    } else {
      sqlite3* db = nullptr;
      ASSERT_EQ(sqlite3_open(folder.file().c_str(), &db), SQLITE_OK);
      const std::string make = kind == "foreign"
                                   ? "CREATE TABLE mine (x)"
                                   : "PRAGMA application_id = 1802265455; PRAGMA user_version = 1;"
                                     "CREATE TABLE store (one INTEGER PRIMARY KEY, boot TEXT, "
                                     "image TEXT); INSERT INTO store VALUES (1, '', '{]')";
      ASSERT_EQ(sqlite3_exec(db, make.c_str(), nullptr, nullptr, nullptr), SQLITE_OK);
      sqlite3_close(db);
    }
    const auto size = std::filesystem::file_size(folder.file());
    User a(folder.path());
    EXPECT_EQ(a.Commit(Put("a", "1")).fate, Fate::kRefused);
    EXPECT_EQ(a.Commit(Put("a", "1")).fate, Fate::kRefused);
    EXPECT_EQ(a.log.size(), 1U);
    EXPECT_EQ(std::filesystem::file_size(folder.file()), size);
  }
}

TEST(SharedStore, AFolderThatCannotBeUsedIsNamed) {
  const Folder folder;
  boost::asio::io_context io(1);
  net::SocketLoop loop(io);
  std::ofstream(folder.path() + "/file") << "x";
  std::filesystem::create_symlink(folder.path(), folder.path() + "/link");
  for (const char* name : {"/none", "/file", "/link"}) {
    try {
      SharedStore store(loop, {folder.path() + name, 1'000'000, nullptr});
      ADD_FAILURE() << name;
    } catch (const BadFolder& e) {
      EXPECT_NE(std::string(e.what()).find(name), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace state
