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
      : S(Shard), Now(Now), Wall(Wall) {}

  void apply(const CallArrived &Event) {
    CallArrived Noted = Event;
    Noted.FirstRead = S.NextId;
    Noted.Seen = false;
    arrive(Noted, false);
  }
  void apply(const CallerGone &Event);
  void apply(const CallEnded &Event);
  void apply(const WriteReport &Event);
  void apply(const ReadReport &Event);
  void apply(const HandOver &) { S.Releasing = true; }
  void apply(const ShardTick &);

  // Starts the read or the write that is due.
  void pump();

  std::vector<ShardAction> Out;

private:
  // Answers.
  void refuse(const Waiter &To, ResultCode Code, std::string Message,
              Duration RetryAfter = Duration(0));
  // Refuses because the object can't be read or written.
  void refuseUnavailable(const Waiter &To);
  // Answers from memory, because the object can't be read.
  void answerOffline(const CallArrived &Event);
  void forward(const RequestId &Request);
  void answer(const Call &Ended);
  void answerRecord(const Waiter &To, const ShardRecord &Record,
                    std::uint64_t BodyHash);

  // Calls.
  void arrive(const CallArrived &Event, bool Confirmed);
  void decide(const CallArrived &Event, bool Confirmed);
  void start(const CallArrived &Event);
  // Decides Event again after a read that begins now, or once the shard is
  // held.
  void confirm(const CallArrived &Event);
  void setOutcome(ShardRecord &Record, const CallOutcome &Outcome);
  // Returns the record of Attempt in the image, or nullptr.
  ShardRecord *findRecord(const std::string &Id, std::uint64_t Attempt);
  // Refuses waiters past their deadline.
  void dropLate(Call &Value);
  void withdraw(const std::string &Id, std::uint64_t Attempt);

  // The object.
  bool holdsImage() const { return S.Holding != Hold::None && S.Loaded; }
  bool expired(const ShardRecord &Record) const;
  void dropExpired();
  bool isOwn(const ShardObject &Value) const;
  void acknowledge(std::uint64_t Version);
  void settle(const ReadReport &Event);
  void load(const ReadReport &Event);
  void lose(const EntryId &Owner);
  void finishRelease();
  void dropImage();
  void fail();
  void backOff();
  void emitWrite(bool Releases);
  std::vector<CallArrived> takeQueued();

  std::int64_t wallSeconds() const {
    return std::chrono::duration_cast<std::chrono::seconds>(
               Wall.time_since_epoch())
        .count();
  }

  RecordShard &S;
  TimePoint Now;
  WallTime Wall;
};

Waiter waiterOf(const CallArrived &Event);

} // namespace samphirehill::detail

#endif // SAMPHIREHILL_LIB_IDEMPOTENCY_SHARDSTEPPER_H
