#include "tier/operator_api/status_client.h"

#include <libsoup/soup.h>

#include <memory>
#include <optional>
#include <utility>

#include "tier/operator_api/requests.h"

namespace shelflink::operator_api {
namespace {

constexpr std::size_t kReadSize = 64U << 10;

struct Unref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <typename T>
using Held = std::unique_ptr<T, Unref>;

// One call, run on its own main context.
class Call {
 public:
  Call(const net::Address& core, std::chrono::milliseconds timeout)
      : context_(g_main_context_new()), cancellable_(g_cancellable_new()) {
    g_main_context_push_thread_default(context_);
    session_.reset(soup_session_new_with_options("proxy-resolver", nullptr, nullptr));
    const std::string uri = "http://" + core.Text() + std::string(kStatusPath);
    message_.reset(soup_message_new("GET", uri.c_str()));
    timer_ = g_timeout_source_new(static_cast<guint>(timeout.count()));
    g_source_set_callback(timer_, OnTimeout, this, nullptr);
    g_source_attach(timer_, context_);
  }
  ~Call() {
    g_source_destroy(timer_);
    g_source_unref(timer_);
    stream_.reset();
    message_.reset();
    session_.reset();
    g_main_context_pop_thread_default(context_);
    g_main_context_unref(context_);
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  Result<std::string> Run() {
    if (!message_) return MakeError(ErrorCode::kInvalid, "no such address");
    soup_session_send_async(session_.get(), message_.get(), G_PRIORITY_DEFAULT, cancellable_.get(),
                            OnSent, this);
    while (!outcome_) g_main_context_iteration(context_, TRUE);
    return *outcome_;
  }

 private:
  static gboolean OnTimeout(gpointer data) {
    auto* call = static_cast<Call*>(data);
    call->timed_out_ = true;
    g_cancellable_cancel(call->cancellable_.get());
    return G_SOURCE_CONTINUE;
  }

  static void OnSent(GObject*, GAsyncResult* result, gpointer data) {
    auto* call = static_cast<Call*>(data);
    GError* error = nullptr;
    call->stream_.reset(soup_session_send_finish(call->session_.get(), result, &error));
    if (!call->stream_) return call->Fail(error);
    const auto status = static_cast<int>(soup_message_get_status(call->message_.get()));
    if (status != status::kOk) {
      return call->EndWith(MakeError(ErrorCode::kInvalid, "got status " + std::to_string(status)));
    }
    call->Read();
  }

  void Read() {
    g_input_stream_read_bytes_async(stream_.get(), kReadSize, G_PRIORITY_DEFAULT,
                                    cancellable_.get(), OnRead, this);
  }

  static void OnRead(GObject* stream, GAsyncResult* result, gpointer data) {
    auto* call = static_cast<Call*>(data);
    GError* error = nullptr;
    GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error);
    if (bytes == nullptr) return call->Fail(error);
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (size > 0) call->body_.append(text, size);
    g_bytes_unref(bytes);
    if (size == 0) return call->EndWith(std::move(call->body_));
    if (call->body_.size() > kMostStatusBytes) {
      return call->EndWith(MakeError(ErrorCode::kTooLarge, "got a longer answer"));
    }
    call->Read();
  }

  void Fail(GError* error) {
    const std::string text = timed_out_ ? "got no answer in time" : error->message;
    g_error_free(error);
    EndWith(MakeError(ErrorCode::kUnavailable, text));
  }

  // Set at the end of the call: the whole body, or an error.
  template <typename T>
  void EndWith(T&& outcome) {
    outcome_.emplace(std::forward<T>(outcome));
  }

  GMainContext* context_;
  Held<GCancellable> cancellable_;
  Held<SoupSession> session_;
  Held<SoupMessage> message_;
  Held<GInputStream> stream_;
  GSource* timer_ = nullptr;
  std::string body_;
  std::optional<Result<std::string>> outcome_;
  bool timed_out_ = false;
};

}  // namespace

Result<std::string> FetchStatus(const net::Address& core, std::chrono::milliseconds timeout) {
  return Call(core, timeout).Run();
}

}  // namespace shelflink::operator_api
