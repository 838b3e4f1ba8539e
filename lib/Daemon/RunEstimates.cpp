#include "samphirehill/Daemon/RunEstimates.h"

#include <algorithm>

namespace samphirehill {
namespace {

constexpr double NewestWeight = 0.1;

double average(double Old, double Newest) {
  return Old == 0 ? Newest : Old + NewestWeight * (Newest - Old);
}

} // namespace

void recordRun(RunEstimates &Estimates, const ServiceId &Of, Duration Run,
               std::int64_t Tokens) {
  if (Tokens < 1)
    return;
  RunEstimate &Known = Estimates[Of];
  auto Count = static_cast<double>(Tokens);
  Known.SecondsPerToken =
      average(Known.SecondsPerToken, toSeconds(Run) / Count);
  Known.Tokens = average(Known.Tokens, Count);
}

Duration estimateRun(const RunEstimates &Estimates, const ServiceId &Of,
                     std::int64_t MaxTokens) {
  auto Found = Estimates.find(Of);
  if (Found == Estimates.end())
    return Duration::zero();
  const RunEstimate &Known = Found->second;
  double Tokens = std::min(Known.Tokens, static_cast<double>(MaxTokens));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Known.SecondsPerToken * Tokens));
}

} // namespace samphirehill
