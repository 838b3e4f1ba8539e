// Which entries exist, which of the zone are heard, and who of the zone speaks
// for it. Down is a hint for routing and for the choice of the relay. Only the
// instance list or a newer incarnation confirms that an incarnation is gone.
//
// Growth of what one entry sends per second:
// - heartbeats: 4 * min(peers in the zone, MaxHeartbeatFanout). Does not depend
//   on the number of zones and stops growing at 17 entries in a zone;
// - summaries, from the relay only: 2 * min(other zones, MaxSummaryFanout).
// Where there are more peers or zones than the fan-out, each round serves the
// next ones in rotation.
#ifndef SAMPHIREHILL_MEMBERSHIP_LIVENESS_H
#define SAMPHIREHILL_MEMBERSHIP_LIVENESS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace samphirehill {

constexpr Duration HeartbeatInterval = milliseconds(250);
constexpr Duration SummaryInterval = milliseconds(500);
constexpr Duration SuspectAfter = seconds(1); // without a heartbeat
constexpr Duration DownAfter = seconds(2);
constexpr std::size_t MaxHeartbeatFanout = 16; // peers per heartbeat round
constexpr std::size_t MaxSummaryFanout = 8;    // zones per summary round

// Unheard: listed, but nothing was received since it was listed.
enum class Health { NoContact, Alive, Suspect, Down };

// An entry as the instance list or its own heartbeat shows it.
struct Member {
  EntryId Entry;
  ZoneId Zone;
  std::string Address; // of the peer link, "ip:port"
  bool Leaving = false;

  bool operator==(const Member &) const = default;
};

// The entries of the instance list, read from the platform.
struct InstanceListRead {
  std::uint64_t Revision = 0;
  std::vector<Member> Entries;
};

// A message of any kind arrived.
struct MessageReceived {
  EntryId From;
  Incarnation Started = 0;
};

// A heartbeat or summary arrived; it also counts as MessageReceived.
struct PeerStatusReceived {
  Member Sender;
  Incarnation Started = 0;
  bool Heartbeat = true; // false: a summary
};

// Call at least every HeartbeatInterval.
struct LivenessTick {};

using LivenessEvent = std::variant<InstanceListRead, MessageReceived,
                                   PeerStatusReceived, LivenessTick>;

struct SendHeartbeat {
  EntryId To;
  bool operator==(const SendHeartbeat &) const = default;
};
struct SendSummary {
  EntryId To;
  bool operator==(const SendSummary &) const = default;
};
struct HealthChanged {
  EntryId Entry;
  Health Now = Health::NoContact;
  bool operator==(const HealthChanged &) const = default;
};
// All incarnations of Entry up to and including UpTo have ended. UpTo is 0 if
// none was ever heard from.
struct ConfirmedGone {
  EntryId Entry;
  Incarnation UpTo = 0;
  bool operator==(const ConfirmedGone &) const = default;
};
// The entries to connect to changed; see members().
struct MembersChanged {
  bool operator==(const MembersChanged &) const = default;
};

using LivenessAction = std::variant<SendHeartbeat, SendSummary, HealthChanged,
                                    ConfirmedGone, MembersChanged>;

struct PeerRecord {
  Member Known;
  bool Listed = false; // in the newest instance list that was read
  Incarnation Started = 0;
  Health State = Health::NoContact;
  TimePoint LastReceivedAt; // heartbeat, or summary of another zone
  TimePoint FirstSeenAt;    // since when it is Unheard
};

// State of one process; start it with makeLiveness.
struct LivenessState {
  Member Self;
  Incarnation Started = 0;
  std::map<EntryId, PeerRecord> Peers;
  // The highest incarnation of each entry that is confirmed gone.
  std::map<EntryId, Incarnation> Gone;
  std::uint64_t ListRevision = 0;
  std::optional<TimePoint> NextHeartbeat;
  std::optional<TimePoint> NextSummary;
  std::size_t HeartbeatCursor = 0;
  std::size_t SummaryCursor = 0;
  std::uint64_t SummaryRound = 0;
  std::map<ZoneId, EntryId> RemoteRelays; // last sender of a summary
};

// Self's zone and seed peers are from the settings. Seeds may be empty.
LivenessState makeLiveness(Member Self, Incarnation Started,
                           const std::vector<Member> &Seeds, TimePoint Now);

// Applies Event at Now. A list older than one already read is ignored. An
// incarnation that is confirmed gone is ignored from then on. An entry that
// isn't listed is kept while it is heard and forgotten when it is down, which
// confirms nothing.
std::vector<LivenessAction> decide(LivenessState &State,
                                   const LivenessEvent &Event, TimePoint Now);

// How long a zone peer may be silent before it is suspect, and before it is
// down. These are SuspectAfter and DownAfter in zones of up to 17 entries; in
// larger ones each peer gets a heartbeat less often, and two turns may pass
// before it is suspect.
Duration suspectAfter(const LivenessState &State);
Duration downAfter(const LivenessState &State);

// The entry that speaks for the zone and the one that stands in: the lowest and
// second lowest id of the zone's entries that are neither down, unheard nor
// leaving. Self counts as live. These two also watch the platform, so that the
// number of watches grows with the zones only. Two processes may differ in
// their answer for a while; all that follows from it must be safe then.
struct ZoneRoles {
  EntryId Relay;
  std::optional<EntryId> Backup;
};
ZoneRoles zoneRoles(const LivenessState &State);
bool isRelay(const LivenessState &State);
bool watchesPlatform(const LivenessState &State);

// All entries to connect to, without Self, in the order of their ids.
std::vector<Member> members(const LivenessState &State);

// Entries of Self's zone that are not down, with Self, in order.
std::vector<EntryId> liveZoneEntries(const LivenessState &State);

// Health of Entry; Down if it isn't known, Alive for Self.
Health health(const LivenessState &State, const EntryId &Entry);

// Whether all calls of this incarnation come from a process that has ended.
bool isConfirmedGone(const LivenessState &State, const EntryId &Entry,
                     Incarnation Started);

} // namespace samphirehill

#endif // SAMPHIREHILL_MEMBERSHIP_LIVENESS_H
