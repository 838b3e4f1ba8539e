// What instances say of themselves in their answers: that they leave, and that
// they want no requests for a while. Both hold for one life of an instance, not
// for its name or address. No I/O; times are of a clock that counts the time
// for which this machine was suspended.
#ifndef SAMPHIREHILL_SERVING_INSTANCENOTICES_H
#define SAMPHIREHILL_SERVING_INSTANCENOTICES_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>

namespace samphirehill::serving {

// A pause that an instance asks for counts for this long at most: longer than a
// deployment's longest deadline, and short enough that one wrong value doesn't
// take an instance out for good.
inline constexpr Duration LongestPause = seconds(3'600);

// One life of an instance.
struct InstanceLife {
  InstanceId Id;
  std::int64_t BornMilliseconds = 0; // wall clock

  auto operator<=>(const InstanceLife &) const = default;
};

// What a life of an instance has said.
struct InstanceNotice {
  bool Leaving = false;
  TimePoint QuietUntil{};
  TimePoint LastNoticeAt{}; // the last of both

  bool operator==(const InstanceNotice &) const = default;
};

struct InstanceNotices {
  std::map<InstanceLife, InstanceNotice> ByLife;
};

// Notes that From leaves. Returns whether that is news.
bool noteLeaving(InstanceNotices &Notices, const InstanceLife &From,
                 TimePoint Now);

// Notes that From wants no requests for Pause. Spread, uniform in [0, 1), makes
// the pause a little longer, so that entries that were told together don't
// return together. Returns when the pause ends; an earlier, longer one holds.
TimePoint noteQuiet(InstanceNotices &Notices, const InstanceLife &From,
                    Duration Pause, double Spread, TimePoint Now);

// Returns whether Of has said that it leaves.
bool isLeaving(const InstanceNotices &Notices, const InstanceLife &Of);

// Returns until when Of wants no requests; a time before Now if it wants some.
TimePoint quietUntil(const InstanceNotices &Notices, const InstanceLife &Of);

// Forgets lives that have said nothing for so long that they have ended.
void eraseExpiredNotices(InstanceNotices &Notices, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_INSTANCENOTICES_H
