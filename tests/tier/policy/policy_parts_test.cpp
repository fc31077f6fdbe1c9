// Unit tests of the components of the decision module.
#define BOOST_TEST_MODULE tier_policy_parts
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <set>

#include "draws.h"
#include "tier/policy/endpoint.h"
#include "tier/policy/first_event_model.h"
#include "tier/policy/picker.h"
#include "tier/policy/prefix_cache.h"
#include "tier/policy/priority_levels.h"
#include "tier/policy/subset.h"

namespace shelflink::policy {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1'000'000;

std::vector<PromptPart> Prompt(std::initializer_list<std::uint64_t> ids) {
  std::vector<PromptPart> prompt;
  for (const std::uint64_t id : ids) prompt.push_back({id, 100});
  return prompt;
}

EndpointInfo Info(const std::string& id, const std::string& zone = "here", int slots = 10) {
  EndpointInfo info;
  info.id = id;
  info.zone = zone;
  info.slots = slots;
  return info;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(prefix_cache)

BOOST_AUTO_TEST_CASE(a_part_counts_only_if_all_parts_before_it_are_cached) {
  PrefixCache cache;
  cache.SetCapacity(1000);
  cache.NoteSent(Prompt({1, 2, 3}));
  BOOST_TEST(cache.CachedTokens(Prompt({1, 2, 3})) == 300U);
  BOOST_TEST(cache.CachedTokens(Prompt({1, 2, 9})) == 200U);
  BOOST_TEST(cache.CachedTokens(Prompt({9, 2, 3})) == 0U);
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_part_is_evicted_and_the_end_of_a_prompt_first) {
  PrefixCache cache;
  cache.SetCapacity(400);
  cache.NoteSent(Prompt({1, 2}));
  cache.NoteSent(Prompt({5, 6}));
  cache.NoteSent(Prompt({1}));
  cache.NoteSent(Prompt({7}));
  BOOST_TEST(cache.CachedTokens(Prompt({1})) == 100U);
  BOOST_TEST(cache.CachedTokens(Prompt({1, 2})) == 100U);
  BOOST_TEST(cache.CachedTokens(Prompt({5, 6})) == 200U);
}

BOOST_AUTO_TEST_CASE(a_part_never_prefilled_is_removed_unless_another_prompt_had_it) {
  PrefixCache cache;
  cache.SetCapacity(1000);
  cache.NoteSent(Prompt({1, 2}));
  cache.NotePrefilled(Prompt({1, 2}));
  cache.NoteSent(Prompt({1, 3}));
  cache.NoteNotPrefilled(Prompt({1, 3}));
  BOOST_TEST(cache.CachedTokens(Prompt({1, 2})) == 200U);
  BOOST_TEST(cache.CachedTokens(Prompt({1, 3})) == 100U);
}

BOOST_AUTO_TEST_CASE(is_empty_without_capacity_and_bounds_its_entries) {
  PrefixCache none;
  none.NoteSent(Prompt({1}));
  BOOST_TEST(none.CachedTokens(Prompt({1})) == 0U);
  PrefixCache cache;
  cache.SetCapacity(1'000'000);
  for (std::uint64_t id = 0; id < 10'000; ++id) cache.NoteSent({{id, 0}});
  BOOST_TEST(cache.size() == PrefixCache::kMaxParts);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(first_event_model)

BOOST_AUTO_TEST_CASE(fits_base_and_time_per_token) {
  FirstEventModel model;
  gaugecart::Draws draws(7);
  for (int i = 0; i < 300; ++i) {
    const double tokens = 200.0 + 10'000.0 * draws.Unit();
    model.Note(tokens, (8'000.0 + 3.5 * tokens) * (0.9 + 0.2 * draws.Unit()));
  }
  BOOST_TEST(std::abs(model.PerToken() - 3.5) < 0.4);
  BOOST_TEST(std::abs(model.Base() - 8'000.0) < 2'500.0);
}

BOOST_AUTO_TEST_CASE(time_per_token_and_base_stay_in_bounds) {
  FirstEventModel model;
  for (int i = 0; i < 100; ++i) model.Note(1000.0, 20'000.0 + i % 3);
  BOOST_TEST(model.PerToken() > 0.0);
  BOOST_TEST(std::abs(model.Expected(1000.0) - 20'000.0) < 100.0);
  for (int i = 0; i < 100; ++i) model.Note(0.0, 5'000.0);
  BOOST_TEST(model.Base() >= 0.0);
}

BOOST_AUTO_TEST_CASE(follows_a_change_of_speed) {
  FirstEventModel model;
  for (int i = 0; i < 200; ++i) model.Note(100.0 * (i % 20), 1'000.0 + 200.0 * (i % 20));
  for (int i = 0; i < 300; ++i) model.Note(100.0 * (i % 20), 1'000.0 + 600.0 * (i % 20));
  BOOST_TEST(std::abs(model.PerToken() - 6.0) < 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(endpoint)

struct OneEndpoint {
  OneEndpoint() { endpoint.Update(0, Info("a"), 1000); }
  Attempt Sent(Micros now) {
    Attempt attempt;
    attempt.endpoint = &endpoint;
    attempt.sent = now;
    attempt.first_event_timeout = 100 * kMs;
    attempt.remaining_output_tokens = 20;
    attempt.uncached_tokens = 50;
    endpoint.AddAttempt(attempt, call);
    return attempt;
  }
  Endpoint endpoint{1};
  Call call;
};

BOOST_FIXTURE_TEST_CASE(is_unresponsive_with_an_overdue_first_event_and_no_activity, OneEndpoint) {
  Attempt first = Sent(0);
  BOOST_TEST(!endpoint.Unresponsive(99 * kMs));
  BOOST_TEST(endpoint.Unresponsive(100 * kMs));
  endpoint.NoteActivity(110 * kMs);  // An event of another call.
  BOOST_TEST(!endpoint.Unresponsive(150 * kMs));
  BOOST_TEST(endpoint.Unresponsive(210 * kMs));
  endpoint.NoteFirstEvent(220 * kMs, first, call);
  BOOST_TEST(!endpoint.Unresponsive(kSecond));
  endpoint.RemoveAttempt(first, call);
  BOOST_TEST(endpoint.calls() == 0U);
  BOOST_TEST(endpoint.queued_prefill_tokens() == 0U);
}

BOOST_FIXTURE_TEST_CASE(reported_calls_of_other_sidecars_decay, OneEndpoint) {
  Sent(0);
  endpoint.NoteLoad(0, 8, 2, 16);
  BOOST_TEST(endpoint.slots() == 16);
  BOOST_TEST(endpoint.OtherCalls(0) == 9.0);
  BOOST_TEST(endpoint.OtherCallsWaiting(0) == 2.0);
  BOOST_TEST(endpoint.OtherCalls(10 * kSecond) < 0.1);
}

BOOST_FIXTURE_TEST_CASE(a_stream_near_its_end_has_less_weight, OneEndpoint) {
  call.output_tokens = 20;
  Attempt attempt = Sent(0);
  BOOST_TEST(endpoint.WeightedCalls(0) == 1.0);
  endpoint.NoteFirstEvent(0, attempt, call);
  endpoint.NoteProgress(0, attempt, 20);
  BOOST_TEST(endpoint.WeightedCalls(0) == 0.5);
  endpoint.NoteProgress(0, attempt, 20);  // More than expected.
  endpoint.RemoveAttempt(attempt, call);
  BOOST_TEST(endpoint.WeightedCalls(0) == 0.0);
}

BOOST_FIXTURE_TEST_CASE(backs_off_longer_after_each_rejection, OneEndpoint) {
  endpoint.BackOff(0, 100 * kMs);
  BOOST_TEST(endpoint.BackingOff(99 * kMs));
  BOOST_TEST(!endpoint.BackingOff(100 * kMs));
  endpoint.BackOff(kSecond, 100 * kMs);
  BOOST_TEST(endpoint.BackingOff(kSecond + 199 * kMs));
  for (int i = 0; i < 20; ++i) endpoint.BackOff(2 * kSecond, 100 * kMs);
  BOOST_TEST(!endpoint.BackingOff(2 * kSecond + 800 * kMs));
}

BOOST_FIXTURE_TEST_CASE(is_not_usable_while_draining_misdirected_or_unlisted, OneEndpoint) {
  BOOST_TEST(endpoint.Usable(0));
  endpoint.NoteMisdirected(0);
  BOOST_TEST(!endpoint.Usable(kSecond));
  endpoint.Update(kSecond, Info("a"), 0);  // From an outdated list.
  BOOST_TEST(!endpoint.Usable(9 * kSecond));
  BOOST_TEST(endpoint.Usable(10 * kSecond));
  EndpointInfo draining = Info("a");
  draining.draining = true;
  endpoint.Update(10 * kSecond, draining, 0);
  BOOST_TEST(!endpoint.Usable(10 * kSecond));
  endpoint.Update(11 * kSecond, Info("a"), 0);
  endpoint.SetListed(false);
  BOOST_TEST(!endpoint.Usable(11 * kSecond));
}

BOOST_FIXTURE_TEST_CASE(coldness_falls_during_warm_up, OneEndpoint) {
  Endpoint young{2};
  EndpointInfo info = Info("b");
  info.cold_until = 5 * kSecond;
  young.Update(kSecond, info, 0);
  BOOST_TEST(young.Coldness(kSecond) == 1.0);
  BOOST_TEST(young.Coldness(3 * kSecond) == 0.5);
  BOOST_TEST(young.Coldness(5 * kSecond) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(health)

struct OneHealth {
  bool Note(bool failed, Micros now, bool ejection_limit_reached = false) {
    baseline_failure_rate.Note(failed);
    return health.Note(
        failed, baseline_failure_rate, [&] { return ejection_limit_reached; }, 1, now);
  }
  // Records failures until the endpoint is ejected.
  void Fail(Micros now) {
    for (int i = 0; i < 20 && !health.ejected(); ++i) Note(true, now);
  }
  gaugecart::BaselineFailureRate baseline_failure_rate;
  gaugecart::Health health;
};

BOOST_FIXTURE_TEST_CASE(is_ejected_for_a_growing_time_and_restored_by_one_success, OneHealth) {
  Fail(0);
  BOOST_TEST(health.ejected());
  const Micros first = health.RemainingEjection(0);
  BOOST_TEST(health.ShouldAvoid(first - 1));
  BOOST_TEST(!health.ShouldAvoid(first));
  health.StartTrial();
  BOOST_TEST(health.ShouldAvoid(first));  // One trial at a time.
  Note(true, first);
  BOOST_TEST(health.RemainingEjection(first) > first);
  const Micros second = first + health.RemainingEjection(first);
  health.StartTrial();
  BOOST_TEST(Note(false, second));
  BOOST_TEST(!health.ejected());
  BOOST_TEST(!health.ShouldAvoid(second));
}

BOOST_FIXTURE_TEST_CASE(an_inconclusive_trial_allows_another, OneHealth) {
  Fail(0);
  const Micros later = health.RemainingEjection(0);
  health.StartTrial();
  health.EndTrial();
  BOOST_TEST(!health.ShouldAvoid(later));
}

BOOST_FIXTURE_TEST_CASE(is_not_ejected_when_all_fail_or_the_ejection_limit_is_reached, OneHealth) {
  for (int i = 0; i < 20; ++i) Note(true, 0, true);
  BOOST_TEST(!health.ejected());
  OneHealth other;
  for (int i = 0; i < 200; ++i) other.baseline_failure_rate.Note(true);
  for (int i = 0; i < 20; ++i) other.Note(true, 0);
  BOOST_TEST(!other.health.ejected());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(subset)

struct Fleet {
  Fleet()
      : subset([this](const EndpointInfo& info, std::uint64_t hash) -> Endpoint& {
          const auto [it, inserted] = endpoints.try_emplace(info.id, hash);
          if (inserted) it->second.Update(0, info, 0);
          return it->second;
        }) {}
  void SetEndpoints(int here, int there) {
    std::vector<EndpointInfo> infos;
    for (int i = 0; i < here; ++i) infos.push_back(Info("here-" + std::to_string(i)));
    for (int i = 0; i < there; ++i) infos.push_back(Info("there-" + std::to_string(i), "there"));
    subset.SetEndpoints(infos);
  }
  std::set<std::string> Ids(Micros now) {
    std::set<std::string> ids;
    for (const Endpoint* member : subset.Members(now)) ids.insert(member->info().id);
    return ids;
  }
  std::map<std::string, Endpoint> endpoints;
  Subset subset;
};

BOOST_FIXTURE_TEST_CASE(starts_with_three_of_its_zone_by_node_name, Fleet) {
  subset.SetNode("edge-1", "here");
  SetEndpoints(20, 20);
  const std::set<std::string> first = Ids(0);
  BOOST_TEST(first.size() == 3U);
  for (const std::string& id : first) BOOST_TEST(id.starts_with("here"));
  BOOST_TEST((Ids(kSecond) == first));
  subset.SetNode("edge-2", "here");
  BOOST_TEST((Ids(kSecond) != first));
  BOOST_TEST(endpoints.size() <= 6U);  // Out of 40 in the list.
}

BOOST_FIXTURE_TEST_CASE(grows_by_one_when_calls_in_flight_exceed_it, Fleet) {
  subset.SetNode("edge-1", "here");
  SetEndpoints(4, 4);
  subset.NoteInFlight(0, 3, std::nullopt);
  BOOST_TEST(Ids(0).size() == 3U);
  subset.NoteInFlight(0, 4, std::nullopt);
  BOOST_TEST(Ids(0).size() == 4U);
  for (std::size_t calls = 5; calls < 100; ++calls) subset.NoteInFlight(0, calls, std::nullopt);
  BOOST_TEST(Ids(0).size() == 8U);
}

BOOST_FIXTURE_TEST_CASE(grows_by_the_owner_of_the_prefix, Fleet) {
  constexpr std::uint64_t kPrefix = 77;
  subset.SetNode("edge-1", "here");
  SetEndpoints(0, 50);
  std::string owner;
  std::uint64_t best = 0;
  for (const EndpointInfo& info : subset.endpoints()) {
    const std::uint64_t score = RendezvousScore(kPrefix, HashOf(info.id));
    if (score <= best) continue;
    best = score;
    owner = info.id;
  }
  BOOST_TEST(!Ids(0).contains(owner));
  subset.NoteInFlight(0, 2, kPrefix);
  BOOST_TEST(!Ids(0).contains(owner));  // A prefix alone adds no member.
  subset.NoteInFlight(0, 4, kPrefix);
  BOOST_TEST(Ids(0).contains(owner));
  BOOST_TEST(Ids(0).size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(shrinks_after_long_low_load_but_not_below_three, Fleet) {
  subset.SetNode("edge-1", "here");
  SetEndpoints(10, 0);
  for (std::size_t calls = 1; calls <= 6; ++calls) subset.NoteInFlight(0, calls, std::nullopt);
  BOOST_TEST(subset.size() == 6U);
  subset.NoteInFlight(30 * kSecond, 1, std::nullopt);
  BOOST_TEST(subset.size() == 6U);
  for (int minute = 1; minute < 30; ++minute) {
    subset.NoteInFlight(minute * 70 * kSecond, 1, std::nullopt);
  }
  BOOST_TEST(subset.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_draining_or_ejected_member_is_replaced, Fleet) {
  subset.SetNode("edge-1", "here");
  SetEndpoints(10, 0);
  const std::set<std::string> before = Ids(0);
  Endpoint& failing = endpoints.at(*before.begin());
  gaugecart::BaselineFailureRate baseline_failure_rate;
  for (int i = 0; i < 5; ++i) {
    baseline_failure_rate.Note(false);
    failing.health().Note(
        true, baseline_failure_rate, [] { return false; }, 1, 0);
  }
  BOOST_TEST(failing.health().ejected());
  subset.Invalidate();
  BOOST_TEST(Ids(0).size() == 4U);
  EndpointInfo draining = failing.info();
  draining.draining = true;
  failing.Update(0, draining, 0);
  subset.Invalidate();
  BOOST_TEST(Ids(0).size() == 3U);
  BOOST_TEST(!Ids(0).contains(failing.info().id));
}

BOOST_FIXTURE_TEST_CASE(a_new_list_keeps_the_ranks, Fleet) {
  subset.SetNode("edge-1", "here");
  SetEndpoints(300, 0);
  for (std::size_t calls = 1; calls <= 100; ++calls) subset.NoteInFlight(0, calls, std::nullopt);
  const std::set<std::string> before = Ids(0);
  BOOST_TEST(before.size() == 100U);
  SetEndpoints(299, 0);
  std::size_t still_members = 0;
  for (const std::string& id : Ids(0)) still_members += before.contains(id) ? 1 : 0;
  BOOST_TEST(still_members >= 99U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(levels)

BOOST_AUTO_TEST_CASE(batch_has_its_own_pool_and_live_pools_sum_to_the_limit) {
  PriorityLevels levels;
  levels.SetCount(3);
  levels.SetInitialLimit(100.0);
  levels.SetBatchLimit(25.0);
  levels.NoteArrival(0, 0);
  const double total = levels.LimitOf(0, 0) + levels.LimitOf(0, 1) + levels.LimitOf(0, 2);
  BOOST_TEST(levels.LimitOf(0, 2) == 25.0);
  BOOST_TEST(total <= 100.0 + 2.0);
  const double live = levels.LimitOf(0, 0);
  levels.SetBatchLimit(60.0);  // Does not change the live levels.
  BOOST_TEST(levels.LimitOf(0, 2) == 60.0);
  BOOST_TEST(levels.LimitOf(0, 0) == live);
  BOOST_TEST(levels.LimitOf(0, 0) > levels.LimitOf(0, 1));
  BOOST_TEST(levels.LimitOf(0, 1) >= 2.0);
}

BOOST_AUTO_TEST_CASE(dequeues_flows_in_turn_while_the_pool_has_room) {
  PriorityLevels levels;
  levels.SetCount(1);
  for (CallId id = 1; id <= 10; ++id) BOOST_TEST(!levels.Enqueue(0, {id, 5, 0}));
  BOOST_TEST(!levels.Enqueue(0, {100, 6, 0}));
  std::vector<CallId> released;
  while (const auto next = levels.Next(0, 0)) {
    levels.Start(0);
    released.push_back(next->request);
  }
  BOOST_TEST(released.size() == 11U);
  const auto other = std::find(released.begin(), released.end(), 100U) - released.begin();
  BOOST_TEST(other <= 2);
  BOOST_TEST(!levels.AnyWaiting());
}

BOOST_AUTO_TEST_CASE(queues_when_the_pool_is_full_and_sheds_the_flow_with_most_waiting) {
  PriorityLevels levels;
  levels.SetCount(1);
  std::size_t started = 0;
  while (static_cast<double>(started) + 1.0 <= levels.LimitOf(0, 0)) {
    levels.Start(0);
    ++started;
  }
  std::size_t shed = 0;
  for (CallId id = 1; id <= 100; ++id) {
    const auto shed_call = levels.Enqueue(0, {id, 5, 0});
    if (!shed_call) continue;
    ++shed;
    levels.Remove(0, *shed_call, 5);
  }
  BOOST_TEST(shed == 68U);  // A flow has two queues of 16 calls.
  BOOST_TEST(!levels.Next(0, 0));
  levels.Finish(0);
  BOOST_TEST(levels.Next(0, 0).has_value());
}

BOOST_AUTO_TEST_CASE(the_limit_falls_on_late_first_events_and_rejections_and_recovers) {
  PriorityLevels levels;
  levels.SetCount(1);
  levels.SetInitialLimit(50.0);
  for (int i = 0; i < 40; ++i) levels.Start(0);
  for (int i = 0; i < 100; ++i) levels.NoteFirstEvent(i * kMs, 0, 30 * kMs, 300 * kMs);
  const double before = levels.limit();
  BOOST_TEST(before > 50.0);
  for (int i = 0; i < 20; ++i) levels.NoteFirstEvent(i * kMs, 0, 500 * kMs, 300 * kMs);
  const double lowered = levels.limit();
  BOOST_TEST(lowered < 0.9 * before);
  for (int i = 0; i < 40; ++i) levels.NoteOverload(0);
  BOOST_TEST(levels.limit() < lowered);
  for (int i = 0; i < 400; ++i) levels.NoteFirstEvent(i * kMs, 0, 30 * kMs, 300 * kMs);
  BOOST_TEST(levels.limit() > lowered);
}

BOOST_AUTO_TEST_CASE(the_last_level_is_batch_also_after_the_count_is_reduced) {
  PriorityLevels levels;
  levels.SetCount(4);
  levels.SetInitialLimit(100.0);
  levels.SetBatchLimit(25.0);
  levels.Enqueue(3, {1, 5, 0});
  levels.SetCount(2);
  BOOST_TEST(levels.IsBatch(1));
  BOOST_TEST(levels.LimitOf(0, 1) == 25.0);
  BOOST_TEST(levels.LimitOf(0, 0) == 75.0);
  BOOST_TEST(levels.Next(0, 3).has_value());  // A removed level drains.
}

BOOST_AUTO_TEST_CASE(the_initial_limit_follows_the_fleet_size) {
  PriorityLevels levels;
  levels.SetCount(2);
  levels.SetInitialLimit(1000.0);
  levels.SetInitialLimit(100.0);  // With ten times as many sidecars.
  BOOST_TEST(levels.limit() == 100.0);
  levels.NoteOverload(0);
  const double after_overload = levels.limit();
  levels.SetInitialLimit(90.0);
  BOOST_TEST(levels.limit() == after_overload);
  levels.SetInitialLimit(40.0);
  BOOST_TEST(levels.limit() == 40.0);
}

BOOST_AUTO_TEST_CASE(the_limit_never_falls_below_the_minimum) {
  PriorityLevels levels;
  levels.SetCount(2);
  levels.SetMinLimit(30.0);
  levels.SetInitialLimit(60.0);
  for (int i = 0; i < 500; ++i) levels.NoteOverload(0);
  BOOST_TEST(levels.limit() == 30.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(picker)

struct Members {
  explicit Members(std::size_t count = 4) {
    for (std::size_t i = 0; i < count; ++i) {
      endpoints.push_back(std::make_unique<Endpoint>(HashOf("e" + std::to_string(i))));
      endpoints[i]->Update(0, Info("e" + std::to_string(i)), 100'000);
      members.push_back(endpoints[i].get());
    }
    stats.kv_tokens = 100'000;
    for (int i = 0; i < 50; ++i) stats.first_event.Note(100.0 * (i % 20), 5e3 + 400.0 * (i % 20));
    pending.may_use_reserved_slots = true;
    pending.call.objective = 300 * kMs;
    pending.call.prompt = Prompt({1, 2, 3});
    pending.call.prompt_tokens = 300;
    pending.call.output_tokens = 10;
  }
  Endpoint* Pick(Micros now = 0) { return picker.Pick(now, pending, members, stats).endpoint; }
  // Adds calls in flight, sent at `now`.
  void Load(std::size_t index, int calls, Micros now = 0) {
    for (int i = 0; i < calls; ++i) {
      Attempt attempt;
      attempt.sent = now;
      attempt.first_event_timeout = kSecond;
      endpoints[index]->AddAttempt(attempt, other);
    }
  }
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<Endpoint*> members;
  ServiceStats stats;
  PendingCall pending;
  Call other;
  Picker picker{"here"};
};

BOOST_FIXTURE_TEST_CASE(rotates_without_prompt_parts, Members) {
  pending.call.prompt.clear();
  std::set<Endpoint*> picked;
  for (int i = 0; i < 4; ++i) picked.insert(Pick());
  BOOST_TEST(picked.size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(prefers_the_endpoint_with_cached_parts_until_it_is_overloaded, Members) {
  pending.call.prompt = {{1, 20'000}, {2, 100}};
  pending.call.prompt_tokens = 20'100;
  endpoints[2]->prefixes().NoteSent({{1, 20'000}});
  for (int i = 0; i < 8; ++i) BOOST_TEST(Pick() == members[2]);
  Load(2, 12);  // More than its slots.
  BOOST_TEST(Pick() != members[2]);
}

BOOST_FIXTURE_TEST_CASE(nodes_agree_on_the_owner_of_a_prefix, Members) {
  Members elsewhere;
  std::set<Endpoint*> owners;
  for (std::uint64_t prefix = 0; prefix < 60; ++prefix) {
    pending.call.prompt = {{prefix, 3000}, {9999, 100}};
    pending.call.prompt_tokens = 3100;
    elsewhere.pending = pending;
    for (std::uint64_t i = 0; i < prefix % 4; ++i) elsewhere.Pick();  // Advances its rotation.
    const Endpoint* here = Pick();
    BOOST_TEST(here->hash() == elsewhere.Pick()->hash());
    owners.insert(Pick());
  }
  BOOST_TEST(owners.size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(an_owner_far_above_the_mean_load_is_not_preferred, Members) {
  const Endpoint* owner = Pick();
  for (std::size_t i = 0; i < 4; ++i) {
    if (members[i] == owner) Load(i, 6);
  }
  BOOST_TEST(Pick() != owner);
}

BOOST_FIXTURE_TEST_CASE(avoids_unresponsive_ejected_backing_off_and_tried_endpoints, Members) {
  Load(0, 1);
  const Micros late = 2 * kSecond;
  BOOST_TEST(endpoints[0]->Unresponsive(late));
  endpoints[1]->BackOff(late, kSecond);
  pending.attempts.push_back({});
  pending.attempts.back().in_flight = false;
  pending.attempts.back().endpoint_hash = endpoints[2]->hash();
  for (int i = 0; i < 8; ++i) BOOST_TEST(Pick(late) == members[3]);
  pending.attempts.back().endpoint_hash = endpoints[3]->hash();
  members.pop_back();
  for (int i = 0; i < 8; ++i) BOOST_TEST(Pick(late) == members[2]);
  members.pop_back();
  for (int i = 0; i < 8; ++i) BOOST_TEST(Pick(late) == members[1]);
  members.pop_back();
  BOOST_TEST(Pick(late) == members[0]);  // The only one left.
}

BOOST_FIXTURE_TEST_CASE(avoids_endpoints_short_of_memory, Members) {
  pending.call.prompt.clear();
  pending.call.prompt_tokens = 20'000;
  other.prompt_tokens = 90'000;
  for (std::size_t i = 0; i < 3; ++i) Load(i, 1);
  for (int i = 0; i < 8; ++i) BOOST_TEST(Pick() == members[3]);
}

BOOST_FIXTURE_TEST_CASE(a_slow_cold_or_other_zone_endpoint_costs_more, Members) {
  pending.call.prompt.clear();
  for (int i = 0; i < 20; ++i) endpoints[0]->NoteLatencyRatio(0, 5.0);
  EndpointInfo cold = Info("e1");
  cold.cold_until = 10 * kSecond;
  endpoints[1]->SetListed(false);
  endpoints[1]->Update(0, cold, 100'000);
  endpoints[2]->Update(0, Info("e2", "there"), 100'000);
  for (int i = 0; i < 8; ++i) BOOST_TEST(Pick() == members[3]);
}

BOOST_FIXTURE_TEST_CASE(lower_levels_and_batch_do_not_use_reserved_slots, Members) {
  for (std::size_t i = 0; i < 4; ++i) Load(i, 9);
  pending.may_use_reserved_slots = false;
  BOOST_TEST(picker.Pick(0, pending, members, stats).only_reserved_slots);
  pending.may_use_reserved_slots = true;
  BOOST_TEST(Pick() != nullptr);
  Members half;
  for (std::size_t i = 0; i < 4; ++i) half.Load(i, 8);
  half.pending.may_use_reserved_slots = false;
  BOOST_TEST(half.Pick() != nullptr);
  half.pending.call.batch = true;
  BOOST_TEST(half.Pick() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_without_free_connections_costs_more, Members) {
  stats.connection_share = 2.0;
  pending.call.prompt = {{1, 5'000}, {2, 10}};
  pending.call.prompt_tokens = 5'010;
  endpoints[0]->prefixes().NoteSent({{1, 5'000}});
  BOOST_TEST(Pick() == members[0]);
  Load(0, 2);
  BOOST_TEST(Pick() != members[0]);
}

BOOST_AUTO_TEST_CASE(a_large_subset_is_examined_in_part_and_all_members_are_used) {
  Members many(100);
  many.pending.call.prompt.clear();
  std::set<Endpoint*> picked;
  for (int i = 0; i < 100; ++i) {
    Endpoint* endpoint = many.Pick();
    picked.insert(endpoint);
    Attempt attempt;
    endpoint->AddAttempt(attempt, many.other);
  }
  BOOST_TEST(picked.size() >= 80U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shelflink::policy
