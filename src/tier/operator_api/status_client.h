// Asks a core process for GET /status, for a command line: one call that waits for its end.
//
// Limits: kMostStatusBytes of an answer, more is an error; one time-out for the whole call.
#ifndef SHELFLINK_TIER_OPERATOR_API_STATUS_CLIENT_H_
#define SHELFLINK_TIER_OPERATOR_API_STATUS_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "net/address.h"
#include "tier/foundation/result.h"

namespace shelflink::operator_api {

constexpr std::size_t kMostStatusBytes = 4U << 20;

// The body of a 200. An error's text says what came instead: kUnavailable no connection or no
// answer in time, kInvalid another status or an answer that cannot be read, kTooLarge a longer one.
Result<std::string> FetchStatus(const net::Address& core, std::chrono::milliseconds timeout);

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_STATUS_CLIENT_H_
