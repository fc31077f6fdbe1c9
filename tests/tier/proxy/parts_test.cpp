// Parts of the proxy without I/O: headers, priority levels, readiness, answers about batch jobs.
#define BOOST_TEST_MODULE proxy_parts
#include <boost/test/unit_test.hpp>

#include "proxy/proxy_fixture.h"
#include "tier/proxy/batch_requests.h"
#include "tier/proxy/headers.h"
#include "tier/proxy/priority_levels.h"
#include "tier/proxy/readiness.h"

namespace proxy = shelflink::proxy;
using proxy_test::milliseconds;

BOOST_AUTO_TEST_CASE(token_counts_and_prompts) {
  const auto count = proxy::ParseTokenCount("1460,80");
  BOOST_TEST(count.prompt == 1460U);
  BOOST_TEST(count.max_output == 80U);
  BOOST_TEST(proxy::ParseTokenCount("").prompt == 0U);
  BOOST_TEST(proxy::ParseTokenCount("-1,99999999999").prompt == 0U);
  BOOST_TEST(proxy::ParseTokenCount("7").max_output == 0U);
  const auto parts = proxy::ParsePromptPrefix("5c1e07a2:800,91bd3f06:410");
  BOOST_REQUIRE(parts.size() == 2U);
  BOOST_TEST(parts[0].id == 0x5c1e07a2U);
  BOOST_TEST(parts[0].tokens == 800U);
  BOOST_TEST(parts[1].tokens == 410U);
  BOOST_TEST(proxy::ParsePromptPrefix("5c:8,zz:3,1:1").size() == 1U);
  BOOST_TEST(proxy::ParsePromptPrefix("5c").empty());
  BOOST_TEST(proxy::ParsePromptPrefix(":5").empty());
}

BOOST_AUTO_TEST_CASE(server_loads) {
  const auto load = proxy::ParseServerLoad("3,1,8");
  BOOST_REQUIRE(load.has_value());
  BOOST_TEST(load->running == 3U);
  BOOST_TEST(load->waiting == 1U);
  BOOST_TEST(load->slots == 8U);
  BOOST_TEST(!proxy::ParseServerLoad("3,1").has_value());
  BOOST_TEST(!proxy::ParseServerLoad("a,b,c").has_value());
}

BOOST_AUTO_TEST_CASE(headers_of_batch_items) {
  BOOST_TEST(proxy::IsAllowedItemHeader("Shelflink-Model", "m"));
  BOOST_TEST(!proxy::IsAllowedItemHeader("Shelflink-Tenant", "other"));
  BOOST_TEST(!proxy::IsAllowedItemHeader("shelflink-credential", "key"));
  BOOST_TEST(!proxy::IsAllowedItemHeader("Content-Length", "3"));
  BOOST_TEST(!proxy::IsAllowedItemHeader("transfer-encoding", "chunked"));
  BOOST_TEST(!proxy::IsAllowedItemHeader("X-A", "b\r\nX-C: d"));
  BOOST_TEST(!proxy::IsAllowedItemHeader("X-A\r\nX-C", "b"));
  BOOST_TEST(!proxy::IsAllowedItemHeader("", "b"));
}

BOOST_AUTO_TEST_CASE(one_level_for_each_priority_and_one_for_items) {
  auto configuration = proxy_test::SampleConfiguration();
  configuration.routes[0].priority = 2;
  configuration.routes[1].priority = 0;
  configuration.routes[2].priority = 2;
  configuration.routes[3].priority = 0;
  configuration.routes[4].priority = 0;
  configuration.routes[5].priority = 7;  // Batch.
  configuration.tenants[0].priority = 1;
  const proxy::PriorityLevels levels(configuration);
  BOOST_TEST(levels.count() == 4U);
  BOOST_TEST(levels.LevelOf(0) == 0U);
  BOOST_TEST(levels.LevelOf(1) == 1U);
  BOOST_TEST(levels.LevelOf(2) == 2U);
  BOOST_TEST(levels.LevelOf(9) == 2U);
  BOOST_TEST(levels.batch_level() == 3U);
  BOOST_TEST(proxy::PriorityLevels().count() == 2U);
}

BOOST_AUTO_TEST_CASE(readiness) {
  const net::Time now(std::chrono::seconds(100));
  proxy::Readiness good;
  good.has_configuration = true;
  good.has_endpoints = true;
  good.had_lease = true;
  good.lease_until = now + milliseconds(10);
  good.contact_slack = milliseconds(3000);
  BOOST_TEST(good.IsReady(now));
  BOOST_TEST(good.IsReady(now + milliseconds(3009)));
  BOOST_TEST(!good.IsReady(now + milliseconds(3010)));
  proxy::Readiness changed = good;
  changed.shutting_down = true;
  BOOST_TEST(!changed.IsReady(now));
  changed = good;
  changed.has_configuration = false;
  BOOST_TEST(!changed.IsReady(now));
  changed = good;
  changed.has_endpoints = false;
  BOOST_TEST(!changed.IsReady(now));
  changed = good;
  changed.had_lease = false;
  BOOST_TEST(!changed.IsReady(now));
}

BOOST_AUTO_TEST_CASE(pages_of_results) {
  proxy::BatchPage page;
  page.total = 40;
  page.results = {{"a", true, "one\n\"two\""}, {"b", false, ""}};
  BOOST_TEST(proxy::PageJson(page, 12) ==
             R"({"total":40,"nextToken":14,"results":[{"id":"a","state":"completed",)"
             R"("text":"one\n\"two\""},{"id":"b","state":"dead_letter","text":""}]})");
  BOOST_TEST(proxy::PageJson({}, 0) == R"({"total":0,"nextToken":0,"results":[]})");
}

BOOST_AUTO_TEST_CASE(paths_of_jobs) {
  BOOST_TEST(proxy::IsBatchJobPath("/lots/1"));
  BOOST_TEST(proxy::IsBatchJobPath("/items/1"));
  BOOST_TEST(!proxy::IsBatchJobPath("/lots/"));
  BOOST_TEST(!proxy::IsBatchJobPath("/lot/1"));
}
