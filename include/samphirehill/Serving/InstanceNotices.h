// Notices that instances add to their answers: that they are leaving, and that
// they want no requests for a while (a pause; the instance is then called
// quiet). A notice applies to one life of an instance, not to its name or
// address. Does no I/O. Times are of a clock that includes the time for which
// this machine was suspended.
#ifndef SAMPHIREHILL_SERVING_INSTANCENOTICES_H
#define SAMPHIREHILL_SERVING_INSTANCENOTICES_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/CrashSuspects.h"

#include <cstdint>
#include <map>

namespace samphirehill::serving {

// Upper bound of a pause that an instance asks for. It exceeds a deployment's
// longest deadline, and is short enough that one wrong value doesn't exclude an
// instance for good.
inline constexpr Duration LongestPause = seconds(3'600);

// One life of an instance: from one start of its process to the end of it. An
// instance that restarts keeps its name and begins another life.
struct InstanceLife {
  InstanceId Id;
  std::int64_t BornMilliseconds = 0; // wall clock

  auto operator<=>(const InstanceLife &) const = default;
};

// Returns the name under which a crash of this life is known to all entries.
CrashId crashId(const InstanceLife &Life);

// The notices of one life of an instance.
struct InstanceNotice {
  bool Leaving = false;
  TimePoint QuietUntil{};
  TimePoint LastNoticeAt{}; // of either kind

  bool operator==(const InstanceNotice &) const = default;
};

struct InstanceNotices {
  std::map<InstanceLife, InstanceNotice> ByLife;
};

// Records that From is leaving. Returns false if that was known already.
bool noteLeaving(InstanceNotices &Notices, const InstanceLife &From,
                 TimePoint Now);

// Records that From wants no requests for Pause. Spread, a random number
// uniform in [0, 1), makes the pause a little longer, so that entries that got
// the notice at the same time don't resume at the same time. Returns when the
// pause ends; a pause that was recorded earlier and ends later still applies.
TimePoint noteQuiet(InstanceNotices &Notices, const InstanceLife &From,
                    Duration Pause, double Spread, TimePoint Now);

// Returns whether Of has announced that it is leaving.
bool isLeaving(const InstanceNotices &Notices, const InstanceLife &Of);

// Returns the end of Of's latest pause, which may be in the past; TimePoint{}
// if it has asked for none.
TimePoint quietUntil(const InstanceNotices &Notices, const InstanceLife &Of);

// Erases the notices of lives that must have ended, as their last notice is too
// old.
void eraseExpiredNotices(InstanceNotices &Notices, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_INSTANCENOTICES_H
