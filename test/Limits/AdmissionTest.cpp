#include "samphirehill/Limits/Admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <string>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(1000)};
const TimePoint Far = Start + std::chrono::hours(10);

AdmissionRequest request(const std::string &Id, const std::string &Org,
                         Priority Class = Priority::Normal,
                         std::int64_t Cost = 100, TimePoint Deadline = Far) {
  return {RequestId(Id), OrganisationId(Org), Class,
          Cost,          milliseconds(100),   Deadline};
}

// ---- fairness between organisations ----

struct FairnessCase {
  double Load;      // fraction of the capacity, if each sends its share
  int GreedyFactor; // requests of the first organisation relative to its share
};

struct Percentiles {
  double Total; // from arrival to the end of the answer, s
  double Wait;  // in the queue, s
};

// Simulates 10 organisations that share 64 slots for 300 s and returns the 99th
// percentiles over all organisations but the first.
Percentiles simulate(const FairnessCase &Case, const AdmissionFaults &Faults) {
  constexpr int Organisations = 10;
  constexpr int Slots = 64;
  constexpr double TokensPerSecond = 50; // of one slot
  constexpr double MeanTokens = 100;
  constexpr double Span = 300; // s
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Unit(1e-9, 1);
  auto Exponential = [&](double Mean) {
    return -Mean * std::log(Unit(Random));
  };
  auto At = [](double Seconds) {
    return Start + Duration(static_cast<std::int64_t>(Seconds * 1e6));
  };
  struct Arrival {
    double Time;
    int Organisation;
    double Tokens;
  };
  std::vector<Arrival> Arrivals;
  double Rate =
      Case.Load * Slots * TokensPerSecond / MeanTokens / Organisations;
  for (int Org = 0; Org < Organisations; ++Org) {
    double Own = Org == 0 ? Rate * Case.GreedyFactor : Rate;
    for (double T = Exponential(1 / Own); T < Span; T += Exponential(1 / Own))
      Arrivals.push_back({T, Org, 20 + Exponential(MeanTokens - 20)});
  }
  std::sort(Arrivals.begin(), Arrivals.end(),
            [](const auto &L, const auto &R) { return L.Time < R.Time; });
  AdmissionQueue Queue;
  Queue.Settings.Faults = Faults;
  std::priority_queue<double, std::vector<double>, std::greater<>> Ends;
  std::vector<double> Totals;
  std::vector<double> Waits;
  auto Dispatch = [&](double Now) {
    while (Ends.size() < Slots) {
      std::optional<AdmissionRequest> Next = dispatchNext(Queue);
      if (!Next)
        return;
      const Arrival &Arrived = Arrivals[std::stoul(Next->Request.str())];
      double End = Now + Arrived.Tokens / TokensPerSecond;
      Ends.push(End);
      if (Arrived.Organisation == 0)
        continue;
      Totals.push_back(End - Arrived.Time);
      Waits.push_back(Now - Arrived.Time);
    }
  };
  for (std::size_t I = 0; I < Arrivals.size(); ++I) {
    while (!Ends.empty() && Ends.top() <= Arrivals[I].Time) {
      double Now = Ends.top();
      Ends.pop();
      Dispatch(Now);
    }
    // The deadlines are so late that fairness alone decides the order.
    std::vector<AdmissionRefusal> Refused =
        admit(Queue,
              request(std::to_string(I),
                      "o" + std::to_string(Arrivals[I].Organisation),
                      Priority::Normal,
                      static_cast<std::int64_t>(Arrivals[I].Tokens)),
              At(Arrivals[I].Time));
    for (const AdmissionRefusal &Refusal : Refused)
      if (Arrivals[std::stoul(Refusal.Request.str())].Organisation != 0)
        Totals.push_back(Span); // stands for a request that is never answered
    Dispatch(Arrivals[I].Time);
  }
  auto P99 = [](std::vector<double> &Values) {
    auto Place =
        Values.begin() +
        static_cast<std::ptrdiff_t>(static_cast<double>(Values.size()) * 0.99);
    std::nth_element(Values.begin(), Place, Values.end());
    return *Place;
  };
  return {P99(Totals), P99(Waits)};
}

class AdmissionFairnessTest : public testing::TestWithParam<double> {};

// Guards against one organisation that slows down the other ones by sending ten
// times its share.
TEST_P(AdmissionFairnessTest, KeepsOthersP99WhenOneSendsTenTimesItsShare) {
  Percentiles Usual = simulate({GetParam(), 1}, {});
  Percentiles Greedy = simulate({GetParam(), 10}, {});
  RecordProperty("total", std::to_string(Usual.Total) + " s, then " +
                              std::to_string(Greedy.Total) + " s");
  RecordProperty("wait", std::to_string(Usual.Wait) + " s, then " +
                             std::to_string(Greedy.Wait) + " s");
  EXPECT_LE(Greedy.Total, Usual.Total * 1.2);
  EXPECT_LE(Greedy.Wait - Usual.Wait, Usual.Total * 0.2);
  // At lower loads no request waits in the queue if each organisation sends its
  // share.
  if (GetParam() >= 0.9) {
    EXPECT_LE(Greedy.Wait, Usual.Wait * 1.2);
  }
}

INSTANTIATE_TEST_SUITE_P(Loads, AdmissionFairnessTest,
                         testing::Values(0.3, 0.6, 0.8, 0.9, 0.95));

// Guards against a fairness check that can't fail.
TEST(AdmissionTest, RaisesOthersP99WhenFirstComeFirstServed) {
  AdmissionFaults Faults;
  Faults.FirstComeFirstServed = true;
  EXPECT_GT(simulate({0.8, 10}, Faults).Total,
            simulate({0.8, 1}, Faults).Total * 1.2);
}

// ---- priority classes ----

// Returns how many of 1,000 dispatches are of Class while requests of all
// classes wait.
int dispatchesOf(Priority Class, const AdmissionFaults &Faults) {
  AdmissionQueue Queue;
  Queue.Settings.Faults = Faults;
  int Count = 0;
  int Id = 0;
  for (int I = 0; I < 1000; ++I) {
    for (Priority Added : {Priority::High, Priority::Normal, Priority::Low})
      admit(Queue, request(std::to_string(Id++), "o", Added), Start);
    std::optional<AdmissionRequest> Next = dispatchNext(Queue);
    Count += Next && Next->Class == Class ? 1 : 0;
  }
  return Count;
}

// Guards against requests of the low or normal class that never run while
// requests of the high class wait.
TEST(AdmissionTest, GivesWaitingLowClassesTheirShares) {
  EXPECT_GE(dispatchesOf(Priority::Low, {}), 50);
  EXPECT_GE(dispatchesOf(Priority::Low, {}) +
                dispatchesOf(Priority::Normal, {}),
            200);
  EXPECT_GE(dispatchesOf(Priority::High, {}), 700);
  AdmissionFaults Starving;
  Starving.StarveLow = true;
  EXPECT_LT(dispatchesOf(Priority::Low, Starving), 50);
}

// ---- deadlines ----

// Counts served tokens until the queue's rate of service is 1,000 tokens/s.
void learnRate(AdmissionQueue &Queue) {
  recordServed(Queue, 0, Start - seconds(2));
  recordServed(Queue, 1000, Start - seconds(1));
  recordServed(Queue, 1000, Start);
}

struct DeadlineCase {
  const char *Name;
  std::int64_t OwnQueued;   // tokens of the request's organisation
  std::int64_t OtherQueued; // tokens of another organisation
  std::int64_t HighQueued;  // tokens of the high class
  Duration Left;            // until the request's deadline
  ResultCode Code;          // Ok: admitted
  Duration RetryAfter;
};

std::ostream &operator<<(std::ostream &Out, const DeadlineCase &Case) {
  return Out << Case.Name;
}

class AdmissionDeadlineTest : public testing::TestWithParam<DeadlineCase> {};

// Guards against queueing a request that can't finish in time, and against
// refusing one that can finish because another organisation has a long queue.
TEST_P(AdmissionDeadlineTest, RefusesByEstimatedFinish) {
  AdmissionQueue Queue;
  learnRate(Queue);
  ASSERT_EQ(Queue.TokensPerSecond, 1000);
  const DeadlineCase &Case = GetParam();
  if (Case.OwnQueued > 0)
    admit(Queue, request("own", "o", Priority::Normal, Case.OwnQueued), Start);
  if (Case.OtherQueued > 0)
    admit(Queue, request("other", "p", Priority::Normal, Case.OtherQueued),
          Start);
  if (Case.HighQueued > 0)
    admit(Queue, request("high", "p", Priority::High, Case.HighQueued), Start);
  std::vector<AdmissionRefusal> Refused = admit(
      Queue, request("new", "o", Priority::Normal, 500, Start + Case.Left),
      Start);
  ASSERT_EQ(Refused.empty(), Case.Code == ResultCode::Ok);
  if (Refused.empty())
    return;
  EXPECT_EQ(Refused.front().Code, Case.Code);
  EXPECT_EQ(Refused.front().RetryAfter, Case.RetryAfter);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AdmissionDeadlineTest,
    testing::Values(
        DeadlineCase{"Empty", 0, 0, 0, milliseconds(100), ResultCode::Ok, {}},
        DeadlineCase{"ShorterThanRun", 0, 0, 0, milliseconds(99),
                     ResultCode::DeadlineTooShort, seconds(1)},
        DeadlineCase{"OwnBacklog", 8000, 0, 0, seconds(5),
                     ResultCode::Overloaded, seconds(4)},
        DeadlineCase{"OwnBacklogInTime",
                     8000,
                     0,
                     0,
                     milliseconds(8100),
                     ResultCode::Ok,
                     {}},
        DeadlineCase{"OthersBacklogSharesFairly",
                     0,
                     90000,
                     0,
                     seconds(1),
                     ResultCode::Ok,
                     {}},
        DeadlineCase{"HighBacklogGoesFirst", 400, 0, 10000, seconds(1),
                     ResultCode::Overloaded, seconds(2)}),
    [](const auto &Info) { return std::string(Info.param.Name); });

// Guards against a request that is kept until its deadline although it can no
// longer finish in time.
TEST(AdmissionTest, RefusesWaitingRequestWhenItBecomesLate) {
  AdmissionQueue Queue;
  admit(Queue, request("a", "o", Priority::Normal, 1, Start + seconds(1)),
        Start);
  EXPECT_TRUE(refuseOverdue(Queue, Start + milliseconds(900)).empty());
  std::vector<AdmissionRefusal> Refused =
      refuseOverdue(Queue, Start + milliseconds(901));
  ASSERT_EQ(Refused.size(), 1u);
  EXPECT_EQ(Refused.front().Code, ResultCode::Overloaded);
  EXPECT_GE(Refused.front().RetryAfter, seconds(1));
  EXPECT_FALSE(dispatchNext(Queue));
}

// Guards against refusing the requests of other organisations when a greedy
// organisation fills the queue.
TEST(AdmissionTest, RefusesLargestOrganisationWhenFull) {
  AdmissionQueue Queue;
  Queue.Settings.MaxQueued = 10;
  for (int I = 0; I < 10; ++I)
    admit(Queue, request("g" + std::to_string(I), "greedy"), Start);
  std::vector<AdmissionRefusal> Refused =
      admit(Queue, request("x", "modest"), Start);
  ASSERT_EQ(Refused.size(), 1u);
  EXPECT_EQ(Refused.front().Request, RequestId("g9"));
  EXPECT_EQ(queuedRequests(Queue), 10u);
}

// Guards against counters and indexes that become inconsistent. Requests would
// then wait for ever, or estimates would include requests no longer queued.
RC_GTEST_PROP(AdmissionTest, EndsEmptyAfterAnyMixOfOperations, ()) {
  AdmissionQueue Queue;
  Queue.Settings.MaxQueued = 20;
  auto Steps = *rc::gen::container<std::vector<int>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 1000)));
  std::set<std::string> Waiting;
  int Id = 0;
  for (int Step : Steps) {
    TimePoint Now = Start + milliseconds(10) * Id;
    std::string Name = std::to_string(Id++);
    if (Step % 10 < 6) {
      Waiting.insert(Name);
      AdmissionRequest New = request(Name, "o" + std::to_string(Step % 4),
                                     static_cast<Priority>(Step % 3), Step,
                                     Now + milliseconds(Step));
      for (const AdmissionRefusal &Refusal : admit(Queue, New, Now))
        RC_ASSERT(Waiting.erase(Refusal.Request.str()) == 1u);
    } else if (Step % 10 < 7 && !Waiting.empty()) {
      RC_ASSERT(cancelWaiting(Queue, RequestId(*Waiting.begin())));
      Waiting.erase(Waiting.begin());
    } else if (Step % 10 < 8) {
      for (const AdmissionRefusal &Refusal : refuseOverdue(Queue, Now))
        RC_ASSERT(Waiting.erase(Refusal.Request.str()) == 1u);
    } else if (auto Next = dispatchNext(Queue)) {
      RC_ASSERT(Waiting.erase(Next->Request.str()) == 1u);
    }
    RC_ASSERT(queuedRequests(Queue) == Waiting.size());
  }
  while (auto Next = dispatchNext(Queue))
    RC_ASSERT(Waiting.erase(Next->Request.str()) == 1u);
  RC_ASSERT(Waiting.empty());
  RC_ASSERT(Queue.LatestStarts.empty());
  for (const ClassQueue &Class : Queue.Classes)
    RC_ASSERT(Class.QueuedTokens == 0);
}

} // namespace
} // namespace samphirehill
