#include "samphirehill/Serving/WaitPolicy.h"

#include <algorithm>
#include <tuple>

namespace samphirehill::serving {
namespace {

// A group that lost a member is whole again within about this: detection, a
// warm start and opening.
constexpr Duration RepairTime = milliseconds(2'500);
// While all places are taken, one frees about this often.
constexpr Duration PlaceTurnover = milliseconds(700);
constexpr double LatestReturnPart = 0.3; // of the time a caller has left

} // namespace

Duration longestWait(const WaitLimits &Limits, NoPlace Reason,
                     Duration TimeLeft) {
  double Part = Reason == NoPlace::Absent ? Limits.AbsentPart : Limits.FullPart;
  auto Allowed = std::chrono::duration_cast<Duration>(TimeLeft * Part);
  return std::min(Allowed, Reason == NoPlace::Absent ? Limits.LongestAbsent
                                                     : Limits.LongestFull);
}

Duration retryAfter(NoPlace Reason, Duration TimeLeft) {
  Duration Wanted = Reason == NoPlace::Absent ? RepairTime : PlaceTurnover;
  auto Latest =
      std::chrono::duration_cast<Duration>(TimeLeft * LatestReturnPart);
  return std::max(std::min(Wanted, Latest), milliseconds(50));
}

std::size_t nextToServe(const std::vector<WaitingRequest> &Waiting,
                        TimePoint Now) {
  auto Rank = [&](const WaitingRequest &Each) {
    return std::tuple(Each.Priority, Each.StartBy < Now, Each.StartBy,
                      Each.Number);
  };
  auto First = std::min_element(
      Waiting.begin(), Waiting.end(),
      [&](const auto &A, const auto &B) { return Rank(A) < Rank(B); });
  return static_cast<std::size_t>(First - Waiting.begin());
}

} // namespace samphirehill::serving
