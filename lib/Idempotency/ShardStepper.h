// One application of an event to a record shard. ShardCalls.cpp has the side
// of the callers and calls, RecordShard.cpp that of the stored object.
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

// One application of an event.
class Stepper {
public:
  Stepper(RecordShard &Shard, TimePoint Now, WallTime Wall)
      : Shard(Shard), Now(Now), Wall(Wall) {}

  void apply(const CallArrived &Event) {
    CallArrived Noted = Event;
    Noted.FirstRead = Shard.NextId;
    Noted.ReadSinceArrival = false;
    handleArrival(Noted, false);
  }
  void apply(const CallerGone &Event);
  void apply(const CallEnded &Event);
  void apply(const WriteReport &Event);
  void apply(const ReadReport &Event);
  void apply(const HandOver &) { Shard.Releasing = true; }
  void apply(const ShardTick &);

  // Starts the read or the write that is due.
  void startDueRequests();

  std::vector<ShardAction> Out;

private:
  // Answers.
  void refuse(const Waiter &To, ResultCode Code, std::string Message,
              Duration RetryAfter = Duration(0));
  // Refuses because the object can't be read or written.
  void refuseUnavailable(const Waiter &To);
  // Answers from memory, because the object can't be read.
  void answerFromMemory(const CallArrived &Event);
  void forward(const RequestId &Request);
  void answerWaiters(const Call &Ended);
  void answerRecord(const Waiter &To, const ShardRecord &Record,
                    std::uint64_t BodyHash);

  // Calls.
  void handleArrival(const CallArrived &Event, bool Confirmed);
  void decide(const CallArrived &Event, bool Confirmed);
  void start(const CallArrived &Event);
  // Decides Event again after a read that begins now, or once the shard is
  // held.
  void decideAfterRead(const CallArrived &Event);
  void setOutcome(ShardRecord &Record, const CallOutcome &Outcome);
  // Returns the record of Attempt in the image, or nullptr.
  ShardRecord *findRecord(const std::string &Id, std::uint64_t Attempt);
  // Refuses waiters past their deadline.
  void refuseOverdueWaiters(Call &Value);
  void removeCall(const std::string &Id, std::uint64_t Attempt);

  // The object.
  bool holdsImage() const {
    return Shard.Holding != Hold::None && Shard.Loaded;
  }
  bool isExpired(const ShardRecord &Record) const;
  void dropExpired();
  bool isOwn(const ShardObject &Value) const;
  void acknowledge(std::uint64_t Version);
  void resolveRead(const ReadReport &Event);
  void loadRecords(const ReadReport &Event);
  void handleTakeover(const EntryId &Owner);
  void finishRelease();
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
