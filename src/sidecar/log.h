// Log lines, bounded in rate so that a flood of bad input stays a few lines, and, where it is asked
// for, a trace: a line for each event, to be counted over a whole fleet.
#ifndef KELPSPRING_LOG_H_
#define KELPSPRING_LOG_H_

#include <chrono>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>

#include "net/loop.h"

namespace kelpspring {

// Where lines go.
using LogSink = std::function<void(std::string_view)>;

inline void LogToStandardError(std::string_view line) {
  std::cerr << "kelpspring: " << line << '\n';
}

class Log {
 public:
  Log(net::Loop& loop, LogSink sink, bool traced = false)
      : loop_(loop), sink_(std::move(sink)), traced_(traced) {}

  void Line(std::string_view text) {
    const net::Time now = loop_.Now();
    if (!begun_ || now - window_ >= std::chrono::seconds(1)) {
      if (lines_ > kLinesPerSecond) {
        sink_("left out " + std::to_string(lines_ - kLinesPerSecond) + " lines");
      }
      begun_ = true;
      window_ = now;
      lines_ = 0;
    }
    if (lines_++ < kLinesPerSecond) sink_(text);
  }

  // `make` puts the event into words and is called only where a trace is kept. Not bounded: a count
  // over lines that were left out would tell nothing.
  template <typename Make>
  void Trace(const Make& make) {
    if (traced_) sink_("trace " + std::to_string(loop_.WallMicros()) + ' ' + make());
  }

 private:
  static constexpr int kLinesPerSecond = 20;

  net::Loop& loop_;
  LogSink sink_;
  bool traced_;
  bool begun_ = false;
  net::Time window_;
  int lines_ = 0;
};

}  // namespace kelpspring

#endif  // KELPSPRING_LOG_H_
