// Orders find the primary on the virtual network, whatever happens to it and to the way there.
#define BOOST_TEST_MODULE operator_forwarder
#include "tier/operator_api/forwarder.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/virtual.h"
#include "operator_api/fake_service.h"

namespace shelflink::operator_api {
namespace {

using configuration::ChangeMethod;
using configuration::ChangeOrder;
using std::chrono::milliseconds;

constexpr std::uint32_t kHostA = 0x0a000001;
constexpr std::uint32_t kHostB = 0x0a000002;
constexpr std::uint32_t kHostC = 0x0a000003;
const Forwarder::Options kOptions;

struct Core {
  Core(net::VirtualNet& net, std::uint32_t host)
      : process(net, host, "core", 64),
        hub(std::make_unique<transport::Hub>(
            process,
            transport::PeerIdentity{"node", "core", "zone", net::Address::V4(host, 7361), host},
            transport::Hub::Options{})),
        service(process),
        forwarder(std::make_unique<Forwarder>(process, *hub, service, kOptions)) {}
  ~Core() { process.Kill(); }
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  net::Address address() const { return hub->self().address; }

  void Execute(Order order) {
    const std::size_t index = answers.size();
    answers.emplace_back();
    answered_at.emplace_back();
    forwarder->Execute(process.Now(), std::move(order), [this, index](Result<Answer> answer) {
      BOOST_REQUIRE(!answers[index]);  // Once.
      answers[index] = std::move(answer);
      answered_at[index] = process.Now();
    });
    BOOST_REQUIRE(!answers[index]);  // Not from inside.
  }
  std::optional<ErrorCode> error(std::size_t index) const {
    if (!answers[index] || *answers[index]) return std::nullopt;
    return answers[index]->error().code;
  }
  bool acknowledged(std::size_t index) const {
    return answers[index] && *answers[index] &&
           std::holds_alternative<Acknowledged>(answers[index]->value());
  }

  net::VirtualProcess process;
  std::unique_ptr<transport::Hub> hub;
  FakeService service;
  std::unique_ptr<Forwarder> forwarder;
  std::vector<std::optional<Result<Answer>>> answers;
  std::vector<net::Time> answered_at;
};

struct Scene {
  Scene() {
    a->service.known_primary = b->address();
    b->service.is_primary_here = true;
    b->service.known_primary = b->address();
    c->service.known_primary = b->address();
  }
  ~Scene() {
    a.reset();
    b.reset();
    c.reset();
    net.Clear();
  }
  void Run(net::Span span) { net.RunUntil(net.Now() + span); }

  net::VirtualNet net{1};
  std::unique_ptr<Core> a = std::make_unique<Core>(net, kHostA);
  std::unique_ptr<Core> b = std::make_unique<Core>(net, kHostB);
  std::unique_ptr<Core> c = std::make_unique<Core>(net, kHostC);
};

const ChangeOrder kChange{ChangeMethod::kPut, 5, "body"};

BOOST_FIXTURE_TEST_SUITE(forwarder, Scene)

BOOST_AUTO_TEST_CASE(the_primary_executes_its_own) {
  b->Execute(kChange);
  Run(milliseconds(10));
  BOOST_TEST(b->acknowledged(0));
  BOOST_REQUIRE(b->service.changes.size() == 1U);
  BOOST_TEST(b->service.changes[0].body == "body");
}

BOOST_AUTO_TEST_CASE(each_order_reaches_the_primary_whole) {
  b->service.document_result = std::string(3U << 20, 'd');
  b->service.state_result = RetireState::kCompleted;
  const std::string large(4U << 20, 'x');
  a->Execute(ChangeOrder{ChangeMethod::kPatch, 9, large});
  a->Execute(ReadConfigurationOrder{});
  a->Execute(RetireOrder{"store-1", milliseconds(700)});
  a->Execute(RetireStateOrder{"store-2"});
  Run(milliseconds(400));
  BOOST_TEST(a->acknowledged(0));
  BOOST_REQUIRE(b->service.changes.size() == 1U);
  BOOST_TEST((b->service.changes[0].method == ChangeMethod::kPatch));
  BOOST_TEST(b->service.changes[0].base_version == 9U);
  BOOST_TEST((b->service.changes[0].body == large));
  BOOST_REQUIRE((a->answers[1] && *a->answers[1]));
  BOOST_TEST(std::get<Document>(a->answers[1]->value()).json.size() == (3U << 20));
  BOOST_TEST(a->acknowledged(2));
  BOOST_REQUIRE(b->service.retirements.size() == 1U);
  BOOST_TEST((b->service.retirements[0].deadline == milliseconds(700)));
  BOOST_REQUIRE((a->answers[3] && *a->answers[3]));
  BOOST_TEST((std::get<RetireState>(a->answers[3]->value()) == RetireState::kCompleted));
  BOOST_TEST(a->service.changes.empty());
}

BOOST_AUTO_TEST_CASE(errors_come_back_as_they_are) {
  for (const ErrorCode code : {ErrorCode::kInvalid, ErrorCode::kConflict, ErrorCode::kExhausted,
                               ErrorCode::kNotFound, ErrorCode::kTooLarge}) {
    b->service.change_result = MakeError(code, "the reason");
    const std::size_t index = a->answers.size();
    a->Execute(kChange);
    Run(milliseconds(50));
    BOOST_TEST((a->error(index) == code));
    BOOST_TEST(a->answers[index]->error().text == "the reason");
  }
}

BOOST_AUTO_TEST_CASE(without_a_primary_it_waits_and_then_says_so) {
  a->service.known_primary.reset();
  a->Execute(kChange);
  Run(kOptions.answer_timeout - milliseconds(1));
  BOOST_TEST(!a->answers[0].has_value());
  Run(milliseconds(2));
  BOOST_TEST((a->error(0) == ErrorCode::kUnavailable));
}

BOOST_AUTO_TEST_CASE(a_primary_that_appears_in_time_is_found) {
  a->service.known_primary.reset();
  a->Execute(kChange);
  Run(milliseconds(300));
  a->service.known_primary = b->address();
  Run(milliseconds(100));
  BOOST_TEST(a->acknowledged(0));
}

BOOST_AUTO_TEST_CASE(a_process_that_becomes_primary_executes_what_waits) {
  a->service.known_primary.reset();
  a->Execute(kChange);
  Run(milliseconds(100));
  a->service.is_primary_here = true;
  Run(milliseconds(100));
  BOOST_TEST(a->acknowledged(0));
  BOOST_TEST(a->service.changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_former_primary_sends_nobody_on) {
  b->service.is_primary_here = false;
  a->Execute(kChange);
  Run(milliseconds(200));
  BOOST_TEST(!a->answers[0].has_value());
  BOOST_TEST(b->service.changes.empty());
  a->service.known_primary = c->address();
  c->service.is_primary_here = true;
  Run(milliseconds(200));
  BOOST_TEST(a->acknowledged(0));
  BOOST_TEST(c->service.changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_primary_that_loses_its_place_midway_is_not_the_end) {
  b->service.change_result = MakeError(ErrorCode::kUnavailable, "not the primary any more");
  a->Execute(kChange);
  Run(milliseconds(100));
  a->service.known_primary = c->address();
  c->service.is_primary_here = true;
  Run(milliseconds(200));
  BOOST_TEST(a->acknowledged(0));
}

BOOST_AUTO_TEST_CASE(a_silent_primary_leaves_a_change_unknown_and_a_read_unavailable) {
  net.SetCut(kHostA, kHostB, true);
  a->Execute(kChange);
  a->Execute(ReadConfigurationOrder{});
  Run(kOptions.answer_timeout + milliseconds(1));
  BOOST_TEST((a->error(0) == ErrorCode::kUnknown || a->error(0) == ErrorCode::kUnavailable));
  BOOST_TEST((a->error(1) == ErrorCode::kUnavailable));
}

BOOST_AUTO_TEST_CASE(a_primary_cut_off_after_it_has_the_order_leaves_it_unknown) {
  b->service.hold = true;
  a->Execute(kChange);
  Run(milliseconds(50));
  BOOST_REQUIRE(b->service.changes.size() == 1U);
  net.SetCut(kHostA, kHostB, true);
  Run(kOptions.answer_timeout);
  BOOST_TEST((a->error(0) == ErrorCode::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_change_that_was_lost_on_its_way_goes_to_the_next_primary) {
  b->service.hold = true;
  a->Execute(kChange);
  Run(milliseconds(50));
  net.SetCut(kHostA, kHostB, true);
  a->service.known_primary = c->address();
  c->service.is_primary_here = true;
  Run(kOptions.attempt_timeout + milliseconds(100));
  BOOST_TEST(a->acknowledged(0));
  BOOST_REQUIRE(c->service.changes.size() == 1U);
  BOOST_TEST(c->service.changes[0].body == "body");
}

BOOST_AUTO_TEST_CASE(a_refusal_after_an_unknown_try_is_final) {
  b->service.change_result = MakeError(ErrorCode::kUnknown, "a replica is silent");
  a->Execute(kChange);
  Run(milliseconds(20));
  b->service.change_result = MakeError(ErrorCode::kConflict, "another won");
  Run(milliseconds(200));
  BOOST_TEST((a->error(0) == ErrorCode::kConflict));
  BOOST_TEST(b->service.changes.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(a_service_that_never_answers_is_unknown_in_time) {
  b->service.hold = true;
  b->Execute(kChange);
  Run(kOptions.answer_timeout + milliseconds(1));
  BOOST_TEST((b->error(0) == ErrorCode::kUnknown));
  BOOST_TEST((b->answered_at[0].time_since_epoch() <= kOptions.answer_timeout + milliseconds(1)));
  b->service.Release();  // Late: told to nobody.
  Run(milliseconds(10));
}

// The operator turns to another process after a second of silence, its way there and back included.
BOOST_AUTO_TEST_CASE(an_order_has_its_answer_well_within_a_second) {
  BOOST_TEST((kOptions.answer_timeout <= milliseconds(900)));
  BOOST_TEST((kOptions.attempt_timeout + kOptions.retry_pause < kOptions.answer_timeout));
}

BOOST_AUTO_TEST_CASE(time_counts_from_when_the_order_came) {
  Run(milliseconds(500));
  std::optional<Result<Answer>> answer;
  a->service.known_primary.reset();
  a->forwarder->Execute(a->process.Now() - milliseconds(500), kChange,
                        [&](Result<Answer> result) { answer = std::move(result); });
  Run(kOptions.answer_timeout - milliseconds(499));
  BOOST_TEST(answer.has_value());
}

BOOST_AUTO_TEST_CASE(orders_of_others_are_bounded) {
  b->service.hold = true;
  for (std::size_t i = 0; i <= kMostForwarded; ++i) a->Execute(kChange);
  Run(milliseconds(100));
  BOOST_TEST(b->service.held() == kMostForwarded);
  BOOST_TEST((a->error(kMostForwarded) == ErrorCode::kExhausted));
  b->service.Release();
  Run(milliseconds(100));
  BOOST_TEST(a->acknowledged(0));
  a->Execute(kChange);
  Run(milliseconds(20));
  BOOST_TEST(b->service.held() == 1U);
}

BOOST_AUTO_TEST_CASE(bytes_of_others_are_bounded) {
  b->service.hold = true;
  const std::string large(kMostForwardedBytes / 4, 'x');
  for (int i = 0; i < 4; ++i) a->Execute(ChangeOrder{ChangeMethod::kPut, 5, large});
  Run(milliseconds(380));
  BOOST_TEST(b->service.held() == 3U);
  BOOST_TEST((a->error(3) == ErrorCode::kExhausted));
}

BOOST_AUTO_TEST_CASE(orders_that_never_end_are_forgotten) {
  b->service.hold = true;
  for (std::size_t i = 0; i < kMostForwarded; ++i) a->Execute(kChange);
  Run(std::chrono::seconds(11));
  b->service.hold = false;
  const std::size_t index = a->answers.size();
  a->Execute(kChange);
  Run(milliseconds(100));
  BOOST_TEST(a->acknowledged(index));
}

// As kInvalid it would reach the operator as 400: a refusal by a process that could not know.
BOOST_AUTO_TEST_CASE(a_message_that_cannot_be_read_is_no_refusal_of_the_order) {
  const auto reply_to = [&](transport::Hub& hub, const std::string& message) {
    std::optional<Result<std::string>> reply;
    hub.Call(b->address(), kOrderCall, message, milliseconds(500),
             [&](Result<std::string> result) { reply = std::move(result); });
    Run(milliseconds(100));
    BOOST_REQUIRE(reply.has_value());
    return *reply;
  };
  const std::string whole = EncodeOrder(kChange);
  for (const std::string& message :
       {std::string("nonsense"), std::string(), whole.substr(0, whole.size() - 1), whole + "x"}) {
    const auto reply = reply_to(*a->hub, message);
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().code == ErrorCode::kUnavailable));
  }
  BOOST_TEST(b->service.changes.empty());
  BOOST_TEST(reply_to(*a->hub, whole).has_value());
}

BOOST_AUTO_TEST_CASE(only_core_processes_forward_orders) {
  net::VirtualProcess process(net, 0x0a000009, "proxy", 64);
  transport::Hub hub(
      process,
      transport::PeerIdentity{"edge", "proxy", "zone", net::Address::V4(0x0a000009, 7360), 9},
      transport::Hub::Options{});
  std::optional<Result<std::string>> reply;
  hub.Call(b->address(), kOrderCall, EncodeOrder(kChange), milliseconds(500),
           [&](Result<std::string> result) { reply = std::move(result); });
  Run(milliseconds(100));
  process.Kill();
  BOOST_REQUIRE((reply && !*reply));
  BOOST_TEST((reply->error().code == ErrorCode::kUnavailable));
  BOOST_TEST(b->service.changes.empty());
}

BOOST_AUTO_TEST_CASE(a_forwarder_that_is_gone_tells_nobody) {
  b->service.hold = true;
  b->Execute(kChange);
  a->Execute(kChange);
  Run(milliseconds(50));
  a->forwarder.reset();
  b->forwarder.reset();
  b->service.Release();
  Run(milliseconds(1000));
  BOOST_TEST(!a->answers[0].has_value());
  BOOST_TEST(!b->answers[0].has_value());
  c->Execute(kChange);
  Run(milliseconds(1000));
  BOOST_TEST((c->error(0) == ErrorCode::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace shelflink::operator_api
