// Log lines, bounded in rate so that a flood of bad input stays a few lines.
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
  Log(net::Loop& loop, LogSink sink) : loop_(loop), sink_(std::move(sink)) {}

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

 private:
  static constexpr int kLinesPerSecond = 20;

  net::Loop& loop_;
  LogSink sink_;
  bool begun_ = false;
  net::Time window_;
  int lines_ = 0;
};

}  // namespace kelpspring

#endif  // KELPSPRING_LOG_H_
