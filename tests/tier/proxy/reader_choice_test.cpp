// Which proxies read the platform's list, and whom the others ask.
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

// Asks and is answered once; the rank that was asked.
std::size_t Ask(ReaderChoice& choice, ReaderAnswer answer, bool in_trouble = false) {
  const std::optional<std::size_t> rank = choice.NextToAsk(in_trouble);
  BOOST_REQUIRE(rank);
  choice.OnAnswer(*rank, answer);
  return *rank;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_first_group_reads_and_asks_nobody) {
  for (std::size_t rank = 0; rank < 6; ++rank) {
    ReaderChoice choice = Choice(rank, 6, 2);
    BOOST_TEST(choice.Reads() == (rank < 2));
    BOOST_TEST(choice.NextToAsk(false).has_value() == (rank >= 2));
  }
}

BOOST_AUTO_TEST_CASE(the_next_group_reads_after_all_readers_have_been_silent) {
  ReaderChoice next = Choice(2, 6, 2);
  ReaderChoice last = Choice(5, 6, 2);
  for (ReaderChoice* choice : {&next, &last}) {
    BOOST_TEST(Ask(*choice, ReaderAnswer::kSilent) < 2U);
    BOOST_TEST(!choice->first_group_given_up());
    BOOST_TEST(Ask(*choice, ReaderAnswer::kSilent) < 2U);
    BOOST_TEST(choice->first_group_given_up());
  }
  BOOST_TEST(next.Reads());
  BOOST_TEST(!last.Reads());
  Ask(last, ReaderAnswer::kSilent);
  Ask(last, ReaderAnswer::kSilent);
  BOOST_TEST(last.Reads());
}

BOOST_AUTO_TEST_CASE(one_reader_that_answers_keeps_the_group_in_charge) {
  ReaderChoice choice = Choice(4, 6, 2);
  for (int i = 0; i < 5; ++i) {
    Ask(choice, ReaderAnswer::kSilent);
    const std::size_t healthy = Ask(choice, ReaderAnswer::kNothingNewer);
    BOOST_TEST(Ask(choice, ReaderAnswer::kList) == healthy);
  }
  BOOST_TEST(!choice.first_group_given_up());
}

BOOST_AUTO_TEST_CASE(who_stands_in_asks_the_earlier_readers_and_stops_once_one_reads) {
  ReaderChoice choice = Choice(1, 3, 1);
  Ask(choice, ReaderAnswer::kSilent);
  BOOST_TEST(choice.Reads());
  for (const ReaderAnswer answer :
       {ReaderAnswer::kSilent, ReaderAnswer::kTrouble, ReaderAnswer::kNotReading}) {
    BOOST_TEST(Ask(choice, answer) == 0U);
    BOOST_TEST(choice.Reads());
  }
  Ask(choice, ReaderAnswer::kNothingNewer);
  BOOST_TEST(!choice.Reads());
}

BOOST_AUTO_TEST_CASE(trouble_of_the_platform_gives_up_the_first_group_only) {
  ReaderChoice choice = Choice(3, 4, 1);
  for (int i = 0; i < 10; ++i) Ask(choice, ReaderAnswer::kTrouble);
  BOOST_TEST(choice.first_group_given_up());
  BOOST_TEST(!choice.Reads());
  BOOST_TEST(*choice.NextToAsk(false) == 1U);
}

BOOST_AUTO_TEST_CASE(a_reader_that_has_stopped_is_asked_no_more) {
  ReaderChoice choice = Choice(3, 4, 1);
  Ask(choice, ReaderAnswer::kSilent);
  BOOST_TEST(Ask(choice, ReaderAnswer::kNotReading) == 1U);
  BOOST_TEST(Ask(choice, ReaderAnswer::kNotReading) == 1U);
  BOOST_TEST(*choice.NextToAsk(false) == 0U);
}

BOOST_AUTO_TEST_CASE(a_reader_in_trouble_asks_others_until_it_reads_again) {
  ReaderChoice alone = Choice(0, 3, 1);
  BOOST_TEST(Ask(alone, ReaderAnswer::kList, true) == 1U);
  BOOST_TEST(alone.Reads());
  alone.OnOwnReading();
  BOOST_TEST(!alone.NextToAsk(false));
  ReaderChoice one_of_two = Choice(0, 4, 2);
  BOOST_TEST(Ask(one_of_two, ReaderAnswer::kSilent, true) == 1U);
  BOOST_TEST(Ask(one_of_two, ReaderAnswer::kList, true) >= 2U);
  BOOST_TEST(!Choice(0, 1, 1).NextToAsk(true));
}

BOOST_AUTO_TEST_CASE(a_fleet_that_becomes_smaller_has_the_group_in_charge_still) {
  ReaderChoice choice = Choice(3, 4, 1);
  Ask(choice, ReaderAnswer::kSilent);
  Ask(choice, ReaderAnswer::kSilent);
  choice.SetFleet(1, 2, 1);
  BOOST_TEST(choice.Reads());
  BOOST_TEST(*choice.NextToAsk(false) == 0U);
}
