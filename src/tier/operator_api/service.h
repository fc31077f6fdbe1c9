// The operator's API as an interface with typed orders and asynchronous answers. The HTTP server
// (operator_api/server.h) calls it through the forwarder; the core implements it on its primary.
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
  std::string node;                       // The storage machine to empty.
  std::chrono::milliseconds deadline{0};  // Time within which the operator wants it empty.
  std::uint64_t refusals_seen = 0;        // As its sender was told (coordination/refusals.h).
};

// The outcome of a change or a retirement that was not refused.
struct Acknowledged {};
// The order was refused before. To execute it, its sender sends it again with this number.
using coordination::ConfirmationRequired;
using OrderOutcome = std::variant<Acknowledged, ConfirmationRequired>;

enum class RetireState : std::uint8_t { kRunning, kCompleted };

// Each `done` is called once, on the loop's thread, never from inside the call. Errors and the
// status codes that the operator receives:
//   kInvalid 400, kNotFound 404, kConflict 412 (a change) or 409 (a retirement),
//   kTooLarge 413, kUnavailable and kExhausted 503 (nothing happened), kUnknown and kStorage 504.
// ConfirmationRequired is not an error; it becomes 307 to the path that carries the number.
// A process that is not the primary returns kUnavailable; the caller then looks for the primary.
class OperatorService {
 public:
  using ChangeDone = std::function<void(Result<OrderOutcome>)>;
  using DocumentDone = std::function<void(Result<std::string>)>;
  using RetireDone = std::function<void(Result<OrderOutcome>)>;
  using RetireStateDone = std::function<void(Result<RetireState>)>;

  virtual ~OperatorService() = default;

  // Whether this process is the primary and has a valid lease.
  virtual bool is_primary() const = 0;
  // The internal address of the primary, if known.
  virtual std::optional<net::Address> primary() const = 0;

  // PUT and PATCH /config. An accepted order that is repeated is acknowledged again.
  virtual void ChangeConfiguration(configuration::ChangeOrder order, ChangeDone done) = 0;
  // GET /config: the newest acknowledged document; kNotFound if there is none.
  virtual void ReadConfiguration(DocumentDone done) = 0;
  // POST /retire/NODE. An accepted order that is repeated is acknowledged again.
  virtual void Retire(RetireOrder order, RetireDone done) = 0;
  // GET /retire/NODE; kNotFound if no retirement of this machine was accepted.
  virtual void ReadRetireState(std::string node, RetireStateDone done) = 0;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_SERVICE_H_
