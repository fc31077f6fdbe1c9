// The list of endpoints: reads it and keeps a watch on its changes.
#ifndef KELPSPRING_DISCOVERY_H_
#define KELPSPRING_DISCOVERY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gaugecart/choice.h"
#include "net/loop.h"
#include "recovery/pace.h"
#include "sidecar/log.h"

namespace kelpspring {

// Throws BadInput unless the text is an address and a port, as in 10.0.0.4:3000.
net::Address ParseAddress(const std::string& text);

struct Member {
  std::string host;  // The same word at every sidecar.
  net::Address dial;
  std::string site;
  std::int64_t block = -1;
  gaugecart::Availability health = gaugecart::Availability::kReady;
  double share = 1.0;
  gaugecart::Micros born = 0;  // Unix time; 0 for long ago.
};

struct MemberList {
  std::int64_t seq = 0;
  bool whole = false;
  std::vector<Member> members;
  // When it was asked for, by net::Loop::LastingMicros(): it held then or later. 0: not known.
  gaugecart::Micros asked = 0;
};

// Throws BadInput; a list is taken whole or not at all.
MemberList ParseMembers(const nlohmann::json& json);

class Discovery {
 public:
  using OnList = std::function<void(const MemberList&)>;
  using OnFailed = std::function<void()>;

  // Without `seq` the first call asks for the whole list.
  Discovery(net::Loop& loop, Log& log, const net::Address& address, std::optional<std::int64_t> seq,
            const recovery::Pace::Place& place, OnList on_list, OnFailed on_failed);
  ~Discovery();

  // Takes this process's place among all that may be starting now, and watches from then on.
  void Begin();
  // Starts the watch unless it is on, as soon as the pace allows a call. It ends with the first
  // call that fails, and is taken up again when the pace says so.
  void Watch();
  // Asks for the whole list once.
  void Fetch();
  // Goes on at another address at once: gets the whole list there and then watches. What is known
  // stays until that has come.
  void Move(const net::Address& address);

 private:
  class Asker;
  using Failure = recovery::Pace::Failure;

  void Next();
  void Ask(Asker& line);
  void OnSilence();
  void Answered(Asker& line, const MemberList& list);
  void Unanswered(Asker& line, const Failure& failure);
  void PauseOver();
  // The pace's clock: microseconds of the loop's.
  recovery::Micros Now() const;
  static net::Time At(recovery::Micros time) { return net::Time(std::chrono::microseconds(time)); }

  net::Loop& loop_;
  Log& log_;
  net::Address address_;
  std::optional<std::int64_t> seq_;  // None: the whole list is wanted first.
  recovery::Pace pace_;
  recovery::Micros not_before_ = 0;  // What the pace said last.
  OnList on_list_;
  OnFailed on_failed_;
  std::unique_ptr<Asker> watcher_;
  // Asks beside the watcher where that may hang: whichever is answered first goes on.
  std::unique_ptr<Asker> second_;
  std::unique_ptr<Asker> fetcher_;
  recovery::Micros asked_ = 0;  // When the watcher was, and when its wait is over.
  recovery::Micros answer_by_ = 0;
  net::TimerPtr silence_;
  net::TimerPtr pause_;
  bool watching_ = false;  // Else the pause is one between watches.
};

}  // namespace kelpspring

#endif  // KELPSPRING_DISCOVERY_H_
