// A client's connection over HTTP/1.1: requests one after the other, each with what came of it.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_HTTP_CALLER_H_
#define SHELFLINK_TESTS_TIER_SEEDS_HTTP_CALLER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/virtual.h"
#include "proxy/proxy_fixture.h"

namespace shelflink::tier_seeds {

struct HttpOutcome {
  proxy_test::Message answer;  // As far as it came.
  bool whole = false;
  bool connected = false;  // The connection came up.
  bool timed_out = false;
  net::Fault fault = net::Fault::kNone;  // How the connection ended, where it did.

  int status() const { return answer.start_line.empty() ? 0 : answer.Status(); }
};

// What a request to a sidecar looks like.
struct HttpRequestText {
  std::string method = "POST";
  std::string target;
  std::string host;
  std::string headers;  // Lines, each with its end.
  std::string body;
};
std::string TextOf(const HttpRequestText& request);

class HttpConnection : public net::StreamUser {
 public:
  using Done = std::function<void(const HttpOutcome&)>;

  HttpConnection(net::VirtualProcess& process, const net::Address& to)
      : process_(process), stream_(process.Dial(to, *this)) {}
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // One at a time. `done` is called once; after anything but a whole answer the connection is over.
  void Ask(const std::string& request, net::Span patience, Done done);
  // Leaves at once: a request under way is given up and `done` is not called.
  void Leave();
  // Whether another request may follow.
  bool usable() const { return !over_ && !asking() && !closing_ && unasked_.empty(); }
  // No request is under way.
  bool idle() const { return !asking(); }
  // Bytes that came while no request was waiting.
  const std::string& unasked() const { return unasked_; }

 private:
  bool asking() const { return static_cast<bool>(done_); }
  void OnConnected(net::Fault fault) override;
  void OnWritable() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(net::Fault fault) override;
  void Finish(bool timed_out);

  net::VirtualProcess& process_;
  net::StreamPtr stream_;
  net::TimerPtr timer_;
  std::string unsent_;
  std::string came_;
  std::string unasked_;
  Done done_;
  bool connected_ = false;
  bool over_ = false;
  bool closing_ = false;  // The answer said so.
  net::Fault fault_ = net::Fault::kNone;
};

// Connections of a group of clients: keeps each until it is over, so that none ends inside a call
// of its own.
class HttpCallers {
 public:
  explicit HttpCallers(net::VirtualProcess& process) : process_(process) {}

  HttpConnection& Dial(const net::Address& to);
  // One request on a connection of its own.
  void Ask(const net::Address& to, const HttpRequestText& request, net::Span patience,
           HttpConnection::Done done);
  net::VirtualProcess& process() { return process_; }

 private:
  net::VirtualProcess& process_;
  std::list<std::unique_ptr<HttpConnection>> connections_;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_HTTP_CALLER_H_
