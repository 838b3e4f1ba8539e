#include "Idempotency/ShardSimulation.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace samphirehill {
namespace {

// Runs a random history with Fault. Returns the guarantee that it violated, or
// an empty string.
std::string runHistory(std::uint32_t Seed, ShardFault Fault) {
  std::mt19937 Random(Seed);
  ShardSimulation Simulation(Fault);
  for (int Steps = 0; Steps < 200 && Simulation.violation().empty(); ++Steps)
    Simulation.act(static_cast<std::uint32_t>(Random()));
  if (Simulation.violation().empty())
    Simulation.heal();
  return Simulation.violation();
}

// Guards against a second execution of a key, an untrue `not run`, and a resend
// that gets anything but the recorded outcome. The histories contain paused and
// killed owners, outages, lost answers and late writes.
RC_GTEST_PROP(ShardHistoryTest, KeepsGuaranteesInRandomHistories, ()) {
  auto Length = *rc::gen::inRange<std::size_t>(10, 300);
  auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
      Length, rc::gen::arbitrary<std::uint32_t>());
  ShardSimulation Simulation(ShardFault::None);
  for (std::uint32_t Choice : Choices) {
    Simulation.act(Choice);
    RC_ASSERT(Simulation.violation() == "");
  }
  Simulation.heal();
  RC_ASSERT(Simulation.violation() == "");
}

// Guards against the failures of KeepsGuaranteesInRandomHistories in longer
// histories than RapidCheck generates at its first sizes.
TEST(ShardHistoryTest, KeepsGuaranteesInSeededHistories) {
  for (std::uint32_t Seed = 0; Seed < 1500; ++Seed)
    ASSERT_EQ(runHistory(Seed, ShardFault::None), "") << "seed " << Seed;
}

// Guards against a pause or a restart of the owner between any two messages
// that violates a guarantee. Resends arrive at every entry, before and after
// the owner resumes.
TEST(ShardHistoryTest, KeepsGuaranteesWhenOwnerStopsBetweenMessages) {
  constexpr std::size_t Instants = 12; // a call takes 8 messages
  for (std::size_t Instant = 0; Instant < Instants; ++Instant)
    for (std::size_t Until = 0; Until < Instants; ++Until)
      for (bool Killed : {false, true}) {
        ShardSimulation Simulation(ShardFault::None);
        Simulation.request("k0", 0);
        Simulation.deliverOldest(Instant);
        Simulation.pause(0);
        Simulation.request("k0", 1);
        Simulation.deliverOldest(Until);
        if (Killed)
          Simulation.restart(0);
        Simulation.resume(0);
        for (std::size_t Entry : {2, 0, 1}) {
          Simulation.request("k0", Entry);
          Simulation.deliverOldest(1);
        }
        Simulation.heal();
        ASSERT_EQ(Simulation.violation(), "")
            << "stopped after " << Instant << ", resumed after " << Until
            << ", killed " << Killed;
        ASSERT_LE(Simulation.executions(), 1u);
      }
}

// Guards against a call that runs twice because its record is lost when the
// platform's store is restored from a copy, with the owner alive or not.
class ShardRestoredStoreTest : public testing::TestWithParam<bool> {};

TEST_P(ShardRestoredStoreTest, RunsNoCallTwice) {
  ShardSimulation Simulation(ShardFault::None);
  Simulation.request("k1", 0);
  Simulation.deliverOldest(2'000);
  Simulation.copyStore();
  Simulation.request("k0", 0);
  Simulation.deliverOldest(2'000);
  ASSERT_EQ(Simulation.executions(), 2u);
  Simulation.restoreStore();
  if (GetParam())
    Simulation.restart(0);
  for (std::size_t Entry : {0, 1, 2}) {
    Simulation.request("k0", Entry);
    Simulation.deliverOldest(2'000);
  }
  Simulation.heal();
  EXPECT_EQ(Simulation.violation(), "");
  EXPECT_EQ(Simulation.executions(), 2u);
}

INSTANTIATE_TEST_SUITE_P(Owner, ShardRestoredStoreTest, testing::Bool(),
                         [](const auto &Info) {
                           return Info.param ? "Restarted" : "Alive";
                         });

// Guards against a simulation in which no calls run, so that no guarantee can
// be violated.
TEST(ShardHistoryTest, RunsAndReplaysCallsInHistories) {
  std::size_t Executions = 0;
  std::size_t Replays = 0;
  for (std::uint32_t Seed = 0; Seed < 200; ++Seed) {
    std::mt19937 Random(Seed);
    ShardSimulation Simulation(ShardFault::None);
    for (int Steps = 0; Steps < 200; ++Steps)
      Simulation.act(static_cast<std::uint32_t>(Random()));
    Executions += Simulation.executions();
    Replays += Simulation.replays();
  }
  EXPECT_GT(Executions, 150u);
  EXPECT_GT(Replays, 150u);
}

std::string nameOf(ShardFault Fault) {
  constexpr const char *Names[] = {
      "None",           "SendBeforeAcknowledged", "LostTakenAsStored",
      "IgnoresStarted", "DeniesStarted",          "DeniesUnread",
      "ChangesOutcome"};
  return Names[static_cast<int>(Fault)];
}

class ShardFaultTest : public testing::TestWithParam<ShardFault> {};

// Guards against checks that can't fail: each fault must violate a guarantee.
TEST_P(ShardFaultTest, IsDetectedByRandomHistories) {
  std::string Found;
  for (std::uint32_t Seed = 0; Seed < 1500 && Found.empty(); ++Seed)
    Found = runHistory(Seed, GetParam());
  EXPECT_NE(Found, "");
  RecordProperty("violation", Found);
}

INSTANTIATE_TEST_SUITE_P(All, ShardFaultTest,
                         testing::Values(ShardFault::SendBeforeAcknowledged,
                                         ShardFault::LostTakenAsStored,
                                         ShardFault::IgnoresStarted,
                                         ShardFault::DeniesStarted,
                                         ShardFault::DeniesUnread,
                                         ShardFault::ChangesOutcome),
                         [](const auto &Case) { return nameOf(Case.param); });

} // namespace
} // namespace samphirehill
