// Plays seeded histories of engines, some of whose requests hold a part that
// crashes them, to compare rules of blame: how many engines crash, and how many
// sound requests are refused. Engines also crash for other reasons.
#include "samphirehill/Limits/PartSuspects.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>

namespace samphirehill {
namespace {

constexpr Duration Step = milliseconds(10);
constexpr Duration DayLength = seconds(30);
constexpr Duration ReportPeriod = milliseconds(200);
constexpr Duration RestartTime = seconds(3);
constexpr int EntryCount = 8;
constexpr int EngineCount = 24;
constexpr int DomainCount = 6;
constexpr PromptPart BadPart = 1'000'000;

enum class BadPlace { Last, Middle, First };

struct Scenario {
  BadPlace Place = BadPlace::Middle;
  double BadShare = 0.05;    // of the requests
  bool DomainLosses = false; // two domains lose power
};

struct Rule {
  const char *Name;
  SuspectSettings Settings;
  bool UsesProofs = true;
  bool Oracle = false; // knows the part after the first crash
};

struct Figures {
  int Crashes = 0;      // of engines, caused by the part
  int SoundRefused = 0; // requests
  int Sound = 0;

  Figures &operator+=(const Figures &Other) {
    Crashes += Other.Crashes;
    SoundRefused += Other.SoundRefused;
    Sound += Other.Sound;
    return *this;
  }
};

struct ModelRequest {
  int Entry = 0;
  bool Bad = false;
  std::vector<PromptPart> Parts;
  TimePoint BeginsAt{};
  TimePoint EndsAt{};
  int Attempts = 1;
  bool Proved = false;
};

struct ModelEngine {
  std::int64_t Life = 1;
  TimePoint BackAt{};
  std::vector<ModelRequest> Running;
};

class Model {
public:
  Model(const Rule &Played, const Scenario &Day, unsigned Seed)
      : Played(Played), Day(Day), Random(Seed), Engines(EngineCount),
        Entries(EntryCount) {
    for (PartSuspects &Each : Entries)
      Each.Settings = Played.Settings;
  }

  Figures play() {
    for (; Now < TimePoint{} + seconds(100) + DayLength; Now += Step) {
      if (draw() < 0.6) // 60 requests a second
        arrive();
      if (Day.DomainLosses && (at(seconds(8)) || at(seconds(20))))
        loseDomain(at(seconds(8)) ? 1 : 4);
      for (int Engine = 0; Engine < EngineCount; ++Engine)
        advance(Engine);
      if ((Now.time_since_epoch() % ReportPeriod).count() == 0)
        exchangeReports();
    }
    return Counted;
  }

private:
  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }
  int drawBelow(int Bound) {
    return std::uniform_int_distribution<int>(0, Bound - 1)(Random);
  }
  PromptPart drawPart(PromptPart First, int Count) {
    return First + static_cast<PromptPart>(drawBelow(Count));
  }
  bool at(Duration After) const {
    return Now == TimePoint{} + seconds(100) + After;
  }

  // The beginnings of the prompts are shared by about four requests a second,
  // the parts after it by one in 40 s.
  std::vector<PromptPart> drawParts(bool Bad) {
    PromptPart First = drawPart(1, 16);
    PromptPart Middle = drawPart(100, 200);
    PromptPart Last = drawPart(1'000, 2'400);
    if (!Bad)
      return {First, Middle, Last};
    if (Day.Place == BadPlace::First)
      return {BadPart, Middle, Last};
    if (Day.Place == BadPlace::Middle)
      return {3, BadPart, Last};
    return {3, 103, BadPart};
  }

  bool isRefused(const ModelRequest &Request) {
    if (Played.Oracle)
      return Request.Bad && Counted.Crashes > 0;
    auto &Suspects = Entries[static_cast<std::size_t>(Request.Entry)];
    return blamedPart(Suspects, Request.Parts).has_value();
  }

  void arrive() {
    ModelRequest Request;
    Request.Entry = drawBelow(EntryCount);
    Request.Bad = draw() < Day.BadShare;
    Request.Parts = drawParts(Request.Bad);
    Counted.Sound += !Request.Bad;
    send(std::move(Request));
  }

  void send(ModelRequest Request) {
    if (isRefused(Request)) {
      Counted.SoundRefused += !Request.Bad;
      return;
    }
    std::vector<int> Up;
    for (int Engine = 0; Engine < EngineCount; ++Engine) {
      if (Engines[static_cast<std::size_t>(Engine)].BackAt <= Now)
        Up.push_back(Engine);
    }
    if (Up.empty())
      return;
    int Chosen =
        Up[static_cast<std::size_t>(drawBelow(static_cast<int>(Up.size())))];
    Request.BeginsAt = Now + milliseconds(150 + drawBelow(300));
    Request.EndsAt = Request.BeginsAt + milliseconds(500 + drawBelow(2'000));
    Request.Proved = false;
    Engines[static_cast<std::size_t>(Chosen)].Running.push_back(
        std::move(Request));
  }

  void advance(int Number) {
    ModelEngine &Engine = Engines[static_cast<std::size_t>(Number)];
    constexpr Duration CrashDelay = milliseconds(50);
    for (const ModelRequest &Each : Engine.Running) {
      if (!Each.Bad || Now < Each.BeginsAt + CrashDelay)
        continue;
      ++Counted.Crashes;
      crash(Number);
      return;
    }
    for (ModelRequest &Each : Engine.Running) {
      if (Each.Proved || !Played.UsesProofs ||
          Now < Each.BeginsAt + Played.Settings.SurvivalTime)
        continue;
      Each.Proved = true;
      noteProof(Entries[static_cast<std::size_t>(Each.Entry)], Each.Parts,
                Each.BeginsAt, Now);
    }
    std::erase_if(Engine.Running,
                  [&](const ModelRequest &Each) { return Now >= Each.EndsAt; });
  }

  void crash(int Number) {
    ModelEngine &Engine = Engines[static_cast<std::size_t>(Number)];
    std::vector<ModelRequest> Lost = std::exchange(Engine.Running, {});
    Engine.BackAt = Now + RestartTime;
    EngineCrash Seen{{UpstreamId(std::to_string(Number)),
                      BootId(std::to_string(Engine.Life++))},
                     std::to_string(Number % DomainCount),
                     Now,
                     {}};
    for (const ModelRequest &Each : Lost) {
      Seen.Prompts.clear();
      if (Now < Each.BeginsAt + Played.Settings.SurvivalTime)
        Seen.Prompts.push_back(Each.Parts);
      noteCrash(Entries[static_cast<std::size_t>(Each.Entry)], Seen, Now);
    }
    exchangeReports(); // a crash is reported at once
    for (ModelRequest &Each : Lost) {
      if (Each.Attempts++ < 2)
        send(std::move(Each));
    }
  }

  void loseDomain(int Domain) {
    for (int Engine = Domain; Engine < EngineCount; Engine += DomainCount)
      crash(Engine);
  }

  // One report in ten is lost.
  void exchangeReports() {
    for (const PartSuspects &From : Entries) {
      SuspectReport Report = suspectReport(From, Now);
      for (PartSuspects &To : Entries) {
        if (&To != &From && draw() > 0.1)
          applySuspects(To, Report, Now);
      }
    }
  }

  const Rule &Played;
  Scenario Day;
  std::minstd_rand Random;
  std::vector<ModelEngine> Engines;
  std::vector<PartSuspects> Entries;
  TimePoint Now{seconds(100)};
  Figures Counted;
};

constexpr unsigned SeedCount = 12;

Rule rule(const char *Name, int BlameAfter) {
  Rule Made{Name, {}};
  Made.Settings.BlameAfter = BlameAfter;
  return Made;
}

Rule oracle() {
  Rule Made{"oracle", {}};
  Made.Oracle = true;
  return Made;
}

Rule withoutProofs() {
  Rule Made{"three crashes, no proofs", {}};
  Made.UsesProofs = false;
  return Made;
}

Rule withoutDomains() {
  Rule Made{"three crashes, domains not counted as one", {}};
  Made.Settings.DomainWindow = Duration(-1);
  return Made;
}

Figures playAll(const Rule &Played, const Scenario &Day, int *MostCrashes) {
  Figures Sum;
  for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
    Figures Of = Model(Played, Day, Seed).play();
    if (MostCrashes)
      *MostCrashes = std::max(*MostCrashes, Of.Crashes);
    Sum += Of;
  }
  return Sum;
}

struct NamedScenario {
  const char *Name;
  Scenario Day;
};

const NamedScenario Scenarios[] = {
    {"Last", {BadPlace::Last}},
    {"Middle", {BadPlace::Middle}},
    {"First", {BadPlace::First}},
    {"BesideDomainLosses", {BadPlace::Middle, 0.05, true}},
    {"DomainLossesOnly", {BadPlace::Middle, 0.0, true}},
};

class PartSuspectsModelTest : public testing::TestWithParam<NamedScenario> {};

// The operators bound what is sent after the fifth crash; a trial may cause one
// more.
TEST_P(PartSuspectsModelTest, FindsPartWithFewCrashesAndSparesSoundRequests) {
  int MostCrashes = 0;
  Figures Seen =
      playAll(rule("three crashes", 3), GetParam().Day, &MostCrashes);
  EXPECT_LE(MostCrashes, 8);
  EXPECT_LE(Seen.SoundRefused, Seen.Sound / 100);
}

// Shows what each element of the rule is worth.
TEST_P(PartSuspectsModelTest, ComparesRules) {
  Rule Rules[] = {oracle(),
                  rule("two crashes", 2),
                  rule("three crashes", 3),
                  rule("four crashes", 4),
                  withoutProofs(),
                  withoutDomains()};
  for (const Rule &Each : Rules) {
    Figures Seen = playAll(Each, GetParam().Day, nullptr);
    std::printf("%-18s %-42s crashes %5.1f  sound refused %6.2f%%\n",
                GetParam().Name, Each.Name,
                static_cast<double>(Seen.Crashes) / SeedCount,
                100.0 * Seen.SoundRefused / Seen.Sound);
  }
  Figures Chosen = playAll(rule("three crashes", 3), GetParam().Day, nullptr);
  Figures NoProofs = playAll(withoutProofs(), GetParam().Day, nullptr);
  EXPECT_LE(Chosen.SoundRefused, NoProofs.SoundRefused);
}

INSTANTIATE_TEST_SUITE_P(Histories, PartSuspectsModelTest,
                         testing::ValuesIn(Scenarios),
                         [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace samphirehill
