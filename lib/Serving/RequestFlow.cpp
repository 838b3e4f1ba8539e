#include "samphirehill/Serving/RequestFlow.h"

#include "samphirehill/Core/Hash.h"
#include "samphirehill/Serving/EventSplitter.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {
namespace {

// Granularity of deadlines, stalls and waits.
constexpr Duration SweepPeriod = milliseconds(50);
// A request with less time left than this is not sent on.
constexpr Duration LeastTimeToSend = milliseconds(20);
// Answers that are collected before they are passed on.
constexpr std::size_t MaxCollectedBytes = 8'388'608;
constexpr int DefaultPriority = 5;
constexpr int LowestPriority = 9;
// A caller that is refused for a fault of its request, or of the moment before
// a configuration is known, may come back after this.
constexpr Duration NoConfigurationRetry = milliseconds(500);
constexpr Duration CrashingRetry = seconds(5);

const char *toString(NoPlace Reason) {
  switch (Reason) {
  case NoPlace::Absent:
    return "absent";
  case NoPlace::Full:
    return "full";
  case NoPlace::Quiet:
    return "quiet";
  }
  return "unknown";
}

// Whether an answer tells where it ends, other than by closing its connection.
bool hasLength(const HeaderList &Headers) {
  return findHeader(Headers, "content-length") != nullptr ||
         findHeader(Headers, "transfer-encoding") != nullptr;
}

// Whether the body of an answer may be a stream of events.
bool mayHoldEvents(const HttpResponse &Head) {
  const std::string *Type = findHeader(Head.Headers, "content-type");
  return Head.Status == 200 &&
         (!Type || Type->starts_with("text/event-stream"));
}

std::uint64_t upstreamHash(const UpstreamKey &Key) {
  return combineHashes(hashBytes(Key.Instance.str()),
                       static_cast<std::uint64_t>(Key.Epoch));
}

} // namespace

enum class FlowState { Waiting, Sent, Streaming, Done };

class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
public:
  RequestFlow(RequestFlows &Owner, std::shared_ptr<CallerRequest> Caller,
              std::uint64_t Number)
      : Owner(Owner), Caller(std::move(Caller)), Number(Number) {}

  // Runs the filters. Returns whether the request goes on to an upstream.
  bool admit() {
    const HttpRequest &Request = Caller->Request;
    Facts = shared().Wire.ReadRequest(Request);
    Config = Owner.Config;
    if (!Config)
      return refuse(ResultCode::NoUpstream, "no_configuration",
                    NoConfigurationRetry);
    const Route *Found = Config->Routes.find(Facts.Host, Request.Target);
    if (!Found)
      return refuse(404, ResultCode::UnknownService, "unknown_route", {});
    TheRoute = Found;
    if (!authenticate())
      return refuse(401, ResultCode::Unauthenticated, "unknown_key", {});
    TimePoint Received = Caller->ReceivedAt;
    Duration Allowed = Found->Timeout;
    if (Facts.TimeLeft)
      Allowed = std::min(Allowed, *Facts.TimeLeft);
    Deadline = Received + Allowed;
    AskedAt = Received -
              elapsedBeforeArrival(Owner.Patience[Found->Name], Allowed, now());
    const ServiceId *Service = pickService(*Found, Owner.draw());
    if (!Service || !Config->Services.contains(*Service))
      return refuse(ResultCode::NoUpstream, "no_service", NoConfigurationRetry);
    Shape = &Config->Services.at(*Service);
    Splitter.LastId = Facts.LastEventId;
    Fingerprint = requestFingerprint(Request.Target, Facts.Key, Request.Body);
    countRequest(shared().Retries, *Service, now());
    if (Shape->Engine)
      noteEvent(Owner.Asked[placeKind()], now());
    if (!mayRun(shared().Crashes, Fingerprint, now()))
      return refuse(503, ResultCode::CrashesUpstreams, "crashes_upstreams",
                    CrashingRetry);
    spdlog::info("event=admitted request={} route={} service={} model={} "
                 "config={} left_ms={}",
                 Facts.Id, Found->Name, Service->str(), Facts.Model,
                 Config->Version, toMilliseconds(Deadline - now()));
    return true;
  }

  // Sends the request to the best upstream, if one may take it now.
  bool trySend() {
    PlacementQuery Query = query();
    Placement Found = place(shared().Book, Query, now());
    LastReason = Found.Reason;
    QuietUntil = Found.QuietUntil;
    if (!Found.Chosen)
      return false;
    if (Arrived && !takeRetry(shared().Retries, Shape->Id, now())) {
      NoBudget = true;
      return false;
    }
    send(*Found.Chosen);
    return true;
  }

  WaitingRequest waiting() const {
    return {Number, priority(), startBy(), begun()};
  }

  // Whether Other waits for the same places.
  bool sharesPlaces(const RequestFlow &Other) const {
    return Shape->Id == Other.Shape->Id && model() == Other.model();
  }

  // Refuses the request while it waits: others will take the places that come.
  void refuseWaiting() { giveUp(ResultCode::Overloaded, "queue_full"); }

  // Returns how often places of its kind are given out.
  EventRate placeRate() const {
    auto Found = Owner.Places.find(placeKind());
    return Found == Owner.Places.end() ? EventRate{} : Found->second;
  }

  // Refuses the request at once if all that could serve it have asked for a
  // pause and nothing of it has run. Returns whether it did.
  bool refuseIfQuiet() {
    if (LastReason != NoPlace::Quiet || begun())
      return false;
    giveUp(ResultCode::Overloaded, "all_quiet");
    return true;
  }

  void beginWaiting() {
    State = FlowState::Waiting;
    WaitingSince = now();
    spdlog::info("event=queued request={} reason={} candidates_tried={}",
                 Facts.Id, toString(LastReason), Tried.size());
  }

  void check() {
    TimePoint Now = now();
    if (State == FlowState::Done)
      return;
    if (Now >= Deadline)
      return deadlinePassed();
    if (State == FlowState::Waiting)
      return checkWait(Now);
    checkProgress(Now);
  }

  void callerGone() {
    shared().Metrics.count("requests", "result", "caller_gone");
    spdlog::info("event=caller_gone request={} state={} after_ms={}", Facts.Id,
                 static_cast<int>(State), ageMs());
    Gone = true;
    if (Running && State == FlowState::Sent && !mayRepeat(*TheRoute))
      return; // it runs once, and to its end
    stopAttempt(false);
    done();
  }

  bool hasCaller() const { return !Gone; }
  FlowState state() const { return State; }

  void drop() {
    stopAttempt(false);
    State = FlowState::Done;
  }

private:
  FlowShared &shared() { return Owner.Shared; }
  const FlowShared &shared() const { return Owner.Shared; }
  TimePoint now() const { return Owner.Shared.Timers.now(); }
  std::int64_t ageMs() const { return sinceReceived(now()); }
  // Returns the time from the request's arrival to At in milliseconds, or -1
  // where At has not come.
  std::int64_t sinceReceived(TimePoint At) const {
    return At == TimePoint{} ? -1 : toMilliseconds(At - Caller->ReceivedAt);
  }

  bool authenticate() {
    if (TheRoute->Anonymous)
      return true;
    auto Found = Config->OrganisationByKey.find(Facts.Key);
    if (Found == Config->OrganisationByKey.end())
      return false;
    Owned = &Found->second;
    return true;
  }

  int priority() const {
    int Chosen = DefaultPriority;
    if (TheRoute)
      Chosen = TheRoute->Priority;
    if (Owned && Owned->Priority)
      Chosen = *Owned->Priority;
    return std::clamp(Chosen, 0, LowestPriority);
  }

  std::string model() const {
    return Shape->Engine ? Facts.Model : std::string();
  }

  // Whether an upstream has worked on it, or may have.
  bool begun() const { return MayHaveRun || HeadForwarded; }

  // Returns when it must be sent to meet its objective.
  TimePoint startBy() const {
    auto Usual = Owner.FirstEvents.find(placeKind());
    return AskedAt + maxStartDelay(Owner.Settings.Wait,
                                   Usual == Owner.FirstEvents.end()
                                       ? FirstEventTime{}
                                       : Usual->second,
                                   TheRoute->Objective);
  }

  PlaceKind placeKind() const { return {Shape->Id, model()}; }

  // Returns this entry's part of what callers ask of all.
  double demandPart() const {
    auto Own = Owner.Asked.find(placeKind());
    auto Elsewhere = shared().Book.DemandElsewhere.find(placeKind());
    if (Own == Owner.Asked.end() ||
        Elsewhere == shared().Book.DemandElsewhere.end())
      return 1.0;
    double Here = rateAt(Own->second, now());
    return Here / std::max(Here + Elsewhere->second, 1e-9);
  }

  PlacementQuery query() const {
    PlacementQuery Query;
    Query.Service = Shape->Id;
    Query.Model = model();
    Query.OwnZone = Owner.Settings.Zone;
    Query.Draw = Owner.draw();
    Query.NowWithSuspension = shared().Timers.nowWithSuspension();
    Query.ColdPerSecond = Shape->ColdPerSecond;
    Query.Tried = Tried;
    Query.ExtraSlots = Shape->Engine ? 0 : Owner.Settings.PlainServiceQueue;
    if (Shape->Engine) {
      Query.Engine = &*Shape->Engine;
      Query.PromptTokens = Facts.PromptTokens;
      Query.OutputTokens = Facts.OutputTokens;
      Query.TimeLeft = Deadline - now();
      Query.Objective = TheRoute->Objective;
      Query.DemandPart = demandPart();
      Query.Late = TheRoute->Objective > Duration::zero() && now() > startBy();
      Query.Begun = begun();
    }
    return Query;
  }

  void send(const UpstreamKey &Key) {
    const Upstream &Chosen = shared().Book.Upstreams.at(Key).Known;
    SendFacts Sent;
    Sent.TimeLeft = Deadline - now();
    Sent.Expected = Key.Instance;
    if (Owned)
      Sent.Organisation = Owned->Id;
    Sent.Priority = priority();
    Sent.LastEventId = Splitter.LastId;
    std::string Bytes = serialize(shared().Wire.Forward(Caller->Request, Sent));
    Running = Key;
    RunningLife = lifeOf(Chosen);
    State = FlowState::Sent;
    AttemptAt = HeardAt = now();
    ++Attempts;
    HeadSeen = false;
    Collected = {};
    AwaitsFirst = true;
    PlacementQuery Query = query();
    noteSent(shared().Book, Key, Query, AttemptAt);
    noteExpectedFirst(Key, Query);
    noteEvent(Owner.Places[placeKind()], AttemptAt);
    spdlog::info(
        "event=sent request={} attempt={} upstream={} epoch={} zone={} "
        "running={} elsewhere={} waited_ms={} left_ms={} resume={}",
        Facts.Id, Attempts, Key.Instance.str(), Key.Epoch, Chosen.Zone.str(),
        shared().Book.Upstreams.at(Key).Own.Running,
        shared().Book.Upstreams.at(Key).Elsewhere.Running, ageMs(),
        toMilliseconds(Sent.TimeLeft), Splitter.LastId ? *Splitter.LastId : -1);
    ExchangeOptions Options;
    Options.AnswerHasNoBody = Caller->Request.Method == "HEAD";
    if (!mayRepeat(*TheRoute))
      Options.MaxIdle = Owner.Settings.UnsafeMaxIdle;
    // A late copy of an earlier answer could not be told from this one's.
    if (Facts.Id.empty() || wasSentTo(Key.Instance))
      Options.MaxIdle = Duration::zero();
    Options.StillAllowed = [Flows = &Owner, Key] {
      const FlowShared &Shared = Flows->Shared;
      return maySend(Shared.Book, Key, Shared.Timers.nowWithSuspension());
    };
    Attempt = shared().Pool.start(Chosen.Address, std::move(Bytes), Options,
                                  handlers());
  }

  bool wasSentTo(const InstanceId &Instance) const {
    return std::any_of(
        Tried.begin(), Tried.end(),
        [&](const UpstreamKey &Each) { return Each.Instance == Instance; });
  }

  void noteExpectedFirst(const UpstreamKey &Key, const PlacementQuery &Query) {
    ExpectedFirst = Duration::zero();
    if (!Query.Engine)
      return;
    const UpstreamState &State = shared().Book.Upstreams.at(Key);
    UpstreamLoad Load = State.Own;
    Load += State.Elsewhere;
    // Its own prompt is counted in Load.
    ExpectedFirst = expectedFirstEvent(Load, 0, *Query.Engine,
                                       State.Known.Pace * State.Slowness);
  }

  ExchangeHandlers handlers() {
    std::weak_ptr<RequestFlow> Weak = weak_from_this();
    ExchangeHandlers Made;
    Made.OnHead = [Weak](const HttpResponse &Head) {
      std::shared_ptr<RequestFlow> Self = Weak.lock();
      return Self && Self->head(Head);
    };
    Made.OnBody = [Weak](std::string_view Part) {
      if (std::shared_ptr<RequestFlow> Self = Weak.lock())
        Self->body(Part);
    };
    Made.OnEnd = [Weak] {
      if (std::shared_ptr<RequestFlow> Self = Weak.lock())
        Self->answerComplete();
    };
    Made.OnFailure = [Weak](ExchangeFailure Kind, const std::string &Cause) {
      if (std::shared_ptr<RequestFlow> Self = Weak.lock())
        Self->attemptFailed(Kind, Cause);
    };
    return Made;
  }

  bool head(const HttpResponse &Head) {
    AnswerFacts Answer = shared().Wire.ReadAnswer(Head);
    if (shared().Heard)
      shared().Heard(RunningLife, Answer);
    bool Success = Head.Status >= 200 && Head.Status < 300;
    if (!isOwn(Answer, Success)) {
      spdlog::warn("event=stray_answer request={} upstream={} answer_to={}",
                   Facts.Id, Running->Instance.str(), Answer.Id);
      return false;
    }
    heard();
    HeadSeen = true;
    Collected = Head;
    CollectedFacts = Answer;
    EndsWithConnection = !hasLength(Head.Headers);
    removeHopByHop(Collected.Headers);
    if (Answer.Sealed && TheRoute->Kind == RequestKind::Stream &&
        mayHoldEvents(Head))
      beginStreaming();
    return true;
  }

  // Whether an answer is that to this request. A failure may name none; behind
  // other answers on its connection it may be a late copy of one of them.
  bool isOwn(const AnswerFacts &Answer, bool Success) const {
    if (!Answer.Id.empty())
      return Answer.Id == Facts.Id;
    return (!Success || Facts.Id.empty()) && !Attempt->reused();
  }

  void beginStreaming() {
    State = FlowState::Streaming;
    AddedEvents = false;
    Continues = HeadForwarded;
    if (HeadForwarded || Gone)
      return;
    HeadForwarded = true;
    shared().Metrics.observe("first_answer", now() - Caller->ReceivedAt);
    Caller->beginStream(Collected);
  }

  void heard() {
    HeardAt = now();
    noteProgress(shared().Book, *Running, HeardAt);
  }

  // Takes the first event's news, or the pause since the last one.
  void heardEvents() {
    TimePoint Now = now();
    if (AwaitsFirst) {
      noteFirstEvent(Owner.FirstEvents[placeKind()], Now - AttemptAt);
      firstEvent();
    } else if (Shape->Engine)
      noteGap(shared().Book, *Running, Now - EventAt, *Shape->Engine);
    EventAt = Now;
  }

  void firstEvent() {
    if (!AwaitsFirst || !Running)
      return;
    AwaitsFirst = false;
    if (FirstAt == TimePoint{})
      FirstAt = now();
    noteFirstEvent(shared().Book, *Running, Facts.PromptTokens);
  }

  void body(std::string_view Part) {
    if (State == FlowState::Streaming)
      return streamed(Part);
    heard();
    if (Collected.Body.size() + Part.size() > MaxCollectedBytes)
      return leave("answer without end");
    Collected.Body += Part;
  }

  // Ends an attempt whose answer is of no use: an upstream in trouble may send
  // bytes without end.
  void leave(const std::string &Cause) {
    if (Attempt)
      Attempt->cancel();
    attemptFailed(ExchangeFailure::Broken, Cause);
  }

  // Bytes that complete no event are no progress.
  void streamed(std::string_view Part) {
    std::string Whole = takeEvents(Splitter, Part);
    if (isEventTooLong(Splitter))
      return leave("event without end");
    if (!Whole.empty()) {
      AddedEvents = true;
      heard();
      heardEvents();
      if (!Gone)
        Caller->streamPart(Whole);
    }
    if (Splitter.Malformed)
      leave("bytes that are no event");
  }

  // Returns what ends the caller's stream after the last whole event. Fails if
  // the engine's answer, complete as it is, may not end the stream: it broke
  // off within an event, or an engine that was to send the rest has sent none.
  Result<std::string> endOfStream() {
    if (!Splitter.Partial.empty() && (Continues || EndsWithConnection))
      return fail(ResultCode::StreamBroken, "stream ended within an event");
    std::string Rest = takeRest(Splitter);
    if (Splitter.Malformed)
      return fail(ResultCode::StreamBroken, "bytes that are no event");
    // A caller that resumes may have all events already.
    bool MayBeEmpty = !Continues && Facts.LastEventId;
    if (!AddedEvents && Rest.empty() && !MayBeEmpty)
      return fail(ResultCode::StreamBroken, "stream without an event");
    return Rest;
  }

  void streamComplete() {
    Outcome<std::string> Rest = capture([&] { return endOfStream(); });
    if (const Error *Failed = errorOf(Rest))
      return attemptFailed(ExchangeFailure::Broken, Failed->Message);
    endAttempt(false);
    Caller->streamPart(std::get<0>(Rest));
    Caller->endStream();
    finish("served", ResultCode::Ok);
  }

  void answerComplete() {
    Attempt.reset();
    if (State == FlowState::Streaming)
      return streamComplete();
    bool Success = Collected.Status >= 200 && Collected.Status < 300;
    if (Success && !CollectedFacts.Sealed)
      return attemptFailed(ExchangeFailure::Broken, "answer without seal");
    if (Success && HeadForwarded)
      return attemptFailed(ExchangeFailure::Broken, "answer is no stream");
    if (CollectedFacts.NotRun)
      return refusedByUpstream();
    bool Failed = Collected.Status >= 500;
    UpstreamKey Key = *Running;
    endAttempt(Failed);
    if (Failed && mayRepeat(*TheRoute) && sendInstead(Key))
      return;
    if (HeadForwarded)
      return breakOff("upstream failed");
    Caller->reply(Collected);
    finish(Success ? "served" : "upstream_failed", ResultCode::Ok);
  }

  // Sends a request that Key answered with a failure to another upstream, if
  // one may take it now. If none may, the failure is the answer.
  bool sendInstead(const UpstreamKey &Key) {
    Arrived = MayHaveRun = true;
    ++Runs;
    Tried.insert(Key);
    if (!mayTryAgain())
      return false;
    HttpResponse Failure = Collected;
    bool Sent = trySend();
    if (!Sent)
      Collected = std::move(Failure);
    else
      shared().Metrics.count("retries", "reason", "failed");
    return Sent;
  }

  // The upstream says that it didn't run the request.
  void refusedByUpstream() {
    UpstreamKey Key = *Running;
    spdlog::info("event=refused_by_upstream request={} upstream={} status={}",
                 Facts.Id, Key.Instance.str(), Collected.Status);
    endAttempt(false);
    Arrived = true;
    avoid(shared().Book, Key, AvoidReason::Refusing,
          now() + Owner.Settings.RefusingAvoidance);
    Tried.insert(Key);
    if (!again("refused"))
      giveUp(ResultCode::UpstreamRefused, "upstream_refused");
  }

  void attemptFailed(ExchangeFailure Kind, const std::string &Cause) {
    Attempt.reset();
    UpstreamKey Key = *Running;
    bool Ran = Kind == ExchangeFailure::Broken;
    spdlog::warn("event=attempt_failed request={} attempt={} upstream={} "
                 "sent={} head={} cause=\"{}\" after_ms={}",
                 Facts.Id, Attempts, Key.Instance.str(), Ran, HeadSeen, Cause,
                 toMilliseconds(now() - AttemptAt));
    endAttempt(true);
    Tried.insert(Key);
    if (!Ran) {
      avoid(shared().Book, Key, AvoidReason::Unreachable,
            now() + Owner.Settings.UnreachableAvoidance);
      if (!again("unreachable"))
        giveUp(ResultCode::NoUpstream, "unreachable");
      return;
    }
    MayHaveRun = true;
    Arrived = true;
    ++Runs;
    noteOwnBreakOff(shared().Crashes, {Fingerprint, upstreamHash(Key), now()});
    retryBroken("broken");
  }

  void retryBroken(std::string_view Why) {
    if (mayRepeat(*TheRoute) && mayTryAgain() &&
        mayRun(shared().Crashes, Fingerprint, now()) && again(Why))
      return;
    giveUp(ResultCode::UpstreamLost, Why);
  }

  bool mayTryAgain() const {
    return !Gone && Runs < TheRoute->MaxAttempts &&
           Deadline - now() > LeastTimeToSend;
  }

  // Sends the request elsewhere, now or when there is a place. Returns whether
  // the request goes on.
  bool again(std::string_view Why) {
    if (Gone)
      return false;
    dropPartial(Splitter);
    shared().Metrics.count("retries", "reason", Why);
    NoBudget = false;
    if (trySend())
      return true;
    if (NoBudget)
      return false;
    if (refuseIfQuiet())
      return true;
    beginWaiting();
    Owner.Waiting.push_back(shared_from_this());
    return true;
  }

  void checkWait(TimePoint Now) {
    Duration Limit =
        maxWait(Owner.Settings.Wait, LastReason, Deadline - WaitingSince);
    if (Shape->Engine && !begun() &&
        missedObjectiveWhileWaiting(LastReason, WaitingSince, startBy(), Now))
      return giveUp(ResultCode::Overloaded, "late");
    if (Now - WaitingSince < Limit)
      return;
    giveUp(LastReason == NoPlace::Absent ? ResultCode::NoUpstream
                                         : ResultCode::Overloaded,
           LastReason == NoPlace::Absent ? "no_upstream" : "overloaded");
  }

  void checkProgress(TimePoint Now) {
    if (!Running || Gone)
      return;
    Duration Silence = Now - HeardAt;
    // A prompt is read behind those that came before it.
    Duration Patience = AwaitsFirst ? ExpectedFirst * 3 : Duration::zero();
    Duration StallLimit = std::max(Owner.Settings.StallLimit, Patience);
    if (Silence < StallLimit || !mayRepeat(*TheRoute))
      return;
    auto Found = shared().Book.Upstreams.find(*Running);
    bool Stalled =
        Shape->Engine && (Found == shared().Book.Upstreams.end() ||
                          (Now - Found->second.LastProgress > StallLimit &&
                           !seenMoving(Found->second.Elsewhere)));
    if (Stalled && Found != shared().Book.Upstreams.end() &&
        Found->second.Avoid != AvoidReason::Stalled) {
      spdlog::warn("event=upstream_stalled upstream={} epoch={} silent_ms={}",
                   Running->Instance.str(), Running->Epoch,
                   toMilliseconds(Silence));
      shared().Metrics.count("upstream_changes", "to", "stalled");
      avoid(shared().Book, *Running, AvoidReason::Stalled,
            Now + Owner.Settings.StallAvoidance);
    }
    if (!Stalled &&
        Silence < std::max(Owner.Settings.RequestSilenceLimit, Patience))
      return;
    moveElsewhere(Stalled ? "stalled" : "silent");
  }

  // Leaves an upstream that is silent, if another may take the request now.
  void moveElsewhere(std::string_view Why) {
    if (Runs + 1 >= TheRoute->MaxAttempts)
      return;
    PlacementQuery Query = query();
    Query.Tried.insert(*Running);
    if (!place(shared().Book, Query, now()).Chosen)
      return;
    if (!takeRetry(shared().Retries, Shape->Id, now()))
      return;
    returnRetry(shared().Retries, Shape->Id);
    spdlog::info("event=moved request={} from={} reason={} silent_ms={}",
                 Facts.Id, Running->Instance.str(), Why,
                 toMilliseconds(now() - HeardAt));
    Tried.insert(*Running);
    stopAttempt(true);
    Arrived = MayHaveRun = true;
    ++Runs;
    if (!again(Why))
      giveUp(ResultCode::UpstreamLost, Why);
  }

  void deadlinePassed() {
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
    if (!Running)
      return;
    firstEvent();
    noteEnded(shared().Book, *Running, Failed);
    Running.reset();
  }

  bool refuse(ResultCode Code, std::string_view Why,
              std::optional<Duration> Retry) {
    return refuse(503, Code, Why, Retry);
  }

  bool refuse(int Status, ResultCode Code, std::string_view Why,
              std::optional<Duration> Retry) {
    if (!Gone)
      Caller->reply(shared().Wire.BuildAnswer(Status, Facts.Id, Retry));
    finish(Why, Code);
    return false;
  }

  // Ends the request without an upstream's answer.
  void giveUp(ResultCode Code, std::string_view Why) {
    if (HeadForwarded)
      return breakOff(Why);
    if (MayHaveRun) {
      refuse(Code == ResultCode::DeadlineExceeded ? 504 : 502, Code, Why, {});
      return;
    }
    Duration QuietLeft = QuietUntil - shared().Timers.nowWithSuspension();
    refuse(503, Code, Why, retryAfter(LastReason, Deadline - now(), QuietLeft));
  }

  void breakOff(std::string_view Why) {
    if (!Gone)
      Caller->abort();
    finish(Why, ResultCode::StreamBroken);
  }

  void finish(std::string_view Outcome, ResultCode Code) {
    shared().Metrics.count("requests", "result", Outcome);
    shared().Metrics.observe("answer", now() - Caller->ReceivedAt);
    auto Level =
        Code == ResultCode::Ok ? spdlog::level::info : spdlog::level::warn;
    spdlog::log(Level,
                "event=finished request={} outcome={} sent_ms={} first_ms={} "
                "expected_ms={} after_ms={} code={} attempts={} runs={}",
                Facts.Id, Outcome, sinceReceived(AttemptAt),
                sinceReceived(FirstAt), toMilliseconds(ExpectedFirst), ageMs(),
                static_cast<int>(Code), Attempts, Runs);
    done();
  }

  void done() {
    stopAttempt(false);
    State = FlowState::Done;
    Owner.finished(shared_from_this());
  }

  RequestFlows &Owner;
  std::shared_ptr<CallerRequest> Caller;
  std::uint64_t Number;
  std::shared_ptr<const Configuration> Config;
  const Route *TheRoute = nullptr;
  const ServiceShape *Shape = nullptr;
  const Organisation *Owned = nullptr;
  RequestFacts Facts;
  FlowState State = FlowState::Waiting;
  TimePoint Deadline{};
  TimePoint AskedAt{}; // by the caller, as far as its time left tells
  TimePoint WaitingSince{};
  TimePoint AttemptAt{};
  TimePoint HeardAt{};
  TimePoint EventAt{};
  TimePoint FirstAt{};      // first event, or end, of any attempt
  Duration ExpectedFirst{}; // from sending to the first event
  std::uint64_t Fingerprint = 0;
  std::optional<UpstreamKey> Running;
  InstanceLife RunningLife;
  std::shared_ptr<Exchange> Attempt;
  std::set<UpstreamKey> Tried;
  int Attempts = 0;
  int Runs = 0;         // attempts that may have run and ended without answer
  bool Arrived = false; // at some upstream
  bool MayHaveRun = false;
  bool HeadSeen = false;
  bool AwaitsFirst = false; // no event of this attempt yet
  bool HeadForwarded = false;
  bool EndsWithConnection = false; // the answer of this attempt
  bool Continues = false;          // this attempt, a stream that had begun
  bool AddedEvents = false;        // this attempt
  bool NoBudget = false;
  bool Gone = false;
  NoPlace LastReason = NoPlace::Absent;
  TimePoint QuietUntil{}; // where LastReason is Quiet
  HttpResponse Collected;
  AnswerFacts CollectedFacts;
  EventSplitter Splitter;
};

RequestFlows::RequestFlows(FlowShared Shared, FlowSettings Settings)
    : Shared(std::move(Shared)), Settings(std::move(Settings)),
      Random(std::random_device{}()) {
  Sweep = this->Shared.Timers.every(SweepPeriod, [this] { sweep(); });
}

RequestFlows::~RequestFlows() {
  for (const std::shared_ptr<RequestFlow> &Each : Flows)
    Each->drop();
}

double RequestFlows::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

void RequestFlows::setConfiguration(
    std::shared_ptr<const Configuration> Changed) {
  Config = std::move(Changed);
}

std::map<PlaceKind, double> RequestFlows::requestRates() const {
  TimePoint Now = Shared.Timers.now();
  std::map<PlaceKind, double> Told;
  for (const auto &[Kind, Rate] : Asked)
    Told[Kind] = rateAt(Rate, Now);
  return Told;
}

void RequestFlows::accept(std::shared_ptr<CallerRequest> Request) {
  auto Flow = std::make_shared<RequestFlow>(*this, Request, NextNumber++);
  Flows.insert(Flow);
  Request->OnDisconnect = [Weak = std::weak_ptr<RequestFlow>(Flow)] {
    if (std::shared_ptr<RequestFlow> Left = Weak.lock())
      Left->callerGone();
  };
  if (!Flow->admit())
    return;
  if (Flow->trySend() || Flow->refuseIfQuiet())
    return;
  Flow->beginWaiting();
  Waiting.push_back(Flow);
  refuseExcess(*Flow);
}

void RequestFlows::refuseExcess(const RequestFlow &Newest) {
  std::vector<std::shared_ptr<RequestFlow>> Queue;
  std::vector<WaitingRequest> Ranked;
  for (const std::shared_ptr<RequestFlow> &Each : Waiting) {
    if (Each->state() != FlowState::Waiting || !Each->sharesPlaces(Newest))
      continue;
    Queue.push_back(Each);
    Ranked.push_back(Each->waiting());
  }
  TimePoint Now = Shared.Timers.now();
  if (Queue.size() <= maxQueueLength(Settings.Wait, Newest.placeRate(), Now))
    return;
  if (std::optional<std::size_t> Last = firstToRefuse(Ranked, Now))
    Queue[*Last]->refuseWaiting();
}

void RequestFlows::dispatchWaiting() {
  if (Dispatching || Waiting.empty())
    return;
  Dispatching = true;
  std::vector<std::shared_ptr<RequestFlow>> Left = std::exchange(Waiting, {});
  std::erase_if(Left, [](const std::shared_ptr<RequestFlow> &Each) {
    return Each->state() != FlowState::Waiting;
  });
  TimePoint Now = Shared.Timers.now();
  std::vector<std::shared_ptr<RequestFlow>> Still;
  while (!Left.empty()) {
    std::vector<WaitingRequest> Ranked;
    Ranked.reserve(Left.size());
    for (const std::shared_ptr<RequestFlow> &Each : Left)
      Ranked.push_back(Each->waiting());
    std::size_t Index = nextToServe(Ranked, Now);
    std::shared_ptr<RequestFlow> Next = Left[Index];
    Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Index));
    if (!Next->trySend() && !Next->refuseIfQuiet())
      Still.push_back(Next);
  }
  Waiting.insert(Waiting.end(), Still.begin(), Still.end());
  Dispatching = false;
}

void RequestFlows::sweep() {
  std::vector<std::shared_ptr<RequestFlow>> Open(Flows.begin(), Flows.end());
  for (const std::shared_ptr<RequestFlow> &Each : Open)
    Each->check();
  dispatchWaiting();
}

void RequestFlows::finished(const std::shared_ptr<RequestFlow> &Flow) {
  Flows.erase(Flow);
  std::erase(Waiting, Flow);
  dispatchWaiting();
}

} // namespace samphirehill::serving
