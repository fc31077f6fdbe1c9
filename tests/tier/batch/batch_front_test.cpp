// The batch interface against scripted stores on the virtual network: what a client is told while
// stores fail, move, lose answers or stay silent.
#define BOOST_TEST_MODULE batch_front
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "batch/virtual_nodes.h"
#include "tier/batch/front.h"
#include "tier/batch/partition.h"

namespace shelflink::batch {
namespace {

constexpr const char* kJob =
    R"({"requests":[{"id":"i-1","path":"/jobs/1","headers":{"A":"b"},"body":"Zm9v","tokens":9}]})";

Result<std::string> Fail(ErrorCode code) { return MakeError(code, "scripted"); }
Result<std::string> Accepted() { return Encode(SubmitAnswer()); }

struct Fixture {
  Fixture() : net(5), proxy(net, 0, "proxy"), first(net, 1), second(net, 2) {
    auto filled = std::make_shared<configuration::Configuration>();
    configuration::Route route;
    route.name = "r-jobs";
    route.hostname = "lots.example";
    route.path_prefix = "/jobs/";
    route.kind = configuration::RouteKind::kBatch;
    route.split = {{"captions", 1.0}};
    route.max_attempts = 3;
    route.run_aim = milliseconds(10'000);
    route.keep = milliseconds(60'000);
    route.max_queued_tokens = 5000;
    filled->routes = {route};
    configuration::Tenant tenant;
    tenant.name = "studio";
    filled->tenants = {tenant};
    filled->Index();
    configuration = filled;
    view.configuration = configuration;
    Place(first.address(), 4);
    front = std::make_unique<Front>(
        proxy.process, *proxy.hub, [this]() -> const cluster::View& { return view; }, Bounds());
  }
  ~Fixture() { net.Clear(); }

  void Place(const net::Address& primary, std::uint64_t epoch) {
    view.placement = PlacementOf({primary, primary, primary}, epoch);
    if (front) front->OnPlacement();
  }
  proxy::BatchCaller Caller() const {
    return {configuration, &configuration->routes[0], "studio", proxy.process.Now()};
  }
  void Pass(milliseconds span) { net.RunUntil(net.Now() + span); }

  void Submit(const std::string& json = kJob, const std::string& job = "job-1") {
    submitted.reset();
    front->Submit(Caller(), {job, json}, [this](Result<void> result) {
      BOOST_REQUIRE(!submitted.has_value());
      submitted = std::move(result);
    });
  }
  void Read(milliseconds wait, const std::string& job = "job-1") {
    page.reset();
    front->Read(Caller(), {job, 3, wait}, [this](Result<proxy::BatchPage> result) {
      BOOST_REQUIRE(!page.has_value());
      page = std::move(result);
    });
  }
  void End(const std::string& job = "job-1") {
    ended.reset();
    front->End(Caller(), job, [this](Result<void> result) { ended = std::move(result); });
  }
  void Body(const std::string& item) {
    body.reset();
    front->Body(Caller(), "job-1", item,
                [this](Result<std::string> result) { body = std::move(result); });
  }
  template <typename T>
  static ErrorCode CodeOf(const std::optional<Result<T>>& result) {
    BOOST_REQUIRE(result.has_value());
    BOOST_REQUIRE(!result->has_value());
    return result->error().code;
  }
  bool Taken() const { return submitted && submitted->has_value(); }

  net::VirtualNet net;
  Node proxy;
  StandInStore first;
  StandInStore second;
  std::shared_ptr<const configuration::Configuration> configuration;
  cluster::View view;
  std::unique_ptr<Front> front;
  std::optional<Result<void>> submitted;
  std::optional<Result<void>> ended;
  std::optional<Result<proxy::BatchPage>> page;
  std::optional<Result<std::string>> body;
};

BOOST_FIXTURE_TEST_CASE(submits_to_the_primary_of_the_tenants_partition, Fixture) {
  view.placement = PlacementOf({second.address(), second.address(), second.address()}, 9);
  auto placement = std::make_shared<cluster::Placement>(*view.placement);
  const std::uint32_t partition = PartitionOf("studio", "lots.example", 3);
  placement->rows[partition].primary = first.address();
  view.placement = placement;
  first.answer = [](MessageKind, std::string_view) { return Accepted(); };
  Submit();
  BOOST_TEST(!submitted.has_value());
  Pass(milliseconds(40));
  BOOST_TEST(Taken());
  BOOST_TEST(second.questions.empty());
  const auto message = first.Last<batch::Submit>(kSubmit);
  BOOST_TEST(message.job.partition == partition);
  BOOST_TEST(message.job.epoch == 9U);
  BOOST_TEST(message.job.tenant == "studio");
  BOOST_TEST(message.job.host == "lots.example");
  BOOST_TEST(message.job.job == "job-1");
  BOOST_TEST(message.route == "r-jobs");
  BOOST_TEST(message.max_queued_tokens == 5000U);
  BOOST_TEST(message.max_attempts == 3U);
  BOOST_TEST(message.keep.count() == 60'000);
  BOOST_TEST(message.run_aim.count() == 10'000);
  BOOST_REQUIRE_EQUAL(message.items.size(), 1U);
  BOOST_TEST(message.items[0].body == "foo");
  BOOST_TEST(message.items[0].tokens == 9U);
}

BOOST_FIXTURE_TEST_CASE(the_smaller_of_two_quotas_binds, Fixture) {
  first.answer = [](MessageKind, std::string_view) { return Accepted(); };
  auto changed = std::make_shared<configuration::Configuration>(*configuration);
  changed->tenants[0].max_queued_tokens = 800;
  configuration = changed;
  Submit();
  Pass(milliseconds(40));
  BOOST_TEST(first.Last<batch::Submit>(kSubmit).max_queued_tokens == 800U);
  changed->tenants[0].max_queued_tokens = 0;
  Submit();
  Pass(milliseconds(40));
  BOOST_TEST(first.Last<batch::Submit>(kSubmit).max_queued_tokens == 5000U);
}

BOOST_FIXTURE_TEST_CASE(what_cannot_be_read_never_leaves, Fixture) {
  Submit("{");
  BOOST_TEST((CodeOf(submitted) == ErrorCode::kInvalid));
  Submit(R"({"requests":[{"id":"i","path":"/jobs/1","headers":{},"body":"?","tokens":9}]})");
  BOOST_TEST((CodeOf(submitted) == ErrorCode::kInvalid));
  BOOST_TEST(submitted->error().text.find("requests[0].body") != std::string::npos);
  Submit(kJob, "an id");
  BOOST_TEST((CodeOf(submitted) == ErrorCode::kInvalid));
  Pass(milliseconds(5000));
  BOOST_TEST(first.questions.empty());
}

BOOST_FIXTURE_TEST_CASE(the_stores_refusals_are_final, Fixture) {
  first.answer = [](MessageKind, std::string_view) {
    return Result<std::string>(Encode(SubmitAnswer{SubmitOutcome::kExhausted, milliseconds(500)}));
  };
  Submit();
  Pass(milliseconds(40));
  BOOST_TEST((CodeOf(submitted) == ErrorCode::kExhausted));
  first.answer = [](MessageKind, std::string_view) {
    return Result<std::string>(Encode(SubmitAnswer{SubmitOutcome::kConflict, milliseconds(0)}));
  };
  Submit();
  Pass(milliseconds(40));
  BOOST_TEST((CodeOf(submitted) == ErrorCode::kInvalid));
  BOOST_TEST(first.questions.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_submission_is_never_promised_not_to_run, Fixture) {
  Submit();  // Refused as kUnavailable by every store until the client's time is over.
  Pass(milliseconds(2900));
  BOOST_TEST(!submitted.has_value());
  Pass(milliseconds(200));
  BOOST_TEST((CodeOf(submitted) == ErrorCode::kUnknown));
  BOOST_TEST(first.questions.size() > 3U);
  BOOST_TEST(first.questions.size() < 20U);
  view.placement = nullptr;
  Submit();
  Pass(milliseconds(3100));
  BOOST_TEST((CodeOf(submitted) == ErrorCode::kUnknown));
}

BOOST_FIXTURE_TEST_CASE(follows_the_partition_to_its_new_primary, Fixture) {
  second.answer = [](MessageKind, std::string_view) { return Accepted(); };
  Submit();
  Pass(milliseconds(700));
  BOOST_TEST(!submitted.has_value());
  Place(second.address(), 5);
  Pass(milliseconds(5));
  BOOST_TEST(Taken());
  BOOST_TEST(second.Last<batch::Submit>(kSubmit).job.epoch == 5U);
}

BOOST_FIXTURE_TEST_CASE(waits_for_a_first_placement, Fixture) {
  view.placement = nullptr;
  second.answer = [](MessageKind, std::string_view) { return Accepted(); };
  Submit();
  Pass(milliseconds(500));
  Place(second.address(), 1);
  Pass(milliseconds(5));
  BOOST_TEST(Taken());
}

BOOST_FIXTURE_TEST_CASE(a_silent_primary_is_left_for_its_successor, Fixture) {
  second.answer = [](MessageKind, std::string_view) { return Accepted(); };
  first.process.SetPaused(true);
  Submit();
  Pass(milliseconds(600));
  Place(second.address(), 5);
  Pass(milliseconds(10));
  BOOST_TEST(Taken());
}

BOOST_FIXTURE_TEST_CASE(a_late_acceptance_of_an_earlier_try_counts, Fixture) {
  first.answer = [](MessageKind, std::string_view) { return std::nullopt; };
  second.answer = first.answer;
  Submit();
  Pass(milliseconds(100));
  Place(second.address(), 5);
  Pass(milliseconds(100));
  BOOST_TEST(!submitted.has_value());
  first.unanswered.at(0)(Accepted());
  Pass(milliseconds(10));
  BOOST_TEST(Taken());
  second.unanswered.at(0)(Fail(ErrorCode::kUnknown));
  Pass(milliseconds(4000));
}

BOOST_FIXTURE_TEST_CASE(a_late_refusal_of_an_earlier_try_counts_for_nothing, Fixture) {
  first.answer = [](MessageKind, std::string_view) { return std::nullopt; };
  second.answer = first.answer;
  Submit();
  Pass(milliseconds(100));
  Place(second.address(), 5);
  Pass(milliseconds(100));
  first.unanswered.at(0)(Fail(ErrorCode::kExhausted));
  Pass(milliseconds(10));
  BOOST_TEST(!submitted.has_value());
  second.unanswered.at(0)(Accepted());
  Pass(milliseconds(10));
  BOOST_TEST(Taken());
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_asked_for_again, Fixture) {
  int asked = 0;
  first.answer = [&](MessageKind, std::string_view) -> std::optional<Result<std::string>> {
    if (asked++ == 0) {
      net.ResetBetween(proxy.host, first.host);  // Taken, and the answer never arrives.
      return std::nullopt;
    }
    return Accepted();
  };
  Submit();
  Pass(milliseconds(1500));
  BOOST_TEST(Taken());
  BOOST_TEST(asked == 2);
  const auto one = Decode<batch::Submit>(first.questions[0].body).value();
  const auto other = Decode<batch::Submit>(first.questions[1].body).value();
  BOOST_TEST(one.items[0].body == other.items[0].body);
  BOOST_TEST(one.age < other.age);  // The job's age goes on from the client's send.
}

BOOST_FIXTURE_TEST_CASE(reads_a_page, Fixture) {
  first.answer = [](MessageKind, std::string_view) {
    ReadAnswer answer;
    answer.total = 9;
    answer.next = 5;
    answer.results = {{"i-3", ResultState::kCompleted, "a\nb"},
                      {"i-1", ResultState::kDeadLetter, ""}};
    return Result<std::string>(Encode(answer));
  };
  Read(milliseconds(1000));
  Pass(milliseconds(20));
  BOOST_REQUIRE(page.has_value() && page->has_value());
  const proxy::BatchPage& got = page->value();
  BOOST_TEST(got.total == 9U);
  BOOST_REQUIRE_EQUAL(got.results.size(), 2U);
  BOOST_TEST(got.results[0].id == "i-3");
  BOOST_TEST(got.results[0].completed);
  BOOST_TEST(got.results[0].text == "a\nb");
  BOOST_TEST(!got.results[1].completed);
  const auto message = first.Last<batch::Read>(kRead);
  BOOST_TEST(message.after == 3U);
  BOOST_TEST(message.wait.count() == 1000);
  BOOST_TEST(message.most_bytes == kMostResultBytes);
}

BOOST_FIXTURE_TEST_CASE(a_repeated_read_waits_only_for_the_rest, Fixture) {
  Read(milliseconds(1000));
  Pass(milliseconds(700));
  const auto message = first.Last<batch::Read>(kRead);
  BOOST_TEST(message.wait.count() < 800);
  BOOST_TEST(message.wait.count() > 200);
  Pass(milliseconds(800));
  BOOST_TEST(first.Last<batch::Read>(kRead).wait.count() == 0);
}

BOOST_FIXTURE_TEST_CASE(not_found_is_said_only_by_the_store, Fixture) {
  first.answer = [](MessageKind, std::string_view) { return Fail(ErrorCode::kNotFound); };
  Read(milliseconds(0));
  Body("i-1");
  End();
  Pass(milliseconds(20));
  BOOST_TEST((CodeOf(page) == ErrorCode::kNotFound));
  BOOST_TEST((CodeOf(body) == ErrorCode::kNotFound));
  BOOST_TEST((CodeOf(ended) == ErrorCode::kNotFound));
  first.answer = [](MessageKind, std::string_view) { return Fail(ErrorCode::kUnavailable); };
  Read(milliseconds(0));
  Body("i-1");
  End();
  Pass(milliseconds(4000));
  BOOST_TEST((CodeOf(page) == ErrorCode::kUnavailable));
  BOOST_TEST((CodeOf(body) == ErrorCode::kUnavailable));
  BOOST_TEST((CodeOf(ended) == ErrorCode::kUnavailable));
}

BOOST_FIXTURE_TEST_CASE(a_read_ends_within_the_clients_patience, Fixture) {
  first.answer = [](MessageKind, std::string_view) { return std::nullopt; };
  Read(milliseconds(1000));
  Pass(milliseconds(2190));
  BOOST_TEST(!page.has_value());
  Pass(milliseconds(20));
  BOOST_TEST((CodeOf(page) == ErrorCode::kUnknown));
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_cannot_be_read_is_no_answer, Fixture) {
  first.answer = [](MessageKind, std::string_view) { return Result<std::string>("garbled"); };
  Submit();
  Read(milliseconds(0));
  Pass(milliseconds(20));
  BOOST_TEST((CodeOf(submitted) == ErrorCode::kUnknown));
  BOOST_TEST((CodeOf(page) == ErrorCode::kUnavailable));
}

BOOST_FIXTURE_TEST_CASE(bodies_and_ends_are_carried, Fixture) {
  first.answer = [](MessageKind kind, std::string_view) {
    return Result<std::string>(kind == kBody ? std::string("\0\xff", 2) : std::string());
  };
  Body("i-1");
  End();
  Pass(milliseconds(20));
  BOOST_REQUIRE(body.has_value() && body->has_value());
  BOOST_TEST((body->value() == std::string("\0\xff", 2)));
  BOOST_TEST((ended.has_value() && ended->has_value()));
  BOOST_TEST(first.Last<ItemRef>(kBody).item == "i-1");
  BOOST_TEST(first.Last<ItemRef>(kBody).job.job == "job-1");
  BOOST_TEST(first.Last<JobRef>(kEnd).job == "job-1");
}

BOOST_FIXTURE_TEST_CASE(ids_that_no_job_can_have_are_not_asked_for, Fixture) {
  Read(milliseconds(0), "");
  End(std::string(300, 'x'));
  Body("an item");
  BOOST_TEST((CodeOf(page) == ErrorCode::kNotFound));
  BOOST_TEST((CodeOf(ended) == ErrorCode::kNotFound));
  BOOST_TEST((CodeOf(body) == ErrorCode::kNotFound));
  Pass(milliseconds(100));
  BOOST_TEST(first.questions.empty());
}

BOOST_FIXTURE_TEST_CASE(questions_under_way_are_bounded, Fixture) {
  first.answer = [](MessageKind, std::string_view) { return std::nullopt; };
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kMostQuestions + 5; ++i) {
    front->End(Caller(), "job-1", [&](Result<void> result) {
      if (result.error().code == ErrorCode::kUnavailable) ++refused;
    });
  }
  Pass(milliseconds(10));
  BOOST_TEST(refused == 5U);
}

BOOST_FIXTURE_TEST_CASE(a_front_that_is_gone_answers_nothing, Fixture) {
  first.answer = [](MessageKind, std::string_view) { return std::nullopt; };
  Submit();
  Pass(milliseconds(50));
  front.reset();
  first.unanswered.at(0)(Accepted());
  Pass(milliseconds(5000));
  BOOST_TEST(!submitted.has_value());
}

// Whatever stores and network do: one answer each, in time, and never a promise that nothing ran.
BOOST_AUTO_TEST_CASE(histories_by_seeds) {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Fixture world;
      std::mt19937_64 random(seed);
      bool stored = false;
      const auto script = [&](MessageKind kind,
                              std::string_view) -> std::optional<Result<std::string>> {
        switch (random() % 5) {
          case 0:
            return Fail(ErrorCode::kUnavailable);
          case 1:
            return Fail(ErrorCode::kUnknown);
          case 2:
            world.net.ResetBetween(world.proxy.host, world.first.host);
            stored = stored || kind == kSubmit;
            return std::nullopt;
          case 3:
            return std::nullopt;
          default:
            stored = stored || kind == kSubmit;
            return Accepted();
        }
      };
      world.first.answer = script;
      world.second.answer = script;
      const net::Time began = world.net.Now();
      world.Submit();
      while (!world.submitted && world.net.Now() < began + std::chrono::seconds(5)) {
        world.Pass(milliseconds(1 + random() % 300));
        if (random() % 3 == 0) {
          world.Place(random() % 2 == 0 ? world.first.address() : world.second.address(),
                      5 + random() % 100);
        }
      }
      BOOST_REQUIRE(world.submitted.has_value());
      BOOST_TEST((world.net.Now() - began < milliseconds(3400)));
      if (world.submitted->has_value()) {
        BOOST_TEST(stored);
      } else {
        BOOST_TEST((world.submitted->error().code == ErrorCode::kUnknown));
      }
    }
  }
}

}  // namespace
}  // namespace shelflink::batch
