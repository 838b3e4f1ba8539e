// The close of the venture: the shutdown of the complete system. Each step is
// derived from the objects that still exist, so the close resumes after a crash
// of the operator's tool or of an entry at any step. The tool sets the close
// mark, waits for entries and engines and deletes all objects, zones/state
// last. Entries stop admission, finish their requests, acknowledge and, if they
// control their zone, unload its engines.
#ifndef SAMPHIREHILL_MEMBERSHIP_CLOSE_H
#define SAMPHIREHILL_MEMBERSHIP_CLOSE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace samphirehill {

// How long the tool waits for an entry or engine that doesn't answer. This is
// the longest deadline that a caller may set: after it, no call of the silent
// instance can still run.
constexpr Duration CloseSilenceLimit = seconds(120);

// An object of one of the system's kinds that exists on the platform.
struct StoredObject {
  std::string Kind;
  std::string Name;
  std::uint64_t Version = 0;

  bool operator==(const StoredObject &) const = default;
};

// An entry of the instance list, as its operator API reports it.
struct EntryCloseReport {
  EntryId Entry;
  bool Answered = false;     // to the last request of the tool
  bool Acknowledged = false; // no admission and no work in progress
};

// An engine of the instance list, as its status reports it.
struct EngineCloseReport {
  InstanceId Engine;
  bool Answered = false;
  bool Loaded = false;      // state other than idle
  std::size_t Requests = 0; // running and queued
};

// What the tool has read. Objects must hold the objects of all kinds, or be
// nullopt when a read failed.
struct ToolCloseView {
  std::optional<std::vector<StoredObject>> Objects;
  bool MarkSet = false; // zones/state holds the close mark
  std::vector<EntryCloseReport> Entries;
  std::vector<EngineCloseReport> Engines;
  TimePoint WaitingSince; // when this run of the tool first saw the mark set
};

// Read again: the last read of the platform was incomplete.
struct ReadAgain {
  bool operator==(const ReadAgain &) const = default;
};
// Write the mark to zones/state with If-Match ObjectVersion. The version
// is 0 when zones/state is missing while other objects exist: a configuration
// text was applied during an earlier close, and the entries that use it must be
// stopped like all others.
struct SetCloseMark {
  std::uint64_t ObjectVersion = 0;
  bool operator==(const SetCloseMark &) const = default;
};
struct WaitForEntries {
  std::vector<EntryId> Entries;
  bool operator==(const WaitForEntries &) const = default;
};
struct WaitForEngines {
  std::vector<InstanceId> Engines;
  bool operator==(const WaitForEngines &) const = default;
};
// Delete Objects in order, each with If-Match, then read again. Skipped names
// the instances that didn't answer for CloseSilenceLimit; show them to the
// operator.
struct DeleteObjects {
  std::vector<StoredObject> Objects;
  std::vector<std::string> Skipped;
  bool operator==(const DeleteObjects &) const = default;
};
// The close is complete: a complete read showed no object.
struct CloseDone {
  bool operator==(const CloseDone &) const = default;
};

using ToolCloseStep = std::variant<ReadAgain, SetCloseMark, WaitForEntries,
                                   WaitForEngines, DeleteObjects, CloseDone>;

// Returns the tool's next step. There is no time limit for an instance that
// answers but isn't finished.
ToolCloseStep nextCloseStep(const ToolCloseView &View, TimePoint Now);

// What an entry knows about the close.
struct EntryCloseView {
  bool MarkSet = false;            // in its shared state
  bool ZonesObjectDeleted = false; // the platform's watch showed the deletion
  std::size_t RequestsInProgress = 0;
  bool ControlsZone = false;
  // All live entries of the zone, this one included, have acknowledged.
  bool ZoneAcknowledged = false;
  std::vector<EngineCloseReport> ZoneEngines;
};

struct EntryCloseDecision {
  bool StopAdmission = false; // refuse new requests with Closing
  bool Acknowledge = false;
  // Engines to send an unload order to. Repeat until they report idle.
  std::vector<InstanceId> Unload;
  // All objects are gone: stop reading and writing the platform.
  bool Finished = false;

  bool operator==(const EntryCloseDecision &) const = default;
};

// Returns what the entry must do now. An engine that still runs requests from
// entries of other zones is unloaded only when these requests have ended.
EntryCloseDecision closeDecision(const EntryCloseView &View);

} // namespace samphirehill

#endif // SAMPHIREHILL_MEMBERSHIP_CLOSE_H
