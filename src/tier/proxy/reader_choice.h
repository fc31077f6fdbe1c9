// Decides for one proxy whether it reads the platform's list itself, and otherwise which proxy it
// asks for a newer list. No I/O.
//
// The fleet, sorted by address, is divided into groups of as many readers as may share the
// platform's rate limit (proxy/reading_plan.h). The first group reads. A later group becomes active
// once every reader of the group before it has failed to answer usefully, one after the other. The
// readers of a later group are standby readers: they keep asking the readers of the earlier groups
// and stop reading as soon as one of those reads.
#ifndef SHELFLINK_TIER_PROXY_READER_CHOICE_H_
#define SHELFLINK_TIER_PROXY_READER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace shelflink::proxy {

// Outcome of a call to a reader.
enum class ReaderAnswer : std::uint8_t {
  kNewerList,     // It has answered with a newer list.
  kNothingNewer,  // It has no newer list; it reads, or the core's list is fresh there.
  // It reads, but the platform does not answer it; it may have sent a newer list all the same.
  kPlatformFailing,
  kNotReading,  // It neither reads nor has a fresh list from the core, so that it cannot help.
  kNoAnswer,    // No answer in time, or one that cannot be decoded.
};

class ReaderChoice {
 public:
  // `rank`: position of this process in the fleet. `proxies`: size of the fleet. `readers`: size of
  // a group. The active group stays the same, or becomes the last one of a fleet that has shrunk.
  void SetFleet(std::size_t rank, std::size_t proxies, std::size_t readers);
  // Makes the first group the active one.
  void Reset();

  bool ShouldRead() const { return own_group() <= active_group_; }
  std::size_t rank_in_group() const { return rank_ % readers_; }
  // Whether this process has found that all readers of the first group fail.
  bool first_group_failed() const { return active_group_ > 0; }

  // The rank of the reader to ask next; none if this process need not ask, or if there is no other
  // proxy. `own_reads_fail`: this process reads, but the platform does not answer it.
  std::optional<std::size_t> NextReaderToAsk(bool own_reads_fail);
  // Records the outcome of a call. Returns whether it counts as a failure of the reader, so that
  // the next reader may be asked at once.
  bool OnAnswer(std::size_t rank, ReaderAnswer answer);
  // This process has read a whole list from the platform: later groups are not needed.
  void OnListRead();

 private:
  std::size_t own_group() const { return rank_ / readers_; }
  std::size_t group_count() const { return (proxies_ + readers_ - 1) / readers_; }
  std::size_t ActiveGroupBegin() const { return active_group_ * readers_; }  // A rank.
  std::size_t ActiveGroupSize() const;
  // Size of the active group without this process.
  std::size_t OthersInActiveGroup() const;
  bool IsStandbyReader() const { return own_group() > 0 && own_group() == active_group_; }
  void SetActiveGroup(std::size_t group);
  void ActivateNextGroup();
  void OnAnswerToStandby(std::size_t rank, ReaderAnswer answer);
  bool OnFailure(ReaderAnswer answer);

  std::size_t rank_ = 0;
  std::size_t proxies_ = 1;
  std::size_t readers_ = 1;
  std::size_t active_group_ = 0;  // The last group that reads, as far as this process knows.
  // Index, modulo the size of the group, of the reader to ask; advances when a reader fails.
  std::size_t next_reader_ = 0;
  std::size_t consecutive_failures_ = 0;
  std::size_t consecutive_not_reading_ = 0;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_READER_CHOICE_H_
