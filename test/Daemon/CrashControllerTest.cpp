#include "samphirehill/Daemon/CrashController.h"

#include "Daemon/HubFixture.h"

#include <utility>
#include <vector>

namespace samphirehill::test {
namespace {

constexpr Fingerprint Crasher = 0xfedcba9876543210;
constexpr Fingerprint Neighbour = 7;

struct CrashControllerTest : HubFixture {
  CrashVerdict verdict(const CrashController &At, Fingerprint Print) {
    // Beyond the window in which a second crash could be a domain fault.
    TimePoint Later = One.Shared->Timers.now() + seconds(2);
    return checkCrashes(At.suspects(), Print, Later).Verdict;
  }
  CrashController First{*One.Shared, *One.Hub,
                        [] { return std::vector{EntryId("two")}; }};
  CrashController Second{*Two.Shared, *Two.Hub,
                         [] { return std::vector{EntryId("one")}; }};
  const CrashId Where{UpstreamId("u1"), BootId("b1")};
};

// Guards against an entry to which the caller of a crashing request turns next
// and that has not heard of the crash; fingerprints use all 64 bits.
TEST_F(CrashControllerTest, TellsPeersOfRequestsInProgress) {
  First.begin(Where, RequestId("r1"), Crasher);
  First.begin(Where, RequestId("r2"), Neighbour);
  First.end(Where, RequestId("r2"));
  First.crashed(Where, DomainId("d"));
  EXPECT_EQ(verdict(First, Crasher), CrashVerdict::Suspect);
  EXPECT_EQ(verdict(First, Neighbour), CrashVerdict::Clear);
  ASSERT_TRUE(runUntil([&] { return !Second.suspects().Crashes.empty(); }));
  EXPECT_EQ(verdict(Second, Crasher), CrashVerdict::Suspect);
  EXPECT_EQ(verdict(Second, Neighbour), CrashVerdict::Clear);
  EXPECT_EQ(Second.suspects().Crashes.at(Where).Domain, DomainId("d"));
}

// Guards against one crash that counts twice because several calls, or several
// entries, saw it: its requests would be refused after a single crash.
TEST_F(CrashControllerTest, CountsOneCrashOnceWhoeverSeesIt) {
  First.begin(Where, RequestId("r1"), Crasher);
  Second.begin(Where, RequestId("r2"), Crasher);
  First.crashed(Where, DomainId("d"));
  First.begin(Where, RequestId("r3"), Neighbour);
  First.crashed(Where, DomainId("d"));
  Second.crashed(Where, DomainId("d"));
  // Messages keep their order, so that these come after the crashes.
  for (auto [From, To] : {std::pair{&One, &Two}, std::pair{&Two, &One}}) {
    bool Passed = false;
    To->Hub->handle(peer::Envelope::kHomeRelease,
                    [&](const auto &) { Passed = true; });
    peer::Envelope Last;
    Last.mutable_home_release();
    From->Hub->send(To->Shared->Config.Entry, Last);
    ASSERT_TRUE(runUntil([&] { return Passed; }));
    To->Hub->handle(peer::Envelope::kHomeRelease, [](const auto &) {});
  }
  EXPECT_EQ(First.suspects().Crashes.size(), 1u);
  EXPECT_EQ(Second.suspects().Crashes.size(), 1u);
  EXPECT_EQ(verdict(First, Crasher), CrashVerdict::Suspect);
  EXPECT_EQ(verdict(Second, Crasher), CrashVerdict::Suspect);
  EXPECT_EQ(verdict(First, Neighbour), CrashVerdict::Clear);
}

// Guards against a request that is never refused because its two crashes were
// seen by different entries.
TEST_F(CrashControllerTest, RefusesAfterCrashesSeenByTwoEntries) {
  const CrashId Other{UpstreamId("u2"), BootId("b1")};
  First.begin(Where, RequestId("r1"), Crasher);
  First.crashed(Where, DomainId("d1"));
  Second.begin(Other, RequestId("r2"), Crasher);
  Second.crashed(Other, DomainId("d2"));
  ASSERT_TRUE(runUntil([&] {
    return First.suspects().Crashes.size() == 2 &&
           Second.suspects().Crashes.size() == 2;
  }));
  EXPECT_EQ(verdict(First, Crasher), CrashVerdict::Refuse);
  EXPECT_EQ(verdict(Second, Crasher), CrashVerdict::Refuse);
}

// Guards against requests, no two alike, whose prompts begin alike and crash
// one upstream after the other.
TEST_F(CrashControllerTest, BlamesSharedBeginningAtAllEntriesUntilProved) {
  const std::vector<PromptPart> Sound = {1, 50};
  auto Crash = [&](const char *Name, Fingerprint Print, PromptPart Last) {
    CrashId At{UpstreamId(Name), BootId("b")};
    First.begin(At, RequestId("r"), Print, {1, 7, Last});
    First.crashed(At, DomainId(Name));
  };
  Crash("u1", 11, 101);
  Crash("u2", 12, 102);
  EXPECT_FALSE(First.blameOf({1, 7, 104}));
  First.begin(Where, RequestId("sound"), 13, Sound);
  First.answerBegun(Where, RequestId("sound"));
  First.answerComplete(Where, RequestId("sound"));
  Crash("u3", 14, 103);
  ASSERT_TRUE(First.blameOf({1, 7, 104}));
  EXPECT_EQ(First.blameOf({1, 7, 104})->Code, ResultCode::CrashesUpstreams);
  EXPECT_FALSE(First.blameOf(Sound));
  ASSERT_TRUE(runUntil([&] {
    return Second.blameOf({1, 7, 105}).has_value();
  }));
  EXPECT_FALSE(Second.blameOf(Sound));
  EXPECT_FALSE(Second.takeTrialOf({1, 7, 105})); // not yet
  Second.begin(Where, RequestId("r2"), 15, {1, 7, 106});
  Second.answerBegun(Where, RequestId("r2"));
  Second.answerComplete(Where, RequestId("r2"));
  EXPECT_FALSE(Second.blameOf({1, 7, 105}));
  EXPECT_TRUE(runUntil([&] { return !First.blameOf({1, 7, 104}); }));
}

} // namespace
} // namespace samphirehill::test
