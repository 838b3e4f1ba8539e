// What this entry knows of each upstream's load and health, and the choice of
// an upstream for a request. No I/O; time comes from the caller.
#ifndef SAMPHIREHILL_SERVING_UPSTREAMBOOK_H
#define SAMPHIREHILL_SERVING_UPSTREAMBOOK_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Fleet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

// Why an upstream gets no new work while others can take it.
enum class AvoidReason { None, Unreachable, Stalled, Refusing, Failing };

struct UpstreamState {
  Upstream Known;
  int Running = 0;          // requests of this entry
  int RunningElsewhere = 0; // requests of other entries, by their last reports
  TimePoint LastProgress{}; // of any request of this entry
  TimePoint AvoidUntil{};
  AvoidReason Avoid = AvoidReason::None;
  double FailureShare = 0; // recent requests that failed, 0 to 1
  double ColdTokens = 0;   // requests that may be sent now while it is cold
  TimePoint ColdTokensAt{};
};

struct PlacementLimits {
  // How much worse an upstream of another zone is than one of this zone, in
  // shares of its slots: more than the delay between zones is worth, less than
  // a queue.
  double OtherZonePenalty = 0.08;
  // Failing instances are kept as a last resort, ranked behind this much load.
  double FailurePenalty = 2.0;
  // Share of a cold upstream's request rate that one entry may use; the sum
  // over all entries stays below the operators' bound.
  int Entries = 1;
};

struct PlacementQuery {
  ServiceId Service;
  std::string Model;
  ZoneId OwnZone;
  double ColdPerSecond = 0; // over all entries; 0: no limit
  std::set<UpstreamKey> Tried;
  // Requests beyond the slots that an upstream may hold; plain services queue.
  int ExtraSlots = 0;
};

enum class NoPlace { Absent, Full };

struct Placement {
  std::optional<UpstreamKey> Chosen;
  NoPlace Reason = NoPlace::Absent; // if nothing is chosen
  int Candidates = 0;
};

struct UpstreamBook {
  PlacementLimits Limits;
  std::map<UpstreamKey, UpstreamState> Upstreams;
};

// Takes the usable upstreams. State of those that go on existing is kept; the
// others are forgotten.
void updateUpstreams(UpstreamBook &Book, const std::vector<Upstream> &Usable);

// Chooses the least loaded upstream that may take a request now.
Placement place(const UpstreamBook &Book, const PlacementQuery &Query,
                TimePoint Now);

// Counts a request as sent to Key.
void noteSent(UpstreamBook &Book, const UpstreamKey &Key, double ColdPerSecond,
              TimePoint Now);

// Counts the end of a request. Failed tells a failure of the upstream itself.
void noteEnded(UpstreamBook &Book, const UpstreamKey &Key, bool Failed);

// Notes that Key has sent something.
void noteProgress(UpstreamBook &Book, const UpstreamKey &Key, TimePoint Now);

// Keeps new work away from Key until Until.
void avoid(UpstreamBook &Book, const UpstreamKey &Key, AvoidReason Reason,
           TimePoint Until);

// Replaces what other entries run: requests by upstream.
void setRunningElsewhere(UpstreamBook &Book,
                         const std::map<UpstreamKey, int> &Running);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_UPSTREAMBOOK_H
