#include "samphirehill/Daemon/Dispatcher.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace samphirehill {
namespace {

// A waiting request asks this many upstreams for a credit, so that one whose
// limit is reached does not hold it up.
constexpr std::size_t AskedUpstreams = 2;
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
                       UpstreamTable &Table)
    : Shared(Shared), Credits(Credits), Table(Table) {
  Credits.Available.connect([this](const UpstreamId &Name) {
    auto Found = this->Table.ByName.find(Name);
    if (Found != this->Table.ByName.end())
      pump(Found->second.Of);
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
  auto Found = Table.ByName.find(Ended.Upstream);
  if (Found != Table.ByName.end())
    --Found->second.OwnRunning;
  if (Tokens > 0)
    recordServed(Queues[Ended.Of].Queue, Tokens, Shared.Timers.now());
  Credits.finish(Ended.Held);
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
  Query.Random = Shared.random();
  for (const UpstreamId &Name :
       chooseUpstreams(Table, Query, Table.ByName.size())) {
    if (!Credits.hasIdle(Name, Asked.Suspect))
      continue;
    std::optional<Credit> Held = Credits.take(Name, Asked.Suspect);
    if (!Held)
      continue;
    Upstream &Chosen = Table.ByName.at(Name);
    ++Chosen.OwnRunning;
    ++Chosen.OwnSinceReport;
    end(Request, Grant{Name, Chosen.Address, Chosen.Of, Chosen.Version, *Held});
    return true;
  }
  return false;
}

bool Dispatcher::anyCredit(const ServiceId &Of) const {
  for (const auto &[Name, Candidate] : Table.ByName)
    if (Candidate.Of == Of && Candidate.Serving && Credits.idle(Name) > 0)
      return true;
  return false;
}

void Dispatcher::refuse(const std::vector<AdmissionRefusal> &Refusals,
                        const ServiceId &Of) {
  for (const AdmissionRefusal &Refused : Refusals) {
    auto Found = ByRequest.find(Refused.Request);
    if (Found == ByRequest.end())
      continue;
    bool Any = !chooseUpstreams(Table, Found->second.Asked.Query, 1).empty();
    if (!Any) {
      end(Refused.Request,
          DispatchRefusal{
              Error{ResultCode::NoUpstream,
                    "no upstream of service \"" + Of.str() + "\" serves now"},
              NoUpstreamRetry});
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
  Query.Random = Shared.random();
  std::vector<UpstreamId> Chosen =
      chooseUpstreams(Table, Query, AskedUpstreams);
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
