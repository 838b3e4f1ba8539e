#include "samphirehill/Limits/CrashSuspects.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <set>
#include <string>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(1000)};

SuspectBroadcast crash(const std::string &Upstream, const std::string &Domain,
                       const std::vector<Fingerprint> &InProgress,
                       Duration Age = Duration{},
                       Duration RunningFor = seconds(2)) {
  SuspectBroadcast Sent{CrashId{UpstreamId(Upstream), BootId("b")},
                        DomainId(Domain), Age};
  for (Fingerprint Each : InProgress)
    Sent.InProgress.push_back({Each, RunningFor});
  return Sent;
}

struct CrashCase {
  const char *Name;
  std::vector<std::pair<Duration, SuspectBroadcast>> Heard; // after Start
  Duration CheckedAt;
  CrashVerdict Verdict; // of fingerprint 1
};

std::ostream &operator<<(std::ostream &Out, const CrashCase &Case) {
  return Out << Case.Name;
}

class CrashVerdictTest : public testing::TestWithParam<CrashCase> {};

// Guards against refusing innocent requests after a domain fault, and against
// letting a crashing one go on.
TEST_P(CrashVerdictTest, RefusesRequestAfterTwoDistinctCrashes) {
  CrashSuspects Suspects;
  for (const auto &[After, Broadcast] : GetParam().Heard)
    recordCrash(Suspects, Broadcast, Start + After);
  TimePoint Now = Start + GetParam().CheckedAt;
  EXPECT_EQ(checkCrashes(Suspects, 1, Now).Verdict, GetParam().Verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CrashVerdictTest,
    testing::Values(
        CrashCase{"Unknown", {}, seconds(0), CrashVerdict::Clear},
        CrashCase{"OneCrash",
                  {{seconds(0), crash("u1", "d", {1})}},
                  seconds(1),
                  CrashVerdict::Suspect},
        CrashCase{"SameCrashTwice",
                  {{seconds(0), crash("u1", "d", {1})},
                   {seconds(2), crash("u1", "d", {1, 2}, seconds(2))}},
                  seconds(3),
                  CrashVerdict::Suspect},
        CrashCase{"TwoCrashes",
                  {{seconds(0), crash("u1", "d", {1})},
                   {seconds(2), crash("u2", "d", {1})}},
                  seconds(3),
                  CrashVerdict::Refuse},
        CrashCase{"TwoDomainsAtOnce",
                  {{seconds(0), crash("u1", "d1", {1})},
                   {seconds(0), crash("u2", "d2", {1})}},
                  seconds(3),
                  CrashVerdict::Refuse},
        CrashCase{"DomainFault",
                  {{seconds(0), crash("u1", "d", {1})},
                   {milliseconds(900), crash("u2", "d", {1})}},
                  seconds(1),
                  CrashVerdict::Clear},
        CrashCase{"DomainFaultHeardLate",
                  {{seconds(0), crash("u1", "d", {1})},
                   {seconds(5), crash("u2", "d", {2}, milliseconds(4500))}},
                  seconds(6),
                  CrashVerdict::Clear},
        CrashCase{"RetriedWithinDomainWindow",
                  {{seconds(0), crash("u1", "d", {1})},
                   {milliseconds(500),
                    crash("u2", "d", {1}, Duration{}, milliseconds(400))}},
                  seconds(2),
                  CrashVerdict::Refuse},
        CrashCase{"UnknownDomains",
                  {{seconds(0), crash("u1", "", {1})},
                   {seconds(0), crash("u2", "", {1})}},
                  seconds(1),
                  CrashVerdict::Refuse},
        CrashCase{"RefusedForTenMinutes",
                  {{seconds(0), crash("u1", "d", {1})},
                   {seconds(500), crash("u2", "d", {1})}},
                  seconds(599),
                  CrashVerdict::Refuse},
        CrashCase{"Expired",
                  {{seconds(0), crash("u1", "d", {1})}},
                  seconds(600),
                  CrashVerdict::Clear}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against memory that grows with the number of crashes.
TEST(CrashSuspectsTest, DropsOldestCrashesWhenFull) {
  CrashSuspects Suspects;
  Suspects.Settings.MaxCrashes = 50;
  Suspects.Settings.MaxFingerprints = 300;
  for (std::uint64_t I = 0; I < 400; ++I)
    recordCrash(Suspects,
                crash("u" + std::to_string(I), "", {I, I + 1, I + 2, 7, 8, 9}),
                Start + milliseconds(static_cast<std::int64_t>(I)));
  EXPECT_LE(Suspects.Crashes.size(), 50u);
  EXPECT_LE(Suspects.StoredFingerprints, 300u);
  EXPECT_LE(Suspects.ByFingerprint.size(), 300u);
  EXPECT_EQ(Suspects.ByTime.size(), Suspects.Crashes.size());
  EXPECT_EQ(checkCrashes(Suspects, 401, Start + seconds(1)).Verdict,
            CrashVerdict::Suspect);
}

// ---- a crashing request among innocent ones ----

struct Load {
  Fingerprint Print;
  std::size_t Entry = 0; // that handles the current attempt
  std::optional<int> RunsOn;
  bool AsSuspect = false;
  TimePoint Starts{};
  TimePoint Ends{};
  bool Done = false;
};

struct Outcome {
  int Crashes = 0;
  int Unfinished = 0;
};

// Runs 60 innocent requests and one that crashes its upstream 200 ms after it
// starts, over 20 upstreams in 5 domains. The crasher's caller sends it again
// to any entry 100 ms later, for ever; an innocent request stays with its
// entry. An entry sees a crash that breaks its own requests at once and hears
// of others' after 50 ms: a resend takes two journeys between caller and entry,
// a broadcast one between entries.
Outcome runCrasher(std::uint32_t Seed, const CrashFaults &Faults) {
  constexpr int Upstreams = 20;
  constexpr Fingerprint Crasher = 0;
  std::mt19937 Random(Seed);
  std::vector<CrashSuspects> Entries(4);
  for (CrashSuspects &Each : Entries)
    Each.Settings.Faults = Faults;
  std::vector<Load> Loads;
  for (Fingerprint I = 0; I <= 60; ++I)
    Loads.push_back({I});
  std::vector<int> Boots(Upstreams, 0);
  std::vector<TimePoint> UpAgain(Upstreams, Start);
  std::multimap<TimePoint, std::pair<std::size_t, SuspectBroadcast>> Network;
  Outcome Result;
  auto Crash = [&](int Upstream, TimePoint Now) {
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry) {
      SuspectBroadcast Sent{CrashId{UpstreamId(std::to_string(Upstream)),
                                    BootId(std::to_string(Boots[Upstream]))},
                            DomainId(std::to_string(Upstream % 5))};
      for (Load &Each : Loads) {
        if (Each.RunsOn != Upstream || Each.Done || Each.Entry != Entry)
          continue;
        Sent.InProgress.push_back({Each.Print, Now - Each.Starts});
        Each.RunsOn.reset();
      }
      if (Sent.InProgress.empty())
        continue;
      recordCrash(Entries[Entry], Sent, Now);
      Sent.Age = milliseconds(50);
      for (std::size_t I = 0; I < Entries.size(); ++I)
        if (I != Entry)
          Network.insert({Now + Sent.Age, {I, Sent}});
    }
    ++Boots[Upstream];
    UpAgain[Upstream] = Now + seconds(5);
    ++Result.Crashes;
  };
  for (TimePoint Now = Start; Now < Start + seconds(60);
       Now += milliseconds(50)) {
    while (!Network.empty() && Network.begin()->first <= Now) {
      auto [Entry, Sent] = Network.begin()->second;
      recordCrash(Entries[Entry], Sent, Now);
      Network.erase(Network.begin());
    }
    for (Load &Each : Loads) {
      if (Each.RunsOn && Each.Ends <= Now && !Each.Done) {
        if (Each.Print != Crasher) {
          Each.Done = true;
          continue;
        }
        Crash(*Each.RunsOn, Now);
        Each.Starts = Now + milliseconds(100);
      }
      if (Each.RunsOn || Each.Done || Now < Each.Starts)
        continue;
      Each.Entry =
          (Each.Print == Crasher ? Random() : Each.Print) % Entries.size();
      CrashCheck Check = checkCrashes(Entries[Each.Entry], Each.Print, Now);
      bool Suspect = Check.Verdict == CrashVerdict::Suspect;
      if (Check.Verdict == CrashVerdict::Refuse || Now < Check.Until)
        continue;
      int Target = static_cast<int>(Random() % Upstreams);
      bool Taken = UpAgain[Target] > Now;
      for (const Load &Other : Loads)
        Taken |=
            Suspect && Other.RunsOn == Target && !Other.Done && Other.AsSuspect;
      if (Taken)
        continue;
      Each.RunsOn = Target;
      Each.AsSuspect = Suspect;
      Each.Starts = Now;
      Each.Ends = Now + milliseconds(Each.Print == Crasher ? 200 : 1500);
    }
  }
  for (const Load &Each : Loads)
    Result.Unfinished += Each.Print != Crasher && !Each.Done ? 1 : 0;
  return Result;
}

// Guards against a request that takes down one upstream after the other, and
// against its neighbours being refused with it.
TEST(CrashSuspectsTest, StopsCrashingRequestAfterTwoUpstreams) {
  for (std::uint32_t Seed = 1; Seed <= 100; ++Seed) {
    Outcome Result = runCrasher(Seed, {});
    ASSERT_LE(Result.Crashes, 2) << "seed " << Seed;
    ASSERT_EQ(Result.Unfinished, 0) << "seed " << Seed;
  }
}

// Guards against a check that can't fail.
TEST(CrashSuspectsTest, LosesMoreUpstreamsWhenNothingIsRefused) {
  CrashFaults Faults;
  Faults.NeverRefuse = true;
  EXPECT_GT(runCrasher(1, Faults).Crashes, 2);
}

// Guards against a domain fault that refuses every request it interrupted.
TEST(CrashSuspectsTest, RefusesAfterDomainFaultOnlyWithoutDomainRule) {
  for (bool NoDomainRule : {false, true}) {
    CrashSuspects Suspects;
    Suspects.Settings.Faults.NoDomainRule = NoDomainRule;
    for (int I = 0; I < 8; ++I)
      recordCrash(Suspects, crash("u" + std::to_string(I), "d", {1}),
                  Start + milliseconds(100) * I);
    EXPECT_EQ(checkCrashes(Suspects, 1, Start + seconds(2)).Verdict,
              NoDomainRule ? CrashVerdict::Refuse : CrashVerdict::Clear);
  }
}

} // namespace
} // namespace samphirehill
