// One record shard at one entry: decides when a call that must not be repeated
// is sent and which answer each of its callers receives.
//
// The entry that owns a shard records `started` by an acknowledged conditional
// write before it sends a call, and the outcome afterwards. At-most-once
// execution depends on these writes alone: a call is sent only after the
// sender's own write is acknowledged, and never for a key that already has a
// record. If two entries both believe that they own a shard, calls take longer
// but none runs twice.
//
// Use: keep one RecordShard per shard, pass each event to step() in order and
// carry out the returned actions in order. Pass a ShardTick at nextWake(). Each
// WriteShard needs exactly one WriteReport (Lost when no answer came), each
// ReadShard exactly one ReadReport (Failed when no answer came), and each
// SendCall exactly one CallEnded.
//
// Meaning of `not run`: the refused request has not been and will not be sent,
// and no call for its key and body that was recorded before the request arrived
// has run or may still run. While the object can't be read, a request is
// therefore refused with RecordStoreUnavailable (`not run`) only if a read that
// began after its arrival showed no record of the key, and showed that this
// process owns the records or may acquire them. All other requests are refused
// with OutcomeUnknown (`may have run`) and a retry time, because another entry
// may have run an earlier delivery of the request. It is not enough that this
// process held the shard before: an entry learns only from the object that
// another entry has replaced it.
//
// A SendCall whose deadline passes before it leaves the process must be
// dropped and reported as CallNotRun. Set CallArrived::MayBeResend when the
// system itself delivers a request a second time; such a request gets `may have
// run` instead of `not run`.
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
  // Set by step(): reads with this id or a higher one began after the arrival.
  std::uint64_t FirstRead = 0;
  // Set by step(): whether one of these reads, or the acknowledged write of the
  // request's own record, has shown that no other record decides the request.
  bool ReadSinceArrival = false;
};
// The caller of Request disconnected. A call that was sent continues.
struct CallerGone {
  RequestId Request;
};
// The call of the SendCall with this Attempt ended.
struct CallEnded {
  std::uint64_t Attempt = 0;
  CallEnd End;
};
// Result of a WriteShard.
struct WriteReport {
  enum Kind {
    Stored,   // 200; Version is the new one
    Conflict, // 409
    Refused,  // 429: not stored
    Gone,     // 404
    Lost      // no answer, 503 or an answer that can't be read
  };
  std::string WriteId;
  Kind Answer = Lost;
  std::uint64_t Version = 0;
};
// Result of a ReadShard.
struct ReadReport {
  enum Kind { Found, Gone, Failed };
  std::uint64_t ReadId = 0;
  Kind Answer = Failed;
  // Set only when Answer is Found.
  std::uint64_t Version = 0;
  std::string WriteId;
  ShardObject Value;
};
// Release the shard: on graceful shutdown, or when another entry was chosen as
// its owner. The release waits until the calls in progress have ended and are
// recorded.
struct HandOver {};
// Time has passed: due retries and deadlines are handled.
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
// Action: this entry does not run Request. Choose the owner again and forward
// the request to it; limit the number of forwards to a few per request. Owner
// is the owner that the object last named, or empty.
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
  // Once the outcome of a call is known, its callers are answered after this
  // time even if the write of the outcome is not acknowledged.
  Duration OutcomeWait = milliseconds(500);
  Duration FirstRetry = milliseconds(100); // doubles up to MaxRetry
  Duration MaxRetry = seconds(5);
  std::size_t MaxRecords = MaxShardRecords;
};

// Counters for metrics. They never decrease.
struct ShardCounters {
  std::uint64_t Writes = 0, WriteConflicts = 0, WritesLost = 0, Reads = 0;
  std::uint64_t Acquired = 0, LostToOther = 0, Sent = 0, Replayed = 0;
  std::uint64_t Refused = 0, MayHaveRun = 0, Expired = 0, Trimmed = 0;
};

// The state of one record shard at one entry. Only step() changes the fields;
// tests may set them too.
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
    std::vector<Waiter> Waiters; // the request of the first one is sent
    CallOutcome Outcome;         // set when Recording
    TimePoint AnswerBy;          // set when Recording; see OutcomeWait
  };
  // A write of the object whose result is not known yet.
  struct PendingWrite {
    std::string WriteId;
    bool Acquires = false;
    bool Releases = false;
    // The calls in state Starting or Recording whose records the write stores.
    std::set<std::uint64_t> Attempts;
  };

  explicit RecordShard(ShardSettings Settings)
      : Settings(std::move(Settings)) {}

  ShardSettings Settings;
  ShardCounters Counters;
  Hold Holding = Hold::None;
  bool Releasing = false; // a HandOver is in progress
  bool Loaded = false;    // Image holds the object's records
  bool StoreUnavailable =
      false;          // the platform's last answer to a read was a failure
  bool Dirty = false; // Image differs from the value that was last written
  std::uint64_t Version = 0; // of the object, for the next conditional write
  // The value to write next. Valid while Loaded is set.
  ShardObject Image;
  std::map<std::string, Call> Calls; // by record id
  // The records that this process last held or read, kept after it gave up or
  // lost the shard. They are correct, but newer records may be missing. Used
  // for answers while the platform is unavailable.
  std::map<std::string, ShardRecord> LastKnownRecords;
  // Requests that wait until the object is read and the shard is held.
  std::vector<CallArrived> Loading;
  // Requests that wait for the read with this id or a later one.
  std::vector<std::pair<std::uint64_t, CallArrived>> Confirming;
  std::optional<PendingWrite> Write; // in flight or InDoubt
  // Write was reported as Conflict, Gone or Lost: only a read can show whether
  // the platform stored it.
  bool InDoubt = false;
  std::uint64_t ReadInFlight = 0;   // id of the read, or 0
  std::optional<TimePoint> RetryAt; // no read or write starts before this time
  Duration Backoff{0};
  EntryId OtherOwner;       // the owner to which the shard was last lost
  std::uint64_t NextId = 1; // of reads, writes and attempts
};

// Applies Event to Shard and returns the actions to carry out, in order. Wall
// is used only for the start times and the expiry of records.
std::vector<ShardAction> step(RecordShard &Shard, const ShardEvent &Event,
                              TimePoint Now, WallTime Wall);

// Returns when the next ShardTick is due, or nullopt if none is needed.
std::optional<TimePoint> nextWake(const RecordShard &Shard);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_RECORDSHARD_H
