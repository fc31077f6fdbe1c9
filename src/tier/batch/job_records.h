// The stored form of batch jobs: keys and values of a partition's ordered map.
//
// The first byte of a key tells its kind, the next kJobKeyBytes the job. Kinds are chosen so that
// what a store must know at its start (headers, ends, attempts, positions) lies together and apart
// from payloads and texts, which stay on disk until they are needed.
#ifndef SHELFLINK_TIER_BATCH_JOB_RECORDS_H_
#define SHELFLINK_TIER_BATCH_JOB_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/batch/messages.h"

namespace shelflink::batch {

// Wall clock, since 1970; in a process it only moves forward (see store_service.h).
using Micros = std::int64_t;

using JobNumber = std::uint64_t;  // Of a job in this process; never stored.

constexpr std::size_t kJobKeyBytes = 16;

enum class RecordKind : char {
  kJob = 'a',       // JobHeader.
  kEnded = 'b',     // Present: the end of the job was asked.
  kAttempts = 'c',  // Of one item: Attempts.
  kListed = 'd',    // Of one position: Listed.
  kPayload = 'p',   // Of one item: Payload; removed when the item is listed or the job has ended.
  kText = 't',      // Of one position: the text of the result.
};
// The kinds that are read when a store starts, first and last.
constexpr RecordKind kFirstLoaded = RecordKind::kJob;
constexpr RecordKind kLastLoaded = RecordKind::kListed;

// "t" + tenant or "h" + host.
std::string OwnerOf(const JobRef& job);
// Digest of owner and job id: of fixed length whatever clients choose.
std::string JobKeyOf(std::string_view owner, std::string_view job);

std::string RecordKey(RecordKind kind, std::string_view job_key);
// `number`: of the item in its job, or the position.
std::string RecordKey(RecordKind kind, std::string_view job_key, std::uint32_t number);

struct ParsedKey {
  RecordKind kind = RecordKind::kJob;
  std::string job_key;
  std::uint32_t number = 0;
};
std::optional<ParsedKey> ParseRecordKey(std::string_view key);

struct JobHeader {
  struct ItemHeader {
    std::string id;
    std::uint64_t tokens = 0;
  };
  std::string tenant;
  std::string host;
  std::string job;
  std::string route;
  std::string content;  // Digest of all items, to tell another job of the same id.
  Micros first_sent = 0;
  Micros due = 0;
  Micros keep_until = 0;
  std::uint32_t max_attempts = 1;
  std::vector<ItemHeader> items;
};

struct Payload {
  std::string path;
  Headers headers;
  std::string body;
};

struct Attempts {
  std::vector<LeaseId> failed;  // One lease per answer of 500, so that none counts twice.
};

struct Listed {
  std::uint32_t item = 0;
  ResultState state = ResultState::kCompleted;
};

std::string ContentDigest(const std::vector<Item>& items);

std::string EncodeRecord(const JobHeader& record);
std::string EncodeRecord(const Payload& record);
std::string EncodeRecord(const Attempts& record);
std::string EncodeRecord(const Listed& record);

// kStorage where the bytes are no such record. Defined for the records above.
template <typename Record>
Result<Record> DecodeRecord(std::string_view bytes);

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_JOB_RECORDS_H_
