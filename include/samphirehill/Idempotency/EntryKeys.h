// Idempotency keys that an entry issues. Only the process that issued a key
// runs the key's request, and keeps the record in memory, so these keys work
// while the platform is unavailable.
//
// A key is `sk1.<entry>.<incarnation>.<issued>.<nonce>.<mac>`. The MAC is
// HMAC-SHA-256 under a secret that never leaves the process. It covers the text
// of the key before the MAC and the organisation.
//
// Use: an entry that receives a key of another entry calls parseEntryKey() and
// forwards the request to the issuer. If the issuer's incarnation has ended, it
// answers KeyOwnerGone (`may have run`).
#ifndef SAMPHIREHILL_IDEMPOTENCY_ENTRYKEYS_H
#define SAMPHIREHILL_IDEMPOTENCY_ENTRYKEYS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Idempotency/RecordedCall.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace samphirehill {

// The entry and the incarnation of its process that issued a key.
struct EntryKeyAddress {
  EntryId Entry;
  Incarnation Issuer = 0;

  bool operator==(const EntryKeyAddress &) const = default;
};

// Returns whether Text begins with `sk1.`, the prefix of entry-issued keys. A
// key that a caller chooses must not begin with it.
bool isEntryKey(std::string_view Text);

// Returns the issuer that Text names, without checking the MAC. Fails with
// BadRequest if Text is not of the form of a key.
Result<EntryKeyAddress> parseEntryKey(std::string_view Text);

// Settings of the keys that one process issues.
struct EntryKeySettings {
  EntryId Self;
  Incarnation SelfIncarnation = 0;
  std::string Secret;             // at least 32 random bytes, new at each start
  Duration Ttl = seconds(86'400); // of a key, from its issue
  std::size_t MaxRecords = 16384;
  std::size_t MaxBodyBytes = 16 << 20; // of the bodies of all records together
};

// The records of the keys of one process. Only the functions below change the
// fields; tests may read them.
struct EntryKeys {
  struct Record {
    std::uint64_t BodyHash = 0;
    std::uint64_t Attempt = 0;
    bool Running = true;
    // Empty while the call runs. Empty after its end: the call may have run.
    std::optional<CallOutcome> Outcome;
    // The requests that wait for the call's end, with their deadlines.
    std::vector<std::pair<RequestId, TimePoint>> Waiters;
    TimePoint ExpiresAt;
  };

  explicit EntryKeys(EntryKeySettings Settings)
      : Settings(std::move(Settings)) {}

  EntryKeySettings Settings;
  std::map<std::string, Record> Records;          // by key
  std::map<std::uint64_t, std::string> Running;   // key by attempt
  std::multimap<TimePoint, std::string> Expiries; // keys of all records
  std::size_t BodyBytes = 0;                      // of the kept bodies
  std::uint64_t NextAttempt = 1;
};

using KeyAction = std::variant<SendCall, AnswerOutcome, AnswerRefusal>;

// Returns a new key for Organisation. Nonce must be 16 random bytes.
std::string issueEntryKey(const EntryKeys &Keys,
                          const OrganisationId &Organisation,
                          std::string_view Nonce, TimePoint Now);

// Checks that this process issued Text to Organisation, and returns when the
// key expires. Fails with BadRequest (malformed, forged, or another
// organisation's key), KeyOwnerGone (issued by another entry or by another
// incarnation of this entry) or OutcomeUnknown (expired).
Result<TimePoint> checkEntryKey(const EntryKeys &Keys,
                                const OrganisationId &Organisation,
                                std::string_view Text, TimePoint Now);

// Handles a request with key Text. Returns a SendCall for a new key, an answer
// for a key whose call has ended or a refusal, and nothing while the call runs
// (the request then waits for the call's end).
std::vector<KeyAction>
useEntryKey(EntryKeys &Keys, const OrganisationId &Organisation,
            std::string_view Text, const RequestId &Request,
            std::uint64_t BodyHash, TimePoint Deadline, TimePoint Now);

// Handles the end of the call of a SendCall: answers all requests that wait for
// it. Returns nothing for an unknown Attempt.
std::vector<KeyAction> endEntryKeyCall(EntryKeys &Keys, std::uint64_t Attempt,
                                       const CallEnd &End);

// Handles the disconnect of the caller of Request: Request no longer waits.
void dropEntryKeyWaiter(EntryKeys &Keys, const RequestId &Request);

// Drops expired records and refuses waiting requests whose deadline has passed.
// Call this function about once a second.
std::vector<KeyAction> tickEntryKeys(EntryKeys &Keys, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_ENTRYKEYS_H
