// Keeps the blamed parts of prompts in the platform's store, for entries that
// are cut off from those that know of the crashes but not from the store, and
// for those that start when no other entry lives.
#ifndef SAMPHIREHILL_SERVING_BLAMESTORE_H
#define SAMPHIREHILL_SERVING_BLAMESTORE_H

#include "samphirehill/Limits/PartSuspects.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/ObjectStore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphirehill::serving {

// Returns the object's value for a blamed part: its crashes and trials, with
// their wall-clock times. Empty lists if Part is not blamed (any more).
std::string encodeBlame(const PartSuspects &Suspects, PromptPart Part,
                        TimePoint Now, WallTime WallNow);

// Returns what an object of the store reports. Anything that is not of the form
// of encodeBlame is left out.
SuspectReport decodeBlame(const StoredObject &Object, TimePoint Now,
                          WallTime WallNow);

class BlameStore {
public:
  BlameStore(TimerService &Timers, const ObjectStore &Store,
             PartSuspects &Suspects)
      : Timers(Timers), Store(Store), Suspects(Suspects) {}

  // Writes the parts that have come to be blamed, and those that this entry has
  // written and that no longer are. One entry among those in contact does so.
  void writeChanges();

  // Records that the store was restored from a copy: what this entry has
  // written may be lost, or be there in an earlier form.
  void noteStoreRestored() { Restored = !Parts.empty(); }

  // Reads the blamed parts, unless that has succeeded before; at most once a
  // second.
  void readAtStart();
  bool hasRead() const { return HasRead; }

  // Reads the blamed parts if there are suspicions that they may confirm; at
  // most once a second.
  void readIfSuspecting();

private:
  void write(PromptPart Part);
  void read();
  void apply(const StoredObject &Object);
  // Reads again which of the parts that this entry has written are there.
  void readWritten();
  void compareWritten(const std::vector<StoredObject> &Listed);

  struct Written {
    std::int64_t Revision = 0;
    bool Blamed = false; // as last written
    bool Running = false;
    TimePoint RetryAt{};
  };

  TimerService &Timers;
  const ObjectStore &Store;
  PartSuspects &Suspects;
  std::map<PromptPart, Written> Parts;
  // The store was restored, or holds a part at a revision that isn't known, and
  // Parts has not been compared with it since.
  bool Restored = false;
  bool Comparing = false;
  TimePoint CompareAt{}; // at the earliest
  bool HasRead = false;
  bool Reading = false;
  TimePoint LastReadAt{};
  // Callbacks of the store may outlive this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_BLAMESTORE_H
