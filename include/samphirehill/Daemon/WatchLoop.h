// Keeps a copy of one kind of the platform's items current: lists, then
// watches, and starts again after errors with growing pauses.
#ifndef SAMPHIREHILL_DAEMON_WATCHLOOP_H
#define SAMPHIREHILL_DAEMON_WATCHLOOP_H

#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Net/Platform.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace samphirehill {

constexpr Duration WatchWait = seconds(20); // of one waiting watch
constexpr Duration FirstWatchPause = milliseconds(200);
constexpr Duration MaxWatchPause = seconds(2);

// List is ObjectList or InstanceList.
template <typename List> class WatchLoop {
public:
  using Callback = Platform::Callback<List>;
  struct Calls {
    std::function<CallId(Callback)> Read;
    std::function<CallId(std::uint64_t After, Duration Wait, Callback)> Watch;
    std::function<void(const List &)> OnItems;
    // The platform has begun to answer, or has ceased to.
    std::function<void(bool)> OnReachable;
  };

  WatchLoop(Runtime &Shared, Platform &Store, Calls Functions)
      : Shared(Shared), Store(Store), Functions(std::move(Functions)) {}
  ~WatchLoop() { stop(); }
  WatchLoop(const WatchLoop &) = delete;
  WatchLoop &operator=(const WatchLoop &) = delete;

  // Starts unless running.
  void start() {
    if (std::exchange(Running, true))
      return;
    Revision.reset();
    next();
  }

  void stop() {
    if (!std::exchange(Running, false))
      return;
    Pause.cancel();
    if (Call)
      Store.cancel(*Call);
    Call.reset();
  }

  bool running() const { return Running; }

private:
  void next() {
    auto OnDone = [this](Outcome<List> Value) { receive(Value); };
    Call = Revision ? Functions.Watch(*Revision, WatchWait, OnDone)
                    : Functions.Read(OnDone);
  }

  void receive(const Outcome<List> &Value) {
    Call.reset();
    if (errorOf(Value)) {
      Functions.OnReachable(false);
      // A watch that failed may have missed changes.
      Revision.reset();
      Wait = std::min(MaxWatchPause,
                      Wait == Duration::zero() ? FirstWatchPause : Wait * 2);
      // Jitter keeps the entries from coming back all at once.
      Duration Jittered =
          std::chrono::duration_cast<Duration>(Wait * (0.5 + Shared.random()));
      Pause = Shared.Timers.after(Jittered, [this] { next(); });
      return;
    }
    Wait = Duration::zero();
    const List &Items = std::get<0>(Value);
    Revision = Items.Revision;
    Functions.OnReachable(true);
    Functions.OnItems(Items);
    if (Running)
      next();
  }

  Runtime &Shared;
  Platform &Store;
  Calls Functions;
  bool Running = false;
  std::optional<std::uint64_t> Revision;
  std::optional<CallId> Call;
  Duration Wait{};
  TimerSubscription Pause;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_WATCHLOOP_H
