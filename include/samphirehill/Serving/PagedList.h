// Assembles the list of a kind of objects from the pages in which the
// platform's store returns it. The pages are read one after the other, so they
// show the store at different revisions; the changes since the first page make
// them one consistent list. No I/O.
#ifndef SAMPHIREHILL_SERVING_PAGEDLIST_H
#define SAMPHIREHILL_SERVING_PAGEDLIST_H

#include "samphirehill/Serving/ObjectStore.h"

#include <cstdint>
#include <vector>

namespace samphirehill::serving {

// An object of a list, or a changed or removed object of a watch.
struct ObjectChange {
  StoredObject Object;
  bool Removed = false;

  bool operator==(const ObjectChange &) const = default;
};

struct PagedList {
  std::vector<StoredObject> Objects;
  // The store's revision at the first page, and at the last one read; 0: none.
  std::int64_t FirstRevision = 0;
  std::int64_t LastRevision = 0;

  bool operator==(const PagedList &) const = default;
};

// Adds the objects of the next page, as of Revision.
void addPage(PagedList &List, std::vector<ObjectChange> Page,
             std::int64_t Revision);

// Returns whether the store has changed while the pages were read: an object of
// an earlier page may have changed since then.
bool mayLackChanges(const PagedList &List);

// Applies the changes since FirstRevision, in their order. A change that is
// older than the object listed is already included, so it has no effect.
void applyChanges(PagedList &List, const std::vector<ObjectChange> &Changes);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PAGEDLIST_H
