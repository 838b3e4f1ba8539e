#include "samphirehill/Serving/UpstreamPacing.h"
#include "PlacementScore.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <spdlog/spdlog.h>
#include <string>
#include <utility>

namespace samphirehill::serving {
namespace {

// Failures of an upstream count against it in the choice among upstreams for
// about this long. Otherwise, while there are better ones, it would not be
// probed.
constexpr Duration FailureMemory = seconds(1);

// Returns the number of the window that contains Now. Without other entries
// there are no reports, and the windows don't count.
std::int64_t windowAt(const PlacementLimits &Limits, TimePoint Now) {
  return Limits.ReportAge > Duration::zero()
             ? Now.time_since_epoch() / Limits.ReportAge
             : 0;
}

// Returns a number that is uniform in [0, 1) over entries, upstreams and
// windows.
double drawOf(const UpstreamKey &Key, const EntryId &Entry,
              std::int64_t Window) {
  std::uint64_t Hash =
      combineHashes(rendezvousWeight(Key.Instance.str(), Entry.str()),
                    static_cast<std::uint64_t>(Window));
  return std::ldexp(static_cast<double>(Hash >> 11U), -53);
}

PaceCause causeOf(AvoidReason Reason) {
  switch (Reason) {
  case AvoidReason::Stalled:
    return PaceCause::Stalled;
  case AvoidReason::Refusing:
    return PaceCause::Refused;
  case AvoidReason::Unreachable:
    return PaceCause::Unreachable;
  case AvoidReason::Failing:
  case AvoidReason::None:
    return PaceCause::Failed;
  }
  return PaceCause::Failed;
}

} // namespace

PacedUpstream pacedUpstream(const UpstreamState &State) {
  PacedUpstream Paced;
  Paced.Slots = State.Info.Slots;
  Paced.Running = State.OwnLoad.Running + State.PeerLoad.Running;
  Paced.Slowness = State.Slowness;
  Paced.Own = State.FoundPace;
  Paced.Told = State.PeerLoad.Pace;
  return Paced;
}

PacedRequest pacedRequest(const UpstreamBook &Book, const UpstreamState &State,
                          const PlacementQuery &Query, Duration Holding,
                          TimePoint Now) {
  const PlacementLimits &Limits = Book.Limits;
  std::int64_t Window = windowAt(Limits, Now);
  PacedRequest Request;
  // Without reports of the demand, the entries count as equal.
  Request.Share = Query.DemandShare < 1 ? Query.DemandShare
                                        : 1.0 / std::max(Limits.Entries, 1);
  auto Elsewhere = Book.PeerDemand.find({Query.Service, Query.Model});
  if (Query.DemandShare < 1 && Elsewhere != Book.PeerDemand.end())
    Request.Arrivals = Elsewhere->second * Query.DemandShare /
                       (1 - Query.DemandShare) * toSeconds(Limits.ReportAge);
  Request.Holding = Holding;
  Request.ReportAge = Limits.ReportAge;
  Request.SentInWindow = State.SentWindow == Window ? State.SentInWindow : 0;
  Request.Draw = drawOf(State.Info.Key, Limits.Self, Window);
  Request.Repeatable = Query.Repeatable;
  return Request;
}

bool mayTakeAtItsPace(const UpstreamBook &Book, const UpstreamState &State,
                      const PlacementQuery &Query, TimePoint Now) {
  const PlacementLimits &Limits = Book.Limits;
  PacedUpstream Paced = pacedUpstream(State);
  if (pacedSlots(Limits.Pace, Paced, Now) >= Paced.Slots)
    return true;
  UpstreamLoad Load = totalLoad(State);
  Duration Holding =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          holdingSeconds(State, Load, Query, Limits)));
  return mayTakeAtPace(Limits.Pace, Paced,
                       pacedRequest(Book, State, Query, Holding, Now), Now);
}

void countSent(UpstreamState &State, const PlacementLimits &Limits,
               TimePoint Now) {
  std::int64_t Window = windowAt(Limits, Now);
  State.SentInWindow = State.SentWindow == Window ? State.SentInWindow + 1 : 1;
  State.SentWindow = Window;
}

void noteAnswered(UpstreamBook &Book, const UpstreamKey &Key, TimePoint SentAt,
                  Duration Expected, TimePoint Now) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  // A late answer is no reason to send more, but at full pace it shows that the
  // upstream works.
  if (State.FoundPace.State != PaceState::Full &&
      !isAsExpected(Book.Limits.Pace, Now - SentAt, Expected))
    return;
  State.FoundPace =
      paceAfterAnswer(Book.Limits.Pace, pacedUpstream(State), SentAt, Now);
}

void noteUpstreamFailed(UpstreamBook &Book, const UpstreamKey &Key,
                        PaceCause Cause, TimePoint Now) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  State.FoundPace =
      paceAfterFailure(Book.Limits.Pace, pacedUpstream(State), Cause, Now);
}

void avoidAndSlow(UpstreamBook &Book, const UpstreamKey &Key,
                  AvoidReason Reason, Duration For, TimePoint Now) {
  avoidUpstream(Book, Key, Reason, Now + For);
  noteUpstreamFailed(Book, Key, causeOf(Reason), Now);
}

void followReportedPaces(UpstreamBook &Book, TimePoint Now) {
  if (!Book.Limits.Pace.Enabled)
    return;
  Duration Elapsed = Now - std::exchange(Book.PacesUpdatedAt, Now);
  double Kept = std::exp(-toSeconds(Elapsed) / toSeconds(FailureMemory));
  for (auto &[Key, State] : Book.Upstreams) {
    State.FailureShare *= Kept;
    State.FoundPace =
        paceAfterReports(Book.Limits.Pace, pacedUpstream(State),
                         reportedProgressing(State.PeerLoad), Now);
  }
}

ToldPace toldPace(const UpstreamState &State, const PaceSettings &Settings,
                  TimePoint Now) {
  return paceToTell(Settings, pacedUpstream(State), Now);
}

void showPaces(ShownPaces &Shown, const UpstreamBook &Book,
               ServingMetrics &Metrics, TimePoint Now) {
  std::map<UpstreamKey, PaceState> Before = std::move(Shown.States);
  Shown.States.clear();
  std::map<PaceState, int> Counts{{PaceState::Starting, 0},
                                  {PaceState::Recovering, 0}};
  Metrics.clear("upstream_paced_slots");
  for (const auto &[Key, State] : Book.Upstreams) {
    const UpstreamPace &Pace = State.FoundPace;
    auto Known = Before.find(Key);
    PaceState Last = Known == Before.end() ? PaceState::Full : Known->second;
    double Slots = pacedSlots(Book.Limits.Pace, pacedUpstream(State), Now);
    if (Pace.State != Last) {
      spdlog::info("event=pace upstream={} epoch={} state={} cause={} "
                   "slots={:.1f} of={} running={} told={:.1f} told_by={}",
                   Key.Instance.str(), Key.Epoch, toString(Pace.State),
                   toString(Pace.Cause), Slots, State.Info.Slots,
                   totalLoad(State).Running, State.PeerLoad.Pace.Slots,
                   State.PeerLoad.Pace.Entries);
      Metrics.count("pace_changes", "to", toString(Pace.State));
    }
    if (Pace.State == PaceState::Full)
      continue;
    Shown.States.emplace(Key, Pace.State);
    ++Counts[Pace.State];
    if (Shown.States.size() > MostShownPaces)
      continue;
    Metrics.set(
        "upstream_paced_slots",
        {{"upstream", Key.Instance.str()}, {"state", toString(Pace.State)}},
        Slots);
  }
  for (const auto &[State, Count] : Counts)
    Metrics.set("paced_upstreams", {{"state", toString(State)}}, Count);
}

} // namespace samphirehill::serving
