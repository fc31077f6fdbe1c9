// One sidecar: owns the decision module, carries its actions out and tells it what came of them.
#ifndef KELPSPRING_SIDECAR_H_
#define KELPSPRING_SIDECAR_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gaugecart/choice.h"
#include "peers/channel.h"
#include "sidecar/config.h"
#include "sidecar/discovery.h"
#include "sidecar/members.h"
#include "sidecar/observer.h"
#include "sidecar/server.h"
#include "sidecar/upstream.h"

namespace kelpspring {

// The load report of an answer, as in "inflight=7,queue=2,util=0.61"; none if nothing in it is
// known. Throws nothing: what cannot be read is left out.
std::optional<gaugecart::LoadReport> ParseLoad(std::string_view text);

class Sidecar : private gaugecart::Actions, private AttemptUser {
 public:
  // What the process hands in beside the configuration.
  struct Wiring {
    LogSink sink = LogToStandardError;
    // A listening socket that other processes hold too; without one the sidecar has its own.
    net::ListenerPtr inherited = nullptr;
    // Told of each request's life; must outlive the sidecar.
    Observer* observer = nullptr;
    // Told of each answer of discovery, once decisions rest on it. May be empty.
    std::function<void(const MemberList&)> on_list = nullptr;
    // Descriptors that others in the process keep for themselves, as the operators' door does.
    std::size_t set_aside = 0;
  };

  // Throws std::invalid_argument or net::Error.
  Sidecar(net::Loop& loop, Config config, Wiring wiring);
  Sidecar(net::Loop& loop, Config config) : Sidecar(loop, std::move(config), Wiring()) {}

  net::Address address() const { return server_->address(); }
  // Finishes what is held; `done` is called after that. `succeeded`: another process accepts from
  // the same socket and goes on.
  void Leave(bool succeeded, std::function<void()> done);
  // Another process of this sidecar runs beside this one, and the limits hold for both together.
  void SetBeside(bool beside);
  // An operator's wish; the process stays. False: it was drained already, or is leaving.
  bool StartDrain();
  // False if the process is leaving.
  bool EndDrain();
  // Whether it serves, or would as soon as somebody comes.
  bool ready() const { return CanServe() && drain_.serving(); }
  kelpspring::Log& log() { return log_; }
  // Endpoints in the list, and how many of them the module avoids.
  std::size_t listed() const { return hosts_.size(); }
  std::size_t avoided() const { return balancer_->CountAvoided(Now()); }
  // What its next start may begin with.
  Lesson Learned() const;
  // What passed between it and its peers; none where it has no such channel.
  std::optional<peers::Counts> peer_counts() const;
  // Takes over what may change while it runs, the address of discovery; the rest of a configuration
  // holds from one start to the next.
  void Reload(const Config& config);

  // What it holds at this moment. With nothing to do, all but clients and sockets is 0.
  struct Holds {
    std::size_t requests = 0;
    std::size_t attempts = 0;
    std::size_t clients = 0;
    std::size_t sockets = 0;  // Of clients and of endpoints, idle ones included.
  };
  Holds holds() const;

 private:
  using Micros = gaugecart::Micros;
  using RequestId = gaugecart::RequestId;

  // A request from its arrival until its answer is given and its attempts are over.
  struct Live {
    std::shared_ptr<Client> client;  // Null once nothing is owed any more.
    HttpRequest message;
    bool more = false;  // The client still has a part of its body.
    // The attempt that it is bound to, once a part of the body is no longer kept or a part of the
    // answer has gone out.
    std::optional<std::uint32_t> bound;
    bool passing = false;  // Its answer goes out in parts.
    Micros due = 0;
    net::Span left{};
    std::uint32_t level = 0;
    std::uint32_t attempts = 0;
    std::uint32_t out = 0;
  };
  struct Timer {
    Micros at;
    std::uint64_t mark;
    bool operator<(const Timer& o) const { return at > o.at; }
  };

  // gaugecart::Actions. Each is queued and carried out once the module has returned.
  void Send(RequestId request, gaugecart::EndpointId endpoint, Micros timeout,
            std::optional<Micros> write_by) override;
  void Refuse(RequestId request, Micros advice) override;
  void Fail(RequestId request) override;
  void Cancel(RequestId request, std::uint32_t attempt) override;
  void SetTimer(Micros at, std::uint64_t mark) override;
  void Follow() override;
  void Refresh() override;
  void Log(const std::string& text) override;

  // It knows endpoints, and, where another process may be serving still, their present list or as
  // much of it as could be had in time.
  bool CanServe() const { return has_members_ && settled_; }
  void Settle();

  // AttemptUser.
  bool OnUp(AttemptKey key) override;
  void OnWhole(AttemptKey key) override;
  void OnWantsMore(AttemptKey key) override;
  bool OnAnswerBegun(AttemptKey key, HttpResponse head,
                     std::optional<std::uint64_t> length) override;
  bool OnAnswerPart(AttemptKey key, std::string_view part) override;
  // The request stays with this attempt: no other can be made of what is left. False if it is bound
  // to another.
  bool Bind(Live& live, AttemptKey key);
  std::uint64_t MostBody() const;

  Micros Now() const;
  net::Time At(Micros time) const { return start_ + std::chrono::microseconds(time - epoch_); }
  void Run(std::function<void()> step);

  void Recall(const Lesson& lesson);
  void OpenPeers();
  void OnDiscovery(const MemberList& list);
  void OnDiscoveryFailed();
  // Whether what discovery says is older than what others of the fleet had from it.
  bool OlderThanPeers(const MemberList& list);
  bool OnHeard(const peers::Heard& heard);
  // To others of the fleet. `held_at`: when discovery said so, by the lasting clock.
  void Offer(gaugecart::Micros held_at);
  void OnList(gaugecart::ListKind kind, const MemberList& list);
  void OnRequest(const std::shared_ptr<Client>& client, HttpRequest message, Arrival arrival);
  // The request as it goes on: built anew of what means something to an endpoint.
  static HttpRequest Onward(HttpRequest message, Arrival arrival);
  void Forget(const std::string& host, gaugecart::EndpointId id);
  // For traces: an attempt may outlive its endpoint's place in the list.
  std::string NameOf(gaugecart::EndpointId id) const;
  // Empty if the request can be taken; else what is wrong with it.
  std::string Read(const HttpRequest& message, gaugecart::Request& request) const;
  void StartAttempt(RequestId id, gaugecart::EndpointId endpoint, Micros timeout,
                    std::optional<Micros> write_by);
  void EndAttempt(RequestId id, std::uint32_t attempt, gaugecart::EndpointId endpoint, Micros sent,
                  Answer answer);
  void Finish(RequestId id, HttpResponse response, Ending how);
  // The answer that went out in parts is whole, or will never be.
  void EndPassing(Live& live, gaugecart::OutcomeCode code);
  // With its client gone or answered, what goes in parts has nobody to come from or to go to.
  void CancelParts(RequestId id);
  // Nothing is owed for the request any more.
  std::shared_ptr<Client> Release(Live& live, Ending how);
  void Gone(RequestId id);
  void EraseIfOver(RequestId id);
  void ArmTimer();
  void TimerFired();

  net::Loop& loop_;
  kelpspring::Log log_;
  Config config_;
  const net::Time start_;
  const Micros epoch_;
  SocketBudget budget_;
  std::size_t most_sockets_;
  gaugecart::Words words_;
  std::map<gaugecart::EndpointId, std::string> hosts_;  // What the list names.
  bool has_members_ = false;
  std::int64_t version_ = 0;  // Of the list that decisions rest on.
  bool settled_;
  Drain drain_;
  Upstream upstream_;
  Discovery discovery_;
  std::deque<std::function<void()>> steps_;
  bool running_ = false;
  std::unordered_map<RequestId, Live> live_;
  Observer* observer_;
  std::function<void(const MemberList&)> told_list_;
  std::unique_ptr<peers::Channel> peers_;  // Null where there is none.
  MemberBook book_;                        // What is offered to them.
  std::int64_t offered_ = 0;               // Its version as it was offered last.
  std::optional<std::int64_t> heard_;      // Of a list of theirs that decisions rest on.
  bool asked_anew_ = false;                // Discovery, since it seemed to have gone back.
  std::priority_queue<Timer> timers_;
  net::TimerPtr timer_;
  Micros timer_at_ = 0;  // 0: not armed.
  net::TimerPtr settle_timer_;
  bool beside_ = false;
  std::unique_ptr<gaugecart::Balancer> balancer_;
  std::unique_ptr<Server> server_;
};

}  // namespace kelpspring

#endif  // KELPSPRING_SIDECAR_H_
