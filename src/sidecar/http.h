// HTTP as text: Beast parses and serialises, the seam moves the bytes.
#ifndef KELPSPRING_HTTP_H_
#define KELPSPRING_HTTP_H_

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "net/loop.h"

namespace kelpspring {

template <typename Buffers>
std::size_t AppendTo(std::string& text, const Buffers& buffers) {
  std::size_t taken = 0;
  for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers)) {
    text.append(static_cast<const char*>(part.data()), part.size());
    taken += part.size();
  }
  return taken;
}

// A body as text. Unlike Beast's own it takes no memory for what is only announced, and what has
// come can be taken out while more is on its way.
struct TextBody {
  using value_type = std::string;
  static std::uint64_t size(const value_type& body) { return body.size(); }
  using writer = boost::beast::http::string_body::writer;
  class reader {
   public:
    template <bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& ec) { ec = {}; }
    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      return AppendTo(body_, buffers);
    }
    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

using HttpRequest = boost::beast::http::request<TextBody>;
using HttpResponse = boost::beast::http::response<TextBody>;

constexpr std::uint64_t kHeldBody = 65536;           // Up to this a body is held whole.
constexpr std::uint64_t kLeastHeld = 8192;           // The same, where memory is short.
constexpr std::uint64_t kLargestBody = 64ULL << 20;  // What is announced as longer is refused.
constexpr std::uint32_t kHeaderLimit = 16384;

// How much of a body may be held, so that all bodies together stay within a quarter of the memory.
struct BodyBudget {
  std::uint64_t bytes = 0;
  std::size_t holders = 0;  // Connections on both sides.

  std::uint64_t Each() const {
    return std::clamp(bytes / std::max<std::size_t>(1, holders), kLeastHeld, kHeldBody);
  }
};

inline HttpResponse PlainText(boost::beast::http::status status, std::string text) {
  HttpResponse response{status, 11};
  response.set(boost::beast::http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

inline std::string_view View(boost::beast::string_view s) { return {s.data(), s.size()}; }

// A request's target: where it names a scheme and an authority (absolute form) these are set apart.
struct Target {
  std::string_view authority;
  std::string_view origin;  // Path and query.
};
inline Target Split(std::string_view target) {
  const auto scheme = target.find("://");
  if (scheme == target.npos || target.front() == '/' || target.find('/') < scheme) {
    return {{}, target};
  }
  const std::string_view rest = target.substr(scheme + 3);
  const auto path = std::min(rest.find_first_of("/?"), rest.size());
  return {rest.substr(0, path), path == rest.size() ? "/" : rest.substr(path)};
}
inline std::string_view PathOf(std::string_view target) {
  const std::string_view origin = Split(target).origin;
  return origin.substr(0, origin.find('?'));
}

// A whole message as it goes out.
template <bool kIsRequest>
std::string TextOf(const boost::beast::http::message<kIsRequest, TextBody>& message) {
  boost::beast::http::serializer<kIsRequest, TextBody> serializer(message);
  std::string text;
  boost::system::error_code ec;
  while (!serializer.is_done() && !ec) {
    serializer.next(ec, [&](boost::system::error_code&, const auto& buffers) {
      serializer.consume(AppendTo(text, buffers));
    });
  }
  return text;
}

// Its head alone; the body follows in parts.
inline std::string HeadOf(const HttpRequest& message) {
  std::string text;
  HttpRequest::fields_type::writer writer(message, message.version(), message.method());
  AppendTo(text, writer.get());
  return text;
}
inline std::string HeadOf(const HttpResponse& message) {
  std::string text;
  HttpResponse::fields_type::writer writer(message, message.version(), message.result_int());
  AppendTo(text, writer.get());
  return text;
}

// A part of a body as one chunk; none for no bytes, which would end it.
inline std::string ChunkOf(std::string_view part) {
  if (part.empty()) return {};
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), 16).ptr;
  std::string chunk(digits.data(), end);
  return chunk.append("\r\n").append(part).append("\r\n");
}
constexpr std::string_view kLastChunk = "0\r\n\r\n";

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
  void Consume(std::size_t n) {
    buffer_.consume(n);
    if (n > 0) wanted_ = 0;
  }
  void Clear() {
    buffer_.clear();
    wanted_ = 0;
  }
  // Fewer bytes than these are of no use to the parser.
  void Want(std::size_t bytes) { wanted_ = bytes; }
  bool HasWanted() const { return !empty() && size() >= wanted_; }
  void Trim() {
    if (empty()) buffer_.shrink_to_fit();
  }

 private:
  boost::beast::flat_buffer buffer_;
  std::size_t wanted_ = 0;
};

// The shortest end of a body in chunks. Beast 1.74 asserts that this much is there once it has seen
// the head of the last chunk, so it isn't asked again before.
constexpr std::size_t kShortestLastChunk = 5;

// One step of what has come into a parser: how many bytes it took. 0 once it is done or needs more,
// or where what has come is no HTTP, which `ec` tells. A field that is longer than Beast can hold,
// which it throws at, is over the limit of the head, however high that is.
template <typename Parser>
std::size_t PutStep(Parser& parser, Incoming& incoming, boost::system::error_code& ec) {
  ec = {};
  if (!incoming.HasWanted() || parser.is_done()) return 0;
  std::size_t used = 0;
  try {
    used = parser.put(incoming.data(), ec);
  } catch (const std::length_error&) {
    ec = boost::beast::http::error::header_limit;
    return 0;
  }
  incoming.Consume(used);
  if (!ec) return used;
  if (ec != boost::beast::http::error::need_more) return 0;
  ec = {};
  if (parser.is_header_done() && parser.chunked()) incoming.Want(kShortestLastChunk);
  return 0;
}

// What goes out, handed over as fast as the other side takes it.
class Outgoing {
 public:
  enum class State { kAllOut, kMoreToCome, kBroken };

  void Start(std::string text) {
    text_ = std::move(text);
    sent_ = 0;
  }
  // Behind what has not gone out yet.
  void Add(std::string text) {
    if (empty()) return Start(std::move(text));
    text_.erase(0, sent_);
    sent_ = 0;
    text_ += text;
  }
  // Writes at once what the machine takes, so that at every moment it is known whether the last
  // byte has left. kMoreToCome: to be called again at OnWritable.
  State Flush(net::Stream& stream) {
    if (empty()) return State::kAllOut;
    const net::Written written = stream.Write(std::string_view(text_).substr(sent_));
    sent_ += written.bytes;
    if (written.fault != net::Fault::kNone) return State::kBroken;
    if (sent_ < text_.size()) return State::kMoreToCome;
    Clear();
    return State::kAllOut;
  }
  bool empty() const { return sent_ == text_.size(); }
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
