#include "tier/foundation/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>

namespace shelflink::log {
namespace {

constexpr long long kBoundedSpanMicros = 60'000'000;
constexpr std::size_t kMostBoundedKeys = 256;  // Beyond these, floods share one entry.

struct Process {
  log4cplus::Initializer initializer;
};

std::unique_ptr<Process>& TheProcess() {
  static std::unique_ptr<Process> process;
  return process;
}

log4cplus::LogLevel LevelOf(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

struct Flood {
  long long since = 0;
  long long left_out = 0;
};

std::map<std::string, Flood>& Floods() {
  static std::map<std::string, Flood> floods;
  return floods;
}

}  // namespace

void Start(const std::string& node, Level least) {
  if (!TheProcess()) TheProcess() = std::make_unique<Process>();
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("%D{%H:%M:%S.%q} %p ") + LOG4CPLUS_STRING_TO_TSTRING(node) +
      LOG4CPLUS_TEXT(" %c: %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(LevelOf(least));
}

void EndProcess(int status) {
  std::cout.flush();
  std::cerr.flush();
  std::quick_exit(status);
}

bool Enabled(Level level, std::string_view module) {
  if (!TheProcess()) return false;
  return log4cplus::Logger::getInstance(LOG4CPLUS_STRING_TO_TSTRING(std::string(module)))
      .isEnabledFor(LevelOf(level));
}

void Line(Level level, std::string_view module, const std::string& text) {
  if (!TheProcess()) return;
  const log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_STRING_TO_TSTRING(std::string(module)));
  if (logger.isEnabledFor(LevelOf(level))) {
    logger.forcedLog(LevelOf(level), LOG4CPLUS_STRING_TO_TSTRING(text));
  }
}

void Bounded(Level level, std::string_view module, const std::string& key, const std::string& text,
             long long now_micros) {
  std::map<std::string, Flood>& floods = Floods();
  auto found = floods.find(key);
  if (found == floods.end()) {
    const std::string entry = floods.size() < kMostBoundedKeys ? key : std::string();
    found = floods.try_emplace(entry, Flood{now_micros - kBoundedSpanMicros, 0}).first;
  }
  Flood& flood = found->second;
  if (now_micros - flood.since < kBoundedSpanMicros) {
    ++flood.left_out;
    return;
  }
  const std::string more =
      flood.left_out > 0 ? " (" + std::to_string(flood.left_out) + " more left out)" : "";
  flood = {now_micros, 0};
  Line(level, module, text + more);
}

}  // namespace shelflink::log
