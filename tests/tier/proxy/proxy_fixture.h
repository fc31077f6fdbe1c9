// Test fixture: fake endpoints and clients, written independently from PROTOCOL, on the virtual
// network, with a proxy's HttpFrontend and EndpointCalls between them. Everything runs on one
// virtual clock.
#ifndef TESTS_TIER_PROXY_PROXY_FIXTURE_H_
#define TESTS_TIER_PROXY_PROXY_FIXTURE_H_

#include <algorithm>
#include <cctype>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/virtual.h"
#include "sidecar/drain.h"
#include "sidecar/log.h"
#include "tier/cluster/view.h"
#include "tier/proxy/endpoint_calls.h"
#include "tier/proxy/http_frontend.h"

namespace proxy_test {

using std::chrono::milliseconds;

inline std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

// An HTTP message as parsed by TakeMessage, which accepts only strict syntax.
struct Message {
  std::string start_line;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool whole = false;  // All of the message has been received.

  std::string Value(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (Lower(key) == Lower(name)) return value;
    }
    return {};
  }
  std::size_t Count(std::string_view name) const {
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [&](const auto& header) { return Lower(header.first) == Lower(name); }));
  }
  int Status() const { return start_line.size() > 12 ? std::stoi(start_line.substr(9, 3)) : 0; }
};

// Parses the first message in `text`. A complete message is removed from `text`; otherwise `text`
// stays unchanged and the parsed part is returned with `whole` false. `is_response`: the message is
// a response. `peer_closed`: the peer has closed the connection.
inline Message TakeMessage(std::string& text, bool is_response, bool peer_closed) {
  Message message;
  const std::size_t head_end = text.find("\r\n\r\n");
  if (head_end == text.npos) return message;
  std::size_t position = 0;
  while (position < head_end) {
    const std::size_t line_end = text.find("\r\n", position);
    const std::string line = text.substr(position, line_end - position);
    if (position == 0) {
      message.start_line = line;
    } else {
      const std::size_t colon = line.find(':');
      message.headers.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
    position = line_end + 2;
  }
  position = head_end + 4;
  if (Lower(message.Value("Transfer-Encoding")) == "chunked") {
    while (true) {
      const std::size_t line_end = text.find("\r\n", position);
      if (line_end == text.npos) return message;
      const std::size_t size = std::stoul(text.substr(position, line_end - position), nullptr, 16);
      if (text.size() < line_end + 2 + size + 2) return message;
      message.body += text.substr(line_end + 2, size);
      position = line_end + 2 + size + 2;
      if (size == 0) break;
    }
  } else if (message.Count("Content-Length") > 0) {
    const std::size_t size = std::stoul(message.Value("Content-Length"));
    message.body = text.substr(position, size);
    if (message.body.size() < size) return message;
    position += size;
  } else if (is_response) {
    message.body = text.substr(position);
    if (!peer_closed) return message;
    position = text.size();
  }
  message.whole = true;
  text.erase(0, position);
  return message;
}

// A fake endpoint. The test supplies the Behaviour that handles each request.
class Endpoint {
 public:
  // Server side of one connection to the endpoint.
  class Connection : public net::StreamUser {
   public:
    Connection(Endpoint& owner, net::StreamPtr stream) : owner_(owner), stream_(std::move(stream)) {
      stream_->SetUser(*this);
      stream_->Receive();
    }
    void Write(const std::string& text) {
      unsent_ += text;
      OnWritable();
    }
    void Close() {
      open_ = false;
      stream_->Close();
    }
    void Reset() {
      open_ = false;
      stream_->Reset();
    }
    bool open() const { return open_; }
    net::Address peer() const { return stream_->peer(); }
    // Stops reading until ResumeReading.
    void PauseReading() { reading_paused_ = true; }
    void ResumeReading() {
      if (std::exchange(reading_paused_, false) && open_) stream_->Receive();
    }
    // Complete requests received on this connection.
    std::size_t request_count() const { return request_count_; }
    const std::string& received() const { return received_; }  // All bytes read so far.

   private:
    void OnBytes(std::string_view bytes) override {
      text_.append(bytes);
      received_.append(bytes);
      while (open_) {
        Message request = TakeMessage(text_, false, false);
        if (!request.whole) {
          ReportHead(request);
          break;
        }
        head_reported_ = false;
        ++request_count_;
        owner_.Serve(*this, std::move(request));
      }
      if (open_ && !reading_paused_) stream_->Receive();
    }
    void ReportHead(const Message& request) {
      if (request.start_line.empty() || !owner_.on_head || std::exchange(head_reported_, true))
        return;
      owner_.on_head(*this, request);
    }
    void OnEnd(net::Fault) override {
      open_ = false;
      ++owner_.disconnects;
    }
    void OnWritable() override {
      if (open_) unsent_.erase(0, stream_->Write(unsent_).bytes);
    }

    Endpoint& owner_;
    net::StreamPtr stream_;
    std::string text_;
    std::string unsent_;
    std::string received_;
    std::size_t request_count_ = 0;
    bool open_ = true;
    bool reading_paused_ = false;
    bool head_reported_ = false;
  };
  using Behaviour = std::function<void(Connection& connection, const Message& request)>;

  Endpoint(net::VirtualNet& network, std::uint32_t host, std::string instance, Behaviour on_request)
      : id(std::move(instance)),
        behaviour(std::move(on_request)),
        process(network, host, id, 1000),
        address(net::Address::V4(host, 8080)),
        listener_(process.Listen(address)) {
    Accept();
  }

  // Status line and headers of a response with the request's id and a response stamp; `more` is
  // added to the headers.
  static std::string Head(const Message& request, const std::string& more, int status = 200) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Any\r\nShelflink-Request-Id: " + request.Value("Shelflink-Request-Id") +
           "\r\nShelflink-Response-Stamp: stamp.1\r\n" + more + "\r\n";
  }
  // A response with a Content-Length.
  static std::string Response(const Message& request, const std::string& body, int status = 200,
                              const std::string& more = "") {
    return Head(request, more + "Content-Length: " + std::to_string(body.size()) + "\r\n", status) +
           body;
  }
  // A response stating that the endpoint did not execute the request.
  static std::string NotRunResponse(const Message& request, int status = 503) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Any\r\nShelflink-Request-Id: " + request.Value("Shelflink-Request-Id") +
           "\r\nShelflink-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  }
  static std::string StreamHead(const Message& request) {
    return Head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
  }
  static std::string Chunk(const std::string& text) {
    std::string size;
    for (std::size_t n = text.size(); n > 0; n /= 16) size.insert(0, 1, "0123456789abcdef"[n % 16]);
    return size + "\r\n" + text + "\r\n";
  }
  static std::string EventText(int number) {
    return "id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n";
  }
  // Responds with the events after Last-Event-Id up to `last`, one every `gap`. After the last
  // event the stream is completed, or `then` is called with the connection if it is given.
  void Stream(Connection& connection, const Message& request, int last,
              milliseconds gap = milliseconds(20),
              std::function<void(Connection&)> then = nullptr) {
    const std::string behind = request.Value("Last-Event-Id");
    connection.Write(StreamHead(request));
    StreamOn(connection, (behind.empty() ? 0 : std::stoi(behind)) + 1, last, gap, std::move(then));
  }

  void RunAfter(milliseconds delay, std::function<void()> action) {
    timers_.push_back(process.NewTimer(std::move(action)));
    timers_.back()->ArmAt(process.Now() + delay);
  }
  // Stops listening and resets all connections, like a crashed process.
  void Crash() {
    process.Kill();
    crashed = true;
  }

  std::string id;
  Behaviour behaviour;
  // Called when the head of a request has been received and its body has not. May be empty.
  Behaviour on_head;
  net::VirtualProcess process;
  net::Address address;
  std::vector<Message> requests;
  std::size_t connections = 0;
  std::size_t disconnects = 0;  // Connections closed by the peer.
  bool draining = false;
  bool crashed = false;
  std::string service = "svc";

 private:
  void Serve(Connection& connection, Message request) {
    requests.push_back(std::move(request));
    const std::string expected = requests.back().Value("Shelflink-Expect-Instance");
    if (!expected.empty() && expected != id)
      return connection.Write(NotRunResponse(requests.back(), 421));
    behaviour(connection, requests.back());
  }
  void StreamOn(Connection& connection, int next, int last, milliseconds gap,
                std::function<void(Connection&)> then) {
    if (!connection.open()) return;
    if (next > last) {
      if (then) return then(connection);
      return connection.Write("0\r\n\r\n");
    }
    connection.Write(Chunk(EventText(next)));
    RunAfter(gap, [this, &connection, next, last, gap, then = std::move(then)]() mutable {
      StreamOn(connection, next + 1, last, gap, std::move(then));
    });
  }
  void Accept() {
    listener_->Accept([this](net::Fault fault, net::StreamPtr stream) {
      if (fault != net::Fault::kNone) return;
      ++connections;
      connections_.push_back(std::make_unique<Connection>(*this, std::move(stream)));
      Accept();
    });
  }

  net::ListenerPtr listener_;
  std::deque<std::unique_ptr<Connection>> connections_;
  std::deque<net::TimerPtr> timers_;
};

// One client connection: sends raw bytes and records what it receives.
class Client : public net::StreamUser {
 public:
  Client(net::VirtualProcess& process, const net::Address& to)
      : process_(process), stream_(process.Dial(to, *this)) {}

  void Send(const std::string& text) {
    unsent_ += text;
    if (connected_) OnWritable();
  }
  void Disconnect() {
    stream_->Close();
    closed = true;
  }
  void PauseReading() { reading_paused_ = true; }
  // Takes the next final response (1xx responses are skipped). If it is incomplete, returns the
  // part received so far with `whole` false.
  Message NextResponse() {
    Message answer = TakeMessage(received, true, closed);
    while (answer.whole && answer.Status() / 100 == 1) answer = TakeMessage(received, true, closed);
    return answer;
  }

  std::string received;  // Bytes that NextResponse has not taken yet.
  // Every read with its time.
  std::vector<std::pair<net::Time, std::string>> received_parts;
  bool closed = false;
  net::Fault close_reason = net::Fault::kNone;
  net::Time closed_at{};

 private:
  void OnConnected(net::Fault fault) override {
    if (fault != net::Fault::kNone) return OnEnd(fault);
    connected_ = true;
    OnWritable();
    stream_->Receive();
  }
  void OnWritable() override {
    if (!closed && !unsent_.empty()) unsent_.erase(0, stream_->Write(unsent_).bytes);
  }
  void OnBytes(std::string_view bytes) override {
    received.append(bytes);
    received_parts.emplace_back(process_.Now(), std::string(bytes));
    if (!reading_paused_) stream_->Receive();
  }
  void OnEnd(net::Fault fault) override {
    closed = true;
    close_reason = fault;
    closed_at = process_.Now();
  }

  net::VirtualProcess& process_;
  net::StreamPtr stream_;
  std::string unsent_;
  bool connected_ = false;
  bool reading_paused_ = false;
};

using shelflink::configuration::Configuration;
using shelflink::configuration::Route;
using shelflink::configuration::RouteKind;

inline Route RouteOf(const std::string& name, RouteKind kind, int max_attempts = 2) {
  Route route;
  route.name = name;
  route.hostname = "a.example";
  route.path_prefix = "/" + name + "/";
  route.kind = kind;
  route.timeout = milliseconds(4000);
  route.slo = milliseconds(300);
  route.split = {{"svc", 1.0}};
  route.max_attempts = max_attempts;
  route.is_public = true;
  route.gap_aim = milliseconds(200);
  return route;
}

// Routes: /get/ (idempotent), /post/ (not idempotent), /stream/ and /resume/ (event streams, the
// latter resumable), /keyed/ (requires an API key), /jobs/ (batch).
inline Configuration SampleConfiguration() {
  Configuration configuration;
  configuration.version = 1;
  configuration.routes = {
      RouteOf("get", RouteKind::kIdempotent),      RouteOf("post", RouteKind::kNonIdempotent),
      RouteOf("stream", RouteKind::kStreaming),    RouteOf("resume", RouteKind::kStreaming),
      RouteOf("keyed", RouteKind::kNonIdempotent), RouteOf("lots", RouteKind::kBatch)};
  configuration.routes[3].resumable = true;
  configuration.routes[4].is_public = false;
  configuration.routes[5].path_prefix = "/jobs/";
  configuration.services = {{"svc", "/health", 100, std::nullopt, std::nullopt}};
  configuration.has_tenants = true;
  configuration.tenants = {{"ten", {"key-1", "key-2"}, std::nullopt, std::nullopt}};
  configuration.Index();
  return configuration;
}

// A proxy, its clients and its endpoints. `memory` is the proxy's memory limit in bytes.
class ProxyFixture {
 public:
  explicit ProxyFixture(std::uint64_t seed = 1, Configuration configuration = SampleConfiguration(),
                        std::uint64_t memory = 64 << 20,
                        shelflink::proxy::BatchJobService* batch = nullptr)
      : network(seed),
        process(network, 0x0a010001, "proxy", 1000),
        client_process(network, 0x0a090001, "clients", 1000),
        log(process, [this](std::string_view line) { log_lines.emplace_back(line); }),
        budget{500, 0, nullptr, nullptr},
        calls(process, log, budget, {"proxy", "zone", seed, 100}),
        front(process, log, process.Listen(net::Address::V4(0x0a010001, 8689)), budget, drain,
              {calls, batch, [this](const std::string& tenant) { ++usage[tenant]; }},
              milliseconds(8000), memory) {
    SetConfiguration(std::move(configuration));
  }
  ~ProxyFixture() { network.Clear(); }

  void SetConfiguration(Configuration configuration) {
    auto members = std::make_shared<shelflink::cluster::Members>();
    members->all.push_back({"proxy", "proxy", "zone", {}, true});
    view.members = members;
    view.configuration = std::make_shared<const Configuration>(std::move(configuration));
    front.SetConfiguration(view.configuration);
    calls.OnView(view);
  }
  Endpoint& Add(Endpoint::Behaviour behaviour, const std::string& service = "svc") {
    const auto number = static_cast<std::uint32_t>(endpoints.size());
    endpoints.push_back(std::make_unique<Endpoint>(
        network, 0x0a800001 + number, "i-" + std::to_string(number), std::move(behaviour)));
    endpoints.back()->service = service;
    PublishEndpoints();
    return *endpoints.back();
  }
  // Publishes a new endpoint list with the current state of `endpoints`.
  void PublishEndpoints() {
    auto list = std::make_shared<shelflink::cluster::EndpointList>();
    list->version = {1, ++list_sequence_};
    for (const auto& endpoint : endpoints) {
      if (endpoint->crashed) continue;
      shelflink::cluster::EndpointEntry entry;
      entry.id = endpoint->id;
      entry.service = endpoint->service;
      entry.address = endpoint->address;
      entry.zone = "zone";
      entry.slots = 8;
      entry.draining = endpoint->draining;
      list->entries.push_back(entry);
    }
    view.endpoints = list;
    calls.OnView(view);
  }
  std::unique_ptr<Client> Dial() {
    return std::make_unique<Client>(client_process, front.address());
  }
  // Opens a connection and sends the request on it.
  std::unique_ptr<Client> SendRequest(const std::string& request) {
    auto client = Dial();
    client->Send(request);
    return client;
  }
  void Run(milliseconds span) { network.RunUntil(network.Now() + span); }
  // Requests received by all endpoints.
  std::size_t RequestCount() const {
    std::size_t count = 0;
    for (const auto& endpoint : endpoints) count += endpoint->requests.size();
    return count;
  }

  net::VirtualNet network;
  net::VirtualProcess process;
  net::VirtualProcess client_process;
  std::vector<std::string> log_lines;
  std::map<std::string, int> usage;  // Counted requests by tenant.
  kelpspring::Log log;
  kelpspring::SocketBudget budget;
  kelpspring::Drain drain;
  shelflink::cluster::View view;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  shelflink::proxy::EndpointCalls calls;
  shelflink::proxy::HttpFrontend front;

 private:
  std::uint64_t list_sequence_ = 0;
};

inline std::string Request(const std::string& path, const std::string& id = "9c41d07be2a35f68",
                           const std::string& more = "", const std::string& body = "prompt") {
  return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: " + id +
         "\r\nShelflink-Deadline-Ms: 3000\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A Behaviour that responds to each request with `body`; `more` is added to the headers.
inline Endpoint::Behaviour RespondWith(const std::string& body, const std::string& more = "") {
  return [body, more](Endpoint::Connection& connection, const Message& request) {
    connection.Write(Endpoint::Response(request, body, 200, more));
  };
}

}  // namespace proxy_test

#endif  // TESTS_TIER_PROXY_PROXY_FIXTURE_H_
