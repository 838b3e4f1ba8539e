// When the store is asked for changes, in all orders of a few events.
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
// A call whose answer is lost fails after this.
constexpr Duration CallLimit = milliseconds(700);
// The longest that an entry may neither be told nor ask.
constexpr Duration UnattendedLimit = milliseconds(1'000);

enum class Happening {
  Told,       // a relay is heard
  NotTold,    // it is not
  StoreUp,    // calls are answered
  StoreDown,  // calls fail
  StoreMute,  // calls get no answer
  News,       // another entry has a newer version
  Suspension, // the process stands still for three seconds
};
constexpr std::array AllHappenings{Happening::Told,      Happening::NotTold,
                                   Happening::StoreUp,   Happening::StoreDown,
                                   Happening::StoreMute, Happening::News,
                                   Happening::Suspension};

// Two watches of an entry: the second lets the first find out when the store
// answers again. Time goes on in steps; the entry looks at its watches at each
// second one, and a call is answered in the step after it.
class WatchWorld {
public:
  void happen(Happening Each) {
    switch (Each) {
    case Happening::Told:
      Told = true;
      break;
    case Happening::NotTold:
      Told = false;
      break;
    case Happening::StoreUp:
    case Happening::StoreDown:
    case Happening::StoreMute:
      Store = Each;
      break;
    case Happening::News:
      renewAll();
      break;
    case Happening::Suspension:
      Now += seconds(3);
      break;
    }
  }

  void pass() {
    Now += Step;
    for (Watch &Each : Watches) {
      if (Each.Due != TimePoint{} && Now >= Each.Due)
        startCall(Each);
      else if (Each.Call != WatchCall::None)
        proceed(Each);
    }
    if (++Steps % 2 == 0)
      lookAt();
    for (Watch &Each : Watches) {
      bool Attended =
          Told || Each.Due != TimePoint{} || Each.Call != WatchCall::None;
      if (Attended)
        Each.AttendedAt = Now;
    }
  }

  // How long a watch has not asked while nobody told.
  Duration unattended() const {
    Duration Longest{};
    for (const Watch &Each : Watches)
      Longest = std::max(Longest, Now - Each.AttendedAt);
    return Longest;
  }

private:
  struct Watch {
    WatchPlan Plan;
    WatchCall Call = WatchCall::List; // on its way
    TimePoint CalledAt{};
    WatchCall Next = WatchCall::None; // after a pause, until Due
    TimePoint Due{};
    TimePoint AttendedAt{};
  };

  WatchView view(const Watch &Of) const {
    bool Defer = &Of == &Watches[1] && !Watches[0].Plan.LastCallAnswered;
    return {Now, Told, Defer, milliseconds(200)};
  }

  void take(Watch &Each, const WatchStep &Taken) {
    if (Taken.Call == WatchCall::None)
      return;
    Each.Call = WatchCall::None;
    Each.Next = Taken.Call;
    Each.Due = Now + Taken.After;
    if (Taken.After == Duration::zero())
      startCall(Each);
  }

  void startCall(Watch &Each) {
    notePauseOver(Each.Plan, Each.Next);
    Each.Call = std::exchange(Each.Next, WatchCall::None);
    Each.Due = TimePoint{};
    Each.CalledAt = Now;
  }

  void proceed(Watch &Each) {
    bool Lost =
        Store == Happening::StoreMute && Now - Each.CalledAt < CallLimit;
    if (Lost)
      return;
    WatchCall Done = std::exchange(Each.Call, WatchCall::None);
    if (Store != Happening::StoreUp)
      return take(Each, noteFailure(Each.Plan, view(Each)));
    int Failures = Each.Plan.Failures;
    take(Each, Done == WatchCall::List
                   ? noteList(Each.Plan, 1, view(Each))
                   : noteChanges(Each.Plan, 1, true, view(Each)));
    if (Failures > 0)
      renewAll(&Each);
  }

  void renewAll(const Watch *But = nullptr) {
    for (Watch &Each : Watches) {
      if (&Each != But)
        take(Each, refresh(Each.Plan, view(Each)));
    }
  }

  // What an entry does periodically.
  void lookAt() {
    for (Watch &Each : Watches)
      take(Each, reconcile(Each.Plan, view(Each)));
  }

  std::array<Watch, 2> Watches;
  TimePoint Now{seconds(10)};
  Happening Store = Happening::StoreUp;
  bool Told = false;
  int Steps = 0;
};

std::string describe(const std::vector<Happening> &Order) {
  std::ostringstream Out;
  for (Happening Each : Order)
    Out << static_cast<int>(Each) << " ";
  return Out.str();
}

// Returns the first order of Left more happenings after Order, one or no step
// apart, after which a watch is left alone for too long; empty if there is
// none.
std::vector<Happening> findUnattended(const WatchWorld &World,
                                      std::vector<Happening> Order, int Left) {
  WatchWorld Calm = World;
  // The store answers again; nothing else changes.
  Calm.happen(Happening::StoreUp);
  for (TimePoint Begin{}; Begin < TimePoint{seconds(4)}; Begin += Step)
    Calm.pass();
  if (Calm.unattended() > UnattendedLimit)
    return Order;
  if (Left == 0)
    return {};
  for (Happening Each : AllHappenings) {
    for (bool Apart : {false, true}) {
      WatchWorld Next = World;
      Next.happen(Each);
      if (Apart)
        Next.pass();
      std::vector<Happening> Longer = Order;
      Longer.push_back(Each);
      std::vector<Happening> Found = findUnattended(Next, Longer, Left - 1);
      if (!Found.empty())
        return Found;
    }
  }
  return {};
}

// Incident CONFIG: a watch that relied on a relay was left alone.
TEST(WatchPlanTest, ResumesIdleWatchForAnyOrderOfEvents) {
  std::vector<Happening> Found = findUnattended(WatchWorld(), {}, 5);
  EXPECT_TRUE(Found.empty()) << "after " << describe(Found);
}

// Incident CONFIG: the watch of the configuration waited for that of the
// instances, which could not read its answers.
TEST(WatchPlanTest, ResumesCallsWhenOtherWatchKeepsFailing) {
  WatchPlan Plan;
  TimePoint Now{seconds(10)};
  noteList(Plan, 1, {Now, false, false, {}});
  WatchView Deferring{Now, false, true, {}};
  EXPECT_EQ(noteFailure(Plan, Deferring).Call, WatchCall::None);
  while (Deferring.Now < Now + UnattendedLimit &&
         reconcile(Plan, Deferring).Call == WatchCall::None)
    Deferring.Now += Step;
  EXPECT_LT(Deferring.Now, Now + UnattendedLimit);
}

TEST(WatchPlanTest, GetsAnswersFromSlowStoreWhenRefreshedOften) {
  constexpr Duration Answering = milliseconds(500);
  constexpr Duration RenewedEvery = milliseconds(300);
  WatchPlan Plan;
  WatchView View{TimePoint{seconds(10)}, false, false, {}};
  noteList(Plan, 1, View);
  TimePoint CalledAt = View.Now;
  int Answers = 0;
  for (Duration Elapsed{}; Elapsed < seconds(3); Elapsed += Step) {
    View.Now += Step;
    if (View.Now - CalledAt >= Answering) {
      noteChanges(Plan, 2, true, View);
      CalledAt = View.Now;
      ++Answers;
    }
    if (Elapsed % RenewedEvery == Duration::zero() &&
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
