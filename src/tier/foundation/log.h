// Logging by log4cplus: one event a line, to standard error. Keys of tenants never go in.
#ifndef SHELFLINK_TIER_FOUNDATION_LOG_H_
#define SHELFLINK_TIER_FOUNDATION_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace shelflink::log {

enum class Level { kDebug, kInfo, kWarning, kError };

// Once per process, before the first line. Without it lines go nowhere (tests).
void Start(const std::string& node, Level least);
// `module` names the logger ("proxy", "core.replica"); `text` is one line.
void Line(Level level, std::string_view module, const std::string& text);
// Ends the process with that status once what was logged has gone out. Without static destructors:
// that of log4cplus waits for the threads of a pool that this project never uses, and on a machine
// that runs one thread at a time that wait was seen not to end.
[[noreturn]] void EndProcess(int status);
bool Enabled(Level level, std::string_view module);
inline void Info(std::string_view module, const std::string& text) {
  Line(Level::kInfo, module, text);
}
inline void Warning(std::string_view module, const std::string& text) {
  Line(Level::kWarning, module, text);
}
// The end of a line that stands for others too: empty where there are none.
std::string LeftOut(std::uint64_t lines);
// For events that may come in floods: one line a minute per module and key, with the count of those
// left out.
// `now_micros` is any steady clock.
void Bounded(Level level, std::string_view module, const std::string& key, const std::string& text,
             long long now_micros);

}  // namespace shelflink::log

#endif  // SHELFLINK_TIER_FOUNDATION_LOG_H_
