// Configurations that the operators of a day send: the same routes in each, some of which move
// between services, and one marker route that tells from outside which configuration is in force.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_CONFIGURATIONS_H_
#define SHELFLINK_TESTS_TIER_SEEDS_CONFIGURATIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace shelflink::tier_seeds {

constexpr const char* kHostname = "a.example";
constexpr const char* kFirstKey = "key-1";
constexpr const char* kFirstTenant = "ten-1";
constexpr const char* kSecondKey = "key-2";
constexpr const char* kSecondTenant = "ten-2";
constexpr std::uint64_t kMostQueuedTokens = 4000;  // Of the second tenant.
constexpr int kMostItemAttempts = 3;

// What a configuration is made of. The tag is unlike that of any other order.
struct ConfigurationDraft {
  std::uint64_t version = 0;
  std::string tag;
  bool moved = false;           // The routes that move lead to the second service.
  std::size_t padding = 0;      // Bytes that nobody reads.
  std::size_t more_routes = 0;  // Which nobody asks for.
};

std::string WholeConfiguration(const ConfigurationDraft& draft);
// Only the marker is replaced.
std::string PatchOfMarker(const ConfigurationDraft& draft);
// Wrong in the way of that number.
std::string InvalidConfiguration(const ConfigurationDraft& draft, std::size_t way);
constexpr std::size_t kWaysToBeInvalid = 4;

// The marker's target of that tag, and the tag of a document that a process handed out.
std::string MarkerTarget(const std::string& tag);
std::optional<std::string> TagOf(const std::string& document);

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_CONFIGURATIONS_H_
