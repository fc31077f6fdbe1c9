#include "tier/platform/soup_platform.h"

#include <libsoup/soup.h>

#include <array>
#include <cmath>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "tier/configuration/json.h"
#include "tier/platform/call_timeout.h"
#include "tier/platform/instance_page.h"

namespace shelflink::platform {
namespace {

using std::chrono::milliseconds;

constexpr guint kTooManyRequests = 429;  // libsoup 3.2 has no name for it.
constexpr guint kIdleTimeoutS = 30;
constexpr std::size_t kReadSize = 64U << 10;
constexpr double kLongestRetryAfterS = 3600.0;
constexpr double kMillisecondsPerSecond = 1000.0;
constexpr gint64 kMicrosPerMilli = 1000;

// What the platform answered, whatever its status.
struct HttpAnswer {
  guint status = 0;
  std::optional<milliseconds> retry_after;
  std::string body;
};
using AnswerDone = std::function<void(CallResult<HttpAnswer>)>;

CallError Failure(ErrorCode code, std::string text) { return {code, std::move(text), {}}; }

std::optional<milliseconds> RetryAfterOf(SoupMessage* message) {
  const char* text =
      soup_message_headers_get_one(soup_message_get_response_headers(message), "Retry-After");
  if (text == nullptr) return std::nullopt;
  char* end = nullptr;
  const double seconds = g_ascii_strtod(text, &end);
  const bool usable = end != text && seconds >= 0.0 && seconds <= kLongestRetryAfterS;
  if (!usable) return std::nullopt;
  return milliseconds(static_cast<std::int64_t>(std::ceil(seconds * kMillisecondsPerSecond)));
}

ErrorCode CodeOf(guint status) {
  if (status == kTooManyRequests) return ErrorCode::kExhausted;
  if (status == SOUP_STATUS_CONFLICT) return ErrorCode::kConflict;
  if (status == SOUP_STATUS_SERVICE_UNAVAILABLE) return ErrorCode::kUnavailable;
  return SOUP_STATUS_IS_SERVER_ERROR(status) ? ErrorCode::kUnknown : ErrorCode::kInvalid;
}

std::optional<CallError> RefusalIn(const HttpAnswer& answer) {
  if (answer.status == SOUP_STATUS_OK) return std::nullopt;
  CallError error =
      Failure(CodeOf(answer.status), "the platform answered " + std::to_string(answer.status));
  error.retry_after = answer.retry_after;
  return error;
}

std::string Escaped(const std::string& text) {
  char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string result = escaped;
  g_free(escaped);
  return result;
}

std::string ListTarget(const ListRequest& request) {
  std::string target = "/instances";
  char separator = '?';
  if (!request.zone.empty()) {
    target += separator + ("zone=" + Escaped(request.zone));
    separator = '&';
  }
  if (!request.page_token.empty()) {
    target += separator + ("pageToken=" + Escaped(request.page_token));
  }
  return target;
}

std::string BodyOf(const UsageReport& report) {
  std::string body = R"({"window":)" + std::to_string(report.window) + R"(,"counts":{)";
  bool first = true;
  for (const auto& [tenant, count] : report.counts) {
    if (!first) body += ',';
    first = false;
    body += json::Quoted(tenant) + ":" + std::to_string(count);
  }
  return body + "}}";
}

std::string BodyOf(const ScaleOrder& order) {
  return R"({"service":)" + json::Quoted(order.service) + R"(,"zone":)" + json::Quoted(order.zone) +
         R"(,"desired":)" + std::to_string(order.desired) + "}";
}

}  // namespace

// One call to the platform from its start until its answer, an error or its time-out.
class SoupCall : public std::enable_shared_from_this<SoupCall> {
 public:
  SoupCall(SoupMessage* message, AnswerDone done)
      : message_(message), cancellable_(g_cancellable_new()), done_(std::move(done)) {}
  ~SoupCall() {
    ClearTimeout();
    if (stream_ != nullptr) g_object_unref(stream_);
    g_object_unref(cancellable_);
    g_object_unref(message_);
  }
  SoupCall(const SoupCall&) = delete;
  SoupCall& operator=(const SoupCall&) = delete;

  void Start(SoupSession* session, milliseconds timeout) {
    started_ = g_get_monotonic_time();
    timeout_ = g_timeout_source_new(static_cast<guint>(timeout.count()));
    g_source_set_callback(timeout_, OnTimeout, this, nullptr);
    g_source_attach(timeout_, g_main_context_get_thread_default());
    soup_session_send_async(session, message_, G_PRIORITY_DEFAULT, cancellable_, OnSent, Hold());
  }

  bool timed_out() const { return timed_out_; }
  // Since the start.
  milliseconds elapsed() const {
    return milliseconds((g_get_monotonic_time() - started_) / kMicrosPerMilli);
  }

  // Nothing is told any more.
  void Abandon() {
    done_ = nullptr;
    ClearTimeout();
    g_cancellable_cancel(cancellable_);
  }

 private:
  using Held = std::shared_ptr<SoupCall>;

  // Keeps the call until the operation's callback.
  gpointer Hold() { return new Held(shared_from_this()); }
  static Held Release(gpointer data) {
    const std::unique_ptr<Held> held(static_cast<Held*>(data));
    return std::move(*held);
  }

  static gboolean OnTimeout(gpointer data) {
    auto* call = static_cast<SoupCall*>(data);
    const Held held = call->shared_from_this();
    call->timed_out_ = true;
    call->Finish(Failure(ErrorCode::kUnknown, "no answer from the platform in time"));
    return G_SOURCE_REMOVE;
  }

  static void OnSent(GObject* session, GAsyncResult* result, gpointer data) {
    const Held call = Release(data);
    GError* error = nullptr;
    call->stream_ = soup_session_send_finish(SOUP_SESSION(session), result, &error);
    if (call->stream_ == nullptr) {
      call->FinishWith(error);
      return;
    }
    call->answer_.status = soup_message_get_status(call->message_);
    call->answer_.retry_after = RetryAfterOf(call->message_);
    call->Read();
  }

  void Read() {
    g_input_stream_read_bytes_async(stream_, kReadSize, G_PRIORITY_DEFAULT, cancellable_, OnRead,
                                    Hold());
  }

  static void OnRead(GObject* stream, GAsyncResult* result, gpointer data) {
    const Held call = Release(data);
    GError* error = nullptr;
    GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error);
    if (bytes == nullptr) {
      call->FinishWith(error);
      return;
    }
    call->Take(bytes);
    g_bytes_unref(bytes);
  }

  void Take(GBytes* bytes) {
    gsize size = 0;
    const void* data = g_bytes_get_data(bytes, &size);
    if (size == 0) {
      Finish(std::move(answer_));
    } else if (answer_.body.size() + size > kLargestAnswer) {
      Finish(Failure(ErrorCode::kTooLarge, "the platform's answer is too large"));
    } else {
      answer_.body.append(static_cast<const char*>(data), size);
      Read();
    }
  }

  void FinishWith(GError* error) {
    const std::string text = error->message;
    g_error_free(error);
    Finish(Failure(ErrorCode::kUnknown, "no answer from the platform: " + text));
  }

  void Finish(CallResult<HttpAnswer> result) {
    ClearTimeout();
    const AnswerDone done = std::exchange(done_, nullptr);
    if (!result) g_cancellable_cancel(cancellable_);
    if (done) done(std::move(result));
  }

  void ClearTimeout() {
    if (timeout_ == nullptr) return;
    g_source_destroy(timeout_);
    g_source_unref(timeout_);
    timeout_ = nullptr;
  }

  SoupMessage* message_;
  GCancellable* cancellable_;
  GSource* timeout_ = nullptr;
  gint64 started_ = 0;  // Microseconds of GLib's steady clock.
  bool timed_out_ = false;
  GInputStream* stream_ = nullptr;
  HttpAnswer answer_;
  AnswerDone done_;
};

struct SoupPlatform::Impl {
  Impl(const net::Address& address, milliseconds least_timeout)
      : origin("http://" + address.Text()), timeout(least_timeout) {
    // Without a resolver of its own, the session would look for a proxy on the machine.
    session = soup_session_new_with_options(
        "proxy-resolver", nullptr, "max-conns", kMostConnections, "max-conns-per-host",
        kMostConnections, "idle-timeout", kIdleTimeoutS, nullptr);
    soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
  }
  ~Impl() {
    for (const auto& call : calls) call->Abandon();
    soup_session_abort(session);
    g_object_unref(session);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Run(SoupMessage* message, AnswerDone done) {
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    // The call is told done before it is forgotten; both by itself.
    auto slot = std::make_shared<std::weak_ptr<SoupCall>>();
    auto call = std::make_shared<SoupCall>(
        message, [this, slot, done = std::move(done)](CallResult<HttpAnswer> answer) {
          Forget(slot->lock());
          done(std::move(answer));
        });
    *slot = call;
    calls.insert(call);
    call->Start(session, timeout.current());
  }

  void Forget(const std::shared_ptr<SoupCall>& call) {
    calls.erase(call);
    if (call->timed_out()) {
      timeout.OnSilence();
    } else {
      timeout.OnAnswer(call->elapsed());
    }
  }

  void Post(const std::string& target, const std::string& body, const DutyHolder& holder,
            DutyDone done) {
    SoupMessage* message = soup_message_new(SOUP_METHOD_POST, (origin + target).c_str());
    SoupMessageHeaders* headers = soup_message_get_request_headers(message);
    soup_message_headers_append(headers, "Shelflink-Duty-Holder", holder.node.c_str());
    soup_message_headers_append(headers, "Shelflink-Fence-Token",
                                std::to_string(holder.fence).c_str());
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
    g_bytes_unref(bytes);
    Run(message, [done = std::move(done)](CallResult<HttpAnswer> answer) {
      if (!answer) return done(answer.error());
      if (auto refusal = RefusalIn(answer.value())) return done(std::move(*refusal));
      done(BOOST_OUTCOME_V2_NAMESPACE::success());
    });
  }

  std::string origin;
  CallTimeout timeout;
  SoupSession* session = nullptr;
  std::set<std::shared_ptr<SoupCall>> calls;
};

SoupPlatform::SoupPlatform(const net::Address& address, milliseconds least_timeout)
    : impl_(std::make_unique<Impl>(address, least_timeout)) {}

SoupPlatform::~SoupPlatform() = default;

void SoupPlatform::List(const ListRequest& request, ListDone done) {
  const std::string uri = impl_->origin + ListTarget(request);
  SoupMessage* message = soup_message_new(SOUP_METHOD_GET, uri.c_str());
  impl_->Run(message, [done = std::move(done)](CallResult<HttpAnswer> answer) {
    if (!answer) return done(answer.error());
    if (auto refusal = RefusalIn(answer.value())) return done(std::move(*refusal));
    auto page = ParseInstancePage(answer.value().body);
    if (!page) return done(Failure(ErrorCode::kInvalid, TextOf(page.error())));
    done(std::move(page.value()));
  });
}

void SoupPlatform::ReportUsage(const UsageReport& report, const DutyHolder& holder, DutyDone done) {
  impl_->Post("/usage", BodyOf(report), holder, std::move(done));
}

void SoupPlatform::Scale(const ScaleOrder& order, const DutyHolder& holder, DutyDone done) {
  impl_->Post("/scale", BodyOf(order), holder, std::move(done));
}

}  // namespace shelflink::platform
