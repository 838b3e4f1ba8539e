#include "samphirehill/Ctl/Timeline.h"

#include "CtlFixture.h"
#include "samphirehill/Ctl/StatusReport.h"

namespace samphirehill {
namespace {

Json event(std::int64_t At, const std::string &Process) {
  return {{"us", At},
          {"counter", 2},
          {"process", Process},
          {"kind", "in-force"},
          {"subject", "config/lumen"},
          {"cause", "version 2"},
          {"request", "lumen-1.7.1"}};
}

class TimelineTest : public CtlFixture {
protected:
  Report timeline(TimelineFormat Format) {
    VentureClient Venture(Io, options());
    return reportTimeline(Venture, Format, tell());
  }
};

// Guards against an event lost or doubled, and a dead entry that hides the time
// line of all others.
TEST_F(TimelineTest, AsksOtherEntriesForSilentProcesses) {
  Entries.push_back(
      addServer([](const auto &, const auto &To) { To->drop(); }));
  addEntry([] {
    return Json{{"events", {event(1'000'000, "a"), event(3'000'000, "b")}},
                {"silent", {"c", "d"}}};
  });
  addEntry([] {
    return Json{{"events", {event(2'000'002, "c"), event(3'000'000, "b")}},
                {"silent", Json::array()}};
  });
  Report Result = timeline(TimelineFormat::Text);
  EXPECT_EQ(code(Result), ResultCode::Ok);
  EXPECT_EQ(Output,
            "1970-01-01T00:00:01.000000Z+2 a in-force config/lumen (version 2) "
            "[lumen-1.7.1]\n"
            "1970-01-01T00:00:02.000002Z+2 c in-force config/lumen (version 2) "
            "[lumen-1.7.1]\n"
            "1970-01-01T00:00:03.000000Z+2 b in-force config/lumen (version 2) "
            "[lumen-1.7.1]\n"
            "no events from d: it does not answer\n");
  expectNoSecret(Result);
}

// Guards against JSON that trace viewers refuse: each needs a phase, a time,
// process and thread numbers, and the names as metadata.
TEST_F(TimelineTest, WritesTraceEvents) {
  addEntry([] {
    return Json{{"events", {event(5, "a"), event(6, "b"), event(7, "a")}}};
  });
  EXPECT_EQ(code(timeline(TimelineFormat::Trace)), ResultCode::Ok);
  Json Trace = Json::parse(Output);
  std::map<int, std::string> Names;
  std::vector<std::pair<std::int64_t, std::string>> Instants;
  for (const Json &Each : Trace["traceEvents"]) {
    EXPECT_TRUE(Each["tid"].is_number());
    if (Each["ph"] == "M" && Each["name"] == "process_name")
      Names[Each["pid"]] = Each["args"]["name"];
    else if (Each["ph"] == "i" && Each["s"] == "p")
      Instants.emplace_back(Each["ts"], Names.at(Each["pid"]));
    else
      ADD_FAILURE() << Each;
  }
  EXPECT_EQ(Names.size(), 2u);
  EXPECT_EQ(Instants, (std::vector<std::pair<std::int64_t, std::string>>{
                          {5, "a"}, {6, "b"}, {7, "a"}}));
}

// Guards against a broken answer that ends the tool with an exception.
TEST_F(TimelineTest, FailsOnBrokenAnswer) {
  addEntry([] { return Json{{"events", {{{"us", "x"}}}}}; });
  EXPECT_EQ(code(timeline(TimelineFormat::Text)), ResultCode::BadAnswer);
}

// Guards against a merged status that shows an old zone state, or hides an
// entry that is behind or doesn't answer.
TEST(StatusReportTest, TakesNewestOfEachAndNamesEntriesBehind) {
  auto Status = [](const char *Entry, int Version, int Counter,
                   const char *State) {
    return Json{{"entry", Entry},
                {"zone", "mu-1"},
                {"inForce", {{"lumen", Version}}},
                {"zones", {{"mu-2", State}}},
                {"versions",
                 {{"zone/mu-2", {{"counter", Counter}, {"origin", "x/1"}}}}}};
  };
  Json Merged = mergeStatuses(
      {"a:1", "b:1", "c:1"},
      {Status("a", 1, 5, "out"), Status("b", 2, 4, "in"),
       Error{ResultCode::Timeout, "http://c:1/operator/status: no answer"}});
  EXPECT_EQ(Merged["inForce"]["lumen"]["version"], 2);
  EXPECT_EQ(Merged["inForce"]["lumen"]["behind"], Json({"a"}));
  EXPECT_EQ(Merged["zones"]["mu-2"], "out");
  std::string Table;
  for (const std::string &Line : statusTable(Merged))
    Table += Line + "\n";
  EXPECT_NE(Table.find("behind: a lacks version 2 of lumen"),
            std::string::npos);
  EXPECT_NE(Table.find("no status: 4011 timeout: http://c:1"),
            std::string::npos);
}

} // namespace
} // namespace samphirehill
