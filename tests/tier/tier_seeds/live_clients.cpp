#include "tier_seeds/live_clients.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "tier_seeds/configurations.h"

namespace shelflink::tier_seeds {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kIngressStream = 5;
constexpr std::uint64_t kClientStream = 6;
constexpr milliseconds kReadyEvery{1000};
constexpr int kMissesToLeave = 2;
constexpr double kMeanPause = 0.022;  // Seconds between two clients.
constexpr double kLeastServed = 0.8;  // In the calm.
constexpr int kMostTakenUp = 4;
constexpr std::size_t kRecentOrders = 4;

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Events of a stream as its reader sees them; what is not a whole event is left out.
std::vector<std::pair<int, std::string>> EventsOf(const std::string& body) {
  std::vector<std::pair<int, std::string>> events;
  std::size_t at = 0;
  for (std::size_t end = body.find("\n\n"); end != std::string::npos;
       at = end + 2, end = body.find("\n\n", at)) {
    const std::string event = body.substr(at, end - at);
    const std::size_t line = event.find('\n');
    const bool formed = event.compare(0, 4, "id: ") == 0 && line != std::string::npos &&
                        event.compare(line + 1, 6, "data: ") == 0;
    if (formed) {
      events.emplace_back(std::atoi(event.c_str() + 4), event.substr(line + 7));
    } else {
      events.emplace_back(-1, event);
    }
  }
  return events;
}

}  // namespace

// ---- Ingress ----

Ingress::Ingress(HttpCallers& callers, const Proxies& proxies, std::uint64_t seed)
    : callers_(callers),
      proxies_(proxies),
      random_(seed, kIngressStream),
      states_(proxies.size()) {}

void Ingress::Start(net::VirtualNet& net, net::Time until) {
  for (std::size_t proxy = 0; proxy < proxies_.size(); ++proxy) Check(net, proxy, until);
}

void Ingress::Check(net::VirtualNet& net, std::size_t proxy, net::Time until) {
  if (net.Now() >= until) return;
  net.At(net.Now() + kReadyEvery, [this, &net, proxy, until] { Check(net, proxy, until); });
  const HttpRequestText request{"GET", "/ready", "x", "", ""};
  callers_.Ask(proxies_[proxy]->ready(), request, kReadyEvery,
               [this, proxy](const HttpOutcome& outcome) {
                 State& state = states_[proxy];
                 if (outcome.whole && outcome.status() == 200) {
                   state = {true, 0};
                 } else if (++state.missed >= kMissesToLeave) {
                   state.in = false;
                 }
               });
}

std::size_t Ingress::Pick() {
  std::vector<std::size_t> in;
  for (std::size_t proxy = 0; proxy < states_.size(); ++proxy) {
    if (states_[proxy].in) in.push_back(proxy);
  }
  if (in.size() * 2 < states_.size()) return random_.Below(states_.size());
  return in[random_.Below(in.size())];
}

// ---- Live requests ----

LiveClients::LiveClients(net::VirtualNet& net, Journal& journal, Ledger& ledger,
                         Operators& operators, const Proxies& proxies, Ingress& ingress,
                         HttpCallers& callers, const Deployment& deployment)
    : net_(net),
      journal_(journal),
      ledger_(ledger),
      operators_(operators),
      proxies_(proxies),
      ingress_(ingress),
      callers_(callers),
      deployment_(deployment),
      random_(deployment.seed, kClientStream),
      seen_(proxies.size()) {}

void LiveClients::Start(net::Time until) {
  Next(until);
  for (std::size_t proxy = 0; proxy < proxies_.size(); ++proxy) Probe(proxy, until);
}

void LiveClients::Next(net::Time until) {
  if (net_.Now() >= until) return;
  const auto pause = std::chrono::duration<double>(random_.Exponential(kMeanPause));
  net_.At(net_.Now() + std::chrono::duration_cast<net::Span>(pause) + std::chrono::microseconds(1),
          [this, until] {
            Begin();
            Next(until);
          });
}

void LiveClients::Begin() {
  if (random_.Chance(0.02)) return AskForbidden();
  const std::size_t proxy = ingress_.Pick();
  HttpConnection& connection = callers_.Dial(proxies_[proxy]->front());
  AskOn(connection, proxy, random_.Chance(0.4) ? static_cast<int>(random_.Below(5)) : 0);
}

AskedRequest LiveClients::DrawRequest() {
  AskedRequest asked;
  asked.method = "POST";
  const std::string number = std::to_string(ids_ + 1);
  const std::size_t length = random_.Chance(0.03) ? 60'000 : random_.Below(300);
  asked.body = number + ":" + std::string(length, 'q');
  switch (random_.Below(5)) {
    case 0:
    case 1:
      asked.target = "/get/" + number;
      break;
    case 2:
      asked.target = "/post/" + number;
      asked.once = true;
      asked.tenant = random_.Chance(0.5) ? kFirstTenant : kSecondTenant;
      break;
    case 3:
      asked.target = "/stream/" + number;
      asked.once = true;
      asked.events = true;
      asked.service = "svc-a";
      break;
    default:
      asked.target = "/resume/" + number;
      asked.events = true;
      asked.resumable = true;
      asked.service = "svc-b";
      break;
  }
  return asked;
}

LiveClients::Call LiveClients::NewCall(std::size_t proxy, const AskedRequest& asked) {
  Call call;
  call.id = "r" + std::to_string(++ids_);
  call.proxy = proxy;
  call.life = proxies_[proxy]->lives();
  call.sent = net_.Now();
  call.target = asked.target;
  call.counted = counting_;
  ledger_.Ask(call.id, asked);
  journal_.Count("requests");
  return call;
}

HttpRequestText LiveClients::TextFor(const Call& call, const AskedRequest& asked) {
  HttpRequestText text{asked.method, asked.target, kHostname, "", asked.body};
  text.headers = "Shelflink-Request-Id: " + call.id + "\r\nShelflink-Deadline-Ms: 3000\r\n";
  if (asked.tenant == kFirstTenant) {
    text.headers += std::string("Shelflink-Credential: ") + kFirstKey + "\r\n";
  } else if (asked.tenant == kSecondTenant) {
    text.headers += std::string("Shelflink-Credential: ") + kSecondKey + "\r\n";
  }
  if (call.events_before > 0) {
    text.headers += "Last-Event-Id: " + std::to_string(call.events_before) + "\r\n";
  }
  return text;
}

// A request, and `more` of them behind it where the connection stays.
void LiveClients::AskOn(HttpConnection& connection, std::size_t proxy, int more) {
  const AskedRequest asked = DrawRequest();
  const Call call = NewCall(proxy, asked);
  // Some clients leave early.
  if (random_.Chance(0.03)) {
    net_.At(net_.Now() + milliseconds(random_.Below(80)), [&connection] { connection.Leave(); });
  }
  connection.Ask(
      TextOf(TextFor(call, asked)), milliseconds(3000),
      [this, &connection, proxy, more, call](const HttpOutcome& outcome) {
        Judge(call, outcome);
        if (!connection.unasked().empty()) {
          journal_.Report("MIXED", "bytes that nobody asked for behind the answer to " + call.id);
        }
        if (more == 0 || !connection.usable()) return connection.Leave();
        net_.At(net_.Now() + milliseconds(random_.Below(200)), [this, &connection, proxy, more] {
          if (!connection.unasked().empty()) {
            journal_.Report("MIXED", "bytes on a connection that asked nothing");
          }
          if (!connection.usable()) return connection.Leave();
          AskOn(connection, proxy, more - 1);
        });
      });
}

void LiveClients::Judge(const Call& call, const HttpOutcome& outcome) {
  const AskedRequest& asked = *ledger_.Asked(call.id);
  const int status = outcome.status();
  const std::string stamp = outcome.answer.Value("Shelflink-Response-Stamp");
  journal_.Note([&] {
    return call.id + " " + call.target + " at " + proxies_[call.proxy]->node() + ": " +
           std::to_string(status) + (outcome.whole ? " whole " : " part ") + stamp;
  });
  if (call.counted) {
    ++counted_;
    if (outcome.whole && status == 200) ++served_;
  }
  journal_.Count(outcome.whole ? "answers " + std::to_string(status) : "no whole answer");
  if (status == 0) {
    // Nothing, or what is no answer.
    if (asked.resumable) TakeUpAgain(call, call.events_before);
    return;
  }
  if (!stamp.empty()) return JudgeStamped(call, asked, outcome, stamp);
  JudgeUnstamped(call, asked, outcome);
}

void LiveClients::JudgeUnstamped(const Call& call, const AskedRequest& asked,
                                 const HttpOutcome& outcome) {
  const int status = outcome.status();
  const std::string what = call.id + " " + call.target + " at " + proxies_[call.proxy]->node() +
                           " is answered " + outcome.answer.start_line;
  if (status / 100 == 2) journal_.Report("MIXED", what + " without a stamp");
  if (IsPromise(status) && asked.once) ledger_.Promise(call.id, std::to_string(status));
  if (!IsPromise(status) && (status / 100 == 3 || status / 100 == 4)) {
    journal_.Report("DENIED", what + ": " + outcome.answer.body.substr(0, 100));
  }
}

void LiveClients::JudgeStamped(const Call& call, const AskedRequest& asked,
                               const HttpOutcome& outcome, const std::string& stamp) {
  const std::string what = call.id + " " + call.target + " at " + proxies_[call.proxy]->node();
  const EndpointRun* run = ledger_.RunWithStamp(call.id, stamp);
  if (run == nullptr) {
    journal_.Report("MIXED", what + " has the stamp " + stamp + " of no run of its own");
    return;
  }
  const std::string answered = outcome.answer.Value("Shelflink-Request-Id");
  if (!answered.empty() && answered != call.id) {
    journal_.Report("MIXED", what + " has the answer of " + answered);
  }
  if (outcome.status() != run->status) {
    journal_.Report("MIXED", what + " is answered " + std::to_string(outcome.status()) +
                                 " where the endpoint said " + std::to_string(run->status));
  }
  if (asked.events) return JudgeEvents(call, asked, outcome, *run);
  const std::string& body = outcome.answer.body;
  const bool fits =
      outcome.whole ? body == run->body : run->body.compare(0, body.size(), body) == 0;
  if (!fits) {
    const auto differs =
        std::mismatch(body.begin(), body.end(), run->body.begin(), run->body.end());
    const auto at = static_cast<std::size_t>(differs.first - body.begin());
    journal_.Report("MIXED",
                    what + " has another body than its endpoint's: " + std::to_string(body.size()) +
                        " bytes of " + std::to_string(run->body.size()) + ", other from " +
                        std::to_string(at) + ": \"" + body.substr(at, 80) + "\"");
  }
}

void LiveClients::JudgeEvents(const Call& call, const AskedRequest& asked,
                              const HttpOutcome& outcome, const EndpointRun& run) {
  const std::string key = asked.resumable ? asked.target : run.stamp;
  const auto events = EventsOf(outcome.answer.body);
  int expected = call.events_before;
  for (const auto& [number, data] : events) {
    ++expected;
    if (number == expected && data == EventData(key, number)) continue;
    journal_.Report("ORDER", call.id + " " + call.target + ": event " + std::to_string(number) +
                                 " \"" + data + "\" where " + std::to_string(expected) +
                                 " was due");
    return;
  }
  if (outcome.whole) {
    if (expected != EventCount(asked.target)) {
      journal_.Report("ORDER", call.id + " " + call.target + " ends as complete after " +
                                   std::to_string(expected) + " of " +
                                   std::to_string(EventCount(asked.target)));
    }
    return;
  }
  if (asked.resumable) TakeUpAgain(call, expected);
}

// At another sidecar, with the events that came.
void LiveClients::TakeUpAgain(const Call& before, int events) {
  if (before.taken_up >= kMostTakenUp || events >= EventCount(before.target)) return;
  const AskedRequest asked = *ledger_.Asked(before.id);
  net_.At(net_.Now() + milliseconds(20 + random_.Below(200)),
          [this, asked, events, taken_up = before.taken_up + 1] {
            const std::size_t proxy = ingress_.Pick();
            Call call = NewCall(proxy, asked);
            call.counted = false;
            call.taken_up = taken_up;
            call.events_before = events;
            journal_.Count("streams taken up by a client");
            callers_.Ask(proxies_[proxy]->front(), TextFor(call, asked), milliseconds(3000),
                         [this, call](const HttpOutcome& outcome) { Judge(call, outcome); });
          });
}

// What no configuration allows: a route that never was, a key that nobody holds.
void LiveClients::AskForbidden() {
  const std::size_t proxy = ingress_.Pick();
  const bool unknown_route = random_.Chance(0.5);
  AskedRequest asked;
  asked.method = "POST";
  asked.target = unknown_route ? "/never/x" : "/post/x";
  asked.body = "forbidden";
  asked.service = "none";
  const Call call = NewCall(proxy, asked);
  HttpRequestText text = TextFor(call, asked);
  if (!unknown_route) text.headers += "Shelflink-Credential: nobody\r\n";
  callers_.Ask(proxies_[proxy]->front(), text, milliseconds(2000),
               [this, call, unknown_route](const HttpOutcome& outcome) {
                 const int status = outcome.status();
                 const int due = unknown_route ? 404 : 401;
                 if (status == 0 || status == due || status == 503) return;
                 journal_.Report("ROUTE", call.id + " " + call.target + " is answered " +
                                              std::to_string(status));
               });
}

// ---- Which configuration is in force ----

void LiveClients::Probe(std::size_t proxy, net::Time until) {
  if (net_.Now() >= until) return;
  net_.At(net_.Now() + milliseconds(150 + random_.Below(300)),
          [this, proxy, until] { Probe(proxy, until); });
  const ConfigurationOrder* newest = operators_.NewestAcknowledged();
  if (counting_ && newest != nullptr) return AskForMarker(proxy, *newest);
  const auto recent = operators_.Recent(kRecentOrders);
  if (!recent.empty()) AskForMarker(proxy, *recent[random_.Below(recent.size())]);
}

void LiveClients::AskForMarker(std::size_t proxy, const ConfigurationOrder& order) {
  AskedRequest asked;
  asked.method = "POST";
  asked.target = MarkerTarget(order.tag);
  asked.body = "marker";
  asked.service = "svc-a";
  Call call = NewCall(proxy, asked);
  call.counted = false;
  callers_.Ask(proxies_[proxy]->front(), TextFor(call, asked), milliseconds(2000),
               [this, call, tag = order.tag](const HttpOutcome& outcome) {
                 if (outcome.status() != 404) Judge(call, outcome);
                 if (ledger_.Runs(call.id) > 0) SawMarker(call, tag);
               });
}

void LiveClients::SawMarker(const Call& call, const std::string& tag) {
  const ProxyMachine& proxy = *proxies_[call.proxy];
  operators_.SawInForce(tag, proxy.node());
  marker_at_[call.proxy] = tag;
  if (proxy.lives() != call.life) return;
  const std::uint64_t version = operators_.OrderOf(tag)->version;
  Seen& seen = seen_[call.proxy];
  if (seen.life != call.life || version > seen.version) {
    seen = {call.life, version, net_.Now()};
    return;
  }
  const bool late = call.sent > seen.at + deployment_.base.bounds.rollback_slack;
  if (version < seen.version && late) {
    journal_.Report("CONFIG", proxy.node() + " serves version " + std::to_string(version) +
                                  " after version " + std::to_string(seen.version));
  }
}

void LiveClients::CountFromNow() {
  counting_ = true;
  marker_at_.clear();
}

void LiveClients::JudgeCalm() {
  if (static_cast<double>(served_) < kLeastServed * static_cast<double>(counted_)) {
    journal_.Report("RECOVER", std::to_string(served_) + " of " + std::to_string(counted_) +
                                   " requests were served in the calm");
  }
  const ConfigurationOrder* newest = operators_.NewestAcknowledged();
  for (std::size_t proxy = 0; proxy < proxies_.size(); ++proxy) {
    if (!ingress_.ready(proxy)) {
      journal_.Report("RECOVER", proxies_[proxy]->node() + " is not ready in the calm");
    }
    if (newest != nullptr && marker_at_[proxy] != newest->tag) {
      journal_.Report("CONFIG", proxies_[proxy]->node() + " serves \"" + marker_at_[proxy] +
                                    "\" in the calm, the newest is " + newest->tag);
    }
  }
}

}  // namespace shelflink::tier_seeds
