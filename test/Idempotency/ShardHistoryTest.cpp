#include "Idempotency/ShardWorld.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace samphirehill {
namespace {

// Returns the broken promise in a random history with Fault, or empty.
std::string runHistory(std::uint32_t Seed, ShardFault Fault) {
  std::mt19937 Random(Seed);
  ShardWorld World(Fault);
  for (int Steps = 0; Steps < 200 && World.violation().empty(); ++Steps)
    World.act(static_cast<std::uint32_t>(Random()));
  if (World.violation().empty())
    World.heal();
  return World.violation();
}

// Guards against a second execution, an untrue `not run` and a resend that gets
// anything but the recorded outcome, over paused and killed owners, outages,
// lost answers and late writes.
RC_GTEST_PROP(ShardHistoryTest, KeepsPromisesInAnyHistory, ()) {
  auto Length = *rc::gen::inRange<std::size_t>(10, 300);
  auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
      Length, rc::gen::arbitrary<std::uint32_t>());
  ShardWorld World(ShardFault::None);
  for (std::uint32_t Choice : Choices) {
    World.act(Choice);
    RC_ASSERT(World.violation() == "");
  }
  World.heal();
  RC_ASSERT(World.violation() == "");
}

// Guards as above, over longer histories than RapidCheck's first sizes give.
TEST(ShardHistoryTest, KeepsPromisesInSeededHistories) {
  for (std::uint32_t Seed = 0; Seed < 1500; ++Seed)
    ASSERT_EQ(runHistory(Seed, ShardFault::None), "") << "seed " << Seed;
}

// Guards against an instant between any two messages at which a pause or the
// end of the owner breaks a promise; resends come through every entry, before
// and after the owner resumes.
TEST(ShardHistoryTest, KeepsPromisesWhenOwnerStopsAtEachInstant) {
  constexpr std::size_t Instants = 12; // a call takes 8 messages
  for (std::size_t Instant = 0; Instant < Instants; ++Instant)
    for (std::size_t Until = 0; Until < Instants; ++Until)
      for (bool Killed : {false, true}) {
        ShardWorld World(ShardFault::None);
        World.request("k0", 0);
        World.deliverOldest(Instant);
        World.pause(0);
        World.request("k0", 1);
        World.deliverOldest(Until);
        if (Killed)
          World.restart(0);
        World.resume(0);
        for (std::size_t Entry : {2, 0, 1}) {
          World.request("k0", Entry);
          World.deliverOldest(1);
        }
        World.heal();
        ASSERT_EQ(World.violation(), "")
            << "stopped after " << Instant << ", resumed after " << Until
            << ", killed " << Killed;
        ASSERT_LE(World.executions(), 1u);
      }
}

// Guards against a model in which nothing runs, so that no promise can break.
TEST(ShardHistoryTest, RunsAndReplaysCallsInHistories) {
  std::size_t Executions = 0;
  std::size_t Replays = 0;
  for (std::uint32_t Seed = 0; Seed < 200; ++Seed) {
    std::mt19937 Random(Seed);
    ShardWorld World(ShardFault::None);
    for (int Steps = 0; Steps < 200; ++Steps)
      World.act(static_cast<std::uint32_t>(Random()));
    Executions += World.executions();
    Replays += World.replays();
  }
  EXPECT_GT(Executions, 150u);
  EXPECT_GT(Replays, 150u);
}

std::string nameOf(ShardFault Fault) {
  constexpr const char *Names[] = {
      "None",           "SendBeforeAcknowledged", "LostTakenAsStored",
      "ForgetsStarted", "DeniesStarted",          "DeniesUnread",
      "ChangesOutcome"};
  return Names[static_cast<int>(Fault)];
}

class ShardFaultTest : public testing::TestWithParam<ShardFault> {};

// Guards against checks that can't fail: each fault must break a promise.
TEST_P(ShardFaultTest, IsFoundByHistories) {
  std::string Found;
  for (std::uint32_t Seed = 0; Seed < 1500 && Found.empty(); ++Seed)
    Found = runHistory(Seed, GetParam());
  EXPECT_NE(Found, "");
  RecordProperty("violation", Found);
}

INSTANTIATE_TEST_SUITE_P(All, ShardFaultTest,
                         testing::Values(ShardFault::SendBeforeAcknowledged,
                                         ShardFault::LostTakenAsStored,
                                         ShardFault::ForgetsStarted,
                                         ShardFault::DeniesStarted,
                                         ShardFault::DeniesUnread,
                                         ShardFault::ChangesOutcome),
                         [](const auto &Case) { return nameOf(Case.param); });

} // namespace
} // namespace samphirehill
