#include "samphirehill/Limits/ReturnSchedule.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphirehill {
namespace {

// Spans that are open to the callers that are refused at one time: within two
// ages of the reports the other entries give out returns that are unknown here.
constexpr std::size_t OpenSpans = 4;

// A span in which a caller may return.
struct SpanRoom {
  Duration Begin{}; // from now
  Duration End{};
  double Room = 0; // places without a return
};

double dueIn(const ReturnLoad &Load, std::int64_t Span) {
  auto Found = Load.Due.find(Span);
  return Found == Load.Due.end() ? 0 : Found->second;
}

// Returns the spans of Window in order, with the places that late requests find
// in them.
std::vector<SpanRoom> spansOf(const PlaceFlow &Flow, const PlaceRules &Rules,
                              const ReturnLoad &All, const ReturnWindow &Window,
                              TimePoint Now) {
  std::vector<SpanRoom> Spans;
  double PerSpan = sparePerSecond(Flow, Rules) * toSeconds(ReturnSpan);
  // The places that are free now, less the late requests that wait for them.
  double Carried = spareNow(Flow, Rules) - All.Waiting;
  std::int64_t First = returnSpanOf(Now);
  std::int64_t Last = returnSpanOf(Now + Window.Latest);
  for (std::int64_t Span = First; Span <= Last; ++Span) {
    Carried += PerSpan - dueIn(All, Span);
    Duration Begin = TimePoint(ReturnSpan * Span) - Now;
    SpanRoom Found{std::max(Begin, Window.Earliest),
                   std::min(Begin + ReturnSpan, Window.Latest),
                   std::max(Carried, 0.0)};
    if (Found.End > Found.Begin)
      Spans.push_back(Found);
    // Free places stay free until a return takes one.
    Carried = std::min(Carried, std::max(spareNow(Flow, Rules), PerSpan));
  }
  return Spans;
}

Duration within(const SpanRoom &Span, double Fraction) {
  return Span.Begin + std::chrono::duration_cast<Duration>(
                          (Span.End - Span.Begin) * Fraction);
}

} // namespace

ReturnLoad &operator+=(ReturnLoad &Sum, const ReturnLoad &Load) {
  Sum.PerSecond += Load.PerSecond;
  Sum.Waiting += Load.Waiting;
  for (const auto &[Span, Count] : Load.Due)
    Sum.Due[Span] += Count;
  return Sum;
}

ReturnLoad &operator-=(ReturnLoad &Sum, const ReturnLoad &Load) {
  Sum.PerSecond = std::max(Sum.PerSecond - Load.PerSecond, 0.0);
  Sum.Waiting = std::max(Sum.Waiting - Load.Waiting, 0.0);
  for (const auto &[Span, Count] : Load.Due) {
    auto Found = Sum.Due.find(Span);
    if (Found == Sum.Due.end())
      continue;
    Found->second = std::max(Found->second - Count, 0.0);
  }
  return Sum;
}

std::int64_t returnSpanOf(TimePoint At) {
  return At.time_since_epoch() / ReturnSpan;
}

void noteReturnGiven(ReturnLoad &Load, TimePoint At) {
  Load.Due[returnSpanOf(At)] += 1;
}

void erasePastReturns(ReturnLoad &Load, TimePoint Now) {
  Load.Due.erase(Load.Due.begin(), Load.Due.lower_bound(returnSpanOf(Now)));
}

bool hasReturnDue(const ReturnLoad &All, TimePoint Now) {
  std::int64_t Span = returnSpanOf(Now);
  return dueIn(All, Span - 1) + dueIn(All, Span) + dueIn(All, Span + 1) > 0;
}

Duration chooseReturn(const PlaceFlow &Flow, const PlaceRules &Rules,
                      const ReturnLoad &All, const ReturnWindow &Window,
                      TimePoint Now, double Draw) {
  Duration Latest = std::max(Window.Latest, Window.Earliest);
  std::vector<SpanRoom> Open;
  double Room = 0;
  for (const SpanRoom &Each : spansOf(Flow, Rules, All, Window, Now)) {
    if (Each.Room < 1 || Open.size() >= OpenSpans)
      continue;
    Open.push_back(Each);
    Room += Each.Room;
  }
  double Left = Draw * Room;
  for (const SpanRoom &Each : Open) {
    if (Left < Each.Room)
      return within(Each, Left / Each.Room);
    Left -= Each.Room;
  }
  Duration Later = std::max(Window.Earliest, Latest / 2);
  return Later + std::chrono::duration_cast<Duration>((Latest - Later) * Draw);
}

} // namespace samphirehill
