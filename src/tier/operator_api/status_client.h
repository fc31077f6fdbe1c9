// A blocking client for GET /status of a core process, for command-line tools.
//
// Limits: an answer of more than kMostStatusBytes is an error; one time-out for the whole call.
#ifndef SHELFLINK_TIER_OPERATOR_API_STATUS_CLIENT_H_
#define SHELFLINK_TIER_OPERATOR_API_STATUS_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "net/address.h"
#include "tier/foundation/result.h"

namespace shelflink::operator_api {

constexpr std::size_t kMostStatusBytes = 4U << 20;

// Returns the body of a 200. Errors: kUnavailable if there is no connection or no answer in time,
// kInvalid for another status or an answer that cannot be parsed, kTooLarge for a longer answer.
Result<std::string> FetchStatus(const net::Address& core, std::chrono::milliseconds timeout);

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_STATUS_CLIENT_H_
