#include "storm/judge.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

namespace storm {
namespace {

constexpr Micros kTenth = kSecond / 10;

// One life of one process, as the history tells it so far.
struct Life {
  std::optional<std::int64_t> has;  // The version that it took last.
  // Versions that discovery has written to it and when, newest last.
  std::vector<std::pair<Micros, std::int64_t>> told;
  Micros stopped_at = -1;  // Standing still since then; -1: running.
  std::vector<std::pair<Micros, Micros>> stops;

  // Of the span between, how long it ran.
  Micros Ran(Micros from, Micros until) const {
    Micros ran = until - from;
    for (const auto& [begin, end] : stops) {
      ran -= std::max<Micros>(0, std::min(end, until) - std::max(begin, from));
    }
    return ran;
  }
};

std::vector<std::string> WordsOf(const std::string& text) {
  std::istringstream in(text);
  return std::vector<std::string>(std::istream_iterator<std::string>(in), {});
}

std::optional<std::int64_t> NumberOf(const std::string& word) {
  std::int64_t value = 0;
  const char* end = word.data() + word.size();
  const auto r = std::from_chars(word.data(), end, value);
  return r.ec == std::errc() && r.ptr == end ? std::optional(value) : std::nullopt;
}

// Of work that one does for all: who owned it, who obeyed whom. What the store has ordered is
// compared by its revisions, which no clock sways.
class Turns {
 public:
  using Find = std::function<void(const Record&, std::string rule, std::string text)>;

  Turns(const Promise& promise, Find find) : promise_(promise), find_(std::move(find)) {}

  // In a first pass, since whoever wins tells so later than the store did it.
  void Hear(const Record& r) {
    if (r.what == what::kWon && r.version) wins_.emplace_back(r.at, *r.version);
    if (r.what == what::kOrdered && r.version) at_once_[r.about] = *r.version;
  }

  void Read(const Record& r, Judgement& judgement) {
    if (r.what == what::kWon && r.version) Won(r, judgement);
    if (r.what == what::kOut) Out(r, judgement);
    if (r.what == what::kAct) Act(r);
    if (r.what == what::kBack) Back(r);
    if (r.what == what::kLate || r.what == what::kRefused) ++judgement.late_refused;
    // Whoever owned does so no more, or cannot act on it.
    const bool ends = r.what == what::kLost || r.what == what::kKilled ||
                      r.what == what::kStopped || r.what == what::kLeft;
    if (ends && r.who == owner_ && !ownerless_) ownerless_ = r.at;
    if (r.what == what::kWoken && r.who == owner_) ownerless_.reset();
  }

 private:
  void Won(const Record& r, Judgement& judgement) {
    ++judgement.wins;
    if (ownerless_) {
      judgement.longest_ownerless = std::max(judgement.longest_ownerless, r.at - *ownerless_);
    }
    owner_ = r.who;
    ownerless_.reset();
    if (!fences_.insert(*r.version).second) {
      find_(r, "one fence for two", std::to_string(*r.version));
    }
  }

  // The receiver's guard: fences never go down, and nobody is obeyed after another has won.
  void Out(const Record& r, Judgement& judgement) {
    ++judgement.outs;
    const auto words = WordsOf(r.about);
    const auto fence = words.empty() ? std::nullopt : NumberOf(words.front());
    if (!r.version || !fence || words.size() < 2) return find_(r, "a turn of no fence", r.about);
    std::int64_t& highest = highest_[r.who];
    if (*fence < highest) {
      find_(r, "a lower fence after a higher",
            std::to_string(*fence) + " after " + std::to_string(highest));
    }
    highest = std::max(highest, *fence);
    for (const auto& [at, won] : wins_) {
      if (won > *fence && won < *r.version) {
        find_(r, "a late owner was obeyed",
              "fence " + std::to_string(*fence) + " at revision " + std::to_string(*r.version) +
                  ", after " + std::to_string(won) + " had won");
      }
    }
    const std::string& order = words[1];
    if (!outs_.insert(order + ' ' + r.who).second) find_(r, "out twice for one order", order);
    std::set<std::string>& out = out_now_[order];
    out.insert(r.who);
    const auto most = at_once_.find(order);
    if (most != at_once_.end() && static_cast<std::int64_t>(out.size()) > most->second) {
      find_(r, "more are out than were to be", std::to_string(out.size()) + " of " + order);
    }
  }

  void Back(const Record& r) { out_now_[r.about].erase(r.who); }

  void Act(const Record& r) {
    for (const auto& [at, won] : wins_) {
      if (r.version && won > *r.version && at + promise_.act_slack < r.at) {
        return find_(r, "an owner acted late",
                     "with fence " + std::to_string(*r.version) + ", " +
                         std::to_string((r.at - at) / 1000) + " ms after " + std::to_string(won) +
                         " had won");
      }
    }
  }

  const Promise& promise_;
  Find find_;
  std::vector<std::pair<Micros, std::int64_t>> wins_;
  std::map<std::string, std::int64_t> at_once_;  // By order.
  std::set<std::int64_t> fences_;
  std::map<std::string, std::int64_t> highest_;  // By process: fence that it obeyed.
  std::set<std::string> outs_;                   // Order and process.
  std::map<std::string, std::set<std::string>> out_now_;
  std::string owner_;
  std::optional<Micros> ownerless_;  // Since then.
};

class Reader {
 public:
  Reader(const Promise& promise, Micros since)
      : promise_(promise),
        since_(since),
        turns_(promise_, [this](const Record& r, std::string rule, std::string text) {
          Find(r, std::move(rule), std::move(text));
        }) {}
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  void Hear(const Record& r) { turns_.Hear(r); }
  void Read(const Record& r) {
    turns_.Read(r, judgement_);
    if (r.what == what::kCalled) return Called(r);
    if (r.what == what::kConnected) return Connected(r);
    if (r.what == what::kStarted) return Started(r);
    if (r.what == what::kReady) return Ready(r);
    Life& life = lives_[{r.who, r.life}];
    if (r.what == what::kTold && r.version) {
      life.told.emplace_back(r.at, *r.version);
      said_[*r.version] = r.at;
    }
    if (r.what == what::kHeard && r.version) Heard(r);
    if (r.what == what::kLesson) lessons_[r.who].push_back(r);
    if (r.what == what::kRecall) Recalled(r);
    if (r.what == what::kList && r.version) Took(r, life);
    if (r.what == what::kSend) Decided(r, life);
    if (r.what == what::kStopped) life.stopped_at = r.at;
    if (r.what == what::kWoken && life.stopped_at >= 0) {
      life.stops.emplace_back(std::exchange(life.stopped_at, -1), r.at);
    }
    if (r.what == what::kKilled || r.what == what::kStopped) CutShort(r);
  }

  Judgement Finish() {
    judgement_.fullest_tenth_calls = FullestTenth(std::move(calls_));
    judgement_.fullest_tenth_connections = FullestTenth(std::move(connections_));
    return std::move(judgement_);
  }

 private:
  void Find(const Record& r, std::string rule, std::string text) {
    judgement_.findings.push_back({std::move(rule), r.at, r.who, std::move(text)});
  }

  void Called(const Record& r) {
    ++judgement_.calls;
    if (r.at >= since_) calls_.push_back(r.at);
    if (Back* back = BackOf(r); back != nullptr && r.at - back->started < promise_.return_span) {
      ++back->calls;
    }
  }

  void Connected(const Record& r) {
    ++judgement_.connections;
    if (r.at >= since_) connections_.push_back(r.at);
  }

  void Started(const Record& r) {
    if (r.life < 2) return;
    index_[{r.who, r.life}] = judgement_.backs.size();
    judgement_.backs.push_back({r.who, r.life, r.at, std::nullopt, false, 0});
  }

  void Ready(const Record& r) {
    if (Back* back = BackOf(r); back != nullptr && !back->ready) back->ready = r.at;
  }

  void CutShort(const Record& r) {
    if (Back* back = BackOf(r); back != nullptr && r.at - back->started < promise_.return_span) {
      back->cut_short = true;
    }
  }

  // Within one life nothing older goes over what is newer.
  void Took(const Record& r, Life& life) {
    if (life.has && *r.version < *life.has) {
      Find(r, "an older list over a newer",
           "version " + std::to_string(*r.version) + " after " + std::to_string(*life.has));
    }
    life.has = r.version;
  }

  // A list of a peer was told by discovery to somebody, is not called younger than that, and is
  // within its age.
  void Heard(const Record& r) {
    ++judgement_.heard;
    const std::string name = "version " + std::to_string(*r.version);
    const auto said = said_.find(*r.version);
    Micros held = 0;
    const auto end = r.about.data() + r.about.size();
    if (std::from_chars(r.about.data(), end, held).ptr != end || r.about.empty()) {
      return Find(r, "a list of a peer of no age", name);
    }
    if (said == said_.end()) return Find(r, "a list of a peer that discovery told nobody", name);
    if (held > said->second + promise_.clocks) {
      Find(r, "a list of a peer called younger than it is",
           name + " by " + std::to_string((held - said->second) / 1000) + " ms");
    }
    const Micros age = r.at - std::min(held, said->second);
    if (age > promise_.list_age + promise_.clocks) {
      Find(r, "a list of a peer beyond its age",
           name + " after " + std::to_string(age / 1000) + " ms");
    }
  }

  // Limits and shunned endpoints that a process begins with were learned by an earlier life of its
  // own, not too long ago.
  void Recalled(const Record& r) {
    ++judgement_.recalled;
    const Record* last = nullptr;
    for (const Record& lesson : lessons_[r.who]) {
      if (lesson.life < r.life && Within(r.about, lesson.about)) last = &lesson;
    }
    if (last == nullptr) return Find(r, "a lesson that nobody learned", r.about);
    if (r.at - last->at > promise_.lesson_age + promise_.clocks) {
      Find(r, "a lesson beyond its age",
           r.about + " after " + std::to_string((r.at - last->at) / 1000) + " ms");
    }
  }

  // The same limit, and nobody shunned who was not; some may have served their time since.
  static bool Within(const std::string& recalled, const std::string& learned) {
    const auto had = WordsOf(learned);
    const auto has = WordsOf(recalled);
    if (has.empty() || had.empty() || has.front() != had.front()) return false;
    return std::all_of(has.begin(), has.end(), [&](const std::string& word) {
      return std::find(had.begin(), had.end(), word) != had.end();
    });
  }

  // A decision is stale where it rests on a version although a newer one was written to the process
  // so long ago that, running, it must have read it.
  void Decided(const Record& r, const Life& life) {
    if (!r.version) return;
    ++judgement_.decisions;
    for (const auto& [at, version] : life.told) {
      if (version <= *r.version || life.Ran(at, r.at) <= promise_.knows_within) continue;
      return Find(r, "a decision on a stale list",
                  "sent to " + r.about + " by version " + std::to_string(*r.version) + ", " +
                      std::to_string((r.at - at) / 1000) + " ms after it was told version " +
                      std::to_string(version));
    }
  }

  Back* BackOf(const Record& r) {
    const auto it = index_.find({r.who, r.life});
    return it == index_.end() ? nullptr : &judgement_.backs[it->second];
  }

  using Key = std::pair<std::string, std::uint64_t>;
  Promise promise_;
  Micros since_;
  Judgement judgement_;
  std::map<Key, Life> lives_;
  std::map<Key, std::size_t> index_;
  std::map<std::string, std::vector<Record>> lessons_;  // By process.
  std::map<std::int64_t, Micros> said_;  // By version: when discovery wrote it last, to anybody.
  std::vector<Micros> calls_;
  std::vector<Micros> connections_;
  Turns turns_;
};

}  // namespace

std::size_t FullestTenth(std::vector<Micros> times) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= kTenth) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

Judgement Judge(std::vector<Record> history, const Promise& promise, Micros since) {
  std::stable_sort(history.begin(), history.end(),
                   [](const Record& a, const Record& b) { return a.at < b.at; });
  Reader reader(promise, since);
  for (const Record& record : history) reader.Hear(record);
  for (const Record& record : history) reader.Read(record);
  return reader.Finish();
}

}  // namespace storm
