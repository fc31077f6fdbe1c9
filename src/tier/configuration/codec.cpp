#include "tier/configuration/codec.h"

#include <optional>
#include <utility>
#include <vector>

#include "tier/foundation/cbor.h"
#include "tier/foundation/cbor_fields.h"

namespace shelflink::configuration {
namespace {

using cbor::FieldsReader;
using cbor::ReadList;
using cbor::WriteList;

constexpr milliseconds kLongestSpan{1'000'000'000'000};  // As json::ObjectReader bounds them.

// ---- Single values ----

void WriteSpan(cbor::Writer& writer, milliseconds span) { writer.Int(span.count()); }

milliseconds ReadSpan(cbor::Reader& reader) {
  const milliseconds span(reader.Int());
  if (span < milliseconds(0) || span > kLongestSpan) reader.Fail();
  return span;
}

int ReadInt(cbor::Reader& reader) { return static_cast<int>(reader.Int()); }

void WriteText(cbor::Writer& writer, const std::string& text) { writer.Text(text); }

std::string ReadText(cbor::Reader& reader) { return std::string(reader.Text()); }

template <typename T, typename WriteOne>
void WriteOptional(cbor::Writer& writer, const std::optional<T>& value, WriteOne write_one) {
  if (value) {
    write_one(writer, *value);
  } else {
    writer.Null();
  }
}

template <typename T, typename ReadOne>
std::optional<T> ReadOptional(cbor::Reader& reader, ReadOne read_one) {
  if (reader.TakeNull()) return std::nullopt;
  return read_one(reader);
}

void WriteSize(cbor::Writer& writer, std::uint64_t size) { writer.Uint(size); }

std::uint64_t ReadSize(cbor::Reader& reader) { return reader.Uint(); }

void WriteInt(cbor::Writer& writer, int value) { writer.Int(value); }

// ---- Items ----

void WriteSplitPart(cbor::Writer& writer, const SplitPart& part) {
  writer.Array(2).Text(part.service).Double(part.weight);
}

SplitPart ReadSplitPart(cbor::Reader& reader) {
  const FieldsReader fields(reader, 2);
  SplitPart part;
  part.service = reader.Text();
  part.weight = reader.Double();
  return part;
}

RouteKind ReadKind(cbor::Reader& reader) {
  const std::uint64_t kind = reader.Uint();
  if (kind > static_cast<std::uint64_t>(RouteKind::kBatch)) reader.Fail();
  return static_cast<RouteKind>(reader.ok() ? kind : 0);
}

void WriteRoute(cbor::Writer& writer, const Route& route) {
  writer.Array(16).Text(route.name).Text(route.hostname).Text(route.path_prefix);
  writer.Uint(static_cast<std::uint64_t>(route.kind));
  WriteSpan(writer, route.timeout);
  WriteSpan(writer, route.slo);
  writer.Int(route.priority);
  WriteList(writer, route.split, WriteSplitPart);
  writer.Int(route.max_attempts);
  writer.Bool(route.is_public).Bool(route.sticky).Bool(route.resumable);
  WriteSpan(writer, route.gap_aim);
  WriteSpan(writer, route.run_aim);
  WriteSpan(writer, route.keep);
  WriteOptional(writer, route.max_queued_tokens, WriteSize);
}

Route ReadRoute(cbor::Reader& reader) {
  const FieldsReader fields(reader, 16);
  Route route;
  route.name = reader.Text();
  route.hostname = reader.Text();
  route.path_prefix = reader.Text();
  route.kind = ReadKind(reader);
  route.timeout = ReadSpan(reader);
  route.slo = ReadSpan(reader);
  route.priority = ReadInt(reader);
  route.split = ReadList<SplitPart>(reader, ReadSplitPart);
  if (route.split.empty()) reader.Fail();
  route.max_attempts = ReadInt(reader);
  route.is_public = reader.Bool();
  route.sticky = reader.Bool();
  route.resumable = reader.Bool();
  route.gap_aim = ReadSpan(reader);
  route.run_aim = ReadSpan(reader);
  route.keep = ReadSpan(reader);
  route.max_queued_tokens = ReadOptional<std::uint64_t>(reader, ReadSize);
  return route;
}

void WriteEngine(cbor::Writer& writer, const Engine& engine) {
  writer.Array(2).Int(engine.slots).Uint(engine.kv_tokens);
}

Engine ReadEngine(cbor::Reader& reader) {
  const FieldsReader fields(reader, 2);
  Engine engine;
  engine.slots = ReadInt(reader);
  engine.kv_tokens = reader.Uint();
  return engine;
}

void WriteAutoscale(cbor::Writer& writer, const Autoscale& autoscale) {
  writer.Array(3).Int(autoscale.min).Int(autoscale.max);
  WriteSpan(writer, autoscale.boot);
}

Autoscale ReadAutoscale(cbor::Reader& reader) {
  const FieldsReader fields(reader, 3);
  Autoscale autoscale;
  autoscale.min = ReadInt(reader);
  autoscale.max = ReadInt(reader);
  autoscale.boot = ReadSpan(reader);
  return autoscale;
}

void WriteService(cbor::Writer& writer, const Service& service) {
  writer.Array(5).Text(service.name).Text(service.health_path).Int(service.max_conns);
  WriteOptional(writer, service.engine, WriteEngine);
  WriteOptional(writer, service.autoscale, WriteAutoscale);
}

Service ReadService(cbor::Reader& reader) {
  const FieldsReader fields(reader, 5);
  Service service;
  service.name = reader.Text();
  service.health_path = reader.Text();
  service.max_conns = ReadInt(reader);
  service.engine = ReadOptional<Engine>(reader, ReadEngine);
  service.autoscale = ReadOptional<Autoscale>(reader, ReadAutoscale);
  return service;
}

void WriteTenant(cbor::Writer& writer, const Tenant& tenant) {
  writer.Array(4).Text(tenant.name);
  WriteList(writer, tenant.api_keys, WriteText);
  WriteOptional(writer, tenant.priority, WriteInt);
  WriteOptional(writer, tenant.max_queued_tokens, WriteSize);
}

Tenant ReadTenant(cbor::Reader& reader) {
  const FieldsReader fields(reader, 4);
  Tenant tenant;
  tenant.name = reader.Text();
  tenant.api_keys = ReadList<std::string>(reader, ReadText);
  tenant.priority = ReadOptional<int>(reader, ReadInt);
  tenant.max_queued_tokens = ReadOptional<std::uint64_t>(reader, ReadSize);
  return tenant;
}

void WriteLimits(cbor::Writer& writer, const ClientLimits& limits) {
  writer.Array(4).Uint(limits.max_header_bytes).Uint(limits.max_body_bytes);
  WriteSpan(writer, limits.header_timeout);
  WriteSpan(writer, limits.idle_timeout);
}

ClientLimits ReadLimits(cbor::Reader& reader) {
  const FieldsReader fields(reader, 4);
  ClientLimits limits;
  limits.max_header_bytes = reader.Uint();
  limits.max_body_bytes = reader.Uint();
  limits.header_timeout = ReadSpan(reader);
  limits.idle_timeout = ReadSpan(reader);
  return limits;
}

// ---- Whole ones and differences ----

Configuration ReadConfiguration(cbor::Reader& reader) {
  const FieldsReader fields(reader, 6);
  Configuration configuration;
  configuration.version = reader.Uint();
  configuration.routes = ReadList<Route>(reader, ReadRoute);
  configuration.services = ReadList<Service>(reader, ReadService);
  configuration.tenants = ReadList<Tenant>(reader, ReadTenant);
  configuration.limits = ReadLimits(reader);
  configuration.has_tenants = reader.Bool();
  return configuration;
}

template <typename Item, typename WriteOne>
void WriteListDifference(cbor::Writer& writer, const ListDifference<Item>& list,
                         WriteOne write_one) {
  writer.Array(2);
  WriteList(writer, list.removed, WriteText);
  WriteList(writer, list.put, write_one);
}

template <typename Item, typename ReadOne>
ListDifference<Item> ReadListDifference(cbor::Reader& reader, ReadOne read_one) {
  const FieldsReader fields(reader, 2);
  ListDifference<Item> list;
  list.removed = ReadList<std::string>(reader, ReadText);
  list.put = ReadList<Item>(reader, read_one);
  return list;
}

Difference ReadDifference(cbor::Reader& reader) {
  const FieldsReader fields(reader, 7);
  Difference difference;
  difference.base = reader.Uint();
  difference.version = reader.Uint();
  difference.routes = ReadListDifference<Route>(reader, ReadRoute);
  difference.services = ReadListDifference<Service>(reader, ReadService);
  difference.tenants = ReadListDifference<Tenant>(reader, ReadTenant);
  difference.limits = ReadLimits(reader);
  difference.has_tenants = reader.Bool();
  return difference;
}

}  // namespace

std::string Encode(const Configuration& configuration) {
  cbor::Writer writer;
  writer.Array(6).Uint(configuration.version);
  WriteList(writer, configuration.routes, WriteRoute);
  WriteList(writer, configuration.services, WriteService);
  WriteList(writer, configuration.tenants, WriteTenant);
  WriteLimits(writer, configuration.limits);
  writer.Bool(configuration.has_tenants);
  return writer.Take();
}

std::string Encode(const Difference& difference) {
  cbor::Writer writer;
  writer.Array(7).Uint(difference.base).Uint(difference.version);
  WriteListDifference(writer, difference.routes, WriteRoute);
  WriteListDifference(writer, difference.services, WriteService);
  WriteListDifference(writer, difference.tenants, WriteTenant);
  WriteLimits(writer, difference.limits);
  writer.Bool(difference.has_tenants);
  return writer.Take();
}

Result<Configuration> DecodeConfiguration(std::string_view body) {
  Result<Configuration> configuration =
      cbor::DecodeWhole<Configuration>(body, "configuration", ReadConfiguration);
  if (configuration) configuration.value().Index();
  return configuration;
}

Result<Difference> DecodeDifference(std::string_view body) {
  return cbor::DecodeWhole<Difference>(body, "difference of configurations", ReadDifference);
}

}  // namespace shelflink::configuration
