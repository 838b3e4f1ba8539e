// A simulation for tests of record shards: several entries, a platform store
// with conditional writes, an upstream, and messages that are delivered in any
// order, late or never. It checks the guarantees to callers at each call and
// answer.
#ifndef SAMPHIREHILL_TEST_IDEMPOTENCY_SHARDSIMULATION_H
#define SAMPHIREHILL_TEST_IDEMPOTENCY_SHARDSIMULATION_H

#include "samphirehill/Idempotency/RecordShard.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace samphirehill {

// Faults that a test injects into the entries. The checks of the simulation
// must detect each fault.
enum class ShardFault {
  None,
  SendBeforeAcknowledged, // treats a write as stored when it is sent
  LostTakenAsStored,      // treats a lost write answer as stored
  IgnoresStarted,         // ignores `started` records of earlier owners
  DeniesStarted,          // answers `not run` for a started record
  DeniesUnread,           // answers `not run` when the records can't be read
  ChangesOutcome          // replays a body that differs from the recorded one
};

// Several entries that share one record shard. An entry is named by its number.
class ShardSimulation {
public:
  explicit ShardSimulation(ShardFault Fault);

  // Performs one step, such as a request, a delivery or a fault, that Choice
  // determines.
  void act(std::uint32_t Choice);
  // Sends a request with Key to Entry, always with the same body.
  void request(const std::string &Key, std::size_t Entry);
  // Delivers the oldest messages, at most Count, without faults.
  void deliverOldest(std::size_t Count);
  void pause(std::size_t Entry) { Entries[Entry].Paused = true; }
  void resume(std::size_t Entry);
  // Replaces the process of Entry by a new incarnation with empty memory.
  void restart(std::size_t Entry);
  // Takes a copy of the store, and restores the store from it: what was written
  // since is gone.
  void copyStore() { Copy = {Version, LastWriteId, Stored}; }
  void restoreStore() { std::tie(Version, LastWriteId, Stored) = Copy; }
  // Ends outages and pauses, delivers all messages, and checks that every entry
  // answers a request again.
  void heal();
  // Returns the first violated guarantee, or an empty string.
  const std::string &violation() const { return Violation; }
  // Returns how many calls the upstream ran, and how many outcomes were
  // replayed.
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
    bool Reported = false; // reported as lost, but can still take effect
  };
  struct Request {
    std::string Record;
    std::uint64_t BodyHash = 0;
    bool MayBeResend = false;
    bool AnsweredNotRun = false; // was answered `not run`
    bool Answered = false;
    bool CallerLeft = false;                   // its caller disconnected
    std::optional<CallOutcome> RecordedBefore; // at the arrival
    bool RanBefore = false; // an execution of key and body before the arrival
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
  void reportViolation(std::string Text) {
    if (Violation.empty())
      Violation = std::move(Text);
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
  std::tuple<std::uint64_t, std::string, ShardObject> Copy;
  bool Outage = false;
  std::size_t Replays = 0;
  Incarnation NextIncarnation = 1;
  std::uint64_t NextRequest = 1;
  std::string Violation;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_TEST_IDEMPOTENCY_SHARDSIMULATION_H
