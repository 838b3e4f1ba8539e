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
// The platform accepts values of at most 1 MB.
constexpr std::size_t MaxShardBytes = 1'000'000;
// Upper bound for the JSON of a record without content type and body.
constexpr std::size_t MaxBareRecordBytes = 136;
// Bytes that the encoded content types and bodies of one shard may take
// together so that MaxShardRecords records always fit. 1,024 bytes are left for
// the object's other fields.
constexpr std::size_t ShardBodyBudget =
    MaxShardBytes - MaxShardRecords * MaxBareRecordBytes - 1024;

// Returns the number of the shard that records an organisation's key, in
// [0, ShardCount).
std::size_t shardOf(const OrganisationId &Organisation, std::string_view Key);

// Returns the id under which a key is recorded: 32 hex digits of a SHA-256, so
// that the size of a record does not depend on the length of the caller's key.
std::string recordIdOf(const OrganisationId &Organisation,
                       std::string_view Key);

// The record of one key. A record without Outcome means `started`: the call may
// have been sent.
struct ShardRecord {
  std::uint64_t BodyHash = 0; // of the request body
  std::uint64_t Attempt = 0;  // unique among the attempts of all processes
  std::uint64_t Epoch = 0;    // of the shard when the call was started
  std::int64_t StartedAt = 0; // seconds since 1970, by the owner's wall clock
  std::optional<CallOutcome> Outcome;

  bool operator==(const ShardRecord &) const = default;
};

// The value of a shard's object. An empty Owner means that the shard is new or
// that its last owner has released it.
struct ShardObject {
  EntryId Owner;
  Incarnation OwnerIncarnation = 0;
  std::uint64_t Epoch = 0;
  std::map<std::string, ShardRecord> Records; // by record id

  bool operator==(const ShardObject &) const = default;
};

// Returns the object's value as JSON text. The operators' tool creates a shard
// with the value of ShardObject().
std::string toJson(const ShardObject &Object);

// Parses the value of an object. Fails with BadAnswer if Text is malformed.
Result<ShardObject> shardObjectFromJson(std::string_view Text);

// Returns the number of bytes that Outcome takes of ShardBodyBudget.
std::size_t bodyCost(const CallOutcome &Outcome);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_SHARDOBJECT_H
