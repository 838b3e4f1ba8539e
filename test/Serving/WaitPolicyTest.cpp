#include "samphirehill/Serving/WaitPolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace samphirehill::serving {
namespace {

// The load pattern: a burst fills all groups; requests of two priorities wait,
// some of them past their objective.
TEST(WaitPolicyTest, ServesUrgentAndAttainableRequestsFirst) {
  TimePoint Now{seconds(10)};
  std::vector<WaitingRequest> Waiting{
      {1, 2, Now + milliseconds(100)}, // less urgent
      {2, 1, Now - milliseconds(50)},  // past its objective
      {3, 1, Now + milliseconds(300)},
      {4, 1, Now + milliseconds(200)}};
  std::vector<std::uint64_t> Order;
  while (!Waiting.empty()) {
    std::size_t Next = nextToServe(Waiting, Now);
    Order.push_back(Waiting[Next].Number);
    Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Next));
  }
  EXPECT_EQ(Order, (std::vector<std::uint64_t>{4, 3, 2, 1}));
}

RC_GTEST_PROP(WaitPolicyTest, WaitAndReturnFitTheTimeLeft, ()) {
  Duration Left = milliseconds(*rc::gen::inRange(1, 10'000));
  for (NoPlace Reason : {NoPlace::Absent, NoPlace::Full}) {
    RC_ASSERT(longestWait({}, Reason, Left) < Left);
    // Callers honour a return within a third of the time that they have left.
    RC_ASSERT(retryAfter(Reason, Left) <= std::max(Left / 3, milliseconds(50)));
  }
}

} // namespace
} // namespace samphirehill::serving
