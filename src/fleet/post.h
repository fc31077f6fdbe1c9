// One call to another sidecar's operators' door: bounded in time and size, made once.
#ifndef SHELFLINK_FLEET_POST_H_
#define SHELFLINK_FLEET_POST_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/loop.h"

namespace fleet {

// 0: no answer came, which says nothing of whether the call did.
using Told = std::function<void(int status, const std::string& text)>;

class Poster {
 public:
  static constexpr std::size_t kMost = 8;            // At a time; one more is not made.
  static constexpr std::size_t kMostAnswer = 65536;  // Bytes.

  explicit Poster(net::Loop& loop) : loop_(loop) {}
  ~Poster();
  Poster(const Poster&) = delete;
  Poster& operator=(const Poster&) = delete;

  // Cut after `within`, whatever has become of it. `told` is called once, not from inside this.
  void Post(const net::Address& to, const std::string& path, const std::string& body,
            std::chrono::microseconds within, Told told);

 private:
  class Call;
  net::Loop& loop_;
  std::list<std::shared_ptr<Call>> calls_;
};

}  // namespace fleet

#endif  // SHELFLINK_FLEET_POST_H_
