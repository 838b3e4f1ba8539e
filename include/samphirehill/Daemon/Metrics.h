// Counters, gauges and histograms of one process, with the usual text
// exposition. Names are fixed at the place of use; labels are part of the name,
// for example "requests_total{service=\"notes\"}".
#ifndef SAMPHIREHILL_DAEMON_METRICS_H
#define SAMPHIREHILL_DAEMON_METRICS_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace samphirehill {

class Metrics {
public:
  Metrics();
  ~Metrics();

  // Adds By to counter Name, which starts at zero.
  void count(const std::string &Name, double By = 1);
  // Sets gauge Name.
  void set(const std::string &Name, double Value);
  // Adds Seconds to histogram Name: logarithmic buckets from 100 us to 1,000 s.
  void observe(const std::string &Name, double Seconds);

  // The value of a counter or gauge; 0 if it does not exist.
  double value(const std::string &Name) const;
  // An upper bound of quantile Q (0 to 1) of histogram Name; 0 if it is empty.
  double quantile(const std::string &Name, double Q) const;

  // All of it in text exposition format, each name with prefix "samphirehill_".
  std::string exposition() const;

private:
  struct Histograms;
  std::map<std::string, double> Counters;
  std::map<std::string, double> Gauges;
  std::unique_ptr<Histograms> Timings;
};

// Returns `Name{Label="Value"}` with Value escaped.
std::string labelled(const std::string &Name, const std::string &Label,
                     const std::string &Value);

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_METRICS_H
