#include "samphirehill/Routing/Router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>

namespace samphirehill {
namespace {

const ServiceId Service("s");
const ZoneId Home("z0");
const BootId Boot("b");

UpstreamId up(int Number) { return UpstreamId("u" + std::to_string(Number)); }

// Returns a table of Count upstreams u0, u1, ... with credits, in zones z0 to
// z2 in turn.
UpstreamTable makeTable(int Count) {
  UpstreamTable Table;
  for (int I = 0; I < Count; ++I) {
    Table.putUpstream(UpstreamInfo{up(I),
                                   ZoneId("z" + std::to_string(I % 3)),
                                   Service,
                                   "v",
                                   {"ad"},
                                   Boot,
                                   8});
    Table.setCredits(up(I), 4);
  }
  return Table;
}

RouteRequest request(std::uint64_t Random = 1) {
  RouteRequest Request{Service, "v", "", Home};
  Request.Random = Random;
  return Request;
}

// Guards against choosing an upstream that must not or can't serve the request,
// also when a prefix hint names it, as it does here.
TEST(RouterTest, SkipsUpstreamsThatMayNotServeRequest) {
  struct Case {
    const char *Name;
    std::function<void(UpstreamTable &, RouteRequest &)> Change;
  };
  const Case Cases[] = {
      {"leaving", [](auto &T, auto &) { T.setState(up(0), 0, 1, 1); }},
      {"group incomplete", [](auto &T, auto &) { T.setState(up(0), 0, 0, 0); }},
      {"zone out", [](auto &T, auto &) { T.setZoneOut(Home, true); }},
      {"excluded", [](auto &, auto &R) { R.Exclude = {up(0)}; }},
      {"service", [](auto &, auto &R) { R.Service = ServiceId("other"); }},
      {"version", [](auto &, auto &R) { R.Version = "w"; }},
      {"adapter", [](auto &, auto &R) { R.Adapter = "none"; }},
      {"removed", [](auto &T, auto &) { T.removeUpstream(up(0)); }}};
  PrefixHints Hints;
  Hints.apply(up(0), Boot, CacheEvent{1, CacheEvent::Stored, 5});
  for (const Case &Case : Cases) {
    UpstreamTable Table = makeTable(1);
    RouteRequest Request = request();
    Request.Prompt = {5};
    ASSERT_TRUE(route(Table, Hints, Request)) << Case.Name;
    Case.Change(Table, Request);
    EXPECT_FALSE(route(Table, Hints, Request)) << Case.Name;
    // Another upstream that can serve the request is chosen in its place.
    if (std::string(Case.Name) == "zone out" || !Request.Exclude.empty()) {
      Table.putUpstream(
          UpstreamInfo{up(9), ZoneId("z1"), Service, "v", {}, Boot, 8});
      ASSERT_TRUE(route(Table, Hints, Request)) << Case.Name;
      EXPECT_EQ(route(Table, Hints, Request)->Upstream, up(9)) << Case.Name;
    }
  }
}

// Guards against a part of the score that is missing or has the wrong sign.
TEST(RouterTest, PrefersUpstreamWithLowerScore) {
  struct Case {
    const char *Name;
    std::function<void(UpstreamTable &)> WorsenFirst;
  };
  const Case Cases[] = {
      {"reported load",
       [](auto &T) {
         T.setReport(up(0), LoadReport{6, 2, 0, TimePoint()});
       }},
      {"own sends", [](auto &T) { T.noteSend(up(0), TimePoint()); }},
      {"straggler",
       [](auto &T) {
         T.setReport(up(0), LoadReport{4, 0, 0, TimePoint()});
         T.setReport(up(1), LoadReport{5, 0, 0, TimePoint()});
         T.setStragglerFactor(up(0), 2.0);
       }},
      {"no credit", [](auto &T) { T.setCredits(up(0), 0); }},
      {"cold", [](auto &T) {
         T.setState(up(0), true, false, true);
         T.setReport(up(0), LoadReport{1, 0, 0, TimePoint()});
         T.setReport(up(1), LoadReport{2, 0, 0, TimePoint()});
       }}};
  for (const Case &Case : Cases) {
    UpstreamTable Table;
    for (int I = 0; I < 2; ++I) {
      Table.putUpstream(UpstreamInfo{up(I), Home, Service, "v", {}, Boot, 8});
      Table.setCredits(up(I), 4);
    }
    Case.WorsenFirst(Table);
    for (std::uint64_t Random = 0; Random < 20; ++Random)
      EXPECT_EQ(route(Table, PrefixHints(), request(Random))->Upstream, up(1))
          << Case.Name;
  }
}

// Guards against leaving the own zone while it has room, and against staying in
// it when it is full.
TEST(RouterTest, LeavesOwnZoneOnlyWhenItHasNoRoom) {
  UpstreamTable Table = makeTable(30);
  for (std::uint64_t Random = 0; Random < 50; ++Random)
    EXPECT_EQ(
        Table.find(route(Table, PrefixHints(), request(Random))->Upstream)
            ->Info.Zone,
        Home);
  for (int I = 0; I < 30; I += 3)
    Table.setReport(up(I), LoadReport{20, 20, 0, TimePoint()});
  int Outside = 0;
  for (std::uint64_t Random = 0; Random < 50; ++Random)
    Outside +=
        Table.find(route(Table, PrefixHints(), request(Random))->Upstream)
                    ->Info.Zone != Home
            ? 1
            : 0;
  EXPECT_GT(Outside, 35);
}

// Guards against ignoring a cached prefix, and against overloading the upstream
// that holds it.
TEST(RouterTest, FollowsPrefixUntilHolderIsLoaded) {
  UpstreamTable Table = makeTable(300);
  PrefixHints Hints;
  RouteRequest Request = request();
  for (PrefixHash Hash = 1; Hash <= 40; ++Hash) {
    Request.Prompt.push_back(Hash);
    Hints.apply(up(3), Boot, CacheEvent{Hash, CacheEvent::Stored, Hash});
  }
  RouteChoice Choice = *route(Table, Hints, Request);
  EXPECT_EQ(Choice.Upstream, up(3));
  EXPECT_EQ(Choice.CachedBlocks, 40);
  EXPECT_EQ(Choice.MoveKvFrom, UpstreamId());
  Table.setReport(up(3), LoadReport{8, 8, 0, TimePoint()});
  Choice = *route(Table, Hints, Request);
  EXPECT_NE(Choice.Upstream, up(3));
  EXPECT_EQ(Choice.MoveKvFrom, up(3));
  RouteWeights Slow;
  Slow.KvMoveMsPerBlock = 100;
  EXPECT_EQ(route(Table, Hints, Request, Slow)->MoveKvFrom, UpstreamId());
}

// Guards against random candidates that aren't uniformly distributed or depend
// on anything but the random number of the request.
TEST(RouterTest, SpreadsChoicesOverEqualUpstreams) {
  UpstreamTable Table = makeTable(30);
  std::map<UpstreamId, int> Choices;
  for (std::uint64_t Random = 0; Random < 10'000; ++Random)
    ++Choices[route(Table, PrefixHints(), request(Random))->Upstream];
  ASSERT_EQ(Choices.size(), 10u);
  for (const auto &[Id, Count] : Choices)
    EXPECT_NEAR(Count, 1000, 150) << Id.str();
  EXPECT_EQ(route(Table, PrefixHints(), request(5))->Upstream,
            route(Table, PrefixHints(), request(5))->Upstream);
}

// Guards against buckets that become inconsistent with the table after a series
// of changes: an upstream is chosen exactly if a full scan finds one that can
// serve the request.
RC_GTEST_PROP(RouterTest, ChoosesIfAndOnlyIfOneFits, ()) {
  UpstreamTable Table = makeTable(6);
  auto Ops = *rc::gen::container<std::vector<std::uint32_t>>(
      40, rc::gen::inRange<std::uint32_t>(0, 1u << 16));
  for (std::uint32_t Op : Ops) {
    int Number = static_cast<int>(Op % 6);
    std::uint32_t Bits = Op / 64;
    switch (Op / 8 % 4) {
    case 0:
      Table.setState(up(Number), Bits & 1, Bits & 2, Bits & 4);
      break;
    case 1:
      Table.setZoneOut(ZoneId("z" + std::to_string(Number % 3)), Bits & 1);
      break;
    case 2:
      Table.removeUpstream(up(Number));
      break;
    default:
      Table.putUpstream(UpstreamInfo{
          up(Number), ZoneId("z" + std::to_string(Bits % 3)), Service, "v",
          Bits & 8 ? std::vector<std::string>{"ad"}
                   : std::vector<std::string>{},
          Boot, 8});
    }
    RouteRequest Request = request(Op);
    Request.Adapter = Bits & 16 ? "ad" : "";
    Request.Exclude = {up(static_cast<int>(Bits % 6))};
    bool Fits = false;
    for (int I = 0; I < 6; ++I) {
      const UpstreamView *View = Table.find(up(I));
      Fits |= View && Table.isEligible(*View) && up(I) != Request.Exclude[0] &&
              (Request.Adapter.empty() || !View->Info.Adapters.empty());
    }
    auto Choice = route(Table, PrefixHints(), Request);
    RC_ASSERT(Choice.has_value() == Fits);
    if (Choice)
      RC_ASSERT(Choice->Upstream != Request.Exclude[0]);
  }
}

} // namespace
} // namespace samphirehill
