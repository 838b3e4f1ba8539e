#include "samphirehill/Core/Hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace samphirehill {

std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed) {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

std::uint64_t combineHashes(std::uint64_t Left, std::uint64_t Right) {
  return XXH64(&Right, sizeof(Right), Left);
}

std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate) {
  return combineHashes(hashBytes(Key), hashBytes(Candidate));
}

} // namespace samphirehill
