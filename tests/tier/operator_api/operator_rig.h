// The core as it runs (groups over crash-faithful disks, the cluster's services, forwarders) with
// proxies' agents on the virtual network, and operators that send orders to any core process.
#ifndef SHELFLINK_TESTS_TIER_OPERATOR_API_OPERATOR_RIG_H_
#define SHELFLINK_TESTS_TIER_OPERATOR_API_OPERATOR_RIG_H_

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/group_rig.h"
#include "emulator/random.h"
#include "operator_api/confirmed_order.h"
#include "operator_api/order_history.h"
#include "tier/operator_api/forwarder.h"

namespace shelflink::operator_api {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kCoreCount = 4;  // Fault tolerance 1.
constexpr std::size_t kProxyCount = 4;
constexpr std::uint32_t kOperatorHosts = 0x0a090001;
constexpr milliseconds kLease{1000};  // The primary's lease in the rig's settings.

class OperatorCore : public cluster::GroupCore {
 public:
  OperatorCore(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings,
               cluster::PlatformWorld& platform, OrderHistory& history)
      : GroupCore(net, host, std::move(settings), platform), history_(history) {}
  ~OperatorCore() override { Stop(); }

  Forwarder& forwarder() { return *forwarder_; }

 protected:
  void Open() override {
    GroupCore::Open();
    forwarder_ = std::make_unique<Forwarder>(*process_, *hub_, service(), Forwarder::Options{});
    service().WatchConfiguration([this](const auto&) {
      const auto current = configuration::CurrentConfiguration(group().contents());
      history_.Committed(process_->Now(), current->version, current->document);
    });
  }
  void Close() override {
    forwarder_.reset();
    GroupCore::Close();
  }

 private:
  OrderHistory& history_;
  std::unique_ptr<Forwarder> forwarder_;
};

class OperatorRig {
 public:
  explicit OperatorRig(std::uint64_t seed) : rig_(kCoreCount, kProxyCount, 0, seed) {
    for (const auto& core : rig_.cores) {
      cores.push_back(std::make_unique<OperatorCore>(rig_.net, core->host(), core->settings(),
                                                     rig_.platform, history));
    }
    for (auto& core : cores) core->Start();
    for (auto& proxy : rig_.proxies) proxy->Start();
    BOOST_REQUIRE(RunUntil([&] { return AllFollowOnePrimary(); }, seconds(5)));
    Run(seconds(2));
  }
  ~OperatorRig() { cores.clear(); }

  net::VirtualNet& net() { return rig_.net; }
  net::Time Now() const { return rig_.net.Now(); }
  std::vector<std::unique_ptr<cluster::RigAgent>>& proxies() { return rig_.proxies; }
  void Run(net::Span span) { rig_.Run(span); }
  template <typename Condition>
  bool RunUntil(Condition condition, net::Span within) {
    return rig_.RunUntil(condition, within);
  }

  OperatorCore* Primary() {
    for (auto& core : cores) {
      if (core->up() && core->service().is_primary()) return core.get();
    }
    return nullptr;
  }
  bool AllFollowOnePrimary() {
    const OperatorCore* primary = Primary();
    return primary != nullptr &&
           std::all_of(rig_.proxies.begin(), rig_.proxies.end(), [&](const auto& proxy) {
             return proxy->agent().in_touch() && proxy->agent().primary() == primary->address();
           });
  }
  bool AllHave(std::uint64_t version) { return rig_.AllHave(version); }
  bool AnySteppedBack() const {
    return std::any_of(rig_.proxies.begin(), rig_.proxies.end(),
                       [](const auto& proxy) { return proxy->stepped_back; });
  }

  // Sends one order from `from_host` to a core process; the history judges every answer, also one
  // that is lost on its way. `told` is called with the status of an answer that arrives. The sender
  // follows a redirect while `waits` returns true; where `waits` is empty, always.
  void Send(std::uint32_t from_host, OperatorCore& core, const SentOrder& sent,
            std::function<void(int)> told, std::function<bool()> waits = nullptr) {
    SendCopy(from_host, core, sent, sent.order, {std::move(told), std::move(waits)});
  }
  void SendRead(std::uint32_t from_host, OperatorCore& core, std::function<void(int)> told) {
    const std::uint64_t least = history.least_readable();
    const net::Time sent_at = Now();
    const Order read = ReadConfigurationOrder{};
    Execute(from_host, core, read,
            [this, least, sent_at, read, told = std::move(told)](const Result<Answer>& result,
                                                                 bool arrives) {
              const HttpAnswer answer = HttpAnswerOf(read, result);
              history.Read(least, sent_at, answer.status, answer.body);
              if (arrives && told) told(answer.status);
            });
  }

  // A valid PUT or PATCH of that version; `note` makes its document differ from others with the
  // same version.
  SentOrder& NewPut(std::uint64_t base, std::uint64_t version, const std::string& note) {
    std::string body = cluster::RigConfiguration(version);
    body.replace(body.size() - 1, 1, R"(,"note":")" + note + "\"}");
    return history.NewOrder({configuration::ChangeMethod::kPut, base, body}, version, true);
  }
  SentOrder& NewPatch(std::uint64_t base, std::uint64_t version, const std::string& note) {
    const std::string body = R"({"configVersion":)" + std::to_string(version) +
                             R"(,"upsert":{"services":[{"name":"other","healthPath":"/)" + note +
                             R"("}]}})";
    return history.NewOrder({configuration::ChangeMethod::kPatch, base, body}, version, true);
  }

  OrderHistory history;
  std::vector<std::unique_ptr<OperatorCore>> cores;

 private:
  struct Sender {
    std::function<void(int)> told;
    std::function<bool()> waits;
  };

  void SendCopy(std::uint32_t from_host, OperatorCore& core, const SentOrder& sent,
                const Order& order, Sender sender) {
    const net::Time sent_at = Now();
    Execute(from_host, core, order,
            [this, from_host, &core, &sent, order, sent_at, sender = std::move(sender)](
                const Result<Answer>& result, bool arrives) {
              const int status = HttpAnswerOf(order, result).status;
              history.Answered(sent, sent_at, Now(), status);
              if (!arrives) return;
              const std::optional<Order> confirmed = ConfirmedOrder(order, result);
              if (confirmed) {
                if (!sender.waits || sender.waits()) {
                  SendCopy(from_host, core, sent, *confirmed, sender);
                }
              } else if (sender.told) {
                sender.told(status);
              }
            });
  }

  template <typename Answered>
  void Execute(std::uint32_t from_host, OperatorCore& core, Order order, Answered answered) {
    if (!core.up() || !net().Reaches(from_host, core.host())) return;
    // A paused process executes the order when it is resumed, as if it read its socket then.
    core.process().Post([this, from_host, &core, order = std::move(order),
                         answered = std::move(answered)]() mutable {
      core.forwarder().Execute(
          Now(), std::move(order),
          [this, from_host, &core, answered = std::move(answered)](const Result<Answer>& result) {
            answered(result, net().Reaches(core.host(), from_host));
          });
    });
  }

  cluster::Rig rig_;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TESTS_TIER_OPERATOR_API_OPERATOR_RIG_H_
