#include "samphirehill/Serving/WorkCount.h"

#include <algorithm>
#include <cmath>

namespace samphirehill::serving {
namespace {

// Share of the slots that are taken in the group by which work is measured.
constexpr double ReferenceFill = 0.7;

} // namespace

Duration expectedHolding(UpstreamLoad Load, std::int64_t PromptTokens,
                         std::int64_t OutputTokens, const EngineShape &Engine,
                         double Pace) {
  Duration First = expectedFirstEvent(Load, PromptTokens, Engine, Pace);
  double Events =
      static_cast<double>(OutputTokens) / std::max(Engine.EventSteps, 1);
  Load.PendingTokens = 0;
  return First + std::chrono::duration_cast<Duration>(
                     expectedGap(Load, Engine, Pace) * Events);
}

Duration usualHolding(const EngineShape &Engine, const ModelShape &Model,
                      const RequestFacts &Facts, double Fill) {
  UpstreamLoad Load;
  Load.Running = static_cast<int>(std::lround(Engine.Slots * Fill));
  std::int64_t AnswerTokens = Facts.OutputTokens;
  if (Engine.UsualAnswerTokens > 0)
    AnswerTokens = std::min(AnswerTokens, Engine.UsualAnswerTokens);
  return expectedHolding(Load, Facts.PromptTokens, AnswerTokens, Engine,
                         Model.Pace);
}

std::map<ServiceModel, double>
ratesAt(const std::map<ServiceModel, EventRate> &Rates, TimePoint Now) {
  std::map<ServiceModel, double> PerSecond;
  for (const auto &[Kind, Rate] : Rates)
    PerSecond[Kind] = rateAt(Rate, Now);
  return PerSecond;
}

void noteRequest(WorkRates &Rates, const ServiceModel &Kind,
                 const EngineShape &Engine, const RequestFacts &Facts,
                 TimePoint Now) {
  auto Model = std::find_if(
      Engine.Models.begin(), Engine.Models.end(),
      [&](const ModelShape &Each) { return Each.Name == Kind.Model; });
  if (Model == Engine.Models.end())
    return;
  noteWork(Rates[Kind],
           toSeconds(usualHolding(Engine, *Model, Facts, ReferenceFill)), Now);
}

WorkAsked workAsked(const WorkRates &Rates, const ZoneId &Zone, TimePoint Now) {
  WorkAsked Work;
  for (const auto &[Kind, Rate] : Rates)
    Work[{Zone, Kind.Service, Kind.Model}] = workAt(Rate, Now);
  return Work;
}

} // namespace samphirehill::serving
