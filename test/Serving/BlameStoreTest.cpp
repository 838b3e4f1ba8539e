// Tests that entries learn of blamed parts through the platform's store.
#include "samphirehill/Serving/BlameStore.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

namespace samphirehill::serving {
namespace {

constexpr PromptPart Bad = 0xabcdef0123456789;

class BlameStoreTest : public testing::Test {
protected:
  BlameStoreTest() : Timers(Context) {
    Store.List = [this](const std::string &, auto Done) {
      ++Lists;
      std::vector<StoredObject> All;
      for (const auto &[Name, Object] : Objects)
        All.push_back(Object);
      Done(All);
    };
    Store.Write = [this](const std::string &, const StoredObject &Object,
                         auto Done) {
      ++Writes;
      if (Objects[Object.Name].Revision != Object.Revision)
        return Done(Error{ResultCode::Conflict, "other revision"});
      StoredObject &Known = Objects[Object.Name];
      Known = Object;
      Known.Revision = ++Revision;
      Done(Known);
    };
  }

  void blame(PartSuspects &Suspects, PromptPart Part) {
    for (const char *Name : {"a", "b", "c"})
      noteCrash(Suspects,
                {{UpstreamId(Name), BootId("1")}, Name, Timers.now(), {{Part}}},
                Timers.now());
  }

  // Another entry, which has seen one crash only.
  void suspectOnce(PartSuspects &Suspects) {
    noteCrash(Suspects,
              {{UpstreamId("d"), BootId("1")}, "d", Timers.now(), {{Bad}}},
              Timers.now());
  }

  static bool isBlamed(const PartSuspects &Suspects) {
    return blamedPart(Suspects, std::vector<PromptPart>{Bad}).has_value();
  }

  asio::io_context Context;
  TimerService Timers;
  ObjectStore Store;
  std::map<std::string, StoredObject> Objects;
  std::int64_t Revision = 0;
  int Lists = 0;
  int Writes = 0;
  PartSuspects Known;
  PartSuspects CutOff;
  BlameStore Writer{Timers, Store, Known};
  BlameStore Reader{Timers, Store, CutOff};
};

// Guards against a bad part that each zone has to find out by its own crashes
// while the zones are cut off from each other.
TEST_F(BlameStoreTest, TellsEntryThatIsCutOff) {
  blame(Known, Bad);
  Writer.writeChanges();
  Writer.writeChanges();
  EXPECT_EQ(Writes, 1);
  suspectOnce(CutOff);
  EXPECT_FALSE(isBlamed(CutOff));
  Reader.readIfSuspecting();
  EXPECT_TRUE(isBlamed(CutOff));
}

TEST_F(BlameStoreTest, ReadsNothingWithoutSuspicionAndOnceASecond) {
  Reader.readIfSuspecting();
  EXPECT_EQ(Lists, 0);
  suspectOnce(CutOff);
  Reader.readIfSuspecting();
  Reader.readIfSuspecting();
  EXPECT_EQ(Lists, 1);
}

TEST_F(BlameStoreTest, WithdrawsBlameOfReleasedPart) {
  blame(Known, Bad);
  Writer.writeChanges();
  noteProof(Known, std::vector<PromptPart>{Bad}, Timers.now() + milliseconds(1),
            Timers.now());
  Writer.writeChanges();
  EXPECT_EQ(Writes, 2);
  suspectOnce(CutOff);
  Reader.readIfSuspecting();
  EXPECT_FALSE(isBlamed(CutOff));
  blame(Known, Bad);
}

// Guards against a bad part that crashes engines again after all entries have
// been killed at once (BUDGET).
TEST_F(BlameStoreTest, TellsEntryThatStartsWhenAllOthersHaveEnded) {
  blame(Known, Bad);
  Writer.writeChanges();
  Reader.readAtStart();
  EXPECT_TRUE(Reader.hasRead());
  EXPECT_TRUE(isBlamed(CutOff));
  Reader.readAtStart();
  EXPECT_EQ(Lists, 1);
}

// The entry that wrote a blame may have ended before the part is released.
TEST_F(BlameStoreTest, WithdrawsBlameThatAnotherEntryHasWritten) {
  for (bool Read : {true, false}) {
    PartSuspects Other;
    BlameStore Later{Timers, Store, Other};
    blame(Known, Bad);
    Writer.writeChanges();
    if (Read)
      Later.readAtStart();
    else
      blame(Other, Bad);
    Later.writeChanges();
    noteProof(Other, std::vector<PromptPart>{Bad},
              Timers.now() + milliseconds(1), Timers.now());
    for (int Tick = 0; Tick < 4; ++Tick)
      Later.writeChanges();
    EXPECT_EQ(
        decodeBlame(Objects.begin()->second, Timers.now(), Timers.wallNow()),
        SuspectReport{})
        << Read;
    Objects.clear();
    Writer.noteStoreRestored();
  }
}

// Guards against a blame that no newcomer learns of, as it is lost when the
// store is restored.
TEST_F(BlameStoreTest, WritesBlameAgainThatIsLost) {
  blame(Known, Bad);
  Writer.writeChanges();
  Objects.clear();
  Writer.noteStoreRestored();
  Writer.writeChanges();
  Writer.writeChanges();
  suspectOnce(CutOff);
  Reader.readIfSuspecting();
  EXPECT_TRUE(isBlamed(CutOff));
}

TEST_F(BlameStoreTest, WithdrawsBlameAgainThatCameBack) {
  blame(Known, Bad);
  Writer.writeChanges();
  std::map<std::string, StoredObject> Copy = Objects;
  noteProof(Known, std::vector<PromptPart>{Bad}, Timers.now() + milliseconds(1),
            Timers.now());
  Writer.writeChanges();
  Objects = Copy;
  Writer.noteStoreRestored();
  Writer.writeChanges();
  Writer.writeChanges();
  suspectOnce(CutOff);
  Reader.readIfSuspecting();
  EXPECT_FALSE(isBlamed(CutOff));
}

TEST_F(BlameStoreTest, LeavesPartAloneThatAnotherEntryHasWritten) {
  Objects["abcdef0123456789"] = {"abcdef0123456789", ++Revision, "{}"};
  blame(Known, Bad);
  Writer.writeChanges();
  Writer.writeChanges();
  EXPECT_EQ(Writes, 1);
}

TEST_F(BlameStoreTest, LeavesOutObjectsOfAnotherForm) {
  TimePoint Now{seconds(100)};
  WallTime Wall{seconds(1'000'000)};
  for (const char *Value :
       {"", "[]", "{}", "nonsense", R"({"crashes":1})",
        R"({"crashes":[1,{"engine":1}],"trials":-1,"last_trial_ms":"x"})",
        R"({"crashes":[{"engine":"e","boot":"b","domain":"d"}]})",
        R"({"crashes":[{"engine":"e","boot":"b","domain":"d","at_ms":1e99}]})"})
    EXPECT_EQ(decodeBlame({"7", 1, Value}, Now, Wall), SuspectReport{})
        << Value;
  const char *Sound =
      R"({"crashes":[{"engine":"e","boot":"b","domain":"d","at_ms":999999000}],)"
      R"("trials":2,"last_trial_ms":2000000000})";
  EXPECT_EQ(decodeBlame({"odd name", 1, Sound}, Now, Wall), SuspectReport{});
  SuspectReport Expected{
      {{{UpstreamId("e"), BootId("b")}, "d", Now - seconds(1), {{7}}}},
      {},
      {{7, 2, Now}}}; // no trial in the future
  EXPECT_EQ(decodeBlame({"7", 1, Sound}, Now, Wall), Expected);
}

} // namespace
} // namespace samphirehill::serving
