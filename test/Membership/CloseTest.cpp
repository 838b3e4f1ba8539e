#include "samphirehill/Membership/Close.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(100)};
const StoredObject Zones{"zones", "state", 4};
const StoredObject Text{"config", "lumen", 2};
const StoredObject Shard{"records", "7", 9};

// A close in which every entry has acknowledged and every engine is idle. The
// test rows change parts of this view.
ToolCloseView idleView() {
  ToolCloseView View;
  View.Objects = {Zones, Text, Shard};
  View.MarkSet = true;
  View.Entries = {{EntryId("a"), true, true}};
  View.Engines = {{InstanceId("e"), true, false, 0}};
  View.WaitingSince = Start;
  return View;
}

// Guards against objects that are deleted while an entry or engine still works,
// and against a close that never ends or leaves objects undeleted.
TEST(CloseTest, DerivesToolStepFromWhatExists) {
  struct Row {
    const char *Name;
    void (*Change)(ToolCloseView &);
    std::int64_t AfterMs;
    ToolCloseStep Expected;
  };
  const DeleteObjects Deletion{{Text, Shard, Zones}, {}};
  const std::vector<Row> Rows{
      {"read failed", [](auto &View) { View.Objects.reset(); }, 0, ReadAgain{}},
      {"nothing left", [](auto &View) { View.Objects->clear(); }, 0,
       CloseDone{}},
      {"no mark", [](auto &View) { View.MarkSet = false; }, 0, SetCloseMark{4}},
      {"zones deleted, others exist",
       [](auto &View) { View.Objects->erase(View.Objects->begin()); }, 0,
       SetCloseMark{0}},
      {"entry works", [](auto &View) { View.Entries[0].Acknowledged = false; },
       3'600'000, WaitForEntries{{EntryId("a")}}},
      {"entry silent", [](auto &View) { View.Entries[0].Answered = false; },
       119'999, WaitForEntries{{EntryId("a")}}},
      {"entry silent for long",
       [](auto &View) { View.Entries[0].Answered = false; }, 120'000,
       DeleteObjects{{Text, Shard, Zones}, {"a"}}},
      {"engine loaded", [](auto &View) { View.Engines[0].Loaded = true; },
       3'600'000, WaitForEngines{{InstanceId("e")}}},
      {"engine runs", [](auto &View) { View.Engines[0].Requests = 1; },
       3'600'000, WaitForEngines{{InstanceId("e")}}},
      {"engine silent for long",
       [](auto &View) { View.Engines[0].Answered = false; }, 120'000,
       DeleteObjects{{Text, Shard, Zones}, {"e"}}},
      {"all idle", [](auto &) {}, 0, Deletion},
      {"crashed during deletion", [](auto &View) { View.Objects = {Zones}; }, 0,
       DeleteObjects{{Zones}, {}}},
  };
  for (const Row &Case : Rows) {
    ToolCloseView View = idleView();
    Case.Change(View);
    EXPECT_EQ(nextCloseStep(View, Start + milliseconds(Case.AfterMs)),
              Case.Expected)
        << Case.Name;
  }
}

// Guards against a close that doesn't finish when the tool crashes after every
// call and is started again.
TEST(CloseTest, FinishesWhenToolCrashesAfterEachCall) {
  ToolCloseView View = idleView();
  View.MarkSet = false;
  bool Done = false;
  std::vector<StoredObject> Deleted;
  for (int Run = 0; Run < 10 && !Done; ++Run) {
    ToolCloseStep Step = nextCloseStep(View, Start);
    if (std::holds_alternative<SetCloseMark>(Step)) {
      View.MarkSet = true;
    } else if (const auto *Delete = std::get_if<DeleteObjects>(&Step)) {
      Deleted.push_back(Delete->Objects.front());
      std::erase(*View.Objects, Delete->Objects.front());
    }
    Done = std::holds_alternative<CloseDone>(Step);
  }
  EXPECT_TRUE(Done);
  EXPECT_EQ(Deleted, (std::vector<StoredObject>{Text, Shard, Zones}));
}

// Guards against requests that the close aborts, engines that are unloaded
// while requests run on them, and requests that are admitted by an entry that
// was paused throughout the close.
TEST(CloseTest, DerivesEntryDecisionFromWhatExists) {
  const std::vector<EngineCloseReport> Engines{
      {InstanceId("loaded"), true, true, 0},
      {InstanceId("busy"), true, true, 2},
      {InstanceId("idle"), true, false, 0},
      {InstanceId("silent"), false, true, 0}};
  const std::vector<InstanceId> Loaded{InstanceId("loaded")};
  struct Row {
    const char *Name;
    EntryCloseView View;
    EntryCloseDecision Expected;
  };
  const std::vector<Row> Rows{
      {"open", {false, false, 0, true, true, Engines}, {}},
      {"work in progress",
       {true, false, 3, true, true, Engines},
       {true, false, {}, false}},
      {"not the controller",
       {true, false, 0, false, true, Engines},
       {true, true, {}, false}},
      {"other entries still work",
       {true, false, 0, true, false, Engines},
       {true, true, {}, false}},
      {"controller",
       {true, false, 0, true, true, Engines},
       {true, true, Loaded, false}},
      {"paused through the close",
       {false, true, 1, false, false, {}},
       {true, false, {}, false}},
      {"finished", {true, true, 0, false, false, {}}, {true, true, {}, true}},
  };
  for (const Row &Case : Rows)
    EXPECT_EQ(closeDecision(Case.View), Case.Expected) << Case.Name;
}

} // namespace
} // namespace samphirehill
