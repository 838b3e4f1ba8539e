// The state that is replicated to every entry: operators' configuration texts,
// the state of each zone, the close mark and placements. Each value has a
// version. Merges are monotonic: the higher version wins, and no entry returns
// to a lower one. Entries send each other versions in heartbeats and summaries;
// an entry that receives a higher version than its own pulls the value.
//
// A process that starts collects versions from its seed peers before it puts
// any value in force (starts to use it), so that a stale read of the platform
// after a restart brings no old value back.
//
// Growth of what one entry sends:
// - versions in a heartbeat or summary: 2, or 16 while a peer's digest differs.
//   Doesn't depend on the fleet or on the number of values;
// - pulls: one per changed value, and one more per PullTimeout without answer;
// - pushes: per changed value at most one for each peer to which a heartbeat or
//   summary was sent, hence bounded by the fan-outs of Liveness.h;
// - requests for versions: one per seed and PullTimeout, only while joining.
//   The answer lists all versions, about 30 bytes for each zone and operator.
#ifndef SAMPHIREHILL_MEMBERSHIP_SHAREDSTATE_H
#define SAMPHIREHILL_MEMBERSHIP_SHAREDSTATE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace samphirehill {

// Kinds of values. A config or placement has the name and the version number of
// its platform object. A zone value is named by its zone and holds "in" or
// "out"; the close mark is named "state" and holds "closing". Zone values and
// the close mark are stored together in the object zones/state, each with its
// version, called its stamp there.
inline constexpr const char *ConfigKind = "config";
inline constexpr const char *PlacementKind = "placement";
inline constexpr const char *ZoneKind = "zone";
inline constexpr const char *CloseKind = "close";
inline constexpr const char *CloseName = "state";

// A pull or a request for versions is repeated after this time.
constexpr Duration PullTimeout = milliseconds(250);
// A joining entry waits this long for the other seeds after the first answer of
// a seed that has joined.
constexpr Duration JoinSettleTime = seconds(1);
// A joining entry that gets no answer from a joined seed joins after this time
// with the values that it read from the platform. An answer
// that is older than this is ignored.
constexpr Duration JoinAloneTimeout = seconds(3);
// Versions in each heartbeat or summary, newest changes first.
constexpr std::size_t RecentNoteCount = 2;
// Further versions in each, in rotation, while a peer's digest differs.
constexpr std::size_t DivergedNoteCount = 14;
// How long a peer's different digest raises the number of versions sent.
constexpr Duration DivergenceWindow = seconds(1);

struct SharedKey {
  std::string Kind;
  std::string Name;
  auto operator<=>(const SharedKey &) const = default;
};

// Versions are ordered by Counter, then by Origin, which orders concurrent
// changes with the same counter. Origin is empty for platform objects and
// "<operator>/<change id>" for zone values and the close mark: one version must
// never name two values, even if an operator sends different states to two
// entries that are partitioned from each other. {0, ""} is below every version.
struct SharedVersion {
  std::uint64_t Counter = 0;
  std::string Origin;
  auto operator<=>(const SharedVersion &) const = default;
};

struct SharedItem {
  SharedKey Key;
  SharedVersion Version;
  std::string Value;
  bool operator==(const SharedItem &) const = default;
};

struct VersionNote {
  SharedKey Key;
  SharedVersion Version;
  bool operator==(const VersionNote &) const = default;
};

// Events. VersionsReceived is the content of a heartbeat or summary.
struct VersionsReceived {
  EntryId From;
  std::uint64_t Digest = 0;
  std::vector<VersionNote> Notes;
};
struct PullReceived {
  EntryId From;
  SharedKey Key;
  SharedVersion Have;
};
struct PushReceived {
  SharedItem Item;
};
// A peer requested all versions; see RequestVersions.
struct VersionsRequested {
  EntryId From;
};
// The answer to RequestVersions.
struct VersionsAnswered {
  EntryId From;
  bool Ready = false; // From has itself joined
  std::vector<VersionNote> Notes;
};
// Objects from a read or a watch of the platform. Complete: all objects of the
// shared kinds were read. ZonesObject is the version of zones/state if that
// object was among them.
struct PlatformRead {
  std::vector<SharedItem> Items;
  bool Complete = false;
  std::optional<std::uint64_t> ZonesObject;
};
// An operator sent a zone state or the close mark to this entry directly.
struct OperatorChange {
  SharedItem Item;
};
// Time passed. Pass this event at least every HeartbeatInterval.
struct SharedTick {};

using SharedEvent = std::variant<VersionsReceived, PullReceived, PushReceived,
                                 VersionsRequested, VersionsAnswered,
                                 PlatformRead, OperatorChange, SharedTick>;

// Actions.
struct SendPull {
  EntryId To;
  SharedKey Key;
  SharedVersion Have;
};
struct SendPush {
  EntryId To;
  SharedItem Item;
};
struct RequestVersions {
  EntryId To;
};
struct AnswerVersions {
  EntryId To;
  bool Ready = false;
  std::vector<VersionNote> Notes;
};
// Start to use Item, which is newer than all earlier values of its key.
// Returned only once the entry has joined.
struct PutInForce {
  SharedItem Item;
};
// Write zones/state with If-Match ObjectVersion; the value is
// zonesObjectText(Items). On a version conflict do nothing: the next read of
// the platform returns StoreZones again if it is still needed.
struct StoreZones {
  std::uint64_t ObjectVersion = 0;
  std::vector<SharedItem> Items;
};
// The entry has joined and may become ready. PutInForce was returned before for
// every value it holds.
struct Joined {};

using SharedAction =
    std::variant<SendPull, SendPush, RequestVersions, AnswerVersions,
                 PutInForce, StoreZones, Joined>;

struct HeldValue {
  SharedItem Item;
  std::uint64_t ChangeNumber = 0; // of Changes; rises with each change here
};

struct PendingPull {
  SharedVersion Wanted;
  TimePoint Until;
};

// The latest answer of one seed. The versions sent by a joined seed must be
// held before joining, unless the seed has been silent for JoinAloneTimeout
// since: the seed may have ended with a value that no other entry has.
struct JoinAnswer {
  bool Ready = false;
  std::vector<VersionNote> Notes;
  TimePoint At;
};

struct JoinState {
  std::set<EntryId> Seeds;
  std::map<EntryId, JoinAnswer> Answers;
  bool PlatformComplete = false;
  TimePoint Started;
  std::optional<TimePoint> FirstReadyAnswer;
  std::optional<TimePoint> NextRequest;
};

struct SharedState {
  std::map<SharedKey, HeldValue> Values;
  std::map<SharedKey, PendingPull> Pulls;
  std::uint64_t Changes = 0;
  std::uint64_t Digest = 0;
  std::size_t Cursor = 0;
  std::optional<TimePoint> DivergedUntil;
  bool IsJoined = false;
  JoinState Join;
};

// Starts joining. Seeds are the seed peers of the settings and, if known, the
// entries of the zone, without the process itself.
SharedState makeSharedState(const std::vector<EntryId> &Seeds, TimePoint Now);

// Applies Event at Now. Values and versions not above those held change
// nothing, whatever their source.
std::vector<SharedAction> decide(SharedState &State, const SharedEvent &Event,
                                 TimePoint Now);

// The versions to send in this round's heartbeats or summaries. Call this once
// per round, as it advances the rotation, and send the result to all peers of
// the round.
std::vector<VersionNote> notesToSend(SharedState &State, TimePoint Now);

// Version of the value held under Key; {0, ""} if there is none.
SharedVersion heldVersion(const SharedState &State, const SharedKey &Key);

// Value held under Key, or nullptr. Valid until State changes.
const SharedItem *heldItem(const SharedState &State, const SharedKey &Key);

// Whether zone Zone is out. A zone without a value is in.
bool isZoneOut(const SharedState &State, const ZoneId &Zone);

// Whether the close mark is set.
bool isClosing(const SharedState &State);

// The stamp (version) for an operator's new value under Key: above the version
// held here. ChangeId must be new for each change. A caller that sends one
// change to several entries uses one stamp for all of them.
SharedVersion nextStamp(const SharedState &State, const SharedKey &Key,
                        const std::string &Operator,
                        const std::string &ChangeId);

// The value of the object zones/state as JSON text, and the reverse. Items of
// other kinds are left out. parseZonesObject fails with BadAnswer if Text isn't
// JSON of that shape.
std::string zonesObjectText(const std::vector<SharedItem> &Items);
Result<std::vector<SharedItem>> parseZonesObject(const std::string &Text);

} // namespace samphirehill

#endif // SAMPHIREHILL_MEMBERSHIP_SHAREDSTATE_H
