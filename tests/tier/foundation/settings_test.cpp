// The platform's settings file: read whole, every finding with its line and key.
#define BOOST_TEST_MODULE settings
#include "tier/foundation/settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace {

using shelflink::Findings;
using shelflink::ParseSettings;
using shelflink::ProcessSettings;

constexpr const char* kWhole =
    "node=edge-a-1\n"
    "role=proxy\n"
    "machineClass=edge\n"
    "serves=edge,control_plane\n"
    "ip=10.1.0.14\n"
    "zone=a\n"
    "region=r\n"
    "zones.a=r\n"
    "zones.b=r\n"
    "listen.front=10.1.0.14:8689\n"
    "listen.ready=10.1.0.14:8687\n"
    "listen.control=10.1.0.14:8683\n"
    "portRange=7360,7375\n"
    "seeds=10.1.0.14:8683,10.2.0.22:8683\n"
    "bootstrap=true\n"
    "limits.cpuShare=0.45\n"
    "limits.memoryMb=260\n"
    "dataDir=\n"
    "heartbeatMs=1200\n"
    "contracts=base,drain\n"
    "faultTolerance.machines=1\n"
    "bounds.catchUpS=5.2\n"
    "bounds.contactMs=3000\n"
    "bounds.fencing=true\n"
    "cloud.address=10.200.0.24:8688\n"
    "cloud.ratePerS=44.0\n"
    "cloud.duties=usage_report,autoscale\n"
    "unheard.of=yes\n";

ProcessSettings Parsed(const std::string& text) {
  auto settings = ParseSettings(text);
  BOOST_REQUIRE(settings.has_value());
  return settings.value();
}

std::string Without(const std::string& key) {
  std::string text = kWhole;
  const auto at = text.find("\n" + key + "=") + 1;
  return text.erase(at, text.find('\n', at) - at + 1);
}

std::string With(const std::string& key, const std::string& value) {
  return Without(key) + key + "=" + value + "\n";
}

}  // namespace

BOOST_AUTO_TEST_CASE(ReadsAWholeFile) {
  const ProcessSettings s = Parsed(kWhole);
  BOOST_TEST(s.node == "edge-a-1");
  BOOST_TEST(s.serves.contains("control_plane"));
  BOOST_TEST(s.zones.at("b") == "r");
  BOOST_TEST(s.seeds.size() == 2U);
  BOOST_TEST(s.bootstrap);
  BOOST_TEST(s.bounds.catch_up.count() == 5200);
  BOOST_TEST(s.cloud.rate_per_s == 44.0);
  BOOST_TEST(s.data_dir.empty());
}

BOOST_AUTO_TEST_CASE(InternalAddressesFollowFromThePortRange) {
  const ProcessSettings s = Parsed(kWhole);
  using shelflink::ProcessKind;
  BOOST_TEST(shelflink::InternalAddress(s, ProcessKind::kProxy).Text() == "10.1.0.14:7360");
  BOOST_TEST(shelflink::InternalAddress(s, ProcessKind::kStore).Text() == "10.1.0.14:7362");
  BOOST_TEST(shelflink::CoreAddressOf(s, s.seeds[1]).Text() == "10.2.0.22:7361");
}

// One wrong value at a time: one finding, with its key.
BOOST_AUTO_TEST_CASE(TellsEachWrongValueWithItsPlace) {
  const std::pair<const char*, const char*> wrong[] = {
      {"ip", "localhost"},           {"listen.front", "8689"},   {"portRange", "7360"},
      {"portRange", "7375,7360"},    {"portRange", "7360,7361"}, {"portRange", "0,80000"},
      {"seeds", "10.1.0.14"},        {"bootstrap", "yes"},       {"limits.cpuShare", "0"},
      {"limits.cpuShare", "nan"},    {"limits.memoryMb", "-1"},  {"limits.memoryMb", "2.5"},
      {"heartbeatMs", "soon"},       {"bounds.catchUpS", "-1"},  {"bounds.fencing", "1"},
      {"cloud.address", "platform"}, {"cloud.ratePerS", "4,4"},  {"faultTolerance.machines", "-1"},
      {"heartbeatMs", "0"},          {"bounds.catchUpS", "2e9"}, {"bounds.contactMs", "2e12"}};
  for (const auto& [key, value] : wrong) {
    const auto settings = ParseSettings(With(key, value));
    BOOST_REQUIRE_MESSAGE(!settings.has_value(), key << "=" << value);
    BOOST_TEST(settings.error().size() == 1U, key << "=" << value);
    BOOST_TEST(settings.error()[0].place.find(key) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(ANameIsAsShortAsPeersTakeIt) {
  for (const char* key : {"node", "zone"}) {
    BOOST_TEST(ParseSettings(With(key, std::string(255, 'n').c_str())).has_value());
    const auto settings = ParseSettings(With(key, std::string(256, 'n').c_str()));
    BOOST_REQUIRE(!settings.has_value());
    BOOST_TEST(settings.error()[0].place == key);
  }
}

BOOST_AUTO_TEST_CASE(TellsAllFindingsTogether) {
  const auto settings = ParseSettings("node=a\nno equals sign\nbootstrap=maybe\n");
  BOOST_REQUIRE(!settings.has_value());
  const std::string text = shelflink::TextOf(settings.error());
  for (const char* part : {"line 2", "line 3, bootstrap", "ip", "zone", "portRange", "seeds"}) {
    BOOST_TEST(text.find(part) != std::string::npos, part);
  }
}

BOOST_AUTO_TEST_CASE(WantsTheAddressesOfWhatItServes) {
  BOOST_TEST(!ParseSettings(Without("listen.ready")).has_value());
  BOOST_TEST(!ParseSettings(Without("listen.control")).has_value());
}

BOOST_AUTO_TEST_CASE(IgnoresEmptyValuesOfOptionalKeys) {
  BOOST_TEST(ParseSettings(With("heartbeatMs", "")).has_value());
  BOOST_TEST(!ParseSettings(With("ip", "")).has_value());
}

BOOST_AUTO_TEST_CASE(NamesAFileThatCannotBeRead) {
  const auto settings = shelflink::ReadSettings("no-such-folder/local.conf");
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error()[0].place == "no-such-folder/local.conf");
}
