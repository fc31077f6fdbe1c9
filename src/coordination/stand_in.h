// A coordination store for tests and rehearsals: the model behind the published wire, on the seam,
// so that it runs on sockets (`shelflab coordinator`) and on the virtual network. It can be made to
// fail in the ways in which such stores do. Never part of the program.
//
// What it acknowledges has been handed to the journal before. Played again at the next start the
// journal brings all of it back, with leases for their whole time, as after a change of leader.
#ifndef SHELFLINK_COORDINATION_STAND_IN_H_
#define SHELFLINK_COORDINATION_STAND_IN_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "coordination/model.h"
#include "draws.h"
#include "net/loop.h"

namespace coordination {

class StandIn {
 public:
  static constexpr std::size_t kCallers = 4096;  // Connections; one more is closed at once.

  // What happens to calls from now on. Watches go on; see DropWatches.
  struct Faults {
    Micros stall = 0;     // Each call waits so long before it has its effect,
    Micros late = 0;      // and its answer so long after it.
    double lose = 0;      // Share of the answers that never come, though the effect is there.
    bool silent = false;  // Nothing is taken in, done or told; leases run on.
  };

  // `journal` takes one line, without its end; may be empty. Throws net::Error.
  StandIn(net::Loop& loop, const net::Address& at, std::uint64_t seed,
          std::function<void(const std::string&)> journal);
  ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  // Before anybody calls. Throws wire::BadWire for a line that is none.
  void Play(std::string_view journal);

  net::Address address() const { return listener_->address(); }
  const Model& model() const { return model_; }
  std::uint64_t calls() const { return calls_; }
  void SetFaults(const Faults& faults);
  // Of a JSON object {"stall_ms", "late_ms", "lose"}. Throws wire::BadWire.
  static Faults FaultsOf(const nlohmann::json& json);
  void DropWatches();
  // Forgets all that has happened so far.
  void Compact();

 private:
  struct Reply;
  class Caller;

  void Accept();
  void Remove(Caller* caller);
  // The body of the answer to a call, and whether it has failed; with its effect.
  Reply Obey(std::string_view path, const nlohmann::json& body);
  Reply Lab(std::string_view path, const nlohmann::json& body);
  void Note(const nlohmann::json& line);
  void Expire();
  void Changed();
  Done Apply(const Txn& txn);

  net::Loop& loop_;
  gaugecart::Draws draws_;
  std::function<void(const std::string&)> journal_;
  Model model_;
  Faults faults_;
  net::ListenerPtr listener_;
  net::TimerPtr timer_;
  std::list<std::shared_ptr<Caller>> callers_;
  std::uint64_t calls_ = 0;
};

}  // namespace coordination

#endif  // SHELFLINK_COORDINATION_STAND_IN_H_
