#include "samphirehill/Idempotency/RecordShard.h"

#include "ShardStepper.h"
#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace samphirehill {
namespace detail {

void Stepper::apply(const WriteReport &Event) {
  if (!S.Write || S.Write->WriteId != Event.WriteId || S.InDoubt)
    return;
  if (Event.Answer == WriteReport::Stored)
    return acknowledge(Event.Version);
  // Nothing depends on a release: a successor's takeover does the same.
  if (S.Write->Releases)
    return finishRelease();
  if (Event.Answer == WriteReport::Refused) {
    S.Dirty = true;
    S.Write.reset();
    return backOff();
  }
  ++(Event.Answer == WriteReport::Conflict ? S.Counters.WriteConflicts
                                           : S.Counters.WritesLost);
  S.InDoubt = true;
}

void Stepper::acknowledge(std::uint64_t Version) {
  RecordShard::Flight Done = std::move(*S.Write);
  S.Write.reset();
  S.InDoubt = false;
  S.Version = Version;
  S.Down = false;
  S.Backoff = Duration(0);
  S.RetryAt.reset();
  if (Done.Releases)
    return finishRelease();
  if (Done.Acquires) {
    S.Holding = Hold::Held;
    ++S.Counters.Acquired;
  }
  std::vector<std::pair<std::string, std::uint64_t>> Abandoned;
  for (auto It = S.Calls.begin(); It != S.Calls.end();) {
    auto &[Id, Value] = *It;
    bool Contained = Done.Attempts.contains(Value.Attempt);
    if (Contained && Value.State == Phase::Recording) {
      answer(Value);
      It = S.Calls.erase(It);
      continue;
    }
    if (Contained && Value.State == Phase::Starting) {
      // The write took effect on the version without the record, and whoever
      // takes over since finds the record.
      for (Waiter &To : Value.Waiters)
        To.Seen = true;
      dropLate(Value);
      if (Value.Waiters.empty()) {
        Abandoned.emplace_back(Id, Value.Attempt);
      } else {
        Value.State = Phase::Running;
        ++S.Counters.Sent;
        Out.push_back(SendCall{Value.Waiters.front().Request, Value.Attempt});
      }
    }
    ++It;
  }
  for (const auto &[Id, Attempt] : Abandoned)
    withdraw(Id, Attempt);
  if (!Done.Acquires)
    return;
  for (const CallArrived &Waiting : std::exchange(S.Loading, {}))
    arrive(Waiting, false);
}

void Stepper::apply(const ReadReport &Event) {
  if (Event.ReadId != S.ReadInFlight)
    return;
  S.ReadInFlight = 0;
  if (Event.Answer != ReadReport::Found)
    return fail();
  S.Down = false;
  S.Backoff = Duration(0);
  S.RetryAt.reset();
  if (S.Holding != Hold::None)
    settle(Event);
}

void Stepper::settle(const ReadReport &Event) {
  if (S.InDoubt && Event.WriteId == S.Write->WriteId)
    acknowledge(Event.Version);
  else if (S.Holding == Hold::Acquiring) {
    bool Lost =
        S.InDoubt && !isOwn(Event.Value) && Event.Value.Epoch >= S.Image.Epoch;
    S.Write.reset();
    S.InDoubt = false;
    return Lost ? lose(Event.Value.Owner) : load(Event);
  } else if (!isOwn(Event.Value) || Event.Value.Epoch != S.Image.Epoch) {
    return lose(Event.Value.Owner);
  } else if (S.InDoubt) {
    // The lost write can still take effect later; the next write with the same
    // version either precludes it or meets a conflict.
    S.Write.reset();
    S.InDoubt = false;
    S.Dirty = true;
    S.Version = Event.Version;
  }
  for (auto &[Id, Value] : S.Calls)
    if (Value.State == Phase::Starting)
      for (Waiter &To : Value.Waiters)
        To.Seen = To.Seen || To.FirstRead <= Event.ReadId;
  for (auto &[ReadId, Waiting] : std::exchange(S.Confirming, {})) {
    if (ReadId <= Event.ReadId) {
      CallArrived Confirmed = Waiting;
      Confirmed.Seen = true;
      arrive(Confirmed, true);
    } else {
      S.Confirming.emplace_back(ReadId, Waiting);
    }
  }
}

void Stepper::load(const ReadReport &Event) {
  S.Image = Event.Value;
  S.Image.Owner = S.Settings.Self;
  S.Image.OwnerIncarnation = S.Settings.SelfIncarnation;
  ++S.Image.Epoch;
  S.Version = Event.Version;
  S.Loaded = true;
  S.Dirty = true;
  std::vector<CallArrived> Again = std::exchange(S.Loading, {});
  for (auto It = S.Calls.begin(); It != S.Calls.end();) {
    auto &[Id, Value] = *It;
    auto Found = S.Image.Records.find(Id);
    // A stored record of this attempt comes from a lost write of this process
    // and has not been sent.
    bool Own = Found != S.Image.Records.end() &&
               Found->second.Attempt == Value.Attempt;
    if (Value.State != Phase::Starting) {
      ++It;
      continue;
    }
    if (Own)
      S.Image.Records.erase(Found);
    for (const Waiter &To : Value.Waiters)
      Again.push_back(CallArrived{To.Request, Id, Value.BodyHash, To.Deadline,
                                  To.MayBeResend, To.FirstRead, To.Seen});
    It = S.Calls.erase(It);
  }
  // Outcomes that became known after the shard was lost.
  for (const auto &[Id, Record] : std::exchange(S.Known, {})) {
    ShardRecord *Started = findRecord(Id, Record.Attempt);
    if (Started && !Started->Outcome && Record.Outcome)
      setOutcome(*Started, *Record.Outcome);
  }
  // Recorded outcomes are answered; new keys go into the write that acquires
  // the shard. What needs a later read waits until the shard is held.
  for (CallArrived &Waiting : Again) {
    Waiting.Seen = Waiting.Seen || Waiting.FirstRead <= Event.ReadId;
    if (S.Calls.contains(Waiting.Record))
      arrive(Waiting, false);
    else
      decide(Waiting, false);
  }
}

std::vector<CallArrived> Stepper::takeQueued() {
  std::vector<CallArrived> Queued = std::exchange(S.Loading, {});
  for (auto &[ReadId, Waiting] : std::exchange(S.Confirming, {}))
    Queued.push_back(Waiting);
  return Queued;
}

void Stepper::dropImage() {
  if (S.Loaded)
    S.Known = std::move(S.Image.Records);
  S.Holding = Hold::None;
  S.Loaded = false;
  S.Dirty = false;
  S.Image = ShardObject();
  S.Write.reset();
  S.InDoubt = false;
}

void Stepper::lose(const EntryId &Owner) {
  ++S.Counters.LostToOther;
  S.OtherOwner = Owner;
  for (const auto &[Id, Value] : S.Calls)
    if (Value.State == Phase::Starting && findRecord(Id, Value.Attempt))
      S.Image.Records.erase(Id);
  dropImage();
  for (auto It = S.Calls.begin(); It != S.Calls.end();) {
    const Call &Value = It->second;
    if (Value.State == Phase::Running) {
      ++It;
      continue;
    }
    if (Value.State == Phase::Recording)
      answer(Value);
    else
      for (const Waiter &To : Value.Waiters)
        forward(To.Request);
    It = S.Calls.erase(It);
  }
  for (const CallArrived &Waiting : takeQueued())
    forward(Waiting.Request);
}

void Stepper::finishRelease() {
  dropImage();
  S.Releasing = false;
  for (const CallArrived &Waiting : takeQueued())
    forward(Waiting.Request);
  Out.emplace_back(std::in_place_type<ShardReleased>);
}

void Stepper::backOff() {
  S.Backoff =
      std::clamp(S.Backoff * 2, S.Settings.FirstRetry, S.Settings.MaxRetry);
  // Shards and entries that fail together retry up to a quarter apart.
  std::uint64_t Spread =
      hashBytes(S.Settings.Self.str(), S.Settings.Shard) % 256;
  S.RetryAt =
      Now + S.Backoff + S.Backoff * static_cast<std::int64_t>(Spread) / 1024;
}

void Stepper::fail() {
  S.Down = true;
  backOff();
  std::vector<std::pair<std::string, std::uint64_t>> Unsent;
  for (const auto &[Id, Value] : S.Calls) {
    if (Value.State != Phase::Starting)
      continue;
    Unsent.emplace_back(Id, Value.Attempt);
    for (const Waiter &To : Value.Waiters)
      refuseUnavailable(To);
  }
  for (const auto &[Id, Attempt] : Unsent)
    withdraw(Id, Attempt);
  // A lost acquisition is settled by the read of the next one.
  if (S.Holding == Hold::Acquiring)
    dropImage();
  for (const CallArrived &Waiting : takeQueued())
    answerOffline(Waiting);
}

bool Stepper::expired(const ShardRecord &Record) const {
  return wallSeconds() - Record.StartedAt >=
         toMilliseconds(S.Settings.RecordTtl) / 1000;
}

void Stepper::dropExpired() {
  S.Counters.Expired += std::erase_if(S.Image.Records, [&](const auto &Value) {
    return expired(Value.second) && !S.Calls.contains(Value.first);
  });
}

bool Stepper::isOwn(const ShardObject &Value) const {
  return Value.Owner == S.Settings.Self &&
         Value.OwnerIncarnation == S.Settings.SelfIncarnation;
}

void Stepper::emitWrite(bool Releases) {
  dropExpired();
  RecordShard::Flight Next;
  Next.WriteId =
      S.Settings.Self.str() + "." + std::to_string(S.Settings.SelfIncarnation) +
      "." + std::to_string(S.Settings.Shard) + "." + std::to_string(S.NextId++);
  Next.Acquires = S.Holding == Hold::Acquiring;
  Next.Releases = Releases;
  for (const auto &[Id, Value] : S.Calls)
    if (Value.State != Phase::Running && findRecord(Id, Value.Attempt))
      Next.Attempts.insert(Value.Attempt);
  if (Releases) {
    S.Image.Owner = EntryId();
    S.Image.OwnerIncarnation = 0;
  }
  ++S.Counters.Writes;
  S.Dirty = false;
  Out.push_back(WriteShard{Next.WriteId, S.Version, toJson(S.Image)});
  S.Write = std::move(Next);
}

void Stepper::pump() {
  if (S.Releasing && !S.Write && !S.ReadInFlight &&
      (S.Holding == Hold::None || (S.Down && S.Calls.empty())))
    return finishRelease();
  if (S.RetryAt && Now < *S.RetryAt)
    return;
  bool Unloaded = S.Holding == Hold::Acquiring && !S.Loaded;
  if (!S.ReadInFlight && (S.InDoubt || Unloaded || !S.Confirming.empty())) {
    S.ReadInFlight = S.NextId++;
    ++S.Counters.Reads;
    Out.emplace_back(std::in_place_type<ReadShard>, ReadShard{S.ReadInFlight});
  }
  if (S.Write || !holdsImage())
    return;
  if (S.Dirty)
    emitWrite(false);
  else if (S.Releasing && S.Calls.empty() && !S.ReadInFlight)
    emitWrite(true);
}

} // namespace detail

std::vector<ShardAction> step(RecordShard &Shard, const ShardEvent &Event,
                              TimePoint Now, WallTime Wall) {
  detail::Stepper Next(Shard, Now, Wall);
  std::visit([&](const auto &Value) { Next.apply(Value); }, Event);
  Next.pump();
  return std::move(Next.Out);
}

std::optional<TimePoint> nextWake(const RecordShard &Shard) {
  std::optional<TimePoint> Wake;
  auto Add = [&](TimePoint At) { Wake = Wake ? std::min(*Wake, At) : At; };
  bool NeedsObject = Shard.InDoubt || Shard.Dirty || Shard.Releasing ||
                     !Shard.Confirming.empty() ||
                     Shard.Holding == RecordShard::Hold::Acquiring;
  if (Shard.RetryAt && NeedsObject)
    Add(*Shard.RetryAt);
  for (const CallArrived &Waiting : Shard.Loading)
    Add(Waiting.Deadline);
  for (const auto &[ReadId, Waiting] : Shard.Confirming)
    Add(Waiting.Deadline);
  for (const auto &[Id, Value] : Shard.Calls) {
    if (Value.State == RecordShard::Phase::Recording)
      Add(Value.AnswerBy);
    else
      for (const RecordShard::Waiter &To : Value.Waiters)
        Add(To.Deadline);
  }
  return Wake;
}

} // namespace samphirehill
