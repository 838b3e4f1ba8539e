#include "samphirehill/Daemon/Dispatcher.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace samphirehill {
namespace {

// A waiting request asks this many upstreams for a credit, so that one whose
// limit is reached does not hold it up.
constexpr std::size_t AskedUpstreams = 2;
// Choices of the router that are tried before any upstream with a credit.
constexpr std::size_t TriedFirst = 2;
// After this time without a credit a request asks other upstreams.
constexpr Duration AskAgain = milliseconds(100);
constexpr Duration TickPeriod = milliseconds(25);
// A group whose member was replaced by a spare serves again within this time.
constexpr Duration NoUpstreamWait = seconds(2);
constexpr Duration NoUpstreamRetry = seconds(2);

DispatchRefusal noUpstream(const ServiceId &Of) {
  return {Error{ResultCode::NoUpstream,
                "no upstream of service \"" + Of.str() + "\" serves now"},
          NoUpstreamRetry};
}

} // namespace

Dispatcher::Dispatcher(Runtime &Shared, CreditController &Credits,
                       UpstreamDirectory &Directory)
    : Shared(Shared), Credits(Credits), Directory(Directory) {
  Credits.Available.connect([this](const UpstreamId &Name) {
    syncCredits(Name);
    if (const DirectoryEntry *Found = this->Directory.find(Name))
      pump(Found->Status.Info.Service);
  });
  Tick = Shared.Timers.every(TickPeriod, [this] { tick(); });
}

void Dispatcher::submit(DispatchRequest Added,
                        std::function<void(DispatchResult)> Done) {
  const RequestId Request = Added.Admission.Request;
  const ServiceId Of = Added.Query.Of;
  ServiceQueue &Line = Queues[Of];
  Waiting Entry{std::move(Added), std::move(Done), {}, {}, Shared.Timers.now()};
  std::vector<AdmissionRefusal> Refusals =
      admit(Line.Queue, Entry.Asked.Admission, Shared.Timers.now());
  ByRequest.emplace(Request, std::move(Entry));
  refuse(Refusals, Of);
  pump(Of);
  // Asks for credits only if none were at hand, which spares the messages.
  auto Found = ByRequest.find(Request);
  if (Found != ByRequest.end())
    ask(Found->second);
}

void Dispatcher::cancel(const RequestId &Request) {
  auto Found = ByRequest.find(Request);
  if (Found == ByRequest.end())
    return;
  ServiceQueue &Line = Queues[Found->second.Asked.Query.Of];
  cancelWaiting(Line.Queue, Request);
  std::erase(Line.Turn, Request);
  withdraw(Found->second);
  ByRequest.erase(Found);
}

void Dispatcher::finish(const Grant &Ended, std::int64_t Tokens) {
  Directory.noteEnd(Ended.Upstream, Shared.Timers.now());
  if (Tokens > 0)
    recordServed(Queues[Ended.Of].Queue, Tokens, Shared.Timers.now());
  Credits.finish(Ended.Held);
  syncCredits(Ended.Upstream);
  asio::post(Shared.Context, [this, Of = Ended.Of] { pump(Of); });
}

void Dispatcher::pumpAll() {
  for (auto &[Of, Line] : Queues)
    pump(Of);
}

std::size_t Dispatcher::waiting() const { return ByRequest.size(); }

void Dispatcher::pump(const ServiceId &Of) {
  ServiceQueue &Line = Queues[Of];
  refuse(refuseOverdue(Line.Queue, Shared.Timers.now()), Of);
  refuseOverdueTurns(Line);
  std::vector<RequestId> Turn = std::exchange(Line.Turn, {});
  for (const RequestId &Request : Turn)
    if (!tryGrant(Request) && ByRequest.contains(Request))
      Line.Turn.push_back(Request);
  while (anyCredit(Of) && dispatchOne(Of, Line)) {
  }
}

bool Dispatcher::dispatchOne(const ServiceId &, ServiceQueue &Line) {
  std::optional<AdmissionRequest> Next = dispatchNext(Line.Queue);
  if (!Next)
    return false;
  if (!tryGrant(Next->Request))
    Line.Turn.push_back(Next->Request);
  return true;
}

bool Dispatcher::tryGrant(const RequestId &Request) {
  auto Found = ByRequest.find(Request);
  if (Found == ByRequest.end())
    return false;
  Waiting &Asking = Found->second;
  const DispatchRequest &Asked = Asking.Asked;
  if (Asked.NotBefore > Shared.Timers.now())
    return false;
  UpstreamQuery Query = Asked.Query;
  Query.Random = Shared.Generator();
  Query.Now = Shared.Timers.now();
  std::optional<Credit> Held = takeAny(Asked, Query);
  if (!Held)
    return false;
  const UpstreamStatus &Chosen = Directory.find(Held->Upstream)->Status;
  Directory.noteSend(Held->Upstream, Query.Now);
  syncCredits(Held->Upstream);
  end(Request, Grant{Held->Upstream, Chosen.Address, Chosen.Info.Service,
                     Chosen.Info.Version, *Held});
  return true;
}

std::optional<Credit> Dispatcher::takeAny(const DispatchRequest &Asked,
                                          const UpstreamQuery &Query) {
  for (const UpstreamId &Name : Directory.chooseSeveral(Query, TriedFirst)) {
    if (!Credits.hasIdle(Name, Asked.Suspect))
      continue;
    if (std::optional<Credit> Held = Credits.take(Name, Asked.Suspect))
      return Held;
  }
  for (const UpstreamId &Name : Directory.serving(Query.Of)) {
    const UpstreamStatus &Status = Directory.find(Name)->Status;
    bool HasAdapter = Query.Adapter.empty() ||
                      std::ranges::find(Status.Info.Adapters, Query.Adapter) !=
                          Status.Info.Adapters.end();
    if (Query.Excluded.contains(Name) || !HasAdapter ||
        Status.Info.Version != Query.Version ||
        !Credits.hasIdle(Name, Asked.Suspect))
      continue;
    if (std::optional<Credit> Held = Credits.take(Name, Asked.Suspect))
      return Held;
  }
  return std::nullopt;
}

void Dispatcher::syncCredits(const UpstreamId &Name) {
  Directory.setCredits(Name, Credits.idle(Name));
}

bool Dispatcher::anyCredit(const ServiceId &Of) const {
  return std::ranges::any_of(
      Directory.serving(Of),
      [this](const UpstreamId &Name) { return Credits.idle(Name) > 0; });
}

void Dispatcher::refuse(const std::vector<AdmissionRefusal> &Refusals,
                        const ServiceId &Of) {
  for (const AdmissionRefusal &Refused : Refusals) {
    auto Found = ByRequest.find(Refused.Request);
    if (Found == ByRequest.end())
      continue;
    if (!Directory.any(Found->second.Asked.Query)) {
      end(Refused.Request, noUpstream(Of));
      continue;
    }
    std::string Message = Refused.Code == ResultCode::DeadlineTooShort
                              ? "the deadline is shorter than the request takes"
                              : "the wait would be longer than the deadline";
    end(Refused.Request,
        DispatchRefusal{Error{Refused.Code, Message}, Refused.RetryAfter});
  }
}

void Dispatcher::refuseOverdueTurns(ServiceQueue &Line) {
  TimePoint Now = Shared.Timers.now();
  std::vector<RequestId> Turn = Line.Turn;
  for (const RequestId &Request : Turn) {
    auto Found = ByRequest.find(Request);
    if (Found == ByRequest.end()) {
      std::erase(Line.Turn, Request);
      continue;
    }
    const AdmissionRequest &Asked = Found->second.Asked.Admission;
    if (Now + Asked.EstimatedRun <= Asked.Deadline)
      continue;
    std::erase(Line.Turn, Request);
    refuse({AdmissionRefusal{Request, ResultCode::Overloaded, seconds(1)}},
           Found->second.Asked.Query.Of);
  }
}

void Dispatcher::ask(Waiting &Asking) {
  UpstreamQuery Query = Asking.Asked.Query;
  Query.Random = Shared.Generator();
  Query.Now = Shared.Timers.now();
  std::vector<UpstreamId> Chosen =
      Directory.chooseSeveral(Query, AskedUpstreams);
  Asking.WantedSince = Shared.Timers.now();
  if (!Chosen.empty())
    Asking.LastCandidate = Asking.WantedSince;
  if (Chosen == Asking.Wanted)
    return;
  std::vector<UpstreamId> Before = std::exchange(Asking.Wanted, Chosen);
  for (const UpstreamId &Name : Chosen)
    changeWanted(Name, Asking.Asked.Suspect, 1);
  for (const UpstreamId &Name : Before)
    changeWanted(Name, Asking.Asked.Suspect, -1);
}

void Dispatcher::withdraw(Waiting &Asking) {
  for (const UpstreamId &Name : Asking.Wanted)
    changeWanted(Name, Asking.Asked.Suspect, -1);
  Asking.Wanted.clear();
}

void Dispatcher::changeWanted(const UpstreamId &Name, bool Suspect, int By) {
  CreditCount &Count = Wanted[Name];
  (Suspect ? Count.Suspect : Count.Normal) += By;
  Credits.want(Name, Count);
  if (Count.total() == 0)
    Wanted.erase(Name);
}

void Dispatcher::end(const RequestId &Request, DispatchResult Result) {
  auto Found = ByRequest.find(Request);
  withdraw(Found->second);
  auto Done = std::move(Found->second.Done);
  ByRequest.erase(Found);
  // Posted, so that no caller is entered from within its own submit().
  asio::post(Shared.Context,
             [Done = std::move(Done), Result = std::move(Result)]() mutable {
               Done(std::move(Result));
             });
}

void Dispatcher::tick() {
  TimePoint Now = Shared.Timers.now();
  std::vector<RequestId> Hopeless;
  for (auto &[Request, Asking] : ByRequest) {
    if (Asking.WantedSince + AskAgain <= Now)
      ask(Asking);
    if (Asking.LastCandidate + NoUpstreamWait <= Now)
      Hopeless.push_back(Request);
  }
  for (const RequestId &Request : Hopeless)
    refuseHopeless(Request);
  pumpAll();
}

void Dispatcher::refuseHopeless(const RequestId &Request) {
  const ServiceId Of = ByRequest.at(Request).Asked.Query.Of;
  ServiceQueue &Line = Queues[Of];
  cancelWaiting(Line.Queue, Request);
  std::erase(Line.Turn, Request);
  end(Request, noUpstream(Of));
}

} // namespace samphirehill
