// Connections to endpoints, and the attempts that they carry. One connection carries one attempt
// at a time; nothing is ever sent twice from here.
#ifndef KELPSPRING_UPSTREAM_H_
#define KELPSPRING_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "gaugecart/choice.h"
#include "net/loop.h"
#include "sidecar/http.h"
#include "sidecar/log.h"
#include "sidecar/mutant.h"

namespace kelpspring {

// Sockets that both sides may hold together. Where it is spent, idle connections to endpoints go
// first.
struct SocketBudget {
  std::size_t limit = 0;
  std::size_t open = 0;
  std::function<bool()> evict_idle;
  std::function<void()> on_room;  // Called once, at the next release; must not act at once.
  bool client_waits = false;      // One stands in the accept queue for want of a place.

  bool Take() {
    if (open >= limit && !(evict_idle && evict_idle())) return false;
    ++open;
    return true;
  }
  // For an attempt: the next free place belongs to the client that waits. Attempts end and start
  // anew at once, and it would wait until its time was over.
  bool TakeForAttempt() {
    if (client_waits && open + 1 >= limit && !Mutated(Mutant::kAttemptsFirst)) return false;
    return Take();
  }
  void Release() {
    --open;
    if (on_room) std::exchange(on_room, nullptr)();
  }
};

struct Answer {
  gaugecart::OutcomeCode code = gaugecart::OutcomeCode::kNeverSent;
  HttpResponse message;  // Empty unless the endpoint answered, and of one that went out in parts.
  // From the last byte of the request to the answer, or to its first byte if it went out in parts;
  // of attempts in parts only.
  std::optional<net::Span> took = std::nullopt;
};

using AttemptKey = std::pair<gaugecart::RequestId, std::uint32_t>;  // Request and attempt.

// What becomes of an answer, as its head tells.
enum class AnswerUse {
  kHold,  // Held whole; a longer one goes on in parts.
  kPass,  // Goes on in parts from the start.
  kSkip,  // Belongs to another request: read away, and the right one follows.
};
struct Reading {
  gaugecart::OutcomeCode code = gaugecart::OutcomeCode::kError;
  AnswerUse use = AnswerUse::kHold;
};

// As the endpoints of the program in service mean it.
Reading ReadHead(AttemptKey key, const HttpResponse& head);

// What differs between the protocols that endpoints speak. As it stands here: the program in
// service.
struct UpstreamTerms {
  std::string remaining_header = "X-Remaining-Ms";  // Set by each send: what is left, in ms.
  // Names a request to endpoints, who give it back: an attempt then avoids the connection that last
  // carried the same request. Empty: any idle connection is used.
  std::string request_id_header;
  std::function<Reading(AttemptKey, const HttpResponse& head)> read_head = ReadHead;
  // The longest silence inside an answer that is held whole: 0: until the attempt's end.
  std::chrono::milliseconds answer_silence{300};
  // Whether an endpoint's Keep-Alive bounds how long its connection lies idle.
  bool heed_keep_alive = false;
  // Whether what has come is read before an attempt's time is over: a process that stood still
  // finds its timers due and its answers unread.
  bool read_before_time_up = false;
  // Whether an answer that begins before the request's last byte was written counts as the
  // request's own. If so the request may have run from then on, and the connection is not reused.
  bool early_answers = false;
};

// A request as it goes to an endpoint. The message must stay where it is until the attempt is over
// or has asked for more; each send sets the time that is left in it.
struct Outbound {
  HttpRequest& message;
  // Its body goes on beyond what the message holds: in parts, by Feed.
  bool more = false;
  std::optional<net::Time> write_by;  // Its last byte may not go out later; none: at any time.
  net::Time until;      // The attempt's end. With `more` it counts to the end of the held part, and
  net::Span left{};     // from the last byte on the request has this long.
  net::Span silence{};  // What is under way in parts ends when nothing has moved for so long,
  std::optional<net::Time> end = std::nullopt;  // and then at the latest.
  // What the endpoint is told that it has; none: until the attempt's end.
  std::optional<net::Time> deadline = std::nullopt;
  // Whether it may be sent again once it may have run; none: as its method and headers tell.
  std::optional<bool> repeatable = std::nullopt;
};

// Who is told of attempts. It may act on the attempt at once.
class AttemptUser {
 public:
  // Its connection has come up. False: nothing of it is to be sent any more.
  virtual bool OnUp(AttemptKey key) = 0;
  // It has been written whole.
  virtual void OnWhole(AttemptKey key) = 0;
  // All that was given of its body has been written, and it goes on.
  virtual void OnWantsMore(AttemptKey key) = 0;
  // Its answer is longer than may be held and comes in parts; here is its head. Returns whether it
  // is wanted.
  virtual bool OnAnswerBegun(AttemptKey key, HttpResponse head,
                             std::optional<std::uint64_t> length) = 0;
  // False: no more until Resume.
  virtual bool OnAnswerPart(AttemptKey key, std::string_view part) = 0;
  // Its time is over, or it has been silent for too long, with the request out. Until when it is to
  // be waited for nevertheless; none: it is given up.
  virtual std::optional<net::Time> OnLate(AttemptKey) { return std::nullopt; }

 protected:
  ~AttemptUser() = default;
};

class Upstream {
 public:
  using Key = AttemptKey;
  using Done = std::function<void(Answer)>;

  Upstream(net::Loop& loop, Log& log, SocketBudget& budget, std::chrono::microseconds keepalive,
           std::chrono::microseconds connect_timeout, AttemptUser& user,
           std::function<std::uint64_t()> most_body, UpstreamTerms terms = {});
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // What the list says of an endpoint. One that is not ready, or has moved or started anew, loses
  // its idle connections.
  void SetEndpoint(gaugecart::EndpointId id, const net::Address& dial, bool ready,
                   gaugecart::Micros born);
  // One that has left the list: nothing new goes to it, and nothing of it is kept.
  void Forget(gaugecart::EndpointId id);
  // Starts an attempt. `done` is called once, perhaps at once; by then its connection is closed or
  // idle.
  void Send(Key key, gaugecart::EndpointId id, const Outbound& outbound, Done done);
  // The next part of its request's body.
  void Feed(Key key, std::string_view part, bool last);
  // More of its answer is wanted.
  void Resume(Key key);
  void Cancel(Key key);
  // Takes back an attempt of which nothing has been sent.
  void Withdraw(Key key);
  bool EvictIdle();
  std::size_t attempts() const { return attempts_.size(); }
  std::uint64_t dials() const { return dials_; }  // Since the start.
  // Microseconds since the endpoint's process started; -1 where it is long ago or not known.
  gaugecart::Micros Age(gaugecart::EndpointId id, gaugecart::Micros now) const;

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Endpoint {
    net::Address dial;
    bool ready = false;
    gaugecart::Micros born = 0;
    std::uint64_t version = 0;       // Counts the changes of address and process.
    std::deque<ConnectionPtr> idle;  // Latest used last.
  };

  Endpoint* Find(gaugecart::EndpointId id);
  ConnectionPtr AttemptOf(Key key) const;  // Null once it is over.
  // The idle connection to use for this message; null if a new one is to be opened.
  ConnectionPtr TakeIdle(Endpoint& endpoint, const Outbound& outbound);
  // A reused connection broke before any answer: it may have been dropped while it lay idle.
  void NoteStale(net::Span idle);

  net::Loop& loop_;
  Log& log_;
  SocketBudget& budget_;
  std::chrono::microseconds idle_span_;
  std::chrono::microseconds connect_timeout_;
  AttemptUser& user_;
  std::function<std::uint64_t()> most_body_;
  UpstreamTerms terms_;
  std::uint64_t dials_ = 0;
  std::map<gaugecart::EndpointId, Endpoint> endpoints_;
  std::map<Key, ConnectionPtr> attempts_;
  net::Time doubt_until_{};  // Until then idle connections may be dead without a sign.
};

}  // namespace kelpspring

#endif  // KELPSPRING_UPSTREAM_H_
