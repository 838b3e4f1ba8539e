// What this entry knows of each upstream's load and health, and the choice of
// an upstream for a request. No I/O; time comes from the caller.
#ifndef SAMPHIREHILL_SERVING_UPSTREAMBOOK_H
#define SAMPHIREHILL_SERVING_UPSTREAMBOOK_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/InstanceNotices.h"

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

// Places that are as good as each other for a request: those of a service's
// model, or of a plain service (no model).
struct ServiceModel {
  ServiceId Service;
  std::string Model;

  auto operator<=>(const ServiceModel &) const = default;
};

// Work of one entry at one upstream.
struct UpstreamLoad {
  int Running = 0; // requests
  // Prompt tokens of those that have sent nothing yet: they are read one after
  // the other, so each makes the next first event later.
  std::int64_t PendingTokens = 0;
  // Entries that have seen none of their requests there move for a while, and
  // those that have just seen one move. One entry's request alone may only be
  // slow.
  int StalledBy = 0;
  int MovingBy = 0;

  bool operator==(const UpstreamLoad &) const = default;
};

// Adds the load of other entries.
UpstreamLoad &operator+=(UpstreamLoad &Sum, const UpstreamLoad &Load);
// Takes out what Sum includes of Load; no figure falls below zero.
UpstreamLoad &operator-=(UpstreamLoad &Sum, const UpstreamLoad &Load);

// Tells whether the entries that Load sums up see the upstream stalled.
bool reportedStalled(const UpstreamLoad &Load);
bool reportedProgressing(const UpstreamLoad &Load);

struct UpstreamState {
  Upstream Info;
  UpstreamLoad OwnLoad;
  UpstreamLoad PeerLoad; // of the other entries, by their last reports
  // How much longer its events take than its load explains; 1: as expected.
  double Slowness = 1.0;
  TimePoint LastProgress{}; // of any request of this entry, or the first sent
  TimePoint LastAnswerAt{}; // when a request of this entry last got an answer
  TimePoint AvoidUntil{};
  AvoidReason Avoid = AvoidReason::None;
  double FailureShare = 0; // recent requests that failed, 0 to 1
  double ColdTokens = 0;   // requests that may be sent now while it is cold
  TimePoint ColdTokensAt{};
};

struct PlacementLimits {
  // How much later an upstream of another zone is taken to answer: the delay
  // between zones, and a little for the bytes that cross them.
  Duration OtherZonePenalty = milliseconds(6);
  // Time by which an instance that fails all requests ranks behind others.
  Duration FailurePenalty = milliseconds(400);
  // Time by which an upstream all of whose places are taken ranks behind an
  // empty one, with the square of the part taken, where the news is old.
  Duration OccupancyPenalty = milliseconds(100);
  // Part of the time left that a whole answer may be expected to take; an
  // upstream that needs more ranks behind by what it needs.
  double AnswerShare = 0.75;
  // While more is asked than is served, places are left free for what comes to
  // a group within the age of the news: so many standard deviations of that
  // number. What is sent beyond a group's places waits in the engine's queue.
  double FreeDeviations = 2.0;
  // For each further place that is free by the news, the entries may fill so
  // many: not all of them ask at one time.
  double Overbooking = 2.0;
  // Part of this entry's places that requests may fill that can no longer meet
  // their objective. The others are there for those that can.
  double LateShare = 0.3;
  // Part of its objective within which a request's first event must be expected
  // at an upstream where prompts wait. What would come later waits here, where
  // the order can still be chosen.
  double ObjectiveShare = 0.7;
  // Mean time of a plain service's request, for ranking its instances.
  Duration PlainRequestTime = milliseconds(40);
  // Age of what is known of the other entries' load. They choose by the same
  // news: without regard to what they send meanwhile all would choose the
  // upstream that looked best, at once. Zero: no others.
  Duration ReportAge{};
  // Over how many times that age the loads are levelled. Requests that are
  // placed by old news correct it late; who corrects all of a difference within
  // the delay makes it grow (Franklin, "Feedback Control of Dynamic Systems",
  // on dead time).
  double LevelingHorizon = 3.0;
  // Whether to expect at least one request at each upstream meanwhile, however
  // little runs: many entries may begin at once.
  bool ManyEntries = false;
  // Share of a cold upstream's request rate that one entry may use; the sum
  // over all entries stays below the operators' bound.
  int Entries = 1;
  // The other entries and this one. Where they are more than half the rate of a
  // cold upstream, only so many of them, by rendezvous, send it anything.
  std::vector<EntryId> Others;
  EntryId Self;
};

struct PlacementQuery {
  ServiceId Service;
  std::string Model;
  ZoneId OwnZone;
  double ColdPerSecond = 0; // over all entries; 0: no limit
  std::set<UpstreamKey> Tried;
  // Requests beyond the slots that an upstream may hold; plain services queue.
  int ExtraSlots = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t OutputTokens = 0; // at most
  Duration TimeLeft{};
  Duration Objective{};                // for the first event
  const EngineShape *Engine = nullptr; // null: a plain service
  // This entry's part of what callers ask of the places, 0 to 1.
  double DemandShare = 1.0;
  bool Late = false;  // it can no longer meet its objective
  bool Begun = false; // an upstream has worked on it: it takes any free place
  // Uniform in [0, 1): chooses among the upstreams that are expected to be
  // equally good once the other entries have sent what they send meanwhile.
  double Draw = 0;
  TimePoint NowWithSuspension{}; // of the clock of InstanceNotices
};

// Returns the expected time to the first event of a request with PromptTokens
// at an upstream with Load. Requests are read in the order of their arrival,
// one chunk in each pass, and each pass moves all running requests on.
Duration expectedFirstEvent(const UpstreamLoad &Load, std::int64_t PromptTokens,
                            const EngineShape &Engine, double Pace);

// Returns the expected pause between two events at an upstream with Load.
Duration expectedGap(const UpstreamLoad &Load, const EngineShape &Engine,
                     double Pace);

enum class PlacementFailure {
  Absent,
  Full,
  Quiet, // all that could serve have asked for a pause
};

struct Placement {
  std::optional<UpstreamKey> Chosen;
  PlacementFailure Reason = PlacementFailure::Absent; // if nothing is chosen
  int Candidates = 0;
  TimePoint QuietUntil{}; // if all are quiet: when the first pause ends
};

struct UpstreamBook {
  PlacementLimits Limits;
  std::map<UpstreamKey, UpstreamState> Upstreams;
  InstanceNotices Notices;
  // Requests that callers ask of the other entries a second.
  std::map<ServiceModel, double> PeerDemand;
};

// Returns the life of the instance that takes Of's requests.
InstanceLife lifeOf(const Upstream &Of);

// Returns whether a request that was placed at Key may still be sent there.
bool maySend(const UpstreamBook &Book, const UpstreamKey &Key,
             TimePoint NowWithSuspension);

// Takes the usable upstreams. State of those that go on existing is kept; the
// others are forgotten.
void updateUpstreams(UpstreamBook &Book, const std::vector<Upstream> &Usable);

// Chooses an upstream that may take a request now: the least loaded one, or,
// where other entries choose by the same news, one with the odds by which all
// of them together would level the loads (Dahlin, "Interpreting stale load
// information", 1999).
Placement place(const UpstreamBook &Book, const PlacementQuery &Query,
                TimePoint Now);

// Counts a request as sent to Key.
void noteSent(UpstreamBook &Book, const UpstreamKey &Key,
              const PlacementQuery &Query, TimePoint Now);

// Counts the first answer to a request with PromptTokens.
void noteFirstEvent(UpstreamBook &Book, const UpstreamKey &Key,
                    std::int64_t PromptTokens);

// Notes the pause between two events of a request.
void noteGap(UpstreamBook &Book, const UpstreamKey &Key, Duration Observed,
             const EngineShape &Engine);

// Counts the end of a request. Failed tells a failure of the upstream itself.
void noteEnded(UpstreamBook &Book, const UpstreamKey &Key, bool Failed);

// Notes that Key has sent something.
void noteProgress(UpstreamBook &Book, const UpstreamKey &Key, TimePoint Now);

// A request that is being answered moves with each pass, at most 110 ms.
inline constexpr Duration ProgressMaxAge = milliseconds(250);

// Returns whether the group of Member answers requests at Now: those of this
// entry, or of more other entries than see it stall.
bool groupMakesProgress(const UpstreamBook &Book, const Instance &Member,
                        TimePoint Now);

// Keeps new work away from Key until Until.
void avoidUpstream(UpstreamBook &Book, const UpstreamKey &Key,
                   AvoidReason Reason, TimePoint Until);

// Replaces what other entries run.
void setPeerLoads(UpstreamBook &Book,
                  const std::map<UpstreamKey, UpstreamLoad> &Loads);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_UPSTREAMBOOK_H
