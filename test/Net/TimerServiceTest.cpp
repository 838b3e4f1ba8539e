#include "samphirehill/Net/TimerService.h"

#include <asio/io_context.hpp>

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

TEST(TimerServiceTest, RepeatsUntilCancelled) {
  asio::io_context Context;
  TimerService Timers(Context);
  int Calls = 0;
  TimerSubscription Tick;
  Tick = Timers.every(milliseconds(1), [&] {
    if (++Calls == 3)
      Tick.cancel();
  });
  Context.run(); // returns when no timer is left
  EXPECT_EQ(Calls, 3);
}

// Guards against a call into a part that has been destroyed.
TEST(TimerServiceTest, CallsNothingAfterSubscriptionEnds) {
  asio::io_context Context;
  TimerService Timers(Context);
  bool Called = false;
  {
    TimerSubscription Once =
        Timers.after(milliseconds(1), [&] { Called = true; });
  }
  Context.run();
  EXPECT_FALSE(Called);
}

} // namespace
} // namespace samphirehill
