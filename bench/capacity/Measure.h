// Processor time, memory and linear fits for the capacity measurements.
#ifndef SAMPHIREHILL_BENCH_CAPACITY_MEASURE_H
#define SAMPHIREHILL_BENCH_CAPACITY_MEASURE_H

#include <algorithm>
#include <array>
#include <cstddef>
#include <malloc.h>
#include <string>
#include <sys/resource.h>
#include <vector>

namespace samphirehill::capacity {

// One measurement at one size.
struct Point {
  double Size = 0;
  double Value = 0;
};

// Least squares: Value = Fixed + Slope * Size.
struct Fit {
  double Fixed = 0;
  double Slope = 0;
  double WorstError = 0; // of any point, as a part of its value
};

Fit fitLine(const std::vector<Point> &Points);

// Prints the points, the fit and what it gives at Target, which is the size of
// docs/CAPACITY.md.
void report(const std::string &Name, const std::string &Unit,
            const std::string &SizeName, const std::vector<Point> &Points,
            double Target);

// Returns the processor time of this process in microseconds.
inline double processorTime() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto Time = [](const timeval &Value) {
    return static_cast<double>(Value.tv_sec) * 1e6 +
           static_cast<double>(Value.tv_usec);
  };
  return Time(Usage.ru_utime) + Time(Usage.ru_stime);
}

inline double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Returns the processor time of one call of Work in microseconds: the median of
// three runs of at least 20 ms each.
template <typename F> double timePerCall(F Work) {
  constexpr double Enough = 20'000;
  std::array<double, 3> Runs{};
  for (double &Run : Runs) {
    std::size_t Calls = 0;
    double Start = processorTime();
    double Spent = 0;
    while (Spent < Enough) {
      Work();
      ++Calls;
      Spent = processorTime() - Start;
    }
    Run = Spent / static_cast<double>(Calls);
  }
  std::sort(Runs.begin(), Runs.end());
  return Runs[1];
}

// As timePerCall, for work of about 1 us, so that reading the time is a small
// part of it.
template <typename F> double timePerShortCall(F Work) {
  constexpr int Batch = 200;
  return timePerCall([&] {
           for (int I = 0; I < Batch; ++I)
             Work();
         }) /
         Batch;
}

// The parts of the run.
void measureMessages();
void measureCredits();
void measureState();
void measureStored();
void measureData();

} // namespace samphirehill::capacity

#endif // SAMPHIREHILL_BENCH_CAPACITY_MEASURE_H
