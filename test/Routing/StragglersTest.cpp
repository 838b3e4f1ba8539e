#include "samphirehill/Routing/Stragglers.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

// Returns 8 peers with 4 calls each, the first Slow of which have rate Rate.
std::vector<UpstreamRate> samples(int Slow, double Rate) {
  std::vector<UpstreamRate> Peers(8, UpstreamRate{UpstreamId(), 400.0, 4});
  for (int I = 0; I < 8; ++I)
    Peers[I].Id = UpstreamId(std::to_string(I));
  for (int I = 0; I < Slow; ++I)
    Peers[I].TokensPerSecond = Rate;
  return Peers;
}

// Returns the first peer's factor after the same rates lasted for Lasted.
double factorAfter(const std::vector<UpstreamRate> &Peers, Duration Lasted) {
  Stragglers State;
  updateStragglers(State, Peers, TimePoint());
  return updateStragglers(State, Peers, TimePoint(Lasted))[0];
}

// Guards against a factor above 1 for an upstream that is slow for a short
// time, is idle, has more calls than its peers or shares its slowness with many
// of them, and against missing a true straggler.
TEST(StragglersTest, RaisesFactorOnlyOfLastingStragglers) {
  std::vector<UpstreamRate> Idle = samples(1, 0);
  Idle[0].Running = 0;
  std::vector<UpstreamRate> Busier = samples(1, 100);
  Busier[0].Running = 12;
  EXPECT_EQ(factorAfter(samples(1, 100), seconds(10)), 4.0);
  EXPECT_EQ(factorAfter(samples(2, 100), seconds(10)), 4.0);
  EXPECT_EQ(factorAfter(samples(1, 0), seconds(10)), MaxStragglerFactor);
  EXPECT_EQ(factorAfter(samples(1, 100), milliseconds(9'999)), 1.0);
  EXPECT_EQ(factorAfter(samples(1, 200), seconds(10)), 1.0);
  EXPECT_EQ(factorAfter(samples(3, 100), seconds(10)), 1.0);
  EXPECT_EQ(factorAfter(Idle, seconds(10)), 1.0);
  EXPECT_EQ(factorAfter(Busier, seconds(10)), 1.0);
}

// Guards against adding up separate periods of low rate.
TEST(StragglersTest, RestartsDelayAfterRecovery) {
  Stragglers State;
  updateStragglers(State, samples(1, 100), TimePoint());
  updateStragglers(State, samples(0, 0), TimePoint(seconds(5)));
  updateStragglers(State, samples(1, 100), TimePoint(seconds(6)));
  EXPECT_EQ(updateStragglers(State, samples(1, 100), TimePoint(seconds(15)))[0],
            1.0);
}

} // namespace
} // namespace samphirehill
