// The calling side of a connection to a sidecar: one request at a time, kept open between them. It
// tells the account what it sent and got.
#ifndef SHELFLAB_LAB_CALLER_H_
#define SHELFLAB_LAB_CALLER_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/load.h"
#include "lab/stream.h"
#include "lab/wire.h"

namespace shelflab {

struct CallResult {
  TryEnd end = TryEnd::kFailed;
  int status = 0;
  Micros advice = 0;  // Of a refusal; 0: none.
  Micros at = 0;
};

// A client that waits exactly as long as it said would miss the answer of a sidecar that uses all
// of it; the account grants the sidecar this much, and the client waits so long.
constexpr Micros kClientGrace = 100'000;

class Caller : public std::enable_shared_from_this<Caller> {
 public:
  using Done = std::function<void(const CallResult&)>;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  // `target` is asked for the address whenever a connection is opened; none: nobody to call.
  Caller(boost::asio::io_context& io, std::function<std::optional<Endpoint>()> target,
         SeenSink seen)
      : io_(io), timer_(io), target_(std::move(target)), seen_(std::move(seen)) {}
  ~Caller();

  // One at a time. `done` is called once, never from within.
  void Call(const CallRequest& request, Done done);
  // Opens the connection ahead of the first call.
  void Connect();
  bool busy() const { return static_cast<bool>(done_); }
  bool connected() const;
  // Drops the connection and the call that is out; the account is told that the client has gone.
  void Stop();
  std::uint64_t connections() const { return connections_; }

 private:
  class Line;

  void Open();
  void Send();
  void Answered(int status, std::string_view body, Micros advice);
  void Ended(bool answer_begun);
  void Finish(CallResult result);
  void Tell(Seen::Kind kind, Micros at, int status = 0, std::uint64_t body = 0);
  void Arm(Micros at);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::function<std::optional<Endpoint>()> target_;
  SeenSink seen_;
  std::shared_ptr<Line> line_;
  std::shared_ptr<boost::asio::ip::tcp::socket> opening_;
  CallRequest request_;
  Done done_;
  bool sent_ = false;
  bool resent_ = false;  // Once more on a new connection, for the old one had been closed.
  std::uint64_t turn_ = 0;
  std::uint64_t connections_ = 0;
  std::uint64_t last_txn_ = 0;
};

// As many connections as there are calls at a time, the one used last first: what an endpoint keeps
// to its own sidecar. Calls beyond `most` wait in turn.
class CallerPool {
 public:
  CallerPool(boost::asio::io_context& io, std::function<std::optional<Caller::Endpoint>()> target,
             SeenSink seen, std::size_t most);
  void Call(const CallRequest& request, Caller::Done done);
  void Stop();

 private:
  struct Waiting {
    CallRequest request;
    Caller::Done done;
  };
  void Start(const std::shared_ptr<Caller>& caller, const CallRequest& request, Caller::Done done);

  boost::asio::io_context& io_;
  std::function<std::optional<Caller::Endpoint>()> target_;
  SeenSink seen_;
  std::size_t most_;
  std::vector<std::shared_ptr<Caller>> all_;
  std::vector<std::shared_ptr<Caller>> idle_;
  std::deque<Waiting> waiting_;
  std::uint64_t life_ = 0;
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_CALLER_H_
