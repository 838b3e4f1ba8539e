// The state that every entry holds a copy of: operators' texts, the state of
// each zone, the close mark and placements. Each value has a version. Merges
// are monotonic: the higher version wins and nobody goes back. Entries tell
// each other versions in heartbeats and summaries; whoever is behind pulls.
//
// A process that starts collects versions from its seed peers before anything
// is put in force, so that a stale read of the platform after a restart brings
// no old value back.
//
// Growth of what one entry sends:
// - versions in a heartbeat or summary: 2, or 16 while a peer's digest differs.
//   Doesn't depend on the fleet or on the number of values;
// - pulls: one per changed value, and one more per PullTimeout without answer;
// - pushes: per changed value at most one for each peer that was sent a
//   heartbeat or summary, hence bounded as the fan-outs of Liveness.h are;
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
// the close mark lie together in the object zones/state, each with its stamp.
inline constexpr const char *ConfigKind = "config";
inline constexpr const char *PlacementKind = "placement";
inline constexpr const char *ZoneKind = "zone";
inline constexpr const char *CloseKind = "close";
inline constexpr const char *CloseName = "state";

constexpr Duration PullTimeout = milliseconds(250);
// A joining entry that has an answer waits this long for the other seeds.
constexpr Duration JoinSettleTime = seconds(1);
// A joining entry to which no joined peer answers goes on with what it read
// from the platform after this time.
constexpr Duration JoinAloneTimeout = seconds(3);
constexpr std::size_t RecentNoteCount =
    2; // versions told, newest changes first
constexpr std::size_t DivergedNoteCount =
    14; // and others, while a digest differs
// How long a peer's different digest raises the number of versions told.
constexpr Duration DivergenceWindow = seconds(1);

struct SharedKey {
  std::string Kind;
  std::string Name;
  auto operator<=>(const SharedKey &) const = default;
};

// Counter decides; Origin decides between two changes that took the same
// counter at once. Origin is empty for platform objects and "<operator>/<change
// id>" for zone values and the close mark: one version must never name two
// values, even if an operator gives different states to two entries that are
// cut off from each other. {0, ""} is below every version.
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
// A peer wants all versions.
struct VersionsRequested {
  EntryId From;
};
// The answer to RequestVersions.
struct VersionsAnswered {
  EntryId From;
  bool Ready = false; // From has itself joined
  std::vector<VersionNote> Notes;
};
// Objects read from or shown by a watch of the platform. Complete: all objects
// of the shared kinds were read. ZonesObject is the version of zones/state if
// it was among them.
struct PlatformRead {
  std::vector<SharedItem> Items;
  bool Complete = false;
  std::optional<std::uint64_t> ZonesObject;
};
// An operator gave a zone state or the close mark to this entry directly.
struct OperatorChange {
  SharedItem Item;
};
// Call at least every HeartbeatInterval.
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
// Item is newer than all before it under its key. Given only once joined.
struct PutInForce {
  SharedItem Item;
};
// Write zones/state with If-Match ObjectVersion; the value is
// zonesObjectText(Items). On conflict do nothing: the next read decides again.
struct StoreZones {
  std::uint64_t ObjectVersion = 0;
  std::vector<SharedItem> Items;
};
// The entry may become ready. Everything known was put in force before.
struct Joined {};

using SharedAction =
    std::variant<SendPull, SendPush, RequestVersions, AnswerVersions,
                 PutInForce, StoreZones, Joined>;

struct HeldValue {
  SharedItem Item;
  std::uint64_t ChangeNumber = 0; // rises with each change at this process
};

struct PendingPull {
  SharedVersion Wanted;
  TimePoint Until;
};

// The latest answer of one seed. The versions of a joined seed must be held
// before joining, unless the seed has been silent for JoinAloneTimeout since:
// it may have ended with a value that nobody else has.
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

// The versions to tell in this round's heartbeats or summaries: call it once
// per round and send the result to all peers of the round.
std::vector<VersionNote> notesToSend(SharedState &State, TimePoint Now);

// Version held under Key; {0, ""} if none.
SharedVersion heldVersion(const SharedState &State, const SharedKey &Key);

// Value held under Key, or nullptr.
const SharedItem *heldItem(const SharedState &State, const SharedKey &Key);

// Whether zone Zone is out. A zone without a value is in.
bool isZoneOut(const SharedState &State, const ZoneId &Zone);

// Whether the close mark is set.
bool isClosing(const SharedState &State);

// The stamp for an operator's new value under Key: above all that are known
// here. ChangeId must be new for each change; whoever gives one change to
// several entries uses one stamp for all.
SharedVersion nextStamp(const SharedState &State, const SharedKey &Key,
                        const std::string &Operator,
                        const std::string &ChangeId);

// The value of the object zones/state as JSON text, and the reverse. Items of
// other kinds are left out. A text that breaks the shape is a BadAnswer.
std::string zonesObjectText(const std::vector<SharedItem> &Items);
Result<std::vector<SharedItem>> parseZonesObject(const std::string &Text);

} // namespace samphirehill

#endif // SAMPHIREHILL_MEMBERSHIP_SHAREDSTATE_H
