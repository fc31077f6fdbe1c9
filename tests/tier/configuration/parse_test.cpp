// Reading and checking of configurations: a valid one whole, then one mutation of it at a time.
#define BOOST_TEST_MODULE configuration_parse
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "configuration/sample.h"
#include "tier/configuration/json.h"
#include "tier/configuration/model.h"
#include "tier/configuration/object_reader.h"

namespace shelflink::configuration {
namespace {

using std::chrono::milliseconds;

Configuration Parsed(const std::string& text) {
  auto parsed = Parse(text);
  if (!parsed) {
    for (const Finding& finding : parsed.error()) {
      BOOST_TEST_MESSAGE(finding.place << ": " << finding.expected);
    }
  }
  BOOST_REQUIRE(parsed.has_value());
  return parsed.value();
}

Findings FindingsOf(const std::string& text) {
  auto parsed = Parse(text);
  return parsed ? Findings{} : parsed.error();
}

bool HasPlace(const Findings& findings, const std::string& place) {
  for (const Finding& finding : findings) {
    if (finding.place == place) return true;
  }
  return false;
}

struct Mutation {
  std::string what;
  std::string by;
  std::string place;  // Of the one finding.
};

void CheckInvalid(const std::vector<Mutation>& mutations) {
  for (const Mutation& mutation : mutations) {
    BOOST_TEST_CONTEXT(mutation.what << " -> " << mutation.by) {
      const Findings findings = FindingsOf(With(kSample, mutation.what, mutation.by));
      BOOST_TEST(findings.size() == 1U);
      BOOST_TEST(HasPlace(findings, mutation.place),
                 "found at " << (findings.empty() ? "none" : findings.front().place));
    }
  }
}

BOOST_AUTO_TEST_CASE(takes_a_valid_configuration_whole) {
  const Configuration configuration = Parsed(kSample);
  BOOST_TEST(configuration.version == 7U);
  BOOST_REQUIRE(configuration.routes.size() == 4U);
  const Route& stream = configuration.routes[0];
  BOOST_TEST((stream.kind == RouteKind::kStreaming));
  BOOST_TEST((stream.timeout == milliseconds(4000)));
  BOOST_TEST((stream.slo == milliseconds(201)));
  BOOST_TEST((stream.gap_aim == milliseconds(200)));
  BOOST_TEST(stream.max_attempts == 2);
  BOOST_TEST(stream.sticky);
  BOOST_TEST(stream.resumable);
  BOOST_TEST(!stream.is_public);
  BOOST_REQUIRE(stream.split.size() == 1U);
  BOOST_TEST(stream.split[0].service == "big");
  BOOST_TEST(configuration.routes[1].is_public);
  BOOST_REQUIRE(configuration.routes[2].split.size() == 2U);
  BOOST_TEST(configuration.routes[2].split[0].weight == 90.0);
  const Route& lots = configuration.routes[3];
  BOOST_TEST((lots.kind == RouteKind::kBatch));
  BOOST_TEST((lots.timeout == milliseconds(0)));
  BOOST_TEST((lots.run_aim == milliseconds(10000)));
  BOOST_TEST((lots.keep == milliseconds(40500)));
  BOOST_TEST(lots.max_queued_tokens.value() == 760000U);
  const Service& big = configuration.services[0];
  BOOST_TEST(big.max_conns == 250);
  BOOST_TEST(big.health_path == "/health");
  BOOST_TEST(big.engine.value().kv_tokens == 444000U);
  BOOST_TEST(big.autoscale.value().min == 3);
  BOOST_TEST((big.autoscale.value().boot == milliseconds(4500)));
  BOOST_TEST(!configuration.services[1].engine.has_value());
  BOOST_TEST(configuration.has_tenants);
  BOOST_TEST(configuration.tenants[0].priority.value() == 1);
  BOOST_TEST(configuration.tenants[1].max_queued_tokens.value() == 5000U);
  BOOST_TEST((configuration.limits.header_timeout == milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(takes_what_is_optional_as_missing) {
  const Configuration bare = Parsed(R"({"configVersion":1,"routes":[],"services":[]})");
  BOOST_TEST(!bare.has_tenants);
  BOOST_TEST(bare.limits.max_body_bytes == 4194304U);
  const Configuration nulls = Parsed(
      With(kSample, "\"autoscale\":{\"min\":3,\"max\":8,\"bootS\":4.5}", "\"autoscale\":null"));
  BOOST_TEST(!nulls.services[0].autoscale.has_value());
  BOOST_TEST(Parsed(With(kSample, "\"tenants\":", "\"former\":")).has_tenants == false);
}

BOOST_AUTO_TEST_CASE(names_the_one_thing_that_is_wrong) {
  CheckInvalid({
      {"\"service\":\"big\"", "\"service\":\"none\"", "routes[0]"},
      {"{\"service\":\"small\",\"weight\":10}", "{\"service\":\"none\",\"weight\":10}",
       "routes[2]"},
      {"\"pathPrefix\":\"/a/b/\"", "\"pathPrefix\":\"/a/\"", "routes[1]"},
      {"\"weight\":90},{\"service\":\"small\",\"weight\":10}",
       "\"weight\":0},{\"service\":\"small\",\"weight\":0.0}", "routes[2].trafficSplit"},
      {"[{\"service\":\"big\",\"weight\":90},{\"service\":\"small\",\"weight\":10}]", "[]",
       "routes[2].trafficSplit"},
      {"\"weight\":90", "\"weight\":-1", "routes[2].trafficSplit[0].weight"},
      {"\"timeoutMs\":4000", "\"timeoutMs\":0", "routes[0].timeoutMs"},
      {"\"timeoutMs\":4000", "\"timeoutMs\":-0.0", "routes[0].timeoutMs"},
      {"\"timeoutMs\":4000", "\"timeoutMs\":-5", "routes[0].timeoutMs"},
      {"\"timeoutMs\":4000", "\"timeoutMs\":\"4000\"", "routes[0].timeoutMs"},
      {"\"timeoutMs\":4000", "\"timeoutMs\":1e400", "routes[0].timeoutMs"},
      {"\"timeoutMs\":4000,", "", "routes[0].timeoutMs"},
      {"\"sloMs\":400", "\"sloMs\":400,\"timeoutMs\":0", "routes[3].timeoutMs"},
      {"\"name\":\"stream\",", "", "routes[0].name"},
      {"\"name\":\"stream\"", "\"name\":\"\"", "routes[0].name"},
      {"\"name\":\"stream\"", "\"name\":5", "routes[0].name"},
      {"\"name\":\"deep\"", "\"name\":\"stream\"", "routes[1].name"},
      {"\"name\":\"small\"", "\"name\":\"small\"},{\"name\":\"big\"", "services[2].name"},
      {"\"name\":\"second\"", "\"name\":\"first\"", "tenants[1].name"},
      {"\"hostname\":\"other.example\",", "", "routes[2].hostname"},
      {"other.example", std::string(4097, 'h'), "routes[2].hostname"},
      {"\"name\":\"second\"", "\"name\":\"" + std::string(4097, 't') + "\"", "tenants[1].name"},
      {"\"pathPrefix\":\"/lots/\"", "\"pathPrefix\":\"/lots\"", "routes[3].pathPrefix"},
      {"\"pathPrefix\":\"/lots/\"", "\"pathPrefix\":\"lots/\"", "routes[3].pathPrefix"},
      {"\"routeKind\":\"streaming\"", "\"routeKind\":\"flowing\"", "routes[0].routeKind"},
      {"\"routeKind\":\"streaming\",", "", "routes[0].routeKind"},
      {"\"service\":\"big\",\"maxAttempts\":2", "\"maxAttempts\":2", "routes[0].service"},
      {"\"maxAttempts\":2", "\"maxAttempts\":0", "routes[0].maxAttempts"},
      {"\"maxAttempts\":2", "\"maxAttempts\":1.5", "routes[0].maxAttempts"},
      {"\"priority\":0", "\"priority\":-1", "routes[0].priority"},
      {"\"priority\":0", "\"priority\":3e9", "routes[0].priority"},
      {"\"public\":false", "\"public\":0", "routes[0].public"},
      {"\"sticky\":true", "\"sticky\":\"yes\"", "routes[0].sticky"},
      {"\"sloMs\":200.5", "\"sloMs\":[200]", "routes[0].sloMs"},
      {"\"keepS\":40.5", "\"keepS\":-1", "routes[3].keepS"},
      {"\"maxQueuedTokens\":760000", "\"maxQueuedTokens\":-1", "routes[3].maxQueuedTokens"},
      {"\"maxQueuedTokens\":5000", "\"maxQueuedTokens\":1.5", "tenants[1].maxQueuedTokens"},
      {"\"maxConns\":250", "\"maxConns\":\"many\"", "services[0].maxConns"},
      {"\"slots\":32", "\"slots\":true", "services[0].engine.slots"},
      {"\"min\":3", "\"min\":9", "services[0].autoscale.max"},
      {"\"bootS\":4.5", "\"bootS\":{}", "services[0].autoscale.bootS"},
      {"\"maxBodyBytes\":4194304", "\"maxBodyBytes\":0", "limits.maxBodyBytes"},
      {"\"headerTimeoutMs\":3000", "\"headerTimeoutMs\":0", "limits.headerTimeoutMs"},
      {"\"key-three\"", "\"key-two\"", "tenants[1].apiKeys[0]"},
      {"\"key-three\"", "\"\"", "tenants[1].apiKeys[0]"},
      {"[\"key-three\"]", "\"key-three\"", "tenants[1].apiKeys"},
      {"\"configVersion\":7", "\"configVersion\":0", "configVersion"},
      {"\"configVersion\":7", "\"configVersion\":7.5", "configVersion"},
      {"\"configVersion\":7", "\"configVersion\":\"7\"", "configVersion"},
      {"\"configVersion\":7,", "", "configVersion"},
      {"\"configVersion\":7", "\"configVersion\":7,\"configVersion\":8", "configVersion"},
      {"\"timeoutMs\":4000", "\"timeoutMs\":4000,\"timeoutMs\":5000", "routes[0].timeoutMs"},
      {"\"note\":\"caf\\u00e9", "\"note\":\"caf\\u0000", "document"},
      {"\"note\":\"caf\\u00e9", "\"note\":\"caf\xff", "document"},
  });
}

BOOST_AUTO_TEST_CASE(wants_lists_and_objects_where_they_belong) {
  BOOST_TEST(HasPlace(FindingsOf("[]"), "document"));
  BOOST_TEST(HasPlace(FindingsOf("7"), "document"));
  BOOST_TEST(HasPlace(FindingsOf(R"({"configVersion":1,"services":[]})"), "routes"));
  BOOST_TEST(HasPlace(FindingsOf(R"({"configVersion":1,"routes":[]})"), "services"));
  BOOST_TEST(HasPlace(FindingsOf(R"({"configVersion":1,"routes":{},"services":[]})"), "routes"));
  BOOST_TEST(
      HasPlace(FindingsOf(R"({"configVersion":1,"routes":[],"services":[5]})"), "services[0]"));
  BOOST_TEST(
      HasPlace(FindingsOf(With(kSample, "\"limits\":{", "\"limits\":5,\"old\":{")), "limits"));
}

BOOST_AUTO_TEST_CASE(never_takes_a_text_that_is_cut_short_or_goes_on) {
  for (std::size_t length = 0; length < kSample.size(); ++length) {
    BOOST_TEST_CONTEXT("cut to " << length) {
      BOOST_TEST(!Parse(std::string_view(kSample).substr(0, length)).has_value());
    }
  }
  for (const char* rest : {"x", "{}", ",", "]", "}", "\n 1"}) {
    BOOST_TEST(!Parse(kSample + rest).has_value());
  }
  BOOST_TEST(Parse(kSample + " \r\n\t").has_value());
  BOOST_TEST(!Parse(std::string("\xEF\xBB\xBF") + kSample).has_value());
  BOOST_TEST(!Parse(kSample + std::string(1, '\0')).has_value());
  const std::string deep(100000, '[');
  BOOST_TEST(!Parse(deep).has_value());
}

BOOST_AUTO_TEST_CASE(collects_every_finding) {
  std::string text = With(kSample, "\"timeoutMs\":4000", "\"timeoutMs\":0");
  text = With(text, "\"service\":\"small\",\"public\"", "\"service\":\"none\",\"public\"");
  text = With(text, "\"key-three\"", "\"key-one\"");
  const Findings findings = FindingsOf(text);
  BOOST_TEST(findings.size() == 3U);
  for (const char* place : {"routes[0].timeoutMs", "routes[1]", "tenants[1].apiKeys[0]"}) {
    BOOST_TEST(HasPlace(findings, place));
  }
}

// A short text with many values or findings needs memory within bounds.
BOOST_AUTO_TEST_CASE(bounds_values_and_findings) {
  const auto document_with = [](std::size_t items, const std::string& item) {
    std::string text = R"({"configVersion":1,"services":[],"note":",[{,\",[{","routes":[)";
    for (std::size_t i = 0; i < items; ++i) text += (i == 0 ? "" : ",") + item;
    return text + "]}";
  };
  const Findings many_values = FindingsOf(document_with(json::kMostValues, "0"));
  BOOST_REQUIRE(many_values.size() == 1U);
  BOOST_TEST(many_values[0].place == "document");
  const Findings many_findings = FindingsOf(document_with(100000, "{}"));
  BOOST_TEST(many_findings.size() >= json::kMostFindings);
  BOOST_TEST(many_findings.size() < json::kMostFindings + 10);
  std::string note = kSample;
  note = With(note, "\"note\":\"", "\"note\":\"" + std::string(json::kMostValues, ','));
  BOOST_TEST(Parse(note).has_value());
}

BOOST_AUTO_TEST_CASE(never_tells_a_key) {
  for (const Finding& finding : FindingsOf(With(kSample, "\"key-three\"", "\"key-two\""))) {
    BOOST_TEST(finding.expected.find("key-two") == std::string::npos);
  }
}

// Sums of times with the longest timeout must fit into nanoseconds.
BOOST_AUTO_TEST_CASE(an_endless_time_is_kept_as_thirty_years) {
  const std::string text = With(kSample, "\"timeoutMs\":4000", "\"timeoutMs\":1e15");
  const milliseconds timeout = Parsed(text).routes[0].timeout;
  BOOST_TEST(timeout.count() == 1'000'000'000'000);
  BOOST_TEST(std::chrono::nanoseconds(timeout).count() == 1'000'000'000'000'000'000);
}

BOOST_AUTO_TEST_CASE(finds_the_longest_prefix_of_the_host) {
  const Configuration configuration = Parsed(kSample);
  const auto name = [&](const char* host, const char* path) {
    const Route* route = configuration.FindRoute(host, path);
    return route == nullptr ? std::string("none") : route->name;
  };
  BOOST_TEST(name("stream.example", "/a/x") == "stream");
  BOOST_TEST(name("STREAM.example:8080", "/a/b/c") == "deep");
  BOOST_TEST(name("stream.example", "/a/b") == "stream");
  BOOST_TEST(name("stream.example", "/a") == "none");
  BOOST_TEST(name("stream.example", "/A/x") == "none");
  BOOST_TEST(name("stream.example", "/") == "none");
  BOOST_TEST(name("other.example", "/anything") == "once");
  BOOST_TEST(name("other.example", "") == "none");
  BOOST_TEST(name("", "/") == "none");
  BOOST_TEST(name("[::1]", "/") == "none");
  BOOST_TEST(name("nowhere.example", "/a/") == "none");
}

BOOST_AUTO_TEST_CASE(finds_tenants_by_key_and_items_by_name) {
  const Configuration configuration = Parsed(kSample);
  BOOST_TEST(configuration.TenantOfKey("key-two")->name == "first");
  BOOST_TEST(configuration.TenantOfKey("key-three")->name == "second");
  BOOST_TEST(configuration.TenantOfKey("KEY-two") == nullptr);
  BOOST_TEST(configuration.TenantOfKey("") == nullptr);
  BOOST_TEST(configuration.RouteNamed("once") == &configuration.routes[2]);
  BOOST_TEST(configuration.RouteNamed("twice") == nullptr);
  BOOST_TEST(configuration.ServiceNamed("small") == &configuration.services[1]);
  BOOST_TEST(configuration.ServiceNamed("") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_copy_answers_with_its_own_items) {
  Configuration copy;
  BOOST_TEST(copy.FindRoute("other.example", "/") == nullptr);
  {
    const Configuration original = Parsed(kSample);
    copy = original;
  }
  BOOST_TEST(copy.FindRoute("other.example", "/x") == &copy.routes[2]);
  copy.routes.pop_back();
  BOOST_TEST(copy.RouteNamed("lots") == nullptr);
  copy.Index();
  BOOST_TEST(copy.FindRoute("batch.example", "/lots/") == nullptr);
}

BOOST_AUTO_TEST_CASE(parts_of_a_text_keep_their_bytes) {
  const std::string text =
      "{ \"a,\\\"b\" : 2200000.0 , \"c\":[ 18446744073709551615,\"]}\",{\"d\":[]}, 1e3 ],\"e\":{}}";
  const auto members = json::MembersOf(text);
  BOOST_REQUIRE(members.has_value());
  BOOST_REQUIRE(members->size() == 3U);
  BOOST_TEST((*members)[0].name == "a,\"b");
  BOOST_TEST((*members)[0].value == "2200000.0");
  const auto items = json::ItemsOf((*members)[1].value);
  BOOST_REQUIRE(items.has_value());
  BOOST_REQUIRE(items->size() == 4U);
  BOOST_TEST((*items)[0].value == "18446744073709551615");
  BOOST_TEST((*items)[1].value == "\"]}\"");
  BOOST_TEST((*items)[2].value == "{\"d\":[]}");
  BOOST_TEST((*items)[3].value == "1e3");
  BOOST_TEST(json::MembersOf("{}")->empty());
  BOOST_TEST(!json::MembersOf("[]").has_value());
  BOOST_TEST(!json::ItemsOf("{}").has_value());
  BOOST_TEST(!json::ItemsOf("").has_value());
  BOOST_TEST(json::Quoted("a\"b\\") == "\"a\\\"b\\\\\"");
}

}  // namespace
}  // namespace shelflink::configuration
