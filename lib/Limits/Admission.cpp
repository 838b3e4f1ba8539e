#include "samphirehill/Limits/Admission.h"

#include <algorithm>
#include <cmath>

namespace samphirehill {
namespace {

std::size_t indexOf(Priority Class) { return static_cast<std::size_t>(Class); }

std::int64_t costOf(const AdmissionRequest &Request) {
  return std::max<std::int64_t>(1, Request.CostTokens);
}

// Rounds up to full seconds, at least one, for Retry-After.
Duration wholeSeconds(Duration Value) {
  auto Rounded = std::chrono::ceil<std::chrono::seconds>(Value);
  return std::max<Duration>(seconds(1), Rounded);
}

// Returns the latest start with which Request meets its deadline.
TimePoint latestStart(const AdmissionRequest &Request) {
  return Request.Deadline - Request.EstimatedRun;
}

// Returns the time to serve Tokens at the current rate, or zero if the rate is
// unknown.
Duration timeToServe(const AdmissionQueue &Queue, double Tokens) {
  if (Queue.TokensPerSecond <= 0)
    return Duration{};
  constexpr double MaxSeconds = 86400; // keeps the conversion within range
  double Seconds = std::min(MaxSeconds, Tokens / Queue.TokensPerSecond);
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

// Removes organisations without waiting requests whose next request would get
// the same virtual start if they were new.
void removeIdle(ClassQueue &Class, std::int64_t SavedTokens) {
  std::erase_if(Class.Organisations, [&](const auto &Item) {
    return Item.second.Waiting.empty() &&
           Item.second.Finish <= Class.VirtualTime - SavedTokens;
  });
}

// Removes the request at Place from its organisation's queue and all indexes.
AdmissionRequest removeAt(AdmissionQueue &Queue, ClassQueue &Class,
                          OrganisationQueue &Organisation,
                          std::list<AdmissionRequest>::iterator Place) {
  AdmissionRequest Request = *Place;
  Organisation.Waiting.erase(Place);
  Organisation.QueuedTokens -= costOf(Request);
  Class.QueuedTokens -= costOf(Request);
  if (Organisation.Waiting.empty())
    Class.Order.erase({Organisation.Start, Request.Organisation});
  Queue.Locations.erase(Request.Request);
  Queue.LatestStarts.erase({latestStart(Request), Request.Request});
  return Request;
}

std::optional<AdmissionRequest> removeRequest(AdmissionQueue &Queue,
                                              const RequestId &Request) {
  auto Found = Queue.Locations.find(Request);
  if (Found == Queue.Locations.end())
    return std::nullopt;
  ClassQueue &Class = Queue.Classes[indexOf(Found->second.first)];
  OrganisationQueue &Organisation = Class.Organisations[Found->second.second];
  auto Place = std::find_if(
      Organisation.Waiting.begin(), Organisation.Waiting.end(),
      [&Request](const auto &Queued) { return Queued.Request == Request; });
  return removeAt(Queue, Class, Organisation, Place);
}

// Removes and refuses one request of the organisation with most queued tokens:
// the newest of its lowest class.
AdmissionRefusal makeRoom(AdmissionQueue &Queue) {
  std::map<OrganisationId, std::int64_t> Tokens;
  for (const ClassQueue &Class : Queue.Classes)
    for (const auto &[Organisation, Waiting] : Class.Organisations)
      Tokens[Organisation] += Waiting.QueuedTokens;
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
        wholeSeconds(timeToServe(Queue, static_cast<double>(Largest->second)));
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
  Queue.Locations[Request.Request] = {Request.Class, Key};
  Queue.LatestStarts.insert({latestStart(Request), Request.Request});
}

// Returns the class to dispatch from: the highest with waiting requests, unless
// a lower one was skipped so often that its minimum share is due.
std::optional<std::size_t> chooseClass(const AdmissionQueue &Queue) {
  auto HasWaiting = [&Queue](Priority Class) {
    return !Queue.Classes[indexOf(Class)].Order.empty();
  };
  auto IsDue = [&Queue, &HasWaiting](Priority Class, int Every) {
    return HasWaiting(Class) &&
           Queue.Classes[indexOf(Class)].Skipped >= Every - 1;
  };
  if (IsDue(Priority::Low, Queue.Settings.LowEvery) &&
      !Queue.Settings.Faults.StarveLow)
    return indexOf(Priority::Low);
  if (IsDue(Priority::Normal, Queue.Settings.NormalEvery))
    return indexOf(Priority::Normal);
  for (Priority Class : {Priority::High, Priority::Normal, Priority::Low})
    if (HasWaiting(Class))
      return indexOf(Class);
  return std::nullopt;
}

// Counts a skip for each class with waiting requests but Chosen, and resets the
// other counts.
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
    removeIdle(Class, Queue.Settings.SavedTokens);
  } else {
    Organisation.Start = Organisation.Finish;
    Class.Order.insert({Organisation.Start, Key});
  }
  return Next;
}

std::vector<AdmissionRefusal> refuseOverdue(AdmissionQueue &Queue,
                                            TimePoint Now) {
  std::vector<AdmissionRefusal> Refusals;
  while (!Queue.LatestStarts.empty() &&
         Queue.LatestStarts.begin()->first < Now) {
    RequestId Request = Queue.LatestStarts.begin()->second;
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
  // The rate of a window without a backlog is the demand, which is only a lower
  // bound on the rate of service.
  bool UpdatesRate = Queue.WindowBacklogged || Rate > Queue.TokensPerSecond;
  if (UpdatesRate)
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
  // With fair sharing, each other organisation is served at most as many tokens
  // before this request as this organisation, the request included.
  double Ahead = static_cast<double>(OwnTokens);
  for (const auto &[Key, Organisation] : Class.Organisations)
    if (Key != Request.Organisation)
      Ahead += static_cast<double>(
          std::min(Organisation.QueuedTokens, OwnTokens + costOf(Request)));
  double Higher = 0;
  for (std::size_t Index = 0; Index < indexOf(Request.Class); ++Index)
    Higher += static_cast<double>(Queue.Classes[Index].QueuedTokens);
  // The minimum share of the class bounds how long higher classes can delay it.
  double Share = 1;
  if (Request.Class == Priority::Normal)
    Share = 1.0 / Queue.Settings.NormalEvery;
  else if (Request.Class == Priority::Low)
    Share = 1.0 / Queue.Settings.LowEvery;
  double Tokens = std::min(Ahead + Higher, Ahead / Share);
  return timeToServe(Queue, Tokens);
}

std::size_t queuedRequests(const AdmissionQueue &Queue) {
  return Queue.Locations.size();
}

} // namespace samphirehill
