#include "CreditSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace samphirehill::test {
namespace {

constexpr int HistorySteps = 400;
constexpr int HistoriesPerCase = 30;

struct LimitCase {
  const char *Name;
  int Entries;
  int ColdLimit;
  int WarmLimit;
};

std::ostream &operator<<(std::ostream &Out, const LimitCase &Case) {
  return Out << Case.Name;
}

class CreditsHistoryTest : public testing::TestWithParam<LimitCase> {};

// Guards against more calls at an upstream than its limit, and against credits
// that stay lost, when messages, entries and upstreams fail in any order. The
// cases include limits below the number of entries.
TEST_P(CreditsHistoryTest, KeepsLimitInRandomHistories) {
  HistoryOptions Options;
  Options.Entries = GetParam().Entries;
  Options.ColdLimit = GetParam().ColdLimit;
  Options.WarmLimit = GetParam().WarmLimit;
  int Calls = 0;
  int Homes = 0;
  int Reboots = 0;
  for (int Seed = 1; Seed <= HistoriesPerCase; ++Seed) {
    HistoryResult Result = runHistory(randomSteps(Seed, HistorySteps), Options);
    ASSERT_EQ(Result.Violation, "") << "seed " << Seed;
    ASSERT_EQ(Result.Loss, "") << "seed " << Seed;
    Calls += Result.CallsRun;
    Homes += Result.HomesOpened;
    Reboots += Result.Reboots;
  }
  RecordProperty("calls", Calls);
  RecordProperty("homes", Homes);
  // The histories must contain enough calls, home changes and restarts.
  EXPECT_GT(Calls, HistoriesPerCase * 10);
  EXPECT_GT(Homes, HistoriesPerCase * 2);
  EXPECT_GT(Reboots, HistoriesPerCase);
}

INSTANTIATE_TEST_SUITE_P(Limits, CreditsHistoryTest,
                         testing::Values(LimitCase{"OneCredit", 4, 1, 1},
                                         LimitCase{"FewerThanEntries", 5, 1, 3},
                                         LimitCase{"OneEach", 4, 1, 4},
                                         LimitCase{"Ramped", 4, 2, 9},
                                         LimitCase{"Large", 5, 4, 24}),
                         [](const auto &Info) {
                           return std::string(Info.param.Name);
                         });

// Guards against the failures of KeepsLimitInRandomHistories on histories and
// limits that RapidCheck generates and can shrink.
RC_GTEST_PROP(CreditsPropertyTest, KeepsLimitInGeneratedHistories, ()) {
  HistoryOptions Options;
  Options.Entries = *rc::gen::inRange(2, 6);
  Options.ColdLimit = *rc::gen::inRange(1, 4);
  Options.WarmLimit = Options.ColdLimit + *rc::gen::inRange(0, 12);
  auto Steps = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
  HistoryResult Result = runHistory(Steps, Options);
  RC_LOG() << Result.Violation << Result.Loss;
  RC_ASSERT(Result.Violation.empty());
  RC_ASSERT(Result.Loss.empty());
}

struct FaultCase {
  const char *Name;
  bool CreditFaults::*Switch; // nullptr: takeover on suspicion
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) {
  return Out << Case.Name;
}

class CreditsFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against a simulation whose checks can't fail: if any one of the rules
// is removed, some history violates a limit.
TEST_P(CreditsFaultTest, FindsViolationWhenRuleIsRemoved) {
  HistoryOptions Options;
  if (GetParam().Switch) {
    Options.Faults.*GetParam().Switch = true;
  } else {
    // With two entries each side of a partition is one entry, and neither has
    // to ramp up.
    Options.TakeOverOnSuspicion = true;
    Options.Entries = 2;
    Options.ColdLimit = Options.WarmLimit;
  }
  bool IsSuspects = GetParam().Switch == &CreditFaults::ManySuspects;
  std::string Expected = IsSuspects ? "two suspects" : "limit";
  std::string Violation;
  for (int Seed = 1; Seed <= 100; ++Seed) {
    Violation = runHistory(randomSteps(Seed, HistorySteps), Options).Violation;
    if (Violation.find(Expected) != std::string::npos)
      break;
  }
  EXPECT_NE(Violation.find(Expected), std::string::npos) << Violation;
  RecordProperty("violation", Violation);
}

INSTANTIATE_TEST_SUITE_P(
    Rules, CreditsFaultTest,
    testing::Values(
        FaultCase{"ReclaimOnTimeout", &CreditFaults::ReclaimOnTimeout},
        FaultCase{"ReclaimOnConfirmation",
                  &CreditFaults::ReclaimOnConfirmation},
        FaultCase{"ReclaimOnRecall", &CreditFaults::ReclaimOnRecall},
        FaultCase{"IgnoreUnreachable", &CreditFaults::IgnoreUnreachable},
        FaultCase{"AddRepeatedGrants", &CreditFaults::AddRepeatedGrants},
        FaultCase{"KeepIdleOnRecall", &CreditFaults::KeepIdleOnRecall},
        FaultCase{"ManySuspects", &CreditFaults::ManySuspects},
        FaultCase{"TakeOverOnSuspicion", nullptr}),
    [](const auto &Info) { return std::string(Info.param.Name); });

} // namespace
} // namespace samphirehill::test
