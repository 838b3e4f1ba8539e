#include "Idempotency/ShardSimulation.h"

#include <algorithm>

namespace samphirehill {
namespace {

constexpr std::size_t EntryCount = 3;
constexpr std::size_t KeyCount = 3;
constexpr std::size_t MaxRecordsInModel = 2; // so that full shards occur

ShardObject parse(const std::string &Text) {
  return std::get<0>(capture([&] { return shardObjectFromJson(Text); }));
}

} // namespace

ShardSimulation::ShardSimulation(ShardFault Fault) : Fault(Fault) {
  for (std::size_t I = 0; I < EntryCount; ++I)
    Entries.push_back(Process{makeShard(I), false, {}});
}

RecordShard ShardSimulation::makeShard(std::size_t Entry) {
  ShardSettings Settings;
  Settings.Self = EntryId("e" + std::to_string(Entry));
  Settings.SelfIncarnation = NextIncarnation++;
  Settings.MaxRecords = MaxRecordsInModel;
  return RecordShard(Settings);
}

std::uint64_t ShardSimulation::processId(std::size_t Entry) const {
  return Entries[Entry].Shard.Settings.SelfIncarnation;
}

void ShardSimulation::feed(std::size_t Entry, ShardEvent Event) {
  Process &Target = Entries[Entry];
  if (Target.Paused) {
    Target.Inbox.push_back(std::move(Event));
    return;
  }
  if (auto *Read = std::get_if<ReadReport>(&Event);
      Read && Fault == ShardFault::IgnoresStarted)
    std::erase_if(Read->Value.Records,
                  [](const auto &Value) { return !Value.second.Outcome; });
  if (auto *Write = std::get_if<WriteReport>(&Event);
      Write && Fault == ShardFault::LostTakenAsStored &&
      Write->Answer == WriteReport::Lost)
    Write->Answer = WriteReport::Stored;
  WallTime Wall(Now.time_since_epoch());
  std::vector<ShardAction> Actions = step(Target.Shard, Event, Now, Wall);
  for (const ShardAction &Action : Actions) {
    perform(Entry, Action);
    const auto *Write = std::get_if<WriteShard>(&Action);
    if (Write && Fault == ShardFault::SendBeforeAcknowledged)
      feed(Entry, WriteReport{Write->WriteId, WriteReport::Stored,
                              Write->Version + 1});
  }
}

void ShardSimulation::perform(std::size_t Entry, const ShardAction &Action) {
  Message Item{Message::Write, Entry, processId(Entry)};
  if (const auto *Write = std::get_if<WriteShard>(&Action)) {
    Item.Put = *Write;
    Pending.push_back(Item);
  } else if (const auto *Read = std::get_if<ReadShard>(&Action)) {
    Item.Kind = Message::Read;
    Item.ReadId = Read->ReadId;
    Pending.push_back(Item);
  } else if (const auto *Sent = std::get_if<SendCall>(&Action)) {
    Item.Kind = Message::Call;
    Item.Sent = *Sent;
    Requests[Sent->Request.str()].SentBy = processId(Entry);
    if (Requests[Sent->Request.str()].AnsweredNotRun)
      reportViolation("a request was sent after it was answered `not run`");
    Pending.push_back(Item);
  } else if (const auto *Outcome = std::get_if<AnswerOutcome>(&Action)) {
    AnswerOutcome Answer = *Outcome;
    if (Fault == ShardFault::ChangesOutcome && Answer.Replayed)
      Answer.Outcome.Body = "other";
    checkOutcome(Answer);
  } else if (const auto *Refusal = std::get_if<AnswerRefusal>(&Action)) {
    AnswerRefusal Answer = *Refusal;
    if (Fault == ShardFault::DeniesStarted &&
        Answer.Code == ResultCode::OutcomeUnknown)
      Answer.Code = ResultCode::UpstreamRefused;
    if (Fault == ShardFault::DeniesUnread &&
        Answer.Code == ResultCode::OutcomeUnknown &&
        Answer.Message.find("can't be read") != std::string::npos)
      Answer.Code = ResultCode::RecordStoreUnavailable;
    checkRefusal(Entry, Answer);
  } else if (const auto *Forward = std::get_if<ForwardCall>(&Action)) {
    // The next entry receives the request as if it had arrived there first.
    Message Next{Message::Event, (Entry + 1) % EntryCount, 0};
    const Request &Value = Requests[Forward->Request.str()];
    Next.Report = CallArrived{Forward->Request, Value.Record, Value.BodyHash,
                              Now + seconds(30), Value.MayBeResend};
    Pending.push_back(Next);
  }
}

void ShardSimulation::checkOutcome(const AnswerOutcome &Answer) {
  Request &State = Requests[Answer.Request.str()];
  Replays += Answer.Replayed ? 1 : 0;
  State.Answered = true;
  bool Ran = std::any_of(Executed.begin(), Executed.end(),
                         [&](const Execution &Value) {
                           return Value.Record == State.Record &&
                                  Value.BodyHash == State.BodyHash &&
                                  Value.Outcome == Answer.Outcome;
                         });
  if (!Ran)
    reportViolation(
        "a caller got an outcome that no execution of its key and body had");
  if (State.RecordedBefore && *State.RecordedBefore != Answer.Outcome)
    reportViolation("a resend got another outcome than the recorded one");
}

void ShardSimulation::checkRefusal(std::size_t Entry,
                                   const AnswerRefusal &Answer) {
  Request &State = Requests[Answer.Request.str()];
  if (State.Answered && !State.MayBeResend && !State.CallerLeft)
    reportViolation("a request was answered twice");
  State.Answered = true;
  if (Answer.Code == ResultCode::OutcomeUnknown && State.RecordedBefore &&
      !State.MayBeResend && Answer.RetryAfter == Duration(0))
    reportViolation("a resend after a recorded outcome got `may have run`");
  if (runState(Answer.Code) != RunState::NotRun)
    return;
  State.AnsweredNotRun = true;
  bool ByThisProcess = std::any_of(
      Executed.begin(), Executed.end(), [&](const Execution &Value) {
        return Value.Record == State.Record &&
               Value.BodyHash == State.BodyHash && Value.By == processId(Entry);
      });
  bool InProgress =
      std::any_of(Pending.begin(), Pending.end(), [&](const Message &Item) {
        if (Item.Kind != Message::Call || Item.Sender != processId(Entry))
          return false;
        const Request &Sent = Requests[Item.Sent.Request.str()];
        return Sent.Record == State.Record && Sent.BodyHash == State.BodyHash;
      });
  if (ByThisProcess || InProgress)
    reportViolation(
        "`not run` for a key that this process ran or may still run");
  if (State.RanBefore)
    reportViolation("`not run` for a key that ran before the request arrived");
}

void ShardSimulation::arrive(std::size_t Entry, const RequestId &Id) {
  Request &State = Requests[Id.str()];
  auto Found = Stored.Records.find(State.Record);
  if (Found != Stored.Records.end() && Found->second.BodyHash == State.BodyHash)
    State.RecordedBefore = Found->second.Outcome;
  State.RanBefore = std::any_of(
      Executed.begin(), Executed.end(), [&](const Execution &Value) {
        return Value.Record == State.Record && Value.BodyHash == State.BodyHash;
      });
  feed(Entry, CallArrived{Id, State.Record, State.BodyHash, Now + seconds(30),
                          State.MayBeResend});
}

void ShardSimulation::newRequest(std::uint32_t Choice) {
  RequestId Id("r" + std::to_string(NextRequest++));
  Request &State = Requests[Id.str()];
  State.Record = "k" + std::to_string(Choice / 8 % KeyCount);
  State.BodyHash = Choice / 64 % 16 == 0 ? 2 : 1;
  std::size_t First = Choice % EntryCount;
  // The system itself delivers some requests to two entries.
  State.MayBeResend = Choice / 1024 % 8 == 0;
  if (State.MayBeResend)
    arrive((First + 1) % EntryCount, Id);
  arrive(First, Id);
}

void ShardSimulation::report(const Message &Item, ShardEvent Event) {
  if (Item.Reported || Item.Sender != processId(Item.Entry))
    return;
  Message Next{Message::Event, Item.Entry, Item.Sender};
  Next.Report = std::move(Event);
  Pending.push_back(std::move(Next));
}

void ShardSimulation::deliverWrite(Message &Item, std::uint32_t Fate) {
  const std::string Id = Item.Put.WriteId;
  if (Fate % 8 == 1 && !Item.Reported) {
    // The sender's write is reported as lost now and takes effect later.
    report(Item, WriteReport{Id, WriteReport::Lost, 0});
    Item.Reported = true;
    Pending.push_back(Item);
    return;
  }
  if (Outage)
    return report(Item, WriteReport{Id, WriteReport::Lost, 0});
  if (Fate % 8 == 2)
    return report(Item, WriteReport{Id, WriteReport::Refused, 0});
  if (Item.Put.Version != Version)
    return report(Item, WriteReport{Id, WriteReport::Conflict, Version});
  Stored = parse(Item.Put.Value);
  LastWriteId = Id;
  ++Version;
  bool Lost = Fate % 8 == 3;
  report(Item, WriteReport{Id, Lost ? WriteReport::Lost : WriteReport::Stored,
                           Lost ? 0 : Version});
}

void ShardSimulation::deliverRead(const Message &Item, std::uint32_t Fate) {
  if (Outage || Fate % 8 == 1)
    return report(Item, ReadReport{Item.ReadId, ReadReport::Failed});
  report(Item, ReadReport{Item.ReadId, ReadReport::Found, Version, LastWriteId,
                          Stored});
}

void ShardSimulation::deliverCall(const Message &Item, std::uint32_t Fate) {
  if (Fate % 8 == 1)
    return report(Item, CallEnded{Item.Sent.Attempt,
                                  CallNotRun{ResultCode::UpstreamRefused}});
  const Request &State = Requests[Item.Sent.Request.str()];
  if (State.AnsweredNotRun)
    reportViolation("a request ran after it was answered `not run`");
  for (const Execution &Before : Executed)
    if (Before.Record == State.Record)
      reportViolation("a key was executed twice");
  CallOutcome Outcome{200, "text/plain", "by " + Item.Sent.Request.str()};
  Executed.push_back(
      Execution{State.Record, State.BodyHash, Item.Sender, Outcome});
  if (Fate % 8 == 2)
    return report(Item, CallEnded{Item.Sent.Attempt,
                                  CallUnknown{ResultCode::UpstreamLost}});
  report(Item, CallEnded{Item.Sent.Attempt, CallAnswered{Outcome}});
}

void ShardSimulation::deliver(std::size_t Index, std::uint32_t Fate) {
  Message Item = std::move(Pending[Index]);
  Pending.erase(Pending.begin() + static_cast<long>(Index));
  switch (Item.Kind) {
  case Message::Write:
    return deliverWrite(Item, Fate);
  case Message::Read:
    return deliverRead(Item, Fate);
  case Message::Call:
    return deliverCall(Item, Fate);
  case Message::Event:
    if (Item.Sender == 0 || Item.Sender == processId(Item.Entry))
      feed(Item.Entry, Item.Report);
  }
}

void ShardSimulation::restart(std::size_t Entry) {
  Entries[Entry] = Process{makeShard(Entry), false, {}};
}

void ShardSimulation::resume(std::size_t Entry) {
  if (!Entries[Entry].Paused)
    return;
  Entries[Entry].Paused = false;
  for (ShardEvent &Event : std::exchange(Entries[Entry].Inbox, {}))
    feed(Entry, std::move(Event));
}

void ShardSimulation::request(const std::string &Key, std::size_t Entry) {
  RequestId Id("r" + std::to_string(NextRequest++));
  Requests[Id.str()] = Request{Key, 1};
  arrive(Entry, Id);
}

void ShardSimulation::deliverOldest(std::size_t Count) {
  for (; !Pending.empty() && Count > 0; --Count)
    deliver(0, 0);
}

void ShardSimulation::advance(Duration By) {
  Now += By;
  for (std::size_t I = 0; I < EntryCount; ++I)
    if (!Entries[I].Paused)
      feed(I, ShardTick{});
}

void ShardSimulation::act(std::uint32_t Choice) {
  std::uint32_t Detail = Choice / 32;
  std::size_t Entry = Detail % EntryCount;
  std::uint32_t Kind = Choice % 32;
  if (Kind < 5)
    return newRequest(Detail);
  switch (Kind) {
  case 5:
    return pause(Entry);
  case 6:
  case 7:
    return resume(Entry);
  case 8:
    return restart(Entry);
  case 9:
    Outage = Detail % 4 == 0;
    return;
  case 10:
    return advance(Detail % 16 == 0 ? seconds(40) : milliseconds(600));
  case 11:
    if (Detail % 4 == 0)
      feed(Entry, HandOver{});
    if (Detail % 4 == 1 && !Requests.empty()) {
      auto Caller = std::next(Requests.begin(),
                              static_cast<long>(Detail / 4 % Requests.size()));
      Caller->second.CallerLeft = true;
      for (std::size_t I = 0; I < EntryCount; ++I)
        feed(I, CallerGone{RequestId(Caller->first)});
    }
    return;
  default:
    if (!Pending.empty())
      deliver(Detail % Pending.size(), Detail / 64);
  }
}

void ShardSimulation::heal() {
  Outage = false;
  for (std::size_t I = 0; I < EntryCount; ++I)
    resume(I);
  for (int Rounds = 0; Rounds < 8; ++Rounds) {
    deliverOldest(2000);
    advance(seconds(8));
  }
  deliverOldest(2000);
  for (std::size_t I = 0; I < EntryCount; ++I) {
    RequestId Id("final" + std::to_string(I));
    Requests[Id.str()] = Request{"k0", 1};
    arrive(I, Id);
    deliverOldest(2000);
    if (!Requests[Id.str()].Answered)
      reportViolation("a request got no answer after all faults had ended");
  }
}

} // namespace samphirehill
