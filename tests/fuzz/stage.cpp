// One sidecar on the virtual network between a client, a node and discovery, of which one says
// whatever the bytes are. The others keep to the protocol and hold the sidecar to it.
#include <xxhash.h>

#include <functional>
#include <list>
#include <memory>

#include "fuzz/targets.h"
#include "lab/wire.h"
#include "rig.h"

namespace fuzz {
namespace {

using rig::kClientsAt;
using rig::kDoorAt;
using seeds::Peer;
using shelflab::AnswerText;
using shelflab::Reader;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kDue = seconds(1);
constexpr auto kWhole = seconds(20);  // Long beyond each time-out of the sidecar.

shelflab::FleetSpec Fleet() { return rig::Fleet({"read"}, 250'000, 1'000'000); }

// Answers each request that it can read by what `answer` makes of it.
class Answering : public Peer {
 public:
  using Answer = std::function<std::string()>;
  Answering(Answer answer, bool strict) : answer_(std::move(answer)), strict_(strict) {}

 private:
  void Data(std::string_view bytes) override {
    auto state = reader_.Feed(bytes);
    while (state == Reader<true>::State::kWhole) {
      Send(answer_());
      reader_.Next();
      state = reader_.Feed({});
      if (!reader_.has_more()) break;
    }
    if (state != Reader<true>::State::kMalformed) return;
    if (strict_) throw Breach("the sidecar sent a node what is no request");
    Close();
  }
  void Over(net::Fault) override {}

  Answer answer_;
  bool strict_;
  Reader<true> reader_;
};

// Writes its text and reads answers; what comes must be answers.
class Asking : public Peer {
 public:
  explicit Asking(std::string text) : text_(std::move(text)) {}
  int answers = 0;
  int last_status = 0;

 private:
  void Up() override { Send(text_); }
  void Data(std::string_view bytes) override {
    for (auto state = reader_.Feed(bytes);; state = reader_.Feed({})) {
      if (state == Reader<false>::State::kMalformed) throw Breach("an answer is malformed");
      if (state != Reader<false>::State::kWhole) return;
      ++answers;
      last_status = static_cast<int>(reader_.message().result_int());
      reader_.Next();
      if (!reader_.has_more()) return;
    }
  }
  void Over(net::Fault) override {}

  std::string text_;
  Reader<false> reader_;
};

class Stage : public rig::Rig {
 public:
  explicit Stage(std::string_view bytes)
      : Rig(XXH64(bytes.data(), bytes.size(), 0), 1000, {"read"}) {
    net::Weather weather;
    weather.cut = 0.5;
    net_.SetWeather(weather);
  }
  ~Stage() { End(); }

  std::function<std::string()> at_node = [] { return AnswerText(200, "OK", "served"); };
  std::function<std::string()> at_discovery = [] { return AnswerText(200, "OK", rig::ListText()); };

  bool push = false;

  void Open() {
    shelflab::SidecarPlace place;
    place.push = push;  // A watch that is always answered at once would go round and round.
    place.longest_advice = 1'000'000;
    const auto answering = [this](const std::function<std::string()>& answer, bool strict) {
      return [this, &answer, strict] {
        return peers_.emplace_back(std::make_shared<Answering>(answer, strict));
      };
    };
    Start(
        Fleet(), place, [](std::string_view) {}, answering(at_node, true),
        answering(at_discovery, false));
    Run(milliseconds(100));
  }
  std::shared_ptr<Asking> Ask(std::string text, const net::Address& at = kClientsAt) {
    auto peer = std::make_shared<Asking>(std::move(text));
    peer->Dial(client, at);
    return peer;
  }
  std::shared_ptr<Asking> AskWell(std::uint64_t txn) {
    const shelflab::FleetSpec fleet = Fleet();
    shelflab::CallRequest request;
    request.txn = txn;
    request.cls = &fleet.classes[0];
    request.tenant = "t";
    request.due = std::chrono::duration_cast<std::chrono::microseconds>(kDue).count();
    return Ask(RequestText(request, 0));
  }
  // After the whole time the sidecar must hold nothing of all this.
  void CheckRest() {
    Run(kWhole);
    const auto holds = sidecar->holds();
    if (holds.requests + holds.attempts + holds.clients + holds.sockets > 0) {
      throw Breach("something is left at rest");
    }
    if (registry.current() + door->callers() > 0) throw Breach("somebody counts at rest");
  }

 private:
  std::list<std::shared_ptr<Peer>> peers_;
};

void MustBeAnswered(const Asking& asking, bool well) {
  if (asking.answers != 1) {
    throw Breach("a request got " + std::to_string(asking.answers) + " answers");
  }
  if (well && asking.last_status != 200) {
    throw Breach("a request was answered " + std::to_string(asking.last_status));
  }
}

}  // namespace

void PlayClient(std::string_view bytes) {
  Stage stage(bytes);
  stage.Open();
  const auto odd = stage.Ask(std::string(bytes));
  const auto good = stage.AskWell(1);
  stage.Run(kDue + milliseconds(50));
  MustBeAnswered(*good, true);
  odd->Close();
  good->Close();
  stage.CheckRest();
}

void PlayEndpoint(std::string_view bytes) {
  Stage stage(bytes);
  stage.at_node = [text = std::string(bytes)] { return text; };
  stage.Open();
  const auto asking = stage.AskWell(1);
  stage.Run(kDue + milliseconds(50));
  MustBeAnswered(*asking, false);
  asking->Close();
  stage.CheckRest();
}

// Whatever one caller says at the operators' door, the next is answered and so are the clients.
void PlayConsole(std::string_view bytes) {
  Stage stage(bytes);
  stage.Open();
  const auto odd = stage.Ask(std::string(bytes), kDoorAt);
  stage.Run(milliseconds(50));
  const auto good = stage.Ask("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", kDoorAt);
  const auto call = stage.AskWell(1);
  stage.Run(kDue + milliseconds(50));
  MustBeAnswered(*good, true);
  MustBeAnswered(*call, true);
  odd->Close();
  good->Close();
  call->Close();
  stage.CheckRest();
}

// Bodies longer than may be held, with whatever the bytes are behind their first part. The first
// byte says which way and in which framing.
void PlayParts(std::string_view bytes) {
  const std::string held(kelpspring::kHeldBody + 5000, 'x');
  const std::string chunk = kelpspring::ChunkOf(held);
  const std::string rest(bytes.substr(std::min<std::size_t>(1, bytes.size())));
  const int sort = bytes.empty() ? 0 : bytes[0] & 3;
  Stage stage(bytes);
  stage.at_node = [&]() -> std::string {
    switch (sort) {
      case 1:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + rest;
      case 2:
        return "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + held + rest;
      case 3:
        return "HTTP/1.1 200 OK\r\n\r\n" + held + rest;
      default:
        return AnswerText(200, "OK", "served");
    }
  };
  stage.Open();
  const std::string head =
      "GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: 0000000000000001\r\nX-Lane: read\r\nX-Org: t\r\n"
      "X-Remaining-Ms: 1000\r\n";
  const auto asking = stage.Ask(
      sort == 0 ? head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + rest : head + "\r\n");
  stage.Run(kWhole);
  if (asking->answers > 1 && sort != 0) throw Breach("a request got two answers");
  asking->Close();
  stage.CheckRest();
}

void PlayDiscovery(std::string_view bytes) {
  Stage stage(bytes);
  stage.push = true;
  stage.at_discovery = [text = std::string(bytes)] { return text; };
  stage.Open();
  stage.Run(seconds(3));
  const auto asking = stage.AskWell(1);
  stage.Run(kDue + milliseconds(50));
  MustBeAnswered(*asking, false);
  asking->Close();
  stage.CheckRest();
}

}  // namespace fuzz
