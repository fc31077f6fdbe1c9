#include "tier/batch/store_caller.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "tier/batch/partition.h"

namespace shelflink::batch {
namespace {

constexpr milliseconds kFirstPause{50};
constexpr milliseconds kLongestPause{400};

bool IsFinal(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotFound:
    case ErrorCode::kConflict:
    case ErrorCode::kExhausted:
    case ErrorCode::kInvalid:
    case ErrorCode::kTooLarge:
      return true;
    case ErrorCode::kUnavailable:
    case ErrorCode::kUnknown:
    case ErrorCode::kStorage:
      return false;
  }
  return false;
}

}  // namespace

class StoreCaller::Impl : public std::enable_shared_from_this<StoreCaller::Impl> {
 public:
  Impl(net::Loop& loop, transport::Hub& hub, ViewSource view)
      : loop_(loop), hub_(hub), view_(std::move(view)) {}

  void Ask(Question question) {
    ++counters_.questions;
    if (open_.size() >= kMostQuestions) {
      ++counters_.given_up;
      loop_.Post([done = std::move(question.done)] {
        done(MakeError(ErrorCode::kUnavailable, "too many questions to the stores under way"));
      });
      return;
    }
    const std::uint64_t id = next_id_++;
    OpenQuestion& open = open_[id];
    open.question = std::move(question);
    open.timer = loop_.NewTimer([this, id] { OnTimer(id); });
    TryNow(id, open);
  }

  void OnPlacement() {
    std::vector<std::uint64_t> moved;
    for (const auto& [id, open] : open_) {
      const cluster::PartitionRow* row = RowOf(open.question.job).row;
      if (row == nullptr) continue;
      const bool same =
          open.asked && open.asked->primary == row->primary && open.asked->epoch == row->epoch;
      if (!open.try_under_way || !same) moved.push_back(id);
    }
    for (const std::uint64_t id : moved) {
      const auto found = open_.find(id);
      if (found == open_.end()) continue;
      found->second.pause = kFirstPause;
      TryNow(id, found->second);
    }
  }

  const Counters& counters() const { return counters_; }

 private:
  struct Target {
    net::Address primary;
    std::uint64_t epoch = 0;
  };
  struct OpenQuestion {
    Question question;
    net::TimerPtr timer;
    std::uint64_t tries = 0;  // The newest one counts; failures of earlier ones do not.
    bool try_under_way = false;
    bool may_have_happened = false;
    std::optional<Target> asked;  // By the newest try.
    milliseconds pause = kFirstPause;
  };
  struct RowPlace {
    std::uint32_t partition = 0;
    const cluster::PartitionRow* row = nullptr;  // Null: no primary is known.
  };

  RowPlace RowOf(const JobRef& job) const {
    const auto& placement = view_().placement;
    if (placement == nullptr || placement->rows.empty()) return {};
    RowPlace place;
    place.partition = PartitionOf(job.tenant, job.host, placement->rows.size());
    const cluster::PartitionRow& row = placement->rows[place.partition];
    if (row.primary.port() != 0) place.row = &row;
    return place;
  }

  void TryNow(std::uint64_t id, OpenQuestion& open) {
    const net::Time now = loop_.Now();
    if (now >= open.question.until) {
      open.timer->ArmAt(open.question.until);  // Gives up, outside of this call.
      return;
    }
    const RowPlace place = RowOf(open.question.job);
    if (place.row == nullptr) {
      TryLater(open);
      return;
    }
    if (open.try_under_way) open.may_have_happened = true;  // Its answer is not waited for.
    open.question.job.partition = place.partition;
    open.question.job.epoch = place.row->epoch;
    open.asked = Target{place.row->primary, place.row->epoch};
    open.try_under_way = true;
    const std::uint64_t number = ++open.tries;
    ++counters_.tries;
    const auto left = std::chrono::ceil<milliseconds>(open.question.until - now);
    open.timer->ArmAt(open.question.until);
    hub_.Call(open.asked->primary, open.question.kind, open.question.encode(open.question.job),
              left, [weak = weak_from_this(), id, number](Result<std::string> answer) {
                if (const auto self = weak.lock()) self->OnAnswer(id, number, std::move(answer));
              });
  }

  void OnAnswer(std::uint64_t id, std::uint64_t number, Result<std::string> answer) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    OpenQuestion& open = found->second;
    const bool newest = number == open.tries;
    if (answer.has_value() || (newest && IsFinal(answer.error().code))) {
      Finish(id, std::move(answer));
      return;
    }
    if (answer.error().code != ErrorCode::kUnavailable) open.may_have_happened = true;
    if (!newest) return;
    open.try_under_way = false;
    TryLater(open);
  }

  void TryLater(OpenQuestion& open) {
    open.timer->ArmAt(std::min<net::Time>(open.question.until, loop_.Now() + open.pause));
    open.pause = std::min(open.pause * 2, kLongestPause);
  }

  void OnTimer(std::uint64_t id) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    if (found->second.try_under_way) found->second.may_have_happened = true;
    if (found->second.try_under_way || loop_.Now() >= found->second.question.until) {
      GiveUp(id);
    } else {
      TryNow(id, found->second);
    }
  }

  void GiveUp(std::uint64_t id) {
    ++counters_.given_up;
    const bool certain = !open_.at(id).may_have_happened;
    Finish(id, certain ? MakeError(ErrorCode::kUnavailable, "no store could be asked in time")
                       : MakeError(ErrorCode::kUnknown, "no answer of the store in time"));
  }

  void Finish(std::uint64_t id, Result<std::string> answer) {
    const auto found = open_.find(id);
    // Out of the table first: `done` may ask again.
    auto done = std::move(found->second.question.done);
    open_.erase(found);
    done(std::move(answer));
  }

  net::Loop& loop_;
  transport::Hub& hub_;
  ViewSource view_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, OpenQuestion> open_;
  Counters counters_;
};

StoreCaller::StoreCaller(net::Loop& loop, transport::Hub& hub, ViewSource view)
    : impl_(std::make_shared<Impl>(loop, hub, std::move(view))) {}
StoreCaller::~StoreCaller() = default;
void StoreCaller::Ask(Question question) { impl_->Ask(std::move(question)); }
void StoreCaller::OnPlacement() { impl_->OnPlacement(); }
const StoreCaller::Counters& StoreCaller::counters() const { return impl_->counters(); }

}  // namespace shelflink::batch
