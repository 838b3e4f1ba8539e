#include "Daemon/HubFixture.h"

#include <optional>
#include <vector>

namespace samphirehill::test {
namespace {

peer::Envelope pull(const std::string &Name) {
  peer::Envelope Message;
  Message.mutable_state_pull()->set_name(Name);
  return Message;
}

struct PeerHubTest : HubFixture {
  // Sends a request from One and returns a place for its outcome.
  std::shared_ptr<std::vector<Outcome<peer::Envelope>>>
  request(const std::string &Name, const EntryId &To, Duration Timeout) {
    auto Got = std::make_shared<std::vector<Outcome<peer::Envelope>>>();
    One.Hub->request(To, pull(Name), Timeout,
                     [Got](auto Value) { Got->push_back(std::move(Value)); });
    return Got;
  }
};

// Guards against a response that is given to another request when the answers
// come in another order.
TEST_F(PeerHubTest, MatchesResponsesThatCrossed) {
  std::vector<peer::Envelope> Asked;
  Two.Hub->handle(peer::Envelope::kStatePull,
                  [&](const auto &Message) { Asked.push_back(Message); });
  auto First = request("first", EntryId("two"), seconds(5));
  auto Second = request("second", EntryId("two"), seconds(5));
  ASSERT_TRUE(runUntil([&] { return Asked.size() == 2; }));
  for (std::size_t I : {1, 0}) {
    peer::Envelope Answer;
    Answer.mutable_state_push()->set_name(Asked[I].state_pull().name());
    Two.Hub->respond(Asked[I], Answer);
    // A second response must not reach anyone.
    Two.Hub->respond(Asked[I], Answer);
  }
  ASSERT_TRUE(
      runUntil([&] { return First->size() == 1 && Second->size() == 1; }));
  EXPECT_EQ(std::get<0>(First->front()).state_push().name(), "first");
  EXPECT_EQ(std::get<0>(Second->front()).state_push().name(), "second");
  EXPECT_EQ(std::get<0>(First->front()).sender(), "two");
}

// Guards against a caller that waits for ever for a peer that does not answer.
TEST_F(PeerHubTest, ReportsTimeoutOnceWhenPeerIsSilent) {
  std::optional<peer::Envelope> Asked;
  Two.Hub->handle(peer::Envelope::kStatePull,
                  [&](const auto &Message) { Asked = Message; });
  auto Got = request("late", EntryId("two"), milliseconds(60));
  ASSERT_TRUE(runUntil([&] { return Asked && !Got->empty(); }));
  ASSERT_NE(errorOf(Got->front()), nullptr);
  EXPECT_EQ(errorOf(Got->front())->Code, ResultCode::Timeout);
  // The answer that comes too late is dropped.
  Two.Hub->respond(*Asked, pull("answer"));
  bool Passed = false;
  One.Hub->handle(peer::Envelope::kHomeRelease,
                  [&](const auto &) { Passed = true; });
  peer::Envelope After;
  After.mutable_home_release();
  Two.Hub->send(EntryId("one"), After);
  ASSERT_TRUE(runUntil([&] { return Passed; }));
  EXPECT_EQ(Got->size(), 1u);
}

// Guards against a request to an unknown entry that never ends, ends twice or
// gets an answer.
TEST_F(PeerHubTest, EndsRequestOnceWhenPeerIsUnknown) {
  auto Got = request("x", EntryId("three"), milliseconds(60));
  ASSERT_TRUE(runUntil([&] { return !Got->empty(); }));
  ASSERT_NE(errorOf(Got->front()), nullptr);
  ResultCode Code = errorOf(Got->front())->Code;
  EXPECT_TRUE(Code == ResultCode::Timeout || Code == ResultCode::ConnectFailed);
  // A second request ends after any late end of the first one.
  auto Later = request("y", EntryId("three"), milliseconds(60));
  ASSERT_TRUE(runUntil([&] { return !Later->empty(); }));
  EXPECT_EQ(Got->size(), 1u);
}

// Guards against time lines in which a receipt comes before its send, and
// against liveness that misses messages without a handler.
TEST_F(PeerHubTest, StampsAndAnnouncesEveryMessage) {
  std::optional<peer::Envelope> Heard;
  Two.Hub->Received.connect([&](const auto &Message) {
    if (Message.has_state_pull())
      Heard = Message;
  });
  One.Hub->send(EntryId("two"), pull("unhandled"));
  ASSERT_TRUE(runUntil([&] { return Heard.has_value(); }));
  LogicalTime Sent{Heard->clock_us(), Heard->clock_counter()};
  EXPECT_LT(Sent, Two.Shared->Clock.tick(Two.Shared->Timers.wallNow()));
  EXPECT_EQ(Heard->incarnation(), One.Shared->Started);
}

} // namespace
} // namespace samphirehill::test
