#define BOOST_TEST_MODULE item_output
#include "tier/batch/item_output.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "tier/proxy/event_stream.h"

namespace shelflink::batch {
namespace {

using EventId = std::optional<std::uint64_t>;

BOOST_AUTO_TEST_CASE(joins_events_by_line_feeds) {
  ItemOutput output{Output()};
  BOOST_TEST(output.Take({1, "a"}));
  BOOST_TEST(output.Take({2, ""}));
  BOOST_TEST(output.Take({3, "b\nc"}));
  BOOST_TEST(output.all().text == "a\n\nb\nc");
  BOOST_TEST(output.all().events == 3U);
  BOOST_TEST((output.all().last_event_id == EventId(3)));
}

BOOST_AUTO_TEST_CASE(an_empty_first_event_counts) {
  ItemOutput output{Output()};
  BOOST_TEST(output.Take({0, ""}));
  BOOST_TEST(output.Take({1, "x"}));
  BOOST_TEST(output.all().text == "\nx");
}

BOOST_AUTO_TEST_CASE(takes_nothing_that_does_not_follow) {
  for (const EventId id : {EventId(), EventId(0), EventId(6), EventId(7), EventId(9)}) {
    ItemOutput output{Output()};
    BOOST_TEST(output.Take({7, "a"}));
    BOOST_TEST(!output.Take({id, "b"}));
    BOOST_TEST(output.all().text == "a");
    BOOST_TEST(output.all().events == 1U);
    BOOST_TEST(output.Take({8, "c"}));
  }
}

BOOST_AUTO_TEST_CASE(a_first_event_needs_an_id) {
  ItemOutput output{Output()};
  BOOST_TEST(!output.Take({std::nullopt, "a"}));
  BOOST_TEST(output.all().events == 0U);
}

BOOST_AUTO_TEST_CASE(continues_what_earlier_runs_brought) {
  ItemOutput output{Output{"a\nb", 2, 5}};
  BOOST_TEST(!output.Take({1, "a"}));
  BOOST_TEST(!output.Take({5, "b"}));
  BOOST_TEST(output.Take({6, "c"}));
  BOOST_TEST(output.all().text == "a\nb\nc");
}

BOOST_AUTO_TEST_CASE(text_is_bounded) {
  ItemOutput output{Output()};
  BOOST_TEST(output.Take({1, std::string(kLargestResultText - 2, 'x')}));
  BOOST_TEST(!output.Take({2, "yz"}));
  BOOST_TEST(output.Take({2, "y"}));
  BOOST_TEST(output.all().text.size() == kLargestResultText);
}

BOOST_AUTO_TEST_CASE(tells_what_is_not_confirmed) {
  ItemOutput output{Output()};
  BOOST_TEST(!output.Unconfirmed().has_value());
  output.Take({1, "one"});
  const auto first = output.Unconfirmed();
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->offset == 0U);
  BOOST_TEST(first->text == "one");
  output.Take({2, "two"});
  output.Confirm(1, 3);
  const auto second = output.Unconfirmed();
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->offset == 3U);
  BOOST_TEST(second->text == "\ntwo");
  BOOST_TEST(second->events == 2U);
  BOOST_TEST((second->last_event_id == EventId(2)));
  output.Confirm(2, 7);
  BOOST_TEST(!output.Unconfirmed().has_value());
  output.Confirm(1, 3);  // A late answer takes nothing back.
  BOOST_TEST(!output.Unconfirmed().has_value());
  output.ForgetConfirmed();
  BOOST_REQUIRE(output.Unconfirmed().has_value());
  BOOST_TEST(output.Unconfirmed()->text == "one\ntwo");
}

// A store that applies every confirmed part has the whole text, however events and answers mix.
BOOST_AUTO_TEST_CASE(confirmed_parts_make_the_whole) {
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    std::mt19937_64 random(seed);
    ItemOutput output{Output()};
    std::string stored;
    std::uint64_t id = 0;
    for (int step = 0; step < 40; ++step) {
      if (random() % 2 == 0) {
        ++id;
        BOOST_TEST(output.Take({id, std::string(random() % 4, 'x')}));
      } else if (const auto part = output.Unconfirmed()) {
        BOOST_REQUIRE(part->offset <= stored.size());
        stored = stored.substr(0, part->offset) + part->text;
        BOOST_TEST(stored == output.all().text);
        if (random() % 2 == 0) output.Confirm(part->events, part->offset + part->text.size());
        if (random() % 8 == 0) {
          output.ForgetConfirmed();
          stored.clear();
        }
      }
    }
  }
}

// A line that tells of another version stands first in its event and is no part of the text; other
// fields neither.
BOOST_AUTO_TEST_CASE(only_the_data_of_events_is_text) {
  ItemOutput output{Output()};
  proxy::EventStream stream;
  const std::string_view bytes =
      "id: 1\ndata: one\n\n"
      "versions: 7\nid: 2\ndata: two\ndata: and more\n\n"
      ": alive\n\n"
      "event: token\nretry: 5\nid: 3\ndata: three\n\n";
  // In pieces of any length.
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    stream.Feed(bytes.substr(at, 3),
                [&](const proxy::Event& event) { BOOST_TEST(output.Take(event)); });
  }
  BOOST_TEST(output.all().text == "one\ntwo\nand more\nthree");
  BOOST_TEST(output.all().events == 3U);
}

}  // namespace
}  // namespace shelflink::batch
