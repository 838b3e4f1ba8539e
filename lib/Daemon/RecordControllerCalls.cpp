// How calls under idempotency keys come in, are passed on, sent and answered.
#include "samphirehill/Daemon/RecordController.h"

#include "RecordMessages.h"
#include "samphirehill/Core/Hash.h"
#include "samphirehill/Daemon/RequestPath.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <string>
#include <utility>

namespace samphirehill {
namespace {

// After a broken connection an entry owns nothing for this time, in the view of
// the entry that could not reach it.
constexpr Duration UnreachableTime = seconds(2);
constexpr Duration UndecidedRetry = seconds(1);
// A message to a peer is lost while its connection is down, so a forward that
// is not answered is sent again after this time, which doubles each time.
constexpr Duration FirstRepeat = milliseconds(250);
constexpr Duration MaxRepeat = seconds(1);
// An entry that has answered neither a forward nor its repetitions for this
// time is taken for unreachable. It may be paused, so the call is passed on as
// a resend.
constexpr Duration ForwardSilence = milliseconds(1500);

// What must be equal for two requests under one key to be the same call.
std::uint64_t bodyHashOf(const PlainRequest &Request) {
  std::uint64_t Hash = hashBytes(Request.Of.str());
  Hash = combineHashes(Hash, hashBytes(Request.Method));
  Hash = combineHashes(Hash, hashBytes(Request.Path));
  return combineHashes(Hash, hashBytes(Request.Body));
}

std::size_t shardOfCall(const KeyedCall &Call) {
  return shardOf(Call.Plain.Organisation, Call.Key);
}

CallEnd endOf(const PlainResult &Result) {
  if (const auto *Failed = std::get_if<PlainFailure>(&Result)) {
    switch (runState(Failed->Failure.Code)) {
    case RunState::NotRun:
      return CallNotRun{Failed->Failure.Code};
    case RunState::MayHaveRun:
      return CallUnknown{Failed->Failure.Code};
    default:
      return CallUnknown{ResultCode::UpstreamLost};
    }
  }
  const auto &Response = std::get<HttpResponse>(Result);
  return CallAnswered{CallOutcome{Response.Status,
                                  findHeader(Response.Headers, "Content-Type"),
                                  Response.Body, false}};
}

void answerCaller(RequestContext &Request, const KeyedAnswer &Value) {
  bool HasOutcome = Value.Code == ResultCode::Ok ||
                    Value.Code == ResultCode::RecordedOutcomeTrimmed;
  if (!HasOutcome) {
    refuse(Request, Error{Value.Code, Value.Message}, Value.RetryAfter);
    return;
  }
  HttpHeaders Headers = resultHeaders(Request, Value.Code);
  if (!Value.Outcome.ContentType.empty())
    Headers.emplace_back("Content-Type", Value.Outcome.ContentType);
  if (Value.Replayed)
    Headers.emplace_back("Idempotency-Replayed", "true");
  Request.Exchange->respond(Value.Outcome.Status, Headers, Value.Outcome.Body);
}

} // namespace

void RecordController::keyed(RequestContext Request,
                             std::function<void()> Ended) {
  KeyedCall Call;
  Call.Plain = plainRequest(Request);
  Call.Plain.Repeatable = false;
  Call.Key = Request.IdempotencyKey;
  RequestId Id = Request.Id;
  auto Kept = std::make_shared<RequestContext>(std::move(Request));
  accept(Id, std::move(Call),
         [Kept, Ended = std::move(Ended)](const KeyedAnswer &Value) {
           answerCaller(*Kept, Value);
           Ended();
         });
}

void RecordController::issueKey(RequestContext &Request) {
  if (Leaving) {
    refuse(Request, Error{ResultCode::ShuttingDown,
                          "this entry is shutting down and issues no keys"});
    return;
  }
  std::array<char, 16> Nonce{};
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Nonce.data()),
                 static_cast<int>(Nonce.size())) != 1) {
    refuse(Request, Error{ResultCode::Internal,
                          "the system gives no random bytes for a key"});
    return;
  }
  std::string Key = issueEntryKey(Keys, Request.Who.Who->Name,
                                  std::string_view(Nonce.data(), Nonce.size()),
                                  Shared.Timers.now());
  HttpHeaders Headers = resultHeaders(Request, ResultCode::Ok);
  Headers.emplace_back("Content-Type", "application/json");
  nlohmann::json Body = {
      {"key", Key}, {"expires_in_s", toMilliseconds(Keys.Settings.Ttl) / 1000}};
  Request.Exchange->respond(201, Headers, Body.dump());
}

void RecordController::receive(const peer::Envelope &Message) {
  const peer::ForwardedCall &Call = Message.forwarded_call();
  ForwardKey Key(Message.sender() + "." + std::to_string(Message.incarnation()),
                 Call.request_id(), Call.hops());
  if (!Received.insert(Key).second)
    return Hub.respond(Message, inProgressEnvelope());
  peer::Envelope Asked;
  Asked.set_sender(Message.sender());
  Asked.set_correlation(Message.correlation());
  // An id of this process: a call may pass the same entry twice.
  accept(Shared.nextRequestId(), fromMessage(Call, Shared.Timers.now()),
         [this, Key, Asked](const KeyedAnswer &Value) {
           Received.erase(Key);
           Hub.respond(Asked, toEnvelope(Value));
         });
}

void RecordController::accept(const RequestId &Id, KeyedCall Call,
                              AnswerFunction Answer) {
  Requests.emplace(Id, Pending{std::move(Call), std::move(Answer), {}, 0});
  route(Id);
}

void RecordController::route(const RequestId &Id) {
  Pending &Request = Requests.at(Id);
  const KeyedCall &Call = Request.Call;
  if (isEntryKey(Call.Key))
    return routeEntryKey(Id);
  const EntryId &Owner = Owners.Owner[shardOfCall(Call)];
  bool Here =
      Owner == Shared.Config.Entry || (Call.Hops >= MaxRecordHops && !Leaving);
  if (Here)
    return arriveHere(Id);
  if (Owner.empty() || Call.Hops >= MaxRecordHops)
    return answerUndecided(Id, "no entry that can be reached owns the "
                               "idempotency key's record shard");
  forward(Id, EntryId(Owner));
}

void RecordController::routeEntryKey(const RequestId &Id) {
  Pending &Request = Requests.at(Id);
  const KeyedCall &Call = Request.Call;
  Outcome<EntryKeyAddress> Parsed =
      capture([&] { return parseEntryKey(Call.Key); });
  if (const Error *Failure = errorOf(Parsed))
    return answer(AnswerRefusal{Id, Failure->Code, Failure->Message});
  const EntryKeyAddress Address = std::get<0>(Parsed);
  if (Address.Entry == Shared.Config.Entry)
    return carryOut(useEntryKey(Keys, Call.Plain.Organisation, Call.Key, Id,
                                bodyHashOf(Call.Plain), Call.Plain.Deadline,
                                Shared.Timers.now()));
  if (Peers.Gone(Address.Entry, Address.Issuer))
    return answer(AnswerRefusal{Id, ResultCode::KeyOwnerGone,
                                "entry " + Address.Entry.str() +
                                    ", which issued the idempotency key, has "
                                    "ended with its record"});
  if (Call.Hops >= MaxRecordHops)
    return answerUndecided(Id, "entry " + Address.Entry.str() +
                                   ", which issued the idempotency key, can't "
                                   "be reached");
  forward(Id, Address.Entry);
}

void RecordController::arriveHere(const RequestId &Id) {
  const KeyedCall &Call = Requests.at(Id).Call;
  feed(shardOfCall(Call),
       CallArrived{Id, recordIdOf(Call.Plain.Organisation, Call.Key),
                   bodyHashOf(Call.Plain), Call.Plain.Deadline,
                   Call.MayBeResend});
}

// LastRead is the owner that the shard's object names; it knows better than
// this entry's view.
void RecordController::passOn(const RequestId &Id, const EntryId &LastRead) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  KeyedCall &Call = Found->second.Call;
  if (Call.Hops >= MaxRecordHops)
    return answerUndecided(Id, "the owner of the idempotency key's record "
                               "shard has changed too often");
  EntryId Next = Owners.Owner[shardOfCall(Call)];
  if (LastRead != Shared.Config.Entry && isCandidate(LastRead))
    Next = LastRead;
  if (Next.empty())
    return answerUndecided(Id, "no entry that can be reached owns the "
                               "idempotency key's record shard");
  if (Next != Shared.Config.Entry)
    return forward(Id, Next);
  // Counted, so that a shard that is lost again and again comes to an end.
  ++Call.Hops;
  arriveHere(Id);
}

void RecordController::forward(const RequestId &Id, const EntryId &To) {
  Pending &Request = Requests.at(Id);
  Duration Remaining = Request.Call.Plain.Deadline - Shared.Timers.now();
  if (Remaining < milliseconds(1))
    return answer(AnswerRefusal{Id, ResultCode::DeadlineExceeded,
                                "the deadline passed before the call reached "
                                "the entry that keeps its record"});
  ++Request.Call.Hops;
  Request.ForwardedTo = To;
  Request.Forward = ++LastForward;
  Request.RepeatWait = FirstRepeat;
  Request.HeardAt = Shared.Timers.now();
  Shared.Counters.count("keyed_calls_forwarded_total");
  sendForward(Id);
}

void RecordController::sendForward(const RequestId &Id) {
  Pending &Request = Requests.at(Id);
  TimePoint Now = Shared.Timers.now();
  Request.RepeatAt = Now + Request.RepeatWait;
  Request.RepeatWait = std::min(Request.RepeatWait * 2, MaxRepeat);
  Hub.request(EntryId(Request.ForwardedTo), toEnvelope(Request.Call, Now),
              Request.Call.Plain.Deadline - Now,
              [this, Weak = std::weak_ptr(Alive), Id, To = Request.ForwardedTo,
               Number = Request.Forward](const Outcome<peer::Envelope> &Value) {
                if (Weak.expired())
                  return;
                auto Found = Requests.find(Id);
                if (Found != Requests.end() && Found->second.Forward == Number)
                  forwardEnded(Id, To, Value);
              });
}

// The receiver takes a repeated message for the same call while it has not
// answered. After that the repeated one is a second delivery, because the
// answer may be lost.
void RecordController::repeatForwards() {
  TimePoint Now = Shared.Timers.now();
  std::vector<RequestId> Due;
  bool Silent = false;
  for (auto &[Id, Request] : Requests) {
    if (Request.Forward == 0 || Now >= Request.Call.Plain.Deadline)
      continue;
    if (Now - Request.HeardAt >= ForwardSilence &&
        !isEntryKey(Request.Call.Key)) {
      Unreachable[Request.ForwardedTo] = Now + UnreachableTime;
      Silent = true;
    } else if (Request.RepeatAt <= Now) {
      Due.push_back(Id);
    }
  }
  // This breaks all forwards to the silent entries.
  if (Silent)
    updateCandidates();
  for (const RequestId &Id : Due) {
    auto Found = Requests.find(Id);
    if (Found == Requests.end() || Found->second.Forward == 0)
      continue;
    Found->second.Call.MayBeResend = true;
    Shared.Counters.count("keyed_forwards_repeated_total");
    sendForward(Id);
  }
}

void RecordController::forwardEnded(const RequestId &Id, const EntryId &To,
                                    const Outcome<peer::Envelope> &Value) {
  Pending &Request = Requests.at(Id);
  const Error *Failure = errorOf(Value);
  if (!Failure) {
    const auto &Message = std::get<peer::Envelope>(Value);
    if (Message.has_forwarded_answer() &&
        isInProgress(Message.forwarded_answer())) {
      Request.HeardAt = Shared.Timers.now();
      return;
    }
    if (Message.has_forwarded_answer())
      return answer(Id, fromMessage(Message.forwarded_answer()));
    return answerUndecided(Id, "entry " + To.str() + " gave another answer");
  }
  Request.Forward = 0;
  Request.ForwardedTo = EntryId();
  if (Failure->Code != ResultCode::ConnectFailed)
    return answer(AnswerRefusal{Id, ResultCode::DeadlineExceeded,
                                "the call was passed on to entry " + To.str() +
                                    ", which has not answered by the deadline",
                                UndecidedRetry});
  if (isEntryKey(Request.Call.Key) || Request.Call.Hops >= MaxRecordHops)
    return answerUndecided(Id, Failure->Message);
  // This message was not sent, so another entry may take the call; MayBeResend
  // tells it whether an earlier one was.
  Unreachable[To] = Shared.Timers.now() + UnreachableTime;
  updateCandidates();
  if (Requests.contains(Id))
    route(Id);
}

void RecordController::entryGone(const ConfirmedGone &Gone) {
  breakForwards([&](const EntryId &Entry) { return Entry == Gone.Entry; });
}

void RecordController::breakForwards(
    const std::function<bool(const EntryId &)> &IsBroken) {
  std::vector<RequestId> Broken;
  for (const auto &[Id, Request] : Requests) {
    if (Request.Forward == 0 || !IsBroken(Request.ForwardedTo))
      continue;
    Broken.push_back(Id);
  }
  for (const RequestId &Id : Broken) {
    // An earlier one may have changed the candidates and so passed this one on.
    auto Found = Requests.find(Id);
    if (Found != Requests.end() && Found->second.Forward != 0 &&
        IsBroken(Found->second.ForwardedTo))
      forwardBroke(Id);
  }
}

void RecordController::forwardBroke(const RequestId &Id) {
  Pending &Request = Requests.at(Id);
  KeyedCall &Call = Request.Call;
  if (isEntryKey(Call.Key)) {
    Outcome<EntryKeyAddress> Issuer =
        capture([&] { return parseEntryKey(Call.Key); });
    const auto *Address = std::get_if<EntryKeyAddress>(&Issuer);
    // Only the issuer can answer; while it may live, its answer may come.
    if (!Address || !Peers.Gone(Address->Entry, Address->Issuer))
      return;
  }
  Request.Forward = 0;
  Request.ForwardedTo = EntryId();
  Call.MayBeResend = true;
  Shared.Counters.count("keyed_forwards_broken_total");
  route(Id);
}

void RecordController::answer(const RequestId &Id, const KeyedAnswer &Value) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  AnswerFunction Function = std::move(Found->second.Answer);
  Requests.erase(Found);
  Shared.Counters.count(labelled("keyed_answers_total", "code",
                                 std::string(toString(Value.Code))));
  Function(Value);
}

void RecordController::answer(const AnswerOutcome &Value) {
  KeyedAnswer Given;
  Given.Code = Value.Outcome.Trimmed ? ResultCode::RecordedOutcomeTrimmed
                                     : ResultCode::Ok;
  Given.Outcome = Value.Outcome;
  Given.Replayed = Value.Replayed;
  answer(Value.Request, Given);
}

void RecordController::answer(const AnswerRefusal &Value) {
  KeyedAnswer Given;
  Given.Code = Value.Code;
  Given.Message = Value.Message;
  Given.RetryAfter = Value.RetryAfter;
  answer(Value.Request, Given);
}

// Not even `not run` for the key is known, because no shard was asked.
void RecordController::answerUndecided(const RequestId &Id,
                                       const std::string &Message) {
  answer(AnswerRefusal{Id, ResultCode::OutcomeUnknown,
                       Message + "; an earlier request with this key may have "
                                 "run",
                       UndecidedRetry});
}

void RecordController::send(const SendCall &Action, RecordPlace Place) {
  auto Found = Requests.find(Action.Request);
  TimePoint Now = Shared.Timers.now();
  if (Found == Requests.end() || Now >= Found->second.Call.Plain.Deadline)
    return ended(Place, Action.Attempt,
                 CallNotRun{ResultCode::DeadlineTooShort});
  PlainRequest Plain = Found->second.Call.Plain;
  Plain.Repeatable = false;
  CrashCheck Check = checkCrashes(Parts.Crashes.suspects(), Plain.Print, Now);
  if (Check.Verdict == CrashVerdict::Refuse)
    return ended(Place, Action.Attempt,
                 CallNotRun{ResultCode::CrashesUpstreams});
  Plain.Suspect = Check.Verdict == CrashVerdict::Suspect;
  Plain.NotBefore = Plain.Suspect ? Check.Until : TimePoint();
  ++CallsOut;
  PlainCall::run(Parts, std::move(Plain),
                 [this, Weak = std::weak_ptr(Alive), Place,
                  Attempt = Action.Attempt](const PlainResult &Result) {
                   if (Weak.expired())
                     return;
                   --CallsOut;
                   ended(Place, Attempt, endOf(Result));
                 });
}

void RecordController::ended(RecordPlace Place, std::uint64_t Attempt,
                             const CallEnd &End) {
  if (Place)
    feed(*Place, CallEnded{Attempt, End});
  else
    carryOut(endEntryKeyCall(Keys, Attempt, End));
}

void RecordController::carryOut(const std::vector<KeyAction> &Actions) {
  for (const KeyAction &Action : Actions) {
    if (const auto *Sent = std::get_if<SendCall>(&Action))
      send(*Sent, std::nullopt);
    else if (const auto *Value = std::get_if<AnswerOutcome>(&Action))
      answer(*Value);
    else
      answer(std::get<AnswerRefusal>(Action));
  }
}

} // namespace samphirehill
