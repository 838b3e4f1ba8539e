#include "samphirehill/Serving/RequestFlow.h"

#include "samphirehill/Core/Hash.h"
#include "samphirehill/Serving/EntryReach.h"
#include "samphirehill/Serving/EventSplitter.h"
#include "samphirehill/Serving/LimitedPlacement.h"
#include "samphirehill/Serving/Placement.h"
#include "samphirehill/Serving/UpstreamPacing.h"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {
namespace {

// How often deadlines, stalls and the waiting times are checked.
constexpr Duration SweepPeriod = milliseconds(50);
// A failed request with less time left than this is not retried.
constexpr Duration MinTimeToSend = milliseconds(20);
// Bounds the body of an answer that is collected before it is forwarded.
constexpr std::size_t MaxCollectedBytes = 8'388'608;
// Retry-After of requests that are refused for lack of a usable configuration,
// and of requests that have crashed upstreams.
constexpr Duration NoConfigurationRetryDelay = milliseconds(500);
constexpr Duration CrashingRetryDelay = seconds(5);
// Other entries serve while this one stops.
constexpr Duration StoppingRetryDelay{};

// Returns the ids of Parts as they are logged.
std::string toString(const std::vector<PromptPart> &Parts) {
  return fmt::format("{:x}", fmt::join(Parts, ","));
}

} // namespace

enum class FlowState {
  Waiting,   // for an upstream
  Sent,      // to an upstream; the answer, if any, is being collected
  Streaming, // the upstream's events are forwarded as they arrive
  Done,
};

// One request of a caller and its attempts at upstreams.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
public:
  RequestFlow(RequestFlows &Owner, std::shared_ptr<CallerRequest> Caller,
              std::uint64_t Number)
      : Owner(Owner), Caller(std::move(Caller)), Number(Number),
        Held(Owner.Shared.Pool.bytes(), [this] { endHeldLater(); }) {}

  // Has the request wait for the first configuration, which arrives soon after
  // the start of the process.
  void awaitConfiguration() {
    Facts = shared().Wire.ReadRequest(Caller->Request);
    Deadline =
        std::max(Owner.StartedAt + Owner.Settings.MaxConfigurationWait, now());
    if (Facts.TimeLeft)
      Deadline = std::min(Deadline, Caller->ReceivedAt + *Facts.TimeLeft);
    checkTimeouts(); // the configuration may be overdue
  }

  // Checks the request against the configuration and refuses it if it has no
  // route, no valid key or no service, or has crashed too many upstreams.
  // Returns whether the request may be sent to an upstream.
  bool admit() {
    const HttpRequest &Request = Caller->Request;
    Facts = shared().Wire.ReadRequest(Request);
    Config = Owner.Config;
    const Route *Found = Config->Routes.find(Facts.Host, Request.Target);
    if (!Found)
      return refuse(404, ResultCode::UnknownService, "unknown_route", {});
    MatchedRoute = Found;
    if (!authenticate())
      return refuse(401, ResultCode::Unauthenticated, "unknown_key", {});
    TimePoint Received = Caller->ReceivedAt;
    Duration Allowed = Found->Timeout;
    if (Facts.TimeLeft)
      Allowed = std::min(Allowed, *Facts.TimeLeft);
    Deadline = Received + Allowed;
    ObjectiveStart =
        Received - elapsedBeforeArrival(Owner.LongestTimeouts[Found->Name],
                                        Allowed, now());
    if (Owner.StopsAt &&
        !endsBeforeStop(isRepeatable(*Found), Deadline - now(),
                        Owner.AnswerTimes[Found->Name], *Owner.StopsAt - now()))
      return refuse(ResultCode::ShuttingDown, "stopping", StoppingRetryDelay);
    const ServiceId *Service = pickService(*Found, Owner.randomFraction());
    if (!Service || !Config->Services.contains(*Service))
      return refuse(ResultCode::NoUpstream, "no_service",
                    NoConfigurationRetryDelay);
    Shape = &Config->Services.at(*Service);
    Splitter.LastId = Facts.LastEventId;
    Fingerprint = requestFingerprint(Request.Target, Facts.Key, Request.Body);
    countRequest(shared().Retries, *Service, now());
    noteEvent(Owner.ArrivalRates[serviceModel()], now());
    if (Shape->Engine && ObjectiveStart == Received)
      noteRequest(Owner.Work, serviceModel(), *Shape->Engine, Facts, now());
    if (!mayRun(shared().Crashes, Fingerprint, now()))
      return refuse(503, ResultCode::CrashesUpstreams, "crashes_upstreams",
                    CrashingRetryDelay);
    spdlog::info("event=admitted request={} route={} service={} model={} "
                 "config={} left_ms={}",
                 Facts.Id, Found->Name, Service->str(), Facts.Model,
                 Config->Version, toMilliseconds(Deadline - now()));
    if (refuseIfBlamed())
      return false;
    const ModelShape *Model = findModel(*Shape, Facts.Model);
    if (Model && appliesTo(Owner.Shares, Shape->Id))
      claimPlace(*Model);
    return true;
  }

  // Ends the request if a part of its prompt is blamed for crashes of engines,
  // unless it may be sent as a trial of that part. Returns whether it has
  // ended.
  bool refuseIfBlamed() {
    PartSuspects &Suspects = shared().Suspects;
    std::optional<PromptPart> Blamed =
        Trial ? std::nullopt : blamedPart(Suspects, Facts.SharedParts);
    if (!Blamed)
      return false;
    const PlacementLimits &Limits = shared().Book.Limits;
    if (!hasBegun() && !CurrentUpstream &&
        takeTrial(Suspects, *Blamed, Limits.Self, Limits.Others, now())) {
      Trial = true;
      shared().Metrics.count("blamed_part_requests", "result", "trial");
      spdlog::warn("event=part_trial request={} part={:x}", Facts.Id, *Blamed);
      return false;
    }
    noteRefused(Suspects, *Blamed, now());
    shared().Metrics.count("blamed_part_requests", "result", "refused");
    spdlog::info("event=part_refused request={} part={:x} engines={}", Facts.Id,
                 *Blamed, Suspects.Parts.at(*Blamed).Crashes.size());
    bool Sent = CurrentUpstream.has_value();
    stopAttempt(false);
    MayHaveRun = MayHaveRun || Sent;
    if (hasBegun())
      giveUp(ResultCode::CrashesUpstreams, "crashes_upstreams");
    else
      refuse(503, ResultCode::CrashesUpstreams, "crashes_upstreams",
             CrashingRetryDelay);
    return true;
  }

  // Sends the request to the best upstream, if one may take it now and, for a
  // retry, the retry limit allows it. Returns whether it was sent.
  bool trySend() {
    if (awaitsCrashCheck())
      return false;
    PlacementQuery Query = query();
    Placement Found = place(shared().Book, Query, now());
    if (!hasBegun())
      yieldPlace(Owner.Shares, Claim, Found, now(), shared().Metrics);
    Last = Found;
    if (!Found.Chosen && Query.Late) // may not take what others leave to it
      moveTo(Owner.Shares, Claim, ClaimPhase::None);
    if (!Found.Chosen)
      return false;
    if (ReachedUpstream && !takeRetry(shared().Retries, Shape->Id, now())) {
      RetriesExhausted = true;
      return false;
    }
    send(*Found.Chosen);
    return true;
  }

  WaitingRequest waitingRequest() const {
    return {Number, priority(), startBy(), hasBegun(), isBeyondOwnShare()};
  }

  // Returns whether this request and Other wait for the same kind of place.
  bool sharesPlaces(const RequestFlow &Other) const {
    return Shape->Id == Other.Shape->Id && model() == Other.model();
  }

  // Refuses the waiting request because the queue is too long.
  void refuseWaiting() { giveUp(ResultCode::Overloaded, "queue_full"); }

  // Returns the rate at which requests for the same kind of place are sent.
  EventRate sendRate() const {
    auto Found = Owner.SendRates.find(serviceModel());
    return Found == Owner.SendRates.end() ? EventRate{} : Found->second;
  }

  // Refuses the request at once if none has begun to work on it and all
  // upstreams that could serve it have asked for a pause, can't be reached, or
  // are limited and its turn, after the requests Ahead, would come too late.
  // Returns whether the request was refused.
  bool refuseIfHopeless(const RequestQueue &Ahead) {
    if (hasBegun())
      return false;
    if (Last.Reason == PlacementFailure::Unreachable)
      giveUp(ResultCode::NoUpstream, "out_of_reach");
    else if (Last.Reason == PlacementFailure::Quiet)
      giveUp(ResultCode::Overloaded, "all_quiet");
    else if (Last.Reason == PlacementFailure::Limited && !comesInTime(Ahead))
      giveUp(ResultCode::Overloaded, "all_limited");
    return State == FlowState::Done;
  }

  void beginWaiting() {
    State = FlowState::Waiting;
    WaitStart = now();
    Owner.Waiting.push_back(shared_from_this());
    spdlog::info("event=queued request={} {} candidates_tried={}", Facts.Id,
                 describeFailure(Last), Tried.size());
  }

  // Checks the deadline, the waiting time and the progress of the upstream.
  void checkTimeouts() {
    TimePoint Now = now();
    if (State == FlowState::Done)
      return;
    if (Now >= Deadline)
      return deadlinePassed();
    if (!Config)
      return;
    if (State == FlowState::Waiting)
      return checkWait(Now);
    // An engine may have yet to begin on a request that was sent before its
    // part was blamed.
    if (!AttemptBegunAt && refuseIfBlamed())
      return;
    checkProgress(Now);
  }

  // Ends the request, and the upstream's work on it, as nobody waits for the
  // answer. A request that must not run twice and has been sent is left to
  // complete.
  void callerDisconnected() {
    shared().Metrics.count("requests", "result", "caller_gone");
    spdlog::info("event=caller_gone request={} state={} after_ms={}", Facts.Id,
                 static_cast<int>(State), ageMs());
    CallerDisconnected = true;
    if (CurrentUpstream && State == FlowState::Sent &&
        !isRepeatable(*MatchedRoute))
      return;
    stopAttempt(false);
    endRequest();
  }

  bool isCallerConnected() const { return !CallerDisconnected; }
  FlowState state() const { return State; }

  // Ends the request at the end of a planned stop.
  void endAtStop() {
    bool Sent = CurrentUpstream.has_value();
    stopAttempt(false);
    MayHaveRun = MayHaveRun || Sent;
    if (hasBegun())
      giveUp(ResultCode::UpstreamLost, "stopped");
    else
      refuse(503, ResultCode::ShuttingDown, "stopped", StoppingRetryDelay);
  }

  // Cancels the attempt without an answer to the caller, at shutdown.
  void discard() {
    stopAttempt(false);
    State = FlowState::Done;
  }

private:
  FlowShared &shared() { return Owner.Shared; }
  const FlowShared &shared() const { return Owner.Shared; }
  TimePoint now() const { return Owner.Shared.Timers.now(); }
  std::int64_t ageMs() const { return sinceReceived(now()); }
  // Returns the milliseconds from the request's arrival to At, or -1 if At is
  // not set.
  std::int64_t sinceReceived(TimePoint At) const {
    return At == TimePoint{} ? -1 : toMilliseconds(At - Caller->ReceivedAt);
  }

  bool authenticate() {
    if (MatchedRoute->Anonymous)
      return true;
    auto Found = Config->OrganisationByKey.find(Facts.Key);
    if (Found == Config->OrganisationByKey.end())
      return false;
    OwningOrganisation = &Found->second;
    return true;
  }

  int priority() const { return priorityOf(*MatchedRoute, OwningOrganisation); }

  // Begins to count the request's claim on a place.
  void claimPlace(const ModelShape &Model) {
    OrganisationId Organisation =
        OwningOrganisation ? OwningOrganisation->Id : OrganisationId();
    Claim = countClaim(Owner.Shares, serviceModel(), {priority(), Organisation},
                       usualHolding(*Shape->Engine, Model, Facts, 1.0), now());
  }

  bool isBeyondOwnShare() const {
    return !hasBegun() && isBeyondShare(Owner.Shares, Claim, now());
  }

  std::string model() const {
    return Shape->Engine ? Facts.Model : std::string();
  }

  // Returns whether an upstream has worked on the request, or may have.
  bool hasBegun() const { return MayHaveRun || HeadForwarded; }

  // Returns when the request must be sent to meet its objective.
  TimePoint startBy() const {
    auto Usual = Owner.FirstEventTimes.find(serviceModel());
    return ObjectiveStart + maxStartDelay(Owner.Settings.Wait,
                                          Usual == Owner.FirstEventTimes.end()
                                              ? FirstEventTime{}
                                              : Usual->second,
                                          MatchedRoute->Objective);
  }

  ServiceModel serviceModel() const { return {Shape->Id, model()}; }

  // Returns whether the limits of upstreams let the request be sent in time,
  // after those of Ahead that wait for the same kind of place. Sets
  // Last.RetryAt.
  bool comesInTime(const RequestQueue &Ahead) {
    auto Count = std::count_if(Ahead.begin(), Ahead.end(), [&](const auto &A) {
      return A->State == FlowState::Waiting && A->sharesPlaces(*this);
    });
    Duration Wait = waitForLimits(shared().Book, query(), Count, now());
    Last.RetryAt = shared().Timers.nowWithSuspension() + Wait +
                   spreadReturn(Owner.randomFraction());
    return Wait <= longestWaitForTurn(Owner.Settings.Wait, startBy() - now(),
                                      Deadline - now());
  }

  PlacementQuery query() const {
    PlacementQuery Query;
    Query.Service = Shape->Id;
    Query.Model = model();
    Query.OwnZone = Owner.Settings.Zone;
    Query.Draw = Owner.randomFraction();
    Query.NowWithSuspension = shared().Timers.nowWithSuspension();
    Query.ColdPerSecond = Shape->ColdPerSecond;
    Query.Repeatable = isRepeatable(*MatchedRoute);
    Query.Tried = Tried;
    Query.ExtraSlots = Shape->Engine ? 0 : Owner.Settings.PlainServiceQueue;
    Query.TimeLeft = Deadline - now();
    if (Shape->Engine) {
      Query.Engine = &*Shape->Engine;
      Query.PromptTokens = Facts.PromptTokens;
      Query.OutputTokens = Facts.OutputTokens;
      Query.Objective = MatchedRoute->Objective;
      Query.DemandShare = demandShare(
          Owner.ArrivalRates, shared().Book.PeerDemand, serviceModel(), now());
      Query.Late =
          MatchedRoute->Objective > Duration::zero() && now() > startBy();
      Query.Begun = hasBegun();
      limitByShare(Owner.Shares, Claim, Query, now());
    }
    return Query;
  }

  // Returns whether it is still being found out whether an engine has crashed,
  // perhaps on this request.
  bool awaitsCrashCheck() const {
    return SuspectedOf && Owner.Checks->contains(*SuspectedOf);
  }

  void send(const UpstreamKey &Key) {
    const Upstream &Chosen = shared().Book.Upstreams.at(Key).Info;
    SendFacts Sent;
    Sent.TimeLeft = Deadline - now();
    Sent.Expected = Key.Instance;
    if (OwningOrganisation)
      Sent.Organisation = OwningOrganisation->Id;
    Sent.Priority = isBeyondOwnShare() ? LowestPriority : priority();
    Sent.LastEventId = Splitter.LastId;
    std::string Bytes = serialize(shared().Wire.Forward(Caller->Request, Sent));
    CurrentUpstream = Key;
    CurrentLife = lifeOf(Chosen);
    State = FlowState::Sent;
    moveTo(Owner.Shares, Claim, ClaimPhase::Holding);
    AttemptStart = LastProgressAt = now();
    Resent = hasBrokenOff(shared().Crashes, Fingerprint, AttemptStart);
    ++Attempts;
    HeadSeen = false;
    Collected = {};
    Held.clear();
    AwaitsFirst = true;
    AttemptEvents = 0;
    AttemptBegunAt.reset();
    ProvedSound = false;
    PlacementQuery Query = query();
    noteSent(shared().Book, Key, Query, AttemptStart);
    ExpectedFirst = expectedFirstAt(shared().Book.Upstreams.at(Key), Query);
    noteEvent(Owner.SendRates[serviceModel()], AttemptStart);
    shared().Metrics.count(
        "sends", "zone", Chosen.Zone == Owner.Settings.Zone ? "own" : "other");
    ExchangeOptions Options;
    Options.AnswerHasNoBody = Caller->Request.Method == "HEAD";
    if (!isRepeatable(*MatchedRoute))
      Options.MaxIdle = Owner.Settings.UnsafeMaxIdle;
    Options.RequestId = Facts.Id;
    Options.StillAllowed = [Flows = &Owner, Key] {
      const FlowShared &Shared = Flows->Shared;
      return maySend(Shared.Book, Key, Shared.Timers.nowWithSuspension());
    };
    Attempt = shared().Pool.start(Chosen.Address, std::move(Bytes), Options,
                                  handlers());
    spdlog::info(
        "event=sent request={} attempt={} upstream={} epoch={} zone={} "
        "running={} elsewhere={} waited_ms={} left_ms={} resume={} "
        "connection_requests={}",
        Facts.Id, Attempts, Key.Instance.str(), Key.Epoch, Chosen.Zone.str(),
        shared().Book.Upstreams.at(Key).OwnLoad.Running,
        shared().Book.Upstreams.at(Key).PeerLoad.Running, ageMs(),
        toMilliseconds(Sent.TimeLeft), Splitter.LastId ? *Splitter.LastId : -1,
        Attempt->connectionRequests());
  }

  ExchangeHandlers handlers() {
    std::weak_ptr<RequestFlow> Weak = weak_from_this();
    ExchangeHandlers Handlers;
    Handlers.OnHead = [Weak](const HttpResponse &Head) {
      std::shared_ptr<RequestFlow> Self = Weak.lock();
      return Self && Self->handleHead(Head);
    };
    Handlers.OnBody = [Weak](std::string_view Part) {
      if (std::shared_ptr<RequestFlow> Self = Weak.lock())
        Self->handleBody(Part);
    };
    Handlers.OnEnd = [Weak] {
      if (std::shared_ptr<RequestFlow> Self = Weak.lock())
        Self->answerComplete();
    };
    Handlers.OnFailure = [Weak](ExchangeFailure Kind,
                                const std::string &Cause) {
      if (std::shared_ptr<RequestFlow> Self = Weak.lock())
        Self->attemptFailed(Kind, Cause);
    };
    return Handlers;
  }

  bool handleHead(const HttpResponse &Head) {
    AnswerFacts Answer = shared().Wire.ReadAnswer(Head);
    bool Success = Head.Status >= 200 && Head.Status < 300;
    if (!answersThisRequest(Answer, Success)) {
      spdlog::warn("event=stray_answer request={} upstream={} answer_to={} "
                   "status={} connection_requests={}",
                   Facts.Id, CurrentUpstream->Instance.str(), Answer.Id,
                   Head.Status, Attempt->connectionRequests());
      return false;
    }
    if (shared().OnAnswer)
      shared().OnAnswer(CurrentLife, Answer);
    // A 421 may come from another instance at the address.
    if (Head.Status != 421)
      noteUpstreamProgress();
    HeadSeen = true;
    Collected = Head;
    CollectedFacts = Answer;
    removeHopByHop(Collected.Headers);
    if (Answer.Sealed && MatchedRoute->Kind == RequestKind::Stream &&
        mayHoldEvents(Head))
      beginStreaming();
    return true;
  }

  // Returns whether an answer belongs to this request. A failure may carry no
  // request id. On a reused connection such a failure may be a late copy of the
  // answer to an earlier request, so it counts only on a new connection.
  bool answersThisRequest(const AnswerFacts &Answer, bool Success) const {
    if (!Answer.Id.empty())
      return Answer.Id == Facts.Id;
    return (!Success || Facts.Id.empty()) && !Attempt->reused();
  }

  void beginStreaming() {
    State = FlowState::Streaming;
    ForwardedEvents = false;
    ResumesStream = HeadForwarded;
    if (HeadForwarded || CallerDisconnected)
      return;
    HeadForwarded = true;
    shared().Metrics.observe("first_answer", now() - Caller->ReceivedAt);
    Caller->beginStream(Collected);
  }

  // Records that the upstream has sent something of use.
  void noteUpstreamProgress() {
    LastProgressAt = now();
    noteProgress(shared().Book, *CurrentUpstream, LastProgressAt);
  }

  // Records the time to the first event, or the gap since the previous one.
  void noteEvents() {
    TimePoint Now = now();
    ++AttemptEvents;
    if (!AttemptBegunAt)
      AttemptBegunAt = Now;
    if (Now - *AttemptBegunAt >= shared().Suspects.Settings.SurvivalTime)
      noteSound();
    if (AwaitsFirst) {
      noteFirstEvent(Owner.FirstEventTimes[serviceModel()], Now - AttemptStart);
      noteAnswered(shared().Book, *CurrentUpstream, AttemptStart, ExpectedFirst,
                   Now);
      noteFirstEventOrEnd();
    } else if (Shape->Engine)
      noteGap(shared().Book, *CurrentUpstream, Now - LastEventAt,
              *Shape->Engine);
    LastEventAt = Now;
  }

  // Records a complete answer, or the failure to give one.
  void noteAttemptResult(bool Success, bool Failed) {
    if (Success)
      noteAnswered(shared().Book, *CurrentUpstream, AttemptStart,
                   Duration::zero(), now());
    if (Failed)
      noteUpstreamFailed(shared().Book, *CurrentUpstream, PaceCause::Failed,
                         now());
  }

  // Records, once for each attempt, that the engine which began to answer this
  // request lives on.
  void noteSound() {
    if (!Shape->Engine || std::exchange(ProvedSound, true))
      return;
    bool Cleared = noteProof(shared().Suspects, Facts.SharedParts,
                             AttemptBegunAt.value_or(now()), now());
    if (Cleared && shared().OnSuspectNews)
      shared().OnSuspectNews();
  }

  // Records, once for each attempt, that the first event has been received or
  // that the attempt has ended: from then on the prompt is not pending.
  void noteFirstEventOrEnd() {
    if (!AwaitsFirst || !CurrentUpstream)
      return;
    AwaitsFirst = false;
    if (FirstAt == TimePoint{})
      FirstAt = now();
    noteFirstEvent(shared().Book, *CurrentUpstream, Facts.PromptTokens);
  }

  void handleBody(std::string_view Part) {
    if (State == FlowState::Streaming)
      return handleStreamPart(Part);
    bool Usable = isUsableSoFar();
    // The body of a failure is of no use to the caller until it is complete, so
    // it doesn't keep an upstream that sends it without end.
    if (Usable)
      noteUpstreamProgress();
    if (Collected.Body.size() + Part.size() > MaxCollectedBytes)
      return abandonAttempt("answer body exceeds the size limit");
    Collected.Body += Part;
    Held.set(Usable ? ByteUse::Answer : ByteUse::Failure,
             Collected.Body.size());
  }

  // Returns whether the answer that is being collected may be a success.
  bool isUsableSoFar() const {
    return Collected.Status >= 200 && Collected.Status < 300 &&
           CollectedFacts.Sealed;
  }

  // Has the attempt ended soon, since the process holds too many bytes. This
  // may be called while the flow handles an event.
  void endHeldLater() {
    EndHeld =
        shared().Timers.after(Duration::zero(), [Weak = weak_from_this()] {
          std::shared_ptr<RequestFlow> Self = Weak.lock();
          if (!Self)
            return;
          Self->EndHeld.cancel();
          if (Self->Held.isEnding() && Self->CurrentUpstream)
            Self->abandonAttempt("process holds too many bytes");
        });
  }

  // Ends an attempt whose answer is unusable. A faulty upstream may send bytes
  // without end, which must not fill the memory.
  void abandonAttempt(const std::string &Cause) {
    if (Attempt)
      Attempt->cancel();
    attemptFailed(ExchangeFailure::Unusable, Cause);
  }

  // Forwards the events that Part completes. Bytes that complete no event do
  // not count as progress, nor do comments.
  void handleStreamPart(std::string_view Part) {
    std::uint64_t EventsBefore = Splitter.Events;
    std::string Complete = takeEvents(Splitter, Part);
    if (isEventTooLong(Splitter))
      return abandonAttempt("event exceeds the size limit");
    Held.set(ByteUse::Failure, Splitter.Partial.size());
    if (Splitter.Events > EventsBefore) {
      ForwardedEvents = true;
      noteUpstreamProgress();
      noteEvents();
    }
    if (!CallerDisconnected)
      Caller->streamPart(Complete);
    if (Splitter.Malformed)
      abandonAttempt("stream contains bytes that are not an event");
  }

  // Returns the bytes that end the caller's stream after the last complete
  // event. Fails if the engine's answer, although complete, must not end the
  // stream: it ended within an event, or an engine that was to resume the
  // stream has sent no event.
  Result<std::string> endOfStream() {
    std::string Rest = takeRest(Splitter);
    if (Splitter.Malformed)
      return fail(ResultCode::StreamBroken, "stream ended within an event");
    // A caller that resumes a stream may already have all its events.
    bool MayBeEmpty = !ResumesStream && Facts.LastEventId;
    if (!ForwardedEvents && Rest.empty() && !MayBeEmpty)
      return fail(ResultCode::StreamBroken, "stream without an event");
    return Rest;
  }

  void streamComplete() {
    Outcome<std::string> Rest = capture([&] { return endOfStream(); });
    if (const Error *Failed = errorOf(Rest))
      return attemptFailed(ExchangeFailure::Broken, Failed->Message);
    noteSound();
    endAttempt(false);
    Caller->streamPart(std::get<0>(Rest));
    Caller->endStream();
    noteAnswerTime(Owner.AnswerTimes[MatchedRoute->Name],
                   now() - Caller->ReceivedAt);
    finish("served", ResultCode::Ok);
  }

  void answerComplete() {
    Attempt.reset();
    if (State == FlowState::Streaming)
      return streamComplete();
    bool Success = Collected.Status >= 200 && Collected.Status < 300;
    if (Success && !CollectedFacts.Sealed)
      return attemptFailed(ExchangeFailure::Unusable, "answer without seal");
    if (Success && HeadForwarded)
      return attemptFailed(ExchangeFailure::Unusable,
                           "answer to a resumed stream is not an event stream");
    if (CollectedFacts.NotRun)
      return refusedByUpstream();
    bool Failed = Collected.Status >= 500;
    if (Success)
      noteSound();
    UpstreamKey Key = *CurrentUpstream;
    noteAttemptResult(Success, Failed);
    endAttempt(Failed);
    if (Failed && isRepeatable(*MatchedRoute) && retryAfterFailure(Key))
      return;
    if (HeadForwarded)
      return abortStream("upstream failed");
    if (promisesNotRun(Collected.Status)) {
      MayHaveRun = true;
      return giveUp(ResultCode::BadAnswer, "upstream_failed");
    }
    Caller->reply(Collected);
    if (Success)
      noteAnswerTime(Owner.AnswerTimes[MatchedRoute->Name],
                     now() - Caller->ReceivedAt);
    finish(Success ? "served" : "upstream_failed", ResultCode::Ok);
  }

  // Retries a request that Key answered with a failure at another upstream, if
  // one may take it now, and returns whether it did. If not, the failure is
  // kept as the answer.
  bool retryAfterFailure(const UpstreamKey &Key) {
    ReachedUpstream = MayHaveRun = true;
    ++Runs;
    Tried.insert(Key);
    if (!mayTryAgain() ||
        blamedPart(shared().Suspects, Facts.SharedParts).has_value())
      return false;
    HttpResponse Failure = Collected;
    bool Sent = trySend();
    if (!Sent)
      Collected = std::move(Failure);
    else
      shared().Metrics.count("retries", "reason", "failed");
    return Sent;
  }

  // Handles an answer which states that the upstream did not run the request.
  void refusedByUpstream() {
    UpstreamKey Key = *CurrentUpstream;
    spdlog::info("event=refused_by_upstream request={} upstream={} status={}",
                 Facts.Id, Key.Instance.str(), Collected.Status);
    endAttempt(false);
    ReachedUpstream = true;
    avoidAndSlow(shared().Book, Key, AvoidReason::Refusing,
                 Owner.Settings.RefusingAvoidance, now());
    Tried.insert(Key);
    if (!retry("refused"))
      giveUp(ResultCode::UpstreamRefused, "upstream_refused");
  }

  void attemptFailed(ExchangeFailure Kind, const std::string &Cause) {
    Attempt.reset();
    UpstreamKey Key = *CurrentUpstream;
    bool Ran =
        Kind == ExchangeFailure::Broken || Kind == ExchangeFailure::Unusable;
    spdlog::warn("event=attempt_failed request={} attempt={} upstream={} "
                 "sent={} head={} events={} begun_ms={} parts={} cause=\"{}\" "
                 "after_ms={}",
                 Facts.Id, Attempts, Key.Instance.str(), Ran, HeadSeen,
                 AttemptEvents,
                 AttemptBegunAt ? toMilliseconds(now() - *AttemptBegunAt) : -1,
                 toString(Facts.SharedParts), Cause,
                 toMilliseconds(now() - AttemptStart));
    Trial = false;
    if (Shape->Engine && (Ran || Kind == ExchangeFailure::Refused))
      checkCrash(Key, Ran);
    endAttempt(true);
    Tried.insert(Key);
    if (!Ran) {
      if (Kind != ExchangeFailure::Refused &&
          Kind != ExchangeFailure::NotAllowed)
        noteUnreached(shared().Book, Key, now());
      avoidAndSlow(shared().Book, Key, AvoidReason::Unreachable,
                   Owner.Settings.UnreachableAvoidance, now());
      if (!retry("unreachable"))
        giveUp(ResultCode::NoUpstream, "unreachable");
      return;
    }
    noteUpstreamFailed(shared().Book, Key, PaceCause::Failed, now());
    MayHaveRun = true;
    ReachedUpstream = true;
    ++Runs;
    // This side has closed the connection of an unusable answer, so that is no
    // sign of a crash.
    if (Kind == ExchangeFailure::Broken)
      noteBroken(Key);
    retryBroken("broken");
  }

  void noteBroken(const UpstreamKey &Key) {
    std::uint64_t Ended = upstreamHash(Key, CurrentLife.BornMilliseconds);
    noteOwnBreakOff(shared().Crashes, {Fingerprint, Ended, now(), Resent});
    if (shared().OnBreakOff)
      shared().OnBreakOff(Fingerprint);
  }

  // Has the owner find out whether the engine Key has crashed. Ran: this
  // request may have run there.
  void checkCrash(const UpstreamKey &Key, bool Ran) {
    auto Found = shared().Book.Upstreams.find(Key);
    // An engine that is leaving may end while requests are in progress.
    if (Found == shared().Book.Upstreams.end() ||
        isLeaving(shared().Book.Notices, CurrentLife))
      return;
    bool Survived =
        AttemptBegunAt &&
        now() - *AttemptBegunAt >= shared().Suspects.Settings.SurvivalTime;
    bool Suspect = Ran && !Survived && !Facts.SharedParts.empty();
    if (Suspect)
      SuspectedOf = CurrentLife;
    Owner.checkCrash(Found->second.Info, CurrentLife,
                     Suspect ? Facts.SharedParts : std::vector<PromptPart>());
  }

  void retryBroken(std::string_view Why) {
    if (isRepeatable(*MatchedRoute) && mayTryAgain() &&
        mayRun(shared().Crashes, Fingerprint, now()) && retry(Why))
      return;
    giveUp(ResultCode::UpstreamLost, Why);
  }

  bool mayTryAgain() const {
    return !CallerDisconnected && Runs < MatchedRoute->MaxAttempts &&
           Deadline - now() > MinTimeToSend;
  }

  // Sends the request to another upstream, now or after waiting for a place, or
  // refuses it if all upstreams have asked for a pause. Returns false if the
  // caller has disconnected or the retry limit is reached; the request must
  // then be ended.
  bool retry(std::string_view Why) {
    if (CallerDisconnected)
      return false;
    dropPartial(Splitter);
    shared().Metrics.count("retries", "reason", Why);
    RetriesExhausted = false;
    if (refuseIfBlamed() || trySend())
      return true;
    if (RetriesExhausted)
      return false;
    if (refuseIfHopeless(Owner.Waiting))
      return true;
    beginWaiting();
    return true;
  }

  void checkWait(TimePoint Now) {
    Duration Limit =
        maxWait(Owner.Settings.Wait, Last.Reason, Deadline - WaitStart);
    if (Shape->Engine && !hasBegun() &&
        missedObjectiveWhileWaiting(Last.Reason, WaitStart, startBy(), Now))
      return giveUp(ResultCode::Overloaded, "late");
    if (Now - WaitStart < Limit)
      return;
    giveUp(Last.Reason == PlacementFailure::Absent ? ResultCode::NoUpstream
                                                   : ResultCode::Overloaded,
           Last.Reason == PlacementFailure::Absent ? "no_upstream"
                                                   : "overloaded");
  }

  void checkProgress(TimePoint Now) {
    if (!CurrentUpstream || CallerDisconnected)
      return;
    Duration Silence = Now - LastProgressAt;
    // An engine reads a prompt only after those that arrived before it, so the
    // first event may take longer.
    Duration FirstEventWait =
        AwaitsFirst ? ExpectedFirst * 3 : Duration::zero();
    Duration StallLimit = std::max(Owner.Settings.StallLimit, FirstEventWait);
    if (Silence < StallLimit || !isRepeatable(*MatchedRoute))
      return;
    auto Found = shared().Book.Upstreams.find(*CurrentUpstream);
    bool Stalled =
        Shape->Engine && (Found == shared().Book.Upstreams.end() ||
                          (Now - Found->second.LastProgress > StallLimit &&
                           !reportedProgressing(Found->second.PeerLoad)));
    if (Stalled && Found != shared().Book.Upstreams.end() &&
        Found->second.Avoid != AvoidReason::Stalled) {
      spdlog::warn("event=upstream_stalled upstream={} epoch={} silent_ms={}",
                   CurrentUpstream->Instance.str(), CurrentUpstream->Epoch,
                   toMilliseconds(Silence));
      shared().Metrics.count("upstream_changes", "to", "stalled");
      noteUnreached(shared().Book, *CurrentUpstream, Now);
      avoidAndSlow(shared().Book, *CurrentUpstream, AvoidReason::Stalled,
                   Owner.Settings.StallAvoidance, Now);
    }
    if (!Stalled &&
        Silence < std::max(Owner.Settings.RequestSilenceLimit, FirstEventWait))
      return;
    moveToOtherUpstream(Stalled ? "stalled" : "silent");
  }

  // Moves the request away from a silent upstream, if another one may take it
  // now and the retry limit allows it.
  void moveToOtherUpstream(std::string_view Why) {
    if (Runs + 1 >= MatchedRoute->MaxAttempts)
      return;
    PlacementQuery Query = query();
    Query.Tried.insert(*CurrentUpstream);
    if (!place(shared().Book, Query, now()).Chosen)
      return;
    if (!takeRetry(shared().Retries, Shape->Id, now()))
      return;
    returnRetry(shared().Retries, Shape->Id);
    spdlog::info("event=moved request={} from={} reason={} silent_ms={}",
                 Facts.Id, CurrentUpstream->Instance.str(), Why,
                 toMilliseconds(now() - LastProgressAt));
    Tried.insert(*CurrentUpstream);
    noteAttemptResult(false, true);
    stopAttempt(true);
    ReachedUpstream = MayHaveRun = true;
    ++Runs;
    if (!retry(Why))
      giveUp(ResultCode::UpstreamLost, Why);
  }

  void deadlinePassed() {
    if (!Config) {
      refuse(ResultCode::NoUpstream, "no_configuration",
             NoConfigurationRetryDelay);
      return;
    }
    if (State == FlowState::Waiting)
      return giveUp(ResultCode::Overloaded, "deadline_waiting");
    bool Sent = Attempt != nullptr;
    stopAttempt(true);
    MayHaveRun = MayHaveRun || Sent;
    giveUp(ResultCode::DeadlineExceeded, "deadline");
  }

  void stopAttempt(bool Failed) {
    if (Attempt)
      std::exchange(Attempt, nullptr)->cancel();
    endAttempt(Failed);
  }

  void endAttempt(bool Failed) {
    if (!CurrentUpstream)
      return;
    noteFirstEventOrEnd();
    noteEnded(shared().Book, *CurrentUpstream, Failed);
    CurrentUpstream.reset();
    moveTo(Owner.Shares, Claim, ClaimPhase::None);
  }

  // Ends the request with an answer of this entry, of status 503. Why is the
  // outcome in the log and the metrics. Returns false, as admit does.
  bool refuse(ResultCode Code, std::string_view Why,
              std::optional<Duration> Retry) {
    return refuse(503, Code, Why, Retry);
  }

  bool refuse(int Status, ResultCode Code, std::string_view Why,
              std::optional<Duration> Retry) {
    if (!CallerDisconnected)
      Caller->reply(shared().Wire.BuildAnswer(Status, Facts.Id, Retry));
    finish(Why, Code);
    return false;
  }

  // Ends the request without an upstream's answer: aborts a stream that has
  // begun, and else answers with 502 or 504 if an upstream may have run the
  // request, or with 503 and a time to retry after.
  void giveUp(ResultCode Code, std::string_view Why) {
    if (HeadForwarded)
      return abortStream(Why);
    if (MayHaveRun) {
      refuse(Code == ResultCode::DeadlineExceeded ? 504 : 502, Code, Why, {});
      return;
    }
    Duration Left = Last.RetryAt - shared().Timers.nowWithSuspension();
    refuse(503, Code, Why, retryAfter(Last.Reason, Deadline - now(), Left));
  }

  // Ends a stream that has begun so that it does not look complete.
  void abortStream(std::string_view Why) {
    if (!CallerDisconnected)
      Caller->abort();
    finish(Why, ResultCode::StreamBroken);
  }

  void finish(std::string_view Outcome, ResultCode Code) {
    shared().Metrics.count("requests", "result", Outcome);
    shared().Metrics.observe("answer", now() - Caller->ReceivedAt);
    ShareLimit Limit = noteOutcome(Owner.Shares, Claim, Outcome == "served",
                                   now(), shared().Metrics);
    countByPrompt(shared().Metrics, Facts, Outcome == "served");
    spdlog::log(
        Code == ResultCode::Ok ? spdlog::level::info : spdlog::level::warn,
        "event=finished request={} organisation={} rank={} outcome={} "
        "limit={} sent_ms={} first_ms={} expected_ms={} after_ms={} "
        "code={} attempts={} runs={} prompt={} output={} body={} held={}",
        Facts.Id, Claim.Key.Organisation.str(), Claim.Key.Rank, Outcome,
        toString(Limit), sinceReceived(AttemptStart), sinceReceived(FirstAt),
        toMilliseconds(ExpectedFirst), ageMs(), static_cast<int>(Code),
        Attempts, Runs, Facts.PromptTokens, Facts.OutputTokens,
        Caller->Request.Body.size(), toString(Last.Holds));
    endRequest();
  }

  void endRequest() {
    stopAttempt(false);
    moveTo(Owner.Shares, Claim, ClaimPhase::None);
    Held.clear();
    State = FlowState::Done;
    Owner.remove(shared_from_this());
  }

  RequestFlows &Owner;
  std::shared_ptr<CallerRequest> Caller;
  std::uint64_t Number;
  std::shared_ptr<const Configuration> Config;
  const Route *MatchedRoute = nullptr;
  const ServiceShape *Shape = nullptr;
  const Organisation *OwningOrganisation = nullptr;
  RequestFacts Facts;
  FlowState State = FlowState::Waiting;
  TimePoint Deadline{};
  TimePoint ObjectiveStart{}; // the caller's first attempt, by its time left
  TimePoint WaitStart{};
  TimePoint AttemptStart{};
  TimePoint LastProgressAt{}; // of this attempt
  TimePoint LastEventAt{};
  TimePoint FirstAt{};      // first event, or end, of any attempt
  Duration ExpectedFirst{}; // from sending to the first event
  std::uint64_t Fingerprint = 0;
  std::optional<UpstreamKey> CurrentUpstream; // of the attempt in progress
  InstanceLife CurrentLife;                   // of CurrentUpstream's instance
  std::shared_ptr<Exchange> Attempt;          // null: none in progress
  std::set<UpstreamKey> Tried;
  int Attempts = 0;
  int Runs = 0; // ended attempts that may have run, without a usable answer
  bool ReachedUpstream = false; // an attempt has reached an upstream
  bool MayHaveRun = false;
  bool Resent = false; // this attempt began after a break-off of the request
  bool HeadSeen = false;
  bool AwaitsFirst = false;   // this attempt has received no event yet
  bool HeadForwarded = false; // to the caller; its stream has begun
  int AttemptEvents = 0;      // reads of this attempt that completed events
  std::optional<TimePoint> AttemptBegunAt; // its first event was received
  std::optional<InstanceLife> SuspectedOf; // crash of the last attempt's engine
  bool ProvedSound = false;   // this attempt has shown its parts to be sound
  bool Trial = false;         // sent, or to be sent, although a part is blamed
  bool ResumesStream = false; // this attempt continues a stream
  bool ForwardedEvents = false;  // this attempt has completed an event
  bool RetriesExhausted = false; // the retry limit denied the last retry
  bool CallerDisconnected = false;
  Placement Last; // result of the last search for an upstream
  HttpResponse Collected;
  AnswerFacts CollectedFacts;
  EventSplitter Splitter;
  HeldBytes Held; // of Collected and Splitter
  CountedClaim Claim;
  TimerSubscription EndHeld;
};

RequestFlows::RequestFlows(FlowShared Shared, FlowSettings Settings)
    : Shared(std::move(Shared)), Settings(std::move(Settings)),
      StartedAt(this->Shared.Timers.now()), Random(std::random_device{}()) {
  Shares.Settings = this->Settings.Shares;
  Sweep = this->Shared.Timers.every(SweepPeriod, [this] { sweep(); });
}

RequestFlows::~RequestFlows() {
  for (const std::shared_ptr<RequestFlow> &Flow : Flows)
    Flow->discard();
}

double RequestFlows::randomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

void RequestFlows::setConfiguration(
    std::shared_ptr<const Configuration> Changed) {
  Config = std::move(Changed);
  Shares.Differing = servicesWithPriorities(*Config);
  for (const std::shared_ptr<RequestFlow> &Flow :
       std::exchange(Unconfigured, {})) {
    if (Flow->state() != FlowState::Done)
      begin(Flow);
  }
}

void RequestFlows::accept(std::shared_ptr<CallerRequest> Request) {
  auto Flow = std::make_shared<RequestFlow>(*this, Request, NextNumber++);
  Flows.insert(Flow);
  Request->OnDisconnect = [Weak = std::weak_ptr<RequestFlow>(Flow)] {
    if (std::shared_ptr<RequestFlow> Self = Weak.lock())
      Self->callerDisconnected();
  };
  if (Config)
    return begin(Flow);
  Unconfigured.push_back(Flow);
  Flow->awaitConfiguration();
}

void RequestFlows::begin(const std::shared_ptr<RequestFlow> &Flow) {
  if (!Flow->admit())
    return;
  if (Flow->trySend() || Flow->refuseIfHopeless(Waiting))
    return;
  Flow->beginWaiting();
  refuseExcess(*Flow);
}

void RequestFlows::refuseExcess(const RequestFlow &Newest) {
  RequestQueue Queue;
  std::vector<WaitingRequest> Ranked;
  for (const std::shared_ptr<RequestFlow> &Flow : Waiting) {
    if (Flow->state() != FlowState::Waiting || !Flow->sharesPlaces(Newest))
      continue;
    Queue.push_back(Flow);
    Ranked.push_back(Flow->waitingRequest());
  }
  TimePoint Now = Shared.Timers.now();
  if (Queue.size() <= maxQueueLength(Settings.Wait, Newest.sendRate(), Now))
    return;
  if (std::optional<std::size_t> Last = firstToRefuse(Ranked, Now))
    Queue[*Last]->refuseWaiting();
}

void RequestFlows::dispatchWaiting() {
  if (Dispatching || Waiting.empty())
    return;
  Dispatching = true;
  RequestQueue Unsent = std::exchange(Waiting, {});
  std::erase_if(Unsent, [](const std::shared_ptr<RequestFlow> &Flow) {
    return Flow->state() != FlowState::Waiting;
  });
  TimePoint Now = Shared.Timers.now();
  RequestQueue StillWaiting;
  while (!Unsent.empty()) {
    std::vector<WaitingRequest> Ranked;
    Ranked.reserve(Unsent.size());
    for (const std::shared_ptr<RequestFlow> &Flow : Unsent)
      Ranked.push_back(Flow->waitingRequest());
    std::size_t Index = nextToServe(Ranked, Now);
    std::shared_ptr<RequestFlow> Next = Unsent[Index];
    Unsent.erase(Unsent.begin() + static_cast<std::ptrdiff_t>(Index));
    if (!Next->refuseIfBlamed() && !Next->trySend() &&
        !Next->refuseIfHopeless(StillWaiting))
      StillWaiting.push_back(Next);
  }
  Waiting.insert(Waiting.end(), StillWaiting.begin(), StillWaiting.end());
  Dispatching = false;
}

void RequestFlows::endAll() {
  RequestQueue Open(Flows.begin(), Flows.end());
  Waiting.clear(); // or a place that becomes free would be given to one of them
  for (const std::shared_ptr<RequestFlow> &Flow : Open)
    Flow->endAtStop();
}

void RequestFlows::sweep() {
  RequestQueue Open(Flows.begin(), Flows.end());
  for (const std::shared_ptr<RequestFlow> &Flow : Open)
    Flow->checkTimeouts();
  dispatchWaiting();
}

void RequestFlows::remove(const std::shared_ptr<RequestFlow> &Flow) {
  Flows.erase(Flow);
  std::erase(Waiting, Flow);
  std::erase(Unconfigured, Flow);
  dispatchWaiting();
}

} // namespace samphirehill::serving
