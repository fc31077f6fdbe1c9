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

// These promise that the request never ran.
bool IsPromise(unsigned status) {
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
  // Without the id it may belong to anybody, without the stamp it is no endpoint's success, and a
  // promise that the endpoint did not mean must not be passed on.
  if (id.empty() || (success && head[kResponseStampHeader].empty()) || IsPromise(status)) {
    return {OutcomeCode::kError, AnswerUse::kHold};
  }
  const bool stream = success && expected.may_stream && IsEventStream(head);
  return {OutcomeCode::kOk, stream ? AnswerUse::kPass : AnswerUse::kHold};
}

}  // namespace shelflink::proxy
