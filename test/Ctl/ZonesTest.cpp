#include "samphirehill/Ctl/Zones.h"

#include "CtlFixture.h"

namespace samphirehill {
namespace {

class ZonesTest : public CtlFixture {
protected:
  ZonesTest() {
    put("zones/state", 0, {{"zones", Json::object()}});
    for (const char *Zone : {"mu-1", "mu-2", "mu-3"})
      put(std::string("placement/") + Zone, 0, Json::object());
  }

  Report change(std::vector<ZoneId> Zones, const std::string &State = "out") {
    VentureClient Venture(Io, options());
    return changeZones(
        Venture, {std::move(Zones), State, "lumen", milliseconds(200)}, tell());
  }
  Json zones() { return stored("zones/state")["value"]["zones"]; }
  static Json item(const std::string &State, int Counter) {
    return {{"state", State},
            {"stamp", {{"counter", Counter}, {"operator", "zarqa/c"}}}};
  }
  // An entry that holds Zone's state under Counter.
  void addHolder(const std::string &Zone, int Counter) {
    addEntry([=] {
      return Json{
          {"entry", "lumen-1"},
          {"versions",
           {{"zone/" + Zone, {{"counter", Counter}, {"origin", "zarqa/c"}}}}}};
    });
  }
};

const std::vector<ZoneId> Two = {ZoneId("mu-1"), ZoneId("mu-2")};

// Guards against several writes for one change, of which some could fail, and
// against a change that loses the other zones' states.
TEST_F(ZonesTest, ChangesSeveralZonesByOneWrite) {
  put("zones/state", 1, {{"zones", {{"mu-3", item("out", 4)}}}});
  EXPECT_EQ(code(change(Two)), ResultCode::Ok);
  EXPECT_EQ(stored("zones/state")["version"], 3);
  EXPECT_EQ(zones()["mu-1"]["state"], "out");
  EXPECT_EQ(zones()["mu-2"]["state"], "out");
  EXPECT_EQ(zones()["mu-3"], item("out", 4));
}

// Guards against a stored change that never comes in force because an entry
// holds a higher stamp that the platform has not seen.
TEST_F(ZonesTest, StampsAboveWhatEntriesHold) {
  addHolder("mu-1", 9);
  EXPECT_EQ(code(change({ZoneId("mu-1")})), ResultCode::Timeout);
  EXPECT_EQ(zones()["mu-1"]["stamp"]["counter"], 10);
}

// Guards against a change that is refused, lost or made twice under the faults
// of the platform.
TEST_F(ZonesTest, EndsInOneWayUnderFaults) {
  struct Row {
    const char *Name;
    Json Faults;
    ResultCode Result;
    const char *Via;
  };
  const std::vector<Row> Rows = {
      {"lost answer", {{"loseAnswers", 1}}, ResultCode::Ok, "platform"},
      {"lost request", {{"loseRequests", 1}}, ResultCode::Ok, "platform"},
      {"outage",
       {{"outage", true}},
       ResultCode::PlatformUnavailable,
       "entries"},
      {"no connection",
       {{"unreachable", true}},
       ResultCode::PlatformUnavailable,
       "entries"},
  };
  for (const Row &Case : Rows) {
    SCOPED_TRACE(Case.Name);
    faults(Case.Faults);
    Report Result = change(Two);
    EXPECT_EQ(code(Result), Case.Result);
    EXPECT_EQ(Result.Fields["via"], Case.Via);
    faults({{"outage", false}, {"unreachable", false}});
  }
}

// Guards against entries that get different stamps for one change: each would
// take the other's state for older or newer.
TEST_F(ZonesTest, GivesOneStampToAllEntriesInOutage) {
  addHolder("mu-1", 9);
  addHolder("mu-1", 7);
  faults({{"outage", true}});
  Report Result = change(Two);
  EXPECT_EQ(Result.Fields["via"], "entries");
  EXPECT_TRUE(Result.Fields["changed"]);
  ASSERT_EQ(ZoneCalls.size(), 4u);
  for (const Json &Call : ZoneCalls) {
    EXPECT_EQ(Call["state"], "out");
    EXPECT_EQ(Call["stamp"]["origin"], ZoneCalls.front()["stamp"]["origin"]);
    EXPECT_EQ(Call["stamp"]["counter"], Call["zone"] == "mu-1" ? 10 : 1);
  }
  expectNoSecret(Result);
  ZoneAnswer = 409;
  Report Refused = change(Two);
  EXPECT_EQ(exitCodeOf(Refused), ExitConflict);
  EXPECT_FALSE(Refused.Fields["changed"]);
}

// Guards against a change that undoes another operator's of the same moment,
// and against a refusal because of a change of other zones.
TEST_F(ZonesTest, RefusesOnlyWhenSameZoneWasChangedMeanwhile) {
  for (bool SameZone : {false, true}) {
    SCOPED_TRACE(SameZone);
    int Version = stored("zones/state")["version"];
    const char *Zone = SameZone ? "mu-1" : "mu-3";
    BeforeWrite = [&](const standin::Request &) {
      BeforeWrite = nullptr;
      put("zones/state", Version, {{"zones", {{Zone, item("in", 50)}}}});
    };
    Report Result = change({ZoneId("mu-1")});
    EXPECT_EQ(code(Result), SameZone ? ResultCode::Conflict : ResultCode::Ok);
    EXPECT_EQ(zones()[Zone], item("in", 50));
  }
}

// Guards against a typing error that seems to have worked.
TEST_F(ZonesTest, RefusesUnknownZone) {
  EXPECT_EQ(code(change({ZoneId("mu-1"), ZoneId("mu-9")})),
            ResultCode::NotFound);
  EXPECT_TRUE(zones().empty());
}

} // namespace
} // namespace samphirehill
