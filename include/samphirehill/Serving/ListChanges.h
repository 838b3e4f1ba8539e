// The order of changes of the platform's list of instances, which come from its
// store and from other entries: each is applied once, and none over a newer
// one. Entries that are told the list by a relay compare digests with it to
// notice what they have missed. No I/O.
#ifndef SAMPHIREHILL_SERVING_LISTCHANGES_H
#define SAMPHIREHILL_SERVING_LISTCHANGES_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Fleet.h"

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
  std::optional<ListedInstance> Listed; // absent if it can't be read

  bool operator==(const ListChange &) const = default;
};

struct ListChanges {
  struct Known {
    std::int64_t Revision = 0;
    bool Removed = false;
    TimePoint ChangedAt{};
  };
  std::map<std::string, Known> Objects; // by name
  std::uint64_t Digest = 0; // of the objects that exist, with their revisions
  struct Recent {
    ListChange Change;
    TimePoint At{};
    int Told = 0; // times
  };
  std::map<std::string, Recent> ToTell; // by name; the newest of each
};

// Takes a change. Returns whether it is to be applied: it is news.
bool recordChange(ListChanges &Changes, const ListChange &Change,
                  TimePoint Now);

// Takes a whole list, which replaces what is known.
void replaceList(ListChanges &Changes, const std::vector<ListChange> &All,
                 TimePoint Now);

// Drops what is too old to be told or remembered.
void expireOldChanges(ListChanges &Changes, TimePoint Now);

// Returns the changes to tell now to the entries that follow this one, those
// that were told least first and no more than fit a datagram. Each is told
// more than once, so that a lost datagram does no harm.
std::vector<ListChange> nextChangesToSend(ListChanges &Changes, TimePoint Now);

// How an entry's list stands to those of the relays that tell it.
struct ListSync {
  std::int64_t SyncedRevision = 0; // the own list was the store's at this
  std::int64_t ToldRevision = 0;   // newest of a relay's list
  TimePoint BehindSince{};         // time point zero: in step
  TimePoint ReadAt{};              // when the store was last asked for the rest
};

// Notes that a relay's list, as of Revision, is the own one, or isn't.
void noteRelayedList(ListSync &Sync, std::int64_t Revision, bool Same,
                     TimePoint Now);

// Notes that the own list is the store's as of Revision.
void noteOwnList(ListSync &Sync, std::int64_t Revision);

// Returns whether to ask the store for changes that no relay has told, and
// counts that as done. Pause is the least time between two such reads.
bool beginListReadIfDue(ListSync &Sync, Duration Pause, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_LISTCHANGES_H
