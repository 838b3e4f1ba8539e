#include "samphirehill/Limits/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace samphirehill {
namespace {

const OrganisationId Org("o");
const ServiceId Service("s");

// Returns the number of attempts for Requests requests when half of the
// upstreams are down and each failed attempt is retried if the budget allows.
int attemptsWithHalfDown(RetryBudgets Budgets, int Requests,
                         std::uint32_t Seed) {
  std::mt19937 Random(Seed);
  int Attempts = 0;
  for (int I = 0; I < Requests; ++I) {
    earnRetry(Budgets, Org, Service);
    ++Attempts;
    while (Random() % 2 == 0 && spendRetry(Budgets, Org, Service))
      ++Attempts;
  }
  return Attempts;
}

// Guards against retries that add much load when the service has less capacity.
RC_GTEST_PROP(RetryBudgetTest, KeepsAttemptsWithinTenthWhenHalfIsDown, ()) {
  int Requests = *rc::gen::inRange(50, 5000);
  auto Seed = *rc::gen::arbitrary<std::uint32_t>();
  int Attempts = attemptsWithHalfDown({}, Requests, Seed);
  RC_ASSERT(Attempts * 10 <= Requests * 11);
}

// Guards against a check that can't fail: a larger budget exceeds the bound.
TEST(RetryBudgetTest, ExceedsTenthWhenBudgetIsLarger) {
  RetryBudgets Generous;
  Generous.Settings.EarnedPerRequest = 20;
  EXPECT_GT(attemptsWithHalfDown(Generous, 1000, 1) * 10, 1000 * 11);
}

// Guards against a pair that saves up budget for a burst of retries, and
// against a pair that spends the budget of another one.
TEST(RetryBudgetTest, HoldsAtMostTenAttemptsPerPair) {
  RetryBudgets Budgets;
  for (int I = 0; I < 1000; ++I)
    earnRetry(Budgets, Org, Service);
  int Spent = 0;
  while (spendRetry(Budgets, Org, Service))
    ++Spent;
  EXPECT_EQ(Spent, 10);
  EXPECT_TRUE(spendRetry(Budgets, Org, ServiceId("other")));
  EXPECT_FALSE(spendRetry(Budgets, Org, ServiceId("other")));
}

// Guards against overflow when the backoff doubles, and against a wait above
// the maximum.
TEST(RetryBackoffTest, DrawsBelowDoublingCeiling) {
  RetryBudgetSettings Settings;
  EXPECT_EQ(retryBackoff(Settings, 0, 0.5), milliseconds(10));
  EXPECT_EQ(retryBackoff(Settings, 3, 0.5), milliseconds(80));
  EXPECT_EQ(retryBackoff(Settings, 1000, 0.5), milliseconds(500));
  EXPECT_EQ(retryBackoff(Settings, 5, 0.0), Duration{});
}

} // namespace
} // namespace samphirehill
