// What the controller of the group duty logs and measures of its plans; see
// GroupController.
#include "samphirehill/Serving/GroupController.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace samphirehill::serving {
namespace {

const char *toString(GoneCause Cause) {
  switch (Cause) {
  case GoneCause::OtherLife:
    return "other_life";
  case GoneCause::RefusesConnections:
    return "refuses_connections";
  case GoneCause::Unreached:
    return "unreached";
  }
  return "unknown";
}

} // namespace

void GroupController::publishModels(
    const std::map<std::string, ModelSummary> &Before,
    const std::map<std::string, ModelSummary> &Models) {
  for (const auto &[Model, Summary] : Models) {
    auto Found = Before.find(Model);
    if (Found != Before.end() && Found->second == Summary)
      continue;
    spdlog::info("event=model_groups model={} serving={} forming={} wanted={} "
                 "stranded={} free={} loading={}",
                 Model, Summary.Serving, Summary.Forming, Summary.Wanted,
                 Summary.Stranded, Summary.Free, Summary.Loading);
    const char *Name = "model_groups";
    Metrics.set(Name, {{"model", Model}, {"state", "serving"}},
                Summary.Serving);
    Metrics.set(Name, {{"model", Model}, {"state", "forming"}},
                Summary.Forming);
    Metrics.set(Name, {{"model", Model}, {"state", "wanted"}}, Summary.Wanted);
    Metrics.set("stranded_engines", {{"model", Model}}, Summary.Stranded);
  }
}

void GroupController::publishDemand(const ServiceId &Service,
                                    const ExchangeState &Exchanges) {
  Duration Age{}; // of the oldest news that counts
  for (const auto &[Kind, Asked] : Work) {
    if (Kind.Service != Service)
      continue;
    Age = std::max(Age, Timers.now() - Asked.At);
    Metrics.set("zone_demand_places",
                {{"model", Kind.Model}, {"zone", Kind.Zone.str()}},
                Asked.Places);
  }
  for (const ModelSupply &Each : Exchanges.Supplies) {
    Metrics.set("model_demand_places", {{"model", Each.Model}}, Each.Work);
    Metrics.set("model_places", {{"model", Each.Model}},
                static_cast<double>(Each.Groups) * Each.Slots);
  }
  for (const Exchange &Begun : Exchanges.Begun) {
    Metrics.count("groups_given_up", "model", Begun.From);
    for (const ModelSupply &Each : Exchanges.Supplies) {
      if (Each.Model != Begun.From && Each.Model != Begun.To)
        continue;
      spdlog::info(
          "event=groups_given_up domain={} from={} to={} given_up={} gained={} "
          "model={} groups={} places={} demand={:.0f} demand_age_ms={}",
          Begun.Domain, Begun.From, Begun.To, Begun.GivenUp, Begun.Gained,
          Each.Model, Each.Groups, Each.Groups * Each.Slots, Each.Work,
          toMilliseconds(Age));
    }
  }
}

void GroupController::publishGoneHeads() {
  for (auto &[Id, Missed] : Missing) {
    std::optional<GoneCause> Cause =
        mayBeHead(Missed) ? goneCause(Id, Missed) : std::nullopt;
    if (Cause && !Missed.Gone) {
      Metrics.count("heads_gone", "cause", toString(*Cause));
      spdlog::info("event=instance_belief instance={} state=gone cause={} "
                   "unlisted_ms={}",
                   Id.str(), toString(*Cause),
                   toMilliseconds(Timers.now() - Missed.Since));
    }
    Missed.Gone = Cause.has_value();
  }
}

} // namespace samphirehill::serving
