// A submitted batch job, read from its JSON and checked whole: every finding with its item and
// field, nothing taken unless there is none.
//
// Limits: kMostItems items, kMostValues JSON values (a document of 4 MB could hold millions, each
// of them a node in memory), kLongestId and kLongestPath bytes. Beyond any of them: a finding.
#ifndef SHELFLINK_TIER_BATCH_JOB_JSON_H_
#define SHELFLINK_TIER_BATCH_JOB_JSON_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tier/batch/messages.h"
#include "tier/configuration/model.h"
#include "tier/foundation/result.h"

namespace shelflink::batch {

constexpr std::size_t kMostValues = 65536;
constexpr std::size_t kLongestId = 256;
constexpr std::size_t kLongestPath = 8192;
constexpr std::size_t kLongestHeader = 16384;  // Name and value together.
constexpr std::uint64_t kMostItemTokens = std::uint64_t{1} << 40U;
// Findings told of one job; what else is wrong is counted only.
constexpr std::size_t kMostFindings = 50;

// Whether it may name a batch job or an item: it travels as the value of a header.
bool IsValidId(std::string_view id);

// The headers of an item come without those that the system sets itself or that concern one
// connection only. `route` is the batch route of `configuration` that the job was sent to, at
// `host`; every item must lead to the same one.
BOOST_OUTCOME_V2_NAMESPACE::basic_result<std::vector<Item>, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ParseSubmission(std::string_view json, const configuration::Configuration& configuration,
                const configuration::Route& route, std::string_view host);

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_JOB_JSON_H_
