#include "fleet/fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "sidecar/mutant.h"

namespace fleet {

using coordination::Done;
using coordination::Entry;
using coordination::Fate;
using coordination::Txn;
using maintenance::BadOrder;
using maintenance::Duty;
using maintenance::Order;
using maintenance::Part;
using maintenance::State;
using Json = nlohmann::json;

namespace {

constexpr auto kTick = std::chrono::milliseconds(100);
// An owner's call, to its end; it acts only while it owns the work for as long. Never over a
// quarter of a lease, so that one that has just been renewed holds for it.
constexpr Micros kMostCallSpan = 1'000'000;
// At the least: a front that asks for its health now and then has noticed by then, and nobody comes
// any more.
constexpr Micros kLeastOut = 1'000'000;
// For what it holds when its turn comes; clients are waited for no longer, as at SIGTERM.
constexpr Micros kDrainSpan = 30'000'000;

// A lease's margin is a tenth of it; a claim for a free key is drawn over a tenth of a second, so
// that a hundred candidates come one a millisecond and most of them see that it is taken.
ownership::Terms TermsOf(std::string name, Micros ttl, std::uint64_t seed) {
  ownership::Terms terms;
  terms.name = std::move(name);
  terms.ttl = ttl;
  terms.margin = ttl / 10;
  terms.answer_within = Fleet::CallSpan(ttl);
  terms.spread = 100'000;
  terms.look_every =
      10 * ttl;  // The view tells of its end, and reads anew where it may have missed it.
  terms.seed = seed;
  return terms;
}

std::vector<std::string> NamesOf(const std::set<std::string>& names) {
  return {names.begin(), names.end()};
}

}  // namespace

std::string TextOf(const Member& m) {
  return Json{{"name", m.name},   {"address", m.address}, {"door", m.door},
              {"group", m.group}, {"build", m.build},     {"start", m.start}}
      .dump();
}

Member ParseMember(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) throw std::runtime_error("expected a JSON object");
  Member m;
  const auto read = [&](const char* name, std::string& field) {
    const auto it = json.find(name);
    if (it == json.end() || !it->is_string()) {
      throw std::runtime_error(std::string(name) + ": expected a word");
    }
    field = it->get<std::string>();
  };
  read("name", m.name);
  read("address", m.address);
  read("door", m.door);
  read("group", m.group);
  read("build", m.build);
  read("start", m.start);
  return m;
}

Micros Fleet::CallSpan(Micros ttl) { return std::min(kMostCallSpan, ttl / 4); }

Fleet::Fleet(net::Loop& loop, kelpspring::Log& log, Setup setup,
             std::unique_ptr<coordination::Store> store, Hands hands)
    : loop_(loop),
      log_(log),
      setup_(std::move(setup)),
      hands_(std::move(hands)),
      keys_{"/shelflink/" + setup_.fleet + '/'},
      store_(std::move(store)),
      view_(loop, *store_, coordination::Prefix(keys_.prefix), setup_.seed ^ 1,
            [this] { OnView(); }),
      membership_(loop, *store_, view_, keys_.Member(setup_.self.name),
                  TermsOf(TextOf(setup_.self), setup_.ttl, setup_.seed ^ 2),
                  [this](bool owns) {
                    log_.Trace([&] { return std::string(owns ? "member" : "no member"); });
                  }),
      work_(loop, *store_, view_, keys_.Work(),
            TermsOf(setup_.self.name + ' ' + setup_.self.start, setup_.ttl, setup_.seed ^ 3),
            [this](bool owns) {
              log_.Line(owns ? "owns maintenance, fence " + std::to_string(work_.fence())
                             : "owns maintenance no more");
              log_.Trace([&] {
                return std::string(owns ? "won " : "lost ") + std::to_string(work_.fence());
              });
              if (owns) tick_->ArmAt(loop_.Now());
            }),
      poster_(loop),
      duty_(setup_.self.start, setup_.fence),
      tick_(loop.NewTimer([this] { Tick(); })) {}

Fleet::~Fleet() = default;

void Fleet::Leave(std::function<void()> done) {
  if (std::exchange(leaving_, true)) return;
  const auto left = std::make_shared<int>(2);
  const auto one = [left, done = std::move(done)] {
    if (--*left == 0) done();
  };
  work_.Leave(one);
  membership_.Leave(one);
}

// ---- What stands in the store ----

void Fleet::OnView() {
  CountMembers();
  if (const Entry* work = view_.Find(keys_.Work())) duty_.OnOwner(work->created);
  if (const Standing* standing = TheOrder()) {
    Look(*standing);
  } else {
    Take(duty_.OnPart({}, std::nullopt), {});
  }
  KeepFence();
  membership_.OnView();
  work_.OnView();
}

void Fleet::KeepFence() {
  if (duty_.seen() <= std::max(kept_, setup_.fence)) return;
  kept_ = duty_.seen();
  if (hands_.on_fence) hands_.on_fence(kept_);
}

void Fleet::CountMembers() {
  std::set<std::string> members;
  for (const auto& [name, entry] : view_.Under(keys_.Members())) members.insert(name);
  // Those that stood there before it looked have not joined.
  if (std::exchange(counted_, true)) {
    for (const auto& name : members) joins_ += members_.count(name) == 0 ? 1 : 0;
    for (const auto& name : members_) leaves_ += members.count(name) == 0 ? 1 : 0;
  }
  members_ = std::move(members);
}

// Read once for each revision: an order may name thousands.
const Fleet::Standing* Fleet::TheOrder() {
  const Entry* entry = view_.Find(keys_.TheOrder());
  if (entry == nullptr) return nullptr;
  if (std::exchange(order_read_, entry->modified) != entry->modified) {
    try {
      order_ = Standing{maintenance::ParseOrder(entry->value), entry->modified};
    } catch (const BadOrder& e) {
      order_.reset();
      log_.Line("the order in the store: " + std::string(e.what()));
    }
  }
  return order_ ? &*order_ : nullptr;
}

std::optional<Part> Fleet::PartOf(const std::string& key) const {
  const Entry* entry = view_.Find(key);
  if (entry == nullptr) return std::nullopt;
  try {
    return maintenance::ParsePart(entry->value);
  } catch (const BadOrder&) {
    return std::nullopt;
  }
}

std::string Fleet::OwnKey(const Standing& standing) const {
  return keys_.PartOf(standing.order.id, setup_.self.name);
}

std::optional<Part> Fleet::OwnPart(const Standing& standing) const {
  return PartOf(OwnKey(standing));
}

// ---- Its own turn ----

Answer Fleet::OnCall(const std::string& text) {
  maintenance::Call call;
  try {
    call = maintenance::ParseCall(text);
  } catch (const BadOrder& e) {
    return {400, std::string(e.what()) + '\n'};
  }
  if (leaving_) return {409, "leaving\n"};
  if (kelpspring::Mutated(kelpspring::Mutant::kObeyLate)) duty_ = Duty(setup_.self.start);
  const auto verdict = duty_.OnCall(call);
  if (verdict != Duty::Verdict::kTakeUp) {
    if (verdict == Duty::Verdict::kLate) {
      ++late_calls_;
      log_.Trace([&] {
        return "refused_late " + std::to_string(call.fence) + " of " + std::to_string(duty_.seen());
      });
    }
    return {409, std::string(Duty::WordOf(verdict)) + '\n'};
  }
  Txn txn = maintenance::TakePart(keys_, setup_.self.name, setup_.self.start, call);
  if (kelpspring::Mutated(kelpspring::Mutant::kNoSlots)) txn.compares.pop_back();
  if (kelpspring::Mutated(kelpspring::Mutant::kObeyLate)) {
    txn.compares.erase(txn.compares.begin());
  }
  store_->Commit(txn, [this, call, alive = std::weak_ptr<bool>(alive_)](
                          const coordination::Answer<Done>& answer) {
    if (alive.expired()) return;
    const bool succeeded = answer.done() && answer.value.succeeded;
    // Who owns the work now, where it is not the caller.
    if (answer.done() && !succeeded && !answer.value.found.empty() &&
        !answer.value.found.front().empty()) {
      duty_.OnOwner(answer.value.found.front().front().created);
    }
    if (!succeeded && answer.done()) {
      log_.Trace([&] { return "refused_by_store " + std::to_string(call.fence); });
    }
    duty_.OnTaken(call, succeeded);
    KeepFence();
  });
  return {202, "taken up\n"};
}

void Fleet::Take(Duty::Step step, const Standing& standing) {
  switch (step) {
    case Duty::Step::kNothing:
      return;
    case Duty::Step::kGoOut:
      drained_ = hands_.drain();
      out_since_ = Now();
      TraceOut(standing);
      return tick_->ArmAt(loop_.Now() + kTick);
    case Duty::Step::kBringBack:
      GoOn();
      return BringBack(standing);
    case Duty::Step::kServe:
      return GoOn();
  }
}

// With the revision at which the store noted it: that says who owned the work then.
void Fleet::TraceOut(const Standing& standing) const {
  const Entry* entry = view_.Find(OwnKey(standing));
  const auto part = OwnPart(standing);
  if (entry == nullptr || !part) return;
  log_.Trace([&] {
    return "out " + std::to_string(entry->created) + ' ' + std::to_string(part->fence) + ' ' +
           standing.order.id;
  });
}

void Fleet::GoOn() {
  if (std::exchange(drained_, false)) hands_.undrain();
}

void Fleet::BringBack(const Standing& standing) {
  const Entry* entry = view_.Find(OwnKey(standing));
  const auto part = OwnPart(standing);
  if (!part || part->back || std::exchange(bringing_, true)) return;
  tick_->ArmAt(loop_.Now() + kTick);
  log_.Trace([&] { return "back " + std::to_string(part->fence) + ' ' + standing.order.id; });
  store_->Commit(
      maintenance::BringBack(keys_, setup_.self.name, standing.order.id, *part, entry->modified),
      [this, alive = std::weak_ptr<bool>(alive_)](const auto&) {
        // Whether it went well shows in the view; until then it is tried again.
        if (!alive.expired()) bringing_ = false;
      });
}

void Fleet::LookDrained(const Standing& standing) {
  const Micros out_for = Now() - out_since_;
  if (!duty_.out() || out_for < kLeastOut) return;
  if (hands_.held() > 0 && out_for < kDrainSpan) return;
  const auto part = OwnPart(standing);
  const bool own = part && part->start == setup_.self.start;
  if (standing.order.what == maintenance::What::kRestart && own) {
    if (!leaving_) hands_.leave();
    return;
  }
  Take(duty_.OnDrained(), standing);
}

// ---- The owner's part ----

// For as long as one call takes.
bool Fleet::MayAct() const {
  const bool once = kelpspring::Mutated(kelpspring::Mutant::kActLate) && work_.fence() > 0;
  return once || work_.Owns(CallSpan(setup_.ttl));
}

void Fleet::Plan(const Standing& standing) {
  maintenance::Turn::Seen seen;
  seen.order = standing.order;
  for (const std::string& name : standing.order.members) {
    if (const auto part = PartOf(keys_.PartOf(standing.order.id, name))) {
      seen.parts.emplace(name, *part);
    }
  }
  seen.present = members_;
  const auto say = turn_.Plan(Now(), seen);
  for (const auto& to : say.calls) CallMember(standing, to);
  if (say.end) EndOrder(standing, *say.end, say.why);
}

void Fleet::CallMember(const Standing& standing, const maintenance::Turn::Say::ToCall& to) {
  const Entry* entry = view_.Find(keys_.Member(to.member));
  if (entry == nullptr || !MayAct()) return;
  std::optional<net::Address> door;
  try {
    door = net::Address::Parse(ParseMember(entry->value).door);
  } catch (const std::exception& e) {
    return log_.Line("the record of " + to.member + ": " + e.what());
  }
  if (!door) return log_.Line("the record of " + to.member + ": door: expected an address");
  log_.Trace([&] {
    return "act " + std::to_string(work_.fence()) + ' ' + standing.order.id + ' ' + to.member;
  });
  const maintenance::Call call{standing.order.id, standing.revision, work_.fence(), to.slot};
  poster_.Post(*door, "/turn", maintenance::TextOf(call),
               std::chrono::microseconds(CallSpan(setup_.ttl)),
               [this, member = to.member, alive = std::weak_ptr<bool>(alive_)](
                   int status, const std::string& text) {
                 if (alive.expired() || status == 202) return;
                 log_.Line(member + " is not called: " + std::to_string(status) + ' ' +
                           text.substr(0, text.find('\n')));
               });
}

void Fleet::EndOrder(const Standing& standing, State state, const std::string& why) {
  if (std::exchange(ending_, true)) return;
  Order order = standing.order;
  order.state = state;
  order.why = why;
  log_.Line("order " + order.id + ": " + WordOf(state) + (why.empty() ? "" : ": " + why));
  store_->Commit(maintenance::EndOrder(keys_, order, standing.revision, work_.fence()),
                 [this, alive = std::weak_ptr<bool>(alive_)](const auto&) {
                   if (!alive.expired()) ending_ = false;
                 });
}

void Fleet::Tick() {
  const Standing* standing = TheOrder();
  if (standing == nullptr) return;
  if (duty_.out()) LookDrained(*standing);
  Look(*standing);
}

// Its own turn, the owner's part, and again in a while where there is something to look at.
void Fleet::Look(const Standing& standing) {
  Take(duty_.OnPart(standing.order.id, OwnPart(standing)), standing);
  if (MayAct()) Plan(standing);
  if (duty_.out() || (work_.Owns() && standing.order.open())) {
    tick_->ArmAt(loop_.Now() + kTick);
  }
}

// ---- Operators ----

bool Fleet::SomebodyOut(const Standing& standing) const {
  return std::any_of(standing.order.members.begin(), standing.order.members.end(),
                     [&](const std::string& name) {
                       const auto part = PartOf(keys_.PartOf(standing.order.id, name));
                       return part && !part->back && members_.count(name) != 0;
                     });
}

void Fleet::Begin(const std::string& wish, Answered answered) {
  const auto answer = [&](int status, const std::string& text) { answered({status, text + '\n'}); };
  if (!view_.known()) return answer(503, "the store has not been read yet");
  Order order;
  try {
    order = maintenance::ParseWish(wish, NamesOf(members_));
  } catch (const BadOrder& e) {
    return answer(400, e.what());
  }
  const Entry* entry = view_.Find(keys_.TheOrder());
  const Standing* standing = TheOrder();
  if (standing != nullptr && standing->order.open()) {
    return answer(409, "order " + standing->order.id + " is " + WordOf(standing->order.state));
  }
  if (standing != nullptr && SomebodyOut(*standing)) {
    return answer(409, "order " + standing->order.id + ": somebody is still out");
  }
  const coordination::Revision seen = entry == nullptr ? 0 : entry->modified;
  // Each order stands in the place of another revision: so no two have the same name.
  order.id = "o" + std::to_string(seen);
  Replace(order,
          maintenance::BeginOrder(keys_, order, seen,
                                  standing != nullptr ? standing->order.id : std::string()),
          std::move(answered));
}

void Fleet::Change(State state, Answered answered) {
  const Standing* standing = TheOrder();
  const auto answer = [&](int status, const std::string& text) { answered({status, text + '\n'}); };
  if (standing == nullptr || !standing->order.open()) return answer(409, "no order is open");
  if (standing->order.state == state) return answer(200, standing->order.id);
  Order order = standing->order;
  order.state = state;
  Replace(order, maintenance::ChangeOrder(keys_, order, standing->revision), std::move(answered));
}

void Fleet::Replace(const Order& order, const Txn& txn, Answered answered) {
  log_.Line("order " + order.id + ": " + WordOf(order.state) + ", as an operator asked");
  store_->Commit(txn, [id = order.id,
                       answered = std::move(answered)](const coordination::Answer<Done>& answer) {
    if (answer.fate == Fate::kUnknown) {
      return answered({504, "it is not known whether this was done: look at /fleet\n"});
    }
    if (!answer.done()) return answered({503, answer.why + '\n'});
    if (!answer.value.succeeded) return answered({409, "another order came first\n"});
    answered({200, id + '\n'});
  });
}

Counts Fleet::counts() const {
  const auto& calls = store_->counts();
  return {members_.size(), joins_,        leaves_,       late_calls_,
          calls.done,      calls.refused, calls.unknown, work_.Owns()};
}

std::string Fleet::Status() const {
  Json members = Json::array();
  for (const std::string& name : members_) {
    const Entry* entry = view_.Find(keys_.Member(name));
    Json record = entry == nullptr ? Json() : Json::parse(entry->value, nullptr, false);
    members.push_back(record.is_object() ? record : Json{{"name", name}});
  }
  Json json = {{"fleet", setup_.fleet},
               {"members", members},
               {"joins", joins_},
               {"leaves", leaves_},
               {"known", view_.known()},
               {"following", view_.following()},
               {"store_went_back", view_.went_back()},
               {"owns", work_.Owns()},
               {"late_calls", late_calls_}};
  if (const Entry* work = view_.Find(keys_.Work())) {
    json["owner"] = {{"name", work->value}, {"fence", work->created}};
  }
  if (const Entry* entry = view_.Find(keys_.TheOrder())) {
    json["order"] = Json::parse(entry->value, nullptr, false);
    const std::string id = json["order"].is_object() ? json["order"].value("id", "") : "";
    json["parts"] = Json::object();
    for (const auto& [name, part] : view_.Under(keys_.Parts(id))) {
      json["parts"][name] = Json::parse(part->value, nullptr, false);
    }
  }
  return json.dump(1, ' ', false, Json::error_handler_t::replace) + '\n';
}

}  // namespace fleet
