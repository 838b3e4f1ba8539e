#include "samphirehill/Serving/WaitPolicy.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace samphirehill::serving {
namespace {

// Within about this time a group that lost a member serves again: detection of
// the loss, a warm start of the replacement, and the start of serving.
constexpr Duration GroupRepairTime = milliseconds(2'500);
// While all places are taken, more requests arrive than can be served. Such an
// overload lasts for seconds.
constexpr Duration OverloadDuration = milliseconds(1'600);
constexpr double MaxRetryAfterFraction = 0.3; // of the caller's remaining time
constexpr Duration MinRetryAfter = milliseconds(50);
constexpr Duration ReturnSpread = seconds(1);
// Time constant of an EventRate's decay: in this time the places of a group
// become free a few times.
constexpr double RateDecaySeconds = 1.0;

// Weight of the newest observation in the moving average of FirstEventTime.
constexpr double FirstEventWeight = 0.05;
// Weight of a shorter answer in LongestAnswerTime.
constexpr double ShorterAnswerWeight = 0.02;
// Answers during a stop may take longer than the longest of late.
constexpr double AnswerTimeMargin = 1.25;
// The times that callers of one route allow for a first attempt differ by up to
// a fifth. A caller that allows less has sent its request before.
constexpr double SameTimeoutFraction = 0.8;
// How long the longest time that a caller allowed is kept.
constexpr Duration LongestTimeoutRetention = seconds(60);

// Returns a key that sorts requests in the order in which they are served.
auto serviceOrder(const WaitingRequest &Request, TimePoint Now) {
  return std::tuple(Request.BeyondShare, Request.Priority,
                    Request.StartBy < Now, Request.StartBy, Request.Number);
}

} // namespace

Duration maxWait(const WaitLimits &Limits, PlacementFailure Reason,
                 Duration TimeLeft) {
  double Fraction = Reason == PlacementFailure::Absent
                        ? Limits.AbsentWaitFraction
                        : Limits.FullWaitFraction;
  auto Allowed = std::chrono::duration_cast<Duration>(TimeLeft * Fraction);
  return std::min(Allowed, Reason == PlacementFailure::Absent
                               ? Limits.MaxAbsentWait
                               : Limits.MaxFullWait);
}

bool missedObjectiveWhileWaiting(PlacementFailure Reason, TimePoint Since,
                                 TimePoint StartBy, TimePoint Now) {
  bool Scarce =
      Reason == PlacementFailure::Full || Reason == PlacementFailure::Limited;
  return Scarce && Since <= StartBy && Now > StartBy;
}

Duration spreadReturn(double Draw) {
  return std::chrono::duration_cast<Duration>(ReturnSpread * Draw);
}

Duration longestWaitForTurn(const WaitLimits &Limits, Duration ToStartBy,
                            Duration TimeLeft) {
  return ToStartBy >= Duration::zero()
             ? ToStartBy
             : maxWait(Limits, PlacementFailure::Limited, TimeLeft);
}

Duration retryAfter(PlacementFailure Reason, Duration TimeLeft, Duration Left) {
  if (Reason == PlacementFailure::Quiet ||
      Reason == PlacementFailure::Unreachable)
    return std::max(Left, MinRetryAfter);
  Duration Expected = OverloadDuration;
  if (Reason == PlacementFailure::Absent)
    Expected = GroupRepairTime;
  if (Reason == PlacementFailure::Limited)
    Expected = Left;
  auto Latest =
      std::chrono::duration_cast<Duration>(TimeLeft * MaxRetryAfterFraction);
  return std::max(std::min(Expected, Latest), MinRetryAfter);
}

double rateAt(const EventRate &Rate, TimePoint Now) {
  double Elapsed = std::max(toSeconds(Now - Rate.UpdatedAt), 0.0);
  return Rate.PerSecond * std::exp(-Elapsed / RateDecaySeconds);
}

void noteEvent(EventRate &Rate, TimePoint Now) {
  Rate.PerSecond = rateAt(Rate, Now) + 1.0 / RateDecaySeconds;
  Rate.UpdatedAt = Now;
}

double demandShare(const std::map<ServiceModel, EventRate> &Here,
                   const std::map<ServiceModel, double> &Elsewhere,
                   const ServiceModel &Kind, TimePoint Now) {
  auto Own = Here.find(Kind);
  auto Others = Elsewhere.find(Kind);
  if (Own == Here.end() || Others == Elsewhere.end())
    return 1.0;
  double Rate = rateAt(Own->second, Now);
  return Rate / std::max(Rate + Others->second, 1e-9);
}

std::size_t maxQueueLength(const WaitLimits &Limits, const EventRate &Rate,
                           TimePoint Now) {
  double Sent = rateAt(Rate, Now) * toSeconds(Limits.QueueTime);
  return std::max(Limits.MinQueueLength,
                  static_cast<std::size_t>(std::ceil(Sent)));
}

void noteFirstEvent(FirstEventTime &Average, Duration Observed) {
  double Weight = std::exchange(Average.Known, true) ? FirstEventWeight : 1.0;
  Average.Mean +=
      std::chrono::duration_cast<Duration>((Observed - Average.Mean) * Weight);
}

Duration maxStartDelay(const WaitLimits &Limits, const FirstEventTime &Average,
                       Duration Objective) {
  auto ObjectiveTimes = [&](double Factor) {
    return std::chrono::duration_cast<Duration>(Objective * Factor);
  };
  return std::clamp(Objective - Average.Mean,
                    ObjectiveTimes(Limits.MinStartFraction),
                    ObjectiveTimes(Limits.StartFraction));
}

Duration elapsedBeforeArrival(LongestCallerTimeout &Longest, Duration TimeLeft,
                              TimePoint Now) {
  if (TimeLeft >= Longest.Value ||
      Now - Longest.SeenAt > LongestTimeoutRetention)
    Longest = {TimeLeft, Now};
  auto SimilarTimeout =
      std::chrono::duration_cast<Duration>(Longest.Value * SameTimeoutFraction);
  return TimeLeft >= SimilarTimeout ? Duration::zero()
                                    : Longest.Value - TimeLeft;
}

void noteAnswerTime(LongestAnswerTime &Longest, Duration Observed) {
  Duration Decline = std::chrono::duration_cast<Duration>(
      (Longest.Value - Observed) * ShorterAnswerWeight);
  Longest.Value = std::max(Observed, Longest.Value - Decline);
  Longest.Known = true;
}

bool endsBeforeStop(bool Repeatable, Duration Allowed,
                    const LongestAnswerTime &Longest, Duration Left) {
  if (Allowed <= Left)
    return true;
  return Repeatable && Longest.Known &&
         Longest.Value * AnswerTimeMargin <= Left;
}

std::size_t nextToServe(const std::vector<WaitingRequest> &Waiting,
                        TimePoint Now) {
  auto First = std::min_element(
      Waiting.begin(), Waiting.end(), [&](const auto &A, const auto &B) {
        return serviceOrder(A, Now) < serviceOrder(B, Now);
      });
  return static_cast<std::size_t>(First - Waiting.begin());
}

std::optional<std::size_t>
firstToRefuse(const std::vector<WaitingRequest> &Waiting, TimePoint Now) {
  std::optional<std::size_t> Last;
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index) {
    if (Waiting[Index].Begun)
      continue;
    if (!Last ||
        serviceOrder(Waiting[*Last], Now) < serviceOrder(Waiting[Index], Now))
      Last = Index;
  }
  return Last;
}

} // namespace samphirehill::serving
