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
  for (Fingerprint Request : InProgress)
    Sent.InProgress.push_back({Request, RunningFor});
  return Sent;
}

struct CrashCase {
  const char *Name;
  // Broadcasts recorded, by time after Start.
  std::vector<std::pair<Duration, SuspectBroadcast>> Recorded;
  Duration CheckedAt;   // after Start
  CrashVerdict Verdict; // expected for fingerprint 1
};

std::ostream &operator<<(std::ostream &Out, const CrashCase &Case) {
  return Out << Case.Name;
}

class CrashVerdictTest : public testing::TestWithParam<CrashCase> {};

// Guards against refusing innocent requests after a domain fault, and against
// admitting a request that crashes upstreams again.
TEST_P(CrashVerdictTest, RefusesRequestAfterTwoDistinctCrashes) {
  CrashSuspects Suspects;
  for (const auto &[After, Broadcast] : GetParam().Recorded)
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
        CrashCase{"DomainFaultReportedLate",
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

// A request and its current attempt.
struct Load {
  Fingerprint Request;
  std::size_t Entry = 0;     // that handles the attempt
  std::optional<int> RunsOn; // upstream
  bool AsSuspect = false;    // runs with a suspect credit
  TimePoint Starts{};
  TimePoint Ends{};
  bool Done = false;
};

struct Outcome {
  int Crashes = 0;
  int Unfinished = 0;
};

// Simulates 60 innocent requests and one that crashes its upstream 200 ms after
// it starts, on 20 upstreams in 5 domains. The caller of the crashing request
// resends it to a random entry 100 ms after each crash, without end; an
// innocent request stays with its entry. An entry detects a crash that
// interrupts its own requests at once and receives the broadcasts of other
// entries after 50 ms: a resend takes two transfers between caller and entry, a
// broadcast one transfer between entries.
Outcome runCrasher(std::uint32_t Seed, const CrashFaults &Faults) {
  constexpr int Upstreams = 20;
  constexpr Fingerprint Crasher = 0;
  std::mt19937 Random(Seed);
  std::vector<CrashSuspects> Entries(4);
  for (CrashSuspects &Suspects : Entries)
    Suspects.Settings.Faults = Faults;
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
      for (Load &Current : Loads) {
        if (Current.RunsOn != Upstream || Current.Done ||
            Current.Entry != Entry)
          continue;
        Sent.InProgress.push_back({Current.Request, Now - Current.Starts});
        Current.RunsOn.reset();
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
    for (Load &Current : Loads) {
      if (Current.RunsOn && Current.Ends <= Now && !Current.Done) {
        if (Current.Request != Crasher) {
          Current.Done = true;
          continue;
        }
        Crash(*Current.RunsOn, Now);
        Current.Starts = Now + milliseconds(100);
      }
      if (Current.RunsOn || Current.Done || Now < Current.Starts)
        continue;
      Current.Entry =
          (Current.Request == Crasher ? Random() : Current.Request) %
          Entries.size();
      CrashCheck Check =
          checkCrashes(Entries[Current.Entry], Current.Request, Now);
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
      Current.RunsOn = Target;
      Current.AsSuspect = Suspect;
      Current.Starts = Now;
      Current.Ends =
          Now + milliseconds(Current.Request == Crasher ? 200 : 1500);
    }
  }
  for (const Load &Current : Loads)
    Result.Unfinished += Current.Request != Crasher && !Current.Done ? 1 : 0;
  return Result;
}

// Guards against a request that crashes one upstream after the other, and
// against refusing requests that were in progress beside it.
TEST(CrashSuspectsTest, StopsCrashingRequestAfterTwoUpstreams) {
  for (std::uint32_t Seed = 1; Seed <= 100; ++Seed) {
    Outcome Result = runCrasher(Seed, {});
    ASSERT_LE(Result.Crashes, 2) << "seed " << Seed;
    ASSERT_EQ(Result.Unfinished, 0) << "seed " << Seed;
  }
}

// Guards against a check of the number of crashes that can't fail.
TEST(CrashSuspectsTest, LosesMoreUpstreamsWhenNothingIsRefused) {
  CrashFaults Faults;
  Faults.NeverRefuse = true;
  EXPECT_GT(runCrasher(1, Faults).Crashes, 2);
}

// Guards against refusing the requests that a domain fault interrupted, and
// against a check of the domain rule that can't fail.
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
