#include "samphirehill/Groups/Stragglers.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace samphirehill {
namespace {

double median(std::vector<double> Values) {
  auto Middle = Values.begin() + static_cast<long>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

// Engines have equal load when their load class is equal.
int loadClass(int Running) {
  return static_cast<int>(std::bit_width(static_cast<std::uint32_t>(Running)));
}

// Adds the engines of Examined to Slow whose rate is below SlowRateFraction of
// the median of Rates.
void addSlow(const std::map<InstanceId, double> &Rates,
             const std::set<InstanceId> &Examined, std::set<InstanceId> &Slow) {
  if (Rates.size() < MinPeers)
    return;
  std::vector<double> Values;
  Values.reserve(Rates.size());
  for (const auto &[Name, Rate] : Rates)
    Values.push_back(Rate);
  double Limit = median(std::move(Values)) * SlowRateFraction;
  for (const auto &[Name, Rate] : Rates)
    if (Examined.contains(Name) && Rate < Limit)
      Slow.insert(Name);
}

std::set<InstanceId> slowNow(const std::vector<RateSample> &Samples) {
  std::map<int, std::map<InstanceId, double>> Classes;
  std::map<InstanceId, double> PerRequest;
  for (const RateSample &Sample : Samples) {
    if (Sample.Running <= 0)
      continue;
    Classes[loadClass(Sample.Running)][Sample.Name] = Sample.TokensPerSecond;
    PerRequest[Sample.Name] = Sample.TokensPerSecond / Sample.Running;
  }
  std::set<InstanceId> Slow;
  std::set<InstanceId> FewPeers;
  for (const auto &[Class, Rates] : Classes) {
    std::set<InstanceId> Names;
    for (const auto &[Name, Rate] : Rates)
      Names.insert(Name);
    if (Rates.size() < MinPeers)
      FewPeers.merge(Names);
    else
      addSlow(Rates, Names, Slow);
  }
  addSlow(PerRequest, FewPeers, Slow);
  return Slow;
}

} // namespace

std::set<InstanceId> findStragglers(StragglerState &State,
                                    const std::vector<RateSample> &Samples,
                                    TimePoint Now) {
  std::set<InstanceId> Slow = slowNow(Samples);
  std::erase_if(State.SlowSince, [&](const auto &Element) {
    return !Slow.contains(Element.first);
  });
  std::set<InstanceId> Found;
  for (const InstanceId &Name : Slow) {
    TimePoint Since = State.SlowSince.emplace(Name, Now).first->second;
    if (Now - Since >= SlowTime)
      Found.insert(Name);
  }
  return Found;
}

std::set<InstanceId> stragglersToReplace(const std::set<InstanceId> &Stragglers,
                                         int Engines, int Replacing) {
  std::set<InstanceId> Chosen;
  int Slow = static_cast<int>(Stragglers.size());
  if (Slow * CommonFaultOneIn > Engines)
    return Chosen;
  int Bound = std::max(1, Engines / ReplacedOneIn) - Replacing;
  for (const InstanceId &Name : Stragglers) {
    if (static_cast<int>(Chosen.size()) >= Bound)
      break;
    Chosen.insert(Name);
  }
  return Chosen;
}

} // namespace samphirehill
