#include "samphirehill/Daemon/Metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace samphirehill {
namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Timing = decltype(bh::make_histogram(LogAxis(1, 1.0, 2.0)));

constexpr int BucketsPerDecade = 10;
constexpr int Decades = 7;
constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 1e3;
constexpr const char *Prefix = "samphirehill_";

struct Series {
  Timing Buckets = bh::make_histogram(
      LogAxis(BucketsPerDecade * Decades, LowestSeconds, HighestSeconds));
  double Sum = 0;
  std::uint64_t Count = 0;
};

std::string baseName(const std::string &Name) {
  return Name.substr(0, Name.find('{'));
}

// Returns the labels of Name without braces, with a trailing comma if any.
std::string innerLabels(const std::string &Name) {
  std::size_t Open = Name.find('{');
  if (Open == std::string::npos)
    return "";
  return Name.substr(Open + 1, Name.size() - Open - 2) + ",";
}

void appendPlain(std::string &Out, const std::map<std::string, double> &Values,
                 const char *Type) {
  std::string Last;
  for (const auto &[Name, Value] : Values) {
    std::string Base = baseName(Name);
    if (Base != Last)
      Out += fmt::format("# TYPE {}{} {}\n", Prefix, Base, Type);
    Last = Base;
    Out += fmt::format("{}{} {}\n", Prefix, Name, Value);
  }
}

} // namespace

struct Metrics::Histograms {
  std::map<std::string, Series> ByName;
};

Metrics::Metrics() : Timings(std::make_unique<Histograms>()) {}
Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, double By) {
  Counters[Name] += By;
}

void Metrics::set(const std::string &Name, double Value) {
  Gauges[Name] = Value;
}

void Metrics::observe(const std::string &Name, double Seconds) {
  Series &Found = Timings->ByName[Name];
  Found.Buckets(Seconds);
  Found.Sum += Seconds;
  ++Found.Count;
}

double Metrics::value(const std::string &Name) const {
  if (auto Found = Counters.find(Name); Found != Counters.end())
    return Found->second;
  auto Found = Gauges.find(Name);
  return Found == Gauges.end() ? 0 : Found->second;
}

double Metrics::quantile(const std::string &Name, double Q) const {
  auto Found = Timings->ByName.find(Name);
  if (Found == Timings->ByName.end() || Found->second.Count == 0)
    return 0;
  const Series &Values = Found->second;
  double Wanted = Q * static_cast<double>(Values.Count);
  double Seen = 0;
  for (auto &&Bucket : bh::indexed(Values.Buckets, bh::coverage::all)) {
    Seen += *Bucket;
    if (Seen >= Wanted)
      return Bucket.bin().upper();
  }
  return HighestSeconds;
}

std::string Metrics::exposition() const {
  std::string Out;
  appendPlain(Out, Counters, "counter");
  appendPlain(Out, Gauges, "gauge");
  for (const auto &[Name, Values] : Timings->ByName) {
    std::string Base = baseName(Name);
    std::string Labels = innerLabels(Name);
    Out += fmt::format("# TYPE {}{} histogram\n", Prefix, Base);
    double Seen = 0;
    for (auto &&Bucket : bh::indexed(Values.Buckets, bh::coverage::all)) {
      Seen += *Bucket;
      if (*Bucket == 0)
        continue;
      Out += fmt::format("{}{}_bucket{{{}le=\"{:g}\"}} {}\n", Prefix, Base,
                         Labels, Bucket.bin().upper(), Seen);
    }
    Out += fmt::format("{0}{1}_bucket{{{2}le=\"+Inf\"}} {3}\n", Prefix, Base,
                       Labels, Values.Count);
    std::string Braced =
        Labels.empty() ? "" : "{" + Labels.substr(0, Labels.size() - 1) + "}";
    Out += fmt::format("{0}{1}_sum{2} {3}\n{0}{1}_count{2} {4}\n", Prefix, Base,
                       Braced, Values.Sum, Values.Count);
  }
  return Out;
}

std::string labelled(const std::string &Name, const std::string &Label,
                     const std::string &Value) {
  std::string Escaped;
  for (char Each : Value) {
    if (Each == '"' || Each == '\\')
      Escaped += '\\';
    if (Each == '\n') {
      Escaped += "\\n";
      continue;
    }
    Escaped += Each;
  }
  return fmt::format("{}{{{}=\"{}\"}}", Name, Label, Escaped);
}

} // namespace samphirehill
