// What is fuzzed: parsers by their text, the sidecar by the bytes of a peer on the virtual network,
// the decision module by a row of events. Each target takes any bytes and throws what it finds.
#ifndef SHELFLINK_TESTS_FUZZ_TARGETS_H_
#define SHELFLINK_TESTS_FUZZ_TARGETS_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace fuzz {

struct Breach : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Target {
  const char* name;  // Of its folder in the corpus, too.
  void (*play)(std::string_view bytes);
};
const std::vector<Target>& Targets();

void PlayClient(std::string_view bytes);     // What a client writes.
void PlayEndpoint(std::string_view bytes);   // What an endpoint answers.
void PlayDiscovery(std::string_view bytes);  // What discovery answers.
void PlayConsole(std::string_view bytes);    // What a caller says at the operators' door.
void PlayParts(std::string_view bytes);      // Behind the first part of a long body.
void PlayModule(std::string_view bytes);     // Events, in a code of its own.

}  // namespace fuzz

#endif  // SHELFLINK_TESTS_FUZZ_TARGETS_H_
