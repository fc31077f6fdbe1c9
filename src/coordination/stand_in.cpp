#include "coordination/stand_in.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/wire.h"
#include "sidecar/http.h"

namespace coordination {

namespace http = boost::beast::http;
using boost::system::error_code;
using kelpspring::HttpResponse;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t kBodyBytes = 1 << 20;
constexpr Micros kMicros = 1'000'000;
constexpr Micros kMilli = 1'000;

std::string AnswerText(http::status status, const Json& body) {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, "application/json");
  response.body() = body.dump();
  response.prepare_payload();
  return kelpspring::TextOf(response);
}

http::status StatusOf(wire::Code code) {
  switch (code) {
    case wire::Code::kNotFound:
      return http::status::not_found;
    case wire::Code::kUnavailable:
      return http::status::service_unavailable;
    case wire::Code::kInvalid:
    case wire::Code::kFailed:
    case wire::Code::kOutOfRange:
      break;
  }
  return http::status::bad_request;
}

}  // namespace

struct StandIn::Reply {  // NOLINT(bugprone-exception-escape): JSON moves, and allocates nothing.
  http::status status = http::status::ok;
  Json body = nullptr;
  std::optional<wire::WatchOrder> watch{};

  static Reply Bad(wire::Code code, const std::string& why) {
    return {StatusOf(code), wire::JsonOf(wire::Error{static_cast<int>(code), why})};
  }
};

// One connection: calls one after the other, or one watch for the rest of its life.
class StandIn::Caller : public net::StreamUser, public std::enable_shared_from_this<Caller> {
 public:
  Caller(StandIn& owner, net::StreamPtr stream)
      : owner_(owner),
        stream_(std::move(stream)),
        timer_(owner.loop_.NewTimer([this] { Wake(); })) {}

  void Start() {
    stream_->SetUser(*this);
    Next();
  }

  bool watches() const { return watch_.has_value(); }

  // All that happened since it was told last.
  void Tell() {
    if (!watch_ || owner_.faults_.silent) return;
    const auto events = owner_.model_.Since(watch_->from, watch_->range);
    wire::Told told;
    told.revision = owner_.model_.revision();
    if (!events) {
      told.cancelled = true;
      told.compacted = owner_.model_.compacted();
      Say(told);
      outgoing_.Add(std::string(kelpspring::kLastChunk));
      watch_.reset();
      return Flush();
    }
    if (events->empty()) return;
    told.events = *events;
    watch_->from = owner_.model_.revision() + 1;
    Say(told);
    Flush();
  }

  void End() {
    const auto self = shared_from_this();
    timer_->Cancel();
    stream_->Close();
    owner_.Remove(this);
  }

  // After a silence: what lies there is taken in.
  void GoOn() {
    if (!silenced_) return;
    silenced_ = false;
    Take();
  }

 private:
  enum class Step { kReading, kBefore, kAfter };

  void Next() {
    step_ = Step::kReading;
    parser_.emplace();
    parser_->body_limit(kBodyBytes);
    Take();
  }

  void OnBytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    incoming_.Append(bytes);
    if (step_ == Step::kReading && !watch_) return Take();
    stream_->Receive();
  }

  void OnEnd(net::Fault) override { End(); }

  void OnWritable() override {
    const auto self = shared_from_this();
    Flush();
  }

  void Take() {
    if (owner_.faults_.silent) {
      silenced_ = true;
      return;
    }
    error_code ec;
    while (kelpspring::PutStep(*parser_, incoming_, ec) > 0) {
    }
    if (ec) return End();
    if (!parser_->is_done()) return stream_->Receive();
    step_ = Step::kBefore;
    if (owner_.faults_.stall > 0) return Sleep(owner_.faults_.stall);
    Wake();
  }

  void Sleep(Micros span) {
    stream_->Receive();  // To see its end.
    timer_->ArmAt(owner_.loop_.Now() + std::chrono::microseconds(span));
  }

  void Wake() {
    const auto self = shared_from_this();
    if (step_ == Step::kBefore) return Effect();
    if (step_ == Step::kAfter) Answer();
  }

  void Effect() {
    ++owner_.calls_;
    const auto call = parser_->release();
    const std::string_view path = kelpspring::PathOf(kelpspring::View(call.target()));
    const bool lab = path.substr(0, 5) == "/lab/";
    try {
      const Json body = Json::parse(call.body().empty() ? "{}" : call.body());
      reply_ = lab ? owner_.Lab(path, body) : owner_.Obey(path, body);
    } catch (const Refused& e) {
      reply_ =
          Reply::Bad(e.what() == std::string("requested lease not found") ? wire::Code::kNotFound
                                                                          : wire::Code::kFailed,
                     e.what());
    } catch (const std::exception& e) {
      reply_ = Reply::Bad(wire::Code::kInvalid, e.what());
    }
    step_ = Step::kAfter;
    if (!lab && owner_.draws_.Unit() < owner_.faults_.lose) return End();
    if (!lab && owner_.faults_.late > 0) return Sleep(owner_.faults_.late);
    Answer();
  }

  void Answer() {
    if (reply_.watch) return Follow();
    outgoing_.Add(AnswerText(reply_.status, reply_.body));
    Flush();
    if (!gone_) Next();
  }

  void Follow() {
    watch_ = reply_.watch;
    outgoing_.Add(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    // From 0 on: from now on.
    if (watch_->from <= 0) watch_->from = owner_.model_.revision() + 1;
    wire::Told told;
    told.revision = owner_.model_.revision();
    told.created = true;
    Say(told);
    stream_->Receive();
    Flush();
    if (!gone_) Tell();
  }

  void Say(const wire::Told& told) {
    outgoing_.Add(kelpspring::ChunkOf(wire::JsonOf(told).dump() + '\n'));
  }

  void Flush() {
    if (outgoing_.Flush(*stream_) != kelpspring::Outgoing::State::kBroken) return;
    gone_ = true;
    End();
  }

  StandIn& owner_;
  net::StreamPtr stream_;
  net::TimerPtr timer_;
  Step step_ = Step::kReading;
  bool silenced_ = false;
  bool gone_ = false;
  Reply reply_;
  std::optional<wire::WatchOrder> watch_;
  kelpspring::Incoming incoming_;
  kelpspring::Outgoing outgoing_;
  std::optional<http::request_parser<kelpspring::TextBody>> parser_;
};

StandIn::StandIn(net::Loop& loop, const net::Address& at, std::uint64_t seed,
                 std::function<void(const std::string&)> journal)
    : loop_(loop),
      draws_(seed),
      journal_(std::move(journal)),
      listener_(loop.Listen(at)),
      timer_(loop.NewTimer([this] { Expire(); })) {
  Accept();
}

StandIn::~StandIn() = default;

void StandIn::Accept() {
  listener_->Accept([this](net::Fault fault, net::StreamPtr stream) {
    if (fault == net::Fault::kClosed) return;
    if (fault == net::Fault::kNone && callers_.size() < kCallers) {
      callers_.push_back(std::make_shared<Caller>(*this, std::move(stream)));
      const auto caller = callers_.back();
      caller->Start();
    }
    Accept();
  });
}

void StandIn::Remove(Caller* caller) {
  std::erase_if(callers_, [&](const auto& c) { return c.get() == caller; });
}

// ---- What is kept ----

void StandIn::Note(const Json& line) {
  if (journal_) journal_(line.dump());
}

void StandIn::Play(std::string_view journal) {
  std::size_t number = 0;
  while (!journal.empty()) {
    const std::size_t end = journal.find('\n');
    // The last line may have been cut: then it was not acknowledged.
    if (end == std::string_view::npos) break;
    const std::string_view line = journal.substr(0, end);
    journal.remove_prefix(end + 1);
    ++number;
    try {
      const Json json = Json::parse(line, nullptr, false);
      // One that was cut while it was written was not acknowledged either.
      if (json.is_discarded()) continue;
      if (json.contains("txn")) model_.Apply(wire::TxnOf(json["txn"]));
      if (json.contains("grant")) {
        model_.Grant(0, wire::NumberIn(json, "ttl"), wire::NumberIn(json, "grant"));
      }
      if (json.contains("revoke")) model_.Revoke(wire::NumberIn(json, "revoke"));
      if (json.contains("compact")) model_.Compact(wire::NumberIn(json, "compact"));
    } catch (const std::exception& e) {
      throw wire::BadWire("journal line " + std::to_string(number) + ": " + e.what());
    }
  }
  model_.Resume(loop_.LastingMicros());
  Changed();
}

void StandIn::Expire() {
  for (const LeaseId id : model_.RunOut(loop_.LastingMicros())) {
    Note({{"revoke", std::to_string(id)}});
    model_.Revoke(id);
  }
  Changed();
}

void StandIn::Changed() {
  // Each caller may go while it is told.
  const auto callers = callers_;
  for (const auto& caller : callers) caller->Tell();
  if (const Micros next = model_.next(); next != std::numeric_limits<Micros>::max()) {
    const Micros wait = std::max<Micros>(0, next - loop_.LastingMicros());
    timer_->ArmAt(loop_.Now() + std::chrono::microseconds(wait));
  }
}

Done StandIn::Apply(const Txn& txn) {
  const Revision before = model_.revision();
  Done done = model_.Apply(txn);
  if (done.revision != before) {
    Note({{"txn", wire::JsonOf(txn)}});
    Changed();
  }
  return done;
}

// ---- Calls ----

StandIn::Reply StandIn::Obey(std::string_view path, const Json& body) {
  namespace p = wire::path;
  Expire();
  Reply reply;
  reply.body = {{"header", wire::HeaderOf(model_.revision())}};
  if (path == p::kTxn) {
    const Txn txn = wire::TxnOf(body);
    reply.body = wire::JsonOf(Apply(txn), txn);
  } else if (path == p::kRange || path == p::kPut || path == p::kDelete) {
    Txn txn;
    txn.then.push_back(path == p::kPut ? wire::PutOf(body) : Operation{});
    if (path != p::kPut) txn.then.front().range = wire::RangeOf(body);
    if (path == p::kDelete) txn.then.front().what = Operation::What::kDelete;
    reply.body = wire::JsonOf(Apply(txn), txn)["responses"][0].front();
  } else if (path == p::kGrant) {
    const Micros ttl = wire::NumberIn(body, "TTL") * kMicros;
    const LeaseId id = model_.Grant(loop_.LastingMicros(), ttl, wire::NumberIn(body, "ID"));
    Note({{"grant", std::to_string(id)}, {"ttl", std::to_string(ttl)}});
    reply.body["ID"] = std::to_string(id);
    reply.body["TTL"] = std::to_string(ttl / kMicros);
    Changed();
  } else if (path == p::kKeepAlive) {
    const LeaseId id = wire::NumberIn(body, "ID");
    const auto ttl = model_.KeepAlive(loop_.LastingMicros(), id);
    reply.body["ID"] = std::to_string(id);
    if (ttl) reply.body["TTL"] = std::to_string(*ttl / kMicros);
    reply.body = Json{{"result", reply.body}};
    Changed();
  } else if (path == p::kRevoke) {
    const LeaseId id = wire::NumberIn(body, "ID");
    if (!model_.Revoke(id)) throw Refused("requested lease not found");
    Note({{"revoke", std::to_string(id)}});
    reply.body["header"] = wire::HeaderOf(model_.revision());
    Changed();
  } else if (path == p::kCompact) {
    const Revision upto = wire::NumberIn(body, "revision");
    model_.Compact(upto);
    Note({{"compact", std::to_string(upto)}});
  } else if (path == p::kWatch) {
    reply.watch = wire::WatchOrderOf(body);
  } else {
    return Reply::Bad(wire::Code::kNotFound, "Not Found");
  }
  return reply;
}

// ---- What befalls it ----

StandIn::Faults StandIn::FaultsOf(const Json& json) {
  if (!json.is_object()) throw wire::BadWire("expected an object");
  for (const auto& [key, value] : json.items()) {
    if (key == "stall_ms" || key == "late_ms") {
      if (!value.is_number_unsigned()) throw wire::BadWire(key + ": expected milliseconds");
    } else if (key == "lose") {
      if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > 1) {
        throw wire::BadWire("lose: expected a share from 0 to 1");
      }
    } else {
      throw wire::BadWire(key + ": expected stall_ms, late_ms or lose");
    }
  }
  return {json.value("stall_ms", Micros{0}) * kMilli, json.value("late_ms", Micros{0}) * kMilli,
          json.value("lose", 0.0)};
}

StandIn::Reply StandIn::Lab(std::string_view path, const Json& body) {
  Reply reply;
  reply.body = {{"revision", std::to_string(model_.revision())}, {"calls", calls_}};
  if (path == "/lab/faults") {
    SetFaults(FaultsOf(body));
  } else if (path == "/lab/drop_watches") {
    DropWatches();
  } else if (path == "/lab/compact") {
    Compact();
  } else if (path != "/lab/state") {
    return Reply::Bad(wire::Code::kNotFound,
                      "expected /lab/faults, /lab/drop_watches, /lab/compact or /lab/state");
  }
  return reply;
}

void StandIn::SetFaults(const Faults& faults) {
  faults_ = faults;
  if (faults.silent) return;
  const auto callers = callers_;
  for (const auto& caller : callers) {
    caller->GoOn();
    caller->Tell();
  }
}

void StandIn::DropWatches() {
  const auto callers = callers_;
  for (const auto& caller : callers) {
    if (caller->watches()) caller->End();
  }
}

void StandIn::Compact() {
  if (model_.compacted() >= model_.revision()) return;
  const Revision upto = model_.revision();
  model_.Compact(upto);
  Note({{"compact", std::to_string(upto)}});
}

}  // namespace coordination
