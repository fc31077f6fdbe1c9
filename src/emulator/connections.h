// The connections that one node holds, decided without sockets: how many it serves, which are
// fresh (their first request costs a handshake), which stood idle too long, which are dead without
// having said so.
#ifndef SHELFLAB_EMULATOR_CONNECTIONS_H_
#define SHELFLAB_EMULATOR_CONNECTIONS_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "emulator/spec.h"

namespace shelflab {

using ConnectionId = std::uint64_t;  // Chosen by the embedder.

class Connections {
 public:
  // What becomes of a request that has come in on a connection.
  enum class Verdict {
    kFirst,     // To be served; it costs a handshake.
    kServe,     // To be served.
    kTurnAway,  // The node holds too many: 503 that never ran, then closed.
    kReset,     // The connection was dead: it is reset, nothing runs.
  };

  // `most` are served at a time. One that stands idle for `idle_close` is closed; 0: never.
  Connections(std::uint32_t most, Micros idle_close) : most_(most), idle_close_(idle_close) {}

  void Opened(Micros now, ConnectionId id);
  void Closed(ConnectionId id);
  // All are gone, as with the process.
  void Clear();
  // An id that is not there is turned away.
  Verdict OnRequest(ConnectionId id);
  // Its request has been answered.
  void OnAnswered(Micros now, ConnectionId id);
  // Those without a request will end the next one as a reset.
  void KillIdle();
  // Idle ones whose time is up: they are gone from here, the embedder closes them.
  std::vector<ConnectionId> Expire(Micros now);
  Micros Next() const;  // When one of them will be due; kNever if none.
  std::size_t size() const { return held_.size(); }

 private:
  struct Held {
    bool fresh = true;
    bool dead = false;
    bool busy = false;
    Micros since = 0;                      // Idle.
    std::list<ConnectionId>::iterator at;  // Its place in idle_, unless busy.
  };
  void PutIdle(Micros now, ConnectionId id, Held& held);

  std::uint32_t most_;
  Micros idle_close_;
  std::unordered_map<ConnectionId, Held> held_;
  std::list<ConnectionId> idle_;  // The one idle longest first.
};

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_CONNECTIONS_H_
