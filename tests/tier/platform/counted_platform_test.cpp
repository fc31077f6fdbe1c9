// Calls are passed on as they are, their answers too, and each is counted once it has ended.
#define BOOST_TEST_MODULE counted_platform
#include "tier/platform/counted_platform.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

namespace shelflink::platform {
namespace {

// Keeps what it is asked and answers when the test says so.
class HeldPlatform : public Platform {
 public:
  void List(const ListRequest& request, ListDone done) override {
    zone = request.zone;
    list_done = std::move(done);
  }
  void ReportUsage(const UsageReport& report, const DutyHolder& holder, DutyDone done) override {
    window = report.window;
    fence = holder.fence;
    duty_done = std::move(done);
  }
  void Scale(const ScaleOrder& order, const DutyHolder& holder, DutyDone done) override {
    desired = order.desired;
    fence = holder.fence;
    duty_done = std::move(done);
  }

  std::string zone;
  std::uint64_t window = 0;
  std::uint64_t fence = 0;
  int desired = 0;
  ListDone list_done;
  DutyDone duty_done;
};

struct Scene {
  HeldPlatform* held = new HeldPlatform;  // Of `counted`.
  CountedPlatform counted{std::unique_ptr<Platform>(held)};

  std::uint64_t Count(CallKind kind, std::optional<ErrorCode> error) const {
    const auto found = counted.counts().find(CallOutcome{kind, error});
    return found == counted.counts().end() ? 0 : found->second;
  }
};

BOOST_FIXTURE_TEST_CASE(lists_are_counted_by_their_outcome, Scene) {
  std::size_t told = 0;
  const auto list = [&] {
    counted.List({"zone-1", ""}, [&](const CallResult<InstancePage>& page) {
      told += page.has_value() ? page.value().entries.size() : 100;
    });
  };
  list();
  BOOST_TEST(held->zone == "zone-1");
  BOOST_TEST(counted.counts().empty());
  held->list_done(InstancePage{{{}, {}}, ""});
  BOOST_TEST(told == 2U);
  for (int i = 0; i < 2; ++i) {
    list();
    held->list_done(CallError{ErrorCode::kExhausted, "over the rate", std::nullopt});
  }
  BOOST_TEST(told == 202U);
  BOOST_TEST(Count(CallKind::kList, std::nullopt) == 1U);
  BOOST_TEST(Count(CallKind::kList, ErrorCode::kExhausted) == 2U);
  BOOST_TEST(counted.counts().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(duties_are_counted_apart, Scene) {
  int succeeded = 0;
  const auto done = [&](const CallResult<void>& result) { succeeded += result ? 1 : 0; };
  counted.ReportUsage({7, {}}, {"edge-1", 3}, done);
  BOOST_TEST(held->window == 7U);
  BOOST_TEST(held->fence == 3U);
  held->duty_done(BOOST_OUTCOME_V2_NAMESPACE::success());
  counted.Scale({"big", "zone-1", 5}, {"edge-1", 4}, done);
  BOOST_TEST(held->desired == 5);
  BOOST_TEST(held->fence == 4U);
  held->duty_done(CallError{ErrorCode::kConflict, "a higher fence", std::nullopt});
  BOOST_TEST(succeeded == 1);
  BOOST_TEST(Count(CallKind::kReportUsage, std::nullopt) == 1U);
  BOOST_TEST(Count(CallKind::kScale, ErrorCode::kConflict) == 1U);
  BOOST_TEST(Count(CallKind::kList, std::nullopt) == 0U);
}

BOOST_AUTO_TEST_CASE(names_are_those_of_labels) {
  BOOST_TEST(NameOf(CallKind::kReportUsage) == std::string("report_usage"));
  BOOST_TEST(OutcomeName({CallKind::kList, std::nullopt}) == std::string("ok"));
  BOOST_TEST(OutcomeName({CallKind::kList, ErrorCode::kUnknown}) == std::string("no_answer"));
}

}  // namespace
}  // namespace shelflink::platform
