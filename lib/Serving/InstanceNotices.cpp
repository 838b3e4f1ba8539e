#include "samphirehill/Serving/InstanceNotices.h"

#include <algorithm>
#include <string>
#include <utility>

namespace samphirehill::serving {
namespace {

// An instance that is leaving may still serve for minutes, until its requests
// are done.
constexpr Duration NoticeMaxAge = LongestPause;
// Entries lengthen a pause by up to SpreadShare of it, and by LongestSpread at
// most.
constexpr double SpreadShare = 0.1;
constexpr Duration LongestSpread = milliseconds(500);

const InstanceNotice *find(const InstanceNotices &Notices,
                           const InstanceLife &Of) {
  auto Found = Notices.ByLife.find(Of);
  return Found == Notices.ByLife.end() ? nullptr : &Found->second;
}

} // namespace

CrashId crashId(const InstanceLife &Life) {
  return {UpstreamId(Life.Id.str()),
          BootId(std::to_string(Life.BornMilliseconds))};
}

bool noteLeaving(InstanceNotices &Notices, const InstanceLife &From,
                 TimePoint Now) {
  InstanceNotice &Notice = Notices.ByLife[From];
  Notice.LastNoticeAt = Now;
  return !std::exchange(Notice.Leaving, true);
}

TimePoint noteQuiet(InstanceNotices &Notices, const InstanceLife &From,
                    Duration Pause, double Spread, TimePoint Now) {
  InstanceNotice &Notice = Notices.ByLife[From];
  Notice.LastNoticeAt = Now;
  Duration Accepted = std::min(Pause, LongestPause);
  auto Most = std::chrono::duration_cast<Duration>(Accepted * SpreadShare);
  auto Added = std::chrono::duration_cast<Duration>(
      std::min(Most, LongestSpread) * Spread);
  Notice.QuietUntil = std::max(Notice.QuietUntil, Now + Accepted + Added);
  return Notice.QuietUntil;
}

bool isLeaving(const InstanceNotices &Notices, const InstanceLife &Of) {
  const InstanceNotice *Notice = find(Notices, Of);
  return Notice && Notice->Leaving;
}

TimePoint quietUntil(const InstanceNotices &Notices, const InstanceLife &Of) {
  const InstanceNotice *Notice = find(Notices, Of);
  return Notice ? Notice->QuietUntil : TimePoint{};
}

void eraseExpiredNotices(InstanceNotices &Notices, TimePoint Now) {
  std::erase_if(Notices.ByLife, [&](const auto &Entry) {
    return Now - Entry.second.LastNoticeAt > NoticeMaxAge &&
           Now >= Entry.second.QuietUntil;
  });
}

} // namespace samphirehill::serving
