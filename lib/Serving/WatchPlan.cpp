#include "samphirehill/Serving/WatchPlan.h"

#include <algorithm>

namespace samphirehill::serving {
namespace {

// Pause after failed calls, doubled up to the longest: refused calls are
// priced.
constexpr Duration FirstRetry = milliseconds(150);
constexpr Duration LongestRetry = milliseconds(800);
constexpr int MostDoublings = 6;
// A watch leaves it to another one to find out when the store answers for this
// long, doubled each time: the other may fail for a reason of its own.
constexpr Duration FirstDeferral = milliseconds(800);
constexpr Duration LongestDeferral = milliseconds(3'000);
// Entries live for three heartbeats; a shorter loss of contact lapses none.
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

WatchStep ask(WatchPlan &Plan, WatchCall Call) {
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
  Plan.Outage = false;
  Plan.Failures = 0;
  Plan.Deferrals = 0;
}

// Returns Shortest doubled Times times, Longest at most.
Duration doubled(Duration Shortest, int Times, Duration Longest) {
  return std::min(Shortest * (1 << std::min(Times, MostDoublings)), Longest);
}

WatchStep next(WatchPlan &Plan, Duration Pause, const WatchView &View) {
  if (Plan.RefreshPending)
    return ask(Plan, WatchCall::ShortWatch);
  if (View.Relayed) {
    Plan.Phase = WatchPhase::FollowingRelay;
    return {};
  }
  if (Pause == Duration::zero())
    return ask(Plan, WatchCall::Watch);
  return pause(Plan, WatchCall::Watch, Pause);
}

// Returns the call that finds out whether the store answers again. Its history
// may bridge the gap; if not, it says so.
WatchCall callAgain(WatchPlan &Plan, TimePoint Now) {
  if (Now - Plan.LostAt >= OutageLength)
    Plan.Outage = true;
  return Plan.Outage || Plan.Revision == 0 ? WatchCall::List
                                           : WatchCall::ShortWatch;
}

} // namespace

WatchStep noteList(WatchPlan &Plan, std::int64_t Revision,
                   const WatchView &View) {
  noteAnswer(Plan, Revision);
  return next(Plan, Duration::zero(), View);
}

WatchStep noteChanges(WatchPlan &Plan, std::int64_t Revision, bool Any,
                      const WatchView &View) {
  noteAnswer(Plan, Revision);
  return next(Plan, Any ? View.Pause : Duration::zero(), View);
}

WatchStep noteHistoryGone(WatchPlan &Plan) {
  return ask(Plan, WatchCall::List);
}

WatchStep noteFailure(WatchPlan &Plan, const WatchView &View) {
  if (Plan.LastCallAnswered || Plan.LostAt == TimePoint{})
    Plan.LostAt = View.Now;
  Plan.LastCallAnswered = false;
  if (Plan.Revision != 0 && View.Defer) {
    Plan.Phase = WatchPhase::Deferring;
    Plan.DeferredUntil =
        View.Now + doubled(FirstDeferral, Plan.Deferrals++, LongestDeferral);
    return {};
  }
  Duration Delay = doubled(FirstRetry, Plan.Failures++, LongestRetry);
  return pause(Plan, callAgain(Plan, View.Now + Delay), Delay);
}

void notePauseOver(WatchPlan &Plan, WatchCall Call) { ask(Plan, Call); }

WatchStep refresh(WatchPlan &Plan, const WatchView &View) {
  switch (Plan.Phase) {
  case WatchPhase::FollowingRelay:
    return ask(Plan, WatchCall::ShortWatch);
  case WatchPhase::Deferring:
    return ask(Plan, callAgain(Plan, View.Now));
  // A store that answers slowly would never answer calls that are replaced.
  case WatchPhase::Listing:
  case WatchPhase::CatchingUp:
    Plan.RefreshPending = true;
    return {};
  case WatchPhase::Watching:
  case WatchPhase::Pausing:
    return Plan.LastCallAnswered ? ask(Plan, WatchCall::ShortWatch)
                                 : WatchStep{};
  }
  return {};
}

WatchStep reconcile(WatchPlan &Plan, const WatchView &View) {
  bool Deferred = View.Defer && View.Now < Plan.DeferredUntil;
  bool Idle = (Plan.Phase == WatchPhase::FollowingRelay && !View.Relayed) ||
              (Plan.Phase == WatchPhase::Deferring && !Deferred);
  return Idle ? refresh(Plan, View) : WatchStep{};
}

void advance(WatchPlan &Plan, std::int64_t Revision) {
  if (Plan.Phase == WatchPhase::FollowingRelay)
    Plan.Revision = std::max(Plan.Revision, Revision);
}

bool isFollowingStore(const WatchPlan &Plan) {
  return Plan.LastCallAnswered && Plan.Phase != WatchPhase::FollowingRelay;
}

} // namespace samphirehill::serving
