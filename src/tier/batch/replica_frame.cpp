#include "tier/batch/replica_frame.h"

#include <utility>

#include "tier/foundation/cbor.h"

namespace shelflink::batch {
namespace {

constexpr std::size_t kFields = 5;

}  // namespace

std::string Encode(ReplicaFrame frame) {
  cbor::Writer out;
  out.Array(kFields).Uint(frame.partition).Uint(frame.epoch).Bytes(frame.disk);
  out.Bool(frame.has_room);
  if (frame.message) {
    out.Bytes(coordination::Encode(coordination::AsMessage(std::move(*frame.message))));
  } else {
    out.Null();
  }
  return out.Take();
}

Result<ReplicaFrame> DecodeReplicaFrame(std::string_view body) {
  const Error malformed = MakeError(ErrorCode::kInvalid, "malformed frame of a replica");
  cbor::Reader in(body);
  if (in.Array() < kFields) in.Fail();
  ReplicaFrame frame;
  frame.partition = static_cast<std::uint32_t>(in.Uint());
  frame.epoch = in.Uint();
  frame.disk = in.Bytes();
  frame.has_room = in.Bool();
  if (!in.ok()) return malformed;
  if (in.TakeNull()) return frame;
  std::optional<coordination::Message> message = coordination::DecodeMessage(in.Bytes());
  if (!in.ok() || !message) return malformed;
  frame.message = coordination::AsReplicaMessage(std::move(*message));
  if (!frame.message) return malformed;
  return frame;
}

}  // namespace shelflink::batch
