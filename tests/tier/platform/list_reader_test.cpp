// The reader of the platform's list, event by event and over random histories of a platform that
// fails: within its share of the rate, complete lists only, never stuck.
#define BOOST_TEST_MODULE list_reader
#include "tier/platform/list_reader.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace shelflink::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

net::Time At(milliseconds since_start) { return net::Time(seconds(100) + since_start); }

cluster::EndpointEntry Entry(const std::string& id, bool draining = false) {
  cluster::EndpointEntry entry;
  entry.id = id;
  entry.draining = draining;
  return entry;
}

InstancePage Page(std::vector<cluster::EndpointEntry> entries, std::string next_token = "") {
  return {std::move(entries), std::move(next_token)};
}

CallError Failure(std::optional<milliseconds> retry_after = {}) {
  return {ErrorCode::kUnknown, "silence", retry_after};
}

ListReader::Options Rate(double rate_per_s) { return {rate_per_s, milliseconds(3000)}; }

BOOST_AUTO_TEST_CASE(a_stopped_reader_calls_nobody) {
  ListReader reader(Rate(44));
  BOOST_TEST(!reader.next_due().has_value());
  BOOST_TEST(!reader.TakeDue(At(milliseconds(0))).has_value());
  reader.Start(At(milliseconds(0)));
  BOOST_TEST(reader.running());
  reader.Stop();
  BOOST_TEST(!reader.TakeDue(At(milliseconds(9000))).has_value());
}

BOOST_AUTO_TEST_CASE(one_page_is_a_walk_and_the_next_follows_after_a_period) {
  ListReader reader(Rate(44));
  reader.Start(At(milliseconds(0)));
  const auto request = reader.TakeDue(At(milliseconds(0)));
  BOOST_REQUIRE(request.has_value());
  BOOST_TEST(request->page_token.empty());
  BOOST_TEST(!reader.next_due().has_value());
  BOOST_TEST(!reader.TakeDue(At(milliseconds(5000))).has_value());
  const auto list = reader.OnPage(At(milliseconds(20)), Page({Entry("a"), Entry("b")}));
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list->size() == 2U);
  BOOST_REQUIRE(reader.next_due().has_value());
  BOOST_TEST((*reader.next_due() == At(milliseconds(750))));
  BOOST_TEST(!reader.TakeDue(At(milliseconds(749))).has_value());
  BOOST_TEST(reader.TakeDue(At(milliseconds(750))).has_value());
}

BOOST_AUTO_TEST_CASE(pages_are_walked_to_the_last_at_half_the_rate) {
  ListReader reader(Rate(10));  // One call each 200 ms.
  reader.Start(At(milliseconds(0)));
  reader.TakeDue(At(milliseconds(0)));
  BOOST_TEST(!reader.OnPage(At(milliseconds(5)), Page({Entry("a")}, "p-1")).has_value());
  BOOST_TEST((*reader.next_due() == At(milliseconds(200))));
  auto request = reader.TakeDue(At(milliseconds(200)));
  BOOST_TEST(request->page_token == "p-1");
  BOOST_TEST(!reader.OnPage(At(milliseconds(210)), Page({Entry("b")}, "p-2")).has_value());
  request = reader.TakeDue(At(milliseconds(400)));
  BOOST_TEST(request->page_token == "p-2");
  const auto list = reader.OnPage(At(milliseconds(410)), Page({Entry("c")}));
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list->size() == 3U);
}

BOOST_AUTO_TEST_CASE(what_stands_on_two_pages_counts_once_as_read_last) {
  ListReader reader(Rate(44));
  reader.Start(At(milliseconds(0)));
  reader.TakeDue(At(milliseconds(0)));
  reader.OnPage(At(milliseconds(5)), Page({Entry("a"), Entry("b")}, "p"));
  reader.TakeDue(At(milliseconds(100)));
  const auto list = reader.OnPage(At(milliseconds(105)), Page({Entry("a", true)}));
  BOOST_REQUIRE(list.has_value());
  BOOST_REQUIRE(list->size() == 2U);
  BOOST_TEST(list->front().id == "a");
  BOOST_TEST(list->front().draining);
}

BOOST_AUTO_TEST_CASE(a_page_that_fails_is_asked_for_again_then_the_walk_starts_anew) {
  ListReader reader(Rate(44));
  milliseconds now(0);
  reader.Start(At(now));
  reader.TakeDue(At(now));
  reader.OnPage(At(now), Page({Entry("a")}, "p"));
  for (int failure = 0; failure < 3; ++failure) {
    now += milliseconds(2000);
    const auto request = reader.TakeDue(At(now));
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->page_token == "p");
    reader.OnFailure(At(now), Failure());
  }
  BOOST_TEST(reader.failures() == 3U);
  now += milliseconds(2000);
  BOOST_TEST(reader.TakeDue(At(now))->page_token.empty());
  const auto list = reader.OnPage(At(now), Page({Entry("b")}));
  BOOST_REQUIRE(list.has_value());
  BOOST_REQUIRE(list->size() == 1U);
  BOOST_TEST(list->front().id == "b");
  BOOST_TEST(reader.failures() == 0U);
}

BOOST_AUTO_TEST_CASE(pauses_grow_with_failures_and_follow_the_platform) {
  ListReader reader(Rate(44));
  net::Time now = At(milliseconds(0));
  reader.Start(now);
  std::vector<net::Span> pauses;
  for (int failure = 0; failure < 6; ++failure) {
    BOOST_REQUIRE(reader.TakeDue(now).has_value());
    reader.OnFailure(now, Failure());
    pauses.push_back(*reader.next_due() - now);
    now = *reader.next_due();
  }
  // A twelfth of the drain at the longest.
  const std::vector<net::Span> wanted = {milliseconds(100), milliseconds(200), milliseconds(250),
                                         milliseconds(250), milliseconds(250), milliseconds(250)};
  BOOST_TEST((pauses == wanted));
  reader.TakeDue(now);
  reader.OnFailure(now, Failure(milliseconds(600)));
  BOOST_TEST((*reader.next_due() == now + milliseconds(600)));
  now = *reader.next_due();
  reader.TakeDue(now);
  reader.OnFailure(now, Failure(seconds(3000)));
  BOOST_TEST((*reader.next_due() == now + milliseconds(750)));
}

// Whatever went before: silence, refusals with or without advice.
BOOST_AUTO_TEST_CASE(a_whole_list_is_read_within_half_a_drain_of_the_platforms_recovery) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    ListReader reader(Rate(44));
    net::Time now = At(milliseconds(0));
    const net::Time recovery = now + milliseconds(2000 + random() % 9000);
    reader.Start(now);
    std::size_t page = 0;
    const std::size_t pages = 1 + random() % 8;
    while (true) {
      now = std::max(now, *reader.next_due());
      const auto request = reader.TakeDue(now);
      BOOST_REQUIRE(request.has_value());
      if (now >= recovery) {
        page = request->page_token.empty() ? 0 : std::stoul(request->page_token);
        now += milliseconds(5);
        const std::string next = page + 1 < pages ? std::to_string(page + 1) : "";
        if (reader.OnPage(now, Page({Entry("a")}, next))) break;
        continue;
      }
      const bool silent = random() % 2 == 0;
      if (silent) now += reader.answer_patience();
      const auto advice = random() % 2 == 0 ? std::optional(milliseconds(random() % 60000))
                                            : std::optional<milliseconds>();
      reader.OnFailure(now, Failure(silent ? std::nullopt : advice));
    }
    BOOST_TEST((now <= recovery + milliseconds(1500)), "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(a_late_answer_counts_unless_something_newer_was_read) {
  ListReader reader(Rate(44));
  reader.Start(At(milliseconds(0)));
  const ListRequest first = *reader.TakeDue(At(milliseconds(0)));
  reader.OnFailure(At(milliseconds(750)), Failure());
  reader.TakeDue(*reader.next_due());
  const auto list =
      reader.OnLatePage(At(milliseconds(900)), first, At(milliseconds(0)), Page({Entry("a")}));
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST((reader.list_started() == At(milliseconds(0))));
  // The call that followed it is answered as well: it was sent later.
  BOOST_TEST(
      reader.OnLatePage(At(milliseconds(950)), first, At(milliseconds(850)), Page({Entry("b")}))
          .has_value());
  BOOST_TEST(
      !reader.OnLatePage(At(milliseconds(960)), first, At(milliseconds(840)), Page({Entry("a")}))
           .has_value());
  // Of a page that is not wanted any more, and of a walk before this one.
  reader.TakeDue(At(milliseconds(3000)));
  reader.OnPage(At(milliseconds(3000)), Page({Entry("a")}, "p"));
  BOOST_TEST(
      !reader.OnLatePage(At(milliseconds(3001)), first, At(milliseconds(3000)), Page({Entry("a")}))
           .has_value());
  BOOST_TEST(
      !reader
           .OnLatePage(At(milliseconds(3001)), {{}, "p"}, At(milliseconds(900)), Page({Entry("a")}))
           .has_value());
}

BOOST_AUTO_TEST_CASE(tokens_that_never_end_are_given_up) {
  ListReader reader(Rate(1000));
  net::Time now = At(milliseconds(0));
  reader.Start(now);
  reader.TakeDue(now);
  reader.OnPage(now, Page({Entry("a")}, "p"));
  now = *reader.next_due();
  reader.TakeDue(now);
  BOOST_TEST(!reader.OnPage(now, Page({Entry("b")}, "p")).has_value());
  now = *reader.next_due();
  BOOST_TEST(reader.TakeDue(now)->page_token.empty());
}

BOOST_AUTO_TEST_CASE(outcomes_that_nobody_waits_for_are_dropped) {
  ListReader reader(Rate(44));
  BOOST_TEST(!reader.OnPage(At(milliseconds(0)), Page({Entry("a")})).has_value());
  reader.Start(At(milliseconds(0)));
  BOOST_TEST(!reader.OnPage(At(milliseconds(0)), Page({Entry("a")})).has_value());
  reader.OnFailure(At(milliseconds(0)), Failure());
  BOOST_TEST(reader.failures() == 0U);
  reader.TakeDue(At(milliseconds(0)));
  reader.Stop();
  BOOST_TEST(!reader.OnPage(At(milliseconds(1)), Page({Entry("a")})).has_value());
}

BOOST_AUTO_TEST_CASE(an_odd_rate_or_bound_still_has_a_pace) {
  for (const double rate : {0.0, -1.0, 1e-9}) {
    ListReader reader(Rate(rate));
    reader.Start(At(milliseconds(0)));
    reader.TakeDue(At(milliseconds(0)));
    reader.OnPage(At(milliseconds(0)), Page({}));
    BOOST_TEST((*reader.next_due() == At(seconds(20))));
  }
  ListReader reader({1e9, milliseconds(0)});
  reader.Start(At(milliseconds(0)));
  reader.TakeDue(At(milliseconds(0)));
  reader.OnPage(At(milliseconds(0)), Page({}));
  BOOST_TEST((*reader.next_due() == At(milliseconds(300))));
}

// A platform with so many pages whose entries change between walks; some calls fail.
void RunHistory(std::uint32_t seed) {
  std::mt19937 random(seed);
  const auto rate = static_cast<double>(5 + random() % 60);
  ListReader reader(Rate(rate));
  net::Time now = At(milliseconds(0));
  reader.Start(now);
  const std::size_t pages = 1 + random() % 5;
  std::vector<net::Time> calls;
  int walk = 0;
  std::size_t lists = 0;
  const net::Time end = now + seconds(120);
  while (now < end) {
    BOOST_REQUIRE(reader.next_due().has_value());
    now = std::max(now, *reader.next_due());
    const auto request = reader.TakeDue(now);
    BOOST_REQUIRE(request.has_value());
    calls.push_back(now);
    if (request->page_token.empty()) ++walk;
    const std::size_t page = request->page_token.empty() ? 0 : std::stoul(request->page_token);
    now += milliseconds(random() % 50);
    if (random() % 10 == 0) {
      reader.OnFailure(now, Failure());
      continue;
    }
    const std::string id = std::to_string(walk) + "-" + std::to_string(page);
    const std::string next = page + 1 < pages ? std::to_string(page + 1) : "";
    const auto list = reader.OnPage(now, Page({Entry(id)}, next));
    if (!list) continue;
    ++lists;
    BOOST_REQUIRE(list->size() == pages);
    for (const auto& entry : *list) {  // All of one walk.
      BOOST_REQUIRE(entry.id.starts_with(std::to_string(walk) + "-"));
    }
  }
  BOOST_TEST(lists > 10U);
  const net::Span spacing = std::chrono::duration_cast<net::Span>(
      std::chrono::duration<double>(2.0 / rate) - std::chrono::microseconds(1));
  for (std::size_t i = 1; i < calls.size(); ++i)
    BOOST_REQUIRE((calls[i] - calls[i - 1] >= spacing));
}

BOOST_AUTO_TEST_CASE(random_histories_keep_the_rate_and_yield_whole_lists) {
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) { RunHistory(seed); }
  }
}

}  // namespace
}  // namespace shelflink::platform
