#include "coordination/http_store.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "coordination/wire.h"
#include "sidecar/http.h"

namespace coordination {

namespace http = boost::beast::http;
using boost::system::error_code;
using kelpspring::HttpRequest;
using kelpspring::Incoming;
using kelpspring::Outgoing;
using Json = nlohmann::json;

namespace {

constexpr Micros kMicros = 1'000'000;  // In a second.

std::string TextOf(const net::Address& server, std::string_view path, std::string body) {
  HttpRequest request{http::verb::post, {path.data(), path.size()}, 11};
  request.set(http::field::host, server.Text());
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  return kelpspring::TextOf(request);
}

}  // namespace

struct HttpStore::Reply {
  Fate fate = Fate::kUnknown;
  std::string why{};
  int code = 0;                        // Of the store's error.
  std::shared_ptr<const Json> json{};  // Of one that is done.
};

struct HttpStore::Call {
  std::string_view path;
  std::string body;
  Read read;
  net::TimerPtr timer;
  Line* line = nullptr;     // That carries it.
  std::size_t dialled = 0;  // Addresses that could not be reached.
  bool over = false;
};

// A connection that is kept, for one call at a time.
class HttpStore::Line : public net::StreamUser {
 public:
  Line(HttpStore& store, const net::Address& server)
      : store_(store), server_(server), stream_(store.loop_.Dial(server, *this)) {}

  const CallPtr& call() const { return call_; }
  const net::Address& server() const { return server_; }

  void Carry(CallPtr call) {
    call_ = std::move(call);
    call_->line = this;
    if (connected_) Write();
  }
  // Nobody waits for what it carries any more, and nobody is told of its end.
  void Abandon() { call_.reset(); }
  void Close() { stream_->Close(); }

 private:
  void OnConnected(net::Fault fault) override {
    if (fault == net::Fault::kNone) {
      connected_ = true;
      return Write();
    }
    const CallPtr call = std::exchange(call_, nullptr);
    HttpStore& store = store_;
    store.Drop(this);
    if (call) store.Unsent(call, net::WordOf(fault));
  }

  void Write() {
    parser_.emplace();
    parser_->body_limit(kAnswerBytes);
    outgoing_.Start(TextOf(server_, call_->path, call_->body));
    stream_->Receive();
    OnWritable();
  }

  // One that is broken is told by the receive that is out: not from inside the call.
  void OnWritable() override { outgoing_.Flush(*stream_); }

  void OnBytes(std::string_view bytes) override {
    if (!call_) return Broken("bytes that nobody asked for");
    incoming_.Append(bytes);
    error_code ec;
    while (kelpspring::PutStep(*parser_, incoming_, ec) > 0) {
    }
    if (ec) return Broken("no HTTP: " + ec.message());
    if (parser_->is_done()) return Answered();
    stream_->Receive();
  }

  void OnEnd(net::Fault fault) override {
    error_code ec;
    if (call_ && fault == net::Fault::kEnd && parser_ && parser_->is_header_done()) {
      parser_->put_eof(ec);
      if (!ec && parser_->is_done()) return Answered();
    }
    Broken(net::WordOf(fault));
  }

  void Broken(const std::string& why) {
    const CallPtr call = std::exchange(call_, nullptr);
    HttpStore& store = store_;
    store.Drop(this);
    if (!call) return;
    store.NextServer();
    store.End(call, {Fate::kUnknown, why});
  }

  void Answered() {
    const auto answer = parser_->release();
    const CallPtr call = std::exchange(call_, nullptr);
    call->line = nullptr;
    HttpStore& store = store_;
    if (answer.keep_alive() && incoming_.empty()) {
      stream_->Receive();  // To see its end.
    } else {
      store.Drop(this);
    }
    store.End(call, Understand(answer));
  }

  static Reply Understand(const kelpspring::HttpResponse& answer) {
    Reply reply;
    try {
      Json json = Json::parse(answer.body());
      if (answer.result() == http::status::ok) {
        reply.fate = Fate::kDone;
        reply.json = std::make_shared<const Json>(std::move(json));
        return reply;
      }
      const wire::Error error = wire::ErrorOf(json);
      reply.code = error.code;
      reply.why = error.text;
      if (wire::NothingDone(error.code)) reply.fate = Fate::kRefused;
    } catch (const std::exception& e) {
      reply.fate = Fate::kUnknown;
      reply.why = "status " + std::to_string(answer.result_int()) + ", " + e.what();
    }
    return reply;
  }

  HttpStore& store_;
  net::Address server_;
  net::StreamPtr stream_;
  bool connected_ = false;
  CallPtr call_;
  Incoming incoming_;
  Outgoing outgoing_;
  std::optional<http::response_parser<kelpspring::TextBody>> parser_;
};

HttpStore::HttpStore(net::Loop& loop, Setup setup) : loop_(loop), setup_(std::move(setup)) {}

HttpStore::~HttpStore() = default;

void HttpStore::Start(std::string_view path, std::string body, Read read) {
  const auto call = std::make_shared<Call>();
  call->path = path;
  call->body = std::move(body);
  call->read = std::move(read);
  call->timer = loop_.NewTimer([this, weak = std::weak_ptr<Call>(call)] {
    if (const auto late = weak.lock()) Late(late);
  });
  call->timer->ArmAt(loop_.Now() + std::chrono::microseconds(setup_.within));
  ++calls_;
  if (calls_ > kCalls) {
    return loop_.Post([this, call, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) End(call, {Fate::kRefused, "too many calls are out"});
    });
  }
  waiting_.push_back(call);
  Dispatch();
}

// What waits goes out over a line that is free, or a new one.
void HttpStore::Dispatch() {
  while (!waiting_.empty()) {
    const auto free = std::find_if(lines_.begin(), lines_.end(), [this](const auto& line) {
      return !line->call() && line->server() == Server();
    });
    const CallPtr call = waiting_.front();
    if (free != lines_.end()) {
      waiting_.pop_front();
      (*free)->Carry(call);
    } else {
      // One that is free but leads to another address makes room.
      if (lines_.size() >= kLines) {
        const auto other = std::find_if(lines_.begin(), lines_.end(),
                                        [](const auto& line) { return !line->call(); });
        if (other == lines_.end()) return;
        lines_.erase(other);
      }
      waiting_.pop_front();
      lines_.push_back(std::make_unique<Line>(*this, Server()));
      lines_.back()->Carry(call);
    }
  }
}

// It has not left this process.
void HttpStore::Unsent(const CallPtr& call, const std::string& why) {
  call->line = nullptr;
  NextServer();
  if (++call->dialled >= setup_.servers.size()) return End(call, {Fate::kRefused, why});
  waiting_.push_front(call);
  Dispatch();
}

void HttpStore::Late(const CallPtr& call) {
  Line* line = std::exchange(call->line, nullptr);
  NextServer();
  if (line == nullptr) {
    std::erase(waiting_, call);
    return End(call, {Fate::kRefused, "it could not be sent in time"});
  }
  line->Abandon();
  Drop(line);
  End(call, {Fate::kUnknown, "no answer in time"});
}

void HttpStore::Drop(Line* line) {
  const auto it =
      std::find_if(lines_.begin(), lines_.end(), [&](const auto& l) { return l.get() == line; });
  if (it == lines_.end()) return;
  line->Close();
  // Not from under its own feet.
  loop_.Post([dead = std::shared_ptr<Line>(std::move(*it))] {});
  lines_.erase(it);
}

void HttpStore::End(const CallPtr& call, const Reply& reply) {
  if (std::exchange(call->over, true)) return;
  --calls_;
  call->timer->Cancel();
  const std::weak_ptr<bool> alive = alive_;
  call->read(reply);
  if (!alive.expired()) Dispatch();
}

// Once, until something goes well again.
void HttpStore::Complain(const std::string& why) {
  if (std::exchange(complained_, true) || !setup_.log) return;
  setup_.log("coordination: " + why);
}

template <typename T, typename Parse>
HttpStore::Read HttpStore::ReadAs(Then<T> then, Parse parse) {
  return [this, then = std::move(then), parse = std::move(parse)](const Reply& reply) {
    Answer<T> answer;
    answer.fate = reply.fate;
    answer.why = reply.why;
    try {
      parse(reply, answer);
    } catch (const std::exception& e) {
      answer = {};
      answer.why = e.what();
    }
    Count(answer.fate);
    if (answer.done()) {
      complained_ = false;
    } else {
      Complain(answer.why);
    }
    then(answer);
  };
}

void HttpStore::Grant(Micros ttl, Then<Lease> then) {
  const Json body = {{"TTL", std::to_string((ttl + kMicros - 1) / kMicros)}, {"ID", "0"}};
  Start(wire::path::kGrant, body.dump(),
        ReadAs<Lease>(std::move(then), [](const Reply& reply, Answer<Lease>& answer) {
          if (!answer.done()) return;
          answer.value = {wire::NumberIn(*reply.json, "ID"),
                          wire::NumberIn(*reply.json, "TTL") * kMicros};
          if (answer.value.id == 0) throw wire::BadWire("ID: expected one");
        }));
}

void HttpStore::KeepAlive(LeaseId lease, Then<Lease> then) {
  Start(wire::path::kKeepAlive, Json{{"ID", std::to_string(lease)}}.dump(),
        ReadAs<Lease>(std::move(then), [](const Reply& reply, Answer<Lease>& answer) {
          if (!answer.done()) return;
          const Json& result = reply.json->at("result");
          const Micros ttl = wire::NumberIn(result, "TTL") * kMicros;
          if (ttl > 0) answer.value = {wire::NumberIn(result, "ID"), ttl};
        }));
}

void HttpStore::Revoke(LeaseId lease, Then<bool> then) {
  Start(wire::path::kRevoke, Json{{"ID", std::to_string(lease)}}.dump(),
        ReadAs<bool>(std::move(then), [](const Reply& reply, Answer<bool>& answer) {
          answer.value = answer.done();
          if (reply.code == static_cast<int>(wire::Code::kNotFound)) answer.fate = Fate::kDone;
        }));
}

void HttpStore::Commit(const Txn& txn, Then<Done> then) {
  Start(wire::path::kTxn, wire::JsonOf(txn).dump(),
        ReadAs<Done>(std::move(then), [](const Reply& reply, Answer<Done>& answer) {
          if (answer.done()) answer.value = wire::DoneOf(*reply.json);
        }));
}

// ---- Watches ----

class HttpStore::HttpWatch : public Watch, public net::StreamUser {
 public:
  HttpWatch(HttpStore& store, const Range& range, Revision from, User user)
      : loop_(store.loop_),
        silence_(store.setup_.silence),
        user_(std::move(user)),
        upto_(from - 1),
        timer_(loop_.NewTimer([this] { Over("silent"); })) {
    parser_.body_limit(boost::none);
    outgoing_.Start(TextOf(store.Server(), wire::path::kWatch,
                           wire::JsonOf(wire::WatchOrder{range, from}).dump()));
    // A server that is not there must not take as long as one that has nothing to say.
    timer_->ArmAt(loop_.Now() + std::chrono::microseconds(store.setup_.within));
    stream_ = loop_.Dial(store.Server(), *this);
  }

 private:
  void OnConnected(net::Fault fault) override {
    if (fault != net::Fault::kNone) return Over(net::WordOf(fault));
    stream_->Receive();
    OnWritable();
  }

  void OnWritable() override {
    if (outgoing_.Flush(*stream_) == Outgoing::State::kBroken) Over("reset");
  }

  void OnBytes(std::string_view bytes) override {
    timer_->ArmAt(loop_.Now() + std::chrono::microseconds(silence_));
    incoming_.Append(bytes);
    error_code ec;
    while (kelpspring::PutStep(parser_, incoming_, ec) > 0) {
    }
    if (ec) return Over("no HTTP: " + ec.message());
    if (!parser_.is_header_done()) return stream_->Receive();
    text_ += std::exchange(parser_.get().body(), {});
    if (parser_.get().result() != http::status::ok) {
      return Over("status " + std::to_string(parser_.get().result_int()));
    }
    const std::weak_ptr<bool> alive = alive_;
    for (std::size_t end = text_.find('\n'); end != std::string::npos; end = text_.find('\n')) {
      const std::string line = text_.substr(0, end);
      text_.erase(0, end + 1);
      if (!line.empty()) Hear(line);
      if (alive.expired() || over_) return;
    }
    if (text_.size() > kAnswerBytes) return Over("a message over 4 MiB");
    if (parser_.is_done()) return Over("ended");
    stream_->Receive();
  }

  void OnEnd(net::Fault fault) override { Over(net::WordOf(fault)); }

  void Hear(const std::string& line) {
    wire::Told told;
    try {
      told = wire::ToldOf(Json::parse(line));
    } catch (const std::exception& e) {
      return Over(std::string("not understood: ") + e.what());
    }
    if (told.compacted > 0) {
      Shut();
      return user_.on_compacted(told.compacted);
    }
    if (told.cancelled) return Over("cancelled");
    // It would wait for revisions that are known already, and be told others' by their names.
    if (told.created && told.revision < upto_) {
      Shut();
      return user_.on_compacted(told.revision);
    }
    // The header's revision is the store's: events up to it may still be on their way.
    if (!told.events.empty()) {
      upto_ = std::max(upto_, told.events.back().entry.modified);
    } else if (!told.created) {
      upto_ = std::max(upto_, told.revision);
    }
    user_.on_events(told.events, upto_);
  }

  void Shut() {
    over_ = true;
    timer_->Cancel();
    stream_->Close();
  }

  void Over(const std::string& why) {
    if (over_) return;
    Shut();
    user_.on_broken(why);
  }

  net::Loop& loop_;
  Micros silence_;
  User user_;
  Revision upto_;
  net::TimerPtr timer_;
  net::StreamPtr stream_;
  Incoming incoming_;
  Outgoing outgoing_;
  http::response_parser<kelpspring::TextBody> parser_;
  std::string text_;  // Not yet a whole line.
  bool over_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::unique_ptr<Watch> HttpStore::Open(const Range& range, Revision from, Watch::User user) {
  ++counts_.watches;
  return std::make_unique<HttpWatch>(*this, range, from, std::move(user));
}

}  // namespace coordination
