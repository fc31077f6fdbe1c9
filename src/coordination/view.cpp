#include "coordination/view.h"

#include <algorithm>
#include <utility>

namespace coordination {
namespace {

// Between a failure and the next try: drawn up to this, which doubles with each failure in a row.
constexpr Micros kFirstPause = 100'000;
constexpr int kMostDoublings = 5;

}  // namespace

View::View(net::Loop& loop, Store& store, Range range, std::uint64_t seed,
           std::function<void()> changed)
    : loop_(loop),
      store_(store),
      range_(std::move(range)),
      draws_(seed),
      changed_(std::move(changed)),
      timer_(loop.NewTimer([this] { read_next_ ? Read() : Follow(); })) {
  timer_->ArmAt(loop.Now());
}

const Entry* View::Find(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

std::map<std::string, const Entry*> View::Under(const std::string& prefix) const {
  std::map<std::string, const Entry*> under;
  for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    under.emplace(it->first.substr(prefix.size()), &it->second);
  }
  return under;
}

void View::Read() {
  ++reads_;
  Txn txn;
  txn.then.push_back({Operation::What::kRange, range_});
  store_.Commit(txn, [this, alive = std::weak_ptr<bool>(alive_)](const Answer<Done>& answer) {
    if (!alive.expired()) OnRead(answer);
  });
}

void View::OnRead(const Answer<Done>& answer) {
  if (!answer.done() || answer.value.found.size() != 1) return Pause(true);
  // One of several servers may lag behind what another has told.
  if (answer.value.revision < upto_) {
    ++went_back_;
    return Pause(true);
  }
  entries_.clear();
  for (const Entry& e : answer.value.found.front()) entries_[e.key] = e;
  upto_ = answer.value.revision;
  known_ = true;
  read_next_ = false;
  Follow();
  changed_();
}

void View::Follow() {
  watch_ = store_.Open(range_, upto_ + 1,
                       {.on_events = [this](const std::vector<Event>& events,
                                            Revision upto) { OnEvents(events, upto); },
                        .on_compacted =
                            [this](Revision) {
                              Retire();
                              Pause(true);
                            },
                        .on_broken =
                            [this](const std::string&) {
                              Retire();
                              Pause(false);
                            }});
}

void View::OnEvents(const std::vector<Event>& events, Revision upto) {
  failures_ = 0;
  for (const Event& e : events) {
    if (e.entry.modified <= upto_) continue;  // Told already.
    if (e.gone) {
      entries_.erase(e.entry.key);
    } else {
      entries_[e.entry.key] = e.entry;
    }
  }
  upto_ = std::max(upto_, upto);
  if (!events.empty()) changed_();
}

void View::Retire() {
  loop_.Post([dead = std::shared_ptr<Watch>(std::move(watch_))] {});
  watch_ = nullptr;
}

void View::Pause(bool read) {
  read_next_ = read;
  const Micros most = kFirstPause << std::min(failures_++, kMostDoublings);
  const auto pause = static_cast<Micros>((0.5 + draws_.Unit() / 2) * static_cast<double>(most));
  timer_->ArmAt(loop_.Now() + std::chrono::microseconds(pause));
}

}  // namespace coordination
