// Tests when a watch plan calls the store, among others for all orders of a few
// events.
#include "samphirehill/Serving/WatchPlan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace samphirehill::serving {
namespace {

constexpr Duration Step = milliseconds(100);
// A call that gets no answer fails after this.
constexpr Duration CallTimeout = milliseconds(700);
// The longest time for which a watch may make no calls while no relay sends the
// changes.
constexpr Duration MaxIdleTime = milliseconds(1'000);

enum class TestEvent {
  RelayUp,      // a relay sends the changes
  RelayDown,    // no relay sends the changes
  StoreUp,      // calls are answered
  StoreDown,    // calls fail
  StoreSilent,  // calls get no answer
  NewerVersion, // another entry reports a newer version
  Suspension,   // the process is suspended for three seconds
  Restored,     // the store was restored from a copy
};
constexpr std::array AllEvents{TestEvent::RelayUp,     TestEvent::RelayDown,
                               TestEvent::StoreUp,     TestEvent::StoreDown,
                               TestEvent::StoreSilent, TestEvent::NewerVersion,
                               TestEvent::Suspension,  TestEvent::Restored};

// Two watches of an entry: the second leaves it to the first to find out when
// the store recovers. Time advances in steps. The entry reconciles its watches
// in each second step, and a call is answered in the step after it was made.
class WatchSimulation {
public:
  void apply(TestEvent Happened) {
    switch (Happened) {
    case TestEvent::RelayUp:
      RelayActive = true;
      break;
    case TestEvent::RelayDown:
      RelayActive = false;
      break;
    case TestEvent::StoreUp:
    case TestEvent::StoreDown:
    case TestEvent::StoreSilent:
      Store = Happened;
      break;
    case TestEvent::NewerVersion:
      refreshAll();
      break;
    case TestEvent::Suspension:
      Now += seconds(3);
      break;
    case TestEvent::Restored:
      for (Watch &Each : Watches)
        follow(Each, noteRestored(Each.Plan));
      break;
    }
  }

  void runStep() {
    Now += Step;
    for (Watch &Each : Watches) {
      if (Each.Due != TimePoint{} && Now >= Each.Due)
        startCall(Each);
      else if (Each.Call != WatchCall::None)
        answerCall(Each);
    }
    if (++Steps % 2 == 0)
      reconcileAll();
    for (Watch &Each : Watches) {
      bool Active = RelayActive || Each.Due != TimePoint{} ||
                    Each.Call != WatchCall::None;
      if (Active)
        Each.LastActiveAt = Now;
    }
  }

  // Returns the longest time for which a watch has now made no calls while no
  // relay sent the changes.
  Duration longestIdleTime() const {
    Duration Longest{};
    for (const Watch &Each : Watches)
      Longest = std::max(Longest, Now - Each.LastActiveAt);
    return Longest;
  }

  // Returns whether a watch has no list of the store's present era.
  bool lacksList() const {
    return std::any_of(Watches.begin(), Watches.end(),
                       [](const Watch &Each) { return Each.Plan.Restored; });
  }

private:
  struct Watch {
    WatchPlan Plan;
    WatchCall Call = WatchCall::List; // in progress
    TimePoint CalledAt{};
    WatchCall Next = WatchCall::None; // to be made at Due
    TimePoint Due{};
    TimePoint LastActiveAt{};
  };

  WatchView view(const Watch &Viewed) const {
    bool Defer = &Viewed == &Watches[1] && !Watches[0].Plan.LastCallAnswered;
    return {Now, RelayActive, Defer, milliseconds(200)};
  }

  void follow(Watch &Each, const WatchStep &NextStep) {
    if (NextStep.Call == WatchCall::None)
      return;
    Each.Call = WatchCall::None;
    Each.Next = NextStep.Call;
    Each.Due = Now + NextStep.After;
    if (NextStep.After == Duration::zero())
      startCall(Each);
  }

  void startCall(Watch &Each) {
    notePauseOver(Each.Plan, Each.Next);
    Each.Call = std::exchange(Each.Next, WatchCall::None);
    Each.Due = TimePoint{};
    Each.CalledAt = Now;
  }

  void answerCall(Watch &Each) {
    bool Unanswered =
        Store == TestEvent::StoreSilent && Now - Each.CalledAt < CallTimeout;
    if (Unanswered)
      return;
    WatchCall Done = std::exchange(Each.Call, WatchCall::None);
    if (Store != TestEvent::StoreUp)
      return follow(Each, noteFailure(Each.Plan, view(Each)));
    int Failures = Each.Plan.Failures;
    follow(Each, Done == WatchCall::List
                     ? noteList(Each.Plan, 1, view(Each))
                     : noteChanges(Each.Plan, 1, true, view(Each)));
    if (Failures > 0)
      refreshAll(&Each);
  }

  void refreshAll(const Watch *Except = nullptr) {
    for (Watch &Each : Watches) {
      if (&Each != Except)
        follow(Each, refresh(Each.Plan, view(Each)));
    }
  }

  // The periodic work of an entry.
  void reconcileAll() {
    for (Watch &Each : Watches)
      follow(Each, reconcile(Each.Plan, view(Each)));
  }

  std::array<Watch, 2> Watches;
  TimePoint Now{seconds(10)};
  TestEvent Store = TestEvent::StoreUp;
  bool RelayActive = false;
  int Steps = 0;
};

std::string describe(const std::vector<TestEvent> &Order) {
  std::ostringstream Out;
  for (TestEvent Each : Order)
    Out << static_cast<int>(Each) << " ";
  return Out.str();
}

// Tries all sequences of up to Left more events after Order, with one step or
// none between events. Returns the first sequence after which a watch stays
// idle for longer than MaxIdleTime without a relay, or goes on from a revision
// of before the store was restored; empty if there is none.
std::vector<TestEvent> findIdleWatch(const WatchSimulation &Simulation,
                                     std::vector<TestEvent> Order, int Left) {
  WatchSimulation Recovered = Simulation;
  // From here on the store answers and nothing else changes.
  Recovered.apply(TestEvent::StoreUp);
  for (TimePoint Begin{}; Begin < TimePoint{seconds(4)}; Begin += Step)
    Recovered.runStep();
  if (Recovered.longestIdleTime() > MaxIdleTime || Recovered.lacksList())
    return Order;
  if (Left == 0)
    return {};
  for (TestEvent Each : AllEvents) {
    for (bool StepBetween : {false, true}) {
      WatchSimulation Next = Simulation;
      Next.apply(Each);
      if (StepBetween)
        Next.runStep();
      std::vector<TestEvent> Extended = Order;
      Extended.push_back(Each);
      std::vector<TestEvent> Found = findIdleWatch(Next, Extended, Left - 1);
      if (!Found.empty())
        return Found;
    }
  }
  return {};
}

// Incident CONFIG: a watch that followed a relay made no more calls although
// the relay had stopped sending changes.
TEST(WatchPlanTest, ResumesIdleWatchForAnyOrderOfEvents) {
  std::vector<TestEvent> Found = findIdleWatch(WatchSimulation(), {}, 5);
  EXPECT_TRUE(Found.empty())
      << "a watch stays idle after the events " << describe(Found);
}

// Incident CONFIG: the watch of the configuration waited for the watch of the
// instances to find the store recovered, but that watch kept failing because it
// could not read its answers.
TEST(WatchPlanTest, ResumesCallsWhenOtherWatchKeepsFailing) {
  WatchPlan Plan;
  TimePoint Now{seconds(10)};
  noteList(Plan, 1, {Now, false, false, {}});
  WatchView Deferring{Now, false, true, {}};
  EXPECT_EQ(noteFailure(Plan, Deferring).Call, WatchCall::None);
  while (Deferring.Now < Now + MaxIdleTime &&
         reconcile(Plan, Deferring).Call == WatchCall::None)
    Deferring.Now += Step;
  EXPECT_LT(Deferring.Now, Now + MaxIdleTime);
}

TEST(WatchPlanTest, GetsAnswersFromSlowStoreWhenRefreshedOften) {
  constexpr Duration AnswerDelay = milliseconds(500);
  constexpr Duration RefreshPeriod = milliseconds(300);
  WatchPlan Plan;
  WatchView View{TimePoint{seconds(10)}, false, false, {}};
  noteList(Plan, 1, View);
  TimePoint CalledAt = View.Now;
  int Answers = 0;
  for (Duration Elapsed{}; Elapsed < seconds(3); Elapsed += Step) {
    View.Now += Step;
    if (View.Now - CalledAt >= AnswerDelay) {
      noteChanges(Plan, 2, true, View);
      CalledAt = View.Now;
      ++Answers;
    }
    if (Elapsed % RefreshPeriod == Duration::zero() &&
        refresh(Plan, View).Call != WatchCall::None)
      CalledAt = View.Now;
  }
  EXPECT_GE(Answers, 4);
}

TEST(WatchPlanTest, CallsAgainWhenRefreshedDuringCall) {
  WatchPlan Plan;
  WatchView View{TimePoint{seconds(10)}, true, false, {}};
  EXPECT_EQ(refresh(Plan, View), WatchStep{});
  EXPECT_EQ(noteList(Plan, 1, View).Call, WatchCall::ShortWatch);
  EXPECT_EQ(refresh(Plan, View), WatchStep{});
  EXPECT_EQ(noteChanges(Plan, 2, false, View).Call, WatchCall::ShortWatch);
  EXPECT_EQ(noteChanges(Plan, 2, false, View), WatchStep{});
  EXPECT_EQ(Plan.Phase, WatchPhase::FollowingRelay);
}

} // namespace
} // namespace samphirehill::serving
