// Forecasts whether a request that no upstream can take yet will be sent in
// time to be of use. The load it answers: in a burst more requests arrive than
// places become free, and whoever waits without a prospect of a place is held
// only to be refused later. A place is a slot of an upstream. No I/O.
#ifndef SAMPHIREHILL_LIMITS_WAITFORECAST_H
#define SAMPHIREHILL_LIMITS_WAITFORECAST_H

#include "samphirehill/Core/Time.h"

#include <cstddef>
#include <optional>

namespace samphirehill {

// The places of one kind and the requests for them, as one entry knows them.
// What it knows of the other entries is as old as their reports.
struct PlaceFlow {
  double Places = 0;   // that the entries together may fill
  double Taken = 0;    // by requests of all entries
  double Own = 0;      // of Taken: by requests of this entry
  double OwnShare = 1; // this entry's part of all arrivals, 0 to 1
  // Arrivals at all entries, per second, that can still meet their objective.
  double InTimePerSecond = 0;
  double LatePerSecond = 0;  // other arrivals at all entries
  double LateWaiting = 0;    // late requests that wait, at all entries
  double HoldingSeconds = 0; // mean time that a request occupies a place

  bool operator==(const PlaceFlow &) const = default;
};

struct PlaceRules {
  // Places that the entries together may fill for each further place that the
  // reports show as free. Above 1, as not all entries have requests at one
  // time.
  double Overbooking = 2.0;
  // While this share of the places is free, an entry sends requests in time
  // whatever it has filled itself: fewer arrive than would fill the rest before
  // the next reports.
  double FreeShare = 0.1;
  // Places that an entry keeps free of late requests, in standard deviations of
  // the number of its places that requests in time occupy.
  double ReserveDeviations = 2.0;

  bool operator==(const PlaceRules &) const = default;
};

// Returns how many places this entry may fill.
double ownLimit(const PlaceFlow &Flow, const PlaceRules &Rules);

// Returns how many places this entry may have filled when it sends a request
// that can no longer meet its objective: all but those that arrivals in time
// are about to fill. Zero while arrivals in time alone exceed all places.
double ownLateLimit(const PlaceFlow &Flow, const PlaceRules &Rules);

// Returns the places per second that become free while late requests fill as
// many as they may, and that no arrival in time needs. Zero if there are none.
double sparePerSecond(const PlaceFlow &Flow, const PlaceRules &Rules);

// Returns how many places late requests may fill at once.
double spareNow(const PlaceFlow &Flow, const PlaceRules &Rules);

// Returns within what time a request that can meet its objective is sent, with
// a probability of 98 in 100, when Ahead requests of this entry go before it.
// Returns nothing if no place becomes free.
std::optional<Duration> boundedWait(const PlaceFlow &Flow,
                                    const PlaceRules &Rules, std::size_t Ahead);

// The same for a late request. It is sent as soon as the entries together have
// places that no arrival in time needs, after the late ones that wait already.
// Late ones that arrive meanwhile may be older, and count as going before it.
std::optional<Duration> boundedLateWait(const PlaceFlow &Flow,
                                        const PlaceRules &Rules);

// What an arriving request can expect.
struct WaitProspect {
  bool Waits = false;  // else it is refused at once
  bool InTime = false; // it is expected to be sent in time for its objective
  Duration Bound{};    // Waits: within what time it is expected to be sent
};

// A request that can't be sent now.
struct WaitQuery {
  std::size_t Ahead = 0; // requests of this entry that go before it
  // How long it can wait and still meet its objective; not above zero: late.
  Duration ObjectiveLeft{};
  // How long it can wait and still be answered before its deadline.
  Duration UsefulLeft{};
};

// Decides whether a request waits. While places are free, one in time waits for
// as long as it can meet its objective, as only the state of the upstreams
// keeps it. Else one that would be sent too late for its objective waits as a
// late one, if there is a place for it in time for an answer.
WaitProspect waitProspect(const PlaceFlow &Flow, const PlaceRules &Rules,
                          const WaitQuery &Query);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_WAITFORECAST_H
