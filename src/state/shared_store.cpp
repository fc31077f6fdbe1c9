#include "state/shared_store.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/wire.h"
#include "state/moment.h"
#include "state/sqlite.h"
#include "state/store.h"

namespace state {

using coordination::Answer;
using coordination::Fate;
using coordination::Lease;
using coordination::LeaseId;
using coordination::Model;
using coordination::Revision;
using coordination::Then;
using coordination::Txn;
using coordination::Watch;
using Json = nlohmann::json;

namespace {

constexpr int kApplication = 0x6b6c636f;  // "klco"
constexpr int kSchema = 1;
constexpr int kBusyMs = 500;
// How soon the loop hears of what the disk's thread has done, and how soon a watch of a change.
constexpr auto kSoon = std::chrono::milliseconds(2);
constexpr auto kLook = std::chrono::milliseconds(50);

// What cannot be done on the disk, and whether that is certain.
struct DiskFault {
  Fate fate;
  std::string why;
};

// Whether there is a row, or that it is done.
bool Row(sqlite3* db, Statement& statement) {
  const int code = statement.Step();
  if (code == SQLITE_ROW) return true;
  if (code == SQLITE_DONE) return false;
  throw DiskFault{Fate::kRefused, sqlite3_errmsg(db)};
}

std::int64_t NumberOf(sqlite3* db, const char* text) {
  Statement s(db, text);
  return Row(db, s) ? s.Number(0) : -1;
}

}  // namespace

// The database, used by one thread. What it throws left nothing done, save where it says that this
// is not known.
class SharedStore::Disk {
 public:
  Disk(std::string path, std::size_t events) : path_(std::move(path)), events_(events) {}
  ~Disk() { sqlite3_close(db_); }
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;

  // Throws DiskFault.
  void Do(const Step& step, bool writes) {
    Open();
    // Most looks find that nobody has changed anything.
    if (!writes && fresh_ && NumberOf(db_, "PRAGMA data_version") == version_ &&
        model_.next() > Here().uptime) {
      return step(model_, Here().uptime);
    }
    Run("BEGIN IMMEDIATE");
    try {
      Read();
      const Micros now = Here().uptime;
      model_.Advance(now);
      step(model_, now);
      if (const Revision from = model_.OldestOf(events_); from > model_.compacted() + 1) {
        model_.Compact(from - 1);
      }
      Write();
    } catch (...) {
      fresh_ = false;
      sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
      throw;
    }
    if (sqlite3_exec(db_, "COMMIT", nullptr, nullptr, nullptr) != SQLITE_OK) {
      fresh_ = false;
      const std::string why = sqlite3_errmsg(db_);
      sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
      throw DiskFault{Fate::kUnknown, why};
    }
    version_ = NumberOf(db_, "PRAGMA data_version");
  }

 private:
  void Run(const char* text) {
    if (sqlite3_exec(db_, text, nullptr, nullptr, nullptr) != SQLITE_OK) {
      throw DiskFault{Fate::kRefused, path_ + ": " + sqlite3_errmsg(db_)};
    }
  }

  void Open() {
    if (db_ != nullptr) return;
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOFOLLOW;
    sqlite3* db = nullptr;
    const int code = sqlite3_open_v2(path_.c_str(), &db, flags, nullptr);
    db_ = db;
    try {
      if (code != SQLITE_OK) throw DiskFault{Fate::kRefused, path_ + ": cannot be opened"};
      sqlite3_busy_timeout(db_, kBusyMs);
      Run("PRAGMA synchronous = FULL");
      Run("BEGIN IMMEDIATE");
      Prepare();
      Run("COMMIT");
    } catch (...) {
      sqlite3_close(std::exchange(db_, nullptr));
      throw;
    }
  }

  void Prepare() {
    const std::int64_t owner = NumberOf(db_, "PRAGMA application_id");
    const bool empty = NumberOf(db_, "SELECT count(*) FROM sqlite_master") == 0;
    if (empty && owner == 0) {
      Run(("PRAGMA application_id = " + std::to_string(kApplication)).c_str());
      Run(("PRAGMA user_version = " + std::to_string(kSchema)).c_str());
      return Run(
          "CREATE TABLE store (one INTEGER PRIMARY KEY CHECK (one = 1), boot TEXT NOT NULL, "
          "image TEXT NOT NULL)");
    }
    if (owner != kApplication || NumberOf(db_, "PRAGMA user_version") != kSchema) {
      throw DiskFault{Fate::kRefused, path_ + ": expected a coordination store of schema 1"};
    }
  }

  void Read() {
    Statement row(db_, "SELECT boot, image FROM store WHERE one = 1");
    if (!Row(db_, row)) {
      if (!image_.empty()) model_ = Model();
      image_.clear();
      fresh_ = true;
      return;
    }
    const std::string image = row.Text(1);
    if (!fresh_ || image != image_) {
      try {
        model_ = Model(coordination::wire::ImageOf(Json::parse(image)));
      } catch (const std::exception& e) {
        throw DiskFault{Fate::kRefused, path_ + ": not understood: " + e.what()};
      }
      image_ = image;
      fresh_ = true;
    }
    // Times since another start of the machine say nothing.
    if (row.Text(0) != Here().boot) model_.Resume(Here().uptime);
  }

  void Write() {
    std::string image = coordination::wire::JsonOf(model_.image()).dump();
    if (image == image_) return;
    if (image.size() > kMostBytes) throw DiskFault{Fate::kRefused, path_ + ": over 4 MiB"};
    Statement put(db_, "INSERT OR REPLACE INTO store VALUES (1, ?, ?)");
    const std::string boot = Here().boot;
    put.Bind(1, boot);
    put.Bind(2, image);
    Row(db_, put);
    image_ = std::move(image);
  }

  std::string path_;
  std::size_t events_;
  sqlite3* db_ = nullptr;
  Model model_;
  std::string image_;          // Of which the model is.
  bool fresh_ = false;         // The model is as the database had it last.
  std::int64_t version_ = -1;  // Of the database, when it was.
};

class SharedStore::FileWatch : public Watch {
 public:
  FileWatch(SharedStore& store, coordination::Range range, Revision from, User user)
      : user_(std::move(user)),
        range_(std::move(range)),
        from_(from),
        store_(&store),
        alive_(store.alive_) {
    store.watches_.push_back(this);
  }
  ~FileWatch() override {
    if (!alive_.expired()) store_->watches_.remove(this);
  }
  FileWatch(const FileWatch&) = delete;
  FileWatch& operator=(const FileWatch&) = delete;

  const coordination::Range& range() const { return range_; }
  Revision from() const { return from_; }

  void Tell(const std::optional<std::vector<coordination::Event>>& events, Revision revision) {
    if (!events || revision + 1 < from_) {
      if (!alive_.expired()) store_->watches_.remove(this);
      return user_.on_compacted(revision);
    }
    if (revision < from_) return;
    from_ = revision + 1;
    user_.on_events(*events, revision);
  }

 private:
  User user_;
  coordination::Range range_;
  Revision from_;
  SharedStore* store_;
  std::weak_ptr<bool> alive_;
};

SharedStore::SharedStore(net::Loop& loop, Setup setup)
    : loop_(loop),
      setup_(std::move(setup)),
      timer_(loop.NewTimer([this] { Poll(); })),
      disk_(std::make_unique<Disk>(setup_.folder + "/coordination.sqlite", setup_.events)) {
  CheckFolder(setup_.folder);
  thread_ = std::thread([this] { Work(); });
}

SharedStore::~SharedStore() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

// On the disk's thread.
void SharedStore::Work() {
  for (;;) {
    std::shared_ptr<Job> job;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return ending_ || !jobs_.empty(); });
      if (ending_) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    try {
      disk_->Do(job->step, job->writes);
      job->fate = Fate::kDone;
    } catch (const DiskFault& fault) {
      job->fate = fault.fate;
      job->why = fault.why;
    } catch (const std::exception& e) {
      // The store's own no.
      job->fate = Fate::kRefused;
      job->why = e.what();
    }
    const std::lock_guard lock(mutex_);
    ended_.push_back(std::move(job));
  }
}

void SharedStore::Put(Step step, bool writes, Ended ended) {
  const std::uint64_t id = ++last_id_;
  if (out_.size() >= kCalls) {
    return loop_.Post([ended = std::move(ended), alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) ended(Fate::kRefused, "too many calls are out");
    });
  }
  out_[id] = {loop_.Now() + std::chrono::microseconds(setup_.within), std::move(ended)};
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::make_shared<Job>(Job{id, std::move(step), writes, Fate::kUnknown, {}}));
  }
  wake_.notify_one();
  timer_->ArmAt(loop_.Now() + kSoon);
}

void SharedStore::Poll() {
  std::vector<std::shared_ptr<Job>> ended;
  {
    const std::lock_guard lock(mutex_);
    ended.swap(ended_);
  }
  const std::weak_ptr<bool> alive = alive_;
  const auto end = [&](std::uint64_t id, Fate fate, const std::string& why) {
    const auto it = out_.find(id);
    if (it == out_.end()) return;  // Given up.
    const Ended told = std::move(it->second.ended);
    out_.erase(it);
    told(fate, why);
  };
  for (const auto& job : ended) {
    end(job->id, job->fate, job->why);
    if (alive.expired()) return;
  }
  std::vector<std::uint64_t> late;
  for (const auto& [id, out] : out_) {
    if (loop_.Now() >= out.until) late.push_back(id);
  }
  for (const std::uint64_t id : late) {
    end(id, Fate::kUnknown, "no answer of the disk in time");
    if (alive.expired()) return;
  }
  if (!watches_.empty() && !looking_ && loop_.Now() >= look_at_) Look();
  if (!out_.empty()) return timer_->ArmAt(loop_.Now() + kSoon);
  if (!watches_.empty()) timer_->ArmAt(std::max(look_at_, loop_.Now() + kSoon));
}

// What has happened since, for all watches at once.
void SharedStore::Look() {
  struct Seen {
    FileWatch* watch;
    coordination::Range range;
    Revision from;
    std::optional<std::vector<coordination::Event>> events{};
  };
  const auto seen = std::make_shared<std::vector<Seen>>();
  const auto revision = std::make_shared<Revision>(0);
  for (FileWatch* watch : watches_) seen->push_back({watch, watch->range(), watch->from()});
  looking_ = true;
  look_at_ = loop_.Now() + kLook;
  Put(
      [seen, revision](Model& model, Micros) {
        for (Seen& s : *seen) s.events = model.Since(s.from, s.range);
        *revision = model.revision();
      },
      false,
      [this, seen, revision](Fate fate, const std::string& why) {
        looking_ = false;
        if (fate != Fate::kDone) return Complain(why);
        const std::weak_ptr<bool> alive = alive_;
        for (const Seen& s : *seen) {
          if (alive.expired()) return;
          // It may have gone, or moved on, meanwhile.
          if (std::find(watches_.begin(), watches_.end(), s.watch) == watches_.end()) continue;
          if (s.watch->from() == s.from) s.watch->Tell(s.events, *revision);
        }
      });
}

void SharedStore::Complain(const std::string& why) {
  if (std::exchange(complained_, true) || !setup_.log) return;
  setup_.log("coordination: " + why);
}

template <typename T>
void SharedStore::Do(std::function<T(Model&, Micros)> step, Then<T> then) {
  const auto value = std::make_shared<T>();
  Put([step = std::move(step), value](Model& model, Micros now) { *value = step(model, now); },
      true,
      [this, value, then = std::move(then)](Fate fate, const std::string& why) {
        Count(fate);
        if (fate == Fate::kDone) {
          complained_ = false;
        } else {
          Complain(why);
        }
        Answer<T> answer{fate, T{}, why};
        if (fate == Fate::kDone) answer.value = *value;
        then(answer);
      });
}

void SharedStore::Grant(Micros ttl, Then<Lease> then) {
  Do<Lease>(
      [ttl](Model& model, Micros now) {
        return Lease{model.Grant(now, ttl), ttl};
      },
      std::move(then));
}

void SharedStore::KeepAlive(LeaseId lease, Then<Lease> then) {
  Do<Lease>(
      [lease](Model& model, Micros now) {
        const auto ttl = model.KeepAlive(now, lease);
        return ttl ? Lease{lease, *ttl} : Lease{};
      },
      std::move(then));
}

void SharedStore::Revoke(LeaseId lease, Then<bool> then) {
  Do<bool>([lease](Model& model, Micros) { return model.Revoke(lease); }, std::move(then));
}

void SharedStore::Commit(const Txn& txn, Then<coordination::Done> then) {
  Do<coordination::Done>([txn](Model& model, Micros) { return model.Apply(txn); }, std::move(then));
}

std::unique_ptr<Watch> SharedStore::Open(const coordination::Range& range, Revision from,
                                         Watch::User user) {
  ++counts_.watches;
  auto watch = std::make_unique<FileWatch>(*this, range, from, std::move(user));
  timer_->ArmAt(loop_.Now() + kSoon);
  return watch;
}

}  // namespace state
