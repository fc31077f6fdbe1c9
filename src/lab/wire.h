// The wire form of requests and answers, as callers, sidecars and endpoints speak it.
#ifndef SHELFLAB_LAB_WIRE_H_
#define SHELFLAB_LAB_WIRE_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "emulator/account.h"
#include "emulator/spec.h"

namespace shelflab {

// Where what was seen on the wire goes.
using SeenSink = std::function<void(const Seen&)>;

struct CallRequest {
  std::uint64_t txn = 0;
  const ClassSpec* cls = nullptr;
  std::uint32_t cls_index = 0;
  std::string_view tenant;
  Micros due = 0;
};

// `now` is when it is written: the time left counts from there.
std::string RequestText(const CallRequest& request, Micros now);
std::string AnswerText(int status, std::string_view reason, std::string_view body,
                       std::string_view more_headers = {});

std::string TxnText(std::uint64_t txn);
std::optional<std::uint64_t> ParseTxn(std::string_view text);
std::uint64_t BodyHash(std::string_view body);

// Reads one message after the other out of what comes in. `Message` is Beast's request or response
// parser with a string body; it exists only while a message is under way.
template <bool kIsRequest>
class Reader {
 public:
  using Parser = boost::beast::http::parser<kIsRequest, boost::beast::http::string_body>;
  enum class State { kMore, kWhole, kMalformed };

  // Takes bytes in. After kWhole, message() holds it until Next().
  State Feed(std::string_view bytes) {
    if (!pending_.empty()) {
      pending_.append(bytes);
      bytes = pending_;
    }
    if (!parser_) {
      parser_.emplace();
      parser_->body_limit(std::uint64_t{1} << 26);
    }
    while (!bytes.empty() && !parser_->is_done()) {
      boost::system::error_code ec;
      const std::size_t used = parser_->put({bytes.data(), bytes.size()}, ec);
      bytes.remove_prefix(used);
      if (ec == boost::beast::http::error::need_more || (!ec && used == 0)) break;
      if (ec) return State::kMalformed;
    }
    std::string rest(bytes);
    pending_ = std::move(rest);
    return parser_->is_done() ? State::kWhole : State::kMore;
  }
  // Of a message whose end is the end of its connection.
  bool begun() const { return parser_.has_value(); }
  auto& message() { return parser_->get(); }
  // What has come after the message, if anything, stays for the next Feed.
  void Next() { parser_.reset(); }
  bool has_more() const { return !pending_.empty(); }

 private:
  std::optional<Parser> parser_;
  std::string pending_;
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_WIRE_H_
