#include "samphirehill/Serving/GroupHeads.h"

namespace samphirehill::serving {

void noteKnown(GroupHeads &Heads, std::int64_t Epoch, Duration AbsenceGap,
               TimePoint Now) {
  auto [Last, IsNew] = Heads.LastKnownAt.try_emplace(Epoch, Now);
  if (!IsNew && Now - Last->second > AbsenceGap)
    Heads.ReturnedAt[Epoch] = Now;
  Last->second = Now;
}

bool mayHeadReturn(const GroupHeads &Heads, std::int64_t Epoch,
                   Duration ReturnWait, TimePoint Now) {
  auto Found = Heads.ReturnedAt.find(Epoch);
  return Found != Heads.ReturnedAt.end() && Now - Found->second < ReturnWait;
}

void eraseHeadTimes(GroupHeads &Heads, const std::set<std::int64_t> &Reported,
                    Duration ReturnWait, TimePoint Now) {
  std::erase_if(Heads.ReturnedAt, [&](const auto &Entry) {
    return Now - Entry.second > ReturnWait;
  });
  std::erase_if(Heads.HeadlessSince, [&](const auto &Entry) {
    return !Reported.contains(Entry.first);
  });
}

} // namespace samphirehill::serving
