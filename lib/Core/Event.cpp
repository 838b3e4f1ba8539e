#include "samphirehill/Core/Event.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace samphirehill {

LogicalTime LogicalClock::tick(WallTime Now) {
  return receive(LogicalTime{}, Now);
}

LogicalTime LogicalClock::receive(LogicalTime Remote, WallTime Now) {
  LogicalTime Floor = std::max(Last, Remote);
  std::int64_t Wall = Now.time_since_epoch().count();
  if (Wall > Floor.Microseconds)
    Last = LogicalTime{Wall, 0};
  else
    Last = LogicalTime{Floor.Microseconds, Floor.Counter + 1};
  return Last;
}

void EventRing::add(Event Value) {
  if (Ring.size() < Capacity) {
    Ring.push_back(std::move(Value));
    return;
  }
  Ring[Next] = std::move(Value);
  Next = (Next + 1) % Capacity;
  ++Dropped;
}

std::vector<Event> EventRing::events() const {
  std::vector<Event> Ordered(Ring.begin() + static_cast<long>(Next),
                             Ring.end());
  Ordered.insert(Ordered.end(), Ring.begin(),
                 Ring.begin() + static_cast<long>(Next));
  return Ordered;
}

std::vector<Event> mergeEvents(std::vector<std::vector<Event>> Rings) {
  std::vector<Event> Merged;
  for (std::vector<Event> &Ring : Rings)
    Merged.insert(Merged.end(), std::make_move_iterator(Ring.begin()),
                  std::make_move_iterator(Ring.end()));
  std::stable_sort(Merged.begin(), Merged.end(),
                   [](const Event &Left, const Event &Right) {
                     return std::tie(Left.Stamp, Left.Process) <
                            std::tie(Right.Stamp, Right.Process);
                   });
  return Merged;
}

} // namespace samphirehill
