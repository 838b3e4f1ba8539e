// Decides which entry holds a duty, by a lease in the platform's store. The
// lease's term is the fence of every order given under it. No I/O.
//
// The holder renews the object; another entry takes it over, with a higher
// term, after it has seen no renewal for the lease's length. The holder stops
// acting before that, counted from when it sent its last successful renewal, on
// a clock that counts suspension.
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
  std::string Owner; // empty: given back
  std::int64_t Term = 0;
  std::int64_t Renewal = 0;

  bool operator==(const DutyRecord &) const = default;
};

std::string encodeDuty(const DutyRecord &Record);
// Returns nothing if Value isn't a duty's.
std::optional<DutyRecord> decodeDuty(const std::string &Value);

struct DutySettings {
  Duration Length = seconds(3);
  // The holder stops acting this long before its lease may be taken over.
  Duration Margin = milliseconds(500);
  Duration RenewEvery = milliseconds(1'000);
  // Entries read the object after the holder has been silent for this long.
  Duration HolderSilence = milliseconds(900);
  Duration ReadEvery = milliseconds(700);
};

struct DutyLease {
  DutySettings Settings;
  std::string Self;
  // What is known of the object, and since when without change.
  bool Known = false;
  std::int64_t Revision = 0;
  DutyRecord Record;
  TimePoint UnchangedSince{};
  // The own lease.
  TimePoint HeldUntil{};
  // Calls under way.
  bool CallRunning = false;
  TimePoint LastCallAt{};
  TimePoint LastHolderReportAt{};
};

enum class DutyCall { None, Read, Write };

struct DutyStep {
  DutyCall Call = DutyCall::None;
  StoredObject Object; // Write
};

// Returns the call to make now, if any; it is then counted as under way.
DutyStep nextDutyStep(DutyLease &Lease, TimePoint Now);

// Takes the answer of a read begun at BegunAt.
void handleDutyRead(DutyLease &Lease,
                    const Outcome<std::optional<StoredObject>> &Answer,
                    TimePoint Now);

// Takes the answer of a write begun at BegunAt.
void handleDutyWrite(DutyLease &Lease, const Outcome<StoredObject> &Answer,
                     TimePoint BegunAt, TimePoint Now);

// Notes a holder's message: it holds Term and has renewed it Renewal times.
void noteHolderReport(DutyLease &Lease, std::int64_t Term, std::int64_t Renewal,
                      TimePoint Now);

// Tells whether the entry may act now.
bool holdsDuty(const DutyLease &Lease, TimePoint Now);

// Returns the object that gives the duty back, for an entry that stops.
std::optional<StoredObject> releaseDuty(DutyLease &Lease, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_DUTYLEASE_H
