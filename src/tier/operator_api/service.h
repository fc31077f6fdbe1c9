// What the operator may ask of the core, as typed orders with asynchronous answers. The HTTP server
// (operator_api/server.h) speaks to it; the core implements it on its primary.
#ifndef SHELFLINK_TIER_OPERATOR_API_SERVICE_H_
#define SHELFLINK_TIER_OPERATOR_API_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "net/address.h"
#include "tier/configuration/book.h"
#include "tier/coordination/refusals.h"
#include "tier/foundation/result.h"

namespace shelflink::operator_api {

struct RetireOrder {
  std::string node;                       // Name of a storage machine.
  std::chrono::milliseconds deadline{0};  // The machine should be empty by then.
  std::uint64_t refusals_seen = 0;        // As its sender was told (coordination/refusals.h).
};

// What an order to change something came to, where it was not refused.
struct Acknowledged {};
// It was refused before. Whoever still wants it sends it again with that number.
using coordination::ConfirmationRequired;
using OrderOutcome = std::variant<Acknowledged, ConfirmationRequired>;

enum class RetireState : std::uint8_t { kRunning, kCompleted };

// Each `done` is called once, on the loop's thread, never from inside the call. Errors and what the
// operator reads of them:
//   kInvalid 400, kNotFound 404, kConflict 412 (a change) or 409 (a retirement),
//   kTooLarge 413, kUnavailable and kExhausted 503 (nothing happened), kUnknown and kStorage 504.
// ConfirmationRequired is no error: 307 to the path that carries the number.
// A process that is not the primary answers kUnavailable; the caller then looks for the primary.
class OperatorService {
 public:
  using ChangeDone = std::function<void(Result<OrderOutcome>)>;
  using DocumentDone = std::function<void(Result<std::string>)>;
  using RetireDone = std::function<void(Result<OrderOutcome>)>;
  using RetireStateDone = std::function<void(Result<RetireState>)>;

  virtual ~OperatorService() = default;

  // This process is the primary, with a valid lease.
  virtual bool is_primary() const = 0;
  // Internal address of the primary, where known.
  virtual std::optional<net::Address> primary() const = 0;

  // PUT and PATCH /config. Repeating an order that was taken is acknowledged again.
  virtual void ChangeConfiguration(configuration::ChangeOrder order, ChangeDone done) = 0;
  // GET /config: the newest acknowledged document; kNotFound where there is none.
  virtual void ReadConfiguration(DocumentDone done) = 0;
  // POST /retire/NODE; repeating it is acknowledged again.
  virtual void Retire(RetireOrder order, RetireDone done) = 0;
  // GET /retire/NODE; kNotFound where nobody asked for it.
  virtual void ReadRetireState(std::string node, RetireStateDone done) = 0;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_SERVICE_H_
