#include "loadtool/Plan.h"

#include <gtest/gtest.h>
#include <stdexcept>

namespace samphirehill::loadtool {
namespace {

LoadPlan planWithSurge(double Factor) {
  return planFromJson(
      {{"entries", {"127.0.0.1:1", "127.0.0.1:2"}},
       {"organisations",
        {{{"name", "large"},
          {"share", 3},
          {"surge", {{"fromMs", 2000}, {"toMs", 4000}, {"factor", Factor}}}},
         {{"name", "small"}, {"share", 1}, {"bookingShare", 0.5}}}}});
}

std::vector<Arrival> callsOf(const std::vector<Arrival> &All,
                             std::size_t Caller) {
  std::vector<Arrival> Found;
  for (const Arrival &Each : All)
    if (Each.Caller == Caller)
      Found.push_back(Each);
  return Found;
}

// Guards against figures that can't be reproduced from a seed.
TEST(PlanTest, SchedulesAlikeForOneSeed) {
  LoadPlan Plan = planWithSurge(1);
  std::vector<Arrival> One = schedule(Plan, 100, seconds(5), 7);
  std::vector<Arrival> Two = schedule(Plan, 100, seconds(5), 7);
  ASSERT_EQ(One.size(), Two.size());
  for (std::size_t I = 0; I < One.size(); ++I) {
    EXPECT_EQ(One[I].At, Two[I].At);
    EXPECT_EQ(One[I].Prompt, Two[I].Prompt);
    EXPECT_EQ(One[I].Number, I);
  }
  EXPECT_NE(schedule(Plan, 100, seconds(5), 8).front().At, One.front().At);
}

// Guards against shares and surges that are not kept, and against a surge that
// changes the other organisations' calls, which are compared with a quiet run.
TEST(PlanTest, KeepsSharesAndSurges) {
  std::vector<Arrival> Quiet = schedule(planWithSurge(1), 400, seconds(6), 7);
  std::vector<Arrival> Peak = schedule(planWithSurge(10), 400, seconds(6), 7);
  std::vector<Arrival> Small = callsOf(Quiet, 1);
  EXPECT_NEAR(static_cast<double>(Small.size()), 600, 100);
  EXPECT_NEAR(static_cast<double>(callsOf(Quiet, 0).size()), 1800, 180);
  EXPECT_NEAR(static_cast<double>(callsOf(Peak, 0).size()), 1200 + 6000, 500);
  std::vector<Arrival> SmallInPeak = callsOf(Peak, 1);
  ASSERT_EQ(Small.size(), SmallInPeak.size());
  for (std::size_t I = 0; I < Small.size(); ++I)
    EXPECT_EQ(Small[I].At, SmallInPeak[I].At);
}

// Guards against plans that are accepted and then send nothing, or divide by 0.
TEST(PlanTest, RefusesPlanWithoutCallersOrShare) {
  nlohmann::json Plan = {{"entries", {"127.0.0.1:1"}},
                         {"organisations", nlohmann::json::array()}};
  EXPECT_THROW(planFromJson(Plan), std::invalid_argument);
  Plan["organisations"] = {{{"name", "large"}, {"share", 0}}};
  EXPECT_THROW(planFromJson(Plan), std::invalid_argument);
  Plan["organisations"] = {{{"name", "large"}, {"tokens", {3, 2}}}};
  EXPECT_THROW(planFromJson(Plan), std::invalid_argument);
}

} // namespace
} // namespace samphirehill::loadtool
