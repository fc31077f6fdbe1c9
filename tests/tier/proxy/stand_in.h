// Endpoints and clients of our own, written from PROTOCOL, on the virtual network; and a proxy's
// front and calls between them. Everything runs on one virtual clock.
#ifndef TESTS_TIER_PROXY_STAND_IN_H_
#define TESTS_TIER_PROXY_STAND_IN_H_

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
#include "tier/proxy/front.h"

namespace stand_in {

using std::chrono::milliseconds;

inline std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

// A message as a strict reader sees it.
struct Message {
  std::string first;  // Request or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool whole = false;

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
  int Status() const { return first.size() > 12 ? std::stoi(first.substr(9, 3)) : 0; }
};

// Takes one message off the front of the text where it is whole; what is there of it otherwise.
// `ended`: no more comes.
inline Message TakeMessage(std::string& text, bool answer, bool ended) {
  Message message;
  const std::size_t end = text.find("\r\n\r\n");
  if (end == text.npos) return message;
  std::size_t at = 0;
  while (at < end) {
    const std::size_t stop = text.find("\r\n", at);
    const std::string line = text.substr(at, stop - at);
    if (at == 0) {
      message.first = line;
    } else {
      const std::size_t colon = line.find(':');
      message.headers.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
    at = stop + 2;
  }
  at = end + 4;
  if (Lower(message.Value("Transfer-Encoding")) == "chunked") {
    while (true) {
      const std::size_t stop = text.find("\r\n", at);
      if (stop == text.npos) return message;
      const std::size_t size = std::stoul(text.substr(at, stop - at), nullptr, 16);
      if (text.size() < stop + 2 + size + 2) return message;
      message.body += text.substr(stop + 2, size);
      at = stop + 2 + size + 2;
      if (size == 0) break;
    }
  } else if (message.Count("Content-Length") > 0) {
    const std::size_t size = std::stoul(message.Value("Content-Length"));
    message.body = text.substr(at, size);
    if (message.body.size() < size) return message;
    at += size;
  } else if (answer) {
    message.body = text.substr(at);
    if (!ended) return message;
    at = text.size();
  }
  message.whole = true;
  text.erase(0, at);
  return message;
}

// An endpoint: what it does with each request is the test's to say.
class Endpoint {
 public:
  // One connection to it.
  class Line : public net::StreamUser {
   public:
    Line(Endpoint& owner, net::StreamPtr stream) : owner_(owner), stream_(std::move(stream)) {
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
    // Stops reading, until ReadOn.
    void Hold() { held_ = true; }
    void ReadOn() {
      if (std::exchange(held_, false) && open_) stream_->Receive();
    }
    std::size_t served() const { return served_; }             // Requests that came whole on it.
    const std::string& received() const { return received_; }  // Every byte that was read.

   private:
    void OnBytes(std::string_view bytes) override {
      text_.append(bytes);
      received_.append(bytes);
      while (open_) {
        Message request = TakeMessage(text_, false, false);
        if (!request.whole) {
          TellHead(request);
          break;
        }
        head_told_ = false;
        ++served_;
        owner_.Serve(*this, std::move(request));
      }
      if (open_ && !held_) stream_->Receive();
    }
    void TellHead(const Message& request) {
      if (request.first.empty() || !owner_.on_head || std::exchange(head_told_, true)) return;
      owner_.on_head(*this, request);
    }
    void OnEnd(net::Fault) override {
      open_ = false;
      ++owner_.left;
    }
    void OnWritable() override {
      if (open_) unsent_.erase(0, stream_->Write(unsent_).bytes);
    }

    Endpoint& owner_;
    net::StreamPtr stream_;
    std::string text_;
    std::string unsent_;
    std::string received_;
    std::size_t served_ = 0;
    bool open_ = true;
    bool held_ = false;
    bool head_told_ = false;
  };
  using Behaviour = std::function<void(Line& line, const Message& request)>;

  Endpoint(net::VirtualNet& network, std::uint32_t host, std::string instance, Behaviour how)
      : id(std::move(instance)),
        behaviour(std::move(how)),
        process(network, host, id, 1000),
        address(net::Address::V4(host, 8080)),
        listener_(process.Listen(address)) {
    Accept();
  }

  // The head of an answer to the request, with its id and a stamp.
  static std::string Head(const Message& request, const std::string& more, int status = 200) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Any\r\nShelflink-Request-Id: " + request.Value("Shelflink-Request-Id") +
           "\r\nShelflink-Response-Stamp: stamp.1\r\n" + more + "\r\n";
  }
  static std::string Whole(const Message& request, const std::string& body, int status = 200,
                           const std::string& more = "") {
    return Head(request, more + "Content-Length: " + std::to_string(body.size()) + "\r\n", status) +
           body;
  }
  static std::string NotRun(const Message& request, int status = 503) {
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
  // Answers with the events from the one behind Last-Event-Id to `last`, one each `gap`; `then` is
  // called with the line behind the last one instead of the regular end.
  void Stream(Line& line, const Message& request, int last, milliseconds gap = milliseconds(20),
              std::function<void(Line&)> then = nullptr) {
    const std::string behind = request.Value("Last-Event-Id");
    line.Write(StreamHead(request));
    StreamOn(line, (behind.empty() ? 0 : std::stoi(behind)) + 1, last, gap, std::move(then));
  }

  void Later(milliseconds span, std::function<void()> step) {
    timers_.push_back(process.NewTimer(std::move(step)));
    timers_.back()->ArmAt(process.Now() + span);
  }
  // Stops listening and resets everything, as a crash does.
  void Crash() {
    process.Kill();
    crashed = true;
  }

  std::string id;
  Behaviour behaviour;
  Behaviour on_head;  // Told of a request whose head has come and whose body has not. May be empty.
  net::VirtualProcess process;
  net::Address address;
  std::vector<Message> requests;
  std::size_t connections = 0;
  std::size_t left = 0;  // Ended by the other side.
  bool draining = false;
  bool crashed = false;
  std::string service = "svc";

 private:
  void Serve(Line& line, Message request) {
    requests.push_back(std::move(request));
    const std::string expected = requests.back().Value("Shelflink-Expect-Instance");
    if (!expected.empty() && expected != id) return line.Write(NotRun(requests.back(), 421));
    behaviour(line, requests.back());
  }
  void StreamOn(Line& line, int next, int last, milliseconds gap, std::function<void(Line&)> then) {
    if (!line.open()) return;
    if (next > last) {
      if (then) return then(line);
      return line.Write("0\r\n\r\n");
    }
    line.Write(Chunk(EventText(next)));
    Later(gap, [this, &line, next, last, gap, then = std::move(then)]() mutable {
      StreamOn(line, next + 1, last, gap, std::move(then));
    });
  }
  void Accept() {
    listener_->Accept([this](net::Fault fault, net::StreamPtr stream) {
      if (fault != net::Fault::kNone) return;
      ++connections;
      lines_.push_back(std::make_unique<Line>(*this, std::move(stream)));
      Accept();
    });
  }

  net::ListenerPtr listener_;
  std::deque<std::unique_ptr<Line>> lines_;
  std::deque<net::TimerPtr> timers_;
};

// A client's connection: sends raw bytes, keeps what comes.
class Client : public net::StreamUser {
 public:
  Client(net::VirtualProcess& process, const net::Address& to)
      : process_(process), stream_(process.Dial(to, *this)) {}

  void Send(const std::string& text) {
    unsent_ += text;
    if (up_) OnWritable();
  }
  void Leave() {
    stream_->Close();
    over = true;
  }
  // Stops reading.
  void Hold() { held_ = true; }
  // The next answer; what has come of it where it is not whole.
  Message Answer() {
    Message answer = TakeMessage(came, true, over);
    while (answer.whole && answer.Status() / 100 == 1) answer = TakeMessage(came, true, over);
    return answer;
  }

  std::string came;
  std::vector<std::pair<net::Time, std::string>> pieces;  // As they were read.
  bool over = false;
  net::Fault how = net::Fault::kNone;
  net::Time ended{};

 private:
  void OnConnected(net::Fault fault) override {
    if (fault != net::Fault::kNone) return OnEnd(fault);
    up_ = true;
    OnWritable();
    stream_->Receive();
  }
  void OnWritable() override {
    if (!over && !unsent_.empty()) unsent_.erase(0, stream_->Write(unsent_).bytes);
  }
  void OnBytes(std::string_view bytes) override {
    came.append(bytes);
    pieces.emplace_back(process_.Now(), std::string(bytes));
    if (!held_) stream_->Receive();
  }
  void OnEnd(net::Fault fault) override {
    over = true;
    how = fault;
    ended = process_.Now();
  }

  net::VirtualProcess& process_;
  net::StreamPtr stream_;
  std::string unsent_;
  bool up_ = false;
  bool held_ = false;
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

// Routes /get/ (idempotent), /post/ (not), /stream/ and /resume/ (streams), /keyed/ (with a key).
inline Configuration Sample() {
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

class World {
 public:
  explicit World(std::uint64_t seed = 1, Configuration configuration = Sample(),
                 std::uint64_t memory = 64 << 20, shelflink::proxy::BatchFront* batch = nullptr)
      : network(seed),
        process(network, 0x0a010001, "proxy", 1000),
        outside(network, 0x0a090001, "clients", 1000),
        log(process, [this](std::string_view line) { lines.emplace_back(line); }),
        budget{500, 0, nullptr, nullptr},
        calls(process, log, budget, {"proxy", "zone", seed, 100}),
        front(process, log, process.Listen(net::Address::V4(0x0a010001, 8689)), budget, drain,
              {calls, batch, [this](const std::string& tenant) { ++used[tenant]; }},
              milliseconds(8000), memory) {
    SetConfiguration(std::move(configuration));
  }
  ~World() { network.Clear(); }

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
    Tell();
    return *endpoints.back();
  }
  // The list as the endpoints are now.
  void Tell() {
    auto list = std::make_shared<shelflink::cluster::EndpointList>();
    list->version = {1, ++listed_};
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
  std::unique_ptr<Client> Dial() { return std::make_unique<Client>(outside, front.address()); }
  std::unique_ptr<Client> Ask(const std::string& request) {
    auto client = Dial();
    client->Send(request);
    return client;
  }
  void Run(milliseconds span) { network.RunUntil(network.Now() + span); }
  std::size_t Served() const {
    std::size_t served = 0;
    for (const auto& endpoint : endpoints) served += endpoint->requests.size();
    return served;
  }

  net::VirtualNet network;
  net::VirtualProcess process;
  net::VirtualProcess outside;
  std::vector<std::string> lines;
  std::map<std::string, int> used;
  kelpspring::Log log;
  kelpspring::SocketBudget budget;
  kelpspring::Drain drain;
  shelflink::cluster::View view;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  shelflink::proxy::EndpointCalls calls;
  shelflink::proxy::Front front;

 private:
  std::uint64_t listed_ = 0;
};

inline std::string Request(const std::string& path, const std::string& id = "9c41d07be2a35f68",
                           const std::string& more = "", const std::string& body = "prompt") {
  return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: " + id +
         "\r\nShelflink-Deadline-Ms: 3000\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Whole answer `body` to each request.
inline Endpoint::Behaviour Answers(const std::string& body, const std::string& more = "") {
  return [body, more](Endpoint::Line& line, const Message& request) {
    line.Write(Endpoint::Whole(request, body, 200, more));
  };
}

}  // namespace stand_in

#endif  // TESTS_TIER_PROXY_STAND_IN_H_
