// Failure detection between entries: which entries exist, which entries of this
// zone send heartbeats, and which of them is the relay, the entry that sends
// the zone's summaries to other zones. Health::Down is a hint for routing and
// for the choice of the relay. Only the instance list or a newer incarnation
// confirms that an incarnation is gone.
//
// Growth of what one entry sends per second:
// - heartbeats: 4 * min(peers in the zone, MaxHeartbeatFanout). Does not depend
//   on the number of zones and stops growing at 17 entries in a zone;
// - summaries, from the relay only: 2 * min(other zones, MaxSummaryFanout).
// Where there are more peers or zones than the fan-out, each round sends to the
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
constexpr Duration SuspectAfter = seconds(1);  // since the last heartbeat
constexpr Duration DownAfter = seconds(2);     // since the last heartbeat
constexpr std::size_t MaxHeartbeatFanout = 16; // peers per heartbeat round
constexpr std::size_t MaxSummaryFanout = 8;    // zones per summary round

// NoContact: the entry is listed or a seed, but no heartbeat was received yet.
enum class Health { NoContact, Alive, Suspect, Down };

// An entry as described by the instance list, a seed setting or its own last
// heartbeat or summary.
struct Member {
  EntryId Entry;
  ZoneId Zone;
  std::string Address; // of the peer link, "ip:port"
  bool Leaving = false;

  bool operator==(const Member &) const = default;
};

// Event: the instance list was read from the platform.
struct InstanceListRead {
  std::uint64_t Revision = 0;
  std::vector<Member> Entries;
  // The platform has sent all instances, not changes since a revision. Its
  // revision may be lower than before: the platform was restored from a copy.
  bool Complete = false;
};

// Event: a message of any kind arrived from an entry.
struct MessageReceived {
  EntryId From;
  Incarnation Started = 0;
};

// Event: a heartbeat or summary arrived. The sender's incarnation is handled as
// for MessageReceived, so that no second event is needed.
struct PeerStatusReceived {
  Member Sender;
  Incarnation Started = 0;
  bool Heartbeat = true; // false: a summary
};

// Event: time passed. Pass this event at least every HeartbeatInterval.
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
// no message of any incarnation was ever received.
struct ConfirmedGone {
  EntryId Entry;
  Incarnation UpTo = 0;
  bool operator==(const ConfirmedGone &) const = default;
};
// The list of entries to connect to changed; see members().
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
  TimePoint FirstSeenAt;    // first listed; silence counts from here
};

// Liveness state of one process; makeLiveness creates it.
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

// Creates the state of a process that starts. Self's zone and the seed peers
// come from the settings. Seeds may be empty.
LivenessState makeLiveness(Member Self, Incarnation Started,
                           const std::vector<Member> &Seeds, TimePoint Now);

// Applies Event at Now and returns the actions for the caller to carry out. An
// instance list not newer than one already read is ignored. Messages of an
// incarnation that is confirmed gone are ignored. An entry that isn't listed is
// kept while heartbeats or summaries arrive and removed when it is down (in
// another zone: after 30 s of silence). The removal doesn't confirm that its
// process has ended.
std::vector<LivenessAction> decide(LivenessState &State,
                                   const LivenessEvent &Event, TimePoint Now);

// How long a zone peer may send no heartbeat before it is suspect, and before
// it is down. These are SuspectAfter and DownAfter in zones of up to 17
// entries. In larger zones each peer gets a heartbeat less often, so the limits
// grow: two complete rotations may pass before a peer is suspect.
Duration suspectAfter(const LivenessState &State);
Duration downAfter(const LivenessState &State);

// The zone's relay and its backup: the entries with the lowest and the second
// lowest id among those that are neither Down, NoContact nor leaving. Self
// counts as live. Relay and backup also watch the platform, so that the number
// of watches grows with the number of zones only. Two processes may compute
// different roles for a while; whatever uses the roles must be safe then.
struct ZoneRoles {
  EntryId Relay;
  std::optional<EntryId> Backup;
};
ZoneRoles zoneRoles(const LivenessState &State);
bool isRelay(const LivenessState &State);
bool watchesPlatform(const LivenessState &State);

// All entries to connect to, without Self, in the order of their ids.
std::vector<Member> members(const LivenessState &State);

// Entries of Self's zone that are not Down, with Self, in the order of their
// ids. Entries with NoContact are among them.
std::vector<EntryId> liveZoneEntries(const LivenessState &State);

// Health of Entry: Down if Entry isn't among the peers, Alive for Self.
Health health(const LivenessState &State, const EntryId &Entry);

// Whether this incarnation of Entry is confirmed gone: all of its calls come
// from a process that has ended.
bool isConfirmedGone(const LivenessState &State, const EntryId &Entry,
                     Incarnation Started);

} // namespace samphirehill

#endif // SAMPHIREHILL_MEMBERSHIP_LIVENESS_H
