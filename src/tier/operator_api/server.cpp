#include "tier/operator_api/server.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "tier/foundation/log.h"
#include "tier/operator_api/requests.h"

namespace shelflink::operator_api {
namespace {

constexpr std::string_view kLogName = "operator";
// A body beyond the limit is read and discarded, up to this multiple of the limit. If the server
// closed the connection with unread bytes, the reset would destroy the answer.
constexpr std::size_t kDrainFactor = 4;
constexpr std::chrono::milliseconds kBodyTime{10000};
constexpr double kBusyRetryAfterS = 0.2;

constexpr int kBacklog = 128;
constexpr std::size_t kLongestLoggedReason = 300;

enum class Phase : std::uint8_t {
  kIdle,      // Between two requests.
  kHead,      // A part of the head may have arrived.
  kBody,      // The head has arrived.
  kOrder,     // The order is being executed.
  kAnswered,  // The answer is being written.
};

struct Connection {
  SoupServerMessage* message = nullptr;  // The request that is being served.
  Phase phase = Phase::kHead;
  net::Time received{};               // When the head was read.
  std::optional<net::Time> deadline;  // The connection is closed if this phase lasts longer.
  std::size_t body_bytes = 0;         // Bytes of the body received so far.
  std::size_t bytes_held = 0;         // The part of them that is kept in memory.
};

std::string_view TextOf(const char* text) { return text == nullptr ? "" : text; }

// Counts the occurrences of a header in the request.
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

// Such a request is ambiguous: an intermediary may see another end of the body than this server.
bool HasTwoLengths(SoupMessageHeaders* headers) {
  return CountOf(headers, "Content-Length") + CountOf(headers, "Transfer-Encoding") > 1;
}

bool HasMalformedLength(SoupMessageHeaders* headers) {
  const std::string_view length = TextOf(soup_message_headers_get_list(headers, "Content-Length"));
  return length.find_first_not_of("0123456789, ") != std::string_view::npos;
}

// Copies an order without its body. HttpAnswerOf needs the rest of it.
Order WithoutBody(const Order& order) {
  if (const auto* change = std::get_if<configuration::ChangeOrder>(&order)) {
    return configuration::ChangeOrder{change->method, change->base_version, {}, 0};
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

// `self`: the address of this server, for Location.
void WriteAnswer(SoupServerMessage* message, const HttpAnswer& answer, const net::Address& self) {
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
  if (!answer.location.empty()) {
    const std::string location = "http://" + self.Text() + answer.location;
    soup_message_headers_replace(headers, "Location", location.c_str());
  }
  if (!answer.allow.empty()) soup_message_headers_replace(headers, "Allow", answer.allow.c_str());
  if (answer.retry_after_s) {
    soup_message_headers_replace(headers, "Retry-After",
                                 SecondsText(*answer.retry_after_s).c_str());
  }
  soup_server_message_set_status(message, static_cast<guint>(answer.status), nullptr);
  soup_server_message_set_response(message, std::string(answer.content_type).c_str(),
                                   SOUP_MEMORY_COPY, answer.body.data(), answer.body.size());
}

// Holds a reference to a message while its order is being executed.
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

// Creates a listening socket with a longer backlog than GLib's default.
GSocket* ListeningSocket(const net::Address& at) {
  GError* error = nullptr;
  const GSocketFamily family = at.v6() ? G_SOCKET_FAMILY_IPV6 : G_SOCKET_FAMILY_IPV4;
  GSocket* socket = g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  bool listens = false;
  if (socket != nullptr) {
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_listen_backlog(socket, kBacklog);
    GSocketAddress* address = g_inet_socket_address_new_from_string(at.Host().c_str(), at.port());
    listens = g_socket_bind(socket, address, TRUE, &error) && g_socket_listen(socket, &error);
    g_object_unref(address);
  }
  if (listens) return socket;
  const std::string text = error->message;
  g_error_free(error);
  if (socket != nullptr) g_object_unref(socket);
  throw net::Error(net::Fault::kOther, "operator API at " + at.Text() + ": " + text);
}

net::Address BoundAddress(GSocket* socket, const net::Address& wanted) {
  GSocketAddress* address = g_socket_get_local_address(socket, nullptr);
  if (address == nullptr) return wanted;
  const guint16 port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
  g_object_unref(address);
  return net::Address::FromBytes(wanted.bytes(), wanted.v6(), port);
}

}  // namespace

struct Server::Impl {
  Impl(net::Loop& the_loop, Forwarder& the_forwarder, const net::Address& listen);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // Events of a request, as libsoup reports them.
  void OnStarted(SoupServerMessage* message);
  void OnHead(SoupServerMessage* message);
  void OnChunk(SoupServerMessage* message, std::size_t bytes);
  void OnRequest(SoupServerMessage* message);
  void OnGone(SoupServerMessage* message);
  void OnDisconnected(SoupServerMessage* message);

  // Answers requests for metrics and status if they are served.
  std::optional<HttpAnswer> FiguresAnswerTo(const HttpRequest& request) const;
  void StartOrder(SoupServerMessage* message, Connection& connection, Order order);
  void FinishOrder(SoupServerMessage* message, const HttpAnswer& answer);
  void Reply(SoupServerMessage* message, const HttpAnswer& answer);  // Sends, counts and logs.
  void Send(SoupServerMessage* message, const HttpAnswer& answer);
  void RefuseLate(SoupServerMessage* message, const HttpAnswer& answer);
  void ForgetBody(Connection& connection);

  Connection* ConnectionOf(SoupServerMessage* message);
  void Release(GSocket* socket);
  void Shut(GSocket* socket);
  void MakeRoom();
  void SetDeadline(Connection& connection, std::optional<net::Time> deadline);
  void ShutOverdue();
  void StopListening();

  net::Loop& loop;
  Forwarder& forwarder;
  SoupServer* server = nullptr;
  GSocket* listener = nullptr;
  net::Address bound;
  configuration::ClientLimits limits;
  std::size_t orders = 0;
  std::size_t bytes_held = 0;
  std::map<GSocket*, Connection> connections;  // Owns a reference to each socket.
  std::map<SoupServerMessage*, GSocket*> messages;
  net::TimerPtr overdue;
  net::Time overdue_at = net::Time::max();
  Counters counters;
  std::function<std::string()> metrics;  // Empty: the path is not served.
  std::function<std::string()> status;   // The same.
  // Callbacks that outlive the server find it expired.
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
void OnDisconnectedSignal(SoupServerMessage* message, gpointer data) {
  ImplOf(data)->OnDisconnected(message);
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

HttpRequest HttpRequestOf(SoupServerMessage* message) {
  const SoupMessageBody* body = soup_server_message_get_request_body(message);
  HttpRequest request;
  request.method = TextOf(soup_server_message_get_method(message));
  request.path = TextOf(g_uri_get_path(soup_server_message_get_uri(message)));
  const char* if_match =
      soup_message_headers_get_one(soup_server_message_get_request_headers(message), "If-Match");
  if (if_match != nullptr) request.if_match = if_match;
  if (body->data != nullptr) request.body = {body->data, static_cast<std::size_t>(body->length)};
  return request;
}

// libsoup ends a chunked body at a chunk size that it cannot parse.
bool HasEmptyChunkedBody(SoupServerMessage* message) {
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  return soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED &&
         soup_server_message_get_request_body(message)->length == 0;
}

HttpAnswer BusyAnswer() {
  HttpAnswer answer = ErrorAnswer(status::kServiceUnavailable, "too many orders under way");
  answer.retry_after_s = kBusyRetryAfterS;
  return answer;
}

}  // namespace

Server::Impl::Impl(net::Loop& the_loop, Forwarder& the_forwarder, const net::Address& listen)
    : loop(the_loop), forwarder(the_forwarder) {
  listener = ListeningSocket(listen);
  bound = BoundAddress(listener, listen);
  overdue = loop.NewTimer([this] { ShutOverdue(); });
  server = soup_server_new("server-header", nullptr, nullptr);
  soup_server_add_early_handler(server, nullptr, OnHeadHandler, this, nullptr);
  soup_server_add_handler(server, nullptr, OnRequestHandler, this, nullptr);
  g_signal_connect(server, "request-started", G_CALLBACK(OnStartedSignal), this);
  soup_server_listen_socket(server, listener, SoupServerListenOptions{}, nullptr);
}

Server::Impl::~Impl() {
  g_signal_handlers_disconnect_by_data(server, this);
  for (const auto& [message, socket] : messages) {
    g_object_weak_unref(G_OBJECT(message), OnMessageGone, this);
    g_signal_handlers_disconnect_by_data(message, this);
  }
  for (const auto& [socket, connection] : connections) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    g_object_unref(socket);
  }
  soup_server_remove_handler(server, nullptr);
  soup_server_disconnect(server);
  g_object_unref(server);
  if (listener != nullptr) g_object_unref(listener);
}

// ---- Requests ----

void Server::Impl::OnStarted(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) return;
  const auto [found, is_new] = connections.try_emplace(socket);
  if (is_new) g_object_ref(socket);
  messages[message] = socket;
  g_object_weak_ref(G_OBJECT(message), OnMessageGone, this);
  g_signal_connect(message, "got-chunk", G_CALLBACK(OnChunkSignal), this);
  g_signal_connect(message, "disconnected", G_CALLBACK(OnDisconnectedSignal), this);
  Connection& connection = found->second;
  connection.message = message;
  connection.phase = Phase::kHead;
  ForgetBody(connection);
  SetDeadline(connection, loop.Now() + limits.header_timeout);
  if (connections.size() > kMostConnections) MakeRoom();
}

void Server::Impl::OnHead(SoupServerMessage* message) {
  Connection* connection = ConnectionOf(message);
  if (connection == nullptr) return;
  connection->phase = Phase::kBody;
  connection->received = loop.Now();
  SetDeadline(*connection, connection->received + kBodyTime);
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  if (HasMalformedLength(headers)) {
    Shut(messages.at(message));  // The end of the body is unknown.
    return;
  }
  if (HasTwoLengths(headers)) {
    RefuseLate(message, ErrorAnswer(status::kBadRequest, "expected one length of the body"));
    return;
  }
  const goffset length = soup_message_headers_get_content_length(headers);
  if (static_cast<std::size_t>(std::max<goffset>(length, 0)) > kBodyLimit) {
    RefuseLate(message, ErrorAnswer(status::kPayloadTooLarge, "the body is too large"));
  }
}

void Server::Impl::OnChunk(SoupServerMessage* message, std::size_t bytes) {
  Connection* connection = ConnectionOf(message);
  if (connection == nullptr) return;
  connection->body_bytes += bytes;
  if (connection->body_bytes > kBodyLimit * kDrainFactor) {
    Shut(messages.at(message));
    return;
  }
  if (soup_server_message_get_status(message) != 0) return;  // Refused: the rest is discarded.
  connection->bytes_held += bytes;
  bytes_held += bytes;
  if (connection->body_bytes > kBodyLimit) {
    RefuseLate(message, ErrorAnswer(status::kPayloadTooLarge, "the body is too large"));
  } else if (bytes_held > kMostBytesHeld) {
    RefuseLate(message, BusyAnswer());
  }
}

void Server::Impl::OnRequest(SoupServerMessage* message) {
  Connection* connection = ConnectionOf(message);
  if (connection == nullptr) return;
  if (HasEmptyChunkedBody(message)) {
    CloseAfterwards(message);
    Reply(message, ErrorAnswer(status::kBadRequest, "the body has no readable chunk"));
    return;
  }
  if (const std::optional<HttpAnswer> figures = FiguresAnswerTo(HttpRequestOf(message))) {
    Send(message, *figures);
    return;
  }
  auto wanted = OrderOf(HttpRequestOf(message));
  if (const auto* refusal = std::get_if<HttpAnswer>(&wanted)) {
    Reply(message, *refusal);
  } else if (orders >= kMostOrders) {
    Reply(message, BusyAnswer());
  } else {
    StartOrder(message, *connection, std::get<Order>(std::move(wanted)));
  }
}

std::optional<HttpAnswer> Server::Impl::FiguresAnswerTo(const HttpRequest& request) const {
  if (metrics) {
    if (auto answer = MetricsAnswerOf(request, metrics)) return answer;
  }
  if (!status) return std::nullopt;
  return StatusAnswerOf(request, status);
}

void Server::Impl::StartOrder(SoupServerMessage* message, Connection& connection, Order order) {
  ++orders;
  connection.phase = Phase::kOrder;
  SetDeadline(connection, std::nullopt);  // The forwarder limits the time.
  soup_server_message_pause(message);
  Order kept = WithoutBody(order);
  forwarder.Execute(
      connection.received, std::move(order),
      [weak = std::weak_ptr(self), kept = std::move(kept),
       held = std::make_shared<MessageReference>(message)](const Result<Answer>& result) {
        const auto alive = weak.lock();
        if (alive) (*alive)->FinishOrder(held->get(), HttpAnswerOf(kept, result));
      });
}

void Server::Impl::FinishOrder(SoupServerMessage* message, const HttpAnswer& answer) {
  --orders;
  if (ConnectionOf(message) == nullptr) return;  // The operator has disconnected.
  Reply(message, answer);
  soup_server_message_unpause(message);
}

void Server::Impl::Reply(SoupServerMessage* message, const HttpAnswer& answer) {
  ++counters.answers[answer.status];
  Send(message, answer);
  if (log::Enabled(log::Level::kInfo, kLogName)) {
    const HttpRequest request = HttpRequestOf(message);
    const std::string reason =
        answer.status == status::kOk ? "" : " " + answer.body.substr(0, kLongestLoggedReason);
    log::Info(kLogName, std::string(request.method) + " " + std::string(request.path) + ": " +
                            std::to_string(answer.status) + reason);
  }
}

void Server::Impl::Send(SoupServerMessage* message, const HttpAnswer& answer) {
  if (listener == nullptr) CloseAfterwards(message);
  WriteAnswer(message, answer, bound);
  if (Connection* connection = ConnectionOf(message)) {
    connection->phase = Phase::kAnswered;
    SetDeadline(*connection, loop.Now() + limits.idle_timeout);
  }
}

// Refuses a request whose body has not arrived in full: the rest is discarded, then the answer is
// written.
void Server::Impl::RefuseLate(SoupServerMessage* message, const HttpAnswer& answer) {
  soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
  CloseAfterwards(message);
  WriteAnswer(message, answer, bound);
  ++counters.answers[answer.status];
}

void Server::Impl::ForgetBody(Connection& connection) {
  bytes_held -= std::exchange(connection.bytes_held, 0);
  connection.body_bytes = 0;
}

// The request has ended; the connection stays open for the next one.
void Server::Impl::OnGone(SoupServerMessage* message) {
  const auto found = messages.find(message);
  if (found == messages.end()) return;
  GSocket* socket = found->second;
  messages.erase(found);
  const auto place = connections.find(socket);
  if (place == connections.end()) return;  // Released before: the socket may not exist.
  if (g_socket_is_closed(socket)) {
    Release(socket);
    return;
  }
  Connection& connection = place->second;
  if (connection.message != message) return;
  ForgetBody(connection);
  connection.message = nullptr;
  connection.phase = Phase::kIdle;
  SetDeadline(connection, loop.Now() + limits.idle_timeout);
}

void Server::Impl::OnDisconnected(SoupServerMessage* message) {
  const auto found = messages.find(message);
  if (found == messages.end()) return;
  GSocket* socket = found->second;
  messages.erase(found);
  g_object_weak_unref(G_OBJECT(message), OnMessageGone, this);
  g_signal_handlers_disconnect_by_data(message, this);
  Release(socket);
}

// ---- Connections ----

Connection* Server::Impl::ConnectionOf(SoupServerMessage* message) {
  const auto found = messages.find(message);
  if (found == messages.end()) return nullptr;
  const auto connection = connections.find(found->second);
  return connection == connections.end() ? nullptr : &connection->second;
}

void Server::Impl::Release(GSocket* socket) {
  const auto found = connections.find(socket);
  if (found == connections.end()) return;
  ForgetBody(found->second);
  connections.erase(found);
  g_object_unref(socket);
}

// libsoup then reads the end of the stream and releases the connection.
void Server::Impl::Shut(GSocket* socket) {
  if (!g_socket_is_closed(socket)) g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

// Releases one idle connection: one that the peer has closed, else the one that has been idle for
// the longest time.
void Server::Impl::MakeRoom() {
  std::vector<GSocket*> idle;
  for (const auto& [socket, connection] : connections) {
    if (connection.phase == Phase::kIdle) idle.push_back(socket);
  }
  std::sort(idle.begin(), idle.end(), [this](GSocket* left, GSocket* right) {
    return connections.at(left).deadline < connections.at(right).deadline;
  });
  const auto closed = std::find_if(idle.begin(), idle.end(),
                                   [](GSocket* socket) { return g_socket_is_closed(socket); });
  ++counters.refused_connections;
  if (idle.empty()) return;
  GSocket* victim = closed == idle.end() ? idle.front() : *closed;
  Shut(victim);
  Release(victim);
}

void Server::Impl::SetDeadline(Connection& connection, std::optional<net::Time> deadline) {
  connection.deadline = deadline;
  if (!deadline || *deadline >= overdue_at) return;
  overdue_at = *deadline;
  overdue->ArmAt(overdue_at);
}

void Server::Impl::ShutOverdue() {
  const net::Time now = loop.Now();
  overdue_at = net::Time::max();
  std::vector<GSocket*> idle;
  for (auto& [socket, connection] : connections) {
    if (!connection.deadline) continue;
    if (*connection.deadline > now) {
      overdue_at = std::min(overdue_at, *connection.deadline);
      continue;
    }
    connection.deadline.reset();
    if (connection.phase != Phase::kIdle) ++counters.slow_connections;
    if (connection.phase == Phase::kIdle) idle.push_back(socket);
    Shut(socket);
  }
  for (GSocket* socket : idle) Release(socket);
  if (overdue_at != net::Time::max()) overdue->ArmAt(overdue_at);
}

void Server::Impl::StopListening() {
  if (listener == nullptr) return;
  g_socket_close(listener, nullptr);
  g_object_unref(listener);
  listener = nullptr;
  std::vector<GSocket*> idle;
  for (const auto& [socket, connection] : connections) {
    if (connection.phase == Phase::kIdle) idle.push_back(socket);
  }
  for (GSocket* socket : idle) {
    Shut(socket);
    Release(socket);
  }
}

Server::Server(net::Loop& loop, Forwarder& forwarder, const net::Address& listen)
    : impl_(std::make_unique<Impl>(loop, forwarder, listen)) {}

Server::~Server() = default;

void Server::SetLimits(const configuration::ClientLimits& limits) { impl_->limits = limits; }

void Server::SetMetrics(std::function<std::string()> text) { impl_->metrics = std::move(text); }

void Server::SetStatus(std::function<std::string()> json) { impl_->status = std::move(json); }

void Server::StopListening() { impl_->StopListening(); }

net::Address Server::address() const { return impl_->bound; }

const Server::Counters& Server::counters() const { return impl_->counters; }

}  // namespace shelflink::operator_api
