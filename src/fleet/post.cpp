#include "fleet/post.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <utility>

#include "sidecar/http.h"

namespace fleet {

namespace http = boost::beast::http;

class Poster::Call : public net::StreamUser {
 public:
  Call(Poster& owner, Told told)
      : owner_(owner),
        told_(std::move(told)),
        timer_(owner.loop_.NewTimer([this] { End(0, "no answer in time"); })) {
    parser_.body_limit(kMostAnswer);
  }

  void Start(const net::Address& to, const std::string& path, const std::string& body,
             std::chrono::microseconds within) {
    kelpspring::HttpRequest request{http::verb::post, path, 11};
    request.set(http::field::host, to.Text());
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();
    outgoing_.Start(kelpspring::TextOf(request));
    timer_->ArmAt(owner_.loop_.Now() + within);
    stream_ = owner_.loop_.Dial(to, *this);
  }

 private:
  void OnConnected(net::Fault fault) override {
    if (fault != net::Fault::kNone) return End(0, net::WordOf(fault));
    stream_->Receive();
    OnWritable();
  }

  void OnWritable() override {
    if (outgoing_.Flush(*stream_) == kelpspring::Outgoing::State::kBroken) End(0, "reset");
  }

  void OnBytes(std::string_view bytes) override {
    incoming_.Append(bytes);
    boost::system::error_code ec;
    while (kelpspring::PutStep(parser_, incoming_, ec) > 0) {
    }
    if (ec) return End(0, ec.message());
    if (!parser_.is_done()) return stream_->Receive();
    End(static_cast<int>(parser_.get().result_int()), parser_.get().body());
  }

  void OnEnd(net::Fault fault) override { End(0, net::WordOf(fault)); }

  void End(int status, const std::string& text) {
    if (!told_) return;
    timer_->Cancel();
    stream_->Close();
    const Told told = std::exchange(told_, nullptr);
    const auto self = std::find_if(owner_.calls_.begin(), owner_.calls_.end(),
                                   [this](const auto& c) { return c.get() == this; });
    // Not from under its own feet.
    owner_.loop_.Post([dead = *self] {});
    owner_.calls_.erase(self);
    told(status, text);
  }

  Poster& owner_;
  Told told_;
  net::TimerPtr timer_;
  net::StreamPtr stream_;
  kelpspring::Outgoing outgoing_;
  kelpspring::Incoming incoming_;
  http::response_parser<kelpspring::TextBody> parser_;
};

Poster::~Poster() = default;

void Poster::Post(const net::Address& to, const std::string& path, const std::string& body,
                  std::chrono::microseconds within, Told told) {
  if (calls_.size() >= kMost) {
    return loop_.Post([told = std::move(told)] { told(0, "too many calls are out"); });
  }
  calls_.push_back(std::make_shared<Call>(*this, std::move(told)));
  calls_.back()->Start(to, path, body, within);
}

}  // namespace fleet
