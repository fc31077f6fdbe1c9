// HTTP as text: Beast parses and serialises, the seam moves the bytes.
#ifndef KELPSPRING_HTTP_H_
#define KELPSPRING_HTTP_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace kelpspring {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

constexpr std::uint64_t kBodyLimit = 65536;
constexpr std::uint32_t kHeaderLimit = 16384;

inline std::string_view View(boost::beast::string_view s) { return {s.data(), s.size()}; }

// The path of a request's target, without query, in origin and in absolute form.
inline std::string_view PathOf(std::string_view target) {
  if (const auto scheme = target.find("://"); scheme != target.npos && target.front() != '/') {
    const auto path = target.find_first_of("/?", scheme + 3);
    target = path == target.npos ? "/" : target.substr(path);
  }
  return target.substr(0, target.find('?'));
}

// A whole message as it goes out.
template <bool kIsRequest>
std::string TextOf(
    const boost::beast::http::message<kIsRequest, boost::beast::http::string_body>& message) {
  namespace http = boost::beast::http;
  http::serializer<kIsRequest, http::string_body> serializer(message);
  std::string text;
  boost::system::error_code ec;
  while (!serializer.is_done() && !ec) {
    serializer.next(ec, [&](boost::system::error_code&, const auto& buffers) {
      std::size_t taken = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer part(*it);
        text.append(static_cast<const char*>(part.data()), part.size());
        taken += part.size();
      }
      serializer.consume(taken);
    });
  }
  return text;
}

// What has come and was not used yet. One that is empty holds no memory.
class Incoming {
 public:
  void Append(std::string_view bytes) {
    buffer_.commit(boost::asio::buffer_copy(buffer_.prepare(bytes.size()),
                                            boost::asio::buffer(bytes.data(), bytes.size())));
  }
  auto data() const { return buffer_.cdata(); }
  std::size_t size() const { return buffer_.size(); }
  bool empty() const { return buffer_.size() == 0; }
  void Consume(std::size_t n) { buffer_.consume(n); }
  void Clear() { buffer_.clear(); }
  void Trim() {
    if (empty()) buffer_.shrink_to_fit();
  }

 private:
  boost::beast::flat_buffer buffer_;
};

// What goes out, handed over as fast as the other side takes it.
class Outgoing {
 public:
  enum class State { kAllOut, kMoreToCome, kBroken };

  void Start(std::string text) {
    text_ = std::move(text);
    sent_ = 0;
  }
  // Writes at once what the machine takes, so that at every moment it is known whether the last
  // byte has left. kMoreToCome: to be called again at OnWritable.
  State Flush(net::Stream& stream) {
    const net::Written written = stream.Write(std::string_view(text_).substr(sent_));
    sent_ += written.bytes;
    if (written.fault != net::Fault::kNone) return State::kBroken;
    if (sent_ < text_.size()) return State::kMoreToCome;
    text_ = {};
    sent_ = 0;
    return State::kAllOut;
  }
  void Clear() {
    text_ = {};
    sent_ = 0;
  }

 private:
  std::string text_;
  std::size_t sent_ = 0;
};

}  // namespace kelpspring

#endif  // KELPSPRING_HTTP_H_
