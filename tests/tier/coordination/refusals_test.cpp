// Records of refused requests: when a request has to be confirmed, and what is kept of how many.
#define BOOST_TEST_MODULE coordination_refusals
#include "tier/coordination/refusals.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "tier/coordination/apply_writes.h"

namespace shelflink::coordination {
namespace {

constexpr std::string_view kPrefix = "refused/test/";
const Error kError{ErrorCode::kConflict, "not yet"};
const std::vector<Write> kWrites = {{"accepted", "1"}};

struct Map {
  void Apply(const std::vector<Write>& writes) { coordination::Apply(contents, writes); }
  RefusalRecords records() const { return RefusalRecords(contents, kPrefix); }

  void Refuse(const std::string& id, std::uint64_t refusals_seen = 0) {
    const JudgedPlan plan = records().Refuse(id, refusals_seen, kError);
    BOOST_REQUIRE(std::holds_alternative<Refused>(plan.verdict));
    BOOST_TEST(std::get<Refused>(plan.verdict).error.text == kError.text);
    Apply(plan.writes);
  }
  // What has to be confirmed before the request is accepted; 0: nothing.
  std::uint64_t ToConfirm(const std::string& id, std::uint64_t refusals_seen = 0) const {
    const JudgedPlan plan = records().Accept(id, refusals_seen, kWrites);
    if (const auto* required = std::get_if<ConfirmationRequired>(&plan.verdict)) {
      BOOST_TEST(plan.writes.empty());
      BOOST_TEST(required->refusals_seen > refusals_seen);
      return required->refusals_seen;
    }
    BOOST_TEST(std::holds_alternative<Accepted>(plan.verdict));
    BOOST_TEST(plan.writes.size() == kWrites.size());
    return 0;
  }
  std::size_t kept() const {
    return static_cast<std::size_t>(std::count_if(
        contents.begin(), contents.end(),
        [](const auto& entry) { return entry.first.starts_with(std::string(kPrefix) + "id/"); }));
  }

  Contents contents;
};

BOOST_AUTO_TEST_CASE(what_was_never_refused_is_accepted) {
  Map map;
  BOOST_TEST(map.ToConfirm("a") == 0U);
  map.Refuse("b");
  BOOST_TEST(map.ToConfirm("a") == 0U);
  BOOST_TEST(map.ToConfirm("ba") == 0U);
  BOOST_TEST(map.ToConfirm("") == 0U);
}

// Guards against a copy that was held up while the request was refused.
BOOST_AUTO_TEST_CASE(what_was_refused_is_accepted_only_when_it_is_confirmed) {
  Map map;
  map.Refuse("a");
  const std::uint64_t first = map.ToConfirm("a");
  BOOST_TEST(first > 0U);
  BOOST_TEST(map.ToConfirm("a", first - 1) == first);
  BOOST_TEST(map.ToConfirm("a", first) == 0U);
  BOOST_TEST(map.ToConfirm("a", first + 1) == 0U);
}

// Guards against a confirmed copy that was held up while the request was refused once more.
BOOST_AUTO_TEST_CASE(a_later_refusal_needs_a_later_confirmation) {
  Map map;
  map.Refuse("a");
  const std::uint64_t first = map.ToConfirm("a");
  map.Refuse("b");
  map.Refuse("a", first);
  const std::uint64_t second = map.ToConfirm("a", first);
  BOOST_TEST(second > first);
  BOOST_TEST(map.ToConfirm("a", second) == 0U);
}

BOOST_AUTO_TEST_CASE(a_refusal_on_record_is_not_written_again) {
  Map map;
  map.Refuse("a");
  const Contents before = map.contents;
  map.Refuse("a");
  BOOST_TEST((map.contents == before));
}

BOOST_AUTO_TEST_CASE(records_below_an_id_are_forgotten) {
  Map map;
  for (const char* id : {"1/x", "2/a", "2/b", "3/x"}) map.Refuse(id);
  map.Apply(map.records().ForgetBelow("2"));
  BOOST_TEST(map.kept() == 3U);
  map.Apply(map.records().ForgetBelow("3"));
  BOOST_TEST(map.kept() == 1U);
  BOOST_TEST(map.ToConfirm("3/x") > 0U);
  map.Refuse("4");
  BOOST_TEST(map.ToConfirm("4") > map.ToConfirm("3/x"));
}

// Beyond the limit the greatest ids have no record of their own and still have to be confirmed.
BOOST_AUTO_TEST_CASE(the_limit_forgets_no_refusal) {
  constexpr std::size_t kBeyond = 20;
  const auto id = [](std::size_t number) { return std::to_string(100000 + number); };
  Map map;
  for (std::size_t number = 0; number < kMostRefusals + kBeyond; ++number) {
    map.Refuse(id(number * 2));
  }
  BOOST_TEST(map.kept() == kMostRefusals);
  for (std::size_t number = 0; number < kMostRefusals + kBeyond; ++number) {
    const std::uint64_t refusal = map.ToConfirm(id(number * 2));
    BOOST_REQUIRE(refusal > 0U);
    BOOST_REQUIRE(map.ToConfirm(id(number * 2), refusal) == 0U);
  }
  // Those between the ids that are kept were never refused; above them nobody knows.
  BOOST_TEST(map.ToConfirm(id(1)) == 0U);
  BOOST_TEST(map.ToConfirm(id(2 * kMostRefusals - 5)) == 0U);
  BOOST_TEST(map.ToConfirm(id(10 * kMostRefusals)) > 0U);
  map.Apply(map.records().ForgetBelow(id(2 * kMostRefusals)));
  BOOST_TEST(map.ToConfirm(id(2 * kMostRefusals + 2)) > 0U);
}

// Beyond the limit, too, a later refusal needs a later confirmation, and earlier ones are kept.
BOOST_AUTO_TEST_CASE(what_was_dropped_may_be_refused_again) {
  const auto id = [](std::size_t number) { return std::to_string(100000 + number); };
  Map map;
  for (std::size_t number = 0; number <= kMostRefusals; ++number) map.Refuse(id(number));
  constexpr std::size_t kAbove = kMostRefusals + 500;
  for (const std::size_t above : {kAbove, kAbove - 1}) {
    const std::uint64_t first = map.ToConfirm(id(above));
    BOOST_REQUIRE(first > 0U);
    map.Refuse(id(above), first);
    BOOST_TEST(map.ToConfirm(id(above), first) > first);
  }
  BOOST_TEST(map.kept() == kMostRefusals);
  for (std::size_t number = 0; number <= kMostRefusals; ++number) {
    BOOST_REQUIRE(map.ToConfirm(id(number)) > 0U);
  }
}

}  // namespace
}  // namespace shelflink::coordination
