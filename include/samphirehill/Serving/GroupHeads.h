// What the holder of the group duty remembers of the heads of groups, and for
// how long it expects the head of a group that has come back. Does no I/O.
#ifndef SAMPHIREHILL_SERVING_GROUPHEADS_H
#define SAMPHIREHILL_SERVING_GROUPHEADS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>
#include <set>

namespace samphirehill::serving {

// Keys are epochs of groups.
struct GroupHeads {
  std::map<std::int64_t, InstanceId> HeadOf; // as last reported
  std::map<std::int64_t, TimePoint> HeadlessSince;
  // When a member of the group was last known, and when one was known again
  // after a gap.
  std::map<std::int64_t, TimePoint> LastKnownAt;
  std::map<std::int64_t, TimePoint> ReturnedAt;
};

// Records that a member of the group is known; that is a return if none was for
// longer than AbsenceGap.
void noteKnown(GroupHeads &Heads, std::int64_t Epoch, Duration AbsenceGap,
               TimePoint Now);

// Returns whether the group has come back so recently, within ReturnWait, that
// its head may follow.
bool mayHeadReturn(const GroupHeads &Heads, std::int64_t Epoch,
                   Duration ReturnWait, TimePoint Now);

// Erases returns older than ReturnWait, and the waiting times of groups that no
// engine reports any more. Reported holds those that one reports.
void eraseHeadTimes(GroupHeads &Heads, const std::set<std::int64_t> &Reported,
                    Duration ReturnWait, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPHEADS_H
