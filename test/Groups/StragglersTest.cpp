#include "samphirehill/Groups/Stragglers.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <string>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(100)};

std::vector<RateSample> samples(int Count, int Slow, double SlowRate) {
  std::vector<RateSample> List;
  List.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    List.push_back({InstanceId("e" + std::to_string(10 + I)),
                    I < Slow ? SlowRate : 100.0, 8});
  return List;
}

// Guards against replacing an engine that is slow for less than SlowTime.
TEST(FindStragglersTest, FindsOnlyEnginesThatStaySlow) {
  StragglerState State;
  auto Found = [&](double Rate, Duration After) {
    return findStragglers(State, samples(10, 1, Rate), Start + After);
  };
  EXPECT_THAT(Found(49, seconds(0)), testing::IsEmpty());
  EXPECT_THAT(Found(49, seconds(9)), testing::IsEmpty());
  EXPECT_THAT(Found(49, seconds(10)), testing::SizeIs(1));
  EXPECT_THAT(Found(51, seconds(11)), testing::IsEmpty());
  EXPECT_THAT(Found(49, seconds(12)), testing::IsEmpty());
  EXPECT_THAT(Found(49, seconds(22)), testing::SizeIs(1));
}

// Guards against finding an engine slow because it has few or no requests.
TEST(FindStragglersTest, ComparesOnlyEnginesOfEqualLoad) {
  StragglerState State;
  std::vector<RateSample> List = samples(10, 0, 0);
  List[0].TokensPerSecond = 0;
  List[0].Running = 0;
  List[1].TokensPerSecond = 13;
  List[1].Running = 1;
  List[2].TokensPerSecond = 3;
  List[2].Running = 1;
  findStragglers(State, List, Start);
  EXPECT_THAT(findStragglers(State, List, Start + SlowTime),
              testing::ElementsAre(List[2].Name));
}

struct Case {
  int Stragglers;
  int Engines;
  int Replacing;
  std::size_t Expected;
};

TEST(StragglersToReplaceTest, AppliesBoundAndCommonFaultRule) {
  const Case Cases[] = {
      {0, 40, 0, 0}, {1, 40, 0, 1}, {4, 40, 0, 4},  {6, 40, 0, 4},
      {6, 40, 3, 1}, {6, 40, 4, 0}, {10, 40, 0, 4}, {11, 40, 0, 0},
      {1, 4, 0, 1},  {2, 4, 0, 0},  {1, 5, 1, 0},   {1, 3, 0, 0},
  };
  for (const Case &Row : Cases) {
    std::set<InstanceId> Slow;
    for (int I = 0; I < Row.Stragglers; ++I)
      Slow.insert(InstanceId("e" + std::to_string(I)));
    EXPECT_EQ(stragglersToReplace(Slow, Row.Engines, Row.Replacing).size(),
              Row.Expected)
        << Row.Stragglers << " of " << Row.Engines;
  }
}

} // namespace
} // namespace samphirehill
