// The platform's calls over HTTP by libsoup, on the thread's default GLib context.
//
// Limits: kMostConnections kept; an answer of kLargestAnswer bytes; kCallTimeout a call, up to four
// times that after silences (platform/call_timeout.h).
#ifndef SHELFLINK_TIER_PLATFORM_SOUP_PLATFORM_H_
#define SHELFLINK_TIER_PLATFORM_SOUP_PLATFORM_H_

#include <chrono>
#include <cstddef>
#include <memory>

#include "net/address.h"
#include "tier/platform/platform.h"

namespace shelflink::platform {

constexpr std::size_t kLargestAnswer = 16U << 20;
constexpr unsigned kMostConnections = 8;  // Four silent calls for the list leave room for others.
constexpr std::chrono::milliseconds kCallTimeout{1000};

class SoupPlatform : public Platform {
 public:
  explicit SoupPlatform(const net::Address& address,
                        std::chrono::milliseconds least_timeout = kCallTimeout);
  ~SoupPlatform() override;
  SoupPlatform(const SoupPlatform&) = delete;
  SoupPlatform& operator=(const SoupPlatform&) = delete;

  void List(const ListRequest& request, ListDone done) override;
  void ReportUsage(const UsageReport& report, const DutyHolder& holder, DutyDone done) override;
  void Scale(const ScaleOrder& order, const DutyHolder& holder, DutyDone done) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::platform

#endif  // SHELFLINK_TIER_PLATFORM_SOUP_PLATFORM_H_
