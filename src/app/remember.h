// Ties the stored state to a sidecar: what it starts from, and what it keeps for the next start.
#ifndef KELPSPRING_APP_REMEMBER_H_
#define KELPSPRING_APP_REMEMBER_H_

#include "sidecar/config.h"
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
    if (const auto snapshot = store_.Load()) Recall(config, *snapshot);
    book_.Apply(config.known);
    seq_ = config.known.seq;
    text_ = TextOf(book_.Whole());
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
      text_ = TextOf(book_.Whole());
    }
    keeper_->Put({seq_, text_, state::Here()});
  }

 private:
  // A change of the list reaches the disk within this, and no more often.
  static constexpr auto kPause = std::chrono::seconds(1);

  static void Recall(Config& config, const state::Snapshot& snapshot) {
    auto age = state::AgeOf(snapshot.learned, state::Here());
    if (Mutated(Mutant::kIgnoreAge)) age = 0;
    const auto known =
        config.known.members.empty() ? std::nullopt : std::optional(config.known.seq);
    const auto verdict =
        recovery::MayRecall(age, config.state->list_age.count(), snapshot.version, known);
    LogToStandardError("remembered list " + std::to_string(snapshot.version) + ": " +
                       recovery::WordOf(verdict));
    if (verdict != recovery::Recall::kTake) return;
    try {
      config.known = ParseMembers(nlohmann::json::parse(snapshot.list));
      config.known_age = std::chrono::microseconds(*age);
    } catch (const std::exception& e) {
      LogToStandardError(std::string("remembered list: ") + e.what());
    }
  }

  state::Store store_;
  MemberBook book_;
  std::int64_t seq_ = 0;
  std::string text_;  // Of the book.
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
};

#endif

}  // namespace kelpspring

#endif  // KELPSPRING_APP_REMEMBER_H_
