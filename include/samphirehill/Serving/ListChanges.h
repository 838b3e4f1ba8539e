// Orders the changes of the platform's list of instances, which arrive from the
// store and from other entries: each change is applied once, and none replaces
// a newer one. An entry that gets the changes from a relay compares the digest
// of its list with the relay's to detect missed changes. No I/O.
#ifndef SAMPHIREHILL_SERVING_LISTCHANGES_H
#define SAMPHIREHILL_SERVING_LISTCHANGES_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/StoreEra.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill::serving {

// One object of the list, as of a change.
struct ListChange {
  std::string Name;
  std::int64_t Revision = 0; // of the change, in the platform's store
  bool Removed = false;
  std::optional<ListedInstance> Listed; // absent if it can't be decoded
  std::int64_t Era = 0; // of the store, in which Revision was given out

  bool operator==(const ListChange &) const = default;
};

inline StoreMark markOf(const ListChange &Change) {
  return {Change.Era, Change.Revision};
}

// What is known of the list's objects, and the recent changes to send.
struct ListChanges {
  struct Known {
    StoreMark Mark;
    bool Removed = false;
    TimePoint ChangedAt{};
  };
  std::map<std::string, Known> Objects; // by name
  // Digest of the names and revisions of the objects that exist.
  std::uint64_t Digest = 0;
  std::int64_t Era = 0; // of the store, when the complete list was read
  struct Recent {
    ListChange Change;
    TimePoint At{};    // when the change arrived
    int TimesSent = 0; // to the followers
  };
  std::map<std::string, Recent> ToSend; // by name; the newest of each
};

// Records a change. Returns whether it is newer than what is known of the
// object, so that the caller must apply it.
bool recordChange(ListChanges &Changes, const ListChange &Change,
                  TimePoint Now);

// Replaces what is known by the complete list All, read in Era. Changes of an
// earlier era are sent no more.
void replaceList(ListChanges &Changes, const std::vector<ListChange> &All,
                 std::int64_t Era, TimePoint Now);

// Drops changes that are too old to be sent, and removed objects whose late
// changes can no longer arrive.
void expireOldChanges(ListChanges &Changes, TimePoint Now);

// Returns the changes to send now to this entry's followers and counts them as
// sent: those sent the fewest times first, and no more than fit into a
// datagram. Each change is sent more than once, so that a lost datagram does no
// harm.
std::vector<ListChange> nextChangesToSend(ListChanges &Changes, TimePoint Now);

// How up to date an entry's list is, compared with the lists of its relays.
struct ListSync {
  // The newest mark as of which this entry's list equals the store's.
  StoreMark Synced;
  StoreMark Relayed;       // the newest mark of a relay's list
  TimePoint BehindSince{}; // time point zero: not behind the relays
  TimePoint ReadAt{};      // last read of missed changes from the store
};

// Notes whether a relay's list, as of Mark, is the same as this entry's.
void noteRelayedList(ListSync &Sync, const StoreMark &Mark, bool Same,
                     TimePoint Now);

// Notes that this entry's list equals the store's as of Mark.
void noteOwnList(ListSync &Sync, const StoreMark &Mark);

// Returns whether changes that no relay has sent must now be read from the
// store, and if so counts the read as made at Now. Pause is the minimum time
// between two such reads.
bool beginListReadIfDue(ListSync &Sync, Duration Pause, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_LISTCHANGES_H
