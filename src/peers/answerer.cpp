#include "peers/answerer.h"

#include <algorithm>
#include <utility>

namespace peers {

void Answerer::SetList(std::int64_t version, Micros held_at, std::function<std::string()> text) {
  version_ = version;
  held_at_ = held_at;
  make_ = std::move(text);
}

void Answerer::Make() {
  if (!make_) return;
  text_ = std::exchange(make_, nullptr)();
  if (text_.empty() || text_.size() > kMostBytes) version_ = 0;
  checksum_ = ChecksumOf(text_);
}

std::optional<Message> Answerer::Answer(Micros now, const Message& ask) {
  const double since = static_cast<double>(now - std::exchange(filled_at_, now)) / 1e6;
  tokens_ = std::min(kMostAnswers / 10, tokens_ + since * kMostAnswers);
  if (tokens_ < 1) return std::nullopt;
  tokens_ -= 1;
  Message reply;
  reply.fleet = ask.fleet;
  reply.nonce = ask.nonce;
  reply.kind = Kind::kNone;
  Make();
  const bool has = version_ > 0 && (ask.version == 0 || ask.version == version_);
  if (!has || ask.part >= PartsOf(text_)) return reply;
  reply.kind = Kind::kPart;
  reply.version = version_;
  reply.age = now - held_at_;
  reply.parts = PartsOf(text_);
  reply.part = ask.part;
  reply.checksum = checksum_;
  reply.bytes = PartOf(text_, ask.part);
  return reply;
}

}  // namespace peers
