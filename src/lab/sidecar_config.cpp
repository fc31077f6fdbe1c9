#include "lab/sidecar_config.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace shelflab {

using Json = nlohmann::json;

namespace {

Json ClassesOf(const FleetSpec& fleet) {
  Json classes = Json::array();
  for (const ClassSpec& c : fleet.classes) {
    classes.push_back(
        {{"name", c.name},
         {"aim", c.aim},
         {"giveUp", c.give_up},
         {"worth", c.worth},
         {"lateShare", 0.0},
         {"group", "all"},
         {"stream", false},
         {"repeat", c.repeat == Repeat::kIdempotent ? "idempotent" : "at_most_once"}});
  }
  return classes;
}

Json TenantsOf(const FleetSpec& fleet) {
  Json tenants = Json::array();
  for (const TenantSpec& t : fleet.tenants) {
    tenants.push_back({{"name", t.name}, {"share", t.share}, {"quotaPerS", t.quota_per_s}});
  }
  return tenants;
}

Json PermissionsOf(const FleetSpec& fleet, const SidecarPlace& place) {
  return {{"cancelling", true},
          {"connectTimeout", 200'000},
          {"keepalive", fleet.tiers[place.tier].server.idle_close},
          {"maxAttempts", fleet.max_attempts},
          {"mayDuplicate", true},
          {"retryAfter", true},
          {"maxRetryAfter", place.longest_advice}};
}

Json SafetyOf(const FleetSpec& fleet, const ServerSpec& server) {
  return {{"answerSlack", 20'000},
          {"askWithin", 10 * kSecond},
          {"coldFrom", server.cold_share},
          {"warmUp", server.warm_up},
          {"drainGrace", fleet.drain_grace},
          {"fall", server.fall},
          {"fallMultiple", server.fall_multiple}};
}

Json SettingsOf(const FleetSpec& fleet, const SidecarPlace& place) {
  Json tiers = Json::array();
  for (const TierSpec& t : fleet.tiers) tiers.push_back(t.name);
  return {{"classes", ClassesOf(fleet)},
          {"tenants", TenantsOf(fleet)},
          {"tiers", tiers},
          {"tier", place.tier},
          {"me", place.me},
          {"groupSize", place.group},
          {"localities", Json::array({fleet.zone})},
          {"zone", fleet.zone},
          {"discovery", place.push ? "push" : "ask"},
          {"weights", "none"},
          {"round", 5000},
          {"domain", {{"passesDeadline", true}}},
          {"report", {{"via", "none"}, {"fields", Json::array()}}},
          {"permissions", PermissionsOf(fleet, place)},
          {"safety", SafetyOf(fleet, fleet.tiers[place.tier].server)}};
}

}  // namespace

std::string SidecarConfig(const FleetSpec& fleet, const SidecarPlace& place, const Json& known) {
  const Json limits = {{"cores", 1.0}, {"memory_mb", place.memory_mb}, {"sockets", place.sockets}};
  Json config = {{"name", place.name},
                 {"listen", place.listen},
                 {"discovery", place.discovery},
                 {"seed", fmt::format("{:016x}", place.seed)},
                 {"limits", limits},
                 {"known", known},
                 {"settings", SettingsOf(fleet, place)}};
  if (!place.state_dir.empty()) config["state_dir"] = place.state_dir;
  if (!place.peer_listen.empty()) {
    config["peer_lists"] = {{"fleet", fleet.tiers[place.tier].name},
                            {"listen", place.peer_listen},
                            {"others", place.peers},
                            {"list_age_s", static_cast<double>(place.peer_list_age) / 1e6}};
  }
  if (!place.console.empty()) config["console"] = place.console;
  if (!place.store.empty()) {
    config["coordination"] = {
        {"fleet", place.fleet},
        {"store",
         place.store.front() == 'f' ? Json(place.store) : Json::array({"http://" + place.store})},
        {"door", place.door},
        {"ttl_s", static_cast<double>(place.ttl) / 1e6}};
  }
  return config.dump();
}

}  // namespace shelflab
