#include "tier/proxy/response_classifier.h"

#include <boost/beast/core/string.hpp>

#include "tier/proxy/header_names.h"

namespace shelflink::proxy {

using gaugecart::OutcomeCode;
using kelpspring::AnswerUse;
using kelpspring::HttpResponse;
using kelpspring::View;

namespace {

constexpr unsigned kMisdirectedRequest = 421;

// Statuses that promise the client that the request was not executed.
bool PromisesNotRun(unsigned status) {
  return status == 429 || status == 503 || status == 408 || status == kMisdirectedRequest;
}

}  // namespace

bool IsEventStream(const HttpResponse& head) {
  const auto type = head[boost::beast::http::field::content_type];
  return boost::beast::iequals(type.substr(0, type.find(';')), "text/event-stream");
}

kelpspring::Reading ClassifyResponseHead(const ExpectedResponse& expected,
                                         const HttpResponse& head) {
  const unsigned status = head.result_int();
  const std::string_view id = View(head[kRequestIdHeader]);
  if (!id.empty() && id != expected.request_id) return {OutcomeCode::kError, AnswerUse::kSkip};
  if (status == kMisdirectedRequest || head.count(kNotRunHeader) != 0) {
    return {OutcomeCode::kFull, AnswerUse::kHold};
  }
  const bool success = status / 100 == 2;
  // Without an id the response may belong to another request. A success without a stamp was not
  // produced by an endpoint. A status that promises non-execution is only valid with kNotRunHeader
  // or 421, which were handled above, and must not reach the client.
  if (id.empty() || (success && head[kResponseStampHeader].empty()) || PromisesNotRun(status)) {
    return {OutcomeCode::kError, AnswerUse::kHold};
  }
  const bool stream = success && expected.may_stream && IsEventStream(head);
  return {OutcomeCode::kOk, stream ? AnswerUse::kPass : AnswerUse::kHold};
}

}  // namespace shelflink::proxy
