#include "tier/foundation/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdlib>
#include <iostream>
#include <memory>

#include "tier/foundation/flood_gate.h"

namespace shelflink::log {
namespace {

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

// One line a minute for each module and key.
FloodGate& BoundedLines() {
  static FloodGate gate;
  return gate;
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

std::string LeftOut(std::uint64_t lines) {
  return lines > 0 ? " (" + std::to_string(lines) + " more left out)" : "";
}

void Bounded(Level level, std::string_view module, const std::string& key, const std::string& text,
             long long now_micros) {
  const std::string name = std::string(module) + '/' + key;
  const auto held_back = BoundedLines().Pass(name, now_micros);
  if (held_back) Line(level, module, text + LeftOut(*held_back));
}

}  // namespace shelflink::log
