#include "samphirehill/Limits/Credits.h"

#include <gtest/gtest.h>

#include <deque>
#include <variant>

namespace samphirehill {
namespace {

const UpstreamId Engine("u");
const TimePoint Start{seconds(1000)};

// A home "h" and borrowers, on a network that neither loses nor delays
// messages.
class CreditHomeTest : public testing::Test {
protected:
  TimePoint Now = Start;
  CreditHome Home{EntryId("h")};
  std::map<EntryId, CreditWallet> Wallets;
  std::deque<std::variant<CreditReport, CreditGrant>> Messages;

  void addEntries(const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      Wallets[EntryId(Name)] = CreditWallet{EntryId(Name), 1, Start};
  }
  HomeOpening opening(int Limit) {
    HomeOpening Opening;
    Opening.Upstream = Engine;
    Opening.Boot = BootId("b1");
    Opening.ColdLimit = 1;
    Opening.WarmLimit = Opening.StartLimit = Opening.HighestLimit = Limit;
    Opening.FirstHome = true;
    for (const auto &[Entry, Wallet] : Wallets)
      Opening.Borrowers.Zone.push_back(Entry);
    return Opening;
  }
  void send(const HomeActions &Grants) {
    Messages.insert(Messages.end(), Grants.begin(), Grants.end());
  }
  void send(const WalletActions &Actions) {
    Messages.insert(Messages.end(), Actions.Reports.begin(),
                    Actions.Reports.end());
  }
  void deliver() {
    while (!Messages.empty()) {
      auto Next = Messages.front();
      Messages.pop_front();
      if (const auto *Report = std::get_if<CreditReport>(&Next))
        send(receiveReport(Home, *Report, Now));
      else if (const auto *Grant = std::get_if<CreditGrant>(&Next))
        if (auto To = Wallets.find(Grant->To); To != Wallets.end())
          send(receiveGrant(To->second, *Grant, Now));
    }
  }
  void tick(Duration Step) {
    Now += Step;
    send(tickHome(Home, Now));
    for (auto &[Entry, Wallet] : Wallets)
      send(tickWallet(Wallet, Now));
    deliver();
  }
  CreditWallet &wallet(const std::string &Name) {
    return Wallets[EntryId(Name)];
  }
  void want(const std::string &Name, CreditCount Count) {
    send(setWantedCredits(wallet(Name), Engine, Count, Now));
    deliver();
  }
  int takeAll(const std::string &Name) {
    int Taken = 0;
    while (takeCredit(wallet(Name), Engine, false, Now))
      ++Taken;
    return Taken;
  }
  CreditLedger &ledger() { return Home.Ledgers[Engine]; }
  int outstanding() { return outstandingCredits(ledger()).total(); }
};

// Guards against an entry that holds no credit and so can't serve when it later
// loses contact with the home.
TEST_F(CreditHomeTest, LendsReserveToEachEntryWhenLimitAllows) {
  addEntries({"a", "b", "h"});
  send(openHome(Home, opening(8), Now));
  deliver();
  for (const char *Name : {"a", "b", "h"})
    EXPECT_EQ(wallet(Name).Holdings[Engine].Idle.Normal, 1) << Name;
  tick(seconds(5));
  EXPECT_EQ(outstanding(), 3);
}

// Guards against a borrower that takes more than its cap, and against a home
// that takes the reserves of other entries.
TEST_F(CreditHomeTest, KeepsBorrowerBelowCapAndHomeBelowReserves) {
  addEntries({"a", "b", "h"});
  send(openHome(Home, opening(8), Now));
  deliver();
  want("a", {20, 0});
  EXPECT_EQ(takeAll("a"), borrowerCap(8));
  want("h", {20, 0});
  EXPECT_EQ(takeAll("h"), 8 - borrowerCap(8) - 1);
  EXPECT_EQ(takeAll("b"), 1);
}

// Guards against credits that stay with an entry which doesn't use them.
TEST_F(CreditHomeTest, TakesBackIdleCreditsAfterOneSecond) {
  addEntries({"a", "h"});
  send(openHome(Home, opening(16), Now));
  deliver();
  want("a", {4, 0});
  want("a", {0, 0});
  EXPECT_EQ(wallet("a").Holdings[Engine].Idle.Normal, 4);
  tick(milliseconds(900));
  EXPECT_EQ(wallet("a").Holdings[Engine].Idle.Normal, 4);
  tick(milliseconds(200));
  EXPECT_EQ(wallet("a").Holdings[Engine].Idle.Normal, 1);
  EXPECT_EQ(outstanding(), 2);
}

// Guards against one entry that keeps the only credit while other entries wait.
TEST_F(CreditHomeTest, SharesSingleCreditAmongBusyEntries) {
  addEntries({"a", "b", "c"});
  send(openHome(Home, opening(1), Now));
  deliver();
  std::map<std::string, int> Calls;
  for (int I = 0; I < 300; ++I) {
    for (const char *Name : {"a", "b", "c"}) {
      want(Name, {5, 0});
      std::optional<Credit> Used = takeCredit(wallet(Name), Engine, false, Now);
      if (!Used)
        continue;
      ++Calls[Name];
      tick(milliseconds(10));
      send(releaseCredit(wallet(Name), *Used, Now));
      deliver();
    }
  }
  for (const char *Name : {"a", "b", "c"})
    EXPECT_GT(Calls[Name], 90) << Name;
}

// Guards against loss of the evidence that an upstream is cold when the report
// of it and another recall are in transit at the same time.
TEST_F(CreditHomeTest, RecallsToColdLimitWhenBorrowerSeesReset) {
  addEntries({"a", "h"});
  send(openHome(Home, opening(8), Now));
  deliver();
  want("a", {2, 0});
  std::optional<Credit> Used = takeCredit(wallet("a"), Engine, false, Now);
  ASSERT_TRUE(Used);
  WalletActions Lost = reportColdUpstream(
      wallet("a"), *Used, {ColdCause::ConnectionReset, BootId()}, Now);
  EXPECT_EQ(Lost.Reports.size(), 1u);
  EXPECT_FALSE(takeCredit(wallet("a"), Engine, false, Now));
  send(recordOverload(Home, Engine, Now));
  deliver();
  EXPECT_EQ(ledger().Limit, 4);
  tick(milliseconds(500));
  EXPECT_EQ(ledger().Limit, 1);
  // The call in progress counts until it ends.
  EXPECT_EQ(outstanding(), 1);
  EXPECT_EQ(takeAll("a") + takeAll("h"), 0);
  send(releaseCredit(wallet("a"), *Used, Now));
  deliver();
  EXPECT_EQ(takeAll("a") + takeAll("h"), 1);
}

// Guards against a ramp that takes more than one step at a time or exceeds the
// warm limit, and against overload that lowers the limit below the cold one.
TEST_F(CreditHomeTest, RampsByFactorAndHalvesOnOverload) {
  addEntries({"h"});
  HomeOpening Opening = opening(10);
  Opening.ColdLimit = Opening.StartLimit = 2;
  send(openHome(Home, Opening, Now));
  std::vector<int> Limits;
  for (int I = 0; I < 6; ++I) {
    Now += seconds(1);
    recordHealthy(Home, Engine, Now);
    recordHealthy(Home, Engine, Now + milliseconds(1));
    Limits.push_back(ledger().Limit);
  }
  EXPECT_EQ(Limits, (std::vector<int>{3, 5, 8, 10, 10, 10}));
  Limits.clear();
  for (int I = 0; I < 4; ++I) {
    Now += seconds(1);
    recordOverload(Home, Engine, Now);
    recordOverload(Home, Engine, Now + milliseconds(1));
    Limits.push_back(ledger().Limit);
  }
  EXPECT_EQ(Limits, (std::vector<int>{5, 2, 2, 2}));
}

struct GoneCase {
  const char *Name;
  Duration ReportAt; // engine report, after the confirmation; negative: none
  std::vector<std::string> Running; // request ids in the engine report
  Duration Passed;                  // from the confirmation to the check
  int Counted;                      // credits expected to be counted
};

std::ostream &operator<<(std::ostream &Out, const GoneCase &Case) {
  return Out << Case.Name;
}

class GoneTest : public CreditHomeTest,
                 public testing::WithParamInterface<GoneCase> {};

// Guards against lending credits again that calls of a gone entry still use.
TEST_P(GoneTest, CountsCallsOfGoneEntryUntilTheyEnd) {
  addEntries({"a", "h"});
  send(openHome(Home, opening(12), Now));
  deliver();
  want("a", {3, 0});
  ASSERT_EQ(takeAll("a"), 3);
  Wallets.erase(EntryId("a"));
  send(recordEntryGone(Home, EntryId("a"), Now));
  TimePoint Confirmed = Now;
  if (GetParam().ReportAt >= Duration{}) {
    std::vector<RequestId> Running;
    for (const std::string &Id : GetParam().Running)
      Running.emplace_back(Id);
    Now = Confirmed + GetParam().ReportAt;
    send(receiveEngineReport(Home, Engine, Running, Now, Now));
  }
  tick(Confirmed + GetParam().Passed - Now);
  EXPECT_EQ(outstanding() - 1, GetParam().Counted); // 1: the home's reserve
}

INSTANTIATE_TEST_SUITE_P(
    Reports, GoneTest,
    testing::Values(GoneCase{"NoReport", seconds(-1), {}, seconds(119), 3},
                    GoneCase{"Drained", seconds(-1), {}, seconds(120), 0},
                    GoneCase{
                        "EarlyReport", milliseconds(999), {}, seconds(2), 3},
                    GoneCase{"NoneRuns", seconds(1), {}, seconds(2), 0},
                    GoneCase{"TwoRun",
                             seconds(1),
                             {"a.1.7", "a.1.8", "h.1.1", "a.12.1"},
                             seconds(2),
                             2}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against a new home that ignores the credits of entries which it can't
// reach or doesn't know.
TEST_F(CreditHomeTest, CountsUnreachableAndUnknownBorrowersAtTakeover) {
  addEntries({"h"});
  HomeOpening Opening = opening(40);
  Opening.FirstHome = false;
  Opening.Epoch = 2;
  Opening.PastIsComplete = false;
  Opening.Borrowers.Zone.push_back(EntryId("cut-off"));
  Opening.Past.push_back({EntryId("old"), 5, Now, true});
  send(openHome(Home, Opening, Now));
  deliver();
  EXPECT_EQ(takeAll("h"), 0);
  Now += seconds(2);
  send(receiveEngineReport(
      Home, Engine, {RequestId("old.5.1"), RequestId("x.3.9")}, Now, Now));
  deliver();
  // The cap of the unreachable entry, one call of the old home, one call of the
  // unknown entry, and the reserve of the new home.
  EXPECT_EQ(outstanding(), borrowerCap(40) + 1 + 1 + 1);
  want("h", {100, 0});
  EXPECT_EQ(takeAll("h"), 40 - borrowerCap(40) - 2);
}

// Guards against a call of an unknown entry that isn't counted because a call
// of another entry matches two records of gone incarnations.
TEST_F(CreditHomeTest, CountsUnknownCallsBesideTwiceRecordedEntry) {
  addEntries({"h", "r"}); // r was the home as incarnation 5 and restarted
  Wallets[EntryId("r")].SelfIncarnation = 7;
  HomeOpening Opening = opening(8);
  Opening.FirstHome = false;
  Opening.Epoch = 2;
  Opening.PastIsComplete = false;
  Opening.Past.push_back({EntryId("r"), 5, Now, true});
  send(openHome(Home, Opening, Now));
  deliver();
  Now += seconds(2);
  send(receiveEngineReport(Home, Engine,
                           {RequestId("r.5.1"), RequestId("x.3.9")}, Now, Now));
  CreditCount Unknown;
  for (const GoneBorrower &Gone : ledger().Gone)
    Unknown = Unknown + (Gone.Entry.empty() ? Gone.Counted : CreditCount{});
  EXPECT_EQ(Unknown.total(), 1);
}

// Guards against a home that gives up the role while it holds more credits than
// the next home counts for it.
TEST_F(CreditHomeTest, ReleasesOnlyWhenOwnCallsAreBelowCap) {
  addEntries({"a", "h"});
  send(openHome(Home, opening(8), Now));
  deliver();
  want("h", {6, 0});
  std::vector<Credit> Used;
  while (auto One = takeCredit(wallet("h"), Engine, false, Now))
    Used.push_back(*One);
  ASSERT_GT(Used.size(), 3u);
  stopLending(Home, Engine);
  send(returnAllCredits(wallet("h"), Now));
  deliver();
  while (Used.size() > 2) {
    EXPECT_FALSE(canReleaseHome(Home, Engine));
    send(releaseCredit(wallet("h"), Used.back(), Now));
    Used.pop_back();
    deliver();
  }
  EXPECT_TRUE(canReleaseHome(Home, Engine));
  want("a", {5, 0});
  EXPECT_EQ(takeAll("a"), 1);
  releaseHome(Home, Engine);
  EXPECT_EQ(nextHomeTime(Home), DueTimes::Never);
}

// Guards against work per tick that grows with the number of idle upstreams.
TEST_F(CreditHomeTest, HasNoDueWorkForIdleUpstreams) {
  addEntries({"a", "h"});
  for (int I = 0; I < 1300; ++I) {
    HomeOpening Opening = opening(8);
    Opening.Upstream = UpstreamId("u" + std::to_string(I));
    send(openHome(Home, Opening, Now));
  }
  deliver();
  tick(seconds(2));
  EXPECT_EQ(nextHomeTime(Home), DueTimes::Never);
  EXPECT_EQ(nextWalletTime(wallet("a")), DueTimes::Never);
}

// Guards against a limit that stays at the cold limit because the configuration
// is applied at shorter intervals than a ramp step.
TEST_F(CreditHomeTest, RampsWhileTheSameLimitsAreSetAgain) {
  addEntries({"h"});
  HomeOpening Opening = opening(8);
  Opening.StartLimit = 1;
  send(openHome(Home, Opening, Now));
  for (int Step = 0; Step < 100; ++Step) {
    Now += milliseconds(250);
    send(setLimits(Home, Engine, 1, 8, Now));
    send(recordHealthy(Home, Engine, Now));
  }
  EXPECT_EQ(Home.Ledgers.at(Engine).Limit, 8);
}

} // namespace
} // namespace samphirehill
