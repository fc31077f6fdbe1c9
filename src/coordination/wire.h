// The words of a coordination store as etcd's gateway publishes them: JSON of protocol buffers,
// with 64-bit numbers as text and bytes in base64. Both ends are here, the program's and the
// stand-in's. What is left out is 0, empty or false; names may be in either of the published
// spellings.
#ifndef SHELFLINK_COORDINATION_WIRE_H_
#define SHELFLINK_COORDINATION_WIRE_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "coordination/model.h"
#include "coordination/store.h"
#include "coordination/words.h"

namespace coordination::wire {

using Json = nlohmann::json;

// Says which field could not be understood, and what was expected.
struct BadWire : std::runtime_error {
  using std::runtime_error::runtime_error;
};

namespace path {
constexpr std::string_view kTxn = "/v3/kv/txn";
constexpr std::string_view kRange = "/v3/kv/range";
constexpr std::string_view kPut = "/v3/kv/put";
constexpr std::string_view kDelete = "/v3/kv/deleterange";
constexpr std::string_view kCompact = "/v3/kv/compaction";
constexpr std::string_view kGrant = "/v3/lease/grant";
constexpr std::string_view kKeepAlive = "/v3/lease/keepalive";
constexpr std::string_view kRevoke = "/v3/lease/revoke";
constexpr std::string_view kWatch = "/v3/watch";
}  // namespace path

std::string ToBase64(std::string_view bytes);
// Throws BadWire.
std::string FromBase64(std::string_view text);

// A 64-bit number, text or number, 0 where it is missing. Throws BadWire.
std::int64_t NumberIn(const Json& json, std::string_view name);

// ---- What is asked ----

Json JsonOf(const Txn& txn);
Txn TxnOf(const Json& json);
Json JsonOf(const Range& range);
Range RangeOf(const Json& json);
// Of a put or a delete that is asked for by itself.
Operation PutOf(const Json& json);

struct WatchOrder {
  Range range;
  Revision from = 0;
};
Json JsonOf(const WatchOrder& order);
WatchOrder WatchOrderOf(const Json& json);

// ---- What is answered ----

Json HeaderOf(Revision revision);
// What the answer to this transaction says.
Json JsonOf(const Done& done, const Txn& txn);
Done DoneOf(const Json& json);

// One message of a watch.
struct Told {
  Revision revision = 0;
  bool created = false;
  bool cancelled = false;
  Revision compacted = 0;  // Above 0: what came up to it is forgotten.
  std::vector<Event> events;
};
Json JsonOf(const Told& told);
Told ToldOf(const Json& json);

// ---- What a store of our own keeps: not of the published interface ----

Json JsonOf(const Model::Image& image);
Model::Image ImageOf(const Json& json);

// What went wrong, as the store says it, with the code of its RPC system.
enum class Code { kInvalid = 3, kNotFound = 5, kFailed = 9, kOutOfRange = 11, kUnavailable = 14 };
struct Error {
  int code = 0;
  std::string text;
};
Json JsonOf(const Error& error);
Error ErrorOf(const Json& json);
// Whether one of that code has done nothing, for sure.
bool NothingDone(int code);

}  // namespace coordination::wire

#endif  // SHELFLINK_COORDINATION_WIRE_H_
