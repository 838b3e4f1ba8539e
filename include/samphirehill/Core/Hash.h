// Stable hashing, equal in every process and release, for fingerprints, shards
// and rendezvous choice.
#ifndef SAMPHIREHILL_CORE_HASH_H
#define SAMPHIREHILL_CORE_HASH_H

#include <cstdint>
#include <string_view>

namespace samphirehill {

// Returns the 64-bit hash of Bytes with Seed.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

// Returns a hash of Left and Right that depends on their order.
std::uint64_t combineHashes(std::uint64_t Left, std::uint64_t Right);

// Returns Candidate's weight for Key in rendezvous hashing; the candidate with
// the highest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate);

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_HASH_H
