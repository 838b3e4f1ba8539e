// A model for tests of record shards: several entries, a platform store with
// conditional writes, an upstream, and messages that are delivered in any
// order, late or never. It checks the promises made to callers after each step.
#ifndef SAMPHIREHILL_TEST_IDEMPOTENCY_SHARDSIMULATION_H
#define SAMPHIREHILL_TEST_IDEMPOTENCY_SHARDSIMULATION_H

#include "samphirehill/Idempotency/RecordShard.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

// Faults to switch on in an entry; each must be found by a check of the world.
enum class ShardFault {
  None,
  SendBeforeAcknowledged, // takes a write as stored when it is sent
  LostTakenAsStored,      // takes a lost write answer as stored
  IgnoresStarted,         // ignores `started` records of earlier owners
  DeniesStarted,          // says `not run` for a started record
  DeniesUnread,           // says `not run` when the records can't be read
  ChangesOutcome          // replays another body than the recorded one
};

class ShardSimulation {
public:
  explicit ShardSimulation(ShardFault Fault);

  // Does one step that Choice determines.
  void act(std::uint32_t Choice);
  // Sends a request for the only body of Key to Entry.
  void request(const std::string &Key, std::size_t Entry);
  // Delivers the oldest messages, at most Count, without faults.
  void deliverOldest(std::size_t Count);
  void pause(std::size_t Entry) { Entries[Entry].Paused = true; }
  void resume(std::size_t Entry);
  // Replaces the process of Entry.
  void restart(std::size_t Entry);
  // Ends all faults and checks that every key can be used again.
  void heal();
  // Returns the first broken promise, or empty.
  const std::string &violation() const { return Violation; }
  // Returns how many calls the upstream ran and how many were replayed.
  std::size_t executions() const { return Executed.size(); }
  std::size_t replays() const { return Replays; }

private:
  struct Process {
    RecordShard Shard;
    bool Paused = false;
    std::vector<ShardEvent> Inbox; // while paused
  };
  struct Message {
    enum { Write, Read, Event, Call } Kind;
    std::size_t Entry;
    Incarnation Sender;
    WriteShard Put;
    std::uint64_t ReadId = 0;
    ShardEvent Report = ShardTick{};
    SendCall Sent;
    bool Reported = false; // its loss was reported; it can still take effect
  };
  struct Request {
    std::string Record;
    std::uint64_t BodyHash = 0;
    bool MayBeResend = false;
    bool Denied = false; // was answered `not run`
    bool Done = false;
    bool Gone = false;                         // its caller went away
    std::optional<CallOutcome> RecordedBefore; // at its arrival
    bool RanBefore = false;                    // key and body, at its arrival
    std::uint64_t SentBy = 0;
  };
  struct Execution {
    std::string Record;
    std::uint64_t BodyHash = 0;
    std::uint64_t By = 0; // entry and incarnation
    CallOutcome Outcome;
  };

  RecordShard makeShard(std::size_t Entry);
  std::uint64_t processId(std::size_t Entry) const;
  void feed(std::size_t Entry, ShardEvent Event);
  void perform(std::size_t Entry, const ShardAction &Action);
  void checkRefusal(std::size_t Entry, const AnswerRefusal &Answer);
  void checkOutcome(const AnswerOutcome &Answer);
  void arrive(std::size_t Entry, const RequestId &Id);
  void newRequest(std::uint32_t Choice);
  void deliver(std::size_t Index, std::uint32_t Fate);
  void deliverWrite(Message &Item, std::uint32_t Fate);
  void deliverRead(const Message &Item, std::uint32_t Fate);
  void deliverCall(const Message &Item, std::uint32_t Fate);
  void report(const Message &Item, ShardEvent Event);
  void advance(Duration By);
  void broken(std::string What) {
    if (Violation.empty())
      Violation = std::move(What);
  }

  ShardFault Fault;
  TimePoint Now{seconds(1000)};
  std::vector<Process> Entries;
  std::vector<Message> Pending;
  std::map<std::string, Request> Requests;
  std::vector<Execution> Executed;
  std::uint64_t Version = 1;
  std::string LastWriteId;
  ShardObject Stored;
  bool Outage = false;
  std::size_t Replays = 0;
  Incarnation NextIncarnation = 1;
  std::uint64_t NextRequest = 1;
  std::string Violation;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_TEST_IDEMPOTENCY_SHARDSIMULATION_H
