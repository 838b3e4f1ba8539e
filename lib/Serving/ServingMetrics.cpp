#include "samphirehill/Serving/ServingMetrics.h"

#include <boost/histogram/indexed.hpp>
#include <fmt/format.h>

namespace samphirehill::serving {

std::string_view boundedLabel(LabelBound &Bound, std::string_view Value) {
  if (auto Found = Bound.Known.find(Value); Found != Bound.Known.end())
    return *Found;
  if (Bound.Known.size() >= Bound.MaxValues)
    return "other";
  return *Bound.Known.emplace(Value).first;
}

void ServingMetrics::count(std::string_view Name, std::string_view Label,
                           std::string_view Value, std::uint64_t Amount) {
  Counters[fmt::format("samphirehill_{}_total{{{}=\"{}\"}}", Name, Label,
                       Value)] += Amount;
}

void ServingMetrics::observe(std::string_view Name, Duration Latency) {
  Histogram &Target = Histograms[std::string(Name)];
  Target.Buckets(toSeconds(Latency));
  Target.Sum += toSeconds(Latency);
  ++Target.Count;
}

void ServingMetrics::set(std::string_view Name, double Value) {
  Gauges[fmt::format("samphirehill_{}", Name)] = Value;
}

void ServingMetrics::set(std::string_view Name, Labels Labels, double Value) {
  std::string Joined;
  for (const auto &[Label, Text] : Labels)
    Joined +=
        fmt::format("{}{}=\"{}\"", Joined.empty() ? "" : ",", Label, Text);
  Gauges[fmt::format("samphirehill_{}{{{}}}", Name, Joined)] = Value;
}

void ServingMetrics::clear(std::string_view Name) {
  std::string Start = fmt::format("samphirehill_{}{{", Name);
  std::erase_if(
      Gauges, [&](const auto &Each) { return Each.first.starts_with(Start); });
}

std::string ServingMetrics::text() const {
  std::string Text;
  for (const auto &[Name, Value] : Counters)
    Text += fmt::format("{} {}\n", Name, Value);
  for (const auto &[Name, Value] : Gauges)
    Text += fmt::format("{} {}\n", Name, Value);
  for (const auto &[Name, Values] : Histograms) {
    double Cumulative = 0;
    for (auto &&Bucket : boost::histogram::indexed(
             Values.Buckets, boost::histogram::coverage::all)) {
      Cumulative += *Bucket;
      if (Bucket.index() < 0)
        continue;
      Text +=
          fmt::format("samphirehill_{}_seconds_bucket{{le=\"{:.3f}\"}} {}\n",
                      Name, Bucket.bin().upper(), Cumulative);
    }
    Text += fmt::format("samphirehill_{0}_seconds_sum {1}\n"
                        "samphirehill_{0}_seconds_count {2}\n",
                        Name, Values.Sum, Values.Count);
  }
  return Text;
}

} // namespace samphirehill::serving
