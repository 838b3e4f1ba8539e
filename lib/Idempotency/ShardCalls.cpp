#include "ShardStepper.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace samphirehill::detail {

Waiter waiterOf(const CallArrived &Event) {
  return Waiter{Event.Request, Event.Deadline, Event.MayBeResend,
                Event.FirstRead, Event.Seen};
}

void Stepper::refuse(const Waiter &To, ResultCode Code, std::string Message,
                     Duration RetryAfter) {
  // Another entry may still hold the earlier delivery of this request.
  if (To.MayBeResend && runState(Code) == RunState::NotRun)
    Code = ResultCode::OutcomeUnknown;
  ++(runState(Code) == RunState::NotRun ? S.Counters.Refused
                                        : S.Counters.MayHaveRun);
  Out.push_back(
      AnswerRefusal{To.Request, Code, std::move(Message), RetryAfter});
}

void Stepper::refuseUnavailable(const Waiter &To) {
  Duration Wait = S.RetryAt ? *S.RetryAt - Now : Duration(0);
  std::string ShardName = "record shard " + std::to_string(S.Settings.Shard);
  if (To.Seen)
    return refuse(To, ResultCode::RecordStoreUnavailable,
                  ShardName + " can't be written: the platform does not answer",
                  std::max(Wait, seconds(1)));
  refuse(To, ResultCode::OutcomeUnknown,
         ShardName +
             " can't be read: an earlier request with this key may have "
             "run, and the platform does not answer",
         std::max(Wait, seconds(1)));
}

void Stepper::answerOffline(const CallArrived &Event) {
  const auto &Records = holdsImage() ? S.Image.Records : S.Known;
  auto Found = Records.find(Event.Record);
  if (Found == Records.end() || expired(Found->second) ||
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
  Out.push_back(ForwardCall{Request, S.OtherOwner});
}

void Stepper::answer(const Call &Ended) {
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
  ++S.Counters.Replayed;
  Out.push_back(AnswerOutcome{To.Request, *Record.Outcome, true});
}

void Stepper::arrive(const CallArrived &Event, bool Confirmed) {
  auto Found = S.Calls.find(Event.Record);
  if (Found != S.Calls.end()) {
    bool Differs = Found->second.BodyHash != Event.BodyHash;
    // Until its write is acknowledged, another owner may run the other body.
    if (Differs && Found->second.State == Phase::Starting && !Confirmed)
      return confirm(Event);
    if (Differs)
      return refuse(waiterOf(Event), ResultCode::IdempotencyKeyMismatch,
                    "the idempotency key was used with a different body");
    Found->second.Waiters.push_back(waiterOf(Event));
    return;
  }
  if (S.Holding == Hold::Held)
    return decide(Event, Confirmed);
  if (S.Releasing)
    return forward(Event.Request);
  if ((S.Down && S.RetryAt && Now < *S.RetryAt) || Now >= Event.Deadline)
    return answerOffline(Event);
  S.Loading.push_back(Event);
  if (S.Holding == Hold::None)
    S.Holding = Hold::Acquiring;
}

void Stepper::decide(const CallArrived &Event, bool Confirmed) {
  auto Found = S.Image.Records.find(Event.Record);
  if (Found != S.Image.Records.end()) {
    if (!expired(Found->second)) {
      // A `started` record can change under a later owner.
      if (!Found->second.Outcome && !Confirmed)
        return confirm(Event);
      return answerRecord(waiterOf(Event), Found->second, Event.BodyHash);
    }
    ++S.Counters.Expired;
    S.Image.Records.erase(Found);
    S.Dirty = true;
  }
  if (S.Releasing)
    return forward(Event.Request);
  if ((S.Down && S.RetryAt && Now < *S.RetryAt) || Now >= Event.Deadline)
    return refuseUnavailable(waiterOf(Event));
  if (S.Image.Records.size() >= S.Settings.MaxRecords)
    dropExpired();
  if (S.Image.Records.size() < S.Settings.MaxRecords)
    return start(Event);
  // An owner that was replaced without noticing could refuse a key that its
  // successor runs, so a read that begins after the arrival comes first.
  if (!Confirmed)
    return confirm(Event);
  refuse(waiterOf(Event), ResultCode::RecordShardFull,
         "record shard " + std::to_string(S.Settings.Shard) + " holds " +
             std::to_string(S.Image.Records.size()) +
             " records, its limit, and none has expired",
         seconds(60));
}

void Stepper::confirm(const CallArrived &Event) {
  if (S.Holding == Hold::Held)
    S.Confirming.emplace_back(S.NextId, Event);
  else
    S.Loading.push_back(Event);
}

void Stepper::start(const CallArrived &Event) {
  std::string Process = S.Settings.Self.str() + "." +
                        std::to_string(S.Settings.SelfIncarnation) + "." +
                        std::to_string(S.Settings.Shard);
  std::uint64_t Attempt = combineHashes(hashBytes(Process), S.NextId++);
  S.Image.Records[Event.Record] = ShardRecord{
      Event.BodyHash, Attempt, S.Image.Epoch, wallSeconds(), std::nullopt};
  Call &Value = S.Calls[Event.Record];
  Value.Attempt = Attempt;
  Value.BodyHash = Event.BodyHash;
  Value.Waiters.push_back(waiterOf(Event));
  S.Dirty = true;
}

ShardRecord *Stepper::findRecord(const std::string &Id, std::uint64_t Attempt) {
  if (!holdsImage())
    return nullptr;
  auto Found = S.Image.Records.find(Id);
  if (Found == S.Image.Records.end() || Found->second.Attempt != Attempt)
    return nullptr;
  return &Found->second;
}

void Stepper::dropLate(Call &Value) {
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

void Stepper::withdraw(const std::string &Id, std::uint64_t Attempt) {
  if (findRecord(Id, Attempt)) {
    S.Image.Records.erase(Id);
    S.Dirty = true;
  }
  S.Calls.erase(Id);
}

void Stepper::apply(const CallerGone &Event) {
  auto IsGone = [&](const auto &Value) {
    return Value.Request == Event.Request;
  };
  std::erase_if(S.Loading, IsGone);
  std::erase_if(S.Confirming,
                [&](const auto &Value) { return IsGone(Value.second); });
  for (auto &[Id, Value] : S.Calls) {
    if (std::erase_if(Value.Waiters, IsGone) == 0)
      continue;
    if (Value.State == Phase::Starting && Value.Waiters.empty())
      withdraw(std::string(Id), Value.Attempt);
    return;
  }
}

void Stepper::setOutcome(ShardRecord &Record, const CallOutcome &Outcome) {
  CallOutcome Kept = keptOutcome(Outcome);
  std::size_t Bytes = bodyCost(Kept);
  for (const auto &[Id, Other] : S.Image.Records)
    Bytes += Other.Outcome ? bodyCost(*Other.Outcome) : 0;
  if (Bytes > ShardBodyBudget)
    Kept = CallOutcome{Kept.Status, "", "", true};
  S.Counters.Trimmed += Kept.Trimmed ? 1 : 0;
  Record.Outcome = std::move(Kept);
  S.Dirty = true;
}

void Stepper::apply(const CallEnded &Event) {
  auto Found =
      std::find_if(S.Calls.begin(), S.Calls.end(), [&](const auto &Value) {
        return Value.second.Attempt == Event.Attempt &&
               Value.second.State == Phase::Running;
      });
  if (Found == S.Calls.end())
    return;
  const std::string Id = Found->first;
  Call &Ended = Found->second;
  auto Past = S.Known.find(Id);
  if (const auto *Answered = std::get_if<CallAnswered>(&Event.End)) {
    Ended.Outcome = Answered->Outcome;
    if (ShardRecord *Record = findRecord(Id, Ended.Attempt)) {
      setOutcome(*Record, Ended.Outcome);
      Ended.State = Phase::Recording;
      Ended.AnswerBy = Now + S.Settings.OutcomeWait;
      return;
    }
    if (Past != S.Known.end() && Past->second.Attempt == Ended.Attempt)
      Past->second.Outcome = keptOutcome(Ended.Outcome);
    answer(Ended);
    S.Calls.erase(Found);
    return;
  }
  if (const auto *NotRun = std::get_if<CallNotRun>(&Event.End)) {
    for (const Waiter &To : Ended.Waiters)
      refuse(To, NotRun->Code, "no upstream ran the call", seconds(1));
    if (Past != S.Known.end() && Past->second.Attempt == Ended.Attempt)
      S.Known.erase(Past);
    return withdraw(Id, Ended.Attempt);
  }
  for (const Waiter &To : Ended.Waiters)
    refuse(To, std::get<CallUnknown>(Event.End).Code,
           "the upstream may have run the call");
  S.Calls.erase(Found);
}

void Stepper::apply(const ShardTick &) {
  std::vector<std::pair<std::string, std::uint64_t>> Abandoned;
  for (auto It = S.Calls.begin(); It != S.Calls.end();) {
    auto &[Id, Value] = *It;
    if (Value.State == Phase::Recording && Now >= Value.AnswerBy) {
      answer(Value);
      It = S.Calls.erase(It);
      continue;
    }
    if (Value.State != Phase::Recording)
      dropLate(Value);
    if (Value.State == Phase::Starting && Value.Waiters.empty())
      Abandoned.emplace_back(Id, Value.Attempt);
    ++It;
  }
  for (const auto &[Id, Attempt] : Abandoned)
    withdraw(Id, Attempt);
  std::vector<CallArrived> Late;
  auto IsLate = [&](const CallArrived &Waiting) {
    if (Now >= Waiting.Deadline)
      Late.push_back(Waiting);
    return Now >= Waiting.Deadline;
  };
  std::erase_if(S.Loading, IsLate);
  std::erase_if(S.Confirming,
                [&](const auto &Value) { return IsLate(Value.second); });
  for (const CallArrived &Waiting : Late)
    answerOffline(Waiting);
}

} // namespace samphirehill::detail
