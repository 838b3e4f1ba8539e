// The requests of this entry that wait for an upstream, and what the entry has
// measured of the requests for each kind of place. WaitPolicy has the order of
// the queue, Limits/WaitForecast who may enter it. Used from one thread.
#ifndef SAMPHIREHILL_SERVING_WAITINGQUEUE_H
#define SAMPHIREHILL_SERVING_WAITINGQUEUE_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/ReturnSchedule.h"
#include "samphirehill/Serving/UpstreamBook.h"
#include "samphirehill/Serving/WaitPolicy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace samphirehill::serving {

// The requests of this entry for one kind of place.
struct KindDemand {
  EventRate Arrivals;
  EventRate Returned; // of Arrivals: callers that were refused before
  EventRate Sent;
  FirstEventTime FirstEvent; // since the request was sent
  FirstEventTime Holding;    // mean time that a request occupies its place
  ReturnLoad Given;          // Due only: returns that this entry gave out
};

// Returns the rate of callers' requests, by kind of place.
std::map<ServiceModel, double>
requestRates(const std::map<ServiceModel, KindDemand> &Kinds, TimePoint Now);

// A request in the queue. The functions are called while it is in the queue.
struct Waiter {
  std::uint64_t Number = 0; // of the request
  ServiceModel Kind;
  std::function<WaitingRequest()> Request; // its place in the order, now
  std::function<bool()> IsWaiting;
  // Tries to send the request. Returns whether it no longer waits.
  std::function<bool()> Start;
  std::function<void()> Refuse; // as the queue is too long
};

class WaitingQueue {
public:
  // Book holds what is known of the other entries.
  explicit WaitingQueue(const UpstreamBook &Book) : Book(Book) {}

  // Counts a request that arrives. Returned: its caller was refused before.
  // Returns whether it came at a time for which a return was given out.
  bool noteArrival(const ServiceModel &Kind, bool Returned, TimePoint Now);

  // Sets what Query says of the arrivals at all entries.
  void describeArrivals(PlacementQuery &Query, const ServiceModel &Kind,
                        TimePoint Now) const;

  // Returns what Request can expect that the places of Flow can't take now.
  // UsefulLeft is how long it can wait and still be answered.
  WaitProspect prospect(const ServiceModel &Kind, const WaitingRequest &Request,
                        const PlaceFlow &Flow, Duration UsefulLeft,
                        TimePoint Now) const;

  // Returns after what time a caller should return that is refused now. Draw is
  // a random number, uniform in [0, 1). No place is kept for a caller that has
  // Returned before: it seldom returns again.
  Duration giveReturn(const ServiceModel &Kind, const PlaceFlow &Flow,
                      const ReturnWindow &Window, TimePoint Now, double Draw,
                      bool Returned);

  // Returns this entry's returning callers, by kind of place.
  std::map<ServiceModel, ReturnLoad> returnLoads(TimePoint Now);

  void add(Waiter Added) { Waiters.push_back(std::move(Added)); }
  void remove(std::uint64_t Number);
  void clear() { Waiters.clear(); }

  // Starts the waiting requests that can be sent now, in the order of service.
  // Does nothing when called while it runs.
  void dispatch(TimePoint Now);

  // Refuses the last one in the order if more than MaxLength wait for Kind.
  void refuseExcess(const ServiceModel &Kind, std::size_t MaxLength,
                    TimePoint Now);

  // By kind of place. Arrivals, Returned and Given: engine services only.
  std::map<ServiceModel, KindDemand> Kinds;

private:
  const KindDemand &demand(const ServiceModel &Kind) const;
  std::size_t countLate(const ServiceModel &Kind, TimePoint Now) const;
  // Returns the returning callers of Kind at all entries.
  ReturnLoad returnsOfAll(const ServiceModel &Kind, TimePoint Now) const;

  const UpstreamBook &Book;
  std::vector<Waiter> Waiters;
  bool Dispatching = false;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_WAITINGQUEUE_H
