// A coordination store met over HTTP/JSON as etcd's gateway publishes it, on the seam.
//
// Limits: 8 connections for calls, 64 calls out or waiting (one more is refused), 4 MiB for an
// answer, and for each call a time. A call that was never sent goes to the next address; one that
// was is never sent again: where no answer came its fate is unknown.
#ifndef SHELFLINK_COORDINATION_HTTP_STORE_H_
#define SHELFLINK_COORDINATION_HTTP_STORE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "coordination/store.h"
#include "net/loop.h"

namespace coordination {

class HttpStore : public Store {
 public:
  static constexpr std::size_t kLines = 8;
  static constexpr std::size_t kCalls = 64;
  static constexpr std::size_t kAnswerBytes = 4 << 20;
  // Descriptors that it may hold, without those of watches.
  static constexpr std::size_t kDescriptors = kLines;

  struct Setup {
    std::vector<net::Address> servers;  // One at least; tried in turn.
    Micros within = 1'000'000;          // From the call until it is given up.
    // A watch that says nothing for so long is broken: its connection may be dead.
    Micros silence = 30'000'000;
    std::function<void(const std::string&)> log;
  };

  HttpStore(net::Loop& loop, Setup setup);
  ~HttpStore() override;
  HttpStore(const HttpStore&) = delete;
  HttpStore& operator=(const HttpStore&) = delete;

  void Grant(Micros ttl, Then<Lease> then) override;
  void KeepAlive(LeaseId lease, Then<Lease> then) override;
  void Revoke(LeaseId lease, Then<bool> then) override;
  void Commit(const Txn& txn, Then<Done> then) override;
  std::unique_ptr<Watch> Open(const Range& range, Revision from, Watch::User user) override;

 private:
  struct Call;
  struct Reply;
  class Line;
  class HttpWatch;
  using CallPtr = std::shared_ptr<Call>;
  using Read = std::function<void(const Reply&)>;

  void Start(std::string_view path, std::string body, Read read);
  void Dispatch();
  void Unsent(const CallPtr& call, const std::string& why);
  void End(const CallPtr& call, const Reply& reply);
  void Drop(Line* line);
  void Late(const CallPtr& call);
  void Complain(const std::string& why);
  template <typename T, typename Parse>
  Read ReadAs(Then<T> then, Parse parse);
  net::Address Server() const { return setup_.servers[server_ % setup_.servers.size()]; }
  void NextServer() { ++server_; }

  net::Loop& loop_;
  Setup setup_;
  std::size_t server_ = 0;  // Where calls go now.
  std::deque<CallPtr> waiting_;
  std::size_t calls_ = 0;  // Out and waiting.
  std::list<std::unique_ptr<Line>> lines_;
  bool complained_ = false;  // Since a call went well.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace coordination

#endif  // SHELFLINK_COORDINATION_HTTP_STORE_H_
