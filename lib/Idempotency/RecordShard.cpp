#include "samphirehill/Idempotency/RecordShard.h"

#include "ShardStepper.h"
#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace samphirehill {
namespace detail {

void Stepper::apply(const WriteReport &Event) {
  if (!Shard.Write || Shard.Write->WriteId != Event.WriteId || Shard.InDoubt)
    return;
  if (Event.Answer == WriteReport::Stored)
    return acknowledge(Event.Version);
  // A release need not be stored: the next owner can take the shard over
  // without it.
  if (Shard.Write->Releases)
    return finishRelease();
  if (Event.Answer == WriteReport::Refused) {
    Shard.Dirty = true;
    Shard.Write.reset();
    return backOff();
  }
  ++(Event.Answer == WriteReport::Conflict ? Shard.Counters.WriteConflicts
                                           : Shard.Counters.WritesLost);
  Shard.InDoubt = true;
}

void Stepper::acknowledge(std::uint64_t Version) {
  RecordShard::PendingWrite Stored = std::move(*Shard.Write);
  Shard.Write.reset();
  Shard.InDoubt = false;
  Shard.Version = Version;
  Shard.StoreUnavailable = false;
  Shard.Backoff = Duration(0);
  Shard.RetryAt.reset();
  if (Stored.Releases)
    return finishRelease();
  if (Stored.Acquires) {
    Shard.Holding = Hold::Held;
    ++Shard.Counters.Acquired;
  }
  std::vector<std::pair<std::string, std::uint64_t>> Abandoned;
  for (auto It = Shard.Calls.begin(); It != Shard.Calls.end();) {
    auto &[Id, Value] = *It;
    bool Contained = Stored.Attempts.contains(Value.Attempt);
    if (Contained && Value.State == Phase::Recording) {
      answerWaiters(Value);
      It = Shard.Calls.erase(It);
      continue;
    }
    if (Contained && Value.State == Phase::Starting) {
      // The write replaced a version without a record of the key, and an entry
      // that takes the shard over later finds the record.
      for (Waiter &To : Value.Waiters)
        To.ReadSinceArrival = true;
      refuseOverdueWaiters(Value);
      if (Value.Waiters.empty()) {
        Abandoned.emplace_back(Id, Value.Attempt);
      } else {
        Value.State = Phase::Running;
        ++Shard.Counters.Sent;
        Out.push_back(SendCall{Value.Waiters.front().Request, Value.Attempt});
      }
    }
    ++It;
  }
  for (const auto &[Id, Attempt] : Abandoned)
    removeCall(Id, Attempt);
  if (!Stored.Acquires)
    return;
  for (const CallArrived &Waiting : std::exchange(Shard.Loading, {}))
    handleArrival(Waiting, false);
}

void Stepper::apply(const ReadReport &Event) {
  if (Event.ReadId != Shard.ReadInFlight)
    return;
  Shard.ReadInFlight = 0;
  if (Event.Answer != ReadReport::Found)
    return handleReadFailure();
  Shard.StoreUnavailable = false;
  Shard.Backoff = Duration(0);
  Shard.RetryAt.reset();
  if (Shard.Holding != Hold::None)
    resolveRead(Event);
}

void Stepper::resolveRead(const ReadReport &Event) {
  if (Shard.InDoubt && Event.WriteId == Shard.Write->WriteId)
    acknowledge(Event.Version);
  else if (Shard.Holding == Hold::Acquiring) {
    bool Lost = Shard.InDoubt && !isOwn(Event.Value) &&
                Event.Value.Epoch >= Shard.Image.Epoch;
    Shard.Write.reset();
    Shard.InDoubt = false;
    return Lost ? handleTakeover(Event.Value.Owner) : loadRecords(Event);
  } else if (!isOwn(Event.Value) || Event.Value.Epoch != Shard.Image.Epoch) {
    return handleTakeover(Event.Value.Owner);
  } else if (Shard.InDoubt) {
    // The lost write can still take effect later. The next write has the same
    // version: either it is stored and the lost write fails, or it gets a
    // conflict.
    Shard.Write.reset();
    Shard.InDoubt = false;
    Shard.Dirty = true;
    Shard.Version = Event.Version;
  }
  for (auto &[Id, Value] : Shard.Calls)
    if (Value.State == Phase::Starting)
      for (Waiter &To : Value.Waiters)
        To.ReadSinceArrival =
            To.ReadSinceArrival || To.FirstRead <= Event.ReadId;
  for (auto &[ReadId, Waiting] : std::exchange(Shard.Confirming, {})) {
    if (ReadId <= Event.ReadId) {
      CallArrived Confirmed = Waiting;
      Confirmed.ReadSinceArrival = true;
      handleArrival(Confirmed, true);
    } else {
      Shard.Confirming.emplace_back(ReadId, Waiting);
    }
  }
}

void Stepper::loadRecords(const ReadReport &Event) {
  Shard.Image = Event.Value;
  Shard.Image.Owner = Shard.Settings.Self;
  Shard.Image.OwnerIncarnation = Shard.Settings.SelfIncarnation;
  ++Shard.Image.Epoch;
  Shard.Version = Event.Version;
  Shard.Loaded = true;
  Shard.Dirty = true;
  std::vector<CallArrived> ToDecide = std::exchange(Shard.Loading, {});
  for (auto It = Shard.Calls.begin(); It != Shard.Calls.end();) {
    auto &[Id, Value] = *It;
    auto Found = Shard.Image.Records.find(Id);
    // A stored record of this attempt comes from a write of this process whose
    // answer was lost. Its call has not been sent.
    bool Own = Found != Shard.Image.Records.end() &&
               Found->second.Attempt == Value.Attempt;
    if (Value.State != Phase::Starting) {
      ++It;
      continue;
    }
    if (Own)
      Shard.Image.Records.erase(Found);
    for (const Waiter &To : Value.Waiters)
      ToDecide.push_back(CallArrived{To.Request, Id, Value.BodyHash,
                                     To.Deadline, To.MayBeResend, To.FirstRead,
                                     To.ReadSinceArrival});
    It = Shard.Calls.erase(It);
  }
  // Add the outcomes that became known after this process lost the shard.
  for (const auto &[Id, Record] : std::exchange(Shard.LastKnownRecords, {})) {
    ShardRecord *Started = findRecord(Id, Record.Attempt);
    if (Started && !Started->Outcome && Record.Outcome)
      setOutcome(*Started, *Record.Outcome);
  }
  // Requests with a recorded outcome are answered, and records of new keys are
  // stored by the write that acquires the shard. A request that needs a later
  // read waits until the shard is held.
  for (CallArrived &Waiting : ToDecide) {
    Waiting.ReadSinceArrival =
        Waiting.ReadSinceArrival || Waiting.FirstRead <= Event.ReadId;
    if (Shard.Calls.contains(Waiting.Record))
      handleArrival(Waiting, false);
    else
      decide(Waiting, false);
  }
}

std::vector<CallArrived> Stepper::takeQueuedRequests() {
  std::vector<CallArrived> Queued = std::exchange(Shard.Loading, {});
  for (auto &[ReadId, Waiting] : std::exchange(Shard.Confirming, {}))
    Queued.push_back(Waiting);
  return Queued;
}

void Stepper::dropImage() {
  if (Shard.Loaded)
    Shard.LastKnownRecords = std::move(Shard.Image.Records);
  Shard.Holding = Hold::None;
  Shard.Loaded = false;
  Shard.Dirty = false;
  Shard.Image = ShardObject();
  Shard.Write.reset();
  Shard.InDoubt = false;
}

void Stepper::handleTakeover(const EntryId &Owner) {
  ++Shard.Counters.LostToOther;
  Shard.OtherOwner = Owner;
  for (const auto &[Id, Value] : Shard.Calls)
    if (Value.State == Phase::Starting && findRecord(Id, Value.Attempt))
      Shard.Image.Records.erase(Id);
  dropImage();
  for (auto It = Shard.Calls.begin(); It != Shard.Calls.end();) {
    const Call &Value = It->second;
    if (Value.State == Phase::Running) {
      ++It;
      continue;
    }
    if (Value.State == Phase::Recording)
      answerWaiters(Value);
    else
      for (const Waiter &To : Value.Waiters)
        forward(To.Request);
    It = Shard.Calls.erase(It);
  }
  for (const CallArrived &Waiting : takeQueuedRequests())
    forward(Waiting.Request);
}

void Stepper::finishRelease() {
  dropImage();
  Shard.Releasing = false;
  for (const CallArrived &Waiting : takeQueuedRequests())
    forward(Waiting.Request);
  Out.emplace_back(std::in_place_type<ShardReleased>);
}

void Stepper::backOff() {
  Shard.Backoff = std::clamp(Shard.Backoff * 2, Shard.Settings.FirstRetry,
                             Shard.Settings.MaxRetry);
  // Shards and entries whose requests fail at the same time spread their
  // retries over a quarter of the backoff.
  std::uint64_t Spread =
      hashBytes(Shard.Settings.Self.str(), Shard.Settings.Shard) % 256;
  Shard.RetryAt = Now + Shard.Backoff +
                  Shard.Backoff * static_cast<std::int64_t>(Spread) / 1024;
}

void Stepper::handleReadFailure() {
  Shard.StoreUnavailable = true;
  backOff();
  std::vector<std::pair<std::string, std::uint64_t>> Unsent;
  for (const auto &[Id, Value] : Shard.Calls) {
    if (Value.State != Phase::Starting)
      continue;
    Unsent.emplace_back(Id, Value.Attempt);
    for (const Waiter &To : Value.Waiters)
      refuseUnavailable(To);
  }
  for (const auto &[Id, Attempt] : Unsent)
    removeCall(Id, Attempt);
  // Whether an acquisition without an answer was stored is found out by the
  // read of the next acquisition.
  if (Shard.Holding == Hold::Acquiring)
    dropImage();
  for (const CallArrived &Waiting : takeQueuedRequests())
    answerFromMemory(Waiting);
}

bool Stepper::isExpired(const ShardRecord &Record) const {
  return wallSeconds() - Record.StartedAt >=
         toMilliseconds(Shard.Settings.RecordTtl) / 1000;
}

void Stepper::dropExpired() {
  Shard.Counters.Expired +=
      std::erase_if(Shard.Image.Records, [&](const auto &Value) {
        return isExpired(Value.second) && !Shard.Calls.contains(Value.first);
      });
}

bool Stepper::isOwn(const ShardObject &Value) const {
  return Value.Owner == Shard.Settings.Self &&
         Value.OwnerIncarnation == Shard.Settings.SelfIncarnation;
}

void Stepper::emitWrite(bool Releases) {
  dropExpired();
  RecordShard::PendingWrite Next;
  Next.WriteId = Shard.Settings.Self.str() + "." +
                 std::to_string(Shard.Settings.SelfIncarnation) + "." +
                 std::to_string(Shard.Settings.Shard) + "." +
                 std::to_string(Shard.NextId++);
  Next.Acquires = Shard.Holding == Hold::Acquiring;
  Next.Releases = Releases;
  for (const auto &[Id, Value] : Shard.Calls)
    if (Value.State != Phase::Running && findRecord(Id, Value.Attempt))
      Next.Attempts.insert(Value.Attempt);
  if (Releases) {
    Shard.Image.Owner = EntryId();
    Shard.Image.OwnerIncarnation = 0;
  }
  ++Shard.Counters.Writes;
  Shard.Dirty = false;
  Out.push_back(WriteShard{Next.WriteId, Shard.Version, toJson(Shard.Image)});
  Shard.Write = std::move(Next);
}

void Stepper::startDueRequests() {
  if (Shard.Releasing && !Shard.Write && !Shard.ReadInFlight &&
      (Shard.Holding == Hold::None ||
       (Shard.StoreUnavailable && Shard.Calls.empty())))
    return finishRelease();
  if (Shard.RetryAt && Now < *Shard.RetryAt)
    return;
  bool Unloaded = Shard.Holding == Hold::Acquiring && !Shard.Loaded;
  if (!Shard.ReadInFlight &&
      (Shard.InDoubt || Unloaded || !Shard.Confirming.empty())) {
    Shard.ReadInFlight = Shard.NextId++;
    ++Shard.Counters.Reads;
    Out.emplace_back(std::in_place_type<ReadShard>,
                     ReadShard{Shard.ReadInFlight});
  }
  if (Shard.Write || !holdsImage())
    return;
  if (Shard.Dirty)
    emitWrite(false);
  else if (Shard.Releasing && Shard.Calls.empty() && !Shard.ReadInFlight)
    emitWrite(true);
}

} // namespace detail

std::vector<ShardAction> step(RecordShard &Shard, const ShardEvent &Event,
                              TimePoint Now, WallTime Wall) {
  detail::Stepper Next(Shard, Now, Wall);
  std::visit([&](const auto &Value) { Next.apply(Value); }, Event);
  Next.startDueRequests();
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
