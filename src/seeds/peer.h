// One end of a connection that the world plays: writes everything in the end, reads all that comes.
#ifndef SHELFLINK_SEEDS_PEER_H_
#define SHELFLINK_SEEDS_PEER_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/loop.h"

namespace seeds {

class Peer : public net::StreamUser, public std::enable_shared_from_this<Peer> {
 public:
  Peer() = default;
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;
  virtual ~Peer() = default;

  // Of an accepted stream.
  void Adopt(net::StreamPtr stream) {
    stream_ = std::move(stream);
    stream_->SetUser(*this);
    stream_->Receive();
  }
  void Dial(net::Loop& loop, const net::Address& to) { stream_ = loop.Dial(to, *this); }

  void Send(std::string_view text) {
    unsent_ += text;
    Flush();
  }
  // After what was sent so far has gone out.
  void CloseWhenSent() {
    closing_ = true;
    if (unsent_.empty()) Close();
  }
  void Close() {
    if (stream_) stream_->Close();
    over_ = true;
  }
  void Reset() {
    if (stream_) stream_->Reset();
    over_ = true;
  }
  // Reads no further until it is turned off again.
  void Hold(bool on) {
    held_ = on;
    if (!on && !over_ && stream_) stream_->Receive();
  }
  bool over() const { return over_; }
  std::size_t unsent() const { return unsent_.size(); }
  bool up() const { return up_; }
  net::Stream* stream() { return stream_.get(); }

 protected:
  virtual void Up() {}
  virtual void Data(std::string_view bytes) = 0;
  // It has ended, or never came up. Not called after Close or Reset.
  virtual void Over(net::Fault fault) = 0;

 private:
  void OnConnected(net::Fault fault) override {
    const auto self = shared_from_this();
    if (fault != net::Fault::kNone) return Ended(fault);
    up_ = true;
    stream_->Receive();
    Up();
  }
  void OnBytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    Data(bytes);
    if (!over_ && !held_) stream_->Receive();
  }
  void OnEnd(net::Fault fault) override {
    const auto self = shared_from_this();
    Ended(fault);
  }
  void OnWritable() override {
    const auto self = shared_from_this();
    Flush();
  }
  void Flush() {
    if (over_ || !stream_) return;
    const net::Written written = stream_->Write(unsent_);
    unsent_.erase(0, written.bytes);  // A break shows at the read that is always pending.
    if (closing_ && unsent_.empty()) Close();
  }
  void Ended(net::Fault fault) {
    over_ = true;
    stream_->Close();
    Over(fault);
  }

  net::StreamPtr stream_;
  std::string unsent_;
  bool up_ = false;
  bool over_ = false;
  bool closing_ = false;
  bool held_ = false;
};

}  // namespace seeds

#endif  // SHELFLINK_SEEDS_PEER_H_
