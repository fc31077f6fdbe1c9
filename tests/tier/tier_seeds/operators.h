// Two operators who change, read back and repeat configurations at any core process while answers
// get lost; and what they hold the tier to.
//
// - What was acknowledged is never refused when it is repeated, and stays in force or before what
// is.
// - One document a version, and of all orders on one version at most one is acknowledged.
// - What was refused comes into force nowhere; what is invalid is not acknowledged.
// - A configuration that is read is no older than the newest one acknowledged before the question.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_OPERATORS_H_
#define SHELFLINK_TESTS_TIER_SEEDS_OPERATORS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "net/virtual.h"
#include "tier/configuration/book.h"
#include "tier/operator_api/requests.h"
#include "tier_seeds/deployment.h"
#include "tier_seeds/journal.h"
#include "tier_seeds/machines.h"

namespace shelflink::tier_seeds {

enum class OrderState { kOpen, kAcknowledged, kRefused };

struct ConfigurationOrder {
  std::string tag;
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  configuration::ChangeMethod method = configuration::ChangeMethod::kPut;
  std::string body;
  bool valid = true;
  bool timely = true;  // Built on the newest version that its operator knew to be in force.
  OrderState state = OrderState::kOpen;
  bool seen = false;  // It was in force at some time, as somebody outside saw.
};

class Operators {
 public:
  using Cores = std::vector<std::unique_ptr<CoreMachine>>;
  // What came of a call; none: silence.
  using Answered = std::function<void(std::optional<int> status, const std::string& body)>;

  Operators(net::VirtualNet& net, Journal& journal, Cores& cores, const Deployment& deployment);

  // Until then.
  void Start(net::Time until);
  // Share of orders and of answers that are lost.
  void SetLosses(double share) { losses_ = share; }
  // One change that has to be acknowledged by then, with all calm.
  void ChangeInCalm(net::Time until);
  // Asks that the store be emptied, until it is answered, then for how that goes. `emptied` is
  // called once it is complete; never after a refusal.
  void Retire(const std::string& node, const std::function<void()>& emptied);
  // Reads back, judges what was seen in the whole day.
  void ReadBack(net::Time until);
  void JudgeHistory();

  // Somebody outside saw this configuration in force.
  void SawInForce(const std::string& tag, const std::string& where);
  const ConfigurationOrder* OrderOf(const std::string& tag) const;
  // The orders sent last, newest first.
  std::vector<const ConfigurationOrder*> Recent(std::size_t count) const;
  const ConfigurationOrder* NewestAcknowledged() const;
  // Called as a core process acknowledges a change; the answer is on its way then.
  std::function<void()> on_acknowledged;

 private:
  struct Flow {  // One thing after the other.
    std::size_t number = 0;
    std::uint32_t host = 0;
    net::Time until{};
  };
  using Order = std::shared_ptr<ConfigurationOrder>;
  // One try at a core process.
  struct Try {
    CoreMachine& core;
    std::uint32_t from = 0;  // Host of the operator.
    net::Span way{};         // How long it takes there, and back.
    bool answer_lost = false;
    Answered tell;
  };

  void Next(Flow& flow);
  void After(net::Span span, std::function<void()> step);
  Order DrawOrder();
  void SendUntilDecided(Flow& flow, const Order& order, net::Time give_up, int attempt,
                        const std::function<void()>& done);
  void Read(Flow& flow, net::Time give_up, int attempt, const std::function<void(bool)>& done);
  // Again and again until it is answered with 200 and `is_done` of the body; refused: never told.
  void AskAboutStore(const std::string& method, const std::string& node,
                     const std::function<bool(const std::string& body)>& is_done,
                     const std::function<void()>& done);
  void Call(const Flow& flow, const operator_api::HttpRequest& request, const Answered& answered);
  void Execute(const Try& sent, const operator_api::Order& order);
  void Decided(const Order& order, int status);
  void Acknowledged(const Order& order);
  void Refused(const Order& order, int status);
  bool MayBeRefused(const ConfigurationOrder& order) const;
  void TookDocument(const std::string& document, std::uint64_t least);
  std::string Name(const ConfigurationOrder& order) const;

  net::VirtualNet& net_;
  Journal& journal_;
  Cores& cores_;
  shelflab::Random random_;
  std::chrono::milliseconds change_pause_;
  double losses_ = 0;
  std::deque<Flow> flows_;
  std::vector<Order> orders_;
  std::uint64_t known_version_ = 0;  // Acknowledged or read.
  std::set<std::string> emptying_;   // Stores whose retirement was acknowledged and goes on.
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_OPERATORS_H_
