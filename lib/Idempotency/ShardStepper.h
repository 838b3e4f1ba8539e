// The implementation of step(). ShardCalls.cpp has the methods for requests and
// calls, RecordShard.cpp those for the stored object.
#ifndef SAMPHIREHILL_LIB_IDEMPOTENCY_SHARDSTEPPER_H
#define SAMPHIREHILL_LIB_IDEMPOTENCY_SHARDSTEPPER_H

#include "samphirehill/Idempotency/RecordShard.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirehill::detail {

using Call = RecordShard::Call;
using Hold = RecordShard::Hold;
using Phase = RecordShard::Phase;
using Waiter = RecordShard::Waiter;

// Applies one event to a record shard. Used for a single call of step().
class Stepper {
public:
  Stepper(RecordShard &Shard, TimePoint Now, WallTime Wall)
      : Shard(Shard), Now(Now), Wall(Wall) {}

  void apply(const CallArrived &Event) {
    CallArrived Arrived = Event;
    Arrived.FirstRead = Shard.NextId;
    Arrived.ReadSinceArrival = false;
    handleArrival(Arrived, false);
  }
  void apply(const CallerGone &Event);
  void apply(const CallEnded &Event);
  void apply(const WriteReport &Event);
  void apply(const ReadReport &Event);
  void apply(const HandOver &) { Shard.Releasing = true; }
  void apply(const ShardTick &);

  // Starts the read and the write of the object that are due.
  void startDueRequests();

  std::vector<ShardAction> Out; // the actions that step() returns

private:
  // Answers.
  void refuse(const Waiter &To, ResultCode Code, std::string Message,
              Duration RetryAfter = Duration(0));
  // Refuses because the object can't be read or written. The code depends on
  // To.ReadSinceArrival.
  void refuseUnavailable(const Waiter &To);
  // Answers from memory, because the object can't be read.
  void answerFromMemory(const CallArrived &Event);
  void forward(const RequestId &Request);
  // Answers all waiters of Ended with its outcome.
  void answerWaiters(const Call &Ended);
  void answerRecord(const Waiter &To, const ShardRecord &Record,
                    std::uint64_t BodyHash);

  // Requests and calls. Confirmed is set when a read that began after the
  // arrival has shown that this process still owns the shard.
  void handleArrival(const CallArrived &Event, bool Confirmed);
  // Decides Event by the records in the image: answers, refuses or starts a
  // call.
  void decide(const CallArrived &Event, bool Confirmed);
  void start(const CallArrived &Event);
  // Queues Event to be decided again after a read that begins from now on, or
  // once the shard is held.
  void decideAfterRead(const CallArrived &Event);
  // Stores what a record keeps of Outcome; drops the body if the shard's bodies
  // would exceed ShardBodyBudget.
  void setOutcome(ShardRecord &Record, const CallOutcome &Outcome);
  // Returns the record of Attempt in the image, or nullptr.
  ShardRecord *findRecord(const std::string &Id, std::uint64_t Attempt);
  // Refuses waiters past their deadline.
  void refuseOverdueWaiters(Call &Value);
  // Removes the call and, from the image, its record.
  void removeCall(const std::string &Id, std::uint64_t Attempt);

  // The stored object.
  bool holdsImage() const {
    return Shard.Holding != Hold::None && Shard.Loaded;
  }
  bool isExpired(const ShardRecord &Record) const;
  void dropExpired();
  bool isOwn(const ShardObject &Value) const;
  // Handles a write that is known to be stored, with its new version.
  void acknowledge(std::uint64_t Version);
  // Handles a read that found the object while the shard is held or acquired.
  void resolveRead(const ReadReport &Event);
  // Takes the object's value as the image and decides the waiting requests.
  void loadRecords(const ReadReport &Event);
  // Gives the shard up because Owner has taken it over.
  void handleTakeover(const EntryId &Owner);
  void finishRelease();
  // Ends the holding of the shard; keeps its records in LastKnownRecords.
  void dropImage();
  void handleReadFailure();
  void backOff();
  void emitWrite(bool Releases);
  std::vector<CallArrived> takeQueuedRequests();

  std::int64_t wallSeconds() const {
    return std::chrono::duration_cast<std::chrono::seconds>(
               Wall.time_since_epoch())
        .count();
  }

  RecordShard &Shard;
  TimePoint Now;
  WallTime Wall;
};

Waiter waiterOf(const CallArrived &Event);

} // namespace samphirehill::detail

#endif // SAMPHIREHILL_LIB_IDEMPOTENCY_SHARDSTEPPER_H
