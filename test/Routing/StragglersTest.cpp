#include "samphirehill/Routing/Stragglers.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

// Returns 8 samples of 4 calls, the first Slow of which have rate Rate.
std::vector<UpstreamRate> samples(int Slow, double Rate) {
  std::vector<UpstreamRate> Peers(8, UpstreamRate{UpstreamId(), 400.0, 4});
  for (int I = 0; I < 8; ++I)
    Peers[I].Id = UpstreamId(std::to_string(I));
  for (int I = 0; I < Slow; ++I)
    Peers[I].TokensPerSecond = Rate;
  return Peers;
}

// Returns the first factor after the samples held for Held.
double factorAfter(const std::vector<UpstreamRate> &Peers, Duration Held) {
  Stragglers State;
  updateStragglers(State, Peers, TimePoint());
  return updateStragglers(State, Peers, TimePoint(Held))[0];
}

// Guards against a factor for a short dip, an idle upstream, a busier one or a
// fault that is common to all, and against missing a true straggler.
TEST(StragglersTest, RaisesFactorOnlyOfLastingStragglers) {
  std::vector<UpstreamRate> Idle = samples(1, 0);
  Idle[0].Running = 0;
  std::vector<UpstreamRate> Alone = samples(1, 100);
  Alone[0].Running = 12;
  EXPECT_EQ(factorAfter(samples(1, 100), seconds(10)), 4.0);
  EXPECT_EQ(factorAfter(samples(2, 100), seconds(10)), 4.0);
  EXPECT_EQ(factorAfter(samples(1, 0), seconds(10)), MaxStragglerFactor);
  EXPECT_EQ(factorAfter(samples(1, 100), milliseconds(9'999)), 1.0);
  EXPECT_EQ(factorAfter(samples(1, 200), seconds(10)), 1.0);
  EXPECT_EQ(factorAfter(samples(3, 100), seconds(10)), 1.0);
  EXPECT_EQ(factorAfter(Idle, seconds(10)), 1.0);
  EXPECT_EQ(factorAfter(Alone, seconds(10)), 1.0);
}

// Guards against adding up separate dips.
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
