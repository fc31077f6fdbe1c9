// What the sidecar has done, counted by class, and its text form (Prometheus exposition, 0.0.4).
// Every cell is made at the start: no series comes later, and counting allocates nothing.
#ifndef SHELFLINK_METRICS_REGISTRY_H_
#define SHELFLINK_METRICS_REGISTRY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/counts.h"
#include "peers/channel.h"
#include "sidecar/observer.h"

namespace metrics {

// What is read at the moment of the question.
struct Cluster {
  std::size_t size = 0;                  // Endpoints in the list.
  std::size_t avoided = 0;               // Of these, the ones that the decision module avoids.
  std::optional<peers::Counts> peers{};  // Where it has the channel to peers.
  std::optional<fleet::Counts> fleet{};  // Where it has a coordination store.
};

class Registry : public kelpspring::Observer {
 public:
  // The names of the classes, by their index.
  explicit Registry(const std::vector<std::string>& classes);

  void OnTaken(std::uint32_t level) override;
  void OnSent(std::uint32_t level) override;
  void OnEnded(std::uint32_t level, kelpspring::Ending how) override;

  std::string Text(const Cluster& cluster) const;
  std::uint64_t current() const { return current_; }

 private:
  static constexpr std::size_t kStates = 4;
  struct Cells {
    std::string group;  // The class's name as a label's value.
    std::array<std::uint64_t, kStates> ended{};
  };

  std::vector<Cells> cells_;
  std::uint64_t sends_ = 0;
  std::uint64_t current_ = 0;
};

}  // namespace metrics

#endif  // SHELFLINK_METRICS_REGISTRY_H_
