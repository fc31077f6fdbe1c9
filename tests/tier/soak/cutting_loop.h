// A loop on sockets whose connections can be cut: bytes to and from chosen machines are held back
// until the cut is over, so that a cut is silence and no reset. Only connections that are dialled
// here are known by the machine they lead to, so both ends of a cut read their own file of cuts.
#ifndef SHELFLINK_TESTS_TIER_SOAK_CUTTING_LOOP_H_
#define SHELFLINK_TESTS_TIER_SOAK_CUTTING_LOOP_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/glib_loop.h"

namespace shelflink::soak {

// The peers from which and to which no bytes pass now: machines by IP address, processes by
// "IP:port".
struct Cuts {
  std::set<std::string> to;
  std::set<std::string> from;
  bool operator==(const Cuts&) const = default;
};

// Lines "to IP", "to IP:port", "from IP" and "from IP:port"; others and a file that is not there
// count as nothing.
Cuts ReadCuts(const std::string& path);

class CuttableStream;

class CuttingLoop : public net::GlibLoop {
 public:
  // Reads the file of cuts every few milliseconds; an empty path: nothing is ever cut.
  explicit CuttingLoop(std::string path);
  ~CuttingLoop() override;

  net::StreamPtr Dial(const net::Address& to, net::StreamUser& user) override;

 private:
  friend class CuttableStream;

  void ReadFileAgain();

  std::string path_;
  Cuts cuts_;
  std::set<CuttableStream*> streams_;
  // Closed by their users during a cut: the other end is not to notice before it is over.
  std::vector<net::StreamPtr> closed_;
  net::TimerPtr timer_;
};

}  // namespace shelflink::soak

#endif  // SHELFLINK_TESTS_TIER_SOAK_CUTTING_LOOP_H_
