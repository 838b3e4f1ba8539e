// Prompt prefix cache of the stand-in engine: blocks in limited memory, evicted
// least recently used first, and events that come late and with gaps.
#ifndef SAMPHIREHILL_STANDIN_ENGINE_PREFIXCACHE_H
#define SAMPHIREHILL_STANDIN_ENGINE_PREFIXCACHE_H

#include "samphirehill/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill::standin {

inline constexpr std::size_t PrefixBlockBytes = 256;

// Returns the ids of the prefixes of Prompt that are whole blocks, shortest
// first, as docs/interfaces.md pins them.
std::vector<std::string> prefixIds(std::string_view Prompt,
                                   std::string_view Adapter);

struct CacheEvent {
  std::int64_t Sequence = 0;
  bool Stored = false; // otherwise evicted
  std::string Prefix;
  TimePoint VisibleAt;
};

class PrefixCache {
public:
  struct Limits {
    std::size_t Blocks = 4096;
    Duration EventDelay = milliseconds(500);
    std::int64_t LoseEvery = 0; // every nth event is never shown; 0: none
    std::size_t KeepEvents = 1024;
  };

  explicit PrefixCache(Limits Bounds) : Bounds(Bounds) {}

  // Returns how many of the leading Prefixes are cached and marks them used.
  std::size_t touch(const std::vector<std::string> &Prefixes);
  // Stores Prefixes, evicting the least recently used blocks when full.
  void store(const std::vector<std::string> &Prefixes, TimePoint Now);
  // Forgets every block without events, as after a lost cache.
  void clear();

  bool contains(const std::string &Prefix) const {
    return Blocks.count(Prefix) != 0;
  }
  // Returns the chain of prefixes with which Prefix was stored, ending in it.
  std::vector<std::string> chain(const std::string &Prefix) const;
  // Returns the kept events after sequence number After that are visible.
  std::vector<CacheEvent> events(std::int64_t After, TimePoint Now) const;
  // The sequence number of the oldest kept event, or the next one's.
  std::int64_t oldest() const;
  // The sequence number of the latest event.
  std::int64_t latest() const { return Sequence; }
  std::size_t size() const { return Blocks.size(); }

private:
  struct Block {
    std::list<std::string>::iterator Use;
    std::string Parent;
  };

  void markUsed(const std::vector<std::string> &Prefixes);
  void record(bool Stored, const std::string &Prefix, TimePoint Now);

  Limits Bounds;
  std::list<std::string> Uses; // least recently used first
  std::unordered_map<std::string, Block> Blocks;
  std::deque<CacheEvent> Events;
  std::int64_t Sequence = 0;
};

} // namespace samphirehill::standin

#endif // SAMPHIREHILL_STANDIN_ENGINE_PREFIXCACHE_H
