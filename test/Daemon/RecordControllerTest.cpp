#include "samphirehill/Daemon/RecordController.h"

#include "Daemon/RecordWorld.h"

#include <random>

namespace samphirehill {
namespace {

using standin::Json;

constexpr int Ok = 0;

int number(ResultCode Code) { return static_cast<int>(Code); }

class RecordControllerTest : public RecordWorld {};

// Guards against a second execution and against an answer that does not match
// what ran, for faults of platform and service around one call and its resend.
TEST_F(RecordControllerTest, KeepsOneExecutionUnderFaults) {
  struct Row {
    const char *Name;
    Json Platform, Service;
    ResultCode First, Resent;
    int Executions;
  };
  const Json None = Json::object();
  constexpr ResultCode Done = ResultCode::Ok;
  const Json LostWrite = {{"loseRequests", 1}},
             LostAnswer = {{"loseAnswers", 1}};
  const Json Delayed = {{"delayWrites", 1}, {"delayWritesMs", 20}};
  const Json Outage = {{"outage", true}}, CutOff = {{"unreachable", true}};
  const Json Fails = {{"fail", 1}}, Refuses = {{"refuse", 9}};
  const std::vector<Row> Rows = {
      {"no fault", None, None, Done, Done, 1},
      {"write done, answer lost", LostAnswer, None, Done, Done, 1},
      {"write lost", LostWrite, None, Done, Done, 1},
      {"write later", Delayed, None, Done, Done, 1},
      {"platform down", Outage, None, ResultCode::OutcomeUnknown, Done, 1},
      {"platform cut off", CutOff, None, ResultCode::OutcomeUnknown, Done, 1},
      {"service lost", None, LostAnswer, ResultCode::UpstreamLost,
       ResultCode::OutcomeUnknown, 1},
      {"service failed", None, Fails, Done, Done, 1},
      {"service refuses", None, Refuses, ResultCode::UpstreamRefused, Done, 1},
  };
  for (const Row &Case : Rows) {
    SCOPED_TRACE(Case.Name);
    std::string Key = keyOwnedBy(1);
    setPlatformFaults(Case.Platform);
    setFaults(Case.Service);
    Ask First = ask(0, Key, Case.Name);
    EXPECT_EQ(First->code(), number(Case.First));
    EXPECT_FALSE(First->replayed());
    bool Refused = Case.First != ResultCode::Ok;
    bool RetryLater = !findHeader(First->Answer.Headers, "Retry-After").empty();
    EXPECT_EQ(RetryLater, Refused && Case.First != ResultCode::UpstreamLost);
    setPlatformFaults({{"outage", false}, {"unreachable", false}});
    setFaults({{"refuse", 0}});
    int Tries = 0;
    Ask Resent = ask(2, Key, Case.Name);
    // The shard waits a little before it tries the platform again.
    while (Resent->code() == number(ResultCode::OutcomeUnknown) &&
           Case.Resent == ResultCode::Ok && ++Tries < 50) {
      bool Waited = false;
      auto Wait = Entries[0]->Shared.Timers.after(milliseconds(20),
                                                  [&] { Waited = true; });
      runUntil([&] { return Waited; });
      Resent = ask(2, Key, Case.Name);
    }
    EXPECT_EQ(Resent->code(), number(Case.Resent));
    EXPECT_EQ(executions()[Case.Name], Case.Executions);
    if (Case.First != ResultCode::Ok || Case.Resent != ResultCode::Ok)
      continue;
    EXPECT_TRUE(Resent->replayed());
    EXPECT_EQ(Resent->Answer.Status, First->Answer.Status);
    EXPECT_EQ(Resent->Answer.Body, First->Answer.Body);
  }
}

// Guards against an entry that runs a resend itself, and against a second body
// under one key, whichever entry it comes through.
TEST_F(RecordControllerTest, AnswersResendThroughAnyEntry) {
  std::string Key = keyOwnedBy(0);
  Ask First = ask(1, Key, "body");
  ASSERT_EQ(First->code(), Ok);
  EXPECT_EQ(findHeader(First->Answer.Headers, "Samphirehill-Run"), "run");
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    Ask Resent = ask(Entry, Key, "body");
    EXPECT_EQ(Resent->code(), Ok);
    EXPECT_TRUE(Resent->replayed());
    EXPECT_EQ(Resent->Answer.Body, First->Answer.Body);
    Ask Other = ask(Entry, Key, "other body");
    EXPECT_EQ(Other->code(), number(ResultCode::IdempotencyKeyMismatch));
  }
  EXPECT_EQ(executions().size(), 1u);
}

// Guards against a second execution when the owner ends after the start was
// recorded, and against a caller that waits out its deadline.
TEST_F(RecordControllerTest, SaysMayHaveRunWhenOwnerEndsBeforeAnswer) {
  setFaults({{"delayMs", 100}});
  std::string Key = keyOwnedBy(1);
  Ask First = start(0, Key, "body");
  runUntil([&] { return Entries[1]->Records->callsInProgress() == 1; });
  kill(1);
  runUntil([&] { return First->Answers > 0; });
  EXPECT_EQ(First->code(), number(ResultCode::OutcomeUnknown));
  Ask Resent = ask(2, Key, "body");
  EXPECT_EQ(Resent->code(), number(ResultCode::OutcomeUnknown));
  runUntil([&] { return executions()["body"] == 1; });
}

// Guards against a call that is lost with the message that carried it, whether
// the receiver is known to have ended or only never answers.
TEST_F(RecordControllerTest, PassesCallOnWhenForwardBreaks) {
  std::string Key = keyOwnedBy(1);
  kill(1, false); // the message arrives nowhere
  Ask First = start(0, Key, "sent");
  bool Waited = false;
  auto Wait =
      Entries[0]->Shared.Timers.after(milliseconds(50), [&] { Waited = true; });
  runUntil([&] { return Waited; });
  EXPECT_EQ(First->Answers, 0);
  kill(1);
  runUntil([&] { return First->Answers > 0; });
  EXPECT_EQ(First->code(), Ok);

  Live.push_back(EntryId("e9")); // owns shards, but has no address
  std::string Unsent;
  for (int I = 0; Unsent.empty(); ++I)
    if (ownerOf("u" + std::to_string(I)) == 9)
      Unsent = "u" + std::to_string(I);
  RecordController Fresh(Entries[0]->parts(), *Entries[0]->Hub,
                         *Entries[0]->Store, Texts,
                         RecordPeers{[this] { return Live; },
                                     [](const auto &, auto) { return false; }});
  ASSERT_EQ(Fresh.owner(shardOf(OrganisationId("port-louis"), Unsent)),
            EntryId("e9"));
  auto Exchange = std::make_shared<FakeExchange>("unsent");
  RequestContext Request = request(0, Exchange);
  Request.IdempotencyKey = Unsent;
  Request.Deadline = Request.Arrived + seconds(5);
  Fresh.keyed(std::move(Request), [] {});
  runUntil([&] { return Exchange->Answers > 0; });
  EXPECT_EQ(Exchange->code(), Ok);
}

// Guards against a forward that outlasts the caller's deadline, and against
// `not run` for it.
TEST_F(RecordControllerTest, SaysMayHaveRunWhenForwardTimesOut) {
  std::string Key = keyOwnedBy(1);
  kill(1, false);
  Ask Late = ask(0, Key, "late", milliseconds(100));
  EXPECT_EQ(Late->code(), number(ResultCode::DeadlineExceeded));
}

// Guards against an untrue `not run` while the records can't be read, and
// against losing what the owner has in memory.
TEST_F(RecordControllerTest, AnswersFromMemoryWhilePlatformIsDown) {
  std::string Known = keyOwnedBy(0);
  ASSERT_EQ(ask(0, Known, "known")->code(), Ok);
  setPlatformFaults({{"outage", true}});
  Ask Replay = ask(1, Known, "known");
  EXPECT_EQ(Replay->code(), Ok);
  EXPECT_TRUE(Replay->replayed());
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    Ask New = ask(1, keyOwnedBy(Entry), "new");
    EXPECT_EQ(New->code(), number(ResultCode::OutcomeUnknown));
    EXPECT_FALSE(findHeader(New->Answer.Headers, "Retry-After").empty());
  }
  EXPECT_EQ(executions().count("new"), 0u);
}

// Guards against entry-issued keys that need the platform or run anywhere but
// at their issuer, and against `not run` once the issuer has ended.
TEST_F(RecordControllerTest, RunsEntryIssuedKeyAtItsIssuerOnly) {
  setPlatformFaults({{"outage", true}});
  std::string Key = issue(0);
  Ask First = ask(1, Key, "body");
  EXPECT_EQ(First->code(), Ok);
  Ask Resent = ask(2, Key, "body");
  EXPECT_EQ(Resent->code(), Ok);
  EXPECT_TRUE(Resent->replayed());
  EXPECT_EQ(ask(0, Key, "other")->code(),
            number(ResultCode::IdempotencyKeyMismatch));
  EXPECT_EQ(ask(0, Key + "0", "body")->code(), number(ResultCode::BadRequest));
  kill(0);
  EXPECT_EQ(ask(1, Key, "body")->code(), number(ResultCode::KeyOwnerGone));
  EXPECT_EQ(executions()["body"], 1);
}

// Guards against a shutdown that loses a call in progress or leaves a shard
// behind, and against records that the next owner doesn't find.
TEST_F(RecordControllerTest, HandsShardsOverAfterCallsInProgress) {
  setFaults({{"delayMs", 50}});
  std::string Key = keyOwnedBy(1);
  Ask Running = start(0, Key, "body");
  RecordController &Ending = *Entries[1]->Records;
  runUntil([&] { return Ending.callsInProgress() == 1; });
  EXPECT_EQ(Ending.shardsLeft(), 1u);
  Ending.handOver();
  runUntil([&] {
    return Ending.shardsLeft() == 0 && Ending.callsInProgress() == 0;
  });
  runUntil([&] { return Running->Answers > 0; });
  EXPECT_EQ(Running->code(), Ok);
  Ask Resent = ask(1, Key, "body");
  EXPECT_EQ(Resent->code(), Ok);
  EXPECT_TRUE(Resent->replayed());
  EXPECT_EQ(Ending.shardsLeft(), 0u);
}

// Guards against shards that are given to entries nobody can reach, and against
// entries of a zone that all disagree because only its relay hears others.
TEST(RecordCandidatesTest, LeavesOutUnreachableEntries) {
  TimePoint Now{seconds(100)};
  LivenessState State =
      makeLiveness(Member{EntryId("b"), ZoneId("z1")}, 1, {}, Now);
  auto Add = [&](const char *Name, const char *Zone, Health Heard) {
    PeerRecord &Added = State.Peers[EntryId(Name)];
    Added.Known = Member{EntryId(Name), ZoneId(Zone)};
    Added.Listed = true;
    Added.State = Heard;
    Added.LastReceivedAt = Now - seconds(60);
  };
  Add("c", "z1", Health::Alive);
  Add("d", "z1", Health::Suspect);
  Add("e", "z1", Health::Down);
  Add("f", "z1", Health::NoContact);
  Add("g", "z1", Health::Alive);
  State.Peers[EntryId("g")].Known.Leaving = true;
  Add("h", "z2", Health::NoContact);
  State.RemoteRelays[ZoneId("z2")] = EntryId("h");
  auto Names = [&] {
    std::string Joined;
    for (const EntryId &Each : recordCandidates(State, Now))
      Joined += Each.str();
    return Joined;
  };
  EXPECT_EQ(Names(), "bcd"); // the relay has lost zone z2
  State.Peers[EntryId("h")].LastReceivedAt = Now;
  EXPECT_EQ(Names(), "bcdh");
  State.Peers[EntryId("h")].LastReceivedAt = Now - seconds(60);
  Add("a", "z1", Health::Alive); // the relay now; this entry hears no summary
  EXPECT_EQ(Names(), "abcdh");
  State.Self.Leaving = true;
  EXPECT_EQ(Names(), "acdh");
}

class RecordBookingsTest : public RecordControllerTest {
protected:
  struct Booking {
    std::string Body;
    Ask Last;
    std::size_t At = 0;
    int Deliveries = 0;
    std::vector<int> Codes;
    bool Confirmed = false;
  };
  struct Findings {
    int Doubled = 0, Lost = 0, DeniedButRun = 0, Confirmed = 0, Resent = 0;
  };

  // Makes 2,000 bookings with faults drawn from Seed; an owner leaves and one
  // is killed on the way. LoseRecords empties the records in between, against
  // which no entry can be safe.
  Findings run(std::uint32_t Seed, bool LoseRecords) {
    Random.seed(Seed);
    setFaults({{"delayMs", 1}});
    std::vector<Booking> Bookings(2000);
    std::size_t Started = 0;
    std::vector<std::size_t> Active;
    while (Started < Bookings.size() || !Active.empty()) {
      while (Started < Bookings.size() && Active.size() < 100) {
        Bookings[Started].Body = std::to_string(Started);
        deliver(Bookings[Started]);
        Active.push_back(Started++);
        if (Started % 100 == 0)
          drawFault();
        if (Started == 700 || Started == 1400)
          loseEntry(Started == 1400, LoseRecords);
      }
      Io.run_one_for(std::chrono::milliseconds(10));
      std::erase_if(Active, [&](std::size_t I) { return over(Bookings[I]); });
    }
    return judge(Bookings);
  }

  void deliver(Booking &Of) {
    do
      Of.At = Random() % Entries.size();
    while (!Entries[Of.At]->Records);
    ++Of.Deliveries;
    Of.Last = start(Of.At, "booking-" + Of.Body, Of.Body);
  }

  bool over(Booking &Of) {
    bool Dropped = Of.Last->Answers == 0 && !Entries[Of.At]->Records;
    if (Of.Last->Answers == 0 && !Dropped)
      return false;
    Of.Codes.push_back(Dropped ? -1 : Of.Last->code());
    Of.Confirmed = Of.Confirmed || Of.Codes.back() == Ok;
    bool Again = Of.Codes.back() != Ok || Random() % 4 == 0;
    if (!Again || Of.Deliveries == 4)
      return true;
    deliver(Of);
    return false;
  }

  void drawFault() {
    int Count = 1 + static_cast<int>(Random() % 3);
    const char *Names[] = {"loseAnswers", "loseRequests", "refuse", "fail"};
    const char *Name = Names[Random() % 4];
    if (Random() % 2 == 0)
      post(Address, {{Name, Count}});
    else
      post(PlatformAddress, {{"loseAnswers", Count}, {"loseRequests", 1}});
  }
  // Doesn't wait, so that the fault meets calls in progress.
  void post(const std::string &To, const Json &Faults) {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Url = "http://" + To + "/control/faults";
    Request.Body = Faults.dump();
    Client.send(Request, [](const auto &) {});
  }

  void loseEntry(bool Killed, bool LoseRecords) {
    if (Killed)
      kill(1);
    else
      Live.pop_back(); // e2 goes on, but owns no shards
    if (LoseRecords)
      createShards(true);
  }

  Findings judge(const std::vector<Booking> &Bookings) {
    Findings Found;
    std::map<std::string, int> Counts = executions();
    for (const Booking &Each : Bookings) {
      int Count = Counts.contains(Each.Body) ? Counts.at(Each.Body) : 0;
      auto Last = static_cast<ResultCode>(Each.Codes.back());
      Found.Doubled += Count > 1 ? 1 : 0;
      Found.Lost += Each.Confirmed && Count == 0 ? 1 : 0;
      Found.Confirmed += Each.Confirmed ? 1 : 0;
      Found.Resent += Each.Deliveries > 1 ? 1 : 0;
      Found.DeniedButRun += Each.Codes.back() > 0 && Count > 0 &&
                                    runState(Last) == RunState::NotRun
                                ? 1
                                : 0;
    }
    return Found;
  }

  std::mt19937 Random;
};

// Guards against a doubled booking and a confirmed one that was lost.
TEST_F(RecordBookingsTest, DoublesAndLosesNone) {
  Findings Found = run(20261204, false);
  EXPECT_EQ(Found.Doubled, 0);
  EXPECT_EQ(Found.Lost, 0);
  EXPECT_EQ(Found.DeniedButRun, 0);
  EXPECT_GT(Found.Confirmed, 1500);
  EXPECT_GT(Found.Resent, 400);
}

// Guards against a check that can't fail: without the records some bookings
// are doubled.
TEST_F(RecordBookingsTest, FindsDoubledBookingsWithoutRecords) {
  EXPECT_GT(run(20261204, true).Doubled, 0);
}

} // namespace
} // namespace samphirehill
