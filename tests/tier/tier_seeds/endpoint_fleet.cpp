#include "tier_seeds/endpoint_fleet.h"

#include <algorithm>
#include <utility>

#include "mix.h"

namespace shelflink::tier_seeds {

using proxy_test::Endpoint;
using proxy_test::Message;

namespace {

constexpr std::uint64_t kEndpointStream = 3;
constexpr std::uint64_t kReleaseStream = 9;
constexpr Milliseconds kFirstRelease{5000};
constexpr int kShortestReleasePauseMs = 700;
constexpr int kLongestReleasePauseMs = 4000;
// Of the endpoints that leave: they serve for long after their drain span.
constexpr double kLingersShare = 0.4;
constexpr std::uint64_t kLingersMs = 8000;
constexpr std::uint64_t kUsuallyStaysMs = 1000;
constexpr int kMostReported = 3;  // Late requests of one endpoint; all are counted.
constexpr std::size_t kSlots = 32;
constexpr int kMostEvents = 12;
constexpr std::size_t kShortBody = 30'000;
constexpr Milliseconds kBootSpan{800};

std::string TargetOf(const Message& request) {
  const std::size_t from = request.start_line.find(' ');
  const std::size_t to = request.start_line.rfind(' ');
  if (from == std::string::npos || to <= from) return {};
  return request.start_line.substr(from + 1, to - from - 1);
}

std::string MethodOf(const Message& request) {
  return request.start_line.substr(0, request.start_line.find(' '));
}

bool IsHealthCheck(const Message& request) { return TargetOf(request) == "/health"; }

}  // namespace

int EventCount(const std::string& target) {
  return 1 + static_cast<int>(gaugecart::Fnv1a(target) % kMostEvents);
}

std::string EventData(const std::string& key, int number) {
  return key + "#" + std::to_string(number);
}

std::string EventText(const std::string& key, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + EventData(key, number) + "\n\n";
}

// ---- Ledger ----

void Ledger::Ask(const std::string& id, AskedRequest request) {
  request.at = net_.Now();
  asked_[id] = std::move(request);
}

const AskedRequest* Ledger::Asked(const std::string& id) const {
  const auto found = asked_.find(id);
  return found == asked_.end() ? nullptr : &found->second;
}

void Ledger::Promise(const std::string& id, const std::string& how) {
  promises_[id] = how;
  if (Runs(id) > 0) journal_.Report("REFUSED", id + " was answered " + how + " and has run");
}

EndpointRun& Ledger::Run(const std::string& id, EndpointRun run) {
  const AskedRequest& asked = asked_.at(id);
  auto& runs = runs_[id];
  runs.push_back(std::make_unique<EndpointRun>(std::move(run)));
  if (asked.once && runs.size() > 1) {
    journal_.Report("TWICE", id + " " + asked.target + " ran at " + runs[0]->endpoint + " and at " +
                                 runs.back()->endpoint);
  }
  const auto promise = promises_.find(id);
  if (promise != promises_.end()) {
    journal_.Report("REFUSED", id + " ran after it was answered " + promise->second);
  }
  return *runs.back();
}

const EndpointRun* Ledger::RunWithStamp(const std::string& id, const std::string& stamp) const {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return nullptr;
  for (const auto& run : found->second) {
    if (run->stamp == stamp) return run.get();
  }
  return nullptr;
}

std::size_t Ledger::Runs(const std::string& id) const {
  const auto found = runs_.find(id);
  return found == runs_.end() ? 0 : found->second.size();
}

std::size_t Ledger::RunsAnswered(const std::string& id, int status) const {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(),
                    [&](const auto& run) { return run->status == status; }));
}

std::optional<net::Time> Ledger::LastRun(const std::string& id) const {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return std::nullopt;
  return found->second.back()->at;
}

// ---- Fleet ----

EndpointFleet::EndpointFleet(net::VirtualNet& net, Journal& journal, Ledger& ledger,
                             PlatformWorld& platform, const ContactRecord& contact,
                             const Deployment& deployment)
    : net_(net),
      journal_(journal),
      ledger_(ledger),
      platform_(platform),
      contact_(contact),
      deployment_(deployment),
      random_(deployment.seed, kEndpointStream),
      releases_(deployment.seed, kReleaseStream) {
  for (const char* service : {"svc-a", "svc-b"}) {
    for (std::size_t index = 0; index < deployment.endpoints; ++index) {
      Place place;
      place.service = service;
      place.zone = deployment.ZoneOf(index);
      places_.push_back(std::move(place));
    }
  }
}

EndpointFleet::~EndpointFleet() = default;

void EndpointFleet::Start() {
  for (std::size_t place = 0; place < places_.size(); ++place) StartAt(place, next_host_++);
  net_.At(net_.Now() + kFirstRelease, [this] { ReleaseLater(); });
}

void EndpointFleet::ReleaseLater() {
  Drain(AnyPlace(releases_));
  const std::uint64_t span = kLongestReleasePauseMs - kShortestReleasePauseMs;
  const std::chrono::milliseconds pause(kShortestReleasePauseMs + releases_.Below(span));
  net_.At(net_.Now() + pause, [this] { ReleaseLater(); });
}

std::size_t EndpointFleet::AnyPlace(shelflab::Random& random) const {
  std::vector<std::size_t> kept;
  for (std::size_t place = 0; place < places_.size(); ++place) {
    if (!places_[place].given_up && !places_[place].draining) kept.push_back(place);
  }
  return kept[random.Below(kept.size())];
}

void EndpointFleet::StartAt(std::size_t place, std::uint32_t host) {
  Place& at = places_[place];
  at.host = host;
  at.draining = false;
  at.busy.clear();
  at.cut_short.clear();
  const std::string id = "i-" + std::to_string(++incarnations_) + "-" + at.service;
  auto endpoint = std::make_unique<Endpoint>(net_, host, id, nullptr);
  Endpoint* self = endpoint.get();
  endpoint->behaviour = [this, place, self](Line& line, const Message& request) {
    Serve(place, *self, line, request);
  };
  endpoint->service = at.service;
  at.now = self;
  all_.push_back(std::move(endpoint));
  TellPlatform();
}

void EndpointFleet::TellPlatform() {
  std::vector<cluster::EndpointEntry> entries;
  for (const Place& place : places_) {
    if (place.now == nullptr) continue;
    cluster::EndpointEntry entry;
    entry.id = place.now->id;
    entry.service = place.service;
    entry.address = place.now->address;
    entry.zone = place.zone;
    entry.slots = kSlots;
    entry.draining = place.draining;
    entries.push_back(entry);
  }
  platform_.SetList(std::move(entries));
}

void EndpointFleet::Crash(std::size_t place) {
  Place& at = places_[place];
  if (at.now == nullptr) return;
  journal_.Note([&] { return at.now->id + " crashes"; });
  at.now->Crash();
  at.now = nullptr;
  // Some seconds later the platform notices; another incarnation comes at its old address, or at a
  // new one that nobody had. The addresses of those that are gone pass to other services.
  const Milliseconds until_noticed{500 + random_.Below(1500)};
  net_.At(net_.Now() + until_noticed, [this] { TellPlatform(); });
  const std::uint32_t old_host = at.host;
  const bool reuses = random_.Chance(0.6);
  const net::Span until_back =
      reuses ? until_noticed + deployment_.base.bounds.reuse_after + kBootSpan : kBootSpan;
  net_.At(net_.Now() + until_back,
          [this, place, old_host, reuses] { StartAt(place, reuses ? old_host : next_host_++); });
  if (!reuses) return;
  // The freed address goes to the other service if a place of it is vacant by then: swap zones of
  // services between two places that are both gone.
  for (std::size_t other = 0; other < places_.size(); ++other) {
    if (places_[other].now == nullptr && !places_[other].given_up &&
        places_[other].service != at.service) {
      std::swap(places_[other].service, at.service);
      return;
    }
  }
}

void EndpointFleet::ResetConnections(std::size_t place) {
  Place& at = places_[place];
  if (at.now == nullptr) return;
  journal_.Note([&] { return "connections of " + at.now->id + " are reset"; });
  for (std::uint32_t proxy = 0; proxy < 64; ++proxy) {
    net_.ResetBetween(kFirstProxy + proxy, at.host);
  }
  at.busy.clear();
  at.harmed_at = net_.Now();
}

void EndpointFleet::Drain(std::size_t place) {
  if (places_[place].now == nullptr || places_[place].draining) return;
  journal_.Note([&] { return places_[place].now->id + " drains"; });
  journal_.Count("endpoints released");
  places_[place].draining = true;
  TellPlatform();
  Place successor;
  successor.service = places_[place].service;
  successor.zone = places_[place].zone;
  places_.push_back(std::move(successor));
  net_.At(net_.Now() + kBootSpan,
          [this, next = places_.size() - 1] { StartAt(next, next_host_++); });
  const std::uint64_t stays_ms = random_.Chance(kLingersShare) ? kLingersMs : kUsuallyStaysMs;
  const net::Span until_end = deployment_.base.cloud.lag + deployment_.base.bounds.drain +
                              std::chrono::milliseconds(500 + random_.Below(stays_ms));
  net_.At(net_.Now() + until_end, [this, place] {
    Place& left = places_[place];
    left.now->Crash();
    left.now = nullptr;
    left.given_up = true;
    TellPlatform();
  });
}

void EndpointFleet::CheckDrain(const Place& place, const Endpoint& endpoint, const Line& line,
                               const std::string& id, const AskedRequest& asked) {
  const std::optional<net::Span> shown = platform_.ShownAsLeaving(endpoint.id);
  if (!shown) return;
  journal_.Count("requests at a leaving endpoint");
  if (*shown <= deployment_.base.bounds.drain) return;
  const std::uint32_t proxy = line.peer().V4Host();
  const std::optional<net::Time> in_touch_since = contact_.InTouchSince(proxy);
  const bool taken_in_touch = in_touch_since && (asked.is_item || asked.at >= *in_touch_since);
  const bool held_up =
      place.harmed_at && net_.Now() - *place.harmed_at < deployment_.base.bounds.contact;
  if (!taken_in_touch || held_up) {
    journal_.Count("requests at a leaving endpoint, late, out of touch");
    return;
  }
  journal_.Count("requests at a leaving endpoint, late");
  if (++late_[endpoint.id] > kMostReported) return;
  const auto late =
      std::chrono::duration_cast<Milliseconds>(*shown - deployment_.base.bounds.drain);
  journal_.Report("DRAIN", id + " " + asked.target + " reaches " + endpoint.id + " through proxy-" +
                               std::to_string(proxy - kFirstProxy) + ", late by " +
                               std::to_string(late.count()) + " ms");
}

net::Span EndpointFleet::ServiceTime() {
  if (random_.Chance(0.03)) return std::chrono::milliseconds(300 + random_.Below(1200));
  return std::chrono::microseconds(1000 + random_.Below(60'000));
}

bool EndpointFleet::Accepts(const Endpoint& endpoint, const Place& place, Line& line,
                            const Message& request) {
  const std::string expected = request.Value("Shelflink-Expect-Instance");
  if (!expected.empty() && expected != endpoint.id) {
    journal_.Count("421 of an endpoint");
    line.Write("HTTP/1.1 421 Misdirected\r\nShelflink-Request-Id: " +
               request.Value("Shelflink-Request-Id") +
               "\r\nShelflink-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    return false;
  }
  const bool full = place.busy.size() > kSlots;
  if (full || random_.Chance(0.02 + mischief_ / 4)) {
    journal_.Note([&] { return endpoint.id + " turns it away"; });
    line.Write(Endpoint::NotRunResponse(request, random_.Chance(0.7) ? 503 : 429));
    return false;
  }
  return true;
}

void EndpointFleet::CheckUnchanged(const std::string& id, const AskedRequest& asked,
                                   const Message& request) {
  const auto report = [&](const std::string& what) {
    journal_.Report("UNASKED", id + " " + asked.target + ": " + what);
  };
  if (MethodOf(request) != asked.method) report("method " + MethodOf(request));
  if (TargetOf(request) != asked.target) report("target " + TargetOf(request));
  if (request.body != asked.body) report("another body");
  if (request.Value("Shelflink-Tenant") != asked.tenant) {
    report("tenant " + request.Value("Shelflink-Tenant"));
  }
  if (request.Count("Shelflink-Credential") > 0) report("the key was passed on");
}

void EndpointFleet::Serve(std::size_t place, Endpoint& endpoint, Line& line,
                          const Message& request) {
  Place& at = places_[place];
  // Whoever has left holds no slot.
  std::erase_if(at.busy, [](const Line* held) { return !held->open(); });
  if (IsHealthCheck(request)) {
    line.Write("HTTP/1.1 200 OK\r\nShelflink-Instance-Id: " + endpoint.id +
               "\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  journal_.Note([&] {
    return endpoint.id + " reads " + request.Value("Shelflink-Request-Id") + " on line " +
           std::to_string(reinterpret_cast<std::uintptr_t>(&line));
  });
  if (at.busy.contains(&line)) {
    journal_.Report("MIXED", "a request on a connection to " + endpoint.id + " that still owes");
  }
  const std::string id = request.Value("Shelflink-Request-Id");
  const AskedRequest* asked = ledger_.Asked(id);
  if (asked == nullptr) {
    journal_.Report("UNASKED", "request " + id + " that nobody sent: " + request.start_line);
    return line.Write(Endpoint::NotRunResponse(request));
  }
  CheckDrain(at, endpoint, line, id, *asked);
  if (!Accepts(endpoint, at, line, request)) return;
  CheckUnchanged(id, *asked, request);
  if (!asked->service.empty() && asked->service != at.service) {
    journal_.Report("ROUTE", id + " " + asked->target + " runs at " + endpoint.id);
  }
  journal_.Count("runs");
  EndpointRun run;
  run.endpoint = endpoint.id;
  run.service = at.service;
  run.stamp = endpoint.id + "." + std::to_string(++stamps_);
  run.at = net_.Now();
  auto serving = std::make_shared<Serving>();
  serving->request = request;
  serving->id = id;
  serving->asked = asked;
  const bool fails = asked->doomed || (asked->is_item && random_.Chance(0.03));
  if (fails) {
    run.status = asked->doomed ? 422 : 500;
    run.body = run.stamp;
  } else if (asked->events) {
    const std::string behind = request.Value("Last-Event-Id");
    serving->next_event = behind.empty() ? 1 : std::stoi(behind) + 1;
    serving->last_event = EventCount(asked->target);
  } else {
    run.status = random_.Chance(0.01) ? 500 : 200;
    run.body =
        run.stamp + " " + std::string(random_.Below(random_.Chance(0.05) ? 90000 : 600), 'x');
  }
  serving->run = &ledger_.Run(id, std::move(run));
  at.busy.insert(&line);
  Endpoint* self = &endpoint;
  endpoint.RunAfter(std::chrono::duration_cast<std::chrono::milliseconds>(ServiceTime()),
                    [this, place, self, &line, serving] {
                      if (!line.open()) return Done(place, *self, line);
                      journal_.Note([&] { return self->id + " answers " + serving->id; });
                      if (random_.Chance(mischief_)) {
                        AnswerWrongly(place, *self, line, serving);
                      } else if (serving->asked->events && serving->run->status == 200) {
                        line.Write(Head(*serving,
                                        "Content-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n"));
                        Events(place, *self, line, serving);
                      } else {
                        Answer(place, *self, line, serving);
                      }
                    });
}

void EndpointFleet::Done(std::size_t place, const Endpoint& endpoint, Line& line) {
  if (places_[place].now == &endpoint) places_[place].busy.erase(&line);
}

std::string EndpointFleet::Head(const Serving& serving, const std::string& more) const {
  return "HTTP/1.1 " + std::to_string(serving.run->status) +
         " Any\r\nShelflink-Request-Id: " + serving.id +
         "\r\nShelflink-Response-Stamp: " + serving.run->stamp + "\r\n" + more + "\r\n";
}

std::string EndpointFleet::Whole(const Serving& serving) const {
  return Head(serving, "Content-Length: " + std::to_string(serving.run->body.size()) + "\r\n") +
         serving.run->body;
}

void EndpointFleet::Answer(std::size_t place, Endpoint& endpoint, Line& line,
                           const std::shared_ptr<Serving>& serving) {
  Done(place, endpoint, line);
  const std::string& body = serving->run->body;
  switch (random_.Below(8)) {
    case 0: {  // In chunks.
      std::string text = Head(*serving, "Transfer-Encoding: chunked\r\n");
      const std::size_t half = body.size() / 2;
      text += Endpoint::Chunk(body.substr(0, half)) + Endpoint::Chunk(body.substr(half));
      return line.Write(text + "0\r\n\r\n");
    }
    case 1:  // Its end is the connection's, and all of it fits into the way.
      if (body.size() > kShortBody) return line.Write(Whole(*serving));
      places_[place].cut_short.insert(&line);  // More would be its own.
      line.Write(Head(*serving, "Connection: close\r\n") + body);
      return endpoint.RunAfter(std::chrono::milliseconds(1), [&line] {
        if (line.open()) line.Close();
      });
    case 2:
      return line.Write(Head(*serving, "Connection: close\r\nContent-Length: " +
                                           std::to_string(body.size()) + "\r\n") +
                        body);
    default:
      return line.Write(Whole(*serving));
  }
}

void EndpointFleet::AnswerWrongly(std::size_t place, Endpoint& endpoint, Line& line,
                                  const std::shared_ptr<Serving>& serving) {
  journal_.Count("answers spoiled");
  serving->run->broken = true;
  const bool events = serving->asked->events && serving->run->status == 200;
  const std::string whole = events ? Head(*serving, "Transfer-Encoding: chunked\r\n") +
                                         Endpoint::Chunk(EventText("spoiled", 1))
                                   : Whole(*serving);
  const std::uint64_t way = random_.Below(7);
  journal_.Note([&] { return "and spoils it in way " + std::to_string(way); });
  switch (way) {
    case 0:  // Reset before the answer.
      Done(place, endpoint, line);
      return line.Reset();
    case 1:  // Closed before the answer.
      Done(place, endpoint, line);
      return line.Close();
    case 2:  // Half an answer, then a reset.
    case 3: {
      // The other half never comes.
      const bool resets = random_.Chance(0.5);
      if (!events) line.Write(whole.substr(0, random_.Below(whole.size())));
      places_[place].cut_short.insert(&line);
      return endpoint.RunAfter(std::chrono::milliseconds(1 + random_.Below(30)),
                               [this, place, &endpoint, &line, resets] {
                                 Done(place, endpoint, line);
                                 if (!line.open()) return;
                                 if (resets) {
                                   line.Reset();
                                 } else {
                                   line.Close();
                                 }
                               });
    }
    case 4:  // Bytes that are no answer.
      Done(place, endpoint, line);
      return line.Write("garbage \x01\x02 that is no answer\r\n\r\n");
    case 5: {  // A whole answer and then one more, at once or in the place of the next.
      if (events) return line.Reset();
      serving->run->broken = false;
      Done(place, endpoint, line);
      line.Write(whole);
      const bool at_once = random_.Chance(0.5);
      const std::string surplus = whole;
      if (at_once) return line.Write(surplus);
      return endpoint.RunAfter(std::chrono::milliseconds(random_.Below(200)),
                               [this, place, &line, surplus] {
                                 // Not inside another answer: there nobody could tell it from that
                                 // one's bytes.
                                 const bool inside = places_[place].cut_short.contains(&line);
                                 if (line.open() && !inside) line.Write(surplus);
                               });
    }
    default:  // Silence; the connection stays.
      return;
  }
}

void EndpointFleet::Events(std::size_t place, Endpoint& endpoint, Line& line,
                           const std::shared_ptr<Serving>& serving) {
  if (!line.open()) return Done(place, endpoint, line);
  if (serving->next_event > serving->last_event) {
    Done(place, endpoint, line);
    ledger_.RanWhole(serving->id);
    return line.Write("0\r\n\r\n");
  }
  const AskedRequest& asked = *serving->asked;
  const std::string key = asked.resumable ? asked.target : serving->run->stamp;
  const std::string text = EventText(key, serving->next_event);
  if (random_.Chance(mischief_ / 8)) {  // Breaks off, perhaps within the event.
    serving->run->broken = true;
    journal_.Count("streams broken off");
    line.Write(Endpoint::Chunk(text.substr(0, 1 + random_.Below(text.size()))));
    return endpoint.RunAfter(std::chrono::milliseconds(1), [this, place, &endpoint, &line] {
      Done(place, endpoint, line);
      if (line.open()) line.Reset();
    });
  }
  ++serving->next_event;
  line.Write(Endpoint::Chunk(text));
  Endpoint* self = &endpoint;
  endpoint.RunAfter(std::chrono::milliseconds(2 + random_.Below(40)),
                    [this, place, self, &line, serving] { Events(place, *self, line, serving); });
}

}  // namespace shelflink::tier_seeds
