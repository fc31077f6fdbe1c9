#include "tier_seeds/operators.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "operator_api/confirmed_order.h"
#include "tier/operator_api/requests.h"
#include "tier_seeds/configurations.h"

namespace shelflink::tier_seeds {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kOperatorStream = 4;
constexpr std::size_t kFlows = 3;
constexpr milliseconds kPatience{1000};
constexpr milliseconds kGivesUp{7000};
constexpr milliseconds kLongestPause{800};
constexpr milliseconds kRetirementPause{300};
constexpr std::string_view kRetirement = R"({"deadlineS":20})";
constexpr std::size_t kBigDocument = 100'000;

bool IsRefusal(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 429;
}

}  // namespace

Operators::Operators(net::VirtualNet& net, Journal& journal, Cores& cores,
                     const Deployment& deployment)
    : net_(net),
      journal_(journal),
      cores_(cores),
      random_(deployment.seed, kOperatorStream),
      change_pause_(deployment.change_pause) {
  for (std::size_t number = 0; number < kFlows; ++number) {
    flows_.push_back({number, kFirstOperator + static_cast<std::uint32_t>(number % 2), {}});
  }
}

void Operators::After(net::Span span, std::function<void()> step) {
  net_.At(net_.Now() + span, std::move(step));
}

void Operators::Start(net::Time until) {
  // The first configuration is sent until it is taken; the rest follows.
  Flow& first = flows_[0];
  first.until = until;
  const Order order = DrawOrder();
  order->method = configuration::ChangeMethod::kPut;
  order->body = WholeConfiguration({order->version, order->tag, false, 0});
  order->valid = true;
  SendUntilDecided(first, order, until, 0, [this, until] {
    for (Flow& flow : flows_) {
      flow.until = until;
      Next(flow);
    }
  });
}

void Operators::Next(Flow& flow) {
  if (net_.Now() >= flow.until) return;
  const std::uint64_t longest = static_cast<std::uint64_t>(change_pause_.count());
  const milliseconds pause(50 + random_.Below(random_.Chance(0.3) ? 100 : longest));
  After(pause, [this, &flow] {
    if (net_.Now() >= flow.until) return;
    const auto next = [this, &flow] { Next(flow); };
    const double draw = random_.Unit();
    if (draw < 0.2) return Read(flow, net_.Now() + kGivesUp, 0, [next](bool) { next(); });
    if (draw < 0.4) {
      const Order& old =
          orders_[orders_.size() - 1 - random_.Below(std::min<std::size_t>(orders_.size(), 6))];
      journal_.Count("orders repeated");
      return SendUntilDecided(flow, old, net_.Now() + kPatience * 2, 0, next);
    }
    SendUntilDecided(flow, DrawOrder(), net_.Now() + kGivesUp, 0, next);
  });
}

Operators::Order Operators::DrawOrder() {
  auto order = std::make_shared<ConfigurationOrder>();
  order->tag = "t" + std::to_string(orders_.size() + 1);
  order->base = known_version_;
  if (random_.Chance(0.05) && orders_.size() > 2)
    order->base = orders_[orders_.size() / 2]->version;
  order->timely = order->base == known_version_;
  order->version = known_version_ + 1 + random_.Below(3);
  ConfigurationDraft draft{order->version, order->tag, random_.Chance(0.5), 0};
  if (random_.Chance(0.05)) draft.padding = kBigDocument;
  if (known_version_ > 0 && random_.Chance(0.08)) {
    order->valid = false;
    order->body = InvalidConfiguration(draft, random_.Below(kWaysToBeInvalid));
  } else if (known_version_ > 0 && random_.Chance(0.4)) {
    order->method = configuration::ChangeMethod::kPatch;
    order->body = PatchOfMarker(draft);
  } else {
    order->body = WholeConfiguration(draft);
  }
  orders_.push_back(order);
  journal_.Count("orders");
  return order;
}

// Until there is a clear answer or the operator gives up; what it came to may then never be known.
void Operators::SendUntilDecided(Flow& flow, const Order& order, net::Time give_up, int attempt,
                                 const std::function<void()>& done) {
  const bool patches = order->method == configuration::ChangeMethod::kPatch;
  const std::string base = std::to_string(order->base);
  operator_api::HttpRequest request;
  request.method = patches ? "PATCH" : "PUT";
  request.path = "/config";
  request.if_match = base;
  request.body = order->body;
  journal_.Note([&] { return "operator sends " + Name(*order); });
  Call(flow, request,
       [this, &flow, order, give_up, attempt, done](std::optional<int> status, const std::string&) {
         if (status && (*status == 200 || IsRefusal(*status))) {
           Decided(order, *status);
           return done();
         }
         if (net_.Now() >= give_up) return done();
         const milliseconds pause =
             std::min(kLongestPause, milliseconds(30) * (1 << std::min(attempt, 5)));
         After(pause, [this, &flow, order, give_up, attempt, done] {
           SendUntilDecided(flow, order, give_up, attempt + 1, done);
         });
       });
}

void Operators::Read(Flow& flow, net::Time give_up, int attempt,
                     const std::function<void(bool)>& done) {
  operator_api::HttpRequest request;
  request.method = "GET";
  request.path = "/config";
  const ConfigurationOrder* newest = NewestAcknowledged();
  const std::uint64_t least = newest == nullptr ? 0 : newest->version;
  Call(flow, request,
       [this, &flow, give_up, attempt, done, least](std::optional<int> status,
                                                    const std::string& body) {
         if (status && *status == 200) {
           TookDocument(body, least);
           return done(true);
         }
         if (status && IsRefusal(*status) && least > 0) {
           journal_.Report("CONFIG", "a read is answered " + std::to_string(*status) +
                                         " after version " + std::to_string(least) +
                                         " was acknowledged");
         }
         if (net_.Now() >= give_up) return done(false);
         const milliseconds pause =
             std::min(kLongestPause, milliseconds(30) * (1 << std::min(attempt, 5)));
         After(pause,
               [this, &flow, give_up, attempt, done] { Read(flow, give_up, attempt + 1, done); });
       });
}

void Operators::Retire(const std::string& node, const std::function<void()>& emptied) {
  journal_.Note([&] { return "operator retires " + node; });
  AskAboutStore(
      "POST", node, [](const std::string&) { return true; },
      [this, node, emptied] {
        journal_.Count("retirements acknowledged");
        emptying_.insert(node);
        AskAboutStore(
            "GET", node,
            [](const std::string& body) { return body.find("completed") != std::string::npos; },
            [this, node, emptied] {
              emptying_.erase(node);
              emptied();
            });
      });
}

void Operators::AskAboutStore(const std::string& method, const std::string& node,
                              const std::function<bool(const std::string& body)>& is_done,
                              const std::function<void()>& done) {
  const bool asks = method == "POST";
  const std::string path = "/retire/" + node;
  operator_api::HttpRequest request;
  request.method = method;
  request.path = path;
  if (asks) request.body = kRetirement;
  Call(flows_.front(), request,
       [this, method, node, is_done, done, asks](std::optional<int> status,
                                                 const std::string& body) {
         if (status && *status == 200 && is_done(body)) return done();
         if (status && IsRefusal(*status)) {
           journal_.Count("retirements refused");
           if (!asks) {
             journal_.Report("RETIRE", node + ", whose retirement was acknowledged, is answered " +
                                           std::to_string(*status));
           }
           return;
         }
         After(kRetirementPause,
               [this, method, node, is_done, done] { AskAboutStore(method, node, is_done, done); });
       });
}

// One try at one core process, as over a connection of its own.
void Operators::Call(const Flow& flow, const operator_api::HttpRequest& request,
                     const Answered& answered) {
  CoreMachine& core = *cores_[random_.Below(cores_.size())];
  const auto decided = std::make_shared<bool>(false);
  const auto tell = [decided, answered](std::optional<int> status, const std::string& body) {
    if (!std::exchange(*decided, true)) answered(status, body);
  };
  After(kPatience, [tell] { tell(std::nullopt, ""); });
  const bool order_lost = random_.Chance(losses_);
  const bool answer_lost = random_.Chance(losses_);
  const net::Span way = std::chrono::microseconds(200 + random_.Below(30'000));
  auto parsed = operator_api::OrderOf(request);
  if (std::holds_alternative<operator_api::HttpAnswer>(parsed)) {
    const auto& answer = std::get<operator_api::HttpAnswer>(parsed);
    return After(way, [tell, status = answer.status] { tell(status, ""); });
  }
  const auto order = std::make_shared<operator_api::Order>(std::get<operator_api::Order>(parsed));
  const std::uint32_t from = flow.host;
  After(way, [this, &core, from, order, tell, order_lost, answer_lost, way] {
    if (order_lost || !net_.Reaches(from, core.host())) return;
    if (!core.up() || core.leaving()) return tell(operator_api::status::kServiceUnavailable, "");
    core.Deliver([this, &core, from, order, tell, answer_lost, way] {
      Execute({core, from, way, answer_lost, tell}, *order);
    });
  });
}

// As the core process that the try has reached; its caller follows a redirect.
void Operators::Execute(const Try& sent, const operator_api::Order& order) {
  sent.core.forwarder().Execute(
      net_.Now(), order, [this, sent, order](const Result<operator_api::Answer>& result) {
        const operator_api::HttpAnswer answer = operator_api::HttpAnswerOf(order, result);
        journal_.Note([&] {
          return sent.core.node() + " answers " + std::to_string(answer.status) + " " +
                 answer.body.substr(0, 120);
        });
        if (sent.answer_lost || !net_.Reaches(sent.core.host(), sent.from)) return;
        const bool changes = std::holds_alternative<configuration::ChangeOrder>(order);
        if (changes && answer.status == 200 && on_acknowledged) {
          net_.At(net_.Now(), on_acknowledged);
        }
        const auto confirmed = operator_api::ConfirmedOrder(order, result);
        if (confirmed) {
          journal_.Count("orders confirmed");
          After(2 * sent.way, [this, sent, confirmed] {
            if (!net_.Reaches(sent.from, sent.core.host()) || !sent.core.up()) return;
            sent.core.Deliver([this, sent, confirmed] { Execute(sent, *confirmed); });
          });
          return;
        }
        After(sent.way, [tell = sent.tell, answer] { tell(answer.status, answer.body); });
      });
}

std::string Operators::Name(const ConfigurationOrder& order) const {
  return order.tag + " (version " + std::to_string(order.version) + " on " +
         std::to_string(order.base) + ")";
}

void Operators::Decided(const Order& order, int status) {
  journal_.Note([&] { return Name(*order) + " is decided: " + std::to_string(status); });
  if (status == 200) {
    Acknowledged(order);
  } else {
    Refused(order, status);
  }
}

void Operators::Acknowledged(const Order& order) {
  if (!order->valid) journal_.Report("CONFIG", "invalid " + Name(*order) + " is acknowledged");
  if (order->state == OrderState::kRefused) {
    journal_.Report("CONFIG", Name(*order) + " is acknowledged after it was refused");
  }
  known_version_ = std::max(known_version_, order->version);
  if (order->state == OrderState::kAcknowledged) return;
  for (const Order& other : orders_) {
    if (other == order || other->state != OrderState::kAcknowledged) continue;
    if (other->version == order->version || other->base == order->base) {
      journal_.Report("CONFIG", Name(*order) + " and " + Name(*other) + " are both acknowledged");
    }
  }
  journal_.Count("orders acknowledged");
  order->state = OrderState::kAcknowledged;
  order->seen = true;
}

void Operators::Refused(const Order& order, int status) {
  if (order->state == OrderState::kAcknowledged || order->seen) {
    journal_.Report("CONFIG", Name(*order) + " was taken and is refused when repeated: " +
                                  std::to_string(status));
    return;
  }
  if (order->valid && !MayBeRefused(*order)) {
    journal_.Report("CONFIG", Name(*order) + " is refused with " + std::to_string(status) +
                                  " though nothing else can be in force");
  }
  journal_.Count("orders refused");
  order->state = OrderState::kRefused;
}

// Another order may have been taken since the version that it builds on.
bool Operators::MayBeRefused(const ConfigurationOrder& order) const {
  if (!order.timely) return true;
  return std::any_of(orders_.begin(), orders_.end(), [&](const Order& other) {
    return other->tag != order.tag && other->valid && other->state != OrderState::kRefused &&
           other->version > order.base;
  });
}

void Operators::TookDocument(const std::string& document, std::uint64_t least) {
  journal_.Count("configurations read");
  const auto tag = TagOf(document);
  const ConfigurationOrder* order = tag ? OrderOf(*tag) : nullptr;
  if (order == nullptr) {
    journal_.Report("CONFIG", "a document is read that nobody sent: " + document.substr(0, 200));
    return;
  }
  SawInForce(order->tag, "the core");
  if (order->version < least) {
    journal_.Report("CONFIG", Name(*order) + " is read after version " + std::to_string(least) +
                                  " was acknowledged");
  }
  known_version_ = std::max(known_version_, order->version);
}

void Operators::SawInForce(const std::string& tag, const std::string& where) {
  for (const Order& order : orders_) {
    if (order->tag != tag) continue;
    order->seen = true;
    if (order->state == OrderState::kRefused || !order->valid) {
      journal_.Report("CONFIG", Name(*order) + " was refused and is in force at " + where);
    }
  }
}

const ConfigurationOrder* Operators::OrderOf(const std::string& tag) const {
  for (const Order& order : orders_) {
    if (order->tag == tag) return order.get();
  }
  return nullptr;
}

std::vector<const ConfigurationOrder*> Operators::Recent(std::size_t count) const {
  std::vector<const ConfigurationOrder*> recent;
  for (auto at = orders_.rbegin(); at != orders_.rend() && recent.size() < count; ++at) {
    recent.push_back(at->get());
  }
  return recent;
}

const ConfigurationOrder* Operators::NewestAcknowledged() const {
  const ConfigurationOrder* newest = nullptr;
  for (const Order& order : orders_) {
    if (order->state != OrderState::kAcknowledged) continue;
    if (newest == nullptr || order->version > newest->version) newest = order.get();
  }
  return newest;
}

void Operators::ChangeInCalm(net::Time until) {
  Flow& flow = flows_[0];
  // What others left undecided is found by a read.
  Read(flow, until, 0, [this, &flow, until](bool was_read) {
    if (!was_read) {
      journal_.Report("RECOVER", "nothing could be read in the calm");
      return;
    }
    Order order;
    do {
      order = DrawOrder();
    } while (!order->valid || order->base != known_version_);
    SendUntilDecided(flow, order, until, 0, [this, order] {
      if (order->state == OrderState::kAcknowledged) return;
      journal_.Report("RECOVER", Name(*order) + " was not acknowledged in the calm");
    });
  });
}

void Operators::ReadBack(net::Time until) {
  Read(flows_[0], until, 0, [this](bool was_read) {
    if (!was_read) journal_.Report("CONFIG", "nothing could be read back");
  });
}

// One document a version; what others build on was taken.
void Operators::JudgeHistory() {
  for (const std::string& node : emptying_) {
    journal_.Report("RETIRE", node + " is not empty at the end of the calm");
  }
  for (const Order& order : orders_) {
    for (const Order& other : orders_) {
      if (other == order || !order->seen || !other->seen || order->version != other->version) {
        continue;
      }
      journal_.Report("CONFIG", Name(*order) + " and " + Name(*other) + " were both in force");
    }
    if (order->state != OrderState::kAcknowledged || order->base == 0) continue;
    const auto possible = std::count_if(orders_.begin(), orders_.end(), [&](const Order& other) {
      return other->version == order->base && other->valid && other->state != OrderState::kRefused;
    });
    if (possible == 0) {
      journal_.Report("CONFIG", Name(*order) + " builds on a version of which all were refused");
    }
  }
}

}  // namespace shelflink::tier_seeds
