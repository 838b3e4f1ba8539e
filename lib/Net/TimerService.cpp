#include "samphirehill/Net/TimerService.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <ctime>

namespace samphirehill {
namespace {

struct Subscription : std::enable_shared_from_this<Subscription> {
  Subscription(asio::io_context &Context, std::function<void()> Function,
               Duration Period)
      : Timer(Context), Function(std::move(Function)), Period(Period) {}

  void schedule(Duration Delay) {
    Timer.expires_after(Delay);
    Timer.async_wait([Weak = weak_from_this()](std::error_code Failed) {
      std::shared_ptr<Subscription> Alive = Weak.lock();
      if (Failed || !Alive)
        return;
      Alive->fire();
    });
  }

  void fire() {
    if (Period > Duration::zero())
      schedule(Period);
    Function();
  }

  asio::steady_timer Timer;
  std::function<void()> Function;
  Duration Period;
};

} // namespace

TimePoint TimerService::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

TimePoint TimerService::nowWithSuspension() const {
  timespec Read{};
  ::clock_gettime(CLOCK_BOOTTIME, &Read);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Read.tv_sec) +
      std::chrono::nanoseconds(Read.tv_nsec)));
}

WallTime TimerService::wallNow() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

TimerSubscription TimerService::after(Duration Delay,
                                      std::function<void()> Function) {
  auto Added = std::make_shared<Subscription>(Context, std::move(Function),
                                              Duration::zero());
  Added->schedule(Delay);
  return TimerSubscription(Added);
}

TimerSubscription TimerService::every(Duration Period,
                                      std::function<void()> Function) {
  auto Added =
      std::make_shared<Subscription>(Context, std::move(Function), Period);
  Added->schedule(Period);
  return TimerSubscription(Added);
}

} // namespace samphirehill
