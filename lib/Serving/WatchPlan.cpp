#include "samphirehill/Serving/WatchPlan.h"

#include <algorithm>

namespace samphirehill::serving {
namespace {

// Pause after a failed call, doubled with each further failure up to the
// maximum. The platform charges for refused calls as well.
constexpr Duration FirstRetryDelay = milliseconds(150);
constexpr Duration MaxRetryDelay = milliseconds(800);
constexpr int MaxDoublings = 6;
// How long a watch leaves it to another watch to find out when the store
// recovers, doubled each time up to the maximum. The time is limited because
// the other watch may fail for a reason of its own.
constexpr Duration FirstDeferral = milliseconds(800);
constexpr Duration MaxDeferral = milliseconds(3'000);
// Objects in the store expire after three missed heartbeats. While the store
// can't be reached for a shorter time than this, none expires.
constexpr Duration OutageLength = milliseconds(1'000);

WatchPhase phaseOf(WatchCall Call) {
  switch (Call) {
  case WatchCall::List:
    return WatchPhase::Listing;
  case WatchCall::ShortWatch:
    return WatchPhase::CatchingUp;
  case WatchCall::Watch:
  case WatchCall::None:
    return WatchPhase::Watching;
  }
  return WatchPhase::Watching;
}

WatchStep startCall(WatchPlan &Plan, WatchCall Call) {
  Plan.Phase = phaseOf(Call);
  Plan.RefreshPending = false;
  return {Call, {}};
}

WatchStep pause(WatchPlan &Plan, WatchCall Call, Duration Length) {
  Plan.Phase = WatchPhase::Pausing;
  return {Call, Length};
}

void noteAnswer(WatchPlan &Plan, std::int64_t Revision) {
  Plan.Revision = Revision;
  Plan.LastCallAnswered = true;
  Plan.Restored = false;
  Plan.Outage = false;
  Plan.Failures = 0;
  Plan.Deferrals = 0;
}

// Returns Shortest doubled Times times, but at most Longest.
Duration doubled(Duration Shortest, int Times, Duration Longest) {
  return std::min(Shortest * (1 << std::min(Times, MaxDoublings)), Longest);
}

WatchStep nextStep(WatchPlan &Plan, Duration Pause, const WatchView &View) {
  if (Plan.RefreshPending)
    return startCall(Plan, WatchCall::ShortWatch);
  if (View.Relayed) {
    Plan.Phase = WatchPhase::FollowingRelay;
    return {};
  }
  if (Pause == Duration::zero())
    return startCall(Plan, WatchCall::Watch);
  return pause(Plan, WatchCall::Watch, Pause);
}

// Returns the call that finds out whether the store answers again. After a
// short loss of contact a watch is enough: the store may still hold all changes
// since the plan's revision, and otherwise reports that it does not.
WatchCall recoveryCall(WatchPlan &Plan, TimePoint Now) {
  if (Now - Plan.LostAt >= OutageLength)
    Plan.Outage = true;
  return Plan.Outage || Plan.Revision == 0 ? WatchCall::List
                                           : WatchCall::ShortWatch;
}

} // namespace

WatchStep noteList(WatchPlan &Plan, std::int64_t Revision,
                   const WatchView &View) {
  noteAnswer(Plan, Revision);
  return nextStep(Plan, Duration::zero(), View);
}

WatchStep noteChanges(WatchPlan &Plan, std::int64_t Revision, bool HasChanges,
                      const WatchView &View) {
  noteAnswer(Plan, Revision);
  Plan.HistoryGaps = 0;
  return nextStep(Plan, HasChanges ? View.Pause : Duration::zero(), View);
}

WatchStep noteHistoryGone(WatchPlan &Plan) {
  if (Plan.HistoryGaps++ == 0)
    return startCall(Plan, WatchCall::List);
  return pause(Plan, WatchCall::List,
               doubled(FirstRetryDelay, Plan.HistoryGaps - 2, MaxRetryDelay));
}

WatchStep noteRestored(WatchPlan &Plan) {
  Plan.Revision = 0;
  Plan.HistoryGaps = 0;
  Plan.Restored = true;
  return startCall(Plan, WatchCall::List);
}

WatchStep noteFailure(WatchPlan &Plan, const WatchView &View) {
  if (Plan.LastCallAnswered || Plan.LostAt == TimePoint{})
    Plan.LostAt = View.Now;
  Plan.LastCallAnswered = false;
  if (Plan.Revision != 0 && View.Defer) {
    Plan.Phase = WatchPhase::Deferring;
    Plan.DeferredUntil =
        View.Now + doubled(FirstDeferral, Plan.Deferrals++, MaxDeferral);
    return {};
  }
  Duration Delay = doubled(FirstRetryDelay, Plan.Failures++, MaxRetryDelay);
  return pause(Plan, recoveryCall(Plan, View.Now + Delay), Delay);
}

void notePauseOver(WatchPlan &Plan, WatchCall Call) { startCall(Plan, Call); }

WatchStep refresh(WatchPlan &Plan, const WatchView &View) {
  switch (Plan.Phase) {
  case WatchPhase::FollowingRelay:
    return startCall(Plan, WatchCall::ShortWatch);
  case WatchPhase::Deferring:
    return startCall(Plan, recoveryCall(Plan, View.Now));
  // The call in progress is kept: if each refresh replaced it, a slow store
  // would never get to answer one.
  case WatchPhase::Listing:
  case WatchPhase::CatchingUp:
    Plan.RefreshPending = true;
    return {};
  case WatchPhase::Watching:
  case WatchPhase::Pausing:
    return Plan.LastCallAnswered ? startCall(Plan, WatchCall::ShortWatch)
                                 : WatchStep{};
  }
  return {};
}

WatchStep reconcile(WatchPlan &Plan, const WatchView &View) {
  bool StillDeferred = View.Defer && View.Now < Plan.DeferredUntil;
  bool ReasonGone =
      (Plan.Phase == WatchPhase::FollowingRelay && !View.Relayed) ||
      (Plan.Phase == WatchPhase::Deferring && !StillDeferred);
  return ReasonGone ? refresh(Plan, View) : WatchStep{};
}

void advance(WatchPlan &Plan, std::int64_t Revision) {
  if (Plan.Phase == WatchPhase::FollowingRelay)
    Plan.Revision = std::max(Plan.Revision, Revision);
}

bool isFollowingStore(const WatchPlan &Plan) {
  return Plan.LastCallAnswered && !Plan.Restored &&
         Plan.Phase != WatchPhase::FollowingRelay;
}

} // namespace samphirehill::serving
