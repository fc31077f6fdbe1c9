// Which proxies read the platform's list, and which readers the others ask.
#define BOOST_TEST_MODULE proxy_reader_choice
#include "tier/proxy/reader_choice.h"

#include <boost/test/unit_test.hpp>
#include <initializer_list>
#include <optional>

using shelflink::proxy::ReaderAnswer;
using shelflink::proxy::ReaderChoice;

namespace {

ReaderChoice Choice(std::size_t rank, std::size_t proxies, std::size_t readers) {
  ReaderChoice choice;
  choice.SetFleet(rank, proxies, readers);
  choice.Reset();
  return choice;
}

// Makes one call that ends with `answer`; returns the rank that was asked.
std::size_t Ask(ReaderChoice& choice, ReaderAnswer answer, bool own_reads_fail = false) {
  const std::optional<std::size_t> rank = choice.NextReaderToAsk(own_reads_fail);
  BOOST_REQUIRE(rank);
  choice.OnAnswer(*rank, answer);
  return *rank;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_first_group_reads_and_asks_nobody) {
  for (std::size_t rank = 0; rank < 6; ++rank) {
    ReaderChoice choice = Choice(rank, 6, 2);
    BOOST_TEST(choice.ShouldRead() == (rank < 2));
    BOOST_TEST(choice.NextReaderToAsk(false).has_value() == (rank >= 2));
  }
}

BOOST_AUTO_TEST_CASE(the_next_group_reads_after_no_reader_has_answered) {
  ReaderChoice next = Choice(2, 6, 2);
  ReaderChoice last = Choice(5, 6, 2);
  for (ReaderChoice* choice : {&next, &last}) {
    BOOST_TEST(Ask(*choice, ReaderAnswer::kNoAnswer) < 2U);
    BOOST_TEST(!choice->first_group_failed());
    BOOST_TEST(Ask(*choice, ReaderAnswer::kNoAnswer) < 2U);
    BOOST_TEST(choice->first_group_failed());
  }
  BOOST_TEST(next.ShouldRead());
  BOOST_TEST(!last.ShouldRead());
  Ask(last, ReaderAnswer::kNoAnswer);
  Ask(last, ReaderAnswer::kNoAnswer);
  BOOST_TEST(last.ShouldRead());
}

BOOST_AUTO_TEST_CASE(one_reader_that_answers_keeps_the_group_active) {
  ReaderChoice choice = Choice(4, 6, 2);
  for (int i = 0; i < 5; ++i) {
    Ask(choice, ReaderAnswer::kNoAnswer);
    const std::size_t healthy = Ask(choice, ReaderAnswer::kNothingNewer);
    BOOST_TEST(Ask(choice, ReaderAnswer::kNewerList) == healthy);
  }
  BOOST_TEST(!choice.first_group_failed());
}

BOOST_AUTO_TEST_CASE(a_standby_reader_asks_the_earlier_readers_and_stops_once_one_reads) {
  ReaderChoice choice = Choice(1, 3, 1);
  Ask(choice, ReaderAnswer::kNoAnswer);
  BOOST_TEST(choice.ShouldRead());
  for (const ReaderAnswer answer :
       {ReaderAnswer::kNoAnswer, ReaderAnswer::kPlatformFailing, ReaderAnswer::kNotReading}) {
    BOOST_TEST(Ask(choice, answer) == 0U);
    BOOST_TEST(choice.ShouldRead());
  }
  Ask(choice, ReaderAnswer::kNothingNewer);
  BOOST_TEST(!choice.ShouldRead());
}

BOOST_AUTO_TEST_CASE(a_failing_platform_fails_the_first_group_only) {
  ReaderChoice choice = Choice(3, 4, 1);
  for (int i = 0; i < 10; ++i) Ask(choice, ReaderAnswer::kPlatformFailing);
  BOOST_TEST(choice.first_group_failed());
  BOOST_TEST(!choice.ShouldRead());
  BOOST_TEST(*choice.NextReaderToAsk(false) == 1U);
}

BOOST_AUTO_TEST_CASE(a_reader_that_has_stopped_is_asked_no_more) {
  ReaderChoice choice = Choice(3, 4, 1);
  Ask(choice, ReaderAnswer::kNoAnswer);
  BOOST_TEST(Ask(choice, ReaderAnswer::kNotReading) == 1U);
  BOOST_TEST(Ask(choice, ReaderAnswer::kNotReading) == 1U);
  BOOST_TEST(*choice.NextReaderToAsk(false) == 0U);
}

BOOST_AUTO_TEST_CASE(a_reader_whose_reads_fail_asks_others_until_it_reads_again) {
  ReaderChoice alone = Choice(0, 3, 1);
  BOOST_TEST(Ask(alone, ReaderAnswer::kNewerList, true) == 1U);
  BOOST_TEST(alone.ShouldRead());
  alone.OnListRead();
  BOOST_TEST(!alone.NextReaderToAsk(false));
  ReaderChoice one_of_two = Choice(0, 4, 2);
  BOOST_TEST(Ask(one_of_two, ReaderAnswer::kNoAnswer, true) == 1U);
  BOOST_TEST(Ask(one_of_two, ReaderAnswer::kNewerList, true) >= 2U);
  BOOST_TEST(!Choice(0, 1, 1).NextReaderToAsk(true));
}

BOOST_AUTO_TEST_CASE(a_fleet_that_shrinks_still_has_an_active_group) {
  ReaderChoice choice = Choice(3, 4, 1);
  Ask(choice, ReaderAnswer::kNoAnswer);
  Ask(choice, ReaderAnswer::kNoAnswer);
  choice.SetFleet(1, 2, 1);
  BOOST_TEST(choice.ShouldRead());
  BOOST_TEST(*choice.NextReaderToAsk(false) == 0U);
}
