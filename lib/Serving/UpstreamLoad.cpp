#include "samphirehill/Serving/UpstreamLoad.h"

#include <algorithm>
#include <cmath>

namespace samphirehill::serving {
namespace {

// Returns the time between two events of the running requests, without the
// processing of prompts.
double generationSeconds(const UpstreamLoad &Load, const EngineShape &Engine) {
  return Engine.EventSteps * (toSeconds(Engine.Step) +
                              toSeconds(Engine.StepPerRequest) * Load.Running);
}

} // namespace

UpstreamLoad &operator+=(UpstreamLoad &Sum, const UpstreamLoad &Load) {
  Sum.Running += Load.Running;
  Sum.PendingTokens += Load.PendingTokens;
  Sum.StalledBy += Load.StalledBy;
  Sum.MovingBy += Load.MovingBy;
  Sum.Pace.Slots += Load.Pace.Slots;
  Sum.Pace.Entries += Load.Pace.Entries;
  return Sum;
}

UpstreamLoad &operator-=(UpstreamLoad &Sum, const UpstreamLoad &Load) {
  Sum.Running = std::max(Sum.Running - Load.Running, 0);
  Sum.PendingTokens =
      std::max<std::int64_t>(Sum.PendingTokens - Load.PendingTokens, 0);
  Sum.StalledBy = std::max(Sum.StalledBy - Load.StalledBy, 0);
  Sum.MovingBy = std::max(Sum.MovingBy - Load.MovingBy, 0);
  Sum.Pace.Slots = std::max(Sum.Pace.Slots - Load.Pace.Slots, 0.0);
  Sum.Pace.Entries = std::max(Sum.Pace.Entries - Load.Pace.Entries, 0);
  return Sum;
}

bool reportedStalled(const UpstreamLoad &Load) {
  return Load.StalledBy > Load.MovingBy;
}

bool reportedProgressing(const UpstreamLoad &Load) {
  return Load.MovingBy > Load.StalledBy;
}

Duration expectedFirstEvent(const UpstreamLoad &Load, std::int64_t PromptTokens,
                            const EngineShape &Engine, double Pace) {
  double Tokens = static_cast<double>(Load.PendingTokens + PromptTokens);
  double Passes = std::ceil(Tokens / static_cast<double>(Engine.TokensPerPass));
  double Seconds = Tokens / std::max(Engine.PromptTokensPerSecond, 1.0) +
                   std::max(Passes, 1.0) * generationSeconds(Load, Engine);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds * Pace));
}

Duration expectedGap(const UpstreamLoad &Load, const EngineShape &Engine,
                     double Pace) {
  auto Read = static_cast<double>(
      std::min<std::int64_t>(Load.PendingTokens, Engine.TokensPerPass));
  double Seconds = generationSeconds(Load, Engine) +
                   Read / std::max(Engine.PromptTokensPerSecond, 1.0);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds * Pace));
}

} // namespace samphirehill::serving
