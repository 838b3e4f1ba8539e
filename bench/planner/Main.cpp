// Measures how the time of one planning step grows with the number of engines.
// Prints the times for 60 and 1,300 engines, in many fabric domains and in one,
// and the ratio of the two times. For comparison it prints the ratio that n log
// n growth would give.
#include "samphirehill/Groups/Planner.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iostream>

namespace samphirehill {
namespace {

constexpr int Repetitions = 15;
constexpr int Small = 60;   // engines, about those of one zone at present
constexpr int Large = 1300; // engines of all zones at the target size
constexpr TimePoint Start{seconds(1000)};

OperatorsText textFor(int Engines) {
  TextFields Fields;
  Fields.Operator = "op";
  Fields.Limits.MaxConcurrentLoads = 1000;
  Fields.Zones = {{ZoneId("z"), "r"}};
  int Number = 0;
  for (int Size : {4, 2, 1}) {
    Service Value;
    Value.Name = ServiceId("s" + std::to_string(++Number));
    Value.Model = Value.Name.str();
    Value.Version = "1";
    Value.ReplicaSize = Size;
    Value.ReplicasPerZone = std::max(1, Engines / Size / 4);
    Fields.Services.push_back(Value);
  }
  Outcome<OperatorsText> Text =
      capture([&] { return OperatorsText::create(Fields); });
  if (const Error *Problem = errorOf(Text)) {
    std::cerr << Problem->Message << '\n';
    std::exit(EXIT_FAILURE);
  }
  return std::get<0>(Text);
}

PlannerInput inputFor(int Engines, int DomainSize) {
  PlannerInput Input;
  Input.Zone = ZoneId("z");
  Input.Texts = {textFor(Engines)};
  for (int I = 0; I < Engines; ++I)
    Input.Instances.push_back({InstanceId("e" + std::to_string(I)), Input.Zone,
                               DomainId("d" + std::to_string(I / DomainSize)),
                               InstanceRole::Engine, "", 2,
                               InstanceState::Live});
  Input.CollectingSince = Start;
  Input.Now = Start;
  return Input;
}

// Returns Input with its planned placement, in which every tenth engine then
// starts to leave.
PlannerInput repairFor(PlannerInput Input) {
  Input.Current = plan(Input).Next;
  for (std::size_t I = 0; I < Input.Instances.size(); I += 10)
    Input.Instances[I].State = InstanceState::Leaving;
  return Input;
}

// Returns the median time of a planning step over all repetitions, in
// microseconds.
double measure(const PlannerInput &Input) {
  std::vector<double> Times;
  for (int I = 0; I < Repetitions; ++I) {
    auto Before = std::chrono::steady_clock::now();
    Plan Result = plan(Input);
    std::chrono::duration<double, std::micro> Time =
        std::chrono::steady_clock::now() - Before;
    if (Result.Next.Groups.empty())
      std::exit(EXIT_FAILURE);
    Times.push_back(Time.count());
  }
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() / 2];
}

void report(const char *Name, const PlannerInput &Left,
            const PlannerInput &Right) {
  double Less = measure(Left);
  double More = measure(Right);
  std::cout << Name << ": " << Small << " engines " << Less << " us, " << Large
            << " engines " << More << " us, ratio " << More / Less << '\n';
}

void run() {
  std::cout << "n log n ratio: "
            << Large * std::log(Large) / (Small * std::log(Small)) << '\n';
  constexpr int DomainSize = 8;
  report("form, domains of 8", inputFor(Small, DomainSize),
         inputFor(Large, DomainSize));
  report("form, one domain", inputFor(Small, Small), inputFor(Large, Large));
  report("repair, domains of 8", repairFor(inputFor(Small, DomainSize)),
         repairFor(inputFor(Large, DomainSize)));
  report("repair, one domain", repairFor(inputFor(Small, Small)),
         repairFor(inputFor(Large, Large)));
}

} // namespace
} // namespace samphirehill

int main() {
  samphirehill::run();
  return 0;
}
