// Counters, gauges and latency histograms of the serving path, in the text
// exposition format of Prometheus.
#ifndef SAMPHIREHILL_SERVING_SERVINGMETRICS_H
#define SAMPHIREHILL_SERVING_SERVINGMETRICS_H

#include "samphirehill/Core/Time.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace samphirehill::serving {

// Axis of all latency histograms: 1 ms to 16.384 s in 14 logarithmic buckets.
using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using LatencyHistogram = decltype(boost::histogram::make_histogram(
    LatencyAxis(14, 0.001, 16.384, "seconds")));

// Bounds the number of values that one label takes.
struct LabelBound {
  std::size_t MaxValues = 64;
  std::set<std::string, std::less<>> Known;
};

// Returns Value, or "other" if the label has taken as many other values as it
// may.
std::string_view boundedLabel(LabelBound &Bound, std::string_view Value);

class ServingMetrics {
public:
  // Adds Amount to the counter Name with one label, for example
  // count("requests", "result", "overloaded").
  void count(std::string_view Name, std::string_view Label,
             std::string_view Value, std::uint64_t Amount = 1);

  // Adds one latency to the histogram Name.
  void observe(std::string_view Name, Duration Latency);

  // Sets the gauge Name.
  void set(std::string_view Name, double Value);

  // Sets the gauge Name for one combination of labels.
  using Labels = std::initializer_list<
      std::pair<std::string_view, std::string_view>>; // name and value
  void set(std::string_view Name, Labels Labels, double Value);

  // Removes the gauge Name with all combinations of labels.
  void clear(std::string_view Name);

  // Returns all metrics in the exposition format.
  std::string text() const;

private:
  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  struct Histogram {
    LatencyHistogram Buckets = boost::histogram::make_histogram(
        LatencyAxis(14, 0.001, 16.384, "seconds"));
    double Sum = 0;
    std::uint64_t Count = 0;
  };
  std::map<std::string, Histogram, std::less<>> Histograms;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_SERVINGMETRICS_H
