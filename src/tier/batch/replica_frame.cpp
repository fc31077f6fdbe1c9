#include "tier/batch/replica_frame.h"

#include <utility>

#include "tier/foundation/cbor.h"

namespace shelflink::batch {
namespace {

constexpr std::size_t kFields = 6;
constexpr std::size_t kFieldsBefore = 5;  // Without the last, as earlier programs write.

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
  out.Bool(frame.takes_results);
  return out.Take();
}

Result<ReplicaFrame> DecodeReplicaFrame(std::string_view body) {
  const Error malformed = MakeError(ErrorCode::kInvalid, "malformed frame of a replica");
  cbor::Reader in(body);
  const std::size_t fields = in.Array();
  if (fields < kFieldsBefore) in.Fail();
  ReplicaFrame frame;
  frame.partition = static_cast<std::uint32_t>(in.Uint());
  frame.epoch = in.Uint();
  frame.disk = in.Bytes();
  frame.has_room = in.Bool();
  if (!in.ok()) return malformed;
  if (!in.TakeNull()) {
    std::optional<coordination::Message> message = coordination::DecodeMessage(in.Bytes());
    if (!in.ok() || !message) return malformed;
    frame.message = coordination::AsReplicaMessage(std::move(*message));
    if (!frame.message) return malformed;
  }
  if (fields >= kFields) frame.takes_results = in.Bool();
  if (!in.ok()) return malformed;
  return frame;
}

}  // namespace shelflink::batch
