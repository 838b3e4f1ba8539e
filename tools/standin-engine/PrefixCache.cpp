#include "standin-engine/PrefixCache.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <cstdio>

namespace samphirehill::standin {

std::vector<std::string> prefixIds(std::string_view Prompt,
                                   std::string_view Adapter) {
  std::vector<std::string> Ids;
  std::uint64_t Hash = Adapter.empty() ? 0 : hashBytes(Adapter);
  for (std::size_t End = PrefixBlockBytes; End <= Prompt.size();
       End += PrefixBlockBytes) {
    Hash = hashBytes(Prompt.substr(End - PrefixBlockBytes, PrefixBlockBytes),
                     Hash);
    char Text[17];
    std::snprintf(Text, sizeof(Text), "%016llx",
                  static_cast<unsigned long long>(Hash));
    Ids.emplace_back(Text);
  }
  return Ids;
}

std::size_t PrefixCache::touch(const std::vector<std::string> &Prefixes) {
  std::size_t Cached = 0;
  while (Cached < Prefixes.size() && contains(Prefixes[Cached]))
    ++Cached;
  markUsed({Prefixes.begin(), Prefixes.begin() + static_cast<long>(Cached)});
  return Cached;
}

// A block is of use only with those before it, so shorter prefixes count as
// used later and longer ones are evicted first.
void PrefixCache::markUsed(const std::vector<std::string> &Prefixes) {
  for (auto Prefix = Prefixes.rbegin(); Prefix != Prefixes.rend(); ++Prefix)
    Uses.splice(Uses.end(), Uses, Blocks[*Prefix].Use);
}

void PrefixCache::store(const std::vector<std::string> &Prefixes,
                        TimePoint Now) {
  std::string Parent;
  for (const std::string &Prefix : Prefixes) {
    if (!contains(Prefix)) {
      Uses.push_back(Prefix);
      Blocks[Prefix] = Block{std::prev(Uses.end()), Parent};
      record(true, Prefix, Now);
    }
    Parent = Prefix;
  }
  markUsed(Prefixes);
  while (Blocks.size() > Bounds.Blocks) {
    std::string Oldest = Uses.front();
    Uses.pop_front();
    Blocks.erase(Oldest);
    record(false, Oldest, Now);
  }
}

void PrefixCache::clear() {
  Blocks.clear();
  Uses.clear();
}

std::vector<std::string> PrefixCache::chain(const std::string &Prefix) const {
  std::vector<std::string> Chain;
  for (auto Found = Blocks.find(Prefix); Found != Blocks.end();
       Found = Blocks.find(Found->second.Parent))
    Chain.push_back(Found->first);
  std::reverse(Chain.begin(), Chain.end());
  return Chain;
}

std::vector<CacheEvent> PrefixCache::events(std::int64_t After,
                                            TimePoint Now) const {
  std::vector<CacheEvent> Visible;
  for (const CacheEvent &Event : Events)
    if (Event.Sequence > After && Event.VisibleAt <= Now)
      Visible.push_back(Event);
  return Visible;
}

std::int64_t PrefixCache::oldest() const {
  return Events.empty() ? Sequence + 1 : Events.front().Sequence;
}

void PrefixCache::record(bool Stored, const std::string &Prefix,
                         TimePoint Now) {
  ++Sequence;
  if (Bounds.LoseEvery > 0 && Sequence % Bounds.LoseEvery == 0)
    return;
  Events.push_back({Sequence, Stored, Prefix, Now + Bounds.EventDelay});
  if (Events.size() > Bounds.KeepEvents)
    Events.pop_front();
}

} // namespace samphirehill::standin
