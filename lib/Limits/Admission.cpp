#include "samphirehill/Limits/Admission.h"

#include <algorithm>
#include <cmath>

namespace samphirehill {
namespace {

std::size_t indexOf(Priority Class) { return static_cast<std::size_t>(Class); }

std::int64_t costOf(const AdmissionRequest &Request) {
  return std::max<std::int64_t>(1, Request.CostTokens);
}

Duration wholeSeconds(Duration Value) {
  auto Rounded = std::chrono::ceil<std::chrono::seconds>(Value);
  return std::max<Duration>(seconds(1), Rounded);
}

TimePoint latestStart(const AdmissionRequest &Request) {
  return Request.Deadline - Request.EstimatedRun;
}

Duration timeFor(const AdmissionQueue &Queue, double Tokens) {
  if (Queue.TokensPerSecond <= 0)
    return Duration{};
  constexpr double Longest = 86400; // s; keeps the conversion within range
  double Seconds = std::min(Longest, Tokens / Queue.TokensPerSecond);
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

// Forgets organisations that don't wait and that would start at the same place
// as a newcomer.
void forgetIdle(ClassQueue &Class, std::int64_t SavedTokens) {
  std::erase_if(Class.Organisations, [&](const auto &Entry) {
    return Entry.second.Waiting.empty() &&
           Entry.second.Finish <= Class.VirtualTime - SavedTokens;
  });
}

// Removes a request from its organisation's queue and the indexes.
AdmissionRequest removeAt(AdmissionQueue &Queue, ClassQueue &Class,
                          OrganisationQueue &Organisation,
                          std::list<AdmissionRequest>::iterator Place) {
  AdmissionRequest Request = *Place;
  Organisation.Waiting.erase(Place);
  Organisation.QueuedTokens -= costOf(Request);
  Class.QueuedTokens -= costOf(Request);
  if (Organisation.Waiting.empty())
    Class.Order.erase({Organisation.Start, Request.Organisation});
  Queue.Places.erase(Request.Request);
  Queue.Deadlines.erase({latestStart(Request), Request.Request});
  return Request;
}

std::optional<AdmissionRequest> removeRequest(AdmissionQueue &Queue,
                                              const RequestId &Request) {
  auto Found = Queue.Places.find(Request);
  if (Found == Queue.Places.end())
    return std::nullopt;
  ClassQueue &Class = Queue.Classes[indexOf(Found->second.first)];
  OrganisationQueue &Organisation = Class.Organisations[Found->second.second];
  auto Place = std::find_if(
      Organisation.Waiting.begin(), Organisation.Waiting.end(),
      [&Request](const auto &Each) { return Each.Request == Request; });
  return removeAt(Queue, Class, Organisation, Place);
}

// Refuses the newest request of the lowest class of the organisation with most
// queued tokens.
AdmissionRefusal makeRoom(AdmissionQueue &Queue) {
  std::map<OrganisationId, std::int64_t> Tokens;
  for (const ClassQueue &Class : Queue.Classes)
    for (const auto &[Organisation, Each] : Class.Organisations)
      Tokens[Organisation] += Each.QueuedTokens;
  auto Largest = std::max_element(Tokens.begin(), Tokens.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.second < Right.second;
                                  });
  AdmissionRefusal Refusal;
  for (std::size_t Index = PriorityCount; Index-- > 0;) {
    ClassQueue &Class = Queue.Classes[Index];
    auto Found = Class.Organisations.find(Largest->first);
    if (Found == Class.Organisations.end() || Found->second.Waiting.empty())
      continue;
    AdmissionRequest Removed = removeAt(Queue, Class, Found->second,
                                        std::prev(Found->second.Waiting.end()));
    Refusal.Request = Removed.Request;
    Refusal.RetryAfter =
        wholeSeconds(timeFor(Queue, static_cast<double>(Largest->second)));
    break;
  }
  return Refusal;
}

void enqueue(AdmissionQueue &Queue, const AdmissionRequest &Request) {
  ClassQueue &Class = Queue.Classes[indexOf(Request.Class)];
  OrganisationId Key = Queue.Settings.Faults.FirstComeFirstServed
                           ? OrganisationId()
                           : Request.Organisation;
  OrganisationQueue &Organisation = Class.Organisations[Key];
  if (Organisation.Waiting.empty()) {
    Organisation.Start = std::max(
        Class.VirtualTime - Queue.Settings.SavedTokens, Organisation.Finish);
    Class.Order.insert({Organisation.Start, Key});
  }
  Organisation.Waiting.push_back(Request);
  Organisation.Waiting.back().Organisation = Key;
  Organisation.QueuedTokens += costOf(Request);
  Class.QueuedTokens += costOf(Request);
  Queue.Places[Request.Request] = {Request.Class, Key};
  Queue.Deadlines.insert({latestStart(Request), Request.Request});
}

// Returns the class to dispatch from: the highest that waits, unless a lower
// one has been skipped for its full share.
std::optional<std::size_t> chooseClass(const AdmissionQueue &Queue) {
  auto Waits = [&Queue](Priority Class) {
    return !Queue.Classes[indexOf(Class)].Order.empty();
  };
  auto IsDue = [&Queue, &Waits](Priority Class, int Every) {
    return Waits(Class) && Queue.Classes[indexOf(Class)].Skipped >= Every - 1;
  };
  if (IsDue(Priority::Low, Queue.Settings.LowEvery) &&
      !Queue.Settings.Faults.StarveLow)
    return indexOf(Priority::Low);
  if (IsDue(Priority::Normal, Queue.Settings.NormalEvery))
    return indexOf(Priority::Normal);
  for (Priority Class : {Priority::High, Priority::Normal, Priority::Low})
    if (Waits(Class))
      return indexOf(Class);
  return std::nullopt;
}

void countSkips(AdmissionQueue &Queue, std::size_t Chosen) {
  for (std::size_t Index = 0; Index < PriorityCount; ++Index) {
    ClassQueue &Class = Queue.Classes[Index];
    Class.Skipped =
        Index == Chosen || Class.Order.empty() ? 0 : Class.Skipped + 1;
  }
}

} // namespace

std::vector<AdmissionRefusal>
admit(AdmissionQueue &Queue, const AdmissionRequest &Request, TimePoint Now) {
  if (latestStart(Request) < Now)
    return {{Request.Request, ResultCode::DeadlineTooShort, seconds(1)}};
  Duration Wait = estimatedWait(Queue, Request);
  Duration Excess = Wait - (latestStart(Request) - Now);
  if (Excess > Duration{})
    return {{Request.Request, ResultCode::Overloaded, wholeSeconds(Excess)}};
  enqueue(Queue, Request);
  if (queuedRequests(Queue) <= Queue.Settings.MaxQueued)
    return {};
  return {makeRoom(Queue)};
}

std::optional<AdmissionRequest> dispatchNext(AdmissionQueue &Queue) {
  std::optional<std::size_t> Chosen = chooseClass(Queue);
  if (!Chosen)
    return std::nullopt;
  countSkips(Queue, *Chosen);
  ClassQueue &Class = Queue.Classes[*Chosen];
  auto [Start, Key] = *Class.Order.begin();
  Class.Order.erase(Class.Order.begin());
  OrganisationQueue &Organisation = Class.Organisations[Key];
  AdmissionRequest Next =
      removeAt(Queue, Class, Organisation, Organisation.Waiting.begin());
  Class.VirtualTime = std::max(Class.VirtualTime, Start);
  Organisation.Finish = Start + costOf(Next);
  if (Organisation.Waiting.empty()) {
    forgetIdle(Class, Queue.Settings.SavedTokens);
  } else {
    Organisation.Start = Organisation.Finish;
    Class.Order.insert({Organisation.Start, Key});
  }
  return Next;
}

std::vector<AdmissionRefusal> refuseOverdue(AdmissionQueue &Queue,
                                            TimePoint Now) {
  std::vector<AdmissionRefusal> Refusals;
  while (!Queue.Deadlines.empty() && Queue.Deadlines.begin()->first < Now) {
    RequestId Request = Queue.Deadlines.begin()->second;
    std::optional<AdmissionRequest> Removed = removeRequest(Queue, Request);
    Duration Wait = Removed ? estimatedWait(Queue, *Removed) : Duration{};
    Refusals.push_back({Request, ResultCode::Overloaded, wholeSeconds(Wait)});
  }
  return Refusals;
}

bool cancelWaiting(AdmissionQueue &Queue, const RequestId &Request) {
  return removeRequest(Queue, Request).has_value();
}

void recordServed(AdmissionQueue &Queue, std::int64_t Tokens, TimePoint Now) {
  bool Backlogged = queuedRequests(Queue) > 0;
  if (Queue.WindowStart == TimePoint{}) {
    Queue.WindowStart = Now;
    Queue.WindowBacklogged = Backlogged;
  }
  Queue.WindowTokens += static_cast<double>(Tokens);
  Queue.WindowBacklogged = Queue.WindowBacklogged && Backlogged;
  Duration Passed = Now - Queue.WindowStart;
  if (Passed < Queue.Settings.RateWindow)
    return;
  double Rate = Queue.WindowTokens / toSeconds(Passed);
  // A window without a backlog shows the demand, which is only a lower bound on
  // what can be served.
  bool Informs = Queue.WindowBacklogged || Rate > Queue.TokensPerSecond;
  if (Informs)
    Queue.TokensPerSecond =
        Queue.TokensPerSecond <= 0
            ? Rate
            : Queue.TokensPerSecond +
                  (Rate - Queue.TokensPerSecond) * Queue.Settings.RateWeight;
  Queue.WindowTokens = 0;
  Queue.WindowStart = Now;
  Queue.WindowBacklogged = Backlogged;
}

Duration estimatedWait(const AdmissionQueue &Queue,
                       const AdmissionRequest &Request) {
  const ClassQueue &Class = Queue.Classes[indexOf(Request.Class)];
  auto Own = Class.Organisations.find(Request.Organisation);
  std::int64_t OwnTokens =
      Own == Class.Organisations.end() ? 0 : Own->second.QueuedTokens;
  // By fair sharing, each other organisation is served at most as much as this
  // one before the request's turn.
  double Ahead = static_cast<double>(OwnTokens);
  for (const auto &[Key, Organisation] : Class.Organisations)
    if (Key != Request.Organisation)
      Ahead += static_cast<double>(
          std::min(Organisation.QueuedTokens, OwnTokens + costOf(Request)));
  double Higher = 0;
  for (std::size_t Index = 0; Index < indexOf(Request.Class); ++Index)
    Higher += static_cast<double>(Queue.Classes[Index].QueuedTokens);
  // The class's own share bounds how much higher classes can delay it.
  double Share = 1;
  if (Request.Class == Priority::Normal)
    Share = 1.0 / Queue.Settings.NormalEvery;
  else if (Request.Class == Priority::Low)
    Share = 1.0 / Queue.Settings.LowEvery;
  double Tokens = std::min(Ahead + Higher, Ahead / Share);
  return timeFor(Queue, Tokens);
}

std::size_t queuedRequests(const AdmissionQueue &Queue) {
  return Queue.Places.size();
}

} // namespace samphirehill
