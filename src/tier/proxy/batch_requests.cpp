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

constexpr std::string_view kLotsPath = "/lots/";
constexpr std::string_view kItemsPath = "/items/";
constexpr auto kMaxWait = std::chrono::milliseconds(10'000);

// The text after `prefix`; empty if the text does not start with it.
std::string_view SuffixAfter(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix ? text.substr(prefix.size()) : std::string_view();
}

// Value of a query parameter. Not percent-decoded: ids and numbers need no escapes.
std::string_view QueryValue(std::string_view target, std::string_view name) {
  const std::size_t question_mark = target.find('?');
  std::string_view query =
      question_mark == target.npos ? std::string_view() : target.substr(question_mark + 1);
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

HttpResponse ResponseOf(unsigned status, const char* type, std::string body) {
  HttpResponse response{http::int_to_status(status), 11};
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

// Responds with the error, if the result has one. Returns whether it did.
template <typename T>
bool RespondIfError(const ClientPtr& client, const Result<T>& result, bool submission = false) {
  if (result) return false;
  client->RespondPlain(StatusOf(result.error(), submission), result.error().text + '\n');
  return true;
}

void SubmitJob(const ClientPtr& client, kelpspring::HttpRequest request, const BatchCaller& caller,
               BatchJobService& batch) {
  std::string job(View(request[kRequestIdHeader]));
  if (job.empty() || request.count(kRequestIdHeader) > 1) {
    return client->RespondPlain(400, "Shelflink-Request-Id: expected once\n");
  }
  BatchSubmission submission{std::move(job), std::move(request.body())};
  batch.Submit(caller, std::move(submission), [client](const Result<void>& result) {
    if (!RespondIfError(client, result, true)) {
      client->Respond(ResponseOf(202, "application/json", "{}"));
    }
  });
}

void Poll(const ClientPtr& client, const kelpspring::HttpRequest& request, std::string job,
          const BatchCaller& caller, BatchJobService& batch) {
  const std::string_view after = QueryValue(View(request.target()), "afterId");
  const auto position = after.empty() ? 0 : ParseUnsigned(after);
  if (!position) return client->RespondPlain(400, "afterId: expected a whole number\n");
  BatchRead read{std::move(job), *position, {}};
  if (const auto wait = ParseUnsigned(View(request[kWaitHeader]))) {
    const auto max_wait_ms = static_cast<std::uint64_t>(kMaxWait.count());
    read.wait = std::chrono::milliseconds(std::min(*wait, max_wait_ms));
  }
  batch.Read(caller, read, [client, from = *position](const Result<BatchPage>& page) {
    if (RespondIfError(client, page)) return;
    client->Respond(ResponseOf(200, "application/json", PageJson(page.value(), from)));
  });
}

void ReadItemBody(const ClientPtr& client, const kelpspring::HttpRequest& request,
                  const std::string& job, const BatchCaller& caller, BatchJobService& batch) {
  const std::string item(QueryValue(View(request.target()), "id"));
  if (item.empty()) return client->RespondPlain(400, "id: expected the id of an item\n");
  batch.Body(caller, job, item, [client](const Result<std::string>& body) {
    if (RespondIfError(client, body)) return;
    client->Respond(ResponseOf(200, "application/octet-stream", body.value()));
  });
}

void EndJob(const ClientPtr& client, const std::string& job, const BatchCaller& caller,
            BatchJobService& batch) {
  batch.End(caller, job, [client](const Result<void>& result) {
    if (!RespondIfError(client, result)) client->Respond(ResponseOf(200, "application/json", "{}"));
  });
}

}  // namespace

bool IsBatchJobPath(std::string_view path) {
  return !SuffixAfter(path, kLotsPath).empty() || !SuffixAfter(path, kItemsPath).empty();
}

void HandleBatchRequest(const ClientPtr& client, kelpspring::HttpRequest request,
                        const BatchCaller& caller, BatchJobService& batch) {
  const std::string path(kelpspring::PathOf(View(request.target())));
  const std::string job(SuffixAfter(path, kLotsPath));
  const std::string items_job(SuffixAfter(path, kItemsPath));
  const auto method = request.method();
  if (method == http::verb::post && job.empty() && items_job.empty()) {
    return SubmitJob(client, std::move(request), caller, batch);
  }
  if (method == http::verb::get && !job.empty()) return Poll(client, request, job, caller, batch);
  if (method == http::verb::delete_ && !job.empty()) return EndJob(client, job, caller, batch);
  if (method == http::verb::get && !items_job.empty()) {
    return ReadItemBody(client, request, items_job, caller, batch);
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
