// Connections of clients: HTTP in and out, limits, /_health, and what a drain does to them.
#ifndef KELPSPRING_SERVER_H_
#define KELPSPRING_SERVER_H_

#include <array>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "net/loop.h"
#include "sidecar/drain.h"
#include "sidecar/http.h"
#include "sidecar/log.h"
#include "sidecar/upstream.h"

namespace kelpspring {

class Server;

// What a server grants its clients, and for how long. As it stands here: the program in service.
struct ServerTerms {
  std::string health_path = "/_health";  // Answered here; empty: no path is.
  std::uint32_t header_limit = kHeaderLimit;
  std::uint64_t body_limit = kLargestBody;
  // From the connection to the first request's end, if its time counts from there at all: else a
  // new connection may rest as long as any other.
  std::optional<std::chrono::milliseconds> first_span = std::chrono::milliseconds(2500);
  // From a request's first byte to its last; grows with what comes of its body.
  std::chrono::milliseconds request_span{2500};
  std::chrono::milliseconds rest_span{4000};  // Between requests.
  // From the start of a drain: how long the front goes on sending new connections, and when what is
  // half read by then is refused by a process that leaves.
  std::chrono::milliseconds drain_window{500};
  std::chrono::milliseconds leave_half_read{700};
  // How long a request with that head may take to come whole, from its first byte, beside
  // request_span; none: no longer bound. May be empty.
  std::function<std::optional<std::chrono::milliseconds>(
      const boost::beast::http::request_header<boost::beast::http::fields>&)>
      longest_arrival;
  bool folded_headers = true;  // Whether a header's value may go on in a further line.
  // How an answer that is not whole ends: by a reset, which may take with it what the client has
  // not read yet; or, where its framing shows that it is not whole, by a plain close.
  bool break_by_reset = true;
};

// What a connection is doing while nothing is owed on it, in the order in which they make room.
// Waiting goes from one answer to the next request's last byte.
enum Yield : std::size_t { kLeaving, kWaiting, kYields };

// How a request came: whole, or with the rest of its body still on the way.
struct Arrival {
  bool whole = true;
  std::optional<std::uint64_t> length;  // Of the whole body, where its head told it.
  net::Time began{};                    // When its first byte came.
};

// One connection. Holds one request at a time, from its last byte (of a long one: from as much of
// it as may be held) to its answer.
class Client : public net::StreamUser, public std::enable_shared_from_this<Client> {
 public:
  Client(Server& server, net::StreamPtr stream);

  void Start();
  // The final answer to the request that is held. What is still to come of it is read away.
  void Respond(HttpResponse response);
  // An answer that goes out as it comes: its head; then parts of its body, each time false if no
  // more is wanted before `drained` is called; then its end. Without a length it goes in chunks.
  void Begin(HttpResponse head, std::optional<std::uint64_t> length, std::function<void()> drained);
  bool Part(std::string_view bytes);
  void EndBody();
  // Ends it so that the client can tell it is not whole.
  void Break();
  // The next part of a request's body, once there is one; `last` with the body's end.
  using Feed = std::function<void(std::string part, bool last)>;
  void Pull(Feed feed);
  void RespondPlain(unsigned status, const std::string& text);
  // Answers what cannot be used, and ends the connection.
  void Reject(unsigned status, const std::string& text);
  // Called if the client goes away, or the rest of its request fails to come, before its request is
  // answered to the end.
  void OnGone(std::function<void()> gone) { gone_ = std::move(gone); }

  // Whether the client has gone, also where its end stands behind bytes that are not read yet. If
  // so, whoever waits for that is told at once.
  bool HasLeft();
  // A request, or a part of one, has come and has not been looked at.
  bool HasUnread();
  bool at_rest() const { return state_ == State::kIdle && !parser_; }
  // A part of a request has come.
  bool half_read() const { return state_ == State::kIdle && parser_; }
  // Until then its first request may still be on its way: it came up only just now.
  net::Time fresh_until() const { return fresh_until_; }
  // Closes it, at rest, unless its first request may still be on its way: that has a last moment.
  void Hurry();
  void Close();

 private:
  // Idle also while a request is half read.
  enum class State { kIdle, kHeld, kAnswering, kStreaming, kLingering, kClosed };
  using Parser = boost::beast::http::request_parser<TextBody>;
  void StartParser();
  // Takes in what has come; false if that ended in a rejection.
  bool Take();
  bool LookAtHead();
  void Dispatch(HttpRequest request, Arrival arrival);
  void FeedNext();
  // The client's fault while its request was under way.
  void Spoil(unsigned status, const std::string& text);
  // Waiting for the client: as long as it keeps the least pace.
  void Await();
  void Came();
  void Rest(std::chrono::milliseconds span);
  // So much of a body that is not whole is held here.
  void HoldsBody(std::uint64_t bytes);
  bool Folded() const;
  void Yields(std::optional<Yield> as);
  void TimeUp();

  void OnBytes(std::string_view bytes) override;
  void OnEnd(net::Fault fault) override;
  void OnWritable() override;
  void Read();
  // Version and end of the connection, as they are told with an answer.
  void SetTerms(HttpResponse& answer);
  void Parse();
  void Flush();
  void Answered();
  void Next();
  void Leave();
  void Linger();
  void Arm(std::chrono::milliseconds span);

  Server& server_;
  net::StreamPtr stream_;
  net::TimerPtr timer_;
  bool first_ = true;  // No request has come on it yet.
  net::Time fresh_until_;
  std::optional<Yield> yields_;
  std::uint64_t used_ = 0;       // Its key there.
  std::size_t linger_left_ = 0;  // Bytes still to be read away.
  State state_ = State::kIdle;
  Incoming incoming_;
  Outgoing outgoing_;
  bool keep_alive_ = true;
  unsigned version_ = 11;
  std::optional<Parser> parser_;  // Of a request that has not come whole.
  // Taken out of the parser as soon as it is whole, so that no trailer gets into it.
  std::optional<boost::beast::http::request_header<>> head_;
  std::uint64_t came_ = 0;  // Bytes of its body.
  std::uint64_t held_ = 0;  // Of these here.
  net::Span spent_{};       // Waiting for it.
  std::optional<net::Time> awaited_since_;
  net::Time came_at_{};                // When bytes last came,
  net::Time began_{};                  // and the first of the present request.
  std::optional<net::Time> whole_by_;  // As longest_arrival tells.
  Feed feed_;
  bool chunked_ = false;  // The answer that goes out in parts.
  bool sized_ = false;    // Its head told its length.
  bool ending_ = false;   // All of it has been handed in.
  std::function<void()> drained_;
  std::function<void()> gone_;
};

class Server {
 public:
  using OnRequest = std::function<void(const std::shared_ptr<Client>&, HttpRequest, Arrival)>;

  // Takes in nobody before Open. `ready` tells whether it could serve if it is not drained;
  // `most_body` how much of a body may be held at this moment.
  Server(net::Loop& loop, Log& log, net::ListenerPtr listener, SocketBudget& budget,
         const Drain& drain, std::function<bool()> ready, std::function<std::uint64_t()> most_body,
         OnRequest on_request, ServerTerms terms = {});
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  net::Address address() const { return listener_->address(); }
  // Of so many sockets. Clients with a request are a third at most, and each may need one
  // connection to an endpoint; what is left is for those that have sent nothing usable yet.
  static std::size_t MostClients(std::size_t sockets) { return sockets / 3 * 2; }
  std::size_t clients() const { return clients_.size(); }
  bool accepting() const { return accepting_; }
  // Of bodies that have not come whole.
  std::uint64_t body_bytes() const { return body_bytes_; }
  // Hold from the next request of each connection on.
  void SetTerms(ServerTerms terms) { terms_ = std::move(terms); }
  // Requests that could not be used, by the status that they were answered with.
  const std::map<unsigned, std::uint64_t>& rejected() const { return rejected_; }
  void Open();
  // The budget has come down: gives up what can be spared.
  void Shrink();
  // From now on each answer ends its connection; after a while idle ones are closed, and then what
  // is half read is refused. New ones are still taken in.
  void StartDrain();
  void EndDrain();
  // The same for good, and the listener is closed: at once if another process accepts from the same
  // socket, else after a while. `done` is called when nothing is held any more.
  void Leave(bool succeeded, std::function<void()> done);

 private:
  friend class Client;

  std::size_t MostReadAhead() const;
  void Accept();
  void Accepted(net::StreamPtr stream);
  void AcceptFailed(net::Fault fault);
  bool MakeRoom();
  void CloseAllIdle();
  std::uint64_t NextUse() { return ++uses_; }
  void Removed(const std::shared_ptr<Client>& client);
  enum class Phase { kOpen, kAnswersClose, kNoneIdle, kNoneHalfRead };

  void NextPhase();
  void CloseListener();
  void RefuseHalfRead();
  void CheckDone();
  // Nothing becomes idle any more.
  bool shut() const { return phase_ >= Phase::kNoneIdle; }

  net::Loop& loop_;
  Log& log_;
  SocketBudget& budget_;
  const Drain& drain_;
  std::function<bool()> ready_;
  std::function<std::uint64_t()> most_body_;
  OnRequest on_request_;
  ServerTerms terms_;
  std::map<unsigned, std::uint64_t> rejected_;
  std::uint64_t body_bytes_ = 0;
  net::ListenerPtr listener_;
  net::TimerPtr pause_;
  net::TimerPtr drain_timer_;
  std::unordered_set<std::shared_ptr<Client>> clients_;
  // Those that can be closed to make room, longest in their state first.
  std::array<std::map<std::uint64_t, Client*>, kYields> yielding_;
  std::uint64_t uses_ = 0;
  bool open_ = false;
  bool accepting_ = false;
  Phase phase_ = Phase::kOpen;
  net::Time drained_at_{};
  bool closed_ = false;  // The listener.
  std::function<void()> done_;
};

}  // namespace kelpspring

#endif  // KELPSPRING_SERVER_H_
