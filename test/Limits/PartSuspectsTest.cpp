// Tests when a part of a prompt is blamed for crashes of engines, and when it
// is released.
#include "samphirehill/Limits/PartSuspects.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace samphirehill {
namespace {

using Prompt = std::vector<PromptPart>;
using Prompts = std::vector<Prompt>;

const TimePoint Start{seconds(1'000)};
const EntryId Self("entry-1");

// Returns the crash of engine Number, by default the only one of its domain.
EngineCrash crash(int Number, TimePoint At, Prompts Suspects,
                  std::string Domain = "") {
  if (Domain.empty())
    Domain = "domain-" + std::to_string(Number);
  return {{UpstreamId("i-" + std::to_string(Number)), BootId("1")},
          std::move(Domain),
          At,
          std::move(Suspects)};
}

// Records crashes of the engines First to Last, 2 s apart, on one prompt each.
void noteCrashes(PartSuspects &Suspects, int First, int Last,
                 const Prompt &Shared) {
  for (int Number = First; Number <= Last; ++Number)
    noteCrash(Suspects, crash(Number, Start + Number * seconds(2), {Shared}),
              Start + Number * seconds(2));
}

std::optional<PromptPart> blamed(const PartSuspects &Suspects,
                                 const Prompt &Shared) {
  return blamedPart(Suspects, Shared);
}

void prove(PartSuspects &Suspects, const Prompt &Shared, TimePoint BegunAt) {
  noteProof(Suspects, Shared, BegunAt, BegunAt);
}

TEST(PartSuspectsTest, BlamesPartAfterThreeCrashes) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 2, {7});
  EXPECT_FALSE(blamed(Suspects, {7}));
  noteCrashes(Suspects, 3, 3, {7});
  EXPECT_EQ(blamed(Suspects, {7}), 7U);
  EXPECT_EQ(blamed(Suspects, {1, 7, 9}), 7U);
  EXPECT_FALSE(blamed(Suspects, {1, 9}));
  EXPECT_EQ(blamedParts(Suspects), std::set<PromptPart>{7});
}

// Several entries report the requests that each of them had at the engine.
TEST(PartSuspectsTest, CountsOneCrashReportedByAllEntriesOnce) {
  PartSuspects Suspects;
  for (int Report = 0; Report < 8; ++Report)
    noteCrash(Suspects, crash(1, Start + milliseconds(Report), {{7}}), Start);
  EXPECT_FALSE(blamed(Suspects, {7}));
  EXPECT_EQ(Suspects.Crashes.size(), 1U);
  EXPECT_EQ(Suspects.Crashes.begin()->second.Crash.Prompts.size(), 1U);
}

// A rack that loses power ends many engines at the same time.
TEST(PartSuspectsTest, CountsCrashesOfOneDomainWithinASecondOnce) {
  PartSuspects Suspects;
  for (int Number = 1; Number <= 8; ++Number)
    noteCrash(Suspects,
              crash(Number, Start + Number * milliseconds(50), {{7}}, "d"),
              Start);
  EXPECT_FALSE(blamed(Suspects, {7}));
  noteCrash(Suspects, crash(9, Start + seconds(3), {{7}}, "d"), Start);
  EXPECT_FALSE(blamed(Suspects, {7}));
  noteCrash(Suspects, crash(10, Start + seconds(6), {{7}}, "d"), Start);
  EXPECT_TRUE(blamed(Suspects, {7}));
}

TEST(PartSuspectsTest, ProofClearsEarlierCrashesOnly) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 3, {7}); // at 2, 4 and 6 s
  prove(Suspects, {7}, Start + milliseconds(4'500));
  EXPECT_FALSE(blamed(Suspects, {7}));
  noteCrashes(Suspects, 4, 5, {7}); // the crash at 6 s still counts
  EXPECT_TRUE(blamed(Suspects, {7}));
  prove(Suspects, {7}, Start + seconds(11));
  EXPECT_FALSE(blamed(Suspects, {7}));
  EXPECT_TRUE(Suspects.Parts.empty());
}

// The shared beginning of many requests is in every crash as well.
TEST(PartSuspectsTest, BlamesLastPartThatIsInAllCrashes) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 3, {1, 7});
  EXPECT_EQ(blamed(Suspects, {1, 7}), 7U);
  EXPECT_FALSE(blamed(Suspects, {1, 8}));
}

TEST(PartSuspectsTest, BlamesFirstPartIfLaterOnesDiffer) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 1, {1, 7});
  noteCrashes(Suspects, 2, 2, {1, 8});
  noteCrashes(Suspects, 3, 3, {1, 9});
  EXPECT_EQ(blamed(Suspects, {1, 50}), 1U);
}

// The blame of a later part ends as an explanation with the next crash.
TEST(PartSuspectsTest, BlamesFirstPartAfterCrashWithoutBlamedOne) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 3, {1, 7});
  EXPECT_FALSE(blamed(Suspects, {1, 8}));
  noteCrashes(Suspects, 4, 4, {1, 8});
  EXPECT_EQ(blamed(Suspects, {1, 9}), 1U);
}

TEST(PartSuspectsTest, TellsWhetherProofClearsAPart) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 1, {7});
  EXPECT_FALSE(noteProof(Suspects, Prompt{8}, Start, Start));
  EXPECT_FALSE(noteProof(Suspects, Prompt{7}, Start, Start));
  EXPECT_TRUE(noteProof(Suspects, Prompt{7}, Start + seconds(3), Start));
}

TEST(PartSuspectsTest, CrashWithoutSuspectsAccusesNobody) {
  PartSuspects Suspects;
  for (int Number = 1; Number <= 5; ++Number)
    noteCrash(Suspects, crash(Number, Start, {}), Start);
  EXPECT_TRUE(Suspects.Parts.empty());
}

// A timer alone must not let the whole load try again.
TEST(PartSuspectsTest, AllowsOneTrialAfterDelayAndFewerLater) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 3, {7});
  TimePoint LastCrash = Start + seconds(6);
  Duration Delay = Suspects.Settings.TrialDelay;
  EXPECT_FALSE(takeTrial(Suspects, 7, Self, {}, LastCrash + Delay / 2));
  EXPECT_TRUE(takeTrial(Suspects, 7, Self, {}, LastCrash + Delay));
  EXPECT_FALSE(takeTrial(Suspects, 7, Self, {}, LastCrash + Delay * 2));
  TimePoint Second = LastCrash + Delay + Delay * 6;
  EXPECT_FALSE(takeTrial(Suspects, 7, Self, {}, Second - seconds(1)));
  EXPECT_TRUE(takeTrial(Suspects, 7, Self, {}, Second));
  EXPECT_TRUE(blamed(Suspects, {7}));
}

TEST(PartSuspectsTest, TakesTrialsInTurns) {
  const std::vector<EntryId> Entries = {EntryId("entry-0"), EntryId("entry-1"),
                                        EntryId("entry-2"), EntryId("entry-3"),
                                        EntryId("entry-4"), EntryId("entry-5")};
  PartSuspects Before;
  noteCrashes(Before, 1, 3, {7});
  std::set<EntryId> Takers;
  for (int Turn = 0; Turn < 60; ++Turn) {
    TimePoint Now = Start + seconds(6) + Before.Settings.TrialDelay +
                    Turn * Before.Settings.TrialTurn;
    int Taken = 0;
    for (const EntryId &Each : Entries) {
      std::vector<EntryId> Others = Entries;
      std::erase(Others, Each);
      PartSuspects Suspects = Before;
      if (!takeTrial(Suspects, 7, Each, Others, Now))
        continue;
      ++Taken;
      Takers.insert(Each);
    }
    EXPECT_EQ(Taken, 1) << Turn;
  }
  EXPECT_EQ(Takers.size(), Entries.size());
}

TEST(PartSuspectsTest, ReportedTrialDelaysOwnOne) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 3, {7});
  TimePoint Due = Start + seconds(6) + Suspects.Settings.TrialDelay;
  applySuspects(Suspects, {{}, {}, {{7, 1, Due}}}, Due);
  EXPECT_FALSE(takeTrial(Suspects, 7, Self, {}, Due + seconds(1)));
}

// An entry that has just started must not send what the others refuse.
TEST(PartSuspectsTest, ReportsBlameToEntriesThatStartLater) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 3, {1, 7});
  TimePoint Later = Start + std::chrono::minutes(5);
  PartSuspects Started;
  applySuspects(Started, suspectReport(Suspects, Later), Later);
  EXPECT_EQ(blamed(Started, {1, 7}), 7U);
}

TEST(PartSuspectsTest, AnswersStaleAccusationWithProof) {
  PartSuspects Informed;
  PartSuspects Stale;
  noteCrashes(Informed, 1, 3, {7});
  noteCrashes(Stale, 1, 3, {7});
  prove(Informed, {7}, Start + seconds(7));
  TimePoint Later = Start + seconds(60);
  EXPECT_TRUE(suspectReport(Informed, Later).Proofs.empty());
  applySuspects(Informed, suspectReport(Stale, Later), Later);
  applySuspects(Stale, suspectReport(Informed, Later), Later);
  EXPECT_FALSE(blamed(Informed, {7}));
  EXPECT_FALSE(blamed(Stale, {7}));
}

TEST(PartSuspectsTest, KeepsBlameWhileRequestsAreRefused) {
  PartSuspects Suspects;
  noteCrashes(Suspects, 1, 3, {7});
  TimePoint Later = Start + std::chrono::minutes(9);
  noteRefused(Suspects, 7, Later);
  expireSuspects(Suspects, Later + std::chrono::minutes(9));
  EXPECT_TRUE(blamed(Suspects, {7}));
  expireSuspects(Suspects, Later + std::chrono::minutes(11));
  EXPECT_FALSE(blamed(Suspects, {7}));
  EXPECT_TRUE(Suspects.Crashes.empty());
}

// Callers can make up any number of parts.
TEST(PartSuspectsTest, BoundsMemory) {
  PartSuspects Suspects;
  for (PromptPart Part = 0; Part < 20'000; ++Part)
    prove(Suspects, {Part}, Start);
  EXPECT_EQ(Suspects.Proofs.size(), Suspects.Settings.MaxProofs);
  for (int Number = 0; Number < 2'000; ++Number) {
    auto Base = static_cast<PromptPart>(Number) * 1'000 + 1'000'000;
    Prompts Suspected;
    for (PromptPart Each = 0; Each < 100; ++Each)
      Suspected.push_back({Base + Each});
    noteCrash(Suspects, crash(Number, Start + seconds(Number), Suspected),
              Start + seconds(Number));
  }
  EXPECT_EQ(Suspects.Crashes.size(), Suspects.Settings.MaxCrashes);
  EXPECT_LE(Suspects.Parts.size(), Suspects.Settings.MaxCrashes *
                                       Suspects.Settings.MaxPromptsPerCrash);
  EXPECT_LE(suspectReport(Suspects, Start).Crashes.size(),
            Suspects.Settings.MaxReported);
}

// Datagrams are lost, repeated and reordered.
RC_GTEST_PROP(PartSuspectsTest, MergesReportsInAnyOrder, ()) {
  std::vector<SuspectReport> Reports;
  for (int Each = 0; Each < 12; ++Each) {
    int Number = *rc::gen::inRange(0, 5);
    auto Part = static_cast<PromptPart>(*rc::gen::inRange(1, 4));
    Duration After = milliseconds(*rc::gen::inRange(0, 9'000));
    if (*rc::gen::inRange(0, 4) == 0)
      Reports.push_back({{}, {{Part, Start + After}}, {}});
    else
      Reports.push_back(
          {{crash(Number, Start + Number * seconds(2), {{Part, Part + 10}})},
           {},
           {}});
  }
  std::vector<SuspectReport> Shuffled = Reports;
  std::minstd_rand Random(
      static_cast<unsigned>(*rc::gen::inRange(0, 1'000'000)));
  std::shuffle(Shuffled.begin(), Shuffled.end(), Random);
  PartSuspects InOrder;
  PartSuspects OutOfOrder;
  SuspectReport Sum;
  for (const SuspectReport &Each : Reports)
    applySuspects(InOrder, Each, Start);
  for (const SuspectReport &Each : Shuffled) {
    addToReport(Sum, Each);
    applySuspects(OutOfOrder, Each, Start);
    applySuspects(OutOfOrder, Each, Start);
  }
  PartSuspects Summed;
  applySuspects(Summed, Sum, Start);
  RC_ASSERT(blamedParts(InOrder) == blamedParts(OutOfOrder));
  RC_ASSERT(blamedParts(InOrder) == blamedParts(Summed));
}

} // namespace
} // namespace samphirehill
