#include "samphirehill/Daemon/RunEstimates.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

const ServiceId Notes("notes");

// Guards against refusing the first requests of a service by a made-up time.
TEST(RunEstimatesTest, IsZeroWhileNothingIsKnown) {
  RunEstimates Estimates;
  EXPECT_EQ(estimateRun(Estimates, Notes, 100), Duration::zero());
  recordRun(Estimates, Notes, seconds(3), 0);
  EXPECT_EQ(estimateRun(Estimates, Notes, 100), Duration::zero());
  recordRun(Estimates, ServiceId("other"), seconds(3), 10);
  EXPECT_EQ(estimateRun(Estimates, Notes, 100), Duration::zero());
}

// Guards against estimates by the tokens allowed, which few answers use up.
TEST(RunEstimatesTest, UsesFewerOfAllowedAndUsualTokens) {
  RunEstimates Estimates;
  recordRun(Estimates, Notes, seconds(10), 100);
  EXPECT_NEAR(toSeconds(estimateRun(Estimates, Notes, 10)), 1, 1e-3);
  EXPECT_NEAR(toSeconds(estimateRun(Estimates, Notes, 1000)), 10, 1e-3);
}

// Guards against one odd call that moves the estimate by much, and against an
// estimate that never follows a change.
TEST(RunEstimatesTest, FollowsChangeSlowly) {
  RunEstimates Estimates;
  recordRun(Estimates, Notes, seconds(10), 100);
  recordRun(Estimates, Notes, seconds(100), 100);
  EXPECT_NEAR(toSeconds(estimateRun(Estimates, Notes, 100)), 19, 1e-3);
  for (int I = 0; I < 100; ++I)
    recordRun(Estimates, Notes, seconds(100), 100);
  EXPECT_NEAR(toSeconds(estimateRun(Estimates, Notes, 100)), 100, 0.1);
}

} // namespace
} // namespace samphirehill
