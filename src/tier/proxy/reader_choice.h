// Which proxies read the platform's list at present, as one proxy sees it, and whom it asks.
//
// The fleet, sorted by address, is cut into groups of as many readers as share the platform's rate
// (proxy/reading_plan.h). The first group reads, each other group only once a round of questions to
// all readers of the group before it has failed. A reader of a later group goes on asking the
// earlier ones and stops as soon as one of them reads. Pure.
#ifndef SHELFLINK_TIER_PROXY_READER_CHOICE_H_
#define SHELFLINK_TIER_PROXY_READER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace shelflink::proxy {

// What became of a question to a reader.
enum class ReaderAnswer : std::uint8_t {
  kList,          // Something newer.
  kNothingNewer,  // It reads, or the core's list is fresh there.
  kTrouble,  // It reads, and the platform does not answer it; its list may be newer all the same.
  kNotReading,  // It should know a newer list, and neither reads nor has one.
  kSilent,      // No answer in time, or none that can be read.
};

class ReaderChoice {
 public:
  // `rank`: of this process among `proxies`; a group has `readers`. The group in charge stays.
  void SetFleet(std::size_t rank, std::size_t proxies, std::size_t readers);
  // The first group is in charge again.
  void Reset();

  bool Reads() const { return own_group() <= group_; }
  std::size_t rank_in_group() const { return rank_ % readers_; }
  // Whether the first group has been given up by this process.
  bool first_group_given_up() const { return group_ > 0; }

  // The rank of the reader to be asked; none where there is no other. `in_trouble`: this process
  // reads, and the platform does not answer it.
  std::optional<std::size_t> NextToAsk(bool in_trouble);
  // Whether it was a failure that counts, so that the next reader may be asked at once.
  bool OnAnswer(std::size_t rank, ReaderAnswer answer);
  // This process has read a whole list.
  void OnOwnReading();

 private:
  std::size_t own_group() const { return rank_ / readers_; }
  std::size_t groups() const { return (proxies_ + readers_ - 1) / readers_; }
  // Ranks of the group in charge, without this process.
  std::size_t GroupBegin() const { return group_ * readers_; }
  std::size_t GroupSize() const;
  std::size_t OthersInGroup() const;
  bool StandsIn() const { return own_group() > 0 && own_group() == group_; }
  void SetGroup(std::size_t group);
  void GoToNextGroup();
  void OnAnswerToStandIn(std::size_t rank, ReaderAnswer answer);
  bool OnFailure(ReaderAnswer answer);

  std::size_t rank_ = 0;
  std::size_t proxies_ = 1;
  std::size_t readers_ = 1;
  std::size_t group_ = 0;  // The group in charge, as far as this process knows.
  std::size_t turn_ = 0;   // Which reader is asked next; goes on where one fails.
  std::size_t failed_in_a_row_ = 0;
  std::size_t not_reading_in_a_row_ = 0;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_READER_CHOICE_H_
