#include "lab/store_rig.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/wire.h"
#include "lab/stream.h"
#include "maintenance/order.h"

namespace shelflab {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Json = nlohmann::json;

namespace {

constexpr auto kAnswerSpan = std::chrono::seconds(2);
constexpr int kReadyTries = 500;  // Ten milliseconds apart.
constexpr std::size_t kMostAnswer = 4 << 20;

// A call that ends its connection, so that the answer ends with it.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(asio::io_context& io, HttpAnswered answered)
      : socket_(io), timer_(io), answered_(std::move(answered)) {}

  void Start(const tcp::endpoint& to, std::string text) {
    text_ = std::move(text);
    timer_.expires_after(kAnswerSpan);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->End(0, "");
    });
    socket_.async_connect(to, [self = shared_from_this()](error_code ec) {
      if (ec) return self->End(0, ec.message());
      asio::async_write(self->socket_, asio::buffer(self->text_),
                        [self](error_code failed, std::size_t) {
                          if (failed) return self->End(0, failed.message());
                          self->Read();
                        });
    });
  }

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              self->answer_.append(self->chunk_.data(), n);
                              if (self->Whole() || ec || self->answer_.size() > kMostAnswer) {
                                return self->Finish();
                              }
                              self->Read();
                            });
  }
  // Both of those it is used with say how long their answers are.
  bool Whole() const {
    const std::size_t head = answer_.find("\r\n\r\n");
    const std::size_t at = answer_.find("Content-Length: ");
    if (head == std::string::npos || at == std::string::npos || at > head) return false;
    std::size_t length = 0;
    std::from_chars(answer_.data() + at + 16, answer_.data() + head, length);
    return answer_.size() >= head + 4 + length;
  }
  void Finish() {
    const std::size_t head = answer_.find("\r\n\r\n");
    int status = 0;
    if (head == std::string::npos || answer_.size() < 12) return End(0, "");
    std::from_chars(answer_.data() + 9, answer_.data() + 12, status);
    End(status, answer_.substr(head + 4));
  }
  void End(int status, const std::string& body) {
    if (!answered_) return;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    std::exchange(answered_, nullptr)(status, body);
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  HttpAnswered answered_;
  std::string text_;
  std::string answer_;
  std::array<char, 16384> chunk_{};
};

}  // namespace

void CallHttp(asio::io_context& io, const tcp::endpoint& to, const std::string& method,
              const std::string& path, const std::string& body, HttpAnswered answered) {
  std::make_shared<HttpCall>(io, std::move(answered))
      ->Start(to, fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n"
                              "Content-Length: {}\r\n\r\n{}",
                              method, path, AddressText(to), body.size(), body));
}

std::optional<std::uint32_t> NumberOf(const std::string& name) {
  static const std::string kFirst = "t0n";
  std::uint32_t number = 0;
  if (name.compare(0, kFirst.size(), kFirst) != 0) return std::nullopt;
  const char* end = name.data() + name.size();
  const auto r = std::from_chars(name.data() + kFirst.size(), end, number);
  return r.ec == std::errc() ? std::optional(number) : std::nullopt;
}

StoreRig::StoreRig(asio::io_context& io, Setup setup)
    : io_(io), setup_(std::move(setup)), timer_(io) {
  for (const Endpoint& door : setup_.doors) {
    store_links_.push_back(std::make_unique<TcpRelay>(io, setup_.at, TcpRelay::Process::kDials));
    door_links_.push_back(std::make_unique<TcpRelay>(io, door, TcpRelay::Process::kIsDialled));
  }
}

void StoreRig::Halt() const { process_.Signal(SIGSTOP); }

void StoreRig::Wake() const { process_.Signal(SIGCONT); }

void StoreRig::StartAgain() {
  if (stopped_) return;
  process_ =
      Process({setup_.program, "coordinator", "--listen", AddressText(setup_.at), "--journal",
               setup_.folder + "/coordinator.journal", "--seed", std::to_string(setup_.seed)},
              {}, setup_.folder + "/coordinator.log");
}

void StoreRig::Start(std::function<void(const std::string&)> ready) {
  // A play begins with nothing; within it the stand-in comes back with all that it had said.
  std::error_code ignored;
  std::filesystem::remove(setup_.folder + "/coordinator.journal", ignored);
  if (setup_.in_folder) {
    std::filesystem::remove_all(StoreFolder(), ignored);
    std::filesystem::create_directories(StoreFolder(), ignored);
    return ready(ignored ? StoreFolder() + ": " + ignored.message() : "");
  }
  StartAgain();
  AwaitReady(kReadyTries, std::move(ready));
}

void StoreRig::AwaitReady(int tries, std::function<void(const std::string&)> ready) {
  CallHttp(
      io_, setup_.at, "POST", "/lab/state", "{}",
      [this, tries, ready = std::move(ready)](int status, const std::string&) mutable {
        if (stopped_) return;
        if (status == 200) return ready("");
        if (tries == 0 || !process_.running()) {
          return ready("the coordinator did not start; see " + setup_.folder + "/coordinator.log");
        }
        timer_.expires_after(std::chrono::milliseconds(10));
        timer_.async_wait([this, tries, ready = std::move(ready)](error_code ec) mutable {
          if (!ec) AwaitReady(tries - 1, std::move(ready));
        });
      });
}

void StoreRig::Stop() {
  if (std::exchange(stopped_, true)) return;
  timer_.cancel();
  for (auto& link : store_links_) link->Stop();
  for (auto& link : door_links_) link->Stop();
  process_.Kill();
}

std::string StoreRig::StoreFolder() const { return setup_.folder + "/store"; }

std::string StoreRig::StoreAddress(std::size_t process) const {
  if (setup_.in_folder) return "file:" + std::filesystem::absolute(StoreFolder()).string();
  return AddressText(store_links_[process]->address());
}

std::string StoreRig::DoorAddress(std::size_t process) const {
  return AddressText(door_links_[process]->address());
}

void StoreRig::Tell(const std::string& path, const std::string& body) {
  CallHttp(io_, setup_.at, "POST", path, body, [](int, const std::string&) {});
}

void StoreRig::AskKey(const std::string& key, std::function<void(const std::string&)> told) {
  namespace wire = coordination::wire;
  CallHttp(io_, setup_.at, "POST", std::string(wire::path::kRange),
           wire::JsonOf(coordination::Range{key}).dump(),
           [told = std::move(told)](int status, const std::string& body) {
             const Json json = status == 200 ? Json::parse(body, nullptr, false) : Json();
             if (!json.is_object() || !json.contains("kvs") || json["kvs"].empty()) return told("");
             try {
               told(wire::FromBase64(json["kvs"][0].value("value", "")));
             } catch (const std::exception&) {
               told("");
             }
           });
}

void StoreRig::AskDoors(std::size_t first, std::function<void(const Json&)> told) {
  if (first >= setup_.doors.size()) return told(nullptr);
  CallHttp(io_, setup_.doors[first], "GET", "/fleet", "",
           [this, first, told = std::move(told)](int status, const std::string& body) {
             const Json fleet = status == 200 ? Json::parse(body, nullptr, false) : Json();
             const bool follows = fleet.is_object() && fleet.value("following", false);
             if (follows || stopped_) return told(fleet);
             AskDoors(first + 1, told);
           });
}

void StoreRig::AskOwner(std::function<void(std::optional<std::uint32_t>)> told) {
  if (setup_.in_folder) {
    return AskDoors(0, [told = std::move(told)](const Json& fleet) {
      const bool owned = fleet.is_object() && fleet.contains("owner");
      const std::string name = owned ? fleet["owner"].value("name", "") : "";
      told(NumberOf(name.substr(0, name.find(' '))));
    });
  }
  const maintenance::Keys keys{std::string("/shelflink/") + kStormFleet + '/'};
  AskKey(keys.Work(), [told = std::move(told)](const std::string& value) {
    told(NumberOf(value.substr(0, value.find(' '))));
  });
}

void StoreRig::AskOrder(std::function<void(const std::string&)> told) {
  if (setup_.in_folder) {
    return AskDoors(0, [told = std::move(told)](const Json& fleet) {
      told(fleet.is_object() && fleet.contains("order") ? fleet["order"].dump() : "");
    });
  }
  const maintenance::Keys keys{std::string("/shelflink/") + kStormFleet + '/'};
  AskKey(keys.TheOrder(), std::move(told));
}

}  // namespace shelflab
