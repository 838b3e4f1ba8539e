// Divides the places of one kind among the requests that compete for them, over
// all entries. A place runs one request at a time, so places held are engine
// time taken, whatever the size of the requests.
//
// The load that this answers: more requests ask for places than there are, for
// seconds, and a few organisations or less urgent requests would take the
// places of the others. Urgent ranks are granted places first, each other rank
// keeps a floor. Within a rank each organisation gets its max-min share
// (progressive filling: Bertsekas and Gallager, "Data Networks", 6.5), but no
// less than a floor. While there are places for all, nobody is limited.
//
// Entries know of each other's work by late, summed reports, so the shares are
// approximate: an organisation may exceed its share by what it sends within the
// age of the reports. No I/O; time comes from the caller.
#ifndef SAMPHIREHILL_LIMITS_FAIRSHARE_H
#define SAMPHIREHILL_LIMITS_FAIRSHARE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace samphirehill {

struct ShareSettings {
  bool Enabled = true;
  // Share of the places that each rank with requests keeps, however many more
  // urgent requests there are.
  double RankFloor = 0.05;
  // An organisation keeps this fraction of the places that it would get if the
  // places of its rank were divided in proportion to what is asked for. Above
  // 0, an organisation that asks for more gets more, at the cost of the others.
  double OrganisationFloor = 0;
  // Claims of one kind of place in a report. The smallest beyond that number
  // are summed up by rank.
  std::size_t MaxClaims = 64;

  bool operator==(const ShareSettings &) const = default;
};

// Who claims a place: an organisation, with requests of one rank. The empty
// organisation stands for anonymous callers and for the sum of small claims.
struct ClaimKey {
  int Rank = 0; // 0 is the most urgent
  OrganisationId Organisation;

  auto operator<=>(const ClaimKey &) const = default;
};

// The work of one claim, at one entry or summed over several.
struct ClaimedWork {
  int Held = 0;     // places of requests in progress
  int Waiting = 0;  // requests that wait for a place
  double Asked = 0; // places that the arrivals of a second would fill
  int Claims = 1;   // organisations summed up

  bool operator==(const ClaimedWork &) const = default;
};

using WorkByClaim = std::map<ClaimKey, ClaimedWork>;

void addWork(WorkByClaim &Sum, const WorkByClaim &Work);
// Subtracts Part from Sum; nothing falls below zero, as Sum and Part may be of
// different ages.
void subtractWork(WorkByClaim &Sum, const WorkByClaim &Part);

// Returns at most MaxClaims claims of Work, those with the most work, and one
// sum of all others for each rank.
WorkByClaim largestClaims(const WorkByClaim &Work, std::size_t MaxClaims);

// Divides Places among Demands, all in places, by max-min fairness: no demand
// gets more than it asks for, and none could get more without taking from one
// that has less in proportion to its weight. Weights must be positive and as
// many as Demands.
std::vector<double> maxMinShares(const std::vector<double> &Demands,
                                 const std::vector<double> &Weights,
                                 double Places);

// Divides Places like maxMinShares, but gives no demand less than its floor.
// Each floor is at most the demand, and their sum at most Places.
std::vector<double> sharesAboveFloors(const std::vector<double> &Demands,
                                      const std::vector<double> &Weights,
                                      const std::vector<double> &Floors,
                                      double Places);

// Returns the places that each claim of Work is entitled to, out of Places. If
// there are places for all, that is what each asks for.
std::map<ClaimKey, double> fairPlaces(const WorkByClaim &Work, double Places,
                                      const ShareSettings &Settings);

// One claim as an entry sees it.
struct ClaimShare {
  ClaimedWork All;    // over all entries
  double Fair = 0;    // places that it is entitled to, over all entries
  double OwnFair = 0; // this entry's part of them, by the work asked for here
  int OwnHeld = 0;    // places held by requests of this entry

  bool operator==(const ClaimShare &) const = default;
};

// The shares of one kind of place as an entry sees them.
struct ShareTable {
  std::map<ClaimKey, ClaimShare> Claims;
  double Places = 0;      // over all entries
  bool Contended = false; // more is asked for than there are places
  // Places that claims wait for at any entry, within what they are entitled to.
  double Wanted = 0;
  // This entry's share of the places, 0 to 1.
  double EntryShare = 1;

  bool operator==(const ShareTable &) const = default;
};

// Returns the shares when Own is claimed at this entry and Others at all
// others. Without news Others is empty, and the places are divided among the
// callers of this entry.
ShareTable makeShareTable(const WorkByClaim &Own, const WorkByClaim &Others,
                          double Places, const ShareSettings &Settings);

// Returns whether a further place would take the claim beyond its share while
// places are short.
bool isBeyondShare(const ShareTable &Table, const ClaimKey &Key);

// Returns whether this entry may take a place for the claim out of the claim's
// own share, whatever the other claims at this entry hold.
bool hasOwnShareLeft(const ShareTable &Table, const ClaimKey &Key);

// Returns whether a request of the claim must leave the Free places to others:
// it is beyond its share, and as many requests within theirs wait. A place that
// nobody within a share waits for is not held back.
bool mustYield(const ShareTable &Table, const ClaimKey &Key, double Free);

// Whose limit keeps a request waiting.
enum class ShareLimit {
  Places,       // within its share: there are too few places
  Organisation, // the organisation asks for more than an equal part
  Rank,         // more urgent requests take the places
};

ShareLimit shareLimit(const ShareTable &Table, const ClaimKey &Key);
const char *toString(ShareLimit Limit);

// Where a request stands in the count of claimed work.
enum class ClaimPhase { None, Waiting, Holding };

// The claims on one kind of place that an entry keeps count of.
struct PlaceClaims {
  WorkByClaim Own;    // Asked as of AskedAt
  WorkByClaim Others; // by the reports of the other entries
  TimePoint AskedAt{};
  double Places = 0; // that all entries together may fill
  std::optional<ShareTable> Table;
  TimePoint TableAt{};
};

// Counts the arrival of a request that will hold a place for Holding.
void noteAsked(PlaceClaims &Claims, const ClaimKey &Key, Duration Holding,
               TimePoint Now);

// Counts the move of one request of Key from one phase to another.
void moveClaim(PlaceClaims &Claims, const ClaimKey &Key, ClaimPhase From,
               ClaimPhase To);

// Replaces what the other entries claim.
void setOthers(PlaceClaims &Claims, WorkByClaim Others);

// Sets the number of places that all entries together may fill.
void setPlaces(PlaceClaims &Claims, double Places);

// Returns this entry's claims for a report at Now. Drops claims that have
// ended.
WorkByClaim reportedClaims(PlaceClaims &Claims, const ShareSettings &Settings,
                           TimePoint Now);

// Returns the shares at Now.
const ShareTable &shareTable(PlaceClaims &Claims, const ShareSettings &Settings,
                             TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_FAIRSHARE_H
