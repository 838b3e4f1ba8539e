// One record shard at one entry: decides when a call that must not be repeated
// is sent and what each of its callers is told.
//
// The entry that owns a shard records `started` by an acknowledged conditional
// write before it sends a call, and the outcome afterwards. Safety rests on
// these writes alone: a call is sent only after the sender's own write is
// acknowledged, and never for a key that already has a record. Two entries that
// both believe they own a shard cost time, not correctness.
//
// Use: keep one RecordShard per shard, pass each event to step() in order and
// carry out the actions in order. Pass a ShardTick at nextWake(). Every
// WriteShard and ReadShard has to be reported exactly once, with a loss when no
// answer came; every SendCall with exactly one CallEnded.
//
// Meaning of `not run`: the request that gets it has not been and will not be
// sent, and no call for its key and body that was recorded before the request
// arrived ran or may still run. While the object can't be read,
// RecordStoreUnavailable (`not run`) is therefore given only to requests after
// whose arrival a read began that showed this process as the records' owner, or
// about to become it, and no record of the key. All others get OutcomeUnknown
// (`may have run`) with a retry time: another entry may have run an earlier
// delivery. That this process held the shard before is no proof, because an
// entry learns that it was replaced only from the object. A SendCall must still
// be dropped, and reported as
// CallNotRun, if its deadline passes before it leaves the process. Set
// CallArrived::MayBeResend when the system itself passes a request on a second
// time; such a request gets `may have run` instead.
#ifndef SAMPHIREHILL_IDEMPOTENCY_RECORDSHARD_H
#define SAMPHIREHILL_IDEMPOTENCY_RECORDSHARD_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Idempotency/RecordedCall.h"
#include "samphirehill/Idempotency/ShardObject.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace samphirehill {

// A keyed request reached this entry, which is the shard's chosen owner.
struct CallArrived {
  RequestId Request;
  std::string Record; // recordIdOf()
  std::uint64_t BodyHash = 0;
  TimePoint Deadline;
  // An earlier delivery of the same request may have been sent by another
  // entry, for example when a forwarding connection broke.
  bool MayBeResend = false;
  // Set by step(): reads with this or a higher id began after the arrival, and
  // whether one of them has shown no record that decides the request.
  std::uint64_t FirstRead = 0;
  bool ReadSinceArrival = false;
};
// The caller went away. The call itself goes on.
struct CallerGone {
  RequestId Request;
};
// The call of SendCall ended.
struct CallEnded {
  std::uint64_t Attempt = 0;
  CallEnd End;
};
// Report of a WriteShard.
struct WriteReport {
  enum Kind {
    Stored,   // 200; Version is the new one
    Conflict, // 409
    Refused,  // 429: certainly not stored
    Gone,     // 404
    Lost      // no answer, 503 or an answer that can't be read
  };
  std::string WriteId;
  Kind Answer = Lost;
  std::uint64_t Version = 0;
};
// Report of a ReadShard.
struct ReadReport {
  enum Kind { Found, Gone, Failed };
  std::uint64_t ReadId = 0;
  Kind Answer = Failed;
  std::uint64_t Version = 0; // these three when found
  std::string WriteId;
  ShardObject Value;
};
// Hand the shard over: on graceful shutdown, or when another entry was chosen.
// Calls in progress end and are recorded first.
struct HandOver {};
struct ShardTick {};
using ShardEvent = std::variant<CallArrived, CallerGone, CallEnded, WriteReport,
                                ReadReport, HandOver, ShardTick>;

// Action: PUT the shard's object with If-Match: Version and this write id.
struct WriteShard {
  std::string WriteId;
  std::uint64_t Version = 0;
  std::string Value; // JSON text
};
// Action: GET the shard's object.
struct ReadShard {
  std::uint64_t ReadId = 0;
};
// Action: this entry does not run Request; choose the owner again and pass the
// request on, at most a few times. Owner is the one last read, or empty.
struct ForwardCall {
  RequestId Request;
  EntryId Owner;
};
// Action: a HandOver is complete. A later CallArrived acquires the shard again.
struct ShardReleased {};
using ShardAction = std::variant<WriteShard, ReadShard, SendCall, AnswerOutcome,
                                 AnswerRefusal, ForwardCall, ShardReleased>;

struct ShardSettings {
  EntryId Self;
  Incarnation SelfIncarnation = 0;
  std::size_t Shard = 0;
  Duration RecordTtl = seconds(86'400);
  // The caller is answered this long after its outcome is known even if the
  // outcome's write is not acknowledged.
  Duration OutcomeWait = milliseconds(500);
  Duration FirstRetry = milliseconds(100); // doubles up to MaxRetry
  Duration MaxRetry = seconds(5);
  std::size_t MaxRecords = MaxShardRecords;
};

// Counters for metrics; they only grow.
struct ShardCounters {
  std::uint64_t Writes = 0, WriteConflicts = 0, WritesLost = 0, Reads = 0;
  std::uint64_t Acquired = 0, LostToOther = 0, Sent = 0, Replayed = 0;
  std::uint64_t Refused = 0, MayHaveRun = 0, Expired = 0, Trimmed = 0;
};

// The state. Fields are for step() and tests; other code only constructs it.
struct RecordShard {
  enum class Hold { None, Acquiring, Held };
  enum class Phase { Starting, Running, Recording };
  struct Waiter {
    RequestId Request;
    TimePoint Deadline;
    bool MayBeResend = false;
    std::uint64_t FirstRead = 0; // as in CallArrived
    bool ReadSinceArrival = false;
  };
  // A call that this process started; outlives the loss of the shard.
  struct Call {
    Phase State = Phase::Starting;
    std::uint64_t Attempt = 0;
    std::uint64_t BodyHash = 0;
    std::vector<Waiter> Waiters; // the first one is sent
    CallOutcome Outcome;         // when Recording
    TimePoint AnswerBy;          // when Recording
  };
  struct PendingWrite {
    std::string WriteId;
    bool Acquires = false;
    bool Releases = false;
    std::set<std::uint64_t> Attempts; // Starting or Recording ones it contains
  };

  explicit RecordShard(ShardSettings Settings)
      : Settings(std::move(Settings)) {}

  ShardSettings Settings;
  ShardCounters Counters;
  Hold Holding = Hold::None;
  bool Releasing = false;
  bool Loaded = false; // Image holds the object's records
  bool StoreUnavailable =
      false;          // the platform's last answer to a read was a failure
  bool Dirty = false; // Image differs from what was last written
  std::uint64_t Version = 0;
  ShardObject Image; // what the object shall contain; valid unless None
  std::map<std::string, Call> Calls; // by record id
  // The records last held or read, once the shard is not held: true as far as
  // they go, for answers while the platform is down.
  std::map<std::string, ShardRecord> LastKnownRecords;
  std::vector<CallArrived> Loading; // wait until the object is read
  std::vector<std::pair<std::uint64_t, CallArrived>> Confirming; // from read id
  std::optional<PendingWrite> Write; // in flight or in doubt
  bool InDoubt = false;              // Write's answer is lost
  std::uint64_t ReadInFlight = 0;    // 0: none
  std::optional<TimePoint> RetryAt;  // no read or write before it
  Duration Backoff{0};
  EntryId OtherOwner;
  std::uint64_t NextId = 1; // of reads, writes and attempts
};

// Applies Event and returns what to do. Wall is used only for the expiry of
// records.
std::vector<ShardAction> step(RecordShard &Shard, const ShardEvent &Event,
                              TimePoint Now, WallTime Wall);

// Returns when the next ShardTick is due, if any.
std::optional<TimePoint> nextWake(const RecordShard &Shard);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_RECORDSHARD_H
