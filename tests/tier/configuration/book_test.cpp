// Plans of configuration changes: each answer by itself, what a PATCH keeps, and long random
// histories of operators, lost acknowledgements and failovers against a simple model.
#define BOOST_TEST_MODULE configuration_book
#include "tier/configuration/book.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "configuration/sample.h"
#include "configuration/verdict.h"
#include "tier/configuration/json.h"
#include "tier/configuration/model.h"
#include "tier/configuration/patch.h"

namespace shelflink::configuration {
namespace {

using coordination::Contents;
using coordination::Write;

std::string Document(std::uint64_t version, const std::string& note) {
  return R"({"configVersion":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"note":")" + note + "\"}";
}

ChangeOrder Put(std::uint64_t base, std::string body) {
  return {ChangeMethod::kPut, base, std::move(body)};
}

ChangeOrder Patch(std::uint64_t base, std::string body) {
  return {ChangeMethod::kPatch, base, std::move(body)};
}

std::string DocumentIn(const Contents& contents) {
  const auto current = CurrentConfiguration(contents);
  BOOST_REQUIRE(current.has_value());
  return std::string(current->document);
}

std::string ErrorText(const Contents& contents, const ChangeOrder& order) {
  auto plan = PlanChange(contents, order);
  return plan ? "" : plan.error().text;
}

BOOST_AUTO_TEST_CASE(nothing_is_in_force_at_first) {
  BOOST_TEST(!CurrentConfiguration({}).has_value());
}

BOOST_AUTO_TEST_CASE(keeps_a_put_as_it_was_sent) {
  Contents contents;
  BOOST_TEST((Submit(contents, Put(0, kSample)) == Verdict::kTaken));
  BOOST_TEST(DocumentIn(contents) == kSample);
  BOOST_TEST(CurrentConfiguration(contents)->version == 7U);
}

BOOST_AUTO_TEST_CASE(acknowledges_the_exact_repeat_and_only_that) {
  Contents contents;
  const ChangeOrder order = Put(0, Document(3, "a"));
  BOOST_TEST((Submit(contents, order) == Verdict::kTaken));
  BOOST_TEST((Submit(contents, order) == Verdict::kTakenBefore));
  BOOST_TEST((Submit(contents, Put(0, Document(3, "b"))) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, Put(3, Document(3, "a"))) == Verdict::kInvalid));
  BOOST_TEST((Submit(contents, Patch(0, Document(3, "a"))) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, Put(3, Document(5, "c"))) == Verdict::kTaken));
  BOOST_TEST((Submit(contents, order) == Verdict::kTakenBefore));
  BOOST_TEST(DocumentIn(contents) == Document(5, "c"));
}

BOOST_AUTO_TEST_CASE(refuses_another_base_and_versions_that_do_not_rise) {
  Contents contents;
  BOOST_TEST((Submit(contents, Put(4, Document(5, "a"))) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, Put(0, Document(5, "a"))) == Verdict::kTaken));
  BOOST_TEST((Submit(contents, Put(0, Document(9, "b"))) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, Put(4, Document(9, "b"))) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, Put(6, Document(9, "b"))) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, Put(5, Document(5, "b"))) == Verdict::kInvalid));
  BOOST_TEST((Submit(contents, Put(5, Document(4, "b"))) == Verdict::kInvalid));
  BOOST_TEST((Submit(contents, Put(5, Document(6, "b"))) == Verdict::kTaken));
}

BOOST_AUTO_TEST_CASE(refuses_what_is_invalid_with_every_finding) {
  Contents contents;
  const std::string text =
      With(With(kSample, "\"timeoutMs\":4000", "\"timeoutMs\":0"), "\"key-three\"", "\"key-one\"");
  const std::string error = ErrorText(contents, Put(0, text));
  BOOST_TEST(error.find("routes[0].timeoutMs") != std::string::npos);
  BOOST_TEST(error.find("tenants[1].apiKeys[0]") != std::string::npos);
  for (const std::size_t length :
       {std::size_t{0}, std::size_t{1}, kSample.size() / 2, kSample.size() - 1}) {
    BOOST_TEST((Submit(contents, Put(0, kSample.substr(0, length))) == Verdict::kInvalid));
    BOOST_TEST((Submit(contents, Patch(0, kSample.substr(0, length))) == Verdict::kInvalid));
  }
  BOOST_TEST(contents.empty());
}

BOOST_AUTO_TEST_CASE(tells_findings_and_a_version_too_low_together) {
  Contents contents;
  Submit(contents, Put(0, Document(9, "a")));
  const std::string error =
      ErrorText(contents, Put(9, With(kSample, "\"timeoutMs\":4000", "\"timeoutMs\":0")));
  BOOST_TEST(error.find("configVersion") != std::string::npos);
  BOOST_TEST(error.find("routes[0].timeoutMs") != std::string::npos);
}

// The refusal names the size and the bound; the configuration in force stays.
BOOST_AUTO_TEST_CASE(refuses_a_document_beyond_the_bound) {
  DocumentReader reader;
  const ChangeOrder order{ChangeMethod::kPut, 0, kSample};
  Contents contents;
  const auto plan = PlanChange(contents, order, reader, kSample.size() - 1);
  BOOST_REQUIRE(plan);
  const auto* refused = std::get_if<coordination::Refused>(&plan.value().verdict);
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->error.code == ErrorCode::kTooLarge));
  BOOST_TEST(refused->error.text == "document: expected at most " +
                                        std::to_string(kSample.size() - 1) + " bytes, found " +
                                        std::to_string(kSample.size()));
  // At a primary that has room for it, a copy that was held up is not taken.
  Apply(contents, plan.value().writes);
  BOOST_TEST(SendCopy(contents, order).refusals_to_confirm > 0U);
  BOOST_TEST(!CurrentConfiguration(contents).has_value());
  BOOST_TEST((Submit(contents, order) == Verdict::kTaken));
  Contents without_refusal;
  BOOST_TEST((Submit(without_refusal, order) == Verdict::kTaken));
}

// Guards against a copy of an order, refused because its base was yet to come, that a process which
// stood still hands on once that base is in force.
BOOST_AUTO_TEST_CASE(a_refused_order_is_not_taken_when_its_base_has_come) {
  Contents contents;
  const ChangeOrder first = Put(0, Document(1, "first"));
  const ChangeOrder second = Patch(1, R"({"configVersion":7})");
  const ChangeOrder third = Patch(7, R"({"configVersion":9})");
  BOOST_TEST((Submit(contents, first) == Verdict::kTaken));
  BOOST_TEST((Submit(contents, third) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, second) == Verdict::kTaken));
  for (int copy = 0; copy < 3; ++copy) {
    BOOST_TEST(SendCopy(contents, third).refusals_to_confirm > 0U);
    BOOST_TEST(CurrentConfiguration(contents)->version == 7U);
  }
  // Other orders on that base are still taken.
  Contents with_another = contents;
  BOOST_TEST(!SendCopy(with_another, Patch(7, R"({"configVersion":8})")).refusal);
  BOOST_TEST(CurrentConfiguration(with_another)->version == 8U);
  BOOST_TEST((SendCopy(with_another, third).refusal->code == ErrorCode::kConflict));
  // A new call with the same order is taken.
  BOOST_TEST((Submit(contents, third) == Verdict::kTaken));
  BOOST_TEST((Submit(contents, third) == Verdict::kTakenBefore));
}

// A confirmation counts for the refusals that its sender was told of, and for no later one.
BOOST_AUTO_TEST_CASE(a_confirmation_does_not_outlive_the_next_refusal) {
  DocumentReader reader;
  Contents contents;
  ChangeOrder order = Put(0, kSample);
  const auto refuse = [&] {
    const auto plan = PlanChange(contents, order, reader, kSample.size() - 1);
    BOOST_REQUIRE(plan);
    BOOST_REQUIRE(std::holds_alternative<coordination::Refused>(plan.value().verdict));
    Apply(contents, plan.value().writes);
  };
  refuse();
  order.refusals_seen = SendCopy(contents, order).refusals_to_confirm;
  BOOST_TEST(order.refusals_seen > 0U);
  refuse();
  const std::uint64_t later = SendCopy(contents, order).refusals_to_confirm;
  BOOST_TEST(later > order.refusals_seen);
  BOOST_TEST(!CurrentConfiguration(contents).has_value());
  order.refusals_seen = later;
  BOOST_TEST(!SendCopy(contents, order).refusal);
  BOOST_TEST(CurrentConfiguration(contents)->version == 7U);
}

// Records of refused orders are erased once their base is no longer to come.
BOOST_AUTO_TEST_CASE(refusals_are_forgotten_when_their_base_has_gone_by) {
  const auto refusals = [](const Contents& contents) {
    const std::string records = std::string(kRefusedPrefix) + "id/";
    return std::count_if(contents.begin(), contents.end(),
                         [&](const auto& entry) { return entry.first.starts_with(records); });
  };
  Contents contents;
  Submit(contents, Put(0, Document(1, "first")));
  const std::vector<std::uint64_t> bases = {2, 3, 4, 900};
  for (const std::uint64_t base : bases) {
    const ChangeOrder order = Put(base, Document(base + 1, "early"));
    BOOST_TEST((Submit(contents, order) == Verdict::kConflict));
    BOOST_TEST((Submit(contents, order) == Verdict::kConflict));
  }
  BOOST_TEST(refusals(contents) == 4);
  Submit(contents, Put(1, Document(3, "second")));
  BOOST_TEST(refusals(contents) == 3);
  Submit(contents, Put(3, Document(5, "third")));
  BOOST_TEST(refusals(contents) == 1);
  BOOST_TEST((Submit(contents, Put(4, Document(5, "early"))) == Verdict::kConflict));
  BOOST_TEST(refusals(contents) == 1);
}

BOOST_AUTO_TEST_CASE(a_patch_adds_replaces_and_removes_by_name) {
  Contents contents;
  Submit(contents, Put(0, kSample));
  const ChangeOrder order = Patch(7, R"({"configVersion":9,
    "upsert":{"routes":[
      {"name":"deep","hostname":"x.example","pathPrefix":"/","routeKind":"idempotent",
       "timeoutMs":5,"service":"new"},
      {"name":"added","hostname":"y.example","pathPrefix":"/","routeKind":"idempotent",
       "timeoutMs":5,"service":"big"}],
      "services":[{"name":"new"}]},
    "remove":{"routes":["once","never-there"],"tenants":["second"]}})");
  BOOST_TEST((Submit(contents, order) == Verdict::kTaken));
  const std::string document = DocumentIn(contents);
  const auto parsed = Parse(document);
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed.value().version == 9U);
  std::vector<std::string> names;
  for (const Route& route : parsed.value().routes) names.push_back(route.name);
  const std::vector<std::string> wanted = {"stream", "deep", "lots", "added"};
  BOOST_TEST(names == wanted, boost::test_tools::per_element());
  BOOST_TEST(parsed.value().RouteNamed("deep")->hostname == "x.example");
  BOOST_TEST(parsed.value().ServiceNamed("new") != nullptr);
  BOOST_TEST(parsed.value().TenantOfKey("key-three") == nullptr);
  BOOST_TEST(parsed.value().TenantOfKey("key-one") != nullptr);
  BOOST_TEST((Submit(contents, order) == Verdict::kTakenBefore));
}

BOOST_AUTO_TEST_CASE(a_patch_keeps_unknown_members_and_the_form_of_numbers) {
  const std::string odd =
      R"({"configVersion":1,"big":18446744073709551615,"rate":2200000.0,"tiny":1e-7,)"
      R"("word":"\u2713 caf\u00e9 \/ \"q\"",)"
      R"("odd \"name\"":{"a":[1.50,null,true]},"routes":[{"name":"r","hostname":"h","pathPrefix":"/",)"
      R"("routeKind":"idempotent",)"
      R"("timeoutMs":4000.0,"service":"s",)"
      R"("exact":0.1000000000000000055511151231257827}],)"
      R"("services":[{"name":"s"}]})";
  Contents contents;
  BOOST_TEST((Submit(contents, Put(0, odd)) == Verdict::kTaken));
  BOOST_TEST((
      Submit(
          contents,
          Patch(
              1,
              R"({"configVersion":2.0,"upsert":{"routes":[{"name":"t","hostname":"h","pathPrefix":"/t/",)"
              R"("routeKind":"idempotent",)"
              R"("timeoutMs":1,"service":"s","n":9007199254740993}]}})")) == Verdict::kTaken));
  const std::string document = DocumentIn(contents);
  BOOST_TEST_CONTEXT(document) {
    for (const char* kept :
         {"18446744073709551615", "2200000.0", "1e-7", R"("\u2713 caf\u00e9 \/ \"q\"")",
          R"({"a":[1.50,null,true]})", "4000.0", "0.1000000000000000055511151231257827",
          "9007199254740993", R"("odd \"name\"")", R"("configVersion":2.0)"}) {
      BOOST_TEST(document.find(kept) != std::string::npos, "lost " << kept);
    }
  }
  Findings findings;
  BOOST_TEST(json::ReadWhole(document, findings) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_patch_is_checked_as_a_whole) {
  Contents contents;
  Submit(contents, Put(0, kSample));
  const std::vector<std::pair<std::string, std::string>> invalid = {
      {R"("remove":{"services":["small"]})", "routes[1]"},
      {R"("upsert":{"routes":[{"name":"deep","hostname":"stream.example","pathPrefix":"/a/",)"
       R"("routeKind":"idempotent",)"
       R"("timeoutMs":5,"service":"big"}]})",
       "routes[1]"},
      {R"("upsert":{"routes":[{"name":"n","hostname":"n","pathPrefix":"/",)"
       R"("routeKind":"idempotent",)"
       R"("timeoutMs":0,"service":"big"}]})",
       "routes[4].timeoutMs"},
      {R"("upsert":{"tenants":[{"name":"third","apiKeys":["key-one"]}]})", "tenants[2].apiKeys[0]"},
      {R"("upsert":{"routes":[{"hostname":"n"}]})", "upsert.routes[0]"},
      {R"("upsert":{"routes":[7]})", "upsert.routes[0]"},
      {R"("upsert":{"routes":{}})", "upsert.routes"},
      {R"("upsert":[])", "upsert"},
      {R"("upsert":{"limits":[{"name":"x"}]})", "limits"},
      {R"("remove":{"routes":[7]})", "remove.routes[0]"},
      {R"("remove":{"routes":"deep"})", "remove.routes"},
      {R"("remove":"deep")", "remove"},
  };
  const Contents before = contents;
  for (const auto& [body, place] : invalid) {
    BOOST_TEST_CONTEXT(body) {
      const ChangeOrder order = Patch(7, R"({"configVersion":9,)" + body + "}");
      BOOST_TEST((Submit(contents, order) == Verdict::kInvalid));
      const std::string error = ErrorText(contents, order);
      BOOST_TEST(error.find(place + ":") != std::string::npos, error);
    }
  }
  BOOST_TEST((contents == before));
  BOOST_TEST((Submit(contents, Patch(7, R"({"configVersion":7})")) == Verdict::kInvalid));
  BOOST_TEST((Submit(contents, Patch(6, R"({"configVersion":9})")) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, Patch(7, R"({"upsert":{}})")) == Verdict::kInvalid));
  BOOST_TEST((Submit(contents, Patch(7, "[]")) == Verdict::kInvalid));
}

BOOST_AUTO_TEST_CASE(a_patch_may_come_first_and_bring_tenants) {
  Contents contents;
  BOOST_TEST(
      (Submit(contents, Patch(0, R"({"configVersion":1,"upsert":{"services":[{"name":"s"}]}})")) ==
       Verdict::kTaken));
  BOOST_TEST(!Parse(DocumentIn(contents)).value().has_tenants);
  BOOST_TEST((
      Submit(
          contents,
          Patch(1, R"({"configVersion":2,"upsert":{"tenants":[{"name":"t","apiKeys":["k"]}]}})")) ==
      Verdict::kTaken));
  BOOST_TEST(Parse(DocumentIn(contents)).value().TenantOfKey("k")->name == "t");
}

// An order that was taken is acknowledged again or gets no clear answer, however many came after
// it; what is kept for that stays bounded.
BOOST_AUTO_TEST_CASE(remembers_a_bounded_number_of_orders_and_never_refuses_an_older_one) {
  constexpr std::uint64_t kBeyond = 10;
  constexpr std::uint64_t kAll = kOrdersRemembered + kBeyond;
  Contents contents;
  const auto order = [](std::uint64_t number) {
    return Put(2 * (number - 1), Document(2 * number, ""));
  };
  for (std::uint64_t number = 1; number <= kAll; ++number) {
    const ChangeOrder next = order(number);
    auto plan = PlanChange(contents, next);
    BOOST_REQUIRE(plan);
    Apply(contents, plan.value().writes);
  }
  BOOST_TEST(contents.size() == kOrdersRemembered + 4);
  std::size_t bytes = 0;
  for (const auto& [key, value] : contents) bytes += key.size() + value.size();
  BOOST_TEST(bytes < kOrdersRemembered * 100);
  for (const std::uint64_t number : {std::uint64_t{1}, kBeyond}) {
    BOOST_TEST((PlanChange(contents, order(number)).error().code == ErrorCode::kUnknown));
  }
  for (const std::uint64_t number : {kBeyond + 1, kBeyond + 2, kAll - 1, kAll}) {
    BOOST_TEST((Submit(contents, order(number)) == Verdict::kTakenBefore));
  }
  // Orders that were certainly never taken: a version not above its base, an unused number, another
  // document.
  BOOST_TEST((Submit(contents, Put(6, Document(5, ""))) == Verdict::kConflict));
  BOOST_TEST(
      (Submit(contents, Put(2 * kBeyond, Document(2 * kBeyond + 1, ""))) == Verdict::kConflict));
  BOOST_TEST(
      (Submit(contents, Put(2 * kAll - 2, Document(2 * kAll, "other"))) == Verdict::kConflict));
  BOOST_TEST((Submit(contents, Put(2 * kAll, Document(5, ""))) == Verdict::kInvalid));
}

// A simple model of the answers that operators must get.
struct Model {
  struct Taken {
    std::uint64_t base = 0;
    std::string body;
  };
  std::map<std::uint64_t, Taken> taken;  // By version.

  std::uint64_t current() const { return taken.empty() ? 0 : taken.rbegin()->first; }

  Verdict Expect(const ChangeOrder& order, std::uint64_t version, bool valid) const {
    const auto found = taken.find(version);
    if (found != taken.end() && found->second.base == order.base_version &&
        found->second.body == order.body) {
      return Verdict::kTakenBefore;
    }
    if (order.base_version != current()) return Verdict::kConflict;
    if (!valid || version <= current()) return Verdict::kInvalid;
    return Verdict::kTaken;
  }
};

struct SentOrder {
  ChangeOrder order;
  std::uint64_t version = 0;
  bool valid = true;
};

class RandomOperators {
 public:
  explicit RandomOperators(std::uint32_t seed) : random_(seed) {}

  std::uint32_t Below(std::uint32_t bound) { return random_() % bound; }

  SentOrder Next(const Model& model) {
    if (!sent_.empty() && Below(3) == 0)
      return sent_[Below(static_cast<std::uint32_t>(sent_.size()))];
    SentOrder next;
    next.order.base_version = model.current();
    if (Below(5) == 0)
      next.order.base_version = Below(static_cast<std::uint32_t>(model.current()) + 3);
    next.version = model.current() + Below(4);
    if (next.version == 0) next.version = 1;
    next.valid = Below(6) != 0;
    const std::string note = "n" + std::to_string(Below(3));
    next.order.body = next.valid
                          ? Document(next.version, note)
                          : With(Document(next.version, note), "\"services\":[]", "\"services\":7");
    sent_.push_back(next);
    return next;
  }

 private:
  std::mt19937 random_;
  std::vector<SentOrder> sent_;
};

// One history: two operators' orders, repeats and races; some commits reach one replica only, and
// the failover keeps them or loses them. Acknowledged orders are never among the lost.
void RunHistory(std::uint32_t seed, int steps) {
  RandomOperators operators(seed);
  Contents primary;
  Contents replica;  // The contents of every possible next primary.
  Model model;
  Model durable;
  for (int step = 0; step < steps; ++step) {
    const SentOrder sent = operators.Next(model);
    const Verdict expected = model.Expect(sent.order, sent.version, sent.valid);
    const Verdict verdict = Submit(primary, sent.order);
    BOOST_TEST_CONTEXT("seed " << seed << " step " << step) {
      BOOST_REQUIRE((verdict == expected));
    }
    if (verdict == Verdict::kTaken) {
      model.taken[sent.version] = {sent.order.base_version, sent.order.body};
    }
    const std::uint32_t fate = operators.Below(10);
    if (fate == 0) {  // The primary dies with what it alone has; its orders never happened.
      primary = replica;
      model = durable;
    } else if (fate <= 7) {  // Replicated: acknowledged, or the acknowledgement is lost.
      replica = primary;
      durable = model;
    }
    const auto current = CurrentConfiguration(primary);
    BOOST_REQUIRE(current.has_value() == !model.taken.empty());
    if (!current) continue;
    BOOST_REQUIRE(current->version == model.current());
    BOOST_REQUIRE(current->document == model.taken.rbegin()->second.body);
  }
}

BOOST_AUTO_TEST_CASE(random_histories_follow_the_model) {
  constexpr std::uint32_t kHistories = 2000;
  constexpr int kSteps = 60;
  for (std::uint32_t seed = 1; seed <= kHistories; ++seed) RunHistory(seed, kSteps);
}

// Random patches against a list of names kept by hand.
BOOST_AUTO_TEST_CASE(random_patches_follow_the_model) {
  std::mt19937 random(5);
  Contents contents;
  std::uint64_t version = 1;
  BOOST_REQUIRE((Submit(contents, Put(0, Document(1, "kept"))) == Verdict::kTaken));
  std::vector<std::pair<std::string, std::string>> services;  // Name to path, in order.
  for (int step = 0; step < 2000; ++step) {
    const std::string name = "s" + std::to_string(random() % 12);
    const std::string path = "/h" + std::to_string(random() % 1000);
    const bool remove = random() % 3 == 0;
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const auto& service) { return service.first == name; });
    std::string change;
    if (remove) {
      change = R"("remove":{"services":[")" + name + R"("]})";
      if (found != services.end()) services.erase(found);
    } else {
      change = R"("upsert":{"services":[{"name":")";
      change += name;
      change += R"(","healthPath":")";
      change += path;
      change += R"("}]})";
      if (found != services.end()) {
        found->second = path;
      } else {
        services.emplace_back(name, path);
      }
    }
    const std::uint64_t next = version + 1 + random() % 5;
    const std::string body = R"({"configVersion":)" + std::to_string(next) + "," + change + "}";
    BOOST_REQUIRE((Submit(contents, Patch(version, body)) == Verdict::kTaken));
    version = next;
    const auto parsed = Parse(DocumentIn(contents));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_REQUIRE(parsed.value().version == version);
    BOOST_REQUIRE(parsed.value().services.size() == services.size());
    for (std::size_t i = 0; i < services.size(); ++i) {
      BOOST_REQUIRE(parsed.value().services[i].name == services[i].first);
      BOOST_REQUIRE(parsed.value().services[i].health_path == services[i].second);
    }
  }
  BOOST_TEST(DocumentIn(contents).find("\"note\":\"kept\"") != std::string::npos);
}

}  // namespace
}  // namespace shelflink::configuration
