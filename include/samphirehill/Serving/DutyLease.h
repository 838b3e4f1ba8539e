// Decides which entry holds a duty, by a lease on an object in the platform's
// store. The fencing tokens of all orders under the lease derive from its term.
// Does no I/O.
//
// The holder renews the object periodically. Another entry takes the duty over,
// with a higher term, when it has seen no renewal for the length of the lease.
// The holder stops acting before that can happen. It measures the time since it
// sent its last successful renewal, by a clock that includes the time for which
// the machine was suspended.
//
// The store may be restored from a copy (see StoreEra.h). The record of the
// present holder may be lost with it, so no other entry takes the duty for the
// length of the lease after that, and terms rise by more than can be lost.
#ifndef SAMPHIREHILL_SERVING_DUTYLEASE_H
#define SAMPHIREHILL_SERVING_DUTYLEASE_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/ObjectStore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace samphirehill::serving {

// The value of a duty's object.
struct DutyRecord {
  std::string Owner;        // the entry that holds the duty; empty: released
  std::int64_t Term = 0;    // increases each time the duty is taken
  std::int64_t Renewal = 0; // number of renewals in this term
  std::int64_t Era = 0;     // of the store, in which the duty was taken

  bool operator==(const DutyRecord &) const = default;
};

std::string encodeDuty(const DutyRecord &Record);
// Returns nothing if Value isn't an encoded DutyRecord.
std::optional<DutyRecord> decodeDuty(const std::string &Value);

struct DutySettings {
  Duration Length = seconds(3); // of the lease
  // The holder stops acting this long before another entry may take over.
  Duration Margin = milliseconds(500);
  Duration RenewEvery = milliseconds(1'000);
  // An entry reads the object, and may take the duty, only when it has had no
  // report from the holder for this long.
  Duration HolderSilence = milliseconds(900);
  Duration ReadEvery = milliseconds(700);
  bool FirstStart = false; // no entry can have held the duty before
};

// One entry's view of the lease.
struct DutyLease {
  DutySettings Settings;
  std::string Self; // name of this entry
  // The object as last read or written, and the time since which it is not
  // known to have changed. Valid if Known.
  bool Known = false;
  std::int64_t Revision = 0;
  DutyRecord Record;
  TimePoint UnchangedSince{};
  // When this entry must stop acting as the holder.
  TimePoint HeldUntil{};
  // Only one call to the store runs at a time.
  bool CallRunning = false;
  TimePoint LastCallAt{};
  TimePoint LastHolderReportAt{};
  // When the object was read, until the next write begins.
  std::optional<TimePoint> ReadAt;
  std::int64_t Era = 0;         // of the store, as this entry knows it
  std::int64_t CallEra = 0;     // when the running call began
  std::int64_t HighestTerm = 0; // of which this entry has heard, in any era
  // Until then another entry may hold the duty by a record that is lost.
  TimePoint DoubtUntil{};
  // The era in which this entry may take the duty at once, as long as nobody
  // has taken it: no other entry can have held it when the store was restored.
  std::int64_t RetakeEra = 0;
};

enum class DutyCall { None, Read, Write };

// A call to the store.
struct DutyStep {
  DutyCall Call = DutyCall::None;
  StoredObject Object; // to be written, if Call is Write
};

// Records the store's era as its answers name it. Called before each of the
// functions below. If the store was restored, this entry no longer holds the
// duty.
void noteStoreEra(DutyLease &Lease, std::int64_t Era, TimePoint Now);

// Returns the call to make now, if any, and records it as running until its
// result is passed to handleDutyRead or handleDutyWrite.
DutyStep nextDutyStep(DutyLease &Lease, TimePoint Now);

// Processes the result of a read.
void handleDutyRead(DutyLease &Lease,
                    const Outcome<std::optional<StoredObject>> &Answer,
                    TimePoint Now);

// Processes the result of a write that began at BegunAt.
void handleDutyWrite(DutyLease &Lease, const Outcome<StoredObject> &Answer,
                     TimePoint BegunAt, TimePoint Now);

// Records a report of the holder: it holds the duty in Term and has renewed it
// Renewal times.
void noteHolderReport(DutyLease &Lease, std::int64_t Term, std::int64_t Renewal,
                      TimePoint Now);

// Returns whether this entry may act as the holder now.
bool holdsDuty(const DutyLease &Lease, TimePoint Now);

// Ends this entry's lease and returns the object to write to release the duty.
// Returns nothing if this entry doesn't hold the duty. Called when it stops.
std::optional<StoredObject> releaseDuty(DutyLease &Lease, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_DUTYLEASE_H
