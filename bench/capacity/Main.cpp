// Measures what each role of an entry costs at several sizes and fits lines to
// the figures. docs/CAPACITY.md says how they are used. One thread, no sockets.
#include "Measure.h"

#include <cmath>
#include <cstdio>

namespace samphirehill::capacity {

Fit fitLine(const std::vector<Point> &Points) {
  auto Count = static_cast<double>(Points.size());
  double X = 0;
  double Y = 0;
  double XX = 0;
  double XY = 0;
  for (const Point &Each : Points) {
    X += Each.Size;
    Y += Each.Value;
    XX += Each.Size * Each.Size;
    XY += Each.Size * Each.Value;
  }
  Fit Line;
  Line.Slope = (Count * XY - X * Y) / (Count * XX - X * X);
  Line.Fixed = (Y - Line.Slope * X) / Count;
  for (const Point &Each : Points) {
    double Error = Line.Fixed + Line.Slope * Each.Size - Each.Value;
    if (Each.Value != 0)
      Line.WorstError =
          std::max(Line.WorstError, std::abs(Error) / std::abs(Each.Value));
  }
  return Line;
}

void report(const std::string &Name, const std::string &Unit,
            const std::string &SizeName, const std::vector<Point> &Points,
            double Target) {
  std::printf("%s [%s] by %s:", Name.c_str(), Unit.c_str(), SizeName.c_str());
  for (const Point &Each : Points)
    std::printf(" %g:%.4g", Each.Size, Each.Value);
  Fit Line = fitLine(Points);
  std::printf("\n  fit %.4g + %.4g * size, worst error %.0f%%; at %g: %.4g\n",
              Line.Fixed, Line.Slope, Line.WorstError * 100, Target,
              Line.Fixed + Line.Slope * Target);
}

} // namespace samphirehill::capacity

int main() {
  namespace capacity = samphirehill::capacity;
  capacity::measureMessages();
  capacity::measureCredits();
  capacity::measureState();
  capacity::measureStored();
  capacity::measureData();
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  std::printf("largest resident memory of this run: %.1f MB\n",
              static_cast<double>(Usage.ru_maxrss) / 1024);
  return 0;
}
