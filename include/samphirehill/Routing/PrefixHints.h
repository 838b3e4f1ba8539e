// Index of the upstreams that probably hold a prompt prefix in their cache. It
// is built from the cache events of the upstreams, which arrive late and with
// gaps. Its answers are therefore hints: following a wrong one costs time but
// doesn't affect correctness.
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

// Bytes of prompt text per block. Engines publish prefixes that end at
// multiples of this size.
constexpr std::size_t PrefixBlockBytes = 256;
constexpr std::size_t MaxPrefixBlocks = 64;

// Identifies a prefix: a hash of its last block chained with those of the
// blocks before.
using PrefixHash = std::uint64_t;

// Returns the hashes of the prefixes of 1, 2, ... full blocks, at most
// MaxPrefixBlocks of them. Use different values of Salt for different models,
// versions and adapters, whose caches differ for the same text.
std::vector<PrefixHash> prefixHashes(std::string_view Prompt,
                                     std::uint64_t Salt = 0);

// A change of an upstream's prefix cache, as the upstream publishes it.
struct CacheEvent {
  enum Kind { Stored, Evicted };
  std::uint64_t Sequence = 0; // rises by one with each event of one boot
  Kind Type = Stored;
  PrefixHash Prefix = 0;
};

// An upstream that probably holds the first Blocks blocks of a prompt.
struct PrefixCandidate {
  UpstreamId Upstream;
  double Blocks = 0; // halved if events were missed since the prefix was stored

  bool operator==(const PrefixCandidate &) const = default;
};

// The index. It holds a bounded number of hints and drops the oldest ones.
class PrefixHints {
public:
  static constexpr std::size_t DefaultMaxHints = 200'000;
  static constexpr std::size_t MaxHoldersPerPrefix = 8;
  static constexpr std::size_t MaxCandidates = 4;

  explicit PrefixHints(std::size_t MaxHints = DefaultMaxHints)
      : MaxHints(MaxHints) {}

  // Applies an event of Upstream's process Boot. A boot id that differs from
  // the last one makes all earlier hints of the upstream void. A gap in the
  // sequence makes its earlier hints uncertain. An event is ignored if a later
  // event of the same prefix was applied.
  void apply(const UpstreamId &Upstream, const BootId &Boot,
             const CacheEvent &Event);
  // Handles the report that Upstream no longer publishes events before Oldest:
  // if some of them weren't applied, its earlier hints become uncertain.
  void noteGap(const UpstreamId &Upstream, std::uint64_t Oldest);
  // Removes all hints of Upstream. Call it when an upstream is permanently
  // removed.
  void removeUpstream(const UpstreamId &Upstream);

  // Returns the upstreams that hold the longest prefixes of Prompt, the longest
  // first: at most MaxCandidates, each upstream once. Prompt is a result of
  // prefixHashes.
  std::vector<PrefixCandidate>
  candidates(const std::vector<PrefixHash> &Prompt) const;

  std::size_t size() const { return InsertionOrder.size(); }

private:
  // An upstream that publishes cache events.
  struct Source {
    UpstreamId Id;
    BootId Boot;
    std::uint64_t Generation = 1; // hints of earlier generations are void
    std::uint64_t LastSequence = 0;
    // Hints with a lower sequence are uncertain.
    std::uint64_t UncertainBefore = 0;
  };
  // The last event of one source about one prefix.
  struct Hint {
    std::uint32_t Source = 0;
    std::uint64_t Generation = 0;
    std::uint64_t Sequence = 0;
    bool Present = false;
  };

  // Returns the index of Upstream's source, adding it or starting its next
  // generation if needed.
  std::uint32_t updateSource(const UpstreamId &Upstream, const BootId &Boot);
  void dropOldest();

  std::size_t MaxHints;
  std::vector<Source> Sources;
  std::vector<std::uint32_t> FreeSources; // of removed upstreams, for reuse
  std::unordered_map<UpstreamId, std::uint32_t> SourceIndex;
  std::unordered_map<PrefixHash, std::vector<Hint>> Hints;
  // Prefix and source of each hint in order of insertion.
  std::deque<std::pair<PrefixHash, std::uint32_t>> InsertionOrder;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_PREFIXHINTS_H
