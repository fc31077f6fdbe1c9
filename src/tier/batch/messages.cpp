#include "tier/batch/messages.h"

#include <algorithm>
#include <utility>

#include "tier/foundation/cbor.h"

namespace shelflink::batch {
namespace {

using cbor::Reader;
using cbor::Writer;

// Messages hold a few lists; a list longer than this is no message of ours.
constexpr std::size_t kMostListed = 65536;

// One struct being read: an array whose first fields are known and whose others are skipped.
class Fields {
 public:
  Fields(Reader& reader, std::size_t known) : reader_(reader), items_(reader.Array()) {
    if (items_ < known) reader_.Fail();
    extra_ = items_ - std::min(items_, known);
  }
  ~Fields() {
    for (std::size_t index = 0; index < extra_ && reader_.ok(); ++index) reader_.Skip();
  }
  Fields(const Fields&) = delete;
  Fields& operator=(const Fields&) = delete;

 private:
  Reader& reader_;
  std::size_t items_;
  std::size_t extra_ = 0;
};

void Put(Writer& out, milliseconds value) { out.Int(value.count()); }
void Put(Writer& out, const std::optional<std::uint64_t>& value) {
  if (value) {
    out.Uint(*value);
  } else {
    out.Null();
  }
}
void Take(Reader& in, milliseconds& value) { value = milliseconds(in.Int()); }
void Take(Reader& in, std::string& value) { value = std::string(in.Bytes()); }
void Take(Reader& in, std::uint64_t& value) { value = in.Uint(); }
void Take(Reader& in, std::uint32_t& value) {
  const std::uint64_t wide = in.Uint();
  if (wide > UINT32_MAX) in.Fail();
  value = static_cast<std::uint32_t>(wide);
}
void Take(Reader& in, std::optional<std::uint64_t>& value) {
  value.reset();
  if (!in.TakeNull()) value = in.Uint();
}

// Enumerations whose values are 0 to `last`.
template <typename Enum>
void TakeEnum(Reader& in, Enum last, Enum& value) {
  const std::uint64_t number = in.Uint();
  if (number > static_cast<std::uint64_t>(last)) {
    in.Fail();
    return;
  }
  value = static_cast<Enum>(number);
}

void Take(Reader& in, SubmitOutcome& value) { TakeEnum(in, SubmitOutcome::kConflict, value); }
void Take(Reader& in, ResultState& value) { TakeEnum(in, ResultState::kDeadLetter, value); }
void Take(Reader& in, LeaseStatus& value) { TakeEnum(in, LeaseStatus::kNotPrimary, value); }
void Take(Reader& in, RunOutcome& value) { TakeEnum(in, RunOutcome::kReturned, value); }
void Put(Writer& out, SubmitOutcome value) { out.Uint(static_cast<std::uint64_t>(value)); }
void Put(Writer& out, ResultState value) { out.Uint(static_cast<std::uint64_t>(value)); }
void Put(Writer& out, LeaseStatus value) { out.Uint(static_cast<std::uint64_t>(value)); }
void Put(Writer& out, RunOutcome value) { out.Uint(static_cast<std::uint64_t>(value)); }

void Put(Writer& out, const std::pair<std::string, std::string>& header) {
  out.Array(2).Bytes(header.first).Bytes(header.second);
}
void Take(Reader& in, std::pair<std::string, std::string>& header) {
  const Fields fields(in, 2);
  Take(in, header.first);
  Take(in, header.second);
}

// Declared before the lists so that lists of any struct below can be read and written.
void Put(Writer& out, const Item& value);
void Put(Writer& out, const ItemResult& value);
void Put(Writer& out, const HeldLease& value);
void Put(Writer& out, const Adoption& value);
void Take(Reader& in, Item& value);
void Take(Reader& in, ItemResult& value);
void Take(Reader& in, HeldLease& value);
void Take(Reader& in, Adoption& value);

template <typename Element>
void PutList(Writer& out, const std::vector<Element>& list) {
  out.Array(list.size());
  for (const Element& element : list) Put(out, element);
}
template <typename Element>
void TakeList(Reader& in, std::vector<Element>& list, std::size_t most = kMostListed) {
  const std::size_t count = in.Array();
  if (count > most) in.Fail();
  list.clear();
  for (std::size_t index = 0; index < count && in.ok(); ++index) Take(in, list.emplace_back());
}

void Put(Writer& out, const JobRef& value) {
  out.Array(5).Uint(value.partition).Uint(value.epoch);
  out.Bytes(value.tenant).Bytes(value.host).Bytes(value.job);
}
void Take(Reader& in, JobRef& value) {
  const Fields fields(in, 5);
  Take(in, value.partition);
  Take(in, value.epoch);
  Take(in, value.tenant);
  Take(in, value.host);
  Take(in, value.job);
}

void Put(Writer& out, const ItemRef& value) {
  out.Array(2);
  Put(out, value.job);
  out.Bytes(value.item);
}
void Take(Reader& in, ItemRef& value) {
  const Fields fields(in, 2);
  Take(in, value.job);
  Take(in, value.item);
}

void Put(Writer& out, const Item& value) {
  out.Array(5).Bytes(value.id).Bytes(value.path);
  PutList(out, value.headers);
  out.Bytes(value.body).Uint(value.tokens);
}
void Take(Reader& in, Item& value) {
  const Fields fields(in, 5);
  Take(in, value.id);
  Take(in, value.path);
  TakeList(in, value.headers);
  Take(in, value.body);
  Take(in, value.tokens);
}

void Put(Writer& out, const Submit& value) {
  out.Array(9);
  Put(out, value.job);
  out.Bytes(value.route);
  Put(out, value.age);
  out.Uint(value.max_queued_tokens).Double(value.quota_overage);
  Put(out, value.run_aim);
  Put(out, value.keep);
  out.Uint(value.max_attempts);
  PutList(out, value.items);
}
void Take(Reader& in, Submit& value) {
  const Fields fields(in, 9);
  Take(in, value.job);
  Take(in, value.route);
  Take(in, value.age);
  Take(in, value.max_queued_tokens);
  value.quota_overage = in.Double();
  Take(in, value.run_aim);
  Take(in, value.keep);
  Take(in, value.max_attempts);
  TakeList(in, value.items, kMostItems);
}

void Put(Writer& out, const SubmitAnswer& value) {
  out.Array(2);
  Put(out, value.outcome);
  Put(out, value.retry_after);
}
void Take(Reader& in, SubmitAnswer& value) {
  const Fields fields(in, 2);
  Take(in, value.outcome);
  Take(in, value.retry_after);
}

void Put(Writer& out, const Read& value) {
  out.Array(4);
  Put(out, value.job);
  out.Uint(value.after);
  Put(out, value.wait);
  out.Uint(value.most_bytes);
}
void Take(Reader& in, Read& value) {
  const Fields fields(in, 4);
  Take(in, value.job);
  Take(in, value.after);
  Take(in, value.wait);
  Take(in, value.most_bytes);
}

void Put(Writer& out, const ItemResult& value) {
  out.Array(3).Bytes(value.id);
  Put(out, value.state);
  out.Bytes(value.text);
}
void Take(Reader& in, ItemResult& value) {
  const Fields fields(in, 3);
  Take(in, value.id);
  Take(in, value.state);
  Take(in, value.text);
}

void Put(Writer& out, const ReadAnswer& value) {
  out.Array(3).Uint(value.total).Uint(value.next);
  PutList(out, value.results);
}
void Take(Reader& in, ReadAnswer& value) {
  const Fields fields(in, 3);
  Take(in, value.total);
  Take(in, value.next);
  TakeList(in, value.results, kMostItems);
}

void Put(Writer& out, const LeaseId& value) { out.Array(2).Uint(value.issuer).Uint(value.number); }
void Take(Reader& in, LeaseId& value) {
  const Fields fields(in, 2);
  Take(in, value.issuer);
  Take(in, value.number);
}

void Put(Writer& out, const Output& value) {
  out.Array(3).Bytes(value.text).Uint(value.events);
  Put(out, value.last_event_id);
}
void Take(Reader& in, Output& value) {
  const Fields fields(in, 3);
  Take(in, value.text);
  Take(in, value.events);
  Take(in, value.last_event_id);
}

void Put(Writer& out, const OutputPart& value) {
  out.Array(4).Uint(value.offset).Bytes(value.text).Uint(value.events);
  Put(out, value.last_event_id);
}
void Take(Reader& in, OutputPart& value) {
  const Fields fields(in, 4);
  Take(in, value.offset);
  Take(in, value.text);
  Take(in, value.events);
  Take(in, value.last_event_id);
}

void Put(Writer& out, const HeldLease& value) {
  out.Array(3).Uint(value.partition);
  Put(out, value.lease);
  if (value.more) {
    Put(out, *value.more);
  } else {
    out.Null();
  }
}
void Take(Reader& in, HeldLease& value) {
  const Fields fields(in, 3);
  Take(in, value.partition);
  Take(in, value.lease);
  if (!in.TakeNull()) Take(in, value.more.emplace());
}

void Put(Writer& out, const Offer& value) {
  out.Array(3).Uint(value.items).Uint(value.room);
  PutList(out, value.held);
}
void Take(Reader& in, Offer& value) {
  const Fields fields(in, 3);
  Take(in, value.items);
  Take(in, value.room);
  TakeList(in, value.held);
}

void Put(Writer& out, const OfferAnswer& value) {
  out.Array(3);
  PutList(out, value.held);
  out.Uint(value.assigned).Uint(value.waiting);
}
void Take(Reader& in, OfferAnswer& value) {
  const Fields fields(in, 3);
  TakeList(in, value.held);
  Take(in, value.assigned);
  Take(in, value.waiting);
}

void Put(Writer& out, const WorkWaits& value) { out.Array(1).Uint(value.items); }
void Take(Reader& in, WorkWaits& value) {
  const Fields fields(in, 1);
  Take(in, value.items);
}

void Put(Writer& out, const Adoption& value) {
  out.Array(3);
  Put(out, value.item);
  Put(out, value.lease);
  Put(out, value.output);
}
void Take(Reader& in, Adoption& value) {
  const Fields fields(in, 3);
  Take(in, value.item);
  Take(in, value.lease);
  Take(in, value.output);
}

void Put(Writer& out, const Adopt& value) {
  out.Array(1);
  PutList(out, value.leases);
}
void Take(Reader& in, Adopt& value) {
  const Fields fields(in, 1);
  TakeList(in, value.leases);
}

void Put(Writer& out, const AdoptAnswer& value) {
  out.Array(1);
  PutList(out, value.leases);
}
void Take(Reader& in, AdoptAnswer& value) {
  const Fields fields(in, 1);
  TakeList(in, value.leases);
}

void Put(Writer& out, const Finished& value) {
  out.Array(4);
  Put(out, value.item);
  Put(out, value.lease);
  Put(out, value.outcome);
  Put(out, value.output);
}
void Take(Reader& in, Finished& value) {
  const Fields fields(in, 4);
  Take(in, value.item);
  Take(in, value.lease);
  Take(in, value.outcome);
  Take(in, value.output);
}

void Put(Writer& out, const Assign& value) {
  out.Array(11);
  Put(out, value.item);
  Put(out, value.lease);
  out.Bytes(value.route).Bytes(value.path);
  PutList(out, value.headers);
  out.Bytes(value.body).Uint(value.tokens);
  out.Uint(value.failed_attempts).Uint(value.max_attempts);
  Put(out, value.due_in);
  Put(out, value.output);
}
void Take(Reader& in, Assign& value) {
  const Fields fields(in, 11);
  Take(in, value.item);
  Take(in, value.lease);
  Take(in, value.route);
  Take(in, value.path);
  TakeList(in, value.headers);
  Take(in, value.body);
  Take(in, value.tokens);
  Take(in, value.failed_attempts);
  Take(in, value.max_attempts);
  Take(in, value.due_in);
  Take(in, value.output);
}

void Put(Writer& out, const Revoke& value) {
  out.Array(2).Uint(value.partition);
  Put(out, value.lease);
}
void Take(Reader& in, Revoke& value) {
  const Fields fields(in, 2);
  Take(in, value.partition);
  Take(in, value.lease);
}

template <typename Message>
std::string EncodeOne(const Message& message) {
  Writer out;
  Put(out, message);
  return out.Take();
}

}  // namespace

milliseconds LeaseSpan(const Bounds& bounds) {
  constexpr milliseconds kLongest{2000};
  return std::min(kLongest, bounds.cancel * 2 / 3);
}

std::string Encode(const Submit& message) { return EncodeOne(message); }
std::string Encode(const SubmitAnswer& message) { return EncodeOne(message); }
std::string Encode(const Read& message) { return EncodeOne(message); }
std::string Encode(const ReadAnswer& message) { return EncodeOne(message); }
std::string Encode(const JobRef& message) { return EncodeOne(message); }
std::string Encode(const ItemRef& message) { return EncodeOne(message); }
std::string Encode(const Offer& message) { return EncodeOne(message); }
std::string Encode(const OfferAnswer& message) { return EncodeOne(message); }
std::string Encode(const WorkWaits& message) { return EncodeOne(message); }
std::string Encode(const Adopt& message) { return EncodeOne(message); }
std::string Encode(const AdoptAnswer& message) { return EncodeOne(message); }
std::string Encode(const Finished& message) { return EncodeOne(message); }
std::string Encode(const Assign& message) { return EncodeOne(message); }
std::string Encode(const Revoke& message) { return EncodeOne(message); }

template <typename Message>
Result<Message> Decode(std::string_view body) {
  Reader in(body);
  Message message;
  Take(in, message);
  if (!in.ok()) return MakeError(ErrorCode::kInvalid, "malformed batch message");
  return message;
}

template Result<Submit> Decode<Submit>(std::string_view);
template Result<SubmitAnswer> Decode<SubmitAnswer>(std::string_view);
template Result<Read> Decode<Read>(std::string_view);
template Result<ReadAnswer> Decode<ReadAnswer>(std::string_view);
template Result<JobRef> Decode<JobRef>(std::string_view);
template Result<ItemRef> Decode<ItemRef>(std::string_view);
template Result<Offer> Decode<Offer>(std::string_view);
template Result<OfferAnswer> Decode<OfferAnswer>(std::string_view);
template Result<WorkWaits> Decode<WorkWaits>(std::string_view);
template Result<Adopt> Decode<Adopt>(std::string_view);
template Result<AdoptAnswer> Decode<AdoptAnswer>(std::string_view);
template Result<Finished> Decode<Finished>(std::string_view);
template Result<Assign> Decode<Assign>(std::string_view);
template Result<Revoke> Decode<Revoke>(std::string_view);

}  // namespace shelflink::batch
