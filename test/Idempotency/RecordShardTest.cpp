#include "samphirehill/Idempotency/RecordShard.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace samphirehill {
namespace {

constexpr WallTime Wall{seconds(1'800'000'000)};
constexpr TimePoint Start{seconds(100)};

// A shard at entry "a", the actions of its last event, and the last write, read
// and call attempt that it started.
struct Fixture {
  explicit Fixture(std::size_t MaxRecords = MaxShardRecords)
      : Shard(ShardSettings{EntryId("a"), 5}) {
    Shard.Settings.MaxRecords = MaxRecords;
  }

  void feed(const ShardEvent &Event) {
    Last = step(Shard, Event, Now, Wall);
    for (const ShardAction &Action : Last) {
      if (const auto *Write = std::get_if<WriteShard>(&Action))
        Put = *Write;
      if (const auto *Read = std::get_if<ReadShard>(&Action))
        ReadId = Read->ReadId;
      if (const auto *Sent = std::get_if<SendCall>(&Action))
        Attempt = Sent->Attempt;
    }
  }
  void arrive(const std::string &Record, const char *Request,
              std::uint64_t Body = 1) {
    feed(CallArrived{RequestId(Request), Record, Body, Now + seconds(60)});
  }
  void found(const ShardObject &Value, std::uint64_t Version,
             const std::string &WriteId = "other") {
    feed(ReadReport{ReadId, ReadReport::Found, Version, WriteId, Value});
  }
  void stored() {
    feed(WriteReport{Put.WriteId, WriteReport::Stored, Put.Version + 1});
  }
  // Acquires the shard and sends the call of Record.
  void run(const std::string &Record, const char *Request) {
    arrive(Record, Request);
    if (Shard.Holding == RecordShard::Hold::Acquiring)
      found(ShardObject(), 1);
    stored();
  }
  template <typename T> std::size_t count() const {
    std::size_t Count = 0;
    for (const ShardAction &Action : Last)
      Count += std::holds_alternative<T>(Action) ? 1 : 0;
    return Count;
  }
  ResultCode refusal() const {
    for (const ShardAction &Action : Last)
      if (const auto *Refusal = std::get_if<AnswerRefusal>(&Action))
        return Refusal->Code;
    return ResultCode::Ok;
  }
  ShardObject written() const {
    return std::get<0>(capture([&] { return shardObjectFromJson(Put.Value); }));
  }

  RecordShard Shard;
  TimePoint Now = Start;
  std::vector<ShardAction> Last;
  WriteShard Put;
  std::uint64_t ReadId = 0;
  std::uint64_t Attempt = 0;
};

// Guards against sending a call before its record is stored. The table gives,
// for each result of the write, the numbers of calls and reads that follow.
TEST(RecordShardTest, SendsOnlyAfterStoredWrite) {
  struct Case {
    WriteReport::Kind Answer;
    std::size_t Sent;
    std::size_t Reads;
  };
  for (Case Case :
       {Case{WriteReport::Stored, 1, 0}, Case{WriteReport::Conflict, 0, 1},
        Case{WriteReport::Refused, 0, 0}, Case{WriteReport::Gone, 0, 1},
        Case{WriteReport::Lost, 0, 1}}) {
    Fixture Test;
    Test.arrive("k", "r1");
    Test.found(ShardObject(), 1);
    EXPECT_EQ(Test.count<SendCall>(), 0u);
    EXPECT_EQ(Test.written().Epoch, 1u);
    EXPECT_TRUE(Test.written().Records.contains("k"));
    Test.feed(WriteReport{Test.Put.WriteId, Case.Answer, 2});
    EXPECT_EQ(Test.count<SendCall>(), Case.Sent) << Case.Answer;
    EXPECT_EQ(Test.count<ReadShard>(), Case.Reads) << Case.Answer;
  }
}

// Guards against a wrong conclusion about a write whose answer was lost: only
// the write id of the stored object shows whether the write was stored.
TEST(RecordShardTest, ResolvesLostWriteByReadingObject) {
  struct Case {
    const char *Name;
    bool OwnWriteId;
    const char *Owner;
    std::size_t Sent, Writes, Forwards;
  };
  for (Case Case : {Case{"stored", true, "a", 1, 0, 0},
                    Case{"not stored", false, "a", 0, 1, 0},
                    Case{"other owner", false, "b", 0, 0, 1}}) {
    Fixture Test;
    Test.run("k", "r1");
    Test.arrive("k2", "r2");
    Test.feed(WriteReport{Test.Put.WriteId, WriteReport::Lost});
    ShardObject Value = Test.written();
    Value.Owner = EntryId(Case.Owner);
    Test.found(Value, 3, Case.OwnWriteId ? Test.Put.WriteId : "other");
    EXPECT_EQ(Test.count<SendCall>(), Case.Sent) << Case.Name;
    EXPECT_EQ(Test.count<WriteShard>(), Case.Writes) << Case.Name;
    EXPECT_EQ(Test.count<ForwardCall>(), Case.Forwards) << Case.Name;
  }
}

// Guards against two writes in flight at once, and against a separate write for
// each record.
TEST(RecordShardTest, GroupsRecordsWhileWriteIsInFlight) {
  Fixture Test;
  Test.run("k0", "r0");
  Test.arrive("k1", "r1");
  EXPECT_EQ(Test.count<WriteShard>(), 1u);
  for (int I = 2; I < 10; ++I) {
    Test.arrive("k" + std::to_string(I), ("r" + std::to_string(I)).c_str());
    EXPECT_TRUE(Test.Last.empty());
  }
  Test.stored();
  EXPECT_EQ(Test.count<SendCall>(), 1u);
  EXPECT_EQ(Test.written().Records.size(), 10u);
  Test.stored();
  EXPECT_EQ(Test.count<SendCall>(), 8u);
}

// Guards against a caller that waits for its answer as long as the write of the
// outcome gets no answer.
TEST(RecordShardTest, AnswersAfterOutcomeWaitWithoutAcknowledgement) {
  Fixture Test;
  Test.run("k", "r1");
  Test.feed(CallEnded{Test.Attempt,
                      CallAnswered{CallOutcome{200, "text/plain", "x"}}});
  EXPECT_EQ(Test.count<AnswerOutcome>(), 0u);
  EXPECT_EQ(nextWake(Test.Shard), Start + milliseconds(500));
  Test.Now = Start + milliseconds(500);
  Test.feed(ShardTick{});
  EXPECT_EQ(Test.count<AnswerOutcome>(), 1u);
}

// Guards against a caller that waits until an outage ends, and against `not
// run` for a key that another entry may have run.
TEST(RecordShardTest, AnswersMayHaveRunWhileRecordsCannotBeRead) {
  Fixture Test;
  Test.arrive("k", "r1");
  Test.feed(ReadReport{Test.ReadId, ReadReport::Failed});
  EXPECT_EQ(Test.refusal(), ResultCode::OutcomeUnknown);
  EXPECT_GE(std::get<AnswerRefusal>(Test.Last[0]).RetryAfter, seconds(1));
  Test.arrive("k", "r2");
  EXPECT_EQ(Test.refusal(), ResultCode::OutcomeUnknown);
  Test.Now += seconds(1);
  Test.run("k", "r3");
  EXPECT_EQ(Test.count<SendCall>(), 1u);
}

// Guards against `not run` based on records that were read before the request
// arrived, and against `may have run` if a later read excludes that.
TEST(RecordShardTest, AnswersNotRunOnlyAfterReadSinceArrival) {
  Fixture Read; // the object is read, then the acquiring write is lost
  Read.arrive("k", "r1");
  Read.found(ShardObject(), 1);
  Read.feed(WriteReport{Read.Put.WriteId, WriteReport::Lost});
  Read.feed(ReadReport{Read.ReadId, ReadReport::Failed});
  EXPECT_EQ(Read.refusal(), ResultCode::RecordStoreUnavailable);
  EXPECT_GE(std::get<AnswerRefusal>(Read.Last[0]).RetryAfter, seconds(1));

  Fixture Early; // the read began before the second arrival
  Early.arrive("k", "r1");
  Early.arrive("k2", "r2");
  Early.found(ShardObject(), 1);
  Early.feed(WriteReport{Early.Put.WriteId, WriteReport::Lost});
  Early.feed(ReadReport{Early.ReadId, ReadReport::Failed});
  ASSERT_EQ(Early.count<AnswerRefusal>(), 2u);
  EXPECT_EQ(Early.refusal(), ResultCode::RecordStoreUnavailable);
  EXPECT_EQ(std::get<AnswerRefusal>(Early.Last[1]).Code,
            ResultCode::OutcomeUnknown);

  Fixture Held; // the shard is held, but another entry may have
                // taken it over since
  Held.run("k0", "r0");
  Held.arrive("k", "r1");
  Held.feed(WriteReport{Held.Put.WriteId, WriteReport::Lost});
  Held.feed(ReadReport{Held.ReadId, ReadReport::Failed});
  EXPECT_EQ(Held.refusal(), ResultCode::OutcomeUnknown);
}

// Guards against running a key whose call was started by an earlier owner, and
// against an untrue `not run` for that key, also while the platform is
// unavailable.
TEST(RecordShardTest, AnswersMayHaveRunForStartedRecordOfEarlierEpoch) {
  ShardObject Value{EntryId("b"), 1, 4, {{"k", ShardRecord{1, 9, 4}}}};
  Value.Records["k"].StartedAt = 1'800'000'000;
  Fixture Test;
  Test.arrive("k", "r1");
  Test.found(Value, 7);
  EXPECT_EQ(Test.written().Epoch, 5u);
  Test.stored();
  Test.found(Test.written(), 8, Test.Put.WriteId);
  EXPECT_EQ(Test.refusal(), ResultCode::OutcomeUnknown);
  Test.arrive("k", "r2");
  Test.feed(ReadReport{Test.ReadId, ReadReport::Failed});
  EXPECT_EQ(Test.refusal(), ResultCode::OutcomeUnknown);
}

// Guards against dropping an unexpired record, and against a shard that stays
// full after its records have expired.
TEST(RecordShardTest, RefusesNewKeysOnlyWhileFullOfLiveRecords) {
  for (std::int64_t Age : {86'399, 86'400}) {
    ShardObject Value;
    Value.Records["old"] =
        ShardRecord{1, 9, 1, 1'800'000'000 - Age, CallOutcome{200, "", "x"}};
    Fixture Test(1);
    Test.arrive("new", "r1");
    Test.found(Value, 1);
    Test.stored();
    if (Age < 86'400)
      Test.found(Test.written(), 2, Test.Put.WriteId);
    EXPECT_EQ(Test.refusal(),
              Age < 86'400 ? ResultCode::RecordShardFull : ResultCode::Ok);
    EXPECT_EQ(Test.count<SendCall>(), Age < 86'400 ? 0u : 1u);
  }
}

// Guards against a second call of a key with a different body, and against
// refusing a key whose call was not run.
TEST(RecordShardTest, RefusesDifferentBodyAndReleasesKeyWhenCallDidNotRun) {
  Fixture Test;
  Test.run("k", "r1");
  Test.arrive("k", "r2", 2);
  EXPECT_EQ(Test.refusal(), ResultCode::IdempotencyKeyMismatch);
  Test.feed(CallEnded{Test.Attempt, CallNotRun{}});
  EXPECT_EQ(Test.refusal(), ResultCode::UpstreamRefused);
  Test.stored();
  Test.run("k", "r3");
  EXPECT_EQ(Test.count<SendCall>(), 1u);
}

// Guards against releasing a shard before the outcomes of its calls in progress
// are recorded.
TEST(RecordShardTest, HandsOverAfterLastOutcomeIsRecorded) {
  Fixture Test;
  Test.run("k", "r1");
  Test.feed(HandOver{});
  EXPECT_TRUE(Test.Last.empty());
  Test.arrive("new", "r2");
  EXPECT_EQ(Test.count<ForwardCall>(), 1u);
  Test.feed(CallEnded{Test.Attempt, CallAnswered{CallOutcome{200, "", "x"}}});
  EXPECT_EQ(Test.written().Owner, EntryId("a"));
  Test.stored();
  EXPECT_EQ(Test.count<AnswerOutcome>(), 1u);
  EXPECT_EQ(Test.written().Owner, EntryId());
  Test.stored();
  EXPECT_EQ(Test.count<ShardReleased>(), 1u);
}

// Guards against sending a call whose caller has been refused at its deadline
// or has disconnected.
TEST(RecordShardTest, DoesNotSendAfterDeadlineOrWhenCallerIsGone) {
  for (bool Gone : {false, true}) {
    Fixture Test;
    Test.arrive("k", "r1");
    Test.found(ShardObject(), 1);
    if (Gone)
      Test.feed(CallerGone{RequestId("r1")});
    else
      Test.Now += seconds(60);
    Test.stored();
    EXPECT_EQ(Test.count<SendCall>(), 0u);
    EXPECT_FALSE(Test.written().Records.contains("k"));
  }
}

// Guards against an object above the platform's size limit. The shard has 4,096
// records, each with the longest body that is kept, and numbers of the maximum
// length.
TEST(RecordShardTest, KeepsFullObjectUnderOneMegabyte) {
  Fixture Test;
  ShardObject Value;
  Value.Epoch = ~std::uint64_t(0) - 1;
  for (std::size_t I = 0; I < MaxShardRecords; ++I)
    Value.Records[recordIdOf(OrganisationId("o"), std::to_string(I))] =
        ShardRecord{~std::uint64_t(0), I, ~std::uint64_t(0), 1'800'000'000,
                    std::nullopt};
  Test.arrive("first", "r0");
  Test.found(Value, 1);
  std::size_t Trimmed = 0;
  for (auto &[Id, Record] : Test.Shard.Image.Records) {
    RecordShard::Call &Call = Test.Shard.Calls[Id];
    Call.State = RecordShard::Phase::Running;
    Call.Attempt = Record.Attempt;
  }
  Test.Shard.Write->Attempts.clear();
  for (std::size_t I = 0; I < MaxShardRecords; ++I) {
    std::string Body(MaxKeptBodyBytes + (I == 0 ? 1 : 0), '\xff');
    Test.feed(CallEnded{I, CallAnswered{CallOutcome{200, "a/b", Body}}});
  }
  for (const auto &[Id, Record] : Test.Shard.Image.Records) {
    ASSERT_TRUE(Record.Outcome.has_value());
    Trimmed += Record.Outcome->Trimmed ? 1 : 0;
  }
  EXPECT_LT(toJson(Test.Shard.Image).size(), MaxShardBytes);
  EXPECT_GT(Trimmed, 1u);
  EXPECT_LT(Trimmed, MaxShardRecords - 100);
}

// Guards against a record that changes when it is stored and read.
RC_GTEST_PROP(ShardObjectTest, RoundTripsThroughJson,
              (const std::string &Body)) {
  ShardObject Value{EntryId("a"), 3, 4, {}};
  Value.Records["x"] =
      ShardRecord{*rc::gen::arbitrary<std::uint64_t>(), 2, 3, 4, {}};
  Value.Records["y"] =
      ShardRecord{1, 2, 3, 4, CallOutcome{200, "text/plain", Body}};
  auto Parsed = capture([&] { return shardObjectFromJson(toJson(Value)); });
  RC_ASSERT(std::get<0>(Parsed) == Value);
}

// Guards against an exception or a partly parsed object for a malformed value.
TEST(ShardObjectTest, FailsWithBadAnswerWhenJsonIsMalformed) {
  for (const char *Text :
       {"", "{", "{}", "[]", R"({"owner":"","incarnation":0,"epoch":0})",
        R"({"owner":"","incarnation":0,"epoch":0,"records":[["a","1"]]})",
        R"({"owner":"","incarnation":0,"epoch":0,"records":[["a",
           "000000000000000g","0000000000000000",1,1]]})"}) {
    auto Parsed = capture([&] { return shardObjectFromJson(Text); });
    ASSERT_NE(errorOf(Parsed), nullptr) << Text;
    EXPECT_EQ(errorOf(Parsed)->Code, ResultCode::BadAnswer);
  }
}

} // namespace
} // namespace samphirehill
