#include "samphirehill/Serving/CrashRecord.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>

namespace samphirehill::serving {

std::uint64_t requestFingerprint(std::string_view Target, std::string_view Key,
                                 std::string_view Body) {
  return combineHashes(combineHashes(hashBytes(Target), hashBytes(Key)),
                       hashBytes(Body));
}

void noteBreakOff(CrashRecord &Record, const BreakOff &Seen) {
  if (Record.Seen.size() >= Record.MaxRequests &&
      !Record.Seen.contains(Seen.Request))
    return;
  Record.Seen[Seen.Request].emplace(Seen.Upstream, Seen.SeenAt);
}

void noteOwnBreakOff(CrashRecord &Record, const BreakOff &Seen) {
  noteBreakOff(Record, Seen);
  Record.Recent.push_back(Seen);
}

bool mayRun(const CrashRecord &Record, std::uint64_t Request, TimePoint Now) {
  auto Found = Record.Seen.find(Request);
  if (Found == Record.Seen.end())
    return true;
  auto Counted = std::count_if(
      Found->second.begin(), Found->second.end(),
      [&](const auto &Each) { return Now - Each.second < Record.Retention; });
  return Counted < Record.MaxBreakOffs;
}

void expire(CrashRecord &Record, Duration Share, TimePoint Now) {
  std::erase_if(Record.Recent, [&](const BreakOff &Each) {
    return Now - Each.SeenAt > Share;
  });
  std::erase_if(Record.Seen, [&](const auto &Entry) {
    return std::all_of(
        Entry.second.begin(), Entry.second.end(),
        [&](const auto &Each) { return Now - Each.second > Record.Retention; });
  });
}

} // namespace samphirehill::serving
