// How long something stood on fewer copies than the fault tolerance asks for: what lacks copies
// now, and figures of all earlier times, for the control state and for partitions of batch jobs.
//
// Pure: events with their time in, views folded out. It repairs nothing and decides nothing.
//
// Limits: one open loss a subject (the control state, kPartitions partitions); of the losses that
// have ended the last kMostRememberedLosses of each kind give the medians, the older ones only the
// counts and the worst.
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

// What has copies: the control state (`number` 0), or a partition.
struct CopySubject {
  CopyKind kind = CopyKind::kControl;
  std::uint32_t number = 0;
  auto operator<=>(const CopySubject&) const =
      default;  // NOLINT(modernize-use-nullptr): its error.
};

// Something has fewer whole copies than it should have.
struct OpenLoss {
  CopySubject subject;
  std::size_t whole = 0;
  std::size_t wanted = 0;
  net::Span lasts{};
  bool at_least = false;  // It may have begun before this process could see it.
  std::uint64_t bytes_copied = 0;
  std::optional<std::uint64_t> bytes_left;  // At most; none: not known.
};

// Losses that have ended, by the bytes that were copied meanwhile.
struct LossSizeClass {
  std::optional<std::uint64_t> most_bytes;  // Of this class; none in the last one.
  std::uint64_t losses = 0;                 // Of those that are remembered, as in the next.
  net::Span median{};
  net::Span worst{};
};

constexpr std::array<std::uint64_t, 4> kLossSizes{0, 64U << 10, 1U << 20, 16U << 20};

struct LossHistory {
  std::uint64_t begun = 0;
  std::uint64_t ended = 0;      // Whole again.
  std::uint64_t handed_on = 0;  // Whose end this process did not see: it was no primary any more.
  net::Span median{};           // Of the remembered ones that ended.
  net::Span worst{};            // Of all that ended.
  std::uint64_t bytes_copied = 0;
  std::vector<LossSizeClass> by_size;  // kLossSizes and one more; those without a loss left out.
};

class RedundancyBook {
 public:
  struct Copies {
    CopySubject subject;
    std::size_t whole = 0;  // That hold everything and are there.
    std::size_t wanted = 0;
    net::Time missing_since{};  // When the first of the missing ones was last heard of.
    bool at_least = false;      // That is not known: they are missing for longer.
  };

  // As of now; begins and ends losses.
  void Observe(net::Time now, const Copies& copies);
  // Counted for a loss that is open; dropped otherwise.
  void OnCopied(const CopySubject& subject, std::uint64_t bytes);
  void OnLeft(const CopySubject& subject, std::optional<std::uint64_t> bytes);
  // No longer the primary: how the open ones go on is not seen here.
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
