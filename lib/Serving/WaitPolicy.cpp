#include "samphirehill/Serving/WaitPolicy.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace samphirehill::serving {
namespace {

// A group that lost a member is whole again within about this: detection, a
// warm start and opening.
constexpr Duration RepairTime = milliseconds(2'500);
// While all places are taken, more requests come than can be served, for
// seconds.
constexpr Duration OverloadSpell = milliseconds(1'600);
constexpr double LatestReturnPart = 0.3; // of the time a caller has left
constexpr Duration ShortestReturn = milliseconds(50);
// Memory of an EventRate: a few turnovers of a group's places.
constexpr double RateMemorySeconds = 1.0;

// Weight of the newest first event.
constexpr double FirstEventWeight = 0.05;
// Callers of one route allow times that differ by up to a fifth.
constexpr double SamePatiencePart = 0.8;
// For how long the longest time that a caller allowed counts.
constexpr Duration PatienceMemory = seconds(60);

// Sorts by the order of service.
auto rank(const WaitingRequest &Each, TimePoint Now) {
  return std::tuple(Each.Priority, Each.StartBy < Now, Each.StartBy,
                    Each.Number);
}

} // namespace

Duration maxWait(const WaitLimits &Limits, NoPlace Reason, Duration TimeLeft) {
  double Part = Reason == NoPlace::Absent ? Limits.AbsentWaitFraction
                                          : Limits.FullWaitFraction;
  auto Allowed = std::chrono::duration_cast<Duration>(TimeLeft * Part);
  return std::min(Allowed, Reason == NoPlace::Absent ? Limits.MaxAbsentWait
                                                     : Limits.MaxFullWait);
}

bool missedObjectiveWhileWaiting(NoPlace Reason, TimePoint Since,
                                 TimePoint StartBy, TimePoint Now) {
  return Reason == NoPlace::Full && Since <= StartBy && Now > StartBy;
}

Duration retryAfter(NoPlace Reason, Duration TimeLeft, Duration QuietLeft) {
  if (Reason == NoPlace::Quiet)
    return std::max(QuietLeft, ShortestReturn);
  Duration Wanted = Reason == NoPlace::Absent ? RepairTime : OverloadSpell;
  auto Latest =
      std::chrono::duration_cast<Duration>(TimeLeft * LatestReturnPart);
  return std::max(std::min(Wanted, Latest), ShortestReturn);
}

double rateAt(const EventRate &Rate, TimePoint Now) {
  double Elapsed = std::max(toSeconds(Now - Rate.UpdatedAt), 0.0);
  return Rate.PerSecond * std::exp(-Elapsed / RateMemorySeconds);
}

void noteEvent(EventRate &Rate, TimePoint Now) {
  Rate.PerSecond = rateAt(Rate, Now) + 1.0 / RateMemorySeconds;
  Rate.UpdatedAt = Now;
}

std::size_t maxQueueLength(const WaitLimits &Limits, const EventRate &Rate,
                           TimePoint Now) {
  double Places = rateAt(Rate, Now) * toSeconds(Limits.QueueTime);
  return std::max(Limits.MinQueueLength,
                  static_cast<std::size_t>(std::ceil(Places)));
}

void noteFirstEvent(FirstEventTime &Usual, Duration Observed) {
  double Weight = std::exchange(Usual.Known, true) ? FirstEventWeight : 1.0;
  Usual.Mean +=
      std::chrono::duration_cast<Duration>((Observed - Usual.Mean) * Weight);
}

Duration maxStartDelay(const WaitLimits &Limits, const FirstEventTime &Usual,
                       Duration Objective) {
  auto Part = [&](double Of) {
    return std::chrono::duration_cast<Duration>(Objective * Of);
  };
  return std::clamp(Objective - Usual.Mean, Part(Limits.MinStartFraction),
                    Part(Limits.StartFraction));
}

Duration elapsedBeforeArrival(LongestCallerTimeout &Patience, Duration TimeLeft,
                              TimePoint Now) {
  if (TimeLeft >= Patience.Longest || Now - Patience.SeenAt > PatienceMemory)
    Patience = {TimeLeft, Now};
  auto Same =
      std::chrono::duration_cast<Duration>(Patience.Longest * SamePatiencePart);
  return TimeLeft >= Same ? Duration::zero() : Patience.Longest - TimeLeft;
}

std::size_t nextToServe(const std::vector<WaitingRequest> &Waiting,
                        TimePoint Now) {
  auto First = std::min_element(Waiting.begin(), Waiting.end(),
                                [&](const auto &A, const auto &B) {
                                  return rank(A, Now) < rank(B, Now);
                                });
  return static_cast<std::size_t>(First - Waiting.begin());
}

std::optional<std::size_t>
firstToRefuse(const std::vector<WaitingRequest> &Waiting, TimePoint Now) {
  std::optional<std::size_t> Last;
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index) {
    if (Waiting[Index].Begun)
      continue;
    if (!Last || rank(Waiting[*Last], Now) < rank(Waiting[Index], Now))
      Last = Index;
  }
  return Last;
}

} // namespace samphirehill::serving
