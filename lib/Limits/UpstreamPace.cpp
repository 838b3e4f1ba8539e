#include "samphirehill/Limits/UpstreamPace.h"

#include <algorithm>
#include <cmath>

namespace samphirehill {
namespace {

// A mean of the told limits above this share of the slots counts as full pace:
// what an upstream that fails a part of its requests serves is worth more than
// what is lost by trying these again.
constexpr double FullShare = 0.5;

bool isRecent(TimePoint At, const PaceSettings &Settings, TimePoint Now) {
  return At != TimePoint{} && Now - At <= Settings.EvidenceAge;
}

bool hasRecentEvidence(const UpstreamPace &Own, const PaceSettings &Settings,
                       TimePoint Now) {
  return isRecent(std::max(Own.AnsweredAt, Own.FailedAt), Settings, Now);
}

// Returns the limit that this entry's own requests justify.
double ownLimit(const PacedUpstream &Upstream) {
  double Slots = Upstream.Slots;
  return Upstream.Own.State == PaceState::Full
             ? Slots
             : std::min(Upstream.Own.Limit, Slots);
}

double meanTold(const PacedUpstream &Upstream) {
  return Upstream.Told.Slots / Upstream.Told.Entries;
}

bool isLimitTold(const PacedUpstream &Upstream) {
  return Upstream.Told.Entries > 0 &&
         meanTold(Upstream) < FullShare * Upstream.Slots;
}

// Returns the limit in force, without regard to slowness.
double agreedLimit(const PaceSettings &Settings, const PacedUpstream &Upstream,
                   TimePoint Now) {
  double Own = ownLimit(Upstream);
  if (!isLimitTold(Upstream))
    return Own;
  if (!hasRecentEvidence(Upstream.Own, Settings, Now))
    return meanTold(Upstream);
  return (Own + Upstream.Told.Slots) / (1 + Upstream.Told.Entries);
}

UpstreamPace fullPace(const UpstreamPace &Before) {
  UpstreamPace After = Before;
  After.State = PaceState::Full;
  After.Cause = PaceCause::None;
  return After;
}

} // namespace

UpstreamPace startedPace(const PaceSettings &Settings, int Slots) {
  double First = std::max(Settings.ProbeLimit, Settings.FirstShare * Slots);
  if (!Settings.Enabled || Slots <= First)
    return {};
  UpstreamPace Pace;
  Pace.State = PaceState::Starting;
  Pace.Cause = PaceCause::Started;
  Pace.Limit = First;
  Pace.Threshold = Slots;
  return Pace;
}

bool isAsExpected(const PaceSettings &Settings, Duration Observed,
                  Duration Expected) {
  return Expected <= Duration::zero() ||
         toSeconds(Observed) <= Settings.LateFactor * toSeconds(Expected) +
                                    toSeconds(Settings.LateSlack);
}

UpstreamPace paceAfterAnswer(const PaceSettings &Settings,
                             const PacedUpstream &Upstream, TimePoint SentAt,
                             TimePoint Now) {
  UpstreamPace After = Upstream.Own;
  After.AnsweredAt = Now;
  ++After.Answers;
  if (After.State == PaceState::Full)
    return After;
  bool FullForOthers = Upstream.Told.Entries > 0 && !isLimitTold(Upstream);
  double Used =
      std::max(agreedLimit(Settings, Upstream, Now), Settings.ProbeLimit);
  if (After.Limit >= After.Threshold) {
    ++After.Limit;
  } else if (SentAt >= After.RaisedAt) {
    After.Limit = std::max(After.Limit,
                           std::min(Settings.Growth * Used, After.Threshold));
    After.RaisedAt = Now;
  }
  bool Trusted = After.Cause != PaceCause::Refused &&
                 After.Answers >= Settings.AnswersToTrust;
  bool Full = After.Limit >= Upstream.Slots || Trusted || FullForOthers;
  return Full ? fullPace(After) : After;
}

UpstreamPace paceAfterFailure(const PaceSettings &Settings,
                              const PacedUpstream &Upstream, PaceCause Cause,
                              TimePoint Now) {
  UpstreamPace After = Upstream.Own;
  if (!Settings.Enabled)
    return After;
  bool Refused = Cause == PaceCause::Refused;
  if (Refused && Upstream.Running >= Settings.RefusalShare * Upstream.Slots)
    return After;
  double Before = agreedLimit(Settings, Upstream, Now);
  After.State = PaceState::Recovering;
  After.Cause = Cause;
  After.Answers = 0;
  After.FailedAt = Now;
  // A refusal tells the load that was too much. Other failures tell nothing
  // about the load that the upstream bears once it works again, but it may
  // fail again.
  After.Threshold = std::max(Upstream.Slots / 2.0, Settings.ProbeLimit);
  After.Limit = std::clamp(Before / 2, Settings.MinLimit, Settings.ProbeLimit);
  if (Refused) {
    After.Threshold = std::max(std::min<double>(Before, Upstream.Running) / 2,
                               Settings.ProbeLimit);
    After.Limit = After.Threshold;
  }
  After.RaisedAt = Now;
  return After;
}

UpstreamPace paceAfterReports(const PaceSettings &Settings,
                              const PacedUpstream &Upstream, bool Progressing,
                              TimePoint Now) {
  UpstreamPace After = Upstream.Own;
  if (!Settings.Enabled || hasRecentEvidence(After, Settings, Now))
    return After;
  if (!isLimitTold(Upstream)) {
    bool Limited = After.State != PaceState::Full;
    return Limited && Progressing ? fullPace(After) : After;
  }
  if (After.State == PaceState::Full) {
    After.State = PaceState::Recovering;
    After.Cause = PaceCause::Reported;
    After.Answers = 0;
    After.Threshold = Upstream.Slots / 2.0;
  }
  if (After.Limit != meanTold(Upstream))
    After.RaisedAt = Now;
  After.Limit = meanTold(Upstream);
  return After;
}

ToldPace paceToTell(const PaceSettings &Settings, const PacedUpstream &Upstream,
                    TimePoint Now) {
  if (!Settings.Enabled || !hasRecentEvidence(Upstream.Own, Settings, Now))
    return {};
  return {ownLimit(Upstream), 1};
}

double pacedSlots(const PaceSettings &Settings, const PacedUpstream &Upstream,
                  TimePoint Now) {
  double Slots = Upstream.Slots;
  if (!Settings.Enabled)
    return Slots;
  double Limit = std::min(agreedLimit(Settings, Upstream, Now), Slots);
  if (Upstream.Slowness > Settings.SlowFrom)
    Limit = std::min(Limit, Slots / Upstream.Slowness);
  return std::max(Limit, Settings.MinLimit);
}

bool isLimited(const PaceSettings &Settings, const PacedUpstream &Upstream,
               TimePoint Now) {
  return pacedSlots(Settings, Upstream, Now) < Upstream.Slots;
}

bool isProbed(const PaceSettings &Settings, const PacedUpstream &Upstream,
              TimePoint Now) {
  return Upstream.Own.State == PaceState::Recovering &&
         pacedSlots(Settings, Upstream, Now) < 2 * Settings.ProbeLimit &&
         Upstream.Slots > Settings.ProbeLimit;
}

bool mayTakeAtPace(const PaceSettings &Settings, const PacedUpstream &Upstream,
                   const PacedRequest &Request, TimePoint Now) {
  double Limit = pacedSlots(Settings, Upstream, Now);
  if (Limit >= Upstream.Slots)
    return true;
  bool Probed = isProbed(Settings, Upstream, Now);
  // A refused request has not run, so it may be tried anywhere.
  if (Probed && !Request.Repeatable &&
      Upstream.Own.Cause != PaceCause::Refused &&
      Now - Upstream.Own.FailedAt < Settings.UnsafeDelay)
    return false;
  if (Request.ReportAge <= Duration::zero())
    return Upstream.Running < Limit;
  // Requests that end within the window make room for others. At an upstream
  // that is probed, requests in progress may hang, so they take none.
  double Turnovers =
      toSeconds(Request.ReportAge) / std::max(toSeconds(Request.Holding), 1e-3);
  double Free = std::max(Limit * (1 + Turnovers) - Upstream.Running, 0.0);
  double Room = Probed ? Limit : Free + Request.SentInWindow;
  double Part = Request.Share * Room;
  // A part of a request is lost in windows in which no request comes.
  if (Part < 1)
    Part = std::min(Part / -std::expm1(-std::max(Request.Arrivals, 1e-3)), 1.0);
  return std::floor(Part + Request.Draw) > Request.SentInWindow;
}

std::string_view toString(PaceState State) {
  switch (State) {
  case PaceState::Full:
    return "full";
  case PaceState::Starting:
    return "starting";
  case PaceState::Recovering:
    return "recovering";
  }
  return "unknown";
}

std::string_view toString(PaceCause Cause) {
  switch (Cause) {
  case PaceCause::None:
    return "none";
  case PaceCause::Started:
    return "started";
  case PaceCause::Refused:
    return "refused";
  case PaceCause::Failed:
    return "failed";
  case PaceCause::Stalled:
    return "stalled";
  case PaceCause::Unreachable:
    return "unreachable";
  case PaceCause::Reported:
    return "reported";
  }
  return "unknown";
}

} // namespace samphirehill
