#include "samphirehill/Routing/PrefixHints.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace samphirehill {

std::vector<PrefixHash> prefixHashes(std::string_view Prompt,
                                     std::uint64_t Salt) {
  std::vector<PrefixHash> Hashes;
  PrefixHash Chain = Salt;
  while (Prompt.size() >= PrefixBlockBytes && Hashes.size() < MaxPrefixBlocks) {
    Chain = hashBytes(Prompt.substr(0, PrefixBlockBytes), Chain);
    Hashes.push_back(Chain);
    Prompt.remove_prefix(PrefixBlockBytes);
  }
  return Hashes;
}

std::uint32_t PrefixHints::updateSource(const UpstreamId &Upstream,
                                        const BootId &Boot) {
  auto Found = SourceIndex.find(Upstream);
  if (Found == SourceIndex.end()) {
    auto Index = static_cast<std::uint32_t>(Sources.size());
    if (FreeSources.empty()) {
      Sources.emplace_back();
    } else {
      Index = FreeSources.back();
      FreeSources.pop_back();
    }
    Sources[Index].Id = Upstream;
    Sources[Index].Boot = Boot;
    Found = SourceIndex.emplace(Upstream, Index).first;
  }
  Source &From = Sources[Found->second];
  if (From.Boot != Boot) {
    From.Boot = Boot;
    ++From.Generation;
    From.LastSequence = 0;
    From.UncertainBefore = 0;
  }
  return Found->second;
}

void PrefixHints::dropOldest() {
  auto [Prefix, From] = InsertionOrder.front();
  InsertionOrder.pop_front();
  auto Found = Hints.find(Prefix);
  if (Found == Hints.end())
    return;
  std::erase_if(Found->second, [Index = From](const Hint &Value) {
    return Value.Source == Index;
  });
  if (Found->second.empty())
    Hints.erase(Found);
}

void PrefixHints::apply(const UpstreamId &Upstream, const BootId &Boot,
                        const CacheEvent &Event) {
  std::uint32_t Index = updateSource(Upstream, Boot);
  Source &From = Sources[Index];
  if (From.LastSequence != 0 && Event.Sequence > From.LastSequence + 1)
    From.UncertainBefore = Event.Sequence;
  From.LastSequence = std::max(From.LastSequence, Event.Sequence);
  std::vector<Hint> &Holders = Hints[Event.Prefix];
  auto Found =
      std::find_if(Holders.begin(), Holders.end(),
                   [&](const Hint &Value) { return Value.Source == Index; });
  bool Present = Event.Type == CacheEvent::Stored;
  Hint Next{Index, From.Generation, Event.Sequence, Present};
  if (Found != Holders.end()) {
    if (Found->Generation != From.Generation ||
        Found->Sequence < Event.Sequence)
      *Found = Next;
    return;
  }
  // If the prefix has too many holders, the first one added is dropped. Its
  // element of InsertionOrder remains; dropOldest finds no hint for it then.
  if (Holders.size() >= MaxHoldersPerPrefix)
    Holders.erase(Holders.begin());
  Holders.push_back(Next);
  InsertionOrder.emplace_back(Event.Prefix, Index);
  while (InsertionOrder.size() > MaxHints)
    dropOldest();
}

void PrefixHints::noteGap(const UpstreamId &Upstream, std::uint64_t Oldest) {
  auto Found = SourceIndex.find(Upstream);
  if (Found == SourceIndex.end())
    return;
  Source &From = Sources[Found->second];
  if (Oldest > From.LastSequence + 1)
    From.UncertainBefore = std::max(From.UncertainBefore, Oldest);
}

void PrefixHints::removeUpstream(const UpstreamId &Upstream) {
  auto Found = SourceIndex.find(Upstream);
  if (Found == SourceIndex.end())
    return;
  Source &From = Sources[Found->second];
  ++From.Generation;
  From.LastSequence = 0;
  From.UncertainBefore = 0;
  FreeSources.push_back(Found->second);
  SourceIndex.erase(Found);
}

std::vector<PrefixCandidate>
PrefixHints::candidates(const std::vector<PrefixHash> &Prompt) const {
  std::vector<PrefixCandidate> Best;
  for (std::size_t Blocks = Prompt.size(); Blocks > 0; --Blocks) {
    auto Found = Hints.find(Prompt[Blocks - 1]);
    if (Found == Hints.end())
      continue;
    for (const Hint &Value : Found->second) {
      const Source &From = Sources[Value.Source];
      bool Known = std::any_of(Best.begin(), Best.end(),
                               [&](const PrefixCandidate &Other) {
                                 return Other.Upstream == From.Id;
                               });
      if (!Value.Present || Value.Generation != From.Generation || Known)
        continue;
      double Weight = Value.Sequence < From.UncertainBefore ? 0.5 : 1.0;
      Best.push_back(
          PrefixCandidate{From.Id, Weight * static_cast<double>(Blocks)});
      if (Best.size() == MaxCandidates)
        return Best;
    }
  }
  return Best;
}

} // namespace samphirehill
