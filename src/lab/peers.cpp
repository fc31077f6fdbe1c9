// The two plain peers of the bench: an endpoint that answers at once, and a byte relay.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "lab/bench.h"
#include "lab/catalog_wire.h"
#include "lab/stream.h"
#include "lab/wire.h"

namespace shelflab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 4096;
const std::string kBody(256, 'x');

// A listener that hands each connection to `enter`.
class Door {
 public:
  using Enter = std::function<void(tcp::socket)>;
  Door(asio::io_context& io, Enter enter) : acceptor_(io), enter_(std::move(enter)) {
    acceptor_.open(tcp::v4());
    acceptor_.bind({asio::ip::address_v4::loopback(), 0});
    acceptor_.listen(kBacklog);
    Accept();
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec == asio::error::operation_aborted) return;
      if (!ec) {
        Prepare(socket);
        enter_(std::move(socket));
      }
      Accept();
    });
  }
  tcp::acceptor acceptor_;
  Enter enter_;
};

class EchoLine : public Stream {
 public:
  EchoLine(Socket socket, const std::string& list) : Stream(std::move(socket)), list_(list) {}

 protected:
  void OnBytes(std::string_view bytes) override {
    static const std::string answer = AnswerText(200, "OK", kBody);
    auto state = reader_.Feed(bytes);
    while (state == Reader<true>::State::kWhole) {
      const std::string_view target(reader_.message().target().data(),
                                    reader_.message().target().size());
      // A watch is never answered: nothing ever changes here.
      if (target == "/catalog/members") {
        Write(AnswerText(200, "OK", list_));
      } else if (target.substr(0, 8) != "/catalog") {
        Write(answer);
      }
      reader_.Next();
      if (!reader_.has_more()) return;
      state = reader_.Feed({});
    }
    if (state == Reader<true>::State::kMalformed) Close();
  }
  void OnClosed() override {}

 private:
  const std::string& list_;
  Reader<true> reader_;
};

class RelayLine : public Stream {
 public:
  using Stream::Stream;
  void Pair(const std::shared_ptr<RelayLine>& other) { other_ = other; }

 protected:
  void OnBytes(std::string_view bytes) override {
    if (other_) other_->Write(bytes);
  }
  void OnClosed() override {
    const auto other = std::exchange(other_, nullptr);
    if (!other) return;
    other->other_.reset();
    other->CloseAfterWriting();
  }

 private:
  std::shared_ptr<RelayLine> other_;
};

}  // namespace

void RunEcho(std::uint32_t endpoints) {
  asio::io_context io(1);
  std::string list;
  const auto enter = [&list](tcp::socket socket) {
    std::make_shared<EchoLine>(std::move(socket), list)->StartReading();
  };
  std::vector<std::unique_ptr<Door>> doors;
  nlohmann::json hosts = nlohmann::json::array();
  for (std::uint32_t i = 0; i < endpoints; ++i) {
    const Door& door = *doors.emplace_back(std::make_unique<Door>(io, enter));
    hosts.push_back(JsonOf(MemberRow{"echo-" + std::to_string(i), door.Address(), "z0", "echo"}));
  }
  list = nlohmann::json{{"seq", 1}, {"whole", true}, {"hosts", hosts}}.dump();
  for (const auto& door : doors) std::cout << door->Address() << "\n";
  std::cout << std::endl;
  io.run();
}

void RunRelay(const tcp::endpoint& target) {
  asio::io_context io(1);
  const Door door(io, [&](tcp::socket socket) {
    const auto in = std::make_shared<RelayLine>(std::move(socket));
    const auto out = std::make_shared<tcp::socket>(io);
    out->async_connect(target, [in, out](error_code ec) {
      if (ec) return in->Close();
      Prepare(*out);
      const auto back = std::make_shared<RelayLine>(std::move(*out));
      in->Pair(back);
      back->Pair(in);
      in->StartReading();
      back->StartReading();
    });
  });
  std::cout << door.Address() << "\n" << std::endl;
  io.run();
}

}  // namespace shelflab
