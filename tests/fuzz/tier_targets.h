// What is fuzzed of the serving tier: its listeners by the bytes of a peer on the virtual network,
// its parsers by their text. Each target takes any bytes and throws what it finds.
#ifndef SHELFLINK_TESTS_FUZZ_TIER_TARGETS_H_
#define SHELFLINK_TESTS_FUZZ_TIER_TARGETS_H_

#include <string_view>
#include <vector>

#include "fuzz/targets.h"

namespace fuzz {

const std::vector<Target>& TierTargets();

// Listeners: one peer says the bytes, another one must be served as ever.
void PlayControl(std::string_view bytes);  // An operator, at the real server over loopback.
void PlayFront(std::string_view bytes);    // A client of the proxy.
void PlayReady(std::string_view bytes);    // A listener that may hold 0, 1 or all bytes of a body.
void PlayHub(std::string_view bytes);      // A process at the internal listener.
void PlayAnswer(std::string_view bytes);   // An endpoint: its answers and streams of events.

// Parsers.
void PlaySettings(std::string_view bytes);       // The settings file.
void PlayConfiguration(std::string_view bytes);  // A configuration, put and then in force.
void PlayPatch(std::string_view bytes);          // A change of one in force.
void PlayJob(std::string_view bytes);            // A batch job as a client submits it.
void PlayMessages(std::string_view bytes);  // Messages between processes; the first byte: which.
void PlayOrder(std::string_view bytes);     // An operator's request, once it is read.

}  // namespace fuzz

#endif  // SHELFLINK_TESTS_FUZZ_TIER_TARGETS_H_
