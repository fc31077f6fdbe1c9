#include "tier/proxy/batch_requests.h"

#include <cstdlib>
#include <utility>

#include "tier/foundation/json_text.h"
#include "tier/proxy/header_names.h"
#include "tier/proxy/headers.h"

namespace shelflink::proxy {
namespace {

namespace http = boost::beast::http;
using kelpspring::Client;
using kelpspring::HttpResponse;
using kelpspring::View;
using ClientPtr = std::shared_ptr<Client>;

constexpr std::string_view kLots = "/lots/";
constexpr std::string_view kItems = "/items/";
constexpr auto kLongestWait = std::chrono::milliseconds(10'000);

std::string_view After(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix ? text.substr(prefix.size()) : std::string_view();
}

// The value of a name in a query; ids and numbers need no escapes.
std::string_view QueryValue(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  std::string_view query = mark == target.npos ? std::string_view() : target.substr(mark + 1);
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) return pair.substr(std::min(equals + 1, pair.size()));
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return {};
}

unsigned StatusOf(const Error& error, bool submission) {
  switch (error.code) {
    case ErrorCode::kInvalid:
      return 400;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kExhausted:
      return 429;
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kConflict:
    case ErrorCode::kUnknown:
    case ErrorCode::kStorage:
      break;
  }
  return submission ? 504 : 503;
}

HttpResponse AnswerWith(unsigned status, const char* type, std::string body) {
  HttpResponse answer{http::int_to_status(status), 11};
  answer.set(http::field::content_type, type);
  answer.body() = std::move(body);
  return answer;
}

template <typename T>
bool Failed(const ClientPtr& client, const Result<T>& result, bool submission = false) {
  if (result) return false;
  client->RespondPlain(StatusOf(result.error(), submission), result.error().text + '\n');
  return true;
}

void Submit(const ClientPtr& client, kelpspring::HttpRequest request, const BatchCaller& caller,
            BatchJobService& batch) {
  std::string job(View(request[kRequestIdHeader]));
  if (job.empty() || request.count(kRequestIdHeader) > 1) {
    return client->RespondPlain(400, "Shelflink-Request-Id: expected once\n");
  }
  BatchSubmission submission{std::move(job), std::move(request.body())};
  batch.Submit(caller, std::move(submission), [client](const Result<void>& result) {
    if (!Failed(client, result, true)) {
      client->Respond(AnswerWith(202, "application/json", "{}"));
    }
  });
}

void Read(const ClientPtr& client, const kelpspring::HttpRequest& request, std::string job,
          const BatchCaller& caller, BatchJobService& batch) {
  const std::string_view after = QueryValue(View(request.target()), "afterId");
  const auto position = after.empty() ? 0 : WholeNumber(after);
  if (!position) return client->RespondPlain(400, "afterId: expected a whole number\n");
  BatchRead read{std::move(job), *position, {}};
  if (const auto wait = WholeNumber(View(request[kWaitHeader]))) {
    const auto most = static_cast<std::uint64_t>(kLongestWait.count());
    read.wait = std::chrono::milliseconds(std::min(*wait, most));
  }
  batch.Read(caller, read, [client, from = *position](const Result<BatchPage>& page) {
    if (Failed(client, page)) return;
    client->Respond(AnswerWith(200, "application/json", PageJson(page.value(), from)));
  });
}

void ReadBody(const ClientPtr& client, const kelpspring::HttpRequest& request,
              const std::string& job, const BatchCaller& caller, BatchJobService& batch) {
  const std::string item(QueryValue(View(request.target()), "id"));
  if (item.empty()) return client->RespondPlain(400, "id: expected the id of an item\n");
  batch.Body(caller, job, item, [client](const Result<std::string>& body) {
    if (Failed(client, body)) return;
    client->Respond(AnswerWith(200, "application/octet-stream", body.value()));
  });
}

void End(const ClientPtr& client, const std::string& job, const BatchCaller& caller,
         BatchJobService& batch) {
  batch.End(caller, job, [client](const Result<void>& result) {
    if (!Failed(client, result)) client->Respond(AnswerWith(200, "application/json", "{}"));
  });
}

}  // namespace

bool IsBatchJobPath(std::string_view path) {
  return !After(path, kLots).empty() || !After(path, kItems).empty();
}

void AnswerBatchRequest(const ClientPtr& client, kelpspring::HttpRequest request,
                        const BatchCaller& caller, BatchJobService& batch) {
  const std::string path(kelpspring::PathOf(View(request.target())));
  const std::string job(After(path, kLots));
  const std::string of_items(After(path, kItems));
  const auto method = request.method();
  if (method == http::verb::post && job.empty() && of_items.empty()) {
    return Submit(client, std::move(request), caller, batch);
  }
  if (method == http::verb::get && !job.empty()) return Read(client, request, job, caller, batch);
  if (method == http::verb::delete_ && !job.empty()) return End(client, job, caller, batch);
  if (method == http::verb::get && !of_items.empty()) {
    return ReadBody(client, request, of_items, caller, batch);
  }
  client->RespondPlain(400, "no such request about a batch job\n");
}

std::string PageJson(const BatchPage& page, std::uint64_t after) {
  std::string json = "{\"total\":" + std::to_string(page.total) +
                     ",\"nextToken\":" + std::to_string(after + page.results.size()) +
                     ",\"results\":[";
  const char* separator = "";
  for (const BatchResult& result : page.results) {
    json += separator;
    json += "{\"id\":";
    AppendJsonString(json, result.id);
    json += result.completed ? ",\"state\":\"completed\"" : ",\"state\":\"dead_letter\"";
    json += ",\"text\":";
    AppendJsonString(json, result.text);
    json += '}';
    separator = ",";
  }
  json += "]}";
  return json;
}

}  // namespace shelflink::proxy
