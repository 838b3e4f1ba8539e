// The stored form of a record shard: object `records/<0..63>`. Its value is
//   {"owner","incarnation","epoch","records":[[id,bodyHash,attempt,epoch,
//    startedAt,status,trimmed,contentType,body], ...]}
// with ids and hashes in hex, startedAt in seconds since 1970, and the last
// four elements only when the outcome is known; body is in base64. Records are
// arrays because 4,096 of them have to fit into one object.
#ifndef SAMPHIREHILL_IDEMPOTENCY_SHARDOBJECT_H
#define SAMPHIREHILL_IDEMPOTENCY_SHARDOBJECT_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Idempotency/RecordedCall.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace samphirehill {

constexpr std::size_t ShardCount = 64;
constexpr std::size_t MaxShardRecords = 4096;
// The platform takes values up to 1 MB.
constexpr std::size_t MaxShardBytes = 1'000'000;
// Upper bound of a record's JSON without content type and body.
constexpr std::size_t MaxBareRecordBytes = 136;
// Bytes that content types and encoded bodies of one shard may take together,
// such that MaxShardRecords records always fit. 1,024 are left for the rest.
constexpr std::size_t ShardBodyBudget =
    MaxShardBytes - MaxShardRecords * MaxBareRecordBytes - 1024;

// Returns the shard of an organisation's key, in [0, ShardCount).
std::size_t shardOf(const OrganisationId &Organisation, std::string_view Key);

// Returns the id under which a key is recorded: 32 hex digits of a SHA-256, so
// that records have a fixed size whatever the caller's key is.
std::string recordIdOf(const OrganisationId &Organisation,
                       std::string_view Key);

// One key's record. Without Outcome it says `started`.
struct ShardRecord {
  std::uint64_t BodyHash = 0; // of the request body
  std::uint64_t Attempt = 0;  // differs for every attempt of any process
  std::uint64_t Epoch = 0;    // of the shard when the call was started
  std::int64_t StartedAt = 0; // seconds since 1970, by the owner's wall clock
  std::optional<CallOutcome> Outcome;

  bool operator==(const ShardRecord &) const = default;
};

// The value of a shard's object. An empty Owner means that the last owner has
// handed the shard over.
struct ShardObject {
  EntryId Owner;
  Incarnation OwnerIncarnation = 0;
  std::uint64_t Epoch = 0;
  std::map<std::string, ShardRecord> Records; // by record id

  bool operator==(const ShardObject &) const = default;
};

// Returns the object's value as JSON text. ShardObject() gives the value with
// which the operators' tool creates a shard.
std::string toJson(const ShardObject &Object);

// Parses a value. Fails with BadAnswer.
Result<ShardObject> shardObjectFromJson(std::string_view Text);

// Returns the bytes that Outcome counts towards ShardBodyBudget.
std::size_t bodyCost(const CallOutcome &Outcome);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_SHARDOBJECT_H
