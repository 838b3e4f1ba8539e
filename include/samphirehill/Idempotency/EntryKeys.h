// Entry-issued idempotency keys. Only the process that issued a key runs its
// request and keeps the record in memory, so they work without the platform.
//
// A key is `sk1.<entry>.<incarnation>.<issued>.<nonce>.<mac>`. The MAC is
// HMAC-SHA-256 under a secret that never leaves the process, over everything
// before it and the organisation.
//
// Use: at another entry call parseEntryKey() and forward to the issuer; when
// the issuer's incarnation is gone, answer KeyOwnerGone (may have run).
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

// Where a key was issued.
struct EntryKeyAddress {
  EntryId Entry;
  Incarnation Issuer = 0;

  bool operator==(const EntryKeyAddress &) const = default;
};

// Returns whether Text has the form of an entry-issued key; a caller's own key
// must not begin with `sk1.`.
bool isEntryKey(std::string_view Text);

// Returns the address in Text, unverified. Fails with BadRequest.
Result<EntryKeyAddress> parseEntryKey(std::string_view Text);

struct EntryKeySettings {
  EntryId Self;
  Incarnation SelfIncarnation = 0;
  std::string Secret; // at least 32 random bytes, new at each start
  Duration Ttl = seconds(86'400);
  std::size_t MaxRecords = 16384;
  std::size_t MaxBodyBytes = 16 << 20; // of all kept bodies together
};

// The records of one process. Fields are for the functions below and tests.
struct EntryKeys {
  struct Record {
    std::uint64_t BodyHash = 0;
    std::uint64_t Attempt = 0;
    bool Running = true;
    std::optional<CallOutcome> Outcome; // none when ended: may have run
    std::vector<std::pair<RequestId, TimePoint>> Waiters; // with deadlines
    TimePoint ExpiresAt;
  };

  explicit EntryKeys(EntryKeySettings Settings)
      : Settings(std::move(Settings)) {}

  EntryKeySettings Settings;
  std::map<std::string, Record> Records;          // by key
  std::map<std::uint64_t, std::string> Running;   // by attempt
  std::multimap<TimePoint, std::string> Expiries; // of ended and running ones
  std::size_t BodyBytes = 0;
  std::uint64_t NextAttempt = 1;
};

using KeyAction = std::variant<SendCall, AnswerOutcome, AnswerRefusal>;

// Returns a new key for Organisation. Nonce is 16 random bytes of the caller.
std::string issueEntryKey(const EntryKeys &Keys,
                          const OrganisationId &Organisation,
                          std::string_view Nonce, TimePoint Now);

// Checks that Text was issued by this process to Organisation. Fails with
// BadRequest (forged, or another organisation's), KeyOwnerGone (issued by
// another incarnation of this entry) or OutcomeUnknown (expired).
Result<TimePoint> checkEntryKey(const EntryKeys &Keys,
                                const OrganisationId &Organisation,
                                std::string_view Text, TimePoint Now);

// A request with key Text arrived: returns SendCall for a new key, an answer
// for an ended one, and nothing while the call runs (the request then waits).
std::vector<KeyAction>
useEntryKey(EntryKeys &Keys, const OrganisationId &Organisation,
            std::string_view Text, const RequestId &Request,
            std::uint64_t BodyHash, TimePoint Deadline, TimePoint Now);

// The call of a SendCall ended; answers everyone who waits.
std::vector<KeyAction> endEntryKeyCall(EntryKeys &Keys, std::uint64_t Attempt,
                                       const CallEnd &End);

// The caller of Request went away.
void dropEntryKeyWaiter(EntryKeys &Keys, const RequestId &Request);

// Drops expired records and answers waiters past their deadline. Call it about
// once a second.
std::vector<KeyAction> tickEntryKeys(EntryKeys &Keys, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_ENTRYKEYS_H
