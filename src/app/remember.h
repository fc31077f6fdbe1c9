// Ties the stored state to a sidecar: what it starts from, and what it keeps for the next start.
#ifndef KELPSPRING_APP_REMEMBER_H_
#define KELPSPRING_APP_REMEMBER_H_

#include "sidecar/config.h"
#include "sidecar/lesson.h"
#include "sidecar/members.h"

#ifdef KELPSPRING_STATE
#include <nlohmann/json.hpp>

#include "recovery/recall.h"
#include "sidecar/log.h"
#include "sidecar/mutant.h"
#include "state/keeper.h"
#endif

namespace kelpspring {

#ifdef KELPSPRING_STATE

class Remember {
 public:
  // Puts what is remembered, and may still be used, in the place of the configuration's list.
  // Throws state::BadFolder.
  explicit Remember(Config& config) : store_(config.state->folder, config.name) {
    if (store_.in_use()) {
      LogToStandardError(config.state->folder +
                         ": another process holds this state: nothing is remembered");
      return;
    }
    if (!store_.set_aside().empty()) LogToStandardError(store_.set_aside());
    if (const auto snapshot = store_.Load()) {
      current_ = *snapshot;
      if (!current_.list.empty()) Recall(config);
      RecallLesson(config);
      config.fence = current_.fence;
    }
    book_.Apply(config.known);
    keeper_.emplace(store_, kPause, [](const std::string& fault) {
      LogToStandardError("state is not stored: " + fault);
    });
    // What it was started with is of unknown age: only what discovery tells is kept.
    if (Mutated(Mutant::kOverwrite)) OnList({});
  }

  void OnList(const MemberList& list) {
    if (!keeper_) return;
    // Most answers say nothing new: then only the time at which the list held moves on.
    if (list.whole || !list.members.empty() || list.seq != seq_) {
      book_.Apply(list);
      seq_ = list.seq;
      current_.version = list.seq;
      current_.list = TextOf(book_.Whole());
    }
    current_.learned = state::Here();
    keeper_->Put(current_);
  }

  // False if it says no more than the last one: then nothing is written.
  bool OnLesson(const Lesson& lesson) {
    const std::string words = WordsOf(lesson);
    if (!keeper_ || words == lesson_words_) return false;
    lesson_words_ = words;
    current_.lesson = TextOf(lesson);
    current_.lesson_learned = state::Here();
    keeper_->Put(current_);
    return true;
  }

  void OnFence(std::int64_t fence) {
    if (!keeper_ || fence <= current_.fence) return;
    current_.fence = fence;
    keeper_->Put(current_);
  }

 private:
  // A change of the list reaches the disk within this, and no more often.
  static constexpr auto kPause = std::chrono::seconds(1);

  static std::optional<state::Micros> AgeOf(const state::Moment& learned) {
    if (Mutated(Mutant::kIgnoreAge)) return 0;
    return state::AgeOf(learned, state::Here());
  }

  void Recall(Config& config) const {
    const auto age = AgeOf(current_.learned);
    const auto known =
        config.known.members.empty() ? std::nullopt : std::optional(config.known.seq);
    const auto verdict =
        recovery::MayRecall(age, config.state->list_age.count(), current_.version, known);
    LogToStandardError("remembered list " + std::to_string(current_.version) + ": " +
                       recovery::WordOf(verdict));
    if (verdict != recovery::Recall::kTake) return;
    try {
      config.known = ParseMembers(nlohmann::json::parse(current_.list));
      config.known_age = std::chrono::microseconds(*age);
    } catch (const std::exception& e) {
      LogToStandardError(std::string("remembered list: ") + e.what());
    }
  }

  // Limits and shunned endpoints hold whichever list it starts from.
  void RecallLesson(Config& config) const {
    if (current_.lesson.empty()) return;
    const auto age = AgeOf(current_.lesson_learned);
    const auto verdict =
        recovery::MayRecall(age, config.state->lesson_age.count(), 0, std::nullopt);
    LogToStandardError(std::string("remembered lesson: ") + recovery::WordOf(verdict));
    if (verdict != recovery::Recall::kTake) return;
    try {
      config.lesson = Aged(ParseLesson(current_.lesson), *age);
    } catch (const std::exception& e) {
      LogToStandardError(std::string("remembered lesson: ") + e.what());
    }
  }

  state::Store store_;
  MemberBook book_;
  std::int64_t seq_ = -1;     // Of what discovery told last in this life.
  state::Snapshot current_;   // What is stored, or is to be next.
  std::string lesson_words_;  // Of the lesson in it, if it is of this life.
  std::optional<state::Keeper> keeper_;
};

#else

// The platform has no disk that lasts: its build leaves the store out.
class Remember {
 public:
  explicit Remember(Config&) {
    throw gaugecart::BadInput("state_dir: this build stores no state, expected none");
  }
  void OnList(const MemberList&) {}
  bool OnLesson(const Lesson&) { return false; }
  void OnFence(std::int64_t) {}
};

#endif

}  // namespace kelpspring

#endif  // KELPSPRING_APP_REMEMBER_H_
