// Keeps the requests that are refused because they crash upstreams in the
// platform's store, for entries that start when no entry is left that knows
// them.
#ifndef SAMPHIREHILL_SERVING_CRASHSTORE_H
#define SAMPHIREHILL_SERVING_CRASHSTORE_H

#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/CrashRecord.h"
#include "samphirehill/Serving/ObjectStore.h"
#include "samphirehill/Serving/ServingMetrics.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill::serving {

// Returns the object's value for Request: its latest break-offs, with their
// wall-clock times.
std::string encodeBreakOffs(const CrashRecord &Record, std::uint64_t Request,
                            TimePoint Now, WallTime WallNow);

// Returns the break-offs in an object of the store, none of them in the future.
// Leaves out what is not of the form of encodeBreakOffs.
std::vector<BreakOff> decodeBreakOffs(const StoredObject &Object, TimePoint Now,
                                      WallTime WallNow);

class CrashStore {
public:
  CrashStore(TimerService &Timers, const ObjectStore &Store,
             CrashRecord &Record, ServingMetrics &Metrics)
      : Timers(Timers), Store(Store), Record(Record), Metrics(Metrics) {}

  // Reads the requests in the store, unless that has succeeded before.
  void readAtStart();
  bool hasRead() const { return Read; }

  // Writes Request if it is refused now. This entry has just seen it break off.
  void noteOwnBreakOff(std::uint64_t Request);

  // Writes the refused requests that are not in the store, and removes from it
  // those that no longer are. IsFirst: among the entries in contact, this one
  // does so for requests that another entry has seen break off.
  void update(bool IsFirst);

  // Records that the store was restored from a copy: what was written may be
  // lost, and what was removed may be back.
  void noteStoreRestored();

private:
  struct Kept {
    TimePoint RefusedSince{}; // as far as this entry knows
    std::int64_t Revision = 0;
    std::size_t Stored = 0; // break-offs in the object
    bool Own = false;       // this entry has seen a break-off of it
    bool Checked = false;   // the object has been read
    bool Running = false;   // a call for the object
    TimePoint RetryAt{};
  };

  // Adds the refused requests to Requests, as far as there is room.
  void keepRefused();
  bool isDue(const Kept &Each, std::uint64_t Request, bool IsFirst) const;
  void write(std::uint64_t Request);
  // Reads the object of Request, to write what it lacks.
  void check(std::uint64_t Request);
  void applyList(const std::vector<StoredObject> &Listed);
  // Has the objects of requests that are not refused removed after Delay.
  void removeSoon(Duration Delay);
  void removeExpired();
  void removeIfExpired(const StoredObject &Object);
  void noteFailed(const char *Call, const Error &Failed);

  TimerService &Timers;
  const ObjectStore &Store;
  CrashRecord &Record;
  ServingMetrics &Metrics;
  std::map<std::uint64_t, Kept> Requests; // by fingerprint
  bool Read = false;
  bool Reading = false;
  TimePoint ReadAgainAt{};
  std::optional<TimePoint> RemoveAt; // when to look for objects to remove
  bool Removing = false;
  // Callbacks of the store may outlive this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_CRASHSTORE_H
