#include "samphirehill/Limits/FairShare.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace samphirehill {
namespace {

// Time constant of the decay of ClaimedWork::Asked: about the time for which a
// place is held.
constexpr double AskedDecaySeconds = 1.0;
// Asked work below this is dropped, in places.
constexpr double LeastAsked = 0.01;
// Asked decays between two updates of the table.
constexpr Duration MaxTableAge = milliseconds(50);

// Returns the places that the claim would fill if it were not limited.
double demand(const ClaimedWork &Work) {
  return std::max(static_cast<double>(Work.Held + Work.Waiting), Work.Asked);
}

// Returns the places that each rank is granted, in the order of the ranks. Each
// rank gets its floor, what remains goes to the most urgent ranks.
std::map<int, double> placesByRank(const WorkByClaim &Work, double Places,
                                   const ShareSettings &Settings) {
  std::map<int, double> Granted;
  for (const auto &[Key, Each] : Work)
    Granted[Key.Rank] += demand(Each);
  double Floor = std::min(Settings.RankFloor,
                          1.0 / static_cast<double>(
                                    std::max<std::size_t>(Granted.size(), 1))) *
                 Places;
  double Left = Places;
  for (const auto &[Rank, Demand] : Granted)
    Left -= std::min(Demand, Floor);
  for (auto &[Rank, Demand] : Granted) {
    double Least = std::min(Demand, Floor);
    double More = std::clamp(Demand - Least, 0.0, std::max(Left, 0.0));
    Left -= More;
    Demand = Least + More;
  }
  return Granted;
}

// Divides the places of one rank among its organisations.
void divideRank(const WorkByClaim &Work, int Rank, double Places,
                const ShareSettings &Settings,
                std::map<ClaimKey, double> &Fair) {
  std::vector<ClaimKey> Keys;
  std::vector<double> Demands;
  std::vector<double> Weights;
  for (const auto &[Key, Each] : Work) {
    if (Key.Rank != Rank)
      continue;
    Keys.push_back(Key);
    Demands.push_back(demand(Each));
    Weights.push_back(std::max(Each.Claims, 1));
  }
  double Demand = std::accumulate(Demands.begin(), Demands.end(), 0.0);
  double Floor = Settings.OrganisationFloor *
                 std::min(Places / std::max(Demand, 1e-9), 1.0);
  std::vector<double> Floors = Demands;
  for (double &Each : Floors)
    Each *= Floor;
  std::vector<double> Shares =
      sharesAboveFloors(Demands, Weights, Floors, Places);
  for (std::size_t Index = 0; Index < Keys.size(); ++Index)
    Fair[Keys[Index]] = Shares[Index];
}

// Decays the asked work of this entry to Now.
void decayAsked(PlaceClaims &Claims, TimePoint Now) {
  double Elapsed = std::max(toSeconds(Now - Claims.AskedAt), 0.0);
  for (auto &[Key, Work] : Claims.Own)
    Work.Asked *= std::exp(-Elapsed / AskedDecaySeconds);
  Claims.AskedAt = Now;
}

int &phaseCount(ClaimedWork &Work, ClaimPhase Phase) {
  return Phase == ClaimPhase::Holding ? Work.Held : Work.Waiting;
}

} // namespace

void addWork(WorkByClaim &Sum, const WorkByClaim &Work) {
  for (const auto &[Key, Each] : Work) {
    ClaimedWork &Into = Sum[Key];
    Into.Held += Each.Held;
    Into.Waiting += Each.Waiting;
    Into.Asked += Each.Asked;
    Into.Claims = std::max(Into.Claims, Each.Claims);
  }
}

void subtractWork(WorkByClaim &Sum, const WorkByClaim &Part) {
  for (const auto &[Key, Each] : Part) {
    auto Found = Sum.find(Key);
    if (Found == Sum.end())
      continue;
    ClaimedWork &From = Found->second;
    From.Held = std::max(From.Held - Each.Held, 0);
    From.Waiting = std::max(From.Waiting - Each.Waiting, 0);
    From.Asked = std::max(From.Asked - Each.Asked, 0.0);
    if (demand(From) < LeastAsked)
      Sum.erase(Found);
  }
}

WorkByClaim largestClaims(const WorkByClaim &Work, std::size_t MaxClaims) {
  if (Work.size() <= MaxClaims)
    return Work;
  std::vector<const WorkByClaim::value_type *> Order;
  for (const auto &Each : Work)
    Order.push_back(&Each);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto *A, const auto *B) {
                     return demand(A->second) > demand(B->second);
                   });
  WorkByClaim Largest;
  std::map<int, int> Summed; // claims, by rank
  for (std::size_t Index = 0; Index < Order.size(); ++Index) {
    const auto &[Key, Each] = *Order[Index];
    if (Index < MaxClaims && !Key.Organisation.empty()) {
      Largest[Key] = Each;
      continue;
    }
    addWork(Largest, {{ClaimKey{Key.Rank, {}}, Each}});
    Summed[Key.Rank] += Each.Claims;
  }
  for (const auto &[Rank, Count] : Summed)
    Largest[ClaimKey{Rank, {}}].Claims = Count;
  return Largest;
}

std::vector<double> maxMinShares(const std::vector<double> &Demands,
                                 const std::vector<double> &Weights,
                                 double Places) {
  std::vector<std::size_t> Order(Demands.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return Demands[A] * Weights[B] < Demands[B] * Weights[A];
  });
  double WeightLeft = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  double Left = std::max(Places, 0.0);
  std::vector<double> Shares(Demands.size());
  for (std::size_t Index : Order) {
    double Equal = Left * Weights[Index] / WeightLeft;
    Shares[Index] = std::min(Demands[Index], Equal);
    Left -= Shares[Index];
    WeightLeft -= Weights[Index];
  }
  return Shares;
}

std::vector<double> sharesAboveFloors(const std::vector<double> &Demands,
                                      const std::vector<double> &Weights,
                                      const std::vector<double> &Floors,
                                      double Places) {
  std::vector<double> Shares(Demands.size());
  std::vector<std::size_t> Open(Demands.size());
  std::iota(Open.begin(), Open.end(), std::size_t{0});
  // Each round gives their floors to those that the common level leaves below
  // them, which lowers the level of the others.
  for (std::size_t Before = Open.size() + 1; Open.size() < Before;) {
    Before = Open.size();
    std::vector<double> OpenDemands;
    std::vector<double> OpenWeights;
    for (std::size_t Index : Open) {
      OpenDemands.push_back(Demands[Index]);
      OpenWeights.push_back(Weights[Index]);
    }
    std::vector<double> Level = maxMinShares(OpenDemands, OpenWeights, Places);
    std::vector<std::size_t> Above;
    for (std::size_t Position = 0; Position < Open.size(); ++Position) {
      std::size_t Index = Open[Position];
      Shares[Index] = std::max(Level[Position], Floors[Index]);
      if (Level[Position] >= Floors[Index]) {
        Above.push_back(Index);
        continue;
      }
      Places -= Floors[Index];
    }
    Open = std::move(Above);
  }
  return Shares;
}

std::map<ClaimKey, double> fairPlaces(const WorkByClaim &Work, double Places,
                                      const ShareSettings &Settings) {
  std::map<ClaimKey, double> Fair;
  for (const auto &[Rank, Granted] : placesByRank(Work, Places, Settings))
    divideRank(Work, Rank, Granted, Settings, Fair);
  return Fair;
}

ShareTable makeShareTable(const WorkByClaim &Own, const WorkByClaim &Others,
                          double Places, const ShareSettings &Settings) {
  WorkByClaim All = Others;
  addWork(All, Own);
  double Demand = 0;
  double Held = 0;
  for (const auto &[Key, Each] : All) {
    Demand += demand(Each);
    Held += Each.Held;
  }
  ShareTable Table;
  Table.Places = std::max(Places, Held);
  Table.Contended = Settings.Enabled && All.size() > 1 && Demand > Table.Places;
  std::map<ClaimKey, double> Fair = fairPlaces(All, Table.Places, Settings);
  double OwnFair = 0;
  double AllFair = 0;
  for (const auto &[Key, Each] : All) {
    ClaimShare Share{Each, Fair.at(Key)};
    auto Here = Own.find(Key);
    if (Here != Own.end()) {
      Share.OwnHeld = Here->second.Held;
      Share.OwnFair =
          Share.Fair *
          std::min(demand(Here->second) / std::max(demand(Each), 1e-9), 1.0);
    }
    OwnFair += Share.OwnFair;
    AllFair += Share.Fair;
    Table.Wanted += std::clamp(Share.Fair - Each.Held, 0.0,
                               static_cast<double>(Each.Waiting));
    Table.Claims[Key] = Share;
  }
  if (AllFair > 0)
    Table.EntryShare = OwnFair / AllFair;
  return Table;
}

bool isBeyondShare(const ShareTable &Table, const ClaimKey &Key) {
  auto Found = Table.Claims.find(Key);
  return Table.Contended && Found != Table.Claims.end() &&
         Found->second.All.Held >= Found->second.Fair;
}

bool hasOwnShareLeft(const ShareTable &Table, const ClaimKey &Key) {
  auto Found = Table.Claims.find(Key);
  return Table.Contended && Found != Table.Claims.end() &&
         !isBeyondShare(Table, Key) &&
         Found->second.OwnHeld + 1 <= Found->second.OwnFair;
}

bool mustYield(const ShareTable &Table, const ClaimKey &Key, double Free) {
  return isBeyondShare(Table, Key) && Table.Wanted >= 1 && Free <= Table.Wanted;
}

ShareLimit shareLimit(const ShareTable &Table, const ClaimKey &Key) {
  if (!isBeyondShare(Table, Key))
    return ShareLimit::Places;
  double Organisations = 0;
  for (const auto &[Each, Share] : Table.Claims) {
    if (Each.Rank == Key.Rank)
      Organisations += Share.All.Claims;
  }
  const ClaimedWork &Work = Table.Claims.at(Key).All;
  bool AboveEqualPart =
      demand(Work) * Organisations > Table.Places * Work.Claims;
  return AboveEqualPart ? ShareLimit::Organisation : ShareLimit::Rank;
}

const char *toString(ShareLimit Limit) {
  switch (Limit) {
  case ShareLimit::Places:
    return "places";
  case ShareLimit::Organisation:
    return "organisation";
  case ShareLimit::Rank:
    return "rank";
  }
  return "unknown";
}

void noteAsked(PlaceClaims &Claims, const ClaimKey &Key, Duration Holding,
               TimePoint Now) {
  decayAsked(Claims, Now);
  Claims.Own[Key].Asked += toSeconds(Holding) / AskedDecaySeconds;
  Claims.Table.reset();
}

void moveClaim(PlaceClaims &Claims, const ClaimKey &Key, ClaimPhase From,
               ClaimPhase To) {
  if (From == To)
    return;
  ClaimedWork &Work = Claims.Own[Key];
  if (From != ClaimPhase::None)
    --phaseCount(Work, From);
  if (To != ClaimPhase::None)
    ++phaseCount(Work, To);
  Claims.Table.reset();
}

void setOthers(PlaceClaims &Claims, WorkByClaim Others) {
  Claims.Others = std::move(Others);
  Claims.Table.reset();
}

void setPlaces(PlaceClaims &Claims, double Places) {
  if (Places == Claims.Places)
    return;
  Claims.Places = Places;
  Claims.Table.reset();
}

WorkByClaim reportedClaims(PlaceClaims &Claims, const ShareSettings &Settings,
                           TimePoint Now) {
  decayAsked(Claims, Now);
  std::erase_if(Claims.Own, [](const auto &Each) {
    return demand(Each.second) < LeastAsked;
  });
  return largestClaims(Claims.Own, Settings.MaxClaims);
}

const ShareTable &shareTable(PlaceClaims &Claims, const ShareSettings &Settings,
                             TimePoint Now) {
  if (!Claims.Table || Now - Claims.TableAt > MaxTableAge) {
    decayAsked(Claims, Now);
    Claims.Table =
        makeShareTable(Claims.Own, Claims.Others, Claims.Places, Settings);
    Claims.TableAt = Now;
  }
  return *Claims.Table;
}

} // namespace samphirehill
