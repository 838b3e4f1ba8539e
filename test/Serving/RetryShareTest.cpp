#include "samphirehill/Serving/RetryShare.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace samphirehill::serving {
namespace {

const ServiceId Service("pool");

// An outage makes every request fail at every entry, and each entry retries as
// often as its share allows. The total must stay within the operators' limit.
RC_GTEST_PROP(RetryShareTest, SumOverEntriesStaysInBoundInAnyWindow, ()) {
  int Entries = *rc::gen::inRange(1, 9);
  RetryBounds Bounds{0.2, 134, seconds(10), Entries};
  std::vector<RetryShare> Shares(static_cast<std::size_t>(Entries),
                                 RetryShare{Bounds, {}});
  std::vector<std::pair<TimePoint, bool>> Arrivals; // time, is a retry
  int Milliseconds = 0;
  for (int Step = 0; Step < 400; ++Step) {
    Milliseconds += *rc::gen::inRange(1, 120);
    TimePoint Now{milliseconds(Milliseconds)};
    RetryShare &Own = Shares[*rc::gen::inRange<std::size_t>(0, Shares.size())];
    countRequest(Own, Service, Now);
    Arrivals.push_back({Now, false});
    if (takeRetry(Own, Service, Now))
      Arrivals.push_back({Now, true});
  }
  for (const auto &[Start, Ignored] : Arrivals) {
    double Requests = 0;
    double Retries = 0;
    for (const auto &[At, IsRetry] : Arrivals) {
      // Requests of the preceding window count too, as there may have been more
      // of them.
      if (At >= Start - Bounds.Window && At < Start + Bounds.Window)
        Requests += IsRetry ? 0 : 1;
      if (At >= Start && At < Start + Bounds.Window)
        Retries += IsRetry ? 1 : 0;
    }
    RC_ASSERT(Retries <= Bounds.Ratio * Requests + Bounds.Slack);
  }
}

TEST(RetryShareTest, ReturnsRetryThatWasNotSent) {
  RetryShare Share{{0, 10, seconds(10), 1}, {}};
  int Taken = 0;
  while (takeRetry(Share, Service, TimePoint{seconds(1)}))
    ++Taken;
  returnRetry(Share, Service);
  EXPECT_TRUE(takeRetry(Share, Service, TimePoint{seconds(1)}));
  EXPECT_FALSE(takeRetry(Share, Service, TimePoint{seconds(1)}));
  EXPECT_GT(Taken, 0);
}

TEST(RetryShareTest, RenewsAfterTheWindow) {
  RetryShare Share{{0, 10, seconds(10), 1}, {}};
  while (takeRetry(Share, Service, TimePoint{seconds(1)})) {
  }
  EXPECT_FALSE(takeRetry(Share, Service, TimePoint{seconds(10)}));
  EXPECT_TRUE(takeRetry(Share, Service, TimePoint{seconds(13)}));
}

} // namespace
} // namespace samphirehill::serving
