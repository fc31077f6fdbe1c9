#include "sidecar/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace kelpspring {
namespace {

using gaugecart::BadInput;
using Json = nlohmann::json;

// Reads one field and puts its name in front of whatever is wrong with it.
template <typename Read>
void Field(const Json& json, const char* name, const Read& read) {
  const auto it = json.find(name);
  if (it == json.end() || it->is_null()) throw BadInput(std::string(name) + ": missing");
  try {
    read(*it);
  } catch (const std::exception& e) {
    throw BadInput(std::string(name) + ": " + e.what());
  }
}

constexpr double kLongestListAge = 7 * 24 * 3600;  // Seconds.
constexpr std::size_t kMostPeers = 1024;

std::chrono::microseconds ParseAge(const Json& value, const char* name) {
  const double seconds = value.is_number() ? value.get<double>() : -1;
  if (!(seconds > 0 && seconds <= kLongestListAge)) {
    throw BadInput(std::string(name) + ": expected seconds, above 0 and at most 604800");
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

// "state_dir": "/var/lib/shelflink", "state": {"list_age_s": 300}
StateSettings ParseState(const Json& folder, const Json* more) {
  StateSettings state;
  state.folder = folder.get<std::string>();
  if (state.folder.empty() || state.folder.front() != '/') {
    throw BadInput("expected an absolute path, got '" + state.folder + "'");
  }
  if (more == nullptr) return state;
  if (!more->is_object()) throw BadInput("state: expected an object");
  for (const auto& [key, value] : more->items()) {
    if (key == "list_age_s") {
      state.list_age = ParseAge(value, "state.list_age_s");
    } else if (key == "lesson_age_s") {
      state.lesson_age = ParseAge(value, "state.lesson_age_s");
    } else {
      throw BadInput("state." + key + ": expected list_age_s or lesson_age_s");
    }
  }
  return state;
}

// All of a fleet may be given the same list: the own address in it is passed over.
std::vector<net::Address> ParseOthers(const Json& json, const net::Address& own) {
  std::vector<net::Address> others;
  if (!json.is_array()) throw BadInput("expected a list of addresses");
  for (const Json& j : json) {
    const net::Address other = ParseAddress(j.get<std::string>());
    if (other == own || std::find(others.begin(), others.end(), other) != others.end()) continue;
    others.push_back(other);
  }
  if (others.size() > kMostPeers) throw BadInput("expected at most 1024 addresses");
  return others;
}

// "peer_lists": {"fleet": "store", "listen": "10.0.0.5:4100", "others": ["10.0.0.6:4100"]}
PeerSettings ParsePeers(const Json& json) {
  if (!json.is_object()) throw BadInput("expected an object");
  for (const auto& [key, value] : json.items()) {
    if (key != "fleet" && key != "listen" && key != "others" && key != "list_age_s") {
      throw BadInput(key + ": expected fleet, listen, others or list_age_s");
    }
  }
  PeerSettings peers;
  Field(json, "fleet", [&](const Json& j) { peers.fleet = j.get<std::string>(); });
  if (peers.fleet.empty()) throw BadInput("fleet: expected a name");
  Field(json, "listen", [&](const Json& j) { peers.listen = ParseAddress(j); });
  Field(json, "others", [&](const Json& j) { peers.others = ParseOthers(j, peers.listen); });
  if (json.contains("list_age_s")) {
    peers.list_age = ParseAge(json["list_age_s"], "list_age_s");
  }
  return peers;
}

constexpr double kLeastTtl = 1;  // Seconds; the store counts in whole ones.
constexpr double kMostTtl = 600;
constexpr std::size_t kMostServers = 16;

// "file:/var/lib/shelflink"
std::string ParseStoreFolder(const std::string& text) {
  static const std::string kScheme = "file:";
  if (text.compare(0, kScheme.size() + 1, kScheme + '/') != 0) {
    throw BadInput("expected file:/FOLDER or a list of http://ADDRESS:PORT, got '" + text + "'");
  }
  return text.substr(kScheme.size());
}

// "http://10.0.0.9:2379"
net::Address ParseServer(const std::string& text) {
  static const std::string kScheme = "http://";
  if (text.compare(0, kScheme.size(), kScheme) != 0) {
    throw BadInput("expected http://ADDRESS:PORT, got '" + text + "'");
  }
  return ParseAddress(text.substr(kScheme.size()));
}

// "coordination": {"fleet": "store", "store": ["http://10.0.0.9:2379"], "ttl_s": 5}
CoordinationSettings ParseCoordination(const Json& json,
                                       const std::optional<net::Address>& console) {
  if (!json.is_object()) throw BadInput("expected an object");
  for (const auto& [key, value] : json.items()) {
    if (key != "fleet" && key != "store" && key != "ttl_s" && key != "door") {
      throw BadInput(key + ": expected fleet, store, ttl_s or door");
    }
  }
  if (!console) throw BadInput("expected beside console only: others call there");
  CoordinationSettings own;
  Field(json, "fleet", [&](const Json& j) { own.fleet = j.get<std::string>(); });
  if (own.fleet.empty() || own.fleet.find('/') != std::string::npos) {
    throw BadInput("fleet: expected a name without '/'");
  }
  Field(json, "store", [&](const Json& j) {
    if (j.is_string()) {
      own.folder = ParseStoreFolder(j.get<std::string>());
      return;
    }
    if (!j.is_array() || j.empty() || j.size() > kMostServers) {
      throw BadInput("expected file:/FOLDER or a list of 1 to 16 http://ADDRESS:PORT");
    }
    for (const Json& server : j) own.servers.push_back(ParseServer(server.get<std::string>()));
  });
  if (json.contains("ttl_s")) {
    Field(json, "ttl_s", [&](const Json& j) {
      const double seconds = j.is_number() ? j.get<double>() : 0;
      if (!(seconds >= kLeastTtl && seconds <= kMostTtl)) {
        throw BadInput("expected seconds, from 1 to 600");
      }
      own.ttl = std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
    });
  }
  own.door = *console;
  if (json.contains("door"))
    Field(json, "door", [&](const Json& j) { own.door = ParseAddress(j); });
  return own;
}

std::uint64_t ParseSeed(const std::string& word) {
  std::uint64_t seed = 0;
  const char* end = word.data() + word.size();
  const auto r = std::from_chars(word.data(), end, seed, 16);
  if (r.ec != std::errc() || r.ptr != end) throw BadInput("expected up to 16 hex digits");
  return seed;
}

}  // namespace

Config ParseConfig(const std::string& text) {
  Json json;
  try {
    json = Json::parse(text);
  } catch (const Json::exception& e) {
    throw BadInput(std::string("not JSON: ") + e.what());
  }
  if (!json.is_object()) throw BadInput("expected a JSON object");
  Config config;
  Field(json, "name", [&](const Json& j) { config.name = j.get<std::string>(); });
  Field(json, "listen", [&](const Json& j) { config.listen = ParseAddress(j); });
  Field(json, "discovery", [&](const Json& j) { config.discovery = ParseAddress(j); });
  Field(json, "seed", [&](const Json& j) { config.seed = ParseSeed(j); });
  if (json.contains("console")) {
    Field(json, "console", [&](const Json& j) { config.console = ParseAddress(j); });
  }
  if (json.contains("limits")) {
    Field(json, "limits", [&](const Json& j) {
      config.sockets = j.value("sockets", config.sockets);
      config.memory_mb = j.value("memory_mb", config.memory_mb);
      if (config.memory_mb < 1) throw BadInput("memory_mb: expected at least 1");
      if (config.sockets < kFewestSockets) throw BadInput("sockets: expected at least 64");
    });
  }
  if (json.contains("state_dir")) {
    Field(json, "state_dir", [&](const Json& j) {
      config.state = ParseState(j, json.contains("state") ? &json["state"] : nullptr);
    });
  } else if (json.contains("state")) {
    throw BadInput("state: expected beside state_dir only");
  }
  // Not "peers": by that name the platform lists addresses of a channel of its own.
  if (json.contains("peer_lists")) {
    Field(json, "peer_lists", [&](const Json& j) { config.peers = ParsePeers(j); });
  }
  if (json.contains("coordination")) {
    Field(json, "coordination",
          [&](const Json& j) { config.coordination = ParseCoordination(j, config.console); });
  }
  if (json.contains("known")) {
    Field(json, "known", [&](const Json& j) { config.known = ParseMembers(j); });
  }
  Field(json, "settings", [&](const Json& j) { config.setup = gaugecart::ReadSetup(j.dump()); });
  return config;
}

Config LoadConfig(const char* path) {
  if (path == nullptr) throw BadInput("PROXY_CONFIG: missing");
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw BadInput(std::string("PROXY_CONFIG: cannot read ") + path);
  return ParseConfig(text.str());
}

std::optional<net::Address> ConsoleAddress(const std::string& text) {
  if (text.empty()) return std::nullopt;
  try {
    return ParseAddress(text);
  } catch (const BadInput& e) {
    throw BadInput(std::string("PROXY_CONSOLE: ") + e.what());
  }
}

}  // namespace kelpspring
