#include "tier/batch/job_records.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <memory>

#include "tier/foundation/cbor.h"

namespace shelflink::batch {
namespace {

using cbor::Reader;
using cbor::Writer;

constexpr std::size_t kNumberBytes = 4;
constexpr std::size_t kMostAttempts = 4096;

// SHA-256 over parts, each with its length in front so that no two lists of parts look alike.
class Digest {
 public:
  Digest() : checksum_(g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free) {}
  Digest& Add(std::string_view part) {
    AddNumber(part.size());
    AddRaw(part.data(), part.size());
    return *this;
  }
  Digest& AddNumber(std::uint64_t number) {
    AddRaw(&number, sizeof number);
    return *this;
  }
  std::string First(std::size_t bytes) {
    std::array<guint8, 32> all{};
    gsize length = all.size();
    g_checksum_get_digest(checksum_.get(), all.data(), &length);
    const auto* begin = reinterpret_cast<const char*>(all.data());
    return {begin, std::min<std::size_t>(bytes, length)};
  }

 private:
  void AddRaw(const void* data, std::size_t size) {
    g_checksum_update(checksum_.get(), static_cast<const guchar*>(data), static_cast<gssize>(size));
  }
  std::unique_ptr<GChecksum, decltype(&g_checksum_free)> checksum_;
};

std::string BigEndian(std::uint32_t number) {
  std::string bytes(kNumberBytes, '\0');
  for (std::size_t index = 0; index < kNumberBytes; ++index) {
    bytes[kNumberBytes - 1 - index] = static_cast<char>(number >> (8 * index));
  }
  return bytes;
}

void PutHeaders(Writer& out, const Headers& headers) {
  out.Array(headers.size());
  for (const auto& [name, value] : headers) out.Array(2).Bytes(name).Bytes(value);
}

Headers TakeHeaders(Reader& in) {
  Headers headers;
  const std::size_t count = in.Array();
  for (std::size_t index = 0; index < count && in.ok(); ++index) {
    if (in.Array() != 2) in.Fail();
    std::string name(in.Bytes());
    std::string value(in.Bytes());
    headers.emplace_back(std::move(name), std::move(value));
  }
  return headers;
}

void Expect(Reader& in, std::size_t fields) {
  if (in.Array() != fields) in.Fail();
}

void Take(Reader& in, JobHeader& record) {
  Expect(in, 10);
  record.tenant = in.Bytes();
  record.host = in.Bytes();
  record.job = in.Bytes();
  record.route = in.Bytes();
  record.content = in.Bytes();
  record.first_sent = in.Int();
  record.due = in.Int();
  record.keep_until = in.Int();
  record.max_attempts = static_cast<std::uint32_t>(in.Uint());
  const std::size_t count = in.Array();
  if (count > kMostItems) in.Fail();
  for (std::size_t index = 0; index < count && in.ok(); ++index) {
    Expect(in, 2);
    JobHeader::ItemHeader& item = record.items.emplace_back();
    item.id = in.Bytes();
    item.tokens = in.Uint();
  }
}

void Take(Reader& in, Payload& record) {
  Expect(in, 3);
  record.path = in.Bytes();
  record.headers = TakeHeaders(in);
  record.body = in.Bytes();
}

void Take(Reader& in, Attempts& record) {
  const std::size_t count = in.Array();
  if (count > kMostAttempts) in.Fail();
  for (std::size_t index = 0; index < count && in.ok(); ++index) {
    Expect(in, 2);
    LeaseId& lease = record.failed.emplace_back();
    lease.issuer = in.Uint();
    lease.number = in.Uint();
  }
}

void Take(Reader& in, Listed& record) {
  Expect(in, 2);
  record.item = static_cast<std::uint32_t>(in.Uint());
  const std::uint64_t state = in.Uint();
  if (state > static_cast<std::uint64_t>(ResultState::kDeadLetter)) in.Fail();
  record.state = static_cast<ResultState>(state);
}

}  // namespace

std::string OwnerOf(const JobRef& job) {
  return job.tenant.empty() ? "h" + job.host : "t" + job.tenant;
}

std::string JobKeyOf(std::string_view owner, std::string_view job) {
  return Digest().Add(owner).Add(job).First(kJobKeyBytes);
}

std::string RecordKey(RecordKind kind, std::string_view job_key) {
  std::string key(1, static_cast<char>(kind));
  key += job_key;
  return key;
}

std::string RecordKey(RecordKind kind, std::string_view job_key, std::uint32_t number) {
  return RecordKey(kind, job_key) + BigEndian(number);
}

std::optional<ParsedKey> ParseRecordKey(std::string_view key) {
  constexpr std::size_t kWithoutNumber = 1 + kJobKeyBytes;
  constexpr std::string_view kKinds = "abcdpt";
  if (key.size() != kWithoutNumber && key.size() != kWithoutNumber + kNumberBytes) return {};
  if (kKinds.find(key.front()) == std::string_view::npos) return {};
  ParsedKey parsed;
  parsed.kind = static_cast<RecordKind>(key.front());
  parsed.job_key = key.substr(1, kJobKeyBytes);
  for (const char byte : key.substr(kWithoutNumber)) {
    parsed.number = (parsed.number << 8U) | static_cast<unsigned char>(byte);
  }
  return parsed;
}

std::string ContentDigest(const std::vector<Item>& items) {
  Digest digest;
  digest.AddNumber(items.size());
  for (const Item& item : items) {
    digest.Add(item.id).Add(item.path).Add(item.body).AddNumber(item.tokens);
    digest.AddNumber(item.headers.size());
    for (const auto& [name, value] : item.headers) digest.Add(name).Add(value);
  }
  return digest.First(kJobKeyBytes);
}

std::string EncodeRecord(const JobHeader& record) {
  Writer out;
  out.Array(10).Bytes(record.tenant).Bytes(record.host).Bytes(record.job).Bytes(record.route);
  out.Bytes(record.content);
  out.Int(record.first_sent).Int(record.due).Int(record.keep_until);
  out.Uint(record.max_attempts);
  out.Array(record.items.size());
  for (const JobHeader::ItemHeader& item : record.items) {
    out.Array(2).Bytes(item.id).Uint(item.tokens);
  }
  return out.Take();
}

std::string EncodeRecord(const Payload& record) {
  Writer out;
  out.Array(3).Bytes(record.path);
  PutHeaders(out, record.headers);
  out.Bytes(record.body);
  return out.Take();
}

std::string EncodeRecord(const Attempts& record) {
  Writer out;
  out.Array(record.failed.size());
  for (const LeaseId& lease : record.failed) out.Array(2).Uint(lease.issuer).Uint(lease.number);
  return out.Take();
}

std::string EncodeRecord(const Listed& record) {
  Writer out;
  out.Array(2).Uint(record.item).Uint(static_cast<std::uint64_t>(record.state));
  return out.Take();
}

template <typename Record>
Result<Record> DecodeRecord(std::string_view bytes) {
  Reader in(bytes);
  Record record;
  Take(in, record);
  if (!in.ok() || !in.AtEnd()) return MakeError(ErrorCode::kStorage, "malformed batch record");
  return record;
}

template Result<JobHeader> DecodeRecord<JobHeader>(std::string_view);
template Result<Payload> DecodeRecord<Payload>(std::string_view);
template Result<Attempts> DecodeRecord<Attempts>(std::string_view);
template Result<Listed> DecodeRecord<Listed>(std::string_view);

}  // namespace shelflink::batch
