#include "samphirehill/Routing/Stragglers.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace samphirehill {
namespace {

bool atEqualLoad(const UpstreamRate &Left, const UpstreamRate &Right) {
  std::int64_t Larger = std::max(Left.Running, Right.Running);
  return std::abs(Left.Running - Right.Running) <=
         std::max<std::int64_t>(1, Larger / 4);
}

// Returns the median rate of the peers of Sample at equal load, or 0 if there
// are fewer than MinStragglerPeers.
double peerMedian(const std::vector<UpstreamRate> &Peers,
                  const UpstreamRate &Sample) {
  std::vector<double> Rates;
  for (const UpstreamRate &Other : Peers)
    if (Other.Id != Sample.Id && Other.Running > 0 &&
        atEqualLoad(Other, Sample))
      Rates.push_back(Other.TokensPerSecond);
  if (Rates.size() < MinStragglerPeers)
    return 0;
  auto Middle = Rates.begin() + static_cast<long>(Rates.size() / 2);
  std::nth_element(Rates.begin(), Middle, Rates.end());
  return *Middle;
}

} // namespace

std::vector<double> updateStragglers(Stragglers &State,
                                     const std::vector<UpstreamRate> &Peers,
                                     TimePoint Now) {
  std::vector<double> Factors(Peers.size(), 1.0);
  std::map<UpstreamId, TimePoint> SlowSince;
  for (std::size_t I = 0; I < Peers.size(); ++I) {
    const UpstreamRate &Sample = Peers[I];
    // An idle upstream has no rate to compare.
    if (Sample.Running == 0)
      continue;
    double Median = peerMedian(Peers, Sample);
    if (Sample.TokensPerSecond >= Median / 2)
      continue;
    auto Before = State.SlowSince.find(Sample.Id);
    TimePoint Since = Before == State.SlowSince.end() ? Now : Before->second;
    SlowSince.emplace(Sample.Id, Since);
    if (Now - Since >= StragglerDelay)
      Factors[I] = std::min(MaxStragglerFactor,
                            Median / std::max(Sample.TokensPerSecond,
                                              Median / MaxStragglerFactor));
  }
  State.SlowSince = std::move(SlowSince);
  if (State.SlowSince.size() * 4 > Peers.size())
    std::fill(Factors.begin(), Factors.end(), 1.0);
  return Factors;
}

} // namespace samphirehill
