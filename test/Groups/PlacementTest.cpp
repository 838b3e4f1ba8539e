#include "samphirehill/Groups/Placement.h"

#include "Groups/Fleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace samphirehill {
namespace {

const EntryRun One{EntryId("entry-1"), 7};
const EntryRun Two{EntryId("entry-2"), 8};

Placement example() {
  Placement Value;
  Value.Fence = 3;
  Value.Controller = One;
  Value.Groups = {{GroupId("g1"),
                   2,
                   ServiceId("a"),
                   "1",
                   {InstanceId("e1"), InstanceId("e2")},
                   InstanceId("e3")},
                  {GroupId("g2"),
                   1,
                   ServiceId("a"),
                   "1",
                   {InstanceId("e4"), InstanceId("e5")},
                   std::nullopt}};
  Value.Homes[UpstreamId("g1")] = {Two, 4};
  Value.AckFence = 2;
  Value.Former = {{Two, 2}};
  Value.NextGroup = 3;
  return Value;
}

Outcome<Placement> read(const nlohmann::json &Json) {
  return capture([&] { return placementFromJson(Json); });
}

TEST(PlacementTest, RestoresValueWhenReadFromItsJson) {
  Outcome<Placement> Again = read(toJson(example()));
  ASSERT_EQ(errorOf(Again), nullptr) << errorOf(Again)->Message;
  EXPECT_EQ(std::get<0>(Again), example());
}

// Guards against using a stored placement that is malformed or has another
// format version.
TEST(PlacementTest, RefusesUnsoundJson) {
  nlohmann::json Format = toJson(example());
  Format["format"] = 2;
  nlohmann::json Twice = toJson(example());
  Twice["groups"][1]["spare"] = "e1";
  nlohmann::json Missing = toJson(example());
  Missing.erase("homes");
  for (const nlohmann::json &Json :
       {Format, Twice, Missing, nlohmann::json(7)}) {
    Outcome<Placement> Value = read(Json);
    ASSERT_NE(errorOf(Value), nullptr) << Json;
    EXPECT_EQ(errorOf(Value)->Code, ResultCode::BadAnswer);
  }
}

// Guards against orders to engines that ignore fences while orders of any
// former controller, not only of the last one, may still take effect.
TEST(TakeOverTest, KeepsAllFormerControllersUntilEachIsSettled) {
  Placement Value;
  Value = takeOver(Value, One);
  EXPECT_EQ(Value.Fence, 1U);
  EXPECT_EQ(Value.AckFence, 1U);
  EXPECT_EQ(takeOver(Value, One), Value);
  Value = takeOver(Value, Two);
  Value = takeOver(Value, {One.Entry, 9});
  EXPECT_EQ(Value.Fence, 3U);
  EXPECT_EQ(Value.AckFence, 1U);
  Value = settleFormer(Value, Two);
  EXPECT_NE(Value.AckFence, Value.Fence);
  Value = settleFormer(Value, One);
  EXPECT_EQ(Value.AckFence, Value.Fence);
}

TEST(SubstituteTest, PutsSpareInRankOfLostMember) {
  std::optional<Placement> Value = substituteSpare(example(), InstanceId("e2"));
  ASSERT_TRUE(Value);
  EXPECT_EQ(Value->Groups[0], (Group{GroupId("g1"),
                                     3,
                                     ServiceId("a"),
                                     "1",
                                     {InstanceId("e1"), InstanceId("e3")},
                                     std::nullopt}));
  EXPECT_EQ(substituteSpare(example(), InstanceId("e4")), std::nullopt);
  EXPECT_EQ(substituteSpare(example(), InstanceId("e3")), std::nullopt);
  EXPECT_EQ(substituteSpare(*Value, InstanceId("e3")), std::nullopt);
}

} // namespace
} // namespace samphirehill
