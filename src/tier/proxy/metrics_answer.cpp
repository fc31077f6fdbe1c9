#include "tier/proxy/metrics_answer.h"

#include <string_view>
#include <utility>

#include "tier/foundation/metrics_text.h"

namespace shelflink::proxy {
namespace {

namespace http = boost::beast::http;

kelpspring::HttpResponse NotAllowed() {
  kelpspring::HttpResponse answer =
      kelpspring::PlainText(http::status::method_not_allowed, "GET and HEAD are served here\n");
  answer.set(http::field::allow, "GET, HEAD");
  return answer;
}

kelpspring::HttpResponse MetricsAnswer(std::string text) {
  kelpspring::HttpResponse answer = kelpspring::PlainText(http::status::ok, std::move(text));
  answer.set(http::field::content_type, std::string(kMetricsContentType));
  return answer;
}

// Answers HEAD: the head of the response to GET, its Content-Length included, without the body.
void RespondHead(kelpspring::Client& client, kelpspring::HttpResponse answer) {
  const std::size_t length = answer.body().size();
  answer.body().clear();
  client.Begin(std::move(answer), length, [] {});
  client.EndBody();
}

}  // namespace

void AnswerMetrics(kelpspring::Client& client, const kelpspring::HttpRequest& request,
                   const std::function<std::string()>& render_metrics) {
  if (kelpspring::PathOf(kelpspring::View(request.target())) != kMetricsPath) {
    client.RespondPlain(404, "GET /ready and GET /metrics are served here\n");
    return;
  }
  switch (request.method()) {
    case http::verb::get:
      client.Respond(MetricsAnswer(render_metrics()));
      return;
    case http::verb::head:
      RespondHead(client, MetricsAnswer(render_metrics()));
      return;
    default:
      client.Respond(NotAllowed());
  }
}

}  // namespace shelflink::proxy
