// Which upstreams probably hold which prompt prefixes in their cache. Fed by
// cache events that come late and with gaps, so an answer is a hint: following
// a wrong one costs time, never correctness.
#ifndef SAMPHIREHILL_ROUTING_PREFIXHINTS_H
#define SAMPHIREHILL_ROUTING_PREFIXHINTS_H

#include "samphirehill/Core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// Bytes of prompt text per block; engines publish prefixes at the same bounds.
constexpr std::size_t PrefixBlockBytes = 256;
constexpr std::size_t MaxPrefixBlocks = 64;

// Identifies a prefix: the chained hash of its blocks.
using PrefixHash = std::uint64_t;

// Returns the hashes of the prefixes of 1, 2, ... whole blocks, at most
// MaxPrefixBlocks. Salt separates models, versions and adapters, whose caches
// differ for the same text.
std::vector<PrefixHash> prefixHashes(std::string_view Prompt,
                                     std::uint64_t Salt = 0);

struct CacheEvent {
  enum Kind { Stored, Evicted };
  std::uint64_t Sequence = 0; // counts the events of one boot
  Kind Type = Stored;
  PrefixHash Prefix = 0;
};

// An upstream that probably holds the first Blocks blocks.
struct PrefixCandidate {
  UpstreamId Upstream;
  double Blocks = 0; // halved when events were missed since it was stored

  bool operator==(const PrefixCandidate &) const = default;
};

// The index. Bounded: the oldest hints go first.
class PrefixHints {
public:
  static constexpr std::size_t DefaultMaxHints = 200'000;
  static constexpr std::size_t MaxHoldersPerPrefix = 8;
  static constexpr std::size_t MaxCandidates = 4;

  explicit PrefixHints(std::size_t MaxHints = DefaultMaxHints)
      : MaxHints(MaxHints) {}

  // Applies an event of Upstream's boot. Another boot id than the last one
  // forgets all that was known of it. A sequence gap casts doubt on its hints
  // so far; an event older than what is known of its prefix is ignored.
  void apply(const UpstreamId &Upstream, const BootId &Boot,
             const CacheEvent &Event);
  // Reports that events before Oldest are no longer published.
  void noteGap(const UpstreamId &Upstream, std::uint64_t Oldest);
  // Forgets Upstream. Call it when an upstream is removed for good.
  void removeUpstream(const UpstreamId &Upstream);

  // Returns the holders of the longest prefixes in Prompt, the longest first,
  // at most MaxCandidates, each upstream once.
  std::vector<PrefixCandidate>
  candidates(const std::vector<PrefixHash> &Prompt) const;

  std::size_t size() const { return Order.size(); }

private:
  struct Source {
    UpstreamId Id;
    BootId Boot;
    std::uint64_t Generation = 1; // hints of earlier ones are void
    std::uint64_t LastSequence = 0;
    std::uint64_t DoubtBefore = 0; // hints with a lower sequence
  };
  struct Hint {
    std::uint32_t Source = 0;
    std::uint64_t Generation = 0;
    std::uint64_t Sequence = 0;
    bool Present = false;
  };

  std::uint32_t sourceOf(const UpstreamId &Upstream, const BootId &Boot);
  void dropOldest();

  std::size_t MaxHints;
  std::vector<Source> Sources;
  std::vector<std::uint32_t> FreeSources; // of forgotten upstreams
  std::unordered_map<UpstreamId, std::uint32_t> SourceIndex;
  std::unordered_map<PrefixHash, std::vector<Hint>> Hints;
  std::deque<std::pair<PrefixHash, std::uint32_t>> Order; // of insertion
};

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_PREFIXHINTS_H
