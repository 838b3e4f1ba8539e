#include "samphirehill/Serving/EventSplitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace samphirehill::serving {
namespace {

TEST(EventSplitterTest, KeepsPartialEventUntilItEnds) {
  EventSplitter Splitter;
  EXPECT_EQ(takeEvents(Splitter, "id: 1\ndata: a\n\nid: 2\nda"),
            "id: 1\ndata: a\n\n");
  EXPECT_EQ(takeEvents(Splitter, "ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(Splitter.LastId, 2);
}

// Guards against an event that the caller receives twice after a resume.
TEST(EventSplitterTest, DropsEventsThatTheCallerAlreadyHas) {
  EventSplitter Splitter;
  Splitter.LastId = 7;
  EXPECT_EQ(takeEvents(Splitter, "id:7\ndata:x\n\nid:8\ndata:y\n\n"),
            "id:8\ndata:y\n\n");
}

TEST(EventSplitterTest, DropsPartialEventOfBrokenStream) {
  EventSplitter Splitter;
  takeEvents(Splitter, "id: 3\ndata: cut");
  dropPartial(Splitter);
  EXPECT_EQ(takeEvents(Splitter, "id: 3\ndata: whole\n\n"),
            "id: 3\ndata: whole\n\n");
}

TEST(EventSplitterTest, AcceptsCarriageReturns) {
  EventSplitter Splitter;
  EXPECT_EQ(takeEvents(Splitter, "id: 1\r\ndata: a\r\n\r\n"),
            "id: 1\r\ndata: a\r\n\r\n");
}

TEST(EventSplitterTest, RejectsTextThatIsNotAnEvent) {
  const char *const NotEvents[] = {"busy\n\n",
                                   "error: busy\n\n",
                                   "{\"error\":\"busy\"}\n\n",
                                   "<p>id: 9</p>\n\n",
                                   "HTTP/1.1 500 Failed\r\nid: 9\r\n\r\n",
                                   "data: without an id\n\n"};
  for (const char *Text : NotEvents) {
    EventSplitter Splitter;
    EXPECT_EQ(takeEvents(Splitter, std::string("id: 1\ndata: a\n\n") + Text),
              "id: 1\ndata: a\n\n");
    EXPECT_TRUE(Splitter.Malformed) << Text;
    EXPECT_EQ(takeEvents(Splitter, "id: 2\ndata: b\n\n"), "") << Text;
    dropPartial(Splitter);
    EXPECT_EQ(takeEvents(Splitter, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  }
}

TEST(EventSplitterTest, AcceptsCommentsUnknownFieldsAndFieldsWithoutValue) {
  const std::string Events = ": keep\n\nretry\nversion: 2\nid: 1\ndata\n\n"
                             "id:2\nevent: x\ndata: a: b\n\n";
  EventSplitter Splitter;
  EXPECT_EQ(takeEvents(Splitter, Events), Events);
  EXPECT_FALSE(Splitter.Malformed);
}

TEST(EventSplitterTest, AcceptsEventsWithoutIdsWhenNoneHasOne) {
  EventSplitter Splitter;
  EXPECT_EQ(takeEvents(Splitter, "data: a\n\ndata: b\n\n"),
            "data: a\n\ndata: b\n\n");
}

RC_GTEST_PROP(EventSplitterTest, ForwardsCompleteStreamForAnyChunking, ()) {
  int Count = *rc::gen::inRange(1, 12);
  std::string Stream;
  for (int Number = 1; Number <= Count; ++Number)
    Stream += "id: " + std::to_string(Number) + "\ndata: " +
              *rc::gen::container<std::string>(rc::gen::inRange('a', 'z')) +
              "\n\n";
  EventSplitter Splitter;
  std::string Forwarded;
  std::size_t At = 0;
  while (At < Stream.size()) {
    auto Size = *rc::gen::inRange<std::size_t>(1, 9);
    Forwarded +=
        takeEvents(Splitter, std::string_view(Stream).substr(At, Size));
    At += Size;
  }
  RC_ASSERT(Forwarded == Stream);
  RC_ASSERT(takeRest(Splitter).empty());
}

TEST(EventSplitterTest, TakesOnlyCommentsAfterLastEvent) {
  struct Case {
    const char *Rest;
    bool Complete;
  };
  for (const Case &Each :
       {Case{"", true}, Case{": comment\n", true}, Case{"id: 2", false},
        Case{"id: 2\ndata: b\n", false}, Case{"data", false},
        Case{"text", false}}) {
    EventSplitter Splitter;
    takeEvents(Splitter, "id: 1\ndata: a\n\n" + std::string(Each.Rest));
    EXPECT_EQ(takeRest(Splitter), Each.Complete ? Each.Rest : "") << Each.Rest;
    EXPECT_EQ(Splitter.Malformed, !Each.Complete) << Each.Rest;
  }
}

} // namespace
} // namespace samphirehill::serving
