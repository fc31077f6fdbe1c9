// Records how long the control state and partitions of batch jobs had fewer copies than the fault
// tolerance requires: open losses and statistics of ended ones.
//
// Pure: the time is an argument of each event. It only observes; it repairs nothing.
//
// Limits: one open loss per subject (the control state, kPartitions partitions). Medians are
// computed from the last kMostRememberedLosses ended losses of each kind; earlier ones only
// contribute to the counts and the worst duration.
#ifndef SHELFLINK_TIER_CLUSTER_REDUNDANCY_H_
#define SHELFLINK_TIER_CLUSTER_REDUNDANCY_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "net/loop.h"

namespace shelflink::cluster {

constexpr std::size_t kMostRememberedLosses = 512;

enum class CopyKind : std::uint8_t { kControl, kBatch };

// Something that is replicated: the control state (`number` 0) or a partition.
struct CopySubject {
  CopyKind kind = CopyKind::kControl;
  std::uint32_t number = 0;
  auto operator<=>(const CopySubject&) const =
      default;  // NOLINT(modernize-use-nullptr): its error.
};

// A subject with fewer whole copies than wanted.
struct OpenLoss {
  CopySubject subject;
  std::size_t whole = 0;
  std::size_t wanted = 0;
  net::Span lasts{};
  bool at_least = false;  // It may have begun before this process could observe it.
  std::uint64_t bytes_copied = 0;
  std::optional<std::uint64_t> bytes_left;  // Upper bound; none: unknown.
};

// Ended losses, by the bytes copied while they lasted.
struct LossSizeClass {
  std::optional<std::uint64_t> most_bytes;  // Of this class; none for the last one.
  std::uint64_t losses = 0;                 // Remembered ones; likewise the next.
  net::Span median{};
  net::Span worst{};
};

constexpr std::array<std::uint64_t, 4> kLossSizes{0, 64U << 10, 1U << 20, 16U << 20};

struct LossHistory {
  std::uint64_t begun = 0;
  std::uint64_t ended = 0;      // Whole again.
  std::uint64_t handed_on = 0;  // Still open when this process stopped being primary.
  net::Span median{};           // Of the remembered ended ones.
  net::Span worst{};            // Of all ended ones.
  std::uint64_t bytes_copied = 0;
  std::vector<LossSizeClass>
      by_size;  // By kLossSizes, and larger; classes without losses are omitted.
};

class RedundancyBook {
 public:
  struct Copies {
    CopySubject subject;
    std::size_t whole = 0;  // Complete and live.
    std::size_t wanted = 0;
    net::Time missing_since{};  // When the first missing one was last heard from.
    bool at_least = false;      // They may have been missing before that.
  };

  // The current state; begins and ends losses.
  void Observe(net::Time now, const Copies& copies);
  // Added to the open loss of the subject, if any.
  void OnCopied(const CopySubject& subject, std::uint64_t bytes);
  void OnLeft(const CopySubject& subject, std::optional<std::uint64_t> bytes);
  // This process is no longer primary: closes the open losses as handed on.
  void HandOn();

  bool IsOpen(const CopySubject& subject) const { return open_.contains(subject); }
  std::vector<OpenLoss> open(net::Time now) const;
  LossHistory history(CopyKind kind) const;

 private:
  struct Open {
    net::Time since{};
    OpenLoss loss;
  };
  struct Ended {
    net::Span lasted{};
    std::uint64_t bytes = 0;
  };
  struct Kind {
    std::uint64_t begun = 0;
    std::uint64_t ended = 0;
    std::uint64_t handed_on = 0;
    std::uint64_t bytes_copied = 0;
    net::Span worst{};
    std::deque<Ended> remembered;
  };

  Kind& KindOf(const CopySubject& subject) {
    return kinds_[static_cast<std::size_t>(subject.kind)];
  }
  void Begin(net::Time now, const Copies& copies);
  void End(net::Time now, const CopySubject& subject);

  std::map<CopySubject, Open> open_;
  std::map<CopySubject, net::Time> ended_at_;
  std::array<Kind, 2> kinds_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_REDUNDANCY_H_
