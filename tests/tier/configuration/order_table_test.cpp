// The table of docs/design/hardening.md, section 2, row by row: which answer a change is owed in
// which state of the committed map. States are relative to the order itself.
#define BOOST_TEST_MODULE configuration_order_table
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "configuration/verdict.h"
#include "tier/configuration/book.h"

namespace shelflink::configuration {
namespace {

using coordination::Contents;

// In each: version 3 is in force at first (but for kNothing).
enum class State {
  kNothing,      // No configuration yet.
  kBase,         // Its base is in force.
  kItself,       // It was taken and is in force.
  kLater,        // It was taken, and two changes on top of it.
  kOther,        // Another document has its number.
  kOtherNumber,  // Another number was taken on its base.
};
constexpr State kStates[] = {State::kNothing, State::kBase,  State::kItself,
                             State::kLater,   State::kOther, State::kOtherNumber};

constexpr std::uint64_t kBaseVersion = 3;
constexpr std::uint64_t kNumber = 5;

std::string Document(std::uint64_t version, const std::string& note) {
  return R"({"configVersion":)" + std::to_string(version) +
         R"(,"routes":[],"services":[{"name":"s"}],"note":")" + note + "\"}";
}
ChangeOrder Put(std::uint64_t base, std::string body) {
  return {ChangeMethod::kPut, base, std::move(body)};
}
ChangeOrder Patch(std::uint64_t base, std::uint64_t version, const std::string& change) {
  return {ChangeMethod::kPatch, base,
          R"({"configVersion":)" + std::to_string(version) + "," + change + "}"};
}
const std::string kAddService = R"("upsert":{"services":[{"name":"t"}]})";

void Take(Contents& contents, const ChangeOrder& order) {
  BOOST_REQUIRE_EQUAL(Submit(contents, order), Verdict::kTaken);
}

Contents ContentsIn(State state, const ChangeOrder& order) {
  Contents contents;
  if (state == State::kNothing) return contents;
  Take(contents, Put(0, Document(kBaseVersion, "base")));
  switch (state) {
    case State::kItself:
      Take(contents, order);
      break;
    case State::kLater:
      Take(contents, order);
      Take(contents, Patch(kNumber, 8, R"("upsert":{"services":[{"name":"u"}]})"));
      Take(contents, Put(8, Document(9, "later")));
      break;
    case State::kOther:
      Take(contents, Put(kBaseVersion, Document(kNumber, "other")));
      break;
    case State::kOtherNumber:
      Take(contents, Put(kBaseVersion, Document(4, "other")));
      break;
    default:
      break;
  }
  return contents;
}

// The keys of the configuration in force and of the orders taken, without the records of refusals.
Contents Configuration(const Contents& contents) {
  Contents configuration;
  for (const auto& [key, value] : contents) {
    if (key.starts_with(kKeyPrefix)) configuration.emplace(key, value);
  }
  return configuration;
}

struct Row {
  const char* name;
  ChangeOrder order;
  std::vector<State> states;
  std::vector<Verdict> owed;  // In these.
};

void Check(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.states.size(); ++i) {
      BOOST_TEST_CONTEXT(row.name << ", state " << static_cast<int>(row.states[i])) {
        Contents contents = ContentsIn(row.states[i], row.order);
        const Contents before = contents;
        const Verdict given = Submit(contents, row.order);
        BOOST_TEST(given == row.owed[i]);
        BOOST_TEST((Configuration(contents) == Configuration(before)) ==
                   (given != Verdict::kTaken));
        // The same order gets the same answer again, or 200 once it was taken.
        const Verdict again = given == Verdict::kTaken ? Verdict::kTakenBefore : given;
        BOOST_TEST(Submit(contents, row.order) == again);
      }
    }
  }
}

const std::vector<State> kAll(std::begin(kStates), std::end(kStates));
const std::vector<Verdict> kOfAGoodOrder = {Verdict::kConflict,    Verdict::kTaken,
                                            Verdict::kTakenBefore, Verdict::kTakenBefore,
                                            Verdict::kConflict,    Verdict::kConflict};

BOOST_AUTO_TEST_CASE(good_orders) {
  Check({
      {"PUT", Put(kBaseVersion, Document(kNumber, "a")), kAll, kOfAGoodOrder},
      {"PATCH", Patch(kBaseVersion, kNumber, kAddService), kAll, kOfAGoodOrder},
      {"PATCH that changes nothing but the number", Patch(kBaseVersion, kNumber, R"("upsert":{})"),
       kAll, kOfAGoodOrder},
  });
}

BOOST_AUTO_TEST_CASE(orders_that_cannot_be_taken) {
  const std::string invalid =
      R"({"configVersion":5,"routes":[{"name":"r","hostname":"h","pathPrefix":"/",)"
      R"("routeKind":"idempotent","timeoutMs":1,"service":"unknown"}],"services":[]})";
  const std::string unreadable = Document(kNumber, "a").substr(0, 40);
  const std::vector<State> states = {State::kNothing, State::kBase, State::kOther,
                                     State::kOtherNumber};
  Check({
      {"invalid",
       Put(kBaseVersion, invalid),
       states,
       {Verdict::kConflict, Verdict::kInvalid, Verdict::kConflict, Verdict::kConflict}},
      {"not to be read",
       Put(kBaseVersion, unreadable),
       states,
       {Verdict::kInvalid, Verdict::kInvalid, Verdict::kInvalid, Verdict::kInvalid}},
      {"PATCH not to be read",
       {ChangeMethod::kPatch, kBaseVersion, unreadable},
       states,
       {Verdict::kInvalid, Verdict::kInvalid, Verdict::kInvalid, Verdict::kInvalid}},
      {"PATCH whose result is invalid",
       Patch(kBaseVersion, kNumber,
             R"("upsert":{"routes":[{"name":"r","hostname":"h","pathPrefix":"/",)"
             R"("routeKind":"idempotent","timeoutMs":1,"service":"unknown"}]})"),
       states,
       {Verdict::kConflict, Verdict::kInvalid, Verdict::kConflict, Verdict::kConflict}},
      {"number of its base",
       Put(kBaseVersion, Document(kBaseVersion, "a")),
       states,
       {Verdict::kConflict, Verdict::kInvalid, Verdict::kConflict, Verdict::kConflict}},
      {"number below its base",
       Put(kBaseVersion, Document(2, "a")),
       states,
       {Verdict::kConflict, Verdict::kInvalid, Verdict::kConflict, Verdict::kConflict}},
      {"base that is yet to come",
       Put(70, Document(71, "a")),
       states,
       {Verdict::kConflict, Verdict::kConflict, Verdict::kConflict, Verdict::kConflict}},
      {"base long gone",
       Put(1, Document(kNumber, "a")),
       states,
       {Verdict::kConflict, Verdict::kConflict, Verdict::kConflict, Verdict::kConflict}},
  });
}

// Orders that differ from a taken one in a single respect.
BOOST_AUTO_TEST_CASE(near_repeats) {
  const ChangeOrder taken = Put(kBaseVersion, Document(kNumber, "a"));
  const ChangeOrder patch = Patch(kBaseVersion, kNumber, kAddService);
  struct Near {
    const char* name;
    ChangeOrder first;
    ChangeOrder then;
    Verdict owed;
    Verdict owed_later;  // After two changes more.
  };
  const std::vector<Near> all = {
      {"another document", taken, Put(kBaseVersion, Document(kNumber, "b")), Verdict::kConflict,
       Verdict::kConflict},
      {"other bytes", taken, Put(kBaseVersion, taken.body + " "), Verdict::kConflict,
       Verdict::kConflict},
      {"another base", taken, Put(0, taken.body), Verdict::kConflict, Verdict::kConflict},
      {"on top of itself", taken, Put(kNumber, taken.body), Verdict::kInvalid, Verdict::kConflict},
      {"another number", taken, Put(kBaseVersion, Document(kNumber + 1, "a")), Verdict::kConflict,
       Verdict::kConflict},
      {"as PATCH",
       taken,
       {ChangeMethod::kPatch, kBaseVersion, taken.body},
       Verdict::kConflict,
       Verdict::kConflict},
      {"PATCH as PUT",
       patch,
       {ChangeMethod::kPut, kBaseVersion, patch.body},
       Verdict::kConflict,
       Verdict::kConflict},
      {"what a PATCH has made, as PUT", patch, {}, Verdict::kConflict, Verdict::kConflict},
  };
  for (const Near& near : all) {
    BOOST_TEST_CONTEXT(near.name) {
      Contents contents = ContentsIn(State::kItself, near.first);
      ChangeOrder then = near.then;
      if (then.body.empty()) {
        then = Put(kBaseVersion, std::string(CurrentConfiguration(contents)->document));
      }
      BOOST_TEST(Submit(contents, then) == near.owed);
      Contents later = ContentsIn(State::kLater, near.first);
      BOOST_TEST(Submit(later, then) == near.owed_later);
      BOOST_TEST(Submit(later, near.first) == Verdict::kTakenBefore);
    }
  }
}

// Two operators send orders on one base, with one version or two, in both orders of arrival:
// exactly one order is taken.
BOOST_AUTO_TEST_CASE(one_of_two_on_one_base_wins) {
  const std::vector<ChangeOrder> orders = {
      Put(kBaseVersion, Document(kNumber, "a")), Put(kBaseVersion, Document(kNumber, "b")),
      Put(kBaseVersion, Document(kNumber + 1, "c")), Patch(kBaseVersion, kNumber, kAddService),
      Patch(kBaseVersion, kNumber + 1, kAddService)};
  for (const ChangeOrder& first : orders) {
    for (const ChangeOrder& second : orders) {
      if (&first == &second) continue;
      Contents contents = ContentsIn(State::kBase, first);
      BOOST_TEST(Submit(contents, first) == Verdict::kTaken);
      BOOST_TEST(Submit(contents, second) == Verdict::kConflict);
      BOOST_TEST(Submit(contents, first) == Verdict::kTakenBefore);
    }
  }
}

}  // namespace
}  // namespace shelflink::configuration
