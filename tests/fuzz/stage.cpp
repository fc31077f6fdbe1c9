// One sidecar on the virtual network between a client, a node and discovery, of which one says
// whatever the bytes are. The others keep to the protocol and hold the sidecar to it.
#include <xxhash.h>

#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>

#include "control/door.h"
#include "fuzz/targets.h"
#include "lab/catalog_wire.h"
#include "lab/sidecar_config.h"
#include "lab/wire.h"
#include "metrics/registry.h"
#include "net/virtual.h"
#include "seeds/peer.h"
#include "sidecar/sidecar.h"

namespace fuzz {
namespace {

using seeds::Peer;
using shelflab::AnswerText;
using shelflab::Reader;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kNodeHost = 0x0a010001;
constexpr std::uint32_t kSidecarHost = 0x0a090001;
constexpr std::uint32_t kClientHost = 0x0a000001;
constexpr std::uint32_t kDiscoveryHost = 0x0a000101;
constexpr auto kDue = seconds(1);
constexpr auto kWhole = seconds(20);  // Long beyond each time-out of the sidecar.

const net::Address kNodeAt = net::Address::V4(kNodeHost, 3000);
const net::Address kSidecarAt = net::Address::V4(kSidecarHost, 7000);
const net::Address kDoorAt = net::Address::V4(kSidecarHost, 7001);
const net::Address kDiscoveryAt = net::Address::V4(kDiscoveryHost, 5000);

shelflab::FleetSpec Fleet() {
  shelflab::FleetSpec fleet;
  fleet.zone = "z";
  shelflab::ClassSpec c;
  c.name = "read";
  c.aim = 250'000;
  c.give_up = 1'000'000;
  c.repeat = shelflab::Repeat::kIdempotent;
  fleet.classes = {c};
  shelflab::TierSpec tier;
  tier.name = "only";
  tier.nodes = 1;
  fleet.tiers = {tier};
  fleet.max_attempts = 3;
  return fleet;
}

std::string ListText() {
  const auto row = JsonOf(shelflab::MemberRow{"n0", kNodeAt.Text(), "z", "k"});
  return nlohmann::json{{"seq", 1}, {"whole", true}, {"hosts", {row}}}.dump();
}

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

class Stage {
 public:
  explicit Stage(std::string_view bytes)
      : net_(XXH64(bytes.data(), bytes.size(), 0)),
        node_(net_, kNodeHost, "node", 1000),
        discovery_(net_, kDiscoveryHost, "discovery", 1000),
        client_(net_, kClientHost, "client", 1000),
        machine_(net_, kSidecarHost, "sidecar", 1000) {
    net::Weather weather;
    weather.cut = 0.5;
    net_.SetWeather(weather);
  }
  ~Stage() {
    machine_.Kill();
    door_.reset();
    sidecar_.reset();
    for (net::VirtualProcess* p : {&node_, &discovery_, &client_}) p->Kill();
    net_.Clear();
  }
  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;

  std::function<std::string()> at_node = [] { return AnswerText(200, "OK", "served"); };
  std::function<std::string()> at_discovery = [] { return AnswerText(200, "OK", ListText()); };

  bool push = false;

  void Open() {
    node_door_ = node_.Listen(kNodeAt);
    discovery_door_ = discovery_.Listen(kDiscoveryAt);
    Accept(*node_door_, at_node, true);
    Accept(*discovery_door_, at_discovery, false);
    const shelflab::FleetSpec fleet = Fleet();
    shelflab::SidecarPlace place;
    place.name = "s0";
    place.listen = kSidecarAt.Text();
    place.discovery = kDiscoveryAt.Text();
    place.push = push;  // A watch that is always answered at once would go round and round.
    place.longest_advice = 1'000'000;
    sidecar_ = std::make_unique<kelpspring::Sidecar>(
        machine_,
        kelpspring::ParseConfig(
            shelflab::SidecarConfig(fleet, place, nlohmann::json::parse(ListText()))),
        kelpspring::Sidecar::Wiring{.sink = [](std::string_view) {}, .observer = &registry_});
    door_ = std::make_unique<control::Door>(
        machine_, sidecar_->log(), kDoorAt,
        control::Orders{.ready = [this] { return sidecar_->ready(); },
                        .metrics =
                            [this] {
                              return registry_.Text({sidecar_->listed(), sidecar_->avoided()});
                            },
                        .drain = [this] { sidecar_->StartDrain(); },
                        .undrain = [this] { return sidecar_->EndDrain(); }});
    Run(milliseconds(100));
  }
  std::shared_ptr<Asking> Ask(std::string text, const net::Address& at = kSidecarAt) {
    auto peer = std::make_shared<Asking>(std::move(text));
    peer->Dial(client_, at);
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
  void Run(net::Span span) { net_.RunUntil(net_.Now() + span); }

  // After the whole time the sidecar must hold nothing of all this.
  void CheckRest() {
    Run(kWhole);
    const auto holds = sidecar_->holds();
    if (holds.requests + holds.attempts + holds.clients + holds.sockets > 0) {
      throw Breach("something is left at rest");
    }
    if (registry_.current() + door_->callers() > 0) throw Breach("somebody counts at rest");
  }

 private:
  void Accept(net::Listener& door, const std::function<std::string()>& answer, bool strict) {
    door.Accept([this, &door, &answer, strict](net::Fault fault, net::StreamPtr stream) {
      if (fault != net::Fault::kNone) return;
      peers_.push_back(std::make_shared<Answering>(answer, strict));
      peers_.back()->Adopt(std::move(stream));
      Accept(door, answer, strict);
    });
  }

  net::VirtualNet net_;
  net::VirtualProcess node_, discovery_, client_, machine_;
  net::ListenerPtr node_door_, discovery_door_;
  std::list<std::shared_ptr<Peer>> peers_;
  metrics::Registry registry_{std::vector<std::string>{"read"}};
  std::unique_ptr<kelpspring::Sidecar> sidecar_;
  std::unique_ptr<control::Door> door_;
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
