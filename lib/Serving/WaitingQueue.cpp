#include "samphirehill/Serving/WaitingQueue.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace samphirehill::serving {

std::map<ServiceModel, double>
requestRates(const std::map<ServiceModel, KindDemand> &Kinds, TimePoint Now) {
  std::map<ServiceModel, double> Rates;
  for (const auto &[Kind, Demand] : Kinds) {
    if (Demand.Arrivals.UpdatedAt != TimePoint{})
      Rates[Kind] = rateAt(Demand.Arrivals, Now);
  }
  return Rates;
}

const KindDemand &WaitingQueue::demand(const ServiceModel &Kind) const {
  static const KindDemand None;
  auto Found = Kinds.find(Kind);
  return Found == Kinds.end() ? None : Found->second;
}

bool WaitingQueue::noteArrival(const ServiceModel &Kind, bool Returned,
                               TimePoint Now) {
  KindDemand &Demand = Kinds[Kind];
  noteEvent(Demand.Arrivals, Now);
  if (!Returned)
    return false;
  noteEvent(Demand.Returned, Now);
  return hasReturnDue(returnsOfAll(Kind, Now), Now);
}

void WaitingQueue::describeArrivals(PlacementQuery &Query,
                                    const ServiceModel &Kind,
                                    TimePoint Now) const {
  const KindDemand &Own = demand(Kind);
  ReturnLoad All = returnsOfAll(Kind, Now);
  double Here = rateAt(Own.Arrivals, Now);
  auto Peers = Book.PeerDemand.find(Kind);
  double Elsewhere = Peers == Book.PeerDemand.end() ? 0 : Peers->second;
  if (Own.Arrivals.UpdatedAt != TimePoint{} && Peers != Book.PeerDemand.end())
    Query.DemandShare = Here / std::max(Here + Elsewhere, 1e-9);
  Query.InTimePerSecond = std::max(Here + Elsewhere - All.PerSecond, 0.0);
  Query.LatePerSecond = All.PerSecond;
  Query.LateWaiting = All.Waiting;
  Query.Holding = Own.Holding.Mean;
}

WaitProspect WaitingQueue::prospect(const ServiceModel &Kind,
                                    const WaitingRequest &Request,
                                    const PlaceFlow &Flow, Duration UsefulLeft,
                                    TimePoint Now) const {
  WaitQuery Query{0, Request.StartBy - Now, UsefulLeft};
  for (const Waiter &Each : Waiters) {
    if (Each.Kind != Kind || Each.Number == Request.Number)
      continue;
    Query.Ahead += nextToServe({Each.Request(), Request}, Now) == 0;
  }
  return waitProspect(Flow, Book.Limits.Places, Query);
}

Duration WaitingQueue::giveReturn(const ServiceModel &Kind,
                                  const PlaceFlow &Flow,
                                  const ReturnWindow &Window, TimePoint Now,
                                  double Draw, bool Returned) {
  Duration Delay = chooseReturn(Flow, Book.Limits.Places,
                                returnsOfAll(Kind, Now), Window, Now, Draw);
  if (!Returned)
    noteReturnGiven(Kinds[Kind].Given, Now + Delay);
  return Delay;
}

std::map<ServiceModel, ReturnLoad> WaitingQueue::returnLoads(TimePoint Now) {
  std::map<ServiceModel, ReturnLoad> Loads;
  for (auto &[Kind, Demand] : Kinds) {
    if (Demand.Arrivals.UpdatedAt == TimePoint{})
      continue;
    erasePastReturns(Demand.Given, Now);
    ReturnLoad &Load = Loads[Kind] = Demand.Given;
    Load.PerSecond = rateAt(Demand.Returned, Now);
    Load.Waiting = static_cast<double>(countLate(Kind, Now));
  }
  return Loads;
}

ReturnLoad WaitingQueue::returnsOfAll(const ServiceModel &Kind,
                                      TimePoint Now) const {
  const KindDemand &Own = demand(Kind);
  ReturnLoad All = Own.Given;
  All.PerSecond = rateAt(Own.Returned, Now);
  All.Waiting = static_cast<double>(countLate(Kind, Now));
  auto Peers = Book.PeerReturns.find(Kind);
  if (Peers != Book.PeerReturns.end())
    All += Peers->second;
  return All;
}

std::size_t WaitingQueue::countLate(const ServiceModel &Kind,
                                    TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Waiters.begin(), Waiters.end(), [&](const Waiter &Each) {
        return Each.Kind == Kind && Each.Request().StartBy < Now;
      }));
}

void WaitingQueue::remove(std::uint64_t Number) {
  std::erase_if(Waiters,
                [&](const Waiter &Each) { return Each.Number == Number; });
}

void WaitingQueue::dispatch(TimePoint Now) {
  if (Dispatching || Waiters.empty())
    return;
  Dispatching = true;
  std::vector<Waiter> Unsent = std::exchange(Waiters, {});
  std::erase_if(Unsent, [](const Waiter &Each) { return !Each.IsWaiting(); });
  std::vector<Waiter> StillWaiting;
  while (!Unsent.empty()) {
    std::vector<WaitingRequest> Ranked;
    Ranked.reserve(Unsent.size());
    for (const Waiter &Each : Unsent)
      Ranked.push_back(Each.Request());
    auto Index = static_cast<std::ptrdiff_t>(nextToServe(Ranked, Now));
    Waiter Next = std::move(Unsent[static_cast<std::size_t>(Index)]);
    Unsent.erase(Unsent.begin() + Index);
    if (!Next.Start())
      StillWaiting.push_back(std::move(Next));
  }
  Waiters.insert(Waiters.end(), std::make_move_iterator(StillWaiting.begin()),
                 std::make_move_iterator(StillWaiting.end()));
  Dispatching = false;
}

void WaitingQueue::refuseExcess(const ServiceModel &Kind, std::size_t MaxLength,
                                TimePoint Now) {
  std::vector<Waiter> Queue;
  std::vector<WaitingRequest> Ranked;
  for (const Waiter &Each : Waiters) {
    if (Each.Kind != Kind || !Each.IsWaiting())
      continue;
    Queue.push_back(Each);
    Ranked.push_back(Each.Request());
  }
  if (Queue.size() <= MaxLength)
    return;
  if (std::optional<std::size_t> Last = firstToRefuse(Ranked, Now))
    Queue[*Last].Refuse();
}

} // namespace samphirehill::serving
