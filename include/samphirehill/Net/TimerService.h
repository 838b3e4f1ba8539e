// Time as a service that parts subscribe to. All functions run on the
// io_context's thread.
#ifndef SAMPHIREHILL_NET_TIMERSERVICE_H
#define SAMPHIREHILL_NET_TIMERSERVICE_H

#include "samphirehill/Core/Time.h"

#include <functional>
#include <memory>
#include <utility>

namespace asio {
class io_context;
} // namespace asio

namespace samphirehill {

// Keeps a subscription alive; its function is not called after destruction.
class TimerSubscription {
public:
  TimerSubscription() = default;

  // Ends the subscription now.
  void cancel() { State.reset(); }
  bool active() const { return State != nullptr; }

private:
  friend class TimerService;
  explicit TimerSubscription(std::shared_ptr<void> State)
      : State(std::move(State)) {}
  std::shared_ptr<void> State;
};

class TimerService {
public:
  // Context must outlive the service and all subscriptions.
  explicit TimerService(asio::io_context &Context) : Context(Context) {}

  TimePoint now() const;
  // Returns the time of a clock that also counts the time for which the machine
  // was suspended, which that of now() doesn't. Compare it with its own kind.
  TimePoint nowWithSuspension() const;
  WallTime wallNow() const;

  // Calls Function once after Delay (at least 0).
  [[nodiscard]] TimerSubscription after(Duration Delay,
                                        std::function<void()> Function);

  // Calls Function each Period (above 0), first after one Period. A call that
  // is late, for example after a pause, does not make further calls follow at
  // once.
  [[nodiscard]] TimerSubscription every(Duration Period,
                                        std::function<void()> Function);

private:
  asio::io_context &Context;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_NET_TIMERSERVICE_H
