#include "loadtool/Statistics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace samphirehill::loadtool {
namespace {

namespace bh = boost::histogram;
using Json = nlohmann::json;

constexpr std::int64_t SeriesStepMs = 500;
constexpr std::size_t MostFaults = 50; // that are listed one by one

// 1,600 logarithmic bins from 10 us to 1,000 s: each is 1.2% wide.
auto makeHistogram() {
  return bh::make_histogram(
      bh::axis::regular<double, bh::axis::transform::log>(1600, 0.01, 1e6));
}

double inMilliseconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1000;
}

double rounded(double Value) { return std::round(Value * 1000) / 1000; }

} // namespace

struct Times::Data {
  decltype(makeHistogram()) Bins = makeHistogram();
  std::int64_t Count = 0;
  double Highest = 0;

  double quantile(double Q) const {
    double Rank = Q * static_cast<double>(Count);
    double Sum = 0;
    for (auto &&Cell : bh::indexed(Bins, bh::coverage::all)) {
      Sum += static_cast<double>(*Cell);
      if (Sum >= Rank)
        return std::min(Cell.bin(0).center(), Highest);
    }
    return Highest;
  }
};

Times::Times() : Held(std::make_unique<Data>()) {}
Times::Times(Times &&) noexcept = default;
Times::~Times() = default;

void Times::add(Duration Value) {
  double Time = inMilliseconds(Value);
  Held->Bins(std::max(Time, 0.01));
  Held->Highest = std::max(Held->Highest, Time);
  ++Held->Count;
}

Json Times::toJson() const {
  Json Value = {{"count", Held->Count}};
  if (Held->Count == 0)
    return Value;
  Value["p50"] = rounded(Held->quantile(0.5));
  Value["p95"] = rounded(Held->quantile(0.95));
  Value["p99"] = rounded(Held->quantile(0.99));
  Value["max"] = rounded(Held->Highest);
  return Value;
}

std::string toString(CallEnd End) {
  switch (End) {
  case CallEnd::Whole:
    return "whole";
  case CallEnd::Refused:
    return "refused";
  case CallEnd::Lost:
    return "lost";
  case CallEnd::Wrong:
    return "wrong";
  }
  return "";
}

void Statistics::Tally::add(const CallResult &Result) {
  ++Counts["calls"];
  ++Counts[toString(Result.End)];
  Counts["late"] += Result.Late;
  Counts["resends"] += std::max<std::int64_t>(0, Result.Sends - 1);
  if (Result.End != CallEnd::Whole || Result.Code != 0)
    ++Codes[Result.Code != 0 ? std::to_string(Result.Code) : Result.Reason];
  if (Result.FirstToken >= Duration{0})
    FirstToken.add(Result.FirstToken);
  for (Duration Each : Result.Gaps)
    Gap.add(Each);
  if (Result.End == CallEnd::Whole)
    Total.add(Result.Total);
}

Json Statistics::Tally::toJson() const {
  Json Value = Counts;
  if (Value.is_null())
    Value = Json::object();
  for (const char *Name :
       {"calls", "whole", "refused", "lost", "wrong", "late", "resends"})
    if (!Value.contains(Name))
      Value[Name] = 0;
  Value["codes"] = Codes;
  Value["firstTokenMs"] = FirstToken.toJson();
  Value["gapMs"] = Gap.toJson();
  Value["totalMs"] = Total.toJson();
  return Value;
}

void Statistics::add(const CallResult &Result) {
  const Arrival &From = *Result.From;
  All.add(Result);
  ByCaller[Plan.Callers[From.Caller].Name].add(Result);
  ByEntry[Plan.Entries[From.Entry]].add(Result);
  Series[toMilliseconds(Result.SentAt) / SeriesStepMs].add(Result);
  Calls.push_back({From.Number, toMilliseconds(Result.SentAt), From.Caller,
                   From.Entry, inMilliseconds(Result.FirstToken),
                   inMilliseconds(Result.Total), Result.Code,
                   toString(Result.End)});
  if (!Result.BookingKey.empty())
    Bookings.push_back({Result.BookingKey, toString(Result.End), Result.Sends,
                        Result.Unclear});
  if (Result.End != CallEnd::Whole && Faults.size() < MostFaults)
    Faults.push_back({{"call", From.Number},
                      {"sentMs", toMilliseconds(Result.SentAt)},
                      {"entry", Plan.Entries[From.Entry]},
                      {"end", toString(Result.End)},
                      {"code", Result.Code},
                      {"reason", Result.Reason}});
}

Json Statistics::toJson(bool Raw) const {
  Json Value = {{"all", All.toJson()},
                {"notSent", Skipped},
                {"organisations", Json::object()},
                {"entries", Json::object()},
                {"series", Json::array()},
                {"faults", Faults},
                {"bookings", Bookings}};
  for (const auto &[Name, Each] : ByCaller)
    Value["organisations"][Name] = Each.toJson();
  for (const auto &[Name, Each] : ByEntry)
    Value["entries"][Name] = Each.toJson();
  for (const auto &[Step, Each] : Series) {
    Json Row = Each.toJson();
    Row["fromMs"] = Step * SeriesStepMs;
    Value["series"].push_back(std::move(Row));
  }
  if (Raw)
    Value["calls"] = Calls;
  return Value;
}

} // namespace samphirehill::loadtool
