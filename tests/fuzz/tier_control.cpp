// The operator's listener: libsoup on real sockets over loopback, in one loop with its clients, so
// that whatever was sent has come once the loop has nothing more to do.
#include <glib.h>

#include <chrono>
#include <memory>
#include <string>

#include "fuzz/tier_targets.h"
#include "net/glib_loop.h"
#include "operator_api/fake_service.h"
#include "tier/operator_api/server.h"

#if defined(__SANITIZE_ADDRESS__) || defined(__clang__)
// libsoup 3.2.3 itself loses the path of a request line whose version it doesn't know.
extern "C" const char* __lsan_default_suppressions() {  // NOLINT
  return "leak:soup_headers_parse_request\n";
}
#endif

namespace fuzz {
namespace {

namespace operator_api = shelflink::operator_api;
namespace transport = shelflink::transport;

const net::Address kAnyPort = net::Address::V4(0x7f000001, 0);

class Operator : public net::StreamUser {
 public:
  Operator(net::Loop& loop, const net::Address& server) : stream_(loop.Dial(server, *this)) {}

  void Send(std::string_view bytes) {
    unsent_ += bytes;
    if (up_) OnWritable();
  }
  void EndSending() { stream_->EndSending(); }
  bool Succeeded() const { return got_.substr(0, 13) == "HTTP/1.1 200 "; }

 private:
  void OnConnected(net::Fault fault) override {
    up_ = fault == net::Fault::kNone;
    if (!up_) return;
    stream_->Receive();
    OnWritable();
  }
  void OnBytes(std::string_view bytes) override {
    got_ += bytes;
    stream_->Receive();
  }
  void OnEnd(net::Fault) override {}
  void OnWritable() override {
    if (!unsent_.empty()) unsent_.erase(0, stream_->Write(unsent_).bytes);
  }

  net::StreamPtr stream_;
  std::string unsent_;
  std::string got_;
  bool up_ = false;
};

// One for all inputs: a server that one of them has harmed must be seen by the next.
class Control {
 public:
  Control() {
    service_.is_primary_here = true;
    server_.SetMetrics([] { return std::string("figures 1\n"); });
  }

  std::unique_ptr<Operator> Connect() {
    return std::make_unique<Operator>(loop_, server_.address());
  }
  void Settle() {
    while (g_main_context_iteration(nullptr, FALSE) != 0) {
    }
  }
  void ForgetOrders() {
    service_.changes.clear();
    service_.retirements.clear();
    service_.asked_states.clear();
  }

 private:
  net::GlibLoop loop_;
  operator_api::FakeService service_{loop_};
  transport::Hub hub_{loop_, {"node", "core", "zone", kAnyPort, 1}, {}};
  operator_api::Forwarder forwarder_{loop_, hub_, service_, {std::chrono::seconds(20)}};
  operator_api::Server server_{loop_, forwarder_, kAnyPort};
};

}  // namespace

// The first two bytes say where the others are cut.
void PlayControl(std::string_view bytes) {
  static Control* const control = new Control;  // Lives as long as the process.
  if (bytes.size() < 2) return;
  const std::string_view text = bytes.substr(2);
  const std::size_t wanted =
      static_cast<unsigned char>(bytes[0]) | static_cast<unsigned char>(bytes[1]) << 8U;
  const std::size_t cut = wanted % (text.size() + 1);
  const auto odd = control->Connect();
  odd->Send(text.substr(0, cut));
  control->Settle();
  odd->Send(text.substr(cut));
  control->Settle();
  odd->EndSending();
  control->Settle();
  const auto good = control->Connect();
  good->Send("GET /config HTTP/1.1\r\nHost: core\r\n\r\n");
  control->Settle();
  if (!good->Succeeded()) throw Breach("the next order was not served");
  control->ForgetOrders();
}

}  // namespace fuzz
