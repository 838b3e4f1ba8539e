// Carries out calls under idempotency keys: keeps the record shards that this
// entry owns and the entry-issued keys of this process, and passes calls on to
// the entry that decides them.
//
// Use: construct after the PeerHub, give keyed() and issueKey() to the request
// path, and connect entryGone() to MembershipController::EntryGone. For a
// graceful shutdown call handOver() and wait until shardsLeft() and
// callsInProgress() are zero. All functions run on the io_context's thread.
#ifndef SAMPHIREHILL_DAEMON_RECORDCONTROLLER_H
#define SAMPHIREHILL_DAEMON_RECORDCONTROLLER_H

#include "samphirehill/Daemon/MembershipController.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/PlainCall.h"
#include "samphirehill/Daemon/RequestContext.h"
#include "samphirehill/Idempotency/EntryKeys.h"
#include "samphirehill/Idempotency/RecordShard.h"
#include "samphirehill/Idempotency/ShardOwner.h"
#include "samphirehill/Net/Platform.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace samphirehill {

// Kind of the platform objects of record shards; their names are 0 to 63.
inline constexpr const char *RecordsKind = "records";
// Forwards of one call, over all entries.
constexpr std::uint32_t MaxRecordHops = 3;

// A call under an idempotency key.
struct KeyedCall {
  PlainRequest Plain;
  std::string Key;
  std::uint32_t Hops = 0; // forwards so far
  // An earlier forward of this call broke after it was sent.
  bool MayBeResend = false;
};

// What the caller of a KeyedCall is told.
struct KeyedAnswer {
  ResultCode Code = ResultCode::Internal;
  CallOutcome Outcome; // with Ok and RecordedOutcomeTrimmed
  bool Replayed = false;
  std::string Message; // with any other code
  Duration RetryAfter{};
};

// What the controller asks of membership.
struct RecordPeers {
  // The entries that may own shards now, with this one unless it is leaving.
  std::function<std::vector<EntryId>()> Candidates;
  // Whether an incarnation of an entry has certainly ended.
  std::function<bool(const EntryId &, Incarnation)> Gone;
};

// The entries of all zones that may own shards, in order. In the zone of this
// entry these are the entries that are heard; of other zones the listed ones,
// unless the zone's relay has sent summaries here and has ceased to. Entries
// that are leaving are left out.
std::vector<EntryId> recordCandidates(const LivenessState &State,
                                      TimePoint Now);

// RecordPeers of the daemon. Membership must outlive the result.
RecordPeers recordPeersOf(const MembershipController &Membership,
                          Runtime &Shared);

class RecordController {
public:
  RecordController(CallParts Parts, PeerHub &Hub, Platform &Store,
                   const Catalogue &Texts, RecordPeers Peers);

  // Carries out a request with a key and answers its caller; Ended is called
  // once afterwards. The request has passed the filters.
  void keyed(RequestContext Request, std::function<void()> Ended);

  // Issues a key to the request's organisation: 201 with
  // {"key": "<key>", "expires_in_s": <seconds>}.
  void issueKey(RequestContext &Request);

  // All incarnations of an entry up to one have ended: passes on the calls that
  // were forwarded to it.
  void entryGone(const ConfirmedGone &Gone);

  // Hands all shards over, each after its calls in progress. New calls are
  // passed on to other entries from now on, and no key is issued.
  void handOver();
  // Shards that this entry holds, acquires or releases.
  std::size_t shardsLeft() const;
  // Calls that were sent to an upstream and have not ended.
  std::size_t callsInProgress() const { return CallsOut; }

  // The entry that owns a shard in the view of this one; empty if none does.
  const EntryId &owner(std::size_t Shard) const { return Owners.Owner[Shard]; }

private:
  using AnswerFunction = std::function<void(const KeyedAnswer &)>;
  struct Pending {
    KeyedCall Call;
    AnswerFunction Answer;
    EntryId ForwardedTo;       // empty: not forwarded
    std::uint64_t Forward = 0; // number of the forward under way
    TimePoint RepeatAt;        // when its message is sent again
    Duration RepeatWait{};
    TimePoint HeardAt; // when its receiver was last known to have it
  };
  // A forward as its receiver sees it: sender, request id and hops.
  using ForwardKey = std::tuple<std::string, std::string, std::uint32_t>;
  // Where the record of a call is kept: in a shard, or in this process under
  // an entry-issued key.
  using RecordPlace = std::optional<std::size_t>;

  // Ways of a call; RecordControllerCalls.cpp.
  void receive(const peer::Envelope &Message);
  void accept(const RequestId &Id, KeyedCall Call, AnswerFunction Answer);
  void route(const RequestId &Id);
  void routeEntryKey(const RequestId &Id);
  void arriveHere(const RequestId &Id);
  void passOn(const RequestId &Id, const EntryId &LastRead);
  void forward(const RequestId &Id, const EntryId &To);
  void sendForward(const RequestId &Id);
  void repeatForwards();
  void forwardEnded(const RequestId &Id, const EntryId &To,
                    const Outcome<peer::Envelope> &Value);
  void forwardBroke(const RequestId &Id);
  void breakForwards(const std::function<bool(const EntryId &)> &IsBroken);
  void answer(const RequestId &Id, const KeyedAnswer &Value);
  void answer(const AnswerOutcome &Value);
  void answer(const AnswerRefusal &Value);
  // Answers `may have run` for a call that no entry can decide now.
  void answerUndecided(const RequestId &Id, const std::string &Message);
  void send(const SendCall &Action, RecordPlace Place);
  void ended(RecordPlace Place, std::uint64_t Attempt, const CallEnd &End);
  void carryOut(const std::vector<KeyAction> &Actions);

  // Shards and their objects; RecordController.cpp.
  void tick();
  void updateCandidates();
  void feed(std::size_t Shard, ShardEvent Event);
  void apply(std::size_t Shard, const ShardEvent &Event);
  void carryOut(std::size_t Shard, const ShardAction &Action);
  void write(std::size_t Shard, const WriteShard &Action);
  void read(std::size_t Shard, std::uint64_t ReadId);
  void wakeWhenDue(std::size_t Shard);
  RecordShard &shard(std::size_t Shard);
  bool isCandidate(const EntryId &Entry) const;
  Duration recordTtl() const;

  CallParts Parts;
  Runtime &Shared;
  PeerHub &Hub;
  Platform &Store;
  const Catalogue &Texts;
  RecordPeers Peers;

  ShardOwners Owners;
  std::vector<EntryId> Candidates; // that this entry can reach
  // Entries to which no message could be sent, until when they own nothing.
  std::map<EntryId, TimePoint> Unreachable;
  std::map<std::size_t, RecordShard> Shards;
  std::map<std::size_t, TimerSubscription> Wakes;
  std::deque<std::pair<std::size_t, ShardEvent>> Events;
  bool Feeding = false;
  EntryKeys Keys;
  std::map<RequestId, Pending> Requests;
  // Forwards from other entries that are not answered yet.
  std::set<ForwardKey> Received;
  std::uint64_t LastForward = 0;
  std::size_t CallsOut = 0;
  bool Leaving = false;
  TimerSubscription Tick;
  // Callbacks that come after the controller's end find it expired.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_RECORDCONTROLLER_H
