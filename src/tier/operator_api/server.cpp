#include "tier/operator_api/server.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include "tier/foundation/log.h"
#include "tier/operator_api/requests.h"

namespace shelflink::operator_api {
namespace {

constexpr std::string_view kLogName = "operator";
constexpr std::size_t kMostBodyLimit = 32U
                                       << 20;  // What one frame between processes holds, and more.
// A body beyond the limit is read and dropped, up to so many times the limit: an answer that meets
// unread bytes would be lost by a reset.
constexpr std::size_t kDrainFactor = 4;
constexpr std::chrono::milliseconds kBodyTime{10000};
constexpr double kBusyRetryAfterS = 0.2;

enum class Phase : std::uint8_t {
  kIdle,      // Nothing, or a part of the head, has come.
  kBody,      // The head has come.
  kOrder,     // The order is under way.
  kAnswered,  // The answer is being written.
};

struct Request {
  Phase phase = Phase::kIdle;
  net::Time received{};               // The head.
  std::optional<net::Time> deadline;  // Of this phase; then the connection is closed.
  std::size_t body_bytes = 0;
};

std::string_view TextOf(const char* text) { return text == nullptr ? "" : text; }

// How often a header stands in the request.
int CountOf(SoupMessageHeaders* headers, std::string_view wanted) {
  int count = 0;
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator, headers);
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    if (g_ascii_strcasecmp(name, std::string(wanted).c_str()) == 0) ++count;
  }
  return count;
}

// Two readers could see different ends of such a request.
bool HasUnclearLength(SoupMessageHeaders* headers) {
  const int lengths = CountOf(headers, "Content-Length");
  const int encodings = CountOf(headers, "Transfer-Encoding");
  return lengths + encodings > 1;
}

std::size_t BodyLimit(const configuration::ClientLimits& limits) {
  return std::clamp(limits.max_body_bytes, kLeastBodyLimit, kMostBodyLimit);
}

// What of an order decides how its answer reads.
Order WithoutBody(const Order& order) {
  if (const auto* change = std::get_if<configuration::ChangeOrder>(&order)) {
    return configuration::ChangeOrder{change->method, change->base_version, {}};
  }
  return order;
}

std::string SecondsText(double seconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", seconds);
  return text;
}

void CloseAfterwards(SoupServerMessage* message) {
  soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection",
                               "close");
}

void WriteAnswer(SoupServerMessage* message, const HttpAnswer& answer) {
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
  if (!answer.allow.empty()) soup_message_headers_replace(headers, "Allow", answer.allow.c_str());
  if (answer.retry_after_s) {
    soup_message_headers_replace(headers, "Retry-After",
                                 SecondsText(*answer.retry_after_s).c_str());
  }
  soup_server_message_set_status(message, static_cast<guint>(answer.status), nullptr);
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY,
                                   answer.body.data(), answer.body.size());
}

// Keeps a message while its order is under way.
class MessageReference {
 public:
  explicit MessageReference(SoupServerMessage* message)
      : message_(static_cast<SoupServerMessage*>(g_object_ref(message))) {}
  ~MessageReference() { g_object_unref(message_); }
  MessageReference(const MessageReference&) = delete;
  MessageReference& operator=(const MessageReference&) = delete;
  SoupServerMessage* get() const { return message_; }

 private:
  SoupServerMessage* message_;
};

}  // namespace

struct Server::Impl {
  Impl(net::Loop& the_loop, Forwarder& the_forwarder, const net::Address& listen);
  ~Impl();

  void OnStarted(SoupServerMessage* message);
  void OnHead(SoupServerMessage* message);
  void OnChunk(SoupServerMessage* message, std::size_t bytes);
  void OnRequest(SoupServerMessage* message);
  void OnAnswered(SoupServerMessage* message, const HttpAnswer& answer);
  void OnGone(SoupServerMessage* message);

  void RefuseLate(SoupServerMessage* message, int status, std::string_view text);
  void MakeRoom(SoupServerMessage* newcomer);
  void SetDeadline(Request& request, std::optional<net::Time> deadline);
  void CloseOverdue();
  void Disconnect(SoupServerMessage* message);

  net::Loop& loop;
  Forwarder& forwarder;
  SoupServer* server = nullptr;
  net::Address bound;
  configuration::ClientLimits limits;
  bool listening = true;
  std::size_t orders = 0;
  std::map<SoupServerMessage*, Request> requests;  // One for each open connection.
  net::TimerPtr overdue;
  net::Time overdue_at = net::Time::max();
  Counters counters;
  std::shared_ptr<Impl*> self = std::make_shared<Impl*>(this);
};

namespace {

using Impl = Server::Impl;

Impl* ImplOf(gpointer data) { return static_cast<Impl*>(data); }

void OnStartedSignal(SoupServer*, SoupServerMessage* message, gpointer data) {
  ImplOf(data)->OnStarted(message);
}
void OnChunkSignal(SoupServerMessage* message, GBytes* chunk, gpointer data) {
  ImplOf(data)->OnChunk(message, g_bytes_get_size(chunk));
}
void OnHeadHandler(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                   gpointer data) {
  ImplOf(data)->OnHead(message);
}
void OnRequestHandler(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                      gpointer data) {
  ImplOf(data)->OnRequest(message);
}
void OnMessageGone(gpointer data, GObject* message) {
  ImplOf(data)->OnGone(reinterpret_cast<SoupServerMessage*>(message));
}

}  // namespace

Server::Impl::Impl(net::Loop& the_loop, Forwarder& the_forwarder, const net::Address& listen)
    : loop(the_loop), forwarder(the_forwarder) {
  overdue = loop.NewTimer([this] { CloseOverdue(); });
  server = soup_server_new("server-header", nullptr, nullptr);
  soup_server_add_early_handler(server, nullptr, OnHeadHandler, this, nullptr);
  soup_server_add_handler(server, nullptr, OnRequestHandler, this, nullptr);
  g_signal_connect(server, "request-started", G_CALLBACK(OnStartedSignal), this);
  GSocketAddress* address =
      g_inet_socket_address_new_from_string(listen.Host().c_str(), listen.port());
  GError* error = nullptr;
  const bool taken = !soup_server_listen(server, address, SoupServerListenOptions{}, &error);
  g_object_unref(address);
  if (taken) {
    const std::string text = error->message;
    g_error_free(error);
    g_object_unref(server);
    throw net::Error(net::Fault::kOther, "operator API at " + listen.Text() + ": " + text);
  }
  GSList* uris = soup_server_get_uris(server);
  const int port = uris == nullptr ? listen.port() : g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  bound = net::Address::Parse(listen.Host() + ":" + std::to_string(port)).value_or(listen);
}

Server::Impl::~Impl() {
  for (const auto& [message, request] : requests) {
    g_object_weak_unref(G_OBJECT(message), OnMessageGone, this);
    g_signal_handlers_disconnect_by_data(message, this);
  }
  g_signal_handlers_disconnect_by_data(server, this);
  soup_server_remove_handler(server, nullptr);
  soup_server_disconnect(server);
  g_object_unref(server);
}

void Server::Impl::OnStarted(SoupServerMessage* message) {
  Request& request = requests[message];
  g_object_weak_ref(G_OBJECT(message), OnMessageGone, this);
  g_signal_connect(message, "got-chunk", G_CALLBACK(OnChunkSignal), this);
  SetDeadline(request, loop.Now() + limits.idle_timeout);
  if (requests.size() > kMostConnections) MakeRoom(message);
}

// Closes the connection that has been idle for longest; the newcomer where none is idle.
void Server::Impl::MakeRoom(SoupServerMessage* newcomer) {
  SoupServerMessage* victim = newcomer;
  net::Time earliest = net::Time::max();
  for (const auto& [message, request] : requests) {
    if (message == newcomer || request.phase != Phase::kIdle || !request.deadline) continue;
    if (*request.deadline >= earliest) continue;
    earliest = *request.deadline;
    victim = message;
  }
  ++counters.refused_connections;
  Disconnect(victim);
}

void Server::Impl::OnHead(SoupServerMessage* message) {
  Request& request = requests[message];
  request.phase = Phase::kBody;
  request.received = loop.Now();
  SetDeadline(request, request.received + kBodyTime);
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  if (HasUnclearLength(headers)) {
    RefuseLate(message, status::kBadRequest, "expected one length of the body");
    return;
  }
  const goffset length = soup_message_headers_get_content_length(headers);
  if (static_cast<std::size_t>(std::max<goffset>(length, 0)) > BodyLimit(limits)) {
    RefuseLate(message, status::kPayloadTooLarge, "the body is too large");
  }
}

void Server::Impl::OnChunk(SoupServerMessage* message, std::size_t bytes) {
  Request& request = requests[message];
  request.body_bytes += bytes;
  const std::size_t limit = BodyLimit(limits);
  if (request.body_bytes > limit * kDrainFactor) {
    Disconnect(message);
  } else if (request.body_bytes > limit && soup_server_message_get_status(message) == 0) {
    RefuseLate(message, status::kPayloadTooLarge, "the body is too large");
  }
}

// The answer to a request that is still coming: what comes is dropped, then it is written.
void Server::Impl::RefuseLate(SoupServerMessage* message, int status, std::string_view text) {
  soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
  CloseAfterwards(message);
  const HttpAnswer answer = ErrorAnswer(status, text);
  WriteAnswer(message, answer);
  ++counters.answers[answer.status];
}

void Server::Impl::OnRequest(SoupServerMessage* message) {
  Request& request = requests[message];
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  const SoupMessageBody* body = soup_server_message_get_request_body(message);
  HttpRequest http;
  http.method = TextOf(soup_server_message_get_method(message));
  http.path = TextOf(g_uri_get_path(soup_server_message_get_uri(message)));
  if (const char* if_match = soup_message_headers_get_one(headers, "If-Match")) {
    http.if_match = if_match;
  }
  http.body = std::string_view(body->data == nullptr ? "" : body->data,
                               body->data == nullptr ? 0 : static_cast<std::size_t>(body->length));
  auto wanted = OrderOf(http);
  if (const auto* refusal = std::get_if<HttpAnswer>(&wanted)) {
    OnAnswered(message, *refusal);
    return;
  }
  if (orders >= kMostOrders) {
    HttpAnswer busy = ErrorAnswer(status::kServiceUnavailable, "too many orders under way");
    busy.retry_after_s = kBusyRetryAfterS;
    OnAnswered(message, busy);
    return;
  }
  ++orders;
  request.phase = Phase::kOrder;
  SetDeadline(request, std::nullopt);
  soup_server_message_pause(message);
  Order order = std::get<Order>(std::move(wanted));
  Order kept = WithoutBody(order);
  forwarder.Execute(request.received, std::move(order),
                    [weak = std::weak_ptr(self), kept = std::move(kept),
                     held = std::make_shared<MessageReference>(message)](Result<Answer> result) {
                      const auto alive = weak.lock();
                      if (!alive) return;
                      --(*alive)->orders;
                      (*alive)->OnAnswered(held->get(), HttpAnswerOf(kept, result));
                      soup_server_message_unpause(held->get());
                    });
}

void Server::Impl::OnAnswered(SoupServerMessage* message, const HttpAnswer& answer) {
  ++counters.answers[answer.status];
  if (!listening) CloseAfterwards(message);
  WriteAnswer(message, answer);
  const auto found = requests.find(message);
  if (found != requests.end()) {
    found->second.phase = Phase::kAnswered;
    SetDeadline(found->second, loop.Now() + limits.idle_timeout);
  }
  if (log::Enabled(log::Level::kInfo, kLogName)) {
    log::Info(kLogName, std::string(TextOf(soup_server_message_get_method(message))) + " " +
                            g_uri_get_path(soup_server_message_get_uri(message)) + ": " +
                            std::to_string(answer.status));
  }
}

void Server::Impl::OnGone(SoupServerMessage* message) { requests.erase(message); }

void Server::Impl::SetDeadline(Request& request, std::optional<net::Time> deadline) {
  request.deadline = deadline;
  if (!deadline || *deadline >= overdue_at) return;
  overdue_at = *deadline;
  overdue->ArmAt(overdue_at);
}

void Server::Impl::CloseOverdue() {
  const net::Time now = loop.Now();
  overdue_at = net::Time::max();
  for (auto& [message, request] : requests) {
    if (!request.deadline) continue;
    if (*request.deadline <= now) {
      ++counters.slow_connections;
      request.deadline.reset();
      Disconnect(message);
    } else {
      overdue_at = std::min(overdue_at, *request.deadline);
    }
  }
  if (overdue_at != net::Time::max()) overdue->ArmAt(overdue_at);
}

// libsoup reads the end of the connection and lets it go.
void Server::Impl::Disconnect(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr) g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

Server::Server(net::Loop& loop, Forwarder& forwarder, const net::Address& listen)
    : impl_(std::make_unique<Impl>(loop, forwarder, listen)) {}

Server::~Server() = default;

void Server::SetLimits(const configuration::ClientLimits& limits) { impl_->limits = limits; }

void Server::StopListening() {
  impl_->listening = false;
  soup_server_disconnect(impl_->server);
}

net::Address Server::address() const { return impl_->bound; }

const Server::Counters& Server::counters() const { return impl_->counters; }

}  // namespace shelflink::operator_api
