#include "samphirehill/Serving/CrashRecord.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>

namespace samphirehill::serving {

std::uint64_t requestFingerprint(std::string_view Target, std::string_view Key,
                                 std::string_view Body) {
  return combineHashes(combineHashes(hashBytes(Target), hashBytes(Key)),
                       hashBytes(Body));
}

void noteBreakOff(CrashRecord &Record, const BreakOff &Observed) {
  if (Record.BreakOffs.size() >= Record.MaxRequests &&
      !Record.BreakOffs.contains(Observed.Request))
    return;
  Record.BreakOffs[Observed.Request].emplace(Observed.Upstream,
                                             Observed.SeenAt);
}

void noteOwnBreakOff(CrashRecord &Record, const BreakOff &Observed) {
  noteBreakOff(Record, Observed);
  Record.Recent.push_back(Observed);
}

bool mayRun(const CrashRecord &Record, std::uint64_t Request, TimePoint Now) {
  auto Found = Record.BreakOffs.find(Request);
  if (Found == Record.BreakOffs.end())
    return true;
  auto Counted = std::count_if(
      Found->second.begin(), Found->second.end(),
      [&](const auto &Seen) { return Now - Seen.second < Record.Retention; });
  return Counted < Record.MaxBreakOffs;
}

void expire(CrashRecord &Record, Duration ReportTime, TimePoint Now) {
  std::erase_if(Record.Recent, [&](const BreakOff &Own) {
    return Now - Own.SeenAt > ReportTime;
  });
  std::erase_if(Record.BreakOffs, [&](const auto &Request) {
    return std::all_of(
        Request.second.begin(), Request.second.end(),
        [&](const auto &Seen) { return Now - Seen.second > Record.Retention; });
  });
}

} // namespace samphirehill::serving
