#include "tier/proxy/ready_text.h"

#include <chrono>
#include <string_view>

namespace shelflink::proxy {
namespace {

std::string SecondsText(net::Span span) {
  const auto tenths = std::chrono::duration_cast<std::chrono::milliseconds>(span).count() / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

std::string LeaseText(const Readiness& readiness, net::Time now) {
  if (!readiness.had_lease) return "no lease from the core yet\n";
  if (now < readiness.lease_until) return "";
  return "out of touch with the core for " + SecondsText(now - readiness.lease_until) + "\n";
}

std::string_view ReasonForAge(ListState state) {
  switch (state) {
    case ListState::kFresh:
      return "";
    case ListState::kResumed:
      return "; the process has just begun, or stood still";
    case ListState::kUnverified:
      return "; it is the first one, and nothing newer has been read yet";
    case ListState::kPlatformUnavailable:
      return "; the platform does not answer in time";
    case ListState::kStale:
      return "; neither the core nor another proxy has a newer one";
  }
  return "";
}

std::string ListText(const Readiness& readiness, const ListCondition& list) {
  if (!readiness.has_endpoints && list.state != ListState::kUnverified) {
    return "no list of endpoints yet\n";
  }
  if (!list.age) {
    const bool has_reason = list.state == ListState::kUnverified;
    return "the list of endpoints is of unknown age" +
           std::string(has_reason ? ReasonForAge(list.state) : "") + "\n";
  }
  if (*list.age <= list.max_age) return "";
  return "the list of endpoints is " + SecondsText(*list.age) + " old, " +
         SecondsText(list.max_age) + " are allowed" + std::string(ReasonForAge(list.state)) + "\n";
}

}  // namespace

std::string ReadyText(const Readiness& readiness, const ListCondition& list,
                      std::size_t refusing_cores, net::Time now) {
  std::string text = readiness.IsReady(now) ? "ready\n" : "not ready\n";
  if (readiness.shutting_down) text += "told to end\n";
  if (!readiness.has_configuration) text += "no configuration yet\n";
  text += LeaseText(readiness, now);
  if (refusing_cores > 0) {
    text += "core processes whose disks refuse writes: " + std::to_string(refusing_cores) + "\n";
  }
  text += ListText(readiness, list);
  return text;
}

}  // namespace shelflink::proxy
