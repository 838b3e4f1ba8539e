#include "ShardStepper.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace samphirehill::detail {

Waiter waiterOf(const CallArrived &Event) {
  return Waiter{Event.Request, Event.Deadline, Event.MayBeResend,
                Event.FirstRead, Event.ReadSinceArrival};
}

void Stepper::refuse(const Waiter &To, ResultCode Code, std::string Message,
                     Duration RetryAfter) {
  // Another entry may have sent, or may still send, an earlier delivery of this
  // request.
  if (To.MayBeResend && runState(Code) == RunState::NotRun)
    Code = ResultCode::OutcomeUnknown;
  ++(runState(Code) == RunState::NotRun ? Shard.Counters.Refused
                                        : Shard.Counters.MayHaveRun);
  Out.push_back(
      AnswerRefusal{To.Request, Code, std::move(Message), RetryAfter});
}

void Stepper::refuseUnavailable(const Waiter &To) {
  Duration Wait = Shard.RetryAt ? *Shard.RetryAt - Now : Duration(0);
  std::string ShardName =
      "record shard " + std::to_string(Shard.Settings.Shard);
  if (To.ReadSinceArrival)
    return refuse(To, ResultCode::RecordStoreUnavailable,
                  ShardName + " can't be written: the platform does not answer",
                  std::max(Wait, seconds(1)));
  refuse(To, ResultCode::OutcomeUnknown,
         ShardName +
             " can't be read: an earlier request with this key may have "
             "run, and the platform does not answer",
         std::max(Wait, seconds(1)));
}

void Stepper::answerFromMemory(const CallArrived &Event) {
  const auto &Records =
      holdsImage() ? Shard.Image.Records : Shard.LastKnownRecords;
  auto Found = Records.find(Event.Record);
  if (Found == Records.end() || isExpired(Found->second) ||
      Found->second.BodyHash != Event.BodyHash)
    return refuseUnavailable(waiterOf(Event));
  if (Found->second.Outcome)
    return answerRecord(waiterOf(Event), Found->second, Event.BodyHash);
  refuse(waiterOf(Event), ResultCode::OutcomeUnknown,
         "a request with this key was started and the platform, which may have "
         "its outcome, does not answer",
         seconds(1));
}

void Stepper::forward(const RequestId &Request) {
  Out.push_back(ForwardCall{Request, Shard.OtherOwner});
}

void Stepper::answerWaiters(const Call &Ended) {
  bool Replayed = false;
  for (const Waiter &To : Ended.Waiters) {
    Out.push_back(AnswerOutcome{To.Request, Ended.Outcome, Replayed});
    Replayed = true;
  }
}

void Stepper::answerRecord(const Waiter &To, const ShardRecord &Record,
                           std::uint64_t BodyHash) {
  if (Record.BodyHash != BodyHash)
    return refuse(To, ResultCode::IdempotencyKeyMismatch,
                  "the idempotency key was used with a different body");
  if (!Record.Outcome)
    return refuse(To, ResultCode::OutcomeUnknown,
                  "a request with this key was started in epoch " +
                      std::to_string(Record.Epoch) +
                      " and its outcome is not known");
  ++Shard.Counters.Replayed;
  Out.push_back(AnswerOutcome{To.Request, *Record.Outcome, true});
}

void Stepper::handleArrival(const CallArrived &Event, bool Confirmed) {
  auto Found = Shard.Calls.find(Event.Record);
  if (Found != Shard.Calls.end()) {
    bool Differs = Found->second.BodyHash != Event.BodyHash;
    // Until the write of the record is acknowledged, another owner may run the
    // key with Event's body.
    if (Differs && Found->second.State == Phase::Starting && !Confirmed)
      return decideAfterRead(Event);
    if (Differs)
      return refuse(waiterOf(Event), ResultCode::IdempotencyKeyMismatch,
                    "the idempotency key was used with a different body");
    Found->second.Waiters.push_back(waiterOf(Event));
    return;
  }
  if (Shard.Holding == Hold::Held)
    return decide(Event, Confirmed);
  if (Shard.Releasing)
    return forward(Event.Request);
  if ((Shard.StoreUnavailable && Shard.RetryAt && Now < *Shard.RetryAt) ||
      Now >= Event.Deadline)
    return answerFromMemory(Event);
  Shard.Loading.push_back(Event);
  if (Shard.Holding == Hold::None)
    Shard.Holding = Hold::Acquiring;
}

void Stepper::decide(const CallArrived &Event, bool Confirmed) {
  auto Found = Shard.Image.Records.find(Event.Record);
  if (Found != Shard.Image.Records.end()) {
    if (!isExpired(Found->second)) {
      // A later owner may have completed or removed a `started` record since.
      if (!Found->second.Outcome && !Confirmed)
        return decideAfterRead(Event);
      return answerRecord(waiterOf(Event), Found->second, Event.BodyHash);
    }
    ++Shard.Counters.Expired;
    Shard.Image.Records.erase(Found);
    Shard.Dirty = true;
  }
  if (Shard.Releasing)
    return forward(Event.Request);
  if ((Shard.StoreUnavailable && Shard.RetryAt && Now < *Shard.RetryAt) ||
      Now >= Event.Deadline)
    return refuseUnavailable(waiterOf(Event));
  if (Shard.Image.Records.size() >= Shard.Settings.MaxRecords)
    dropExpired();
  if (Shard.Image.Records.size() < Shard.Settings.MaxRecords)
    return start(Event);
  // Another entry may have taken the shard over unnoticed and may run this key.
  // So the request is refused only after a read that began after its arrival.
  if (!Confirmed)
    return decideAfterRead(Event);
  refuse(waiterOf(Event), ResultCode::RecordShardFull,
         "record shard " + std::to_string(Shard.Settings.Shard) + " holds " +
             std::to_string(Shard.Image.Records.size()) +
             " records, its limit, and none has expired",
         seconds(60));
}

void Stepper::decideAfterRead(const CallArrived &Event) {
  if (Shard.Holding == Hold::Held)
    Shard.Confirming.emplace_back(Shard.NextId, Event);
  else
    Shard.Loading.push_back(Event);
}

void Stepper::start(const CallArrived &Event) {
  std::string Process = Shard.Settings.Self.str() + "." +
                        std::to_string(Shard.Settings.SelfIncarnation) + "." +
                        std::to_string(Shard.Settings.Shard);
  std::uint64_t Attempt = combineHashes(hashBytes(Process), Shard.NextId++);
  Shard.Image.Records[Event.Record] = ShardRecord{
      Event.BodyHash, Attempt, Shard.Image.Epoch, wallSeconds(), std::nullopt};
  Call &Value = Shard.Calls[Event.Record];
  Value.Attempt = Attempt;
  Value.BodyHash = Event.BodyHash;
  Value.Waiters.push_back(waiterOf(Event));
  Shard.Dirty = true;
}

ShardRecord *Stepper::findRecord(const std::string &Id, std::uint64_t Attempt) {
  if (!holdsImage())
    return nullptr;
  auto Found = Shard.Image.Records.find(Id);
  if (Found == Shard.Image.Records.end() || Found->second.Attempt != Attempt)
    return nullptr;
  return &Found->second;
}

void Stepper::refuseOverdueWaiters(Call &Value) {
  std::vector<Waiter> Late;
  std::erase_if(Value.Waiters, [&](const Waiter &To) {
    if (Now < To.Deadline)
      return false;
    Late.push_back(To);
    return true;
  });
  for (const Waiter &To : Late) {
    if (Value.State == Phase::Starting)
      refuseUnavailable(To);
    else
      refuse(To, ResultCode::DeadlineExceeded,
             "the call was sent and has not ended by the deadline");
  }
}

void Stepper::removeCall(const std::string &Id, std::uint64_t Attempt) {
  if (findRecord(Id, Attempt)) {
    Shard.Image.Records.erase(Id);
    Shard.Dirty = true;
  }
  Shard.Calls.erase(Id);
}

void Stepper::apply(const CallerGone &Event) {
  auto IsGone = [&](const auto &Value) {
    return Value.Request == Event.Request;
  };
  std::erase_if(Shard.Loading, IsGone);
  std::erase_if(Shard.Confirming,
                [&](const auto &Value) { return IsGone(Value.second); });
  for (auto &[Id, Value] : Shard.Calls) {
    if (std::erase_if(Value.Waiters, IsGone) == 0)
      continue;
    if (Value.State == Phase::Starting && Value.Waiters.empty())
      removeCall(std::string(Id), Value.Attempt);
    return;
  }
}

void Stepper::setOutcome(ShardRecord &Record, const CallOutcome &Outcome) {
  CallOutcome Kept = keptOutcome(Outcome);
  std::size_t Bytes = bodyCost(Kept);
  for (const auto &[Id, Other] : Shard.Image.Records)
    Bytes += Other.Outcome ? bodyCost(*Other.Outcome) : 0;
  if (Bytes > ShardBodyBudget)
    Kept = CallOutcome{Kept.Status, "", "", true};
  Shard.Counters.Trimmed += Kept.Trimmed ? 1 : 0;
  Record.Outcome = std::move(Kept);
  Shard.Dirty = true;
}

void Stepper::apply(const CallEnded &Event) {
  auto Found = std::find_if(Shard.Calls.begin(), Shard.Calls.end(),
                            [&](const auto &Value) {
                              return Value.second.Attempt == Event.Attempt &&
                                     Value.second.State == Phase::Running;
                            });
  if (Found == Shard.Calls.end())
    return;
  const std::string Id = Found->first;
  Call &Ended = Found->second;
  auto Past = Shard.LastKnownRecords.find(Id);
  if (const auto *Answered = std::get_if<CallAnswered>(&Event.End)) {
    Ended.Outcome = Answered->Outcome;
    if (ShardRecord *Record = findRecord(Id, Ended.Attempt)) {
      setOutcome(*Record, Ended.Outcome);
      Ended.State = Phase::Recording;
      Ended.AnswerBy = Now + Shard.Settings.OutcomeWait;
      return;
    }
    if (Past != Shard.LastKnownRecords.end() &&
        Past->second.Attempt == Ended.Attempt)
      Past->second.Outcome = keptOutcome(Ended.Outcome);
    answerWaiters(Ended);
    Shard.Calls.erase(Found);
    return;
  }
  if (const auto *NotRun = std::get_if<CallNotRun>(&Event.End)) {
    for (const Waiter &To : Ended.Waiters)
      refuse(To, NotRun->Code, "no upstream ran the call", seconds(1));
    if (Past != Shard.LastKnownRecords.end() &&
        Past->second.Attempt == Ended.Attempt)
      Shard.LastKnownRecords.erase(Past);
    return removeCall(Id, Ended.Attempt);
  }
  for (const Waiter &To : Ended.Waiters)
    refuse(To, std::get<CallUnknown>(Event.End).Code,
           "the upstream may have run the call");
  Shard.Calls.erase(Found);
}

void Stepper::apply(const ShardTick &) {
  std::vector<std::pair<std::string, std::uint64_t>> Abandoned;
  for (auto It = Shard.Calls.begin(); It != Shard.Calls.end();) {
    auto &[Id, Value] = *It;
    if (Value.State == Phase::Recording && Now >= Value.AnswerBy) {
      answerWaiters(Value);
      It = Shard.Calls.erase(It);
      continue;
    }
    if (Value.State != Phase::Recording)
      refuseOverdueWaiters(Value);
    if (Value.State == Phase::Starting && Value.Waiters.empty())
      Abandoned.emplace_back(Id, Value.Attempt);
    ++It;
  }
  for (const auto &[Id, Attempt] : Abandoned)
    removeCall(Id, Attempt);
  std::vector<CallArrived> Late;
  auto IsLate = [&](const CallArrived &Waiting) {
    if (Now >= Waiting.Deadline)
      Late.push_back(Waiting);
    return Now >= Waiting.Deadline;
  };
  std::erase_if(Shard.Loading, IsLate);
  std::erase_if(Shard.Confirming,
                [&](const auto &Value) { return IsLate(Value.second); });
  for (const CallArrived &Waiting : Late)
    answerFromMemory(Waiting);
}

} // namespace samphirehill::detail
