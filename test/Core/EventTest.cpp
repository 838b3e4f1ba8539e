#include "samphirehill/Core/Event.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

WallTime at(std::int64_t Microseconds) {
  return WallTime(Duration(Microseconds));
}

// Guards against a time line that shows an effect before its cause when the
// receiver's clock is behind the sender's.
TEST(LogicalClockTest, StampsReceiptAfterSendWhenClockIsBehind) {
  LogicalClock Sender;
  LogicalClock Receiver;
  LogicalTime Sent = Sender.tick(at(1000));
  LogicalTime Received = Receiver.receive(Sent, at(10));
  EXPECT_GT(Received, Sent);
  EXPECT_GT(Receiver.tick(at(11)), Received);
}

// Guards against a ring that grows without bound or loses its newest events.
TEST(EventRingTest, KeepsNewestEventsWhenFull) {
  EventRing Ring(3);
  for (int I = 0; I < 5; ++I)
    Ring.add(Event{LogicalTime{I, 0}, "a", std::to_string(I), "", "", ""});
  std::vector<Event> Kept = Ring.events();
  ASSERT_EQ(Kept.size(), 3u);
  EXPECT_EQ(Kept.front().Kind, "2");
  EXPECT_EQ(Kept.back().Kind, "4");
  EXPECT_EQ(Ring.dropped(), 2u);
}

// Guards against interleaving that follows the order of processes, not stamps.
TEST(MergeEventsTest, OrdersByStampOverProcesses) {
  std::vector<Event> Merged =
      mergeEvents({{Event{LogicalTime{2, 0}, "a", "second", "", "", ""}},
                   {Event{LogicalTime{1, 0}, "b", "first", "", "", ""}}});
  ASSERT_EQ(Merged.size(), 2u);
  EXPECT_EQ(Merged.front().Kind, "first");
}

} // namespace
} // namespace samphirehill
