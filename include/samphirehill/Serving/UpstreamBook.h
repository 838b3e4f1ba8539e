// Tracks the load and health of each upstream as this entry knows them, and
// chooses an upstream for each request. Does no I/O; callers pass the time.
//
// The other entries are called peers. Their load is known from reports that
// they send periodically, so it is always somewhat out of date.
#ifndef SAMPHIREHILL_SERVING_UPSTREAMBOOK_H
#define SAMPHIREHILL_SERVING_UPSTREAMBOOK_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/ServiceReach.h"
#include "samphirehill/Limits/UpstreamPace.h"
#include "samphirehill/Routing/ZoneSpill.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/InstanceNotices.h"
#include "samphirehill/Serving/StatedLimits.h"
#include "samphirehill/Serving/UpstreamLoad.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

// Why an upstream gets no new requests while other upstreams can take them.
enum class AvoidReason { None, Unreachable, Stalled, Refusing, Failing };

// A service's model, or a plain service (with an empty model). Any upstream of
// the same ServiceModel can serve a request for it.
struct ServiceModel {
  ServiceId Service;
  std::string Model;

  auto operator<=>(const ServiceModel &) const = default;
};

// Requests per second that callers send, by the upstreams that may serve them.
struct TimedDemand {
  TimePoint At{};
  std::map<ServiceModel, double> PerSecond;
};

struct UpstreamState {
  Upstream Info;
  UpstreamLoad OwnLoad;
  UpstreamLoad PeerLoad; // summed over the peers' last reports
  // Ratio of the observed to the expected time between events; 1: as expected.
  double Slowness = 1.0;
  // When a request of this entry last made progress, or was sent while none was
  // running.
  TimePoint LastProgress{};
  TimePoint LastAnswerAt{}; // when a request of this entry last got an answer
  TimePoint AvoidUntil{};
  AvoidReason Avoid = AvoidReason::None;
  double FailureShare = 0;  // moving average of failed requests, 0 to 1
  double ColdTokens = 0;    // token bucket for requests while it is cold
  TimePoint ColdTokensAt{}; // when ColdTokens was last updated
  UpstreamPace FoundPace;   // from the answers to this entry
  // Number of the window of the reports' age in which this entry last sent a
  // request there, and how many it has sent in it.
  std::int64_t SentWindow = 0;
  int SentInWindow = 0;
};

// Settings of the placement, and what this entry knows of its peers. Upstreams
// are ranked by a score: the time to the first event that is expected, plus
// penalties. The lowest score is best.
struct PlacementLimits {
  // Added to the score of an upstream in another zone: the latency between
  // zones, and a little for the cost of traffic between them.
  Duration OtherZonePenalty = milliseconds(6);
  // An upstream of the own zone is as good for the caller as one elsewhere if
  // its score is higher by no more than this.
  Duration OwnZoneTolerance = milliseconds(15);
  // When work goes to other zones although upstreams of the own zone are as
  // good.
  SpillSettings Spill;
  // Added to the score of an upstream that fails all requests; in proportion
  // for one that fails a share of them.
  Duration FailurePenalty = milliseconds(400);
  // Added to the score of an upstream whose slots are all taken, in proportion
  // to the square of the share of slots that are taken. Applies only while peer
  // reports are delayed: the last slots may have been taken since.
  Duration OccupancyPenalty = milliseconds(100);
  // Share of a request's remaining time that its complete answer may be
  // expected to take. An upstream that needs more has the expected time of the
  // complete answer added to its score.
  double AnswerShare = 0.75;
  // Slots of a group that the entries leave free for requests that peers send
  // before their next reports arrive, in standard deviations of the number of
  // such requests. Requests beyond a group's slots would wait in the engine's
  // queue.
  double FreeDeviations = 2.0;
  // Slots that the entries together may fill for each further slot that the
  // reports show as free. Above 1, as not all entries have requests at one
  // time.
  double Overbooking = 2.0;
  // Share of this entry's slots that requests may fill that can no longer meet
  // their objective. The rest is reserved for requests that still can.
  double LateShare = 0.3;
  // A request is sent to an upstream with pending prompts only if its first
  // event is expected within this share of its objective, or if the pending
  // prompts delay it by little (see promptsDelayTooLong). Otherwise it waits in
  // this entry, where the order of requests can still be changed.
  double ObjectiveShare = 0.7;
  // Assumed mean time of a plain service's request, for ranking its instances.
  Duration PlainRequestTime = milliseconds(40);
  // Mean age of the peers' load reports; zero if there are no peers. All
  // entries choose by the same reports: unless they account for what the peers
  // send meanwhile, all of them choose the upstream that looks best at the same
  // time.
  Duration ReportAge{};
  // Time over which placements level the loads, in multiples of ReportAge.
  // Placements by delayed reports correct a load difference late; a controller
  // that corrects all of a difference within its dead time makes the difference
  // grow (Franklin, "Feedback Control of Dynamic Systems", on dead time).
  double LevelingHorizon = 3.0;
  // Expects that the peers send at least one request to each upstream within
  // the leveling horizon, even if few requests run: many entries may start to
  // send at the same time.
  bool ManyEntries = false;
  // Number of entries. They share the request rate of a cold upstream, so that
  // the sum over all entries stays below the limit that operators set.
  int Entries = 1;
  // The peers, and this entry. If there are more entries than half the request
  // rate of a cold upstream (per second), only that many of them send requests
  // to it; rendezvous hashing selects them.
  std::vector<EntryId> Others;
  EntryId Self;
  PaceSettings Pace;
};

// A request to be placed.
struct PlacementQuery {
  ServiceId Service;
  std::string Model;
  ZoneId OwnZone;
  // Requests per second that all entries together may send to a cold upstream;
  // 0: no limit.
  double ColdPerSecond = 0;
  std::set<UpstreamKey> Tried; // not to be chosen again
  // Requests that an upstream may hold beyond its slots: instances of plain
  // services queue requests.
  int ExtraSlots = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t OutputTokens = 0;       // upper bound
  Duration TimeLeft{};                 // until the deadline
  Duration Objective{};                // for the first event
  const EngineShape *Engine = nullptr; // null: a plain service
  // This entry's share of the demand for the ServiceModel over all entries, 0
  // to 1.
  double DemandShare = 1.0;
  bool Late = false; // can no longer meet its objective
  // The caller's organisation has a share of the slots left at this entry,
  // whatever the other requests of this entry take.
  bool WithinShare = false;
  bool Repeatable = true; // may run twice
  // An upstream has already worked on the request, so it may take any free
  // slot.
  bool Begun = false;
  // Random number, uniform in [0, 1). Chooses among the upstreams that are
  // expected to be equally good once the peers have sent their next requests.
  double Draw = 0;
  TimePoint NowWithSuspension{}; // on the clock of InstanceNotices
};

// Which zones this entry reaches. See Serving/EntryReach.h.
struct EntryReach {
  ReachSettings Settings;
  std::map<ZoneId, ZoneEvidence> Seen; // by this entry
  std::set<ZoneId> CutOff;             // zones whose upstreams get no requests
  Readiness Taking;                    // callers
};

// All upstreams that this entry may use, with their state.
struct UpstreamBook {
  PlacementLimits Limits;
  std::map<UpstreamKey, UpstreamState> Upstreams;
  InstanceNotices Notices;
  StatedLimits Stated;
  // Whether the upstreams have been listed. Those of the first list are at full
  // pace, as the other entries use them already.
  bool Listed = false;
  TimePoint PacesUpdatedAt{}; // see followReportedPaces
  // Lives of instances that have ended, as far as is known, while the platform
  // still lists them; and until when that is believed.
  std::map<InstanceLife, TimePoint> Ended;
  // Requests per second that callers send to the peers.
  std::map<ServiceModel, double> PeerDemand;
  // Requests per second that callers sent to this entry in the last seconds;
  // the oldest first. See updateLimitShares.
  std::deque<TimedDemand> OwnDemand;
  EntryReach Reach;
};

// Returns whether the upstream bears only little load at Now. PerSecond is the
// limit that operators set for cold upstreams; 0: no limit.
bool isCold(const UpstreamState &State, double PerSecond, TimePoint Now);
// Returns whether this entry may send a request to a cold upstream at Now
// without exceeding its part of the limit PerSecond.
bool mayTakeWhileCold(const UpstreamState &State, const PlacementLimits &Limits,
                      double PerSecond, TimePoint Now);

// Returns the load that all entries together put on the upstream.
UpstreamLoad totalLoad(const UpstreamState &State);

// Returns the life of the instance that takes Of's requests. See InstanceLife.
InstanceLife lifeOf(const Upstream &Of);

// Returns whether a request that was placed at Key may still be sent there: the
// upstream exists, isn't leaving and hasn't asked for a pause.
bool maySend(const UpstreamBook &Book, const UpstreamKey &Key,
             TimePoint NowWithSuspension);

// Records that Life ended at EndedAt: no request is placed there until the
// platform's list has had time to show it.
void noteLifeEnded(UpstreamBook &Book, const InstanceLife &Life,
                   TimePoint EndedAt);

// Records that another entry found a crash of Ended at EndedAt: its upstream is
// used only while no other one can take a request. Only the connection to that
// entry may have failed, so an upstream that has made progress here since then
// is used as before.
void noteCrashReported(UpstreamBook &Book, const CrashId &Ended,
                       TimePoint EndedAt);

// Returns whether Life has ended, as far as is known at Now.
bool hasEnded(const UpstreamBook &Book, const InstanceLife &Life,
              TimePoint Now);

// Erases the records of ended lives that the list has had time to show.
void eraseEndedLives(UpstreamBook &Book, TimePoint Now);

// Replaces the set of usable upstreams. Upstreams that remain keep their state;
// all others are erased.
void updateUpstreams(UpstreamBook &Book, const std::vector<Upstream> &Usable);

// Records that a request was sent to Key.
void noteSent(UpstreamBook &Book, const UpstreamKey &Key,
              const PlacementQuery &Query, TimePoint Now);

// Records the first event of a request with PromptTokens.
void noteFirstEvent(UpstreamBook &Book, const UpstreamKey &Key,
                    std::int64_t PromptTokens);

// Records the time between two events of a request.
void noteGap(UpstreamBook &Book, const UpstreamKey &Key, Duration Observed,
             const EngineShape &Engine);

// Records the end of a request. Failed means that the upstream itself failed.
void noteEnded(UpstreamBook &Book, const UpstreamKey &Key, bool Failed);

// Records that Key has sent data for a request. Ends an avoidance as stalled.
void noteProgress(UpstreamBook &Book, const UpstreamKey &Key, TimePoint Now);

// A request that is being answered makes progress with each pass, at most every
// 110 ms. Later than this a group no longer counts as making progress.
inline constexpr Duration ProgressMaxAge = milliseconds(250);

// Returns whether the group of Member makes progress at Now: it has just
// answered a request of this entry, or more peers report progress than a stall.
bool groupMakesProgress(const UpstreamBook &Book, const Instance &Member,
                        TimePoint Now);

// Until Until, Key gets no new request while another upstream can take it; if
// Reason is Stalled, it gets none at all.
void avoidUpstream(UpstreamBook &Book, const UpstreamKey &Key,
                   AvoidReason Reason, TimePoint Until);

// Replaces the peers' load at each upstream; zero where Loads has no entry.
void setPeerLoads(UpstreamBook &Book,
                  const std::map<UpstreamKey, UpstreamLoad> &Loads);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_UPSTREAMBOOK_H
