// The homes of upstreams: which of them this entry takes, keeps and gives up.
#include "peer.pb.h"
#include "samphirehill/Daemon/PlacementController.h"

#include <algorithm>

namespace samphirehill {

void PlacementController::noteGone(const ConfirmedGone &Gone) {
  TimePoint Now = Shared.Timers.now();
  Past.push_back(PastBorrower{Gone.Entry, Gone.UpTo, Now, true});
  Duration Keep = CreditSettings().MaxDeadline;
  while (!Past.empty() && Past.front().ConfirmedAt + Keep < Now)
    Past.pop_front();
  // An entry that runs again under a newer incarnation is still a borrower.
  auto Peer = Membership.liveness().Peers.find(Gone.Entry);
  if (Peer != Membership.liveness().Peers.end() &&
      Peer->second.Started > Gone.UpTo)
    Credits.recordIncarnation(Gone.Entry, Peer->second.Started);
  else
    Credits.recordEntryGone(Gone.Entry);
}

BorrowerList PlacementController::borrowers() const {
  BorrowerList List;
  for (const auto &[Name, Each] : Membership.instances()) {
    if (Each.Role != InstanceRole::Entry)
      continue;
    bool InZone = Each.Zone == Shared.Config.Zone;
    (InZone ? List.Zone : List.Remote).emplace_back(Name.str());
  }
  EntryId Self = Shared.Config.Entry;
  if (std::ranges::find(List.Zone, Self) == List.Zone.end())
    List.Zone.push_back(Self);
  return List;
}

// Follows the placement: drops homes that it no longer names, and tells ledgers
// of changed limits and borrowers.
void PlacementController::updateHomes() {
  for (const auto &[Name, Where] : Effective.Homes)
    Credits.setHome(Name, Where.Holder.Entry);
  const BorrowerList Current = borrowers();
  for (auto Each = OpenEpochs.begin(); Each != OpenEpochs.end();) {
    auto Found = Effective.Homes.find(Each->first);
    if (Found == Effective.Homes.end()) {
      Credits.drop(Each->first);
      Directory.remove(Each->first);
      Seen.erase(Each->first);
      Each = OpenEpochs.erase(Each);
      continue;
    }
    if (const Service *Of = serviceOf(Each->first)) {
      Credits.setLimits(Each->first, Of->ColdLimit, Of->WarmLimit);
      Credits.setBorrowers(Each->first, Current);
    }
    ++Each;
  }
  std::erase_if(GivenUp, [this](const auto &Each) {
    auto Found = Effective.Homes.find(Each.first);
    return Found == Effective.Homes.end() || Found->second.Epoch != Each.second;
  });
  if (!LeavingHomes)
    return;
  releaseHomes();
}

// Opens the homes that the stored placement names for this process, as soon as
// the boot id of the upstream is known.
void PlacementController::openHomes() {
  if (!Stored || LeavingHomes)
    return;
  TimePoint Now = Shared.Timers.now();
  for (const auto &[Name, Where] : Stored->Homes) {
    if (Where.Holder != self() || OpenEpochs.contains(Name) ||
        GivenUp.contains(Name))
      continue;
    auto Boot = Seen.find(Name);
    const Service *Of = serviceOf(Name);
    if (Boot == Seen.end() || !Of)
      continue;
    HomeOpening Opening;
    Opening.Upstream = Name;
    Opening.Epoch = Where.Epoch;
    Opening.Boot = Boot->second.first;
    Opening.ColdLimit = Of->ColdLimit;
    Opening.WarmLimit = Of->WarmLimit;
    Opening.StartLimit = Boot->second.second ? Of->WarmLimit : Of->ColdLimit;
    Opening.RampFactor = Of->LimitRamp.Factor;
    Opening.RampStep = Of->LimitRamp.Step;
    Opening.FirstHome = Where.Epoch == 1;
    Opening.HighestLimit = std::max(Of->ColdLimit, Of->WarmLimit);
    Opening.Borrowers = borrowers();
    Opening.Past.assign(Past.begin(), Past.end());
    Opening.PastIsComplete =
        Now - Probes.collectingSince() > CreditSettings().MaxDeadline;
    OpenEpochs[Name] = Where.Epoch;
    Credits.open(Opening);
    Shared.record("home-opened", Name.str(),
                  "epoch " + std::to_string(Where.Epoch));
  }
}

void PlacementController::releaseHomes() {
  if (!LeavingHomes) {
    LeavingHomes = true;
    for (const auto &[Name, Epoch] : OpenEpochs) {
      Credits.stop(Name);
      Releasing.insert(Name);
    }
    Credits.returnAll();
  }
  for (auto Each = Releasing.begin(); Each != Releasing.end();) {
    if (!Credits.release(*Each)) {
      ++Each;
      continue;
    }
    GivenUp[*Each] = OpenEpochs[*Each];
    OpenEpochs.erase(*Each);
    Shared.record("home-released", Each->str(), "shutdown");
    Each = Releasing.erase(Each);
  }
  EntryId Controller = zoneRoles(Membership.liveness()).Relay;
  for (const auto &[Name, Epoch] : GivenUp) {
    if (Controller == Shared.Config.Entry) {
      Released[Name] = Epoch;
      continue;
    }
    peer::Envelope Envelope;
    Envelope.mutable_home_release()->set_upstream(Name.str());
    Envelope.mutable_home_release()->set_epoch(Epoch);
    Hub.send(Controller, std::move(Envelope));
  }
}

std::size_t PlacementController::homesLeft() const {
  return Releasing.size() + GivenUp.size();
}

} // namespace samphirehill
