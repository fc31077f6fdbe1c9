// The table of docs/design/hardening.md, section 2, row by row: which answer a change is owed in
// which state of the committed map. States are relative to the order itself.
#define BOOST_TEST_MODULE configuration_order_table
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "configuration/order_caller.h"
#include "tier/configuration/book.h"

namespace shelflink::configuration {
namespace {

using coordination::Contents;

enum class Owed { kTaken, kAgain, k412, k400 };

std::ostream& operator<<(std::ostream& out, Owed owed) {
  constexpr const char* kNames[] = {"200 and taken", "200 and nothing changes", "412", "400"};
  return out << kNames[static_cast<std::size_t>(owed)];
}

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

Owed Give(Contents& contents, const ChangeOrder& order) {
  const Outcome outcome = Call(contents, order);
  BOOST_REQUIRE(outcome.refusals_to_confirm == 0U);
  if (outcome.refusal) {
    const ErrorCode code = outcome.refusal->code;
    BOOST_REQUIRE((code == ErrorCode::kConflict || code == ErrorCode::kInvalid));
    return code == ErrorCode::kConflict ? Owed::k412 : Owed::k400;
  }
  return outcome.is_taken_before ? Owed::kAgain : Owed::kTaken;
}
void Take(Contents& contents, const ChangeOrder& order) {
  BOOST_REQUIRE_EQUAL(Give(contents, order), Owed::kTaken);
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
  std::vector<Owed> owed;  // In these.
};

void Check(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.states.size(); ++i) {
      BOOST_TEST_CONTEXT(row.name << ", state " << static_cast<int>(row.states[i])) {
        Contents contents = ContentsIn(row.states[i], row.order);
        const Contents before = contents;
        const Owed given = Give(contents, row.order);
        BOOST_TEST(given == row.owed[i]);
        BOOST_TEST((Configuration(contents) == Configuration(before)) == (given != Owed::kTaken));
        // The same order gets the same answer again, or 200 once it was taken.
        const Owed again = given == Owed::kTaken ? Owed::kAgain : given;
        BOOST_TEST(Give(contents, row.order) == again);
      }
    }
  }
}

const std::vector<State> kAll(std::begin(kStates), std::end(kStates));
const std::vector<Owed> kOfAGoodOrder = {Owed::k412,   Owed::kTaken, Owed::kAgain,
                                         Owed::kAgain, Owed::k412,   Owed::k412};

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
       {Owed::k412, Owed::k400, Owed::k412, Owed::k412}},
      {"not to be read",
       Put(kBaseVersion, unreadable),
       states,
       {Owed::k400, Owed::k400, Owed::k400, Owed::k400}},
      {"PATCH not to be read",
       {ChangeMethod::kPatch, kBaseVersion, unreadable},
       states,
       {Owed::k400, Owed::k400, Owed::k400, Owed::k400}},
      {"PATCH whose result is invalid",
       Patch(kBaseVersion, kNumber,
             R"("upsert":{"routes":[{"name":"r","hostname":"h","pathPrefix":"/",)"
             R"("routeKind":"idempotent","timeoutMs":1,"service":"unknown"}]})"),
       states,
       {Owed::k412, Owed::k400, Owed::k412, Owed::k412}},
      {"number of its base",
       Put(kBaseVersion, Document(kBaseVersion, "a")),
       states,
       {Owed::k412, Owed::k400, Owed::k412, Owed::k412}},
      {"number below its base",
       Put(kBaseVersion, Document(2, "a")),
       states,
       {Owed::k412, Owed::k400, Owed::k412, Owed::k412}},
      {"base that is yet to come",
       Put(70, Document(71, "a")),
       states,
       {Owed::k412, Owed::k412, Owed::k412, Owed::k412}},
      {"base long gone",
       Put(1, Document(kNumber, "a")),
       states,
       {Owed::k412, Owed::k412, Owed::k412, Owed::k412}},
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
    Owed owed;
    Owed owed_later;  // After two changes more.
  };
  const std::vector<Near> all = {
      {"another document", taken, Put(kBaseVersion, Document(kNumber, "b")), Owed::k412,
       Owed::k412},
      {"other bytes", taken, Put(kBaseVersion, taken.body + " "), Owed::k412, Owed::k412},
      {"another base", taken, Put(0, taken.body), Owed::k412, Owed::k412},
      {"on top of itself", taken, Put(kNumber, taken.body), Owed::k400, Owed::k412},
      {"another number", taken, Put(kBaseVersion, Document(kNumber + 1, "a")), Owed::k412,
       Owed::k412},
      {"as PATCH", taken, {ChangeMethod::kPatch, kBaseVersion, taken.body}, Owed::k412, Owed::k412},
      {"PATCH as PUT",
       patch,
       {ChangeMethod::kPut, kBaseVersion, patch.body},
       Owed::k412,
       Owed::k412},
      {"what a PATCH has made, as PUT", patch, {}, Owed::k412, Owed::k412},
  };
  for (const Near& near : all) {
    BOOST_TEST_CONTEXT(near.name) {
      Contents contents = ContentsIn(State::kItself, near.first);
      ChangeOrder then = near.then;
      if (then.body.empty()) {
        then = Put(kBaseVersion, std::string(CurrentConfiguration(contents)->document));
      }
      BOOST_TEST(Give(contents, then) == near.owed);
      Contents later = ContentsIn(State::kLater, near.first);
      BOOST_TEST(Give(later, then) == near.owed_later);
      BOOST_TEST(Give(later, near.first) == Owed::kAgain);
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
      BOOST_TEST(Give(contents, first) == Owed::kTaken);
      BOOST_TEST(Give(contents, second) == Owed::k412);
      BOOST_TEST(Give(contents, first) == Owed::kAgain);
    }
  }
}

}  // namespace
}  // namespace shelflink::configuration
