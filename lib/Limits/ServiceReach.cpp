#include "samphirehill/Limits/ServiceReach.h"

#include <algorithm>

namespace samphirehill {
namespace {

constexpr Duration MinReturnDelay = milliseconds(100);

} // namespace

ZoneEvidence merge(const ZoneEvidence &A, const ZoneEvidence &B) {
  return {std::max(A.HeardAt, B.HeardAt), std::max(A.AnsweredAt, B.AnsweredAt),
          std::max(A.FailedAt, B.FailedAt)};
}

bool isCutOff(const ZoneEvidence &Evidence, const ReachSettings &Settings,
              TimePoint Now) {
  if (Evidence.HeardAt == TimePoint{})
    return false;
  TimePoint LastSign = std::max(Evidence.HeardAt, Evidence.AnsweredAt);
  return Evidence.FailedAt > LastSign && Now - LastSign > Settings.SilenceLimit;
}

bool servesCallers(const std::vector<ServiceReach> &Services) {
  double Served = 0;
  double Unserved = 0;
  int Reached = 0;
  int Unreached = 0;
  for (const ServiceReach &Each : Services) {
    if (Each.Upstreams == 0)
      continue;
    (Each.InReach > 0 ? Served : Unserved) += Each.PerSecond;
    ++(Each.InReach > 0 ? Reached : Unreached);
  }
  if (Served + Unserved <= 0)
    return Reached > 0 || Unreached == 0;
  return Unserved <= Served;
}

Readiness nextReadiness(const Readiness &Before, bool Serves,
                        const ReachSettings &Settings, TimePoint Now) {
  if (Serves == Before.Ready)
    return Before;
  bool MayChange = Serves || Before.Since == TimePoint{} ||
                   Now - Before.Since >= Settings.MinReadyTime;
  return MayChange ? Readiness{Serves, Now} : Before;
}

Duration returnAfterRotation(const Readiness &State,
                             const ReachSettings &Settings, Duration TimeLeft,
                             TimePoint Now) {
  Duration Left = Settings.RotationTime;
  if (!State.Ready)
    Left -= Now - State.Since;
  return std::max(std::min(Left, TimeLeft / 2), MinReturnDelay);
}

} // namespace samphirehill
