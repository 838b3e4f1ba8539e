// Messages and values of the capacity credits of upstreams. Sending a request
// to an upstream needs one credit; the home of the upstream lends credits
// (CreditHome.h) and every entry that routes to it borrows them
// (CreditWallet.h).
//
// Home and borrower each send their whole state of the loan as running totals
// with a sequence number, and resend it until it is acknowledged. Loss,
// duplication and reordering of messages therefore change nothing.
//
// Credits belong to a generation. A recall, like the opening of a home, starts
// a generation: a borrower that hears of it drops its idle credits, reports
// the calls still in progress as Carried, and starts its totals at zero. Until
// that report arrives the home counts what the borrower held before.
#ifndef SAMPHIREHILL_LIMITS_CREDITTYPES_H
#define SAMPHIREHILL_LIMITS_CREDITTYPES_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace samphirehill {

// Credits by kind. A suspect credit is for a request that may have crashed an
// upstream; it counts against the limit like a normal one.
struct CreditCount {
  int Normal = 0;
  int Suspect = 0;

  int total() const { return Normal + Suspect; }
  CreditCount operator+(const CreditCount &Other) const {
    return {Normal + Other.Normal, Suspect + Other.Suspect};
  }
  CreditCount operator-(const CreditCount &Other) const {
    return {Normal - Other.Normal, Suspect - Other.Suspect};
  }
  bool operator==(const CreditCount &) const = default;
};

// Orders recalls over all homes that an upstream had. Epoch is the one of the
// placement object; it rises with each change of the home.
struct CreditGeneration {
  std::uint64_t Epoch = 0;
  std::uint64_t Recall = 0;

  auto operator<=>(const CreditGeneration &) const = default;
};

enum class ColdCause { NewBoot, ConnectionReset, CacheLost, Latency };

// Evidence that an upstream is cold. Boot is the boot id seen, or empty.
struct ColdEvidence {
  ColdCause Cause = ColdCause::NewBoot;
  BootId Boot;

  bool operator==(const ColdEvidence &) const = default;
};

// Borrower to home. Totals count from the start of Generation.
struct CreditReport {
  EntryId From;
  Incarnation FromIncarnation = 0;
  Duration Uptime{}; // of the sender's process
  EntryId To;
  UpstreamId Upstream;
  CreditGeneration Generation;      // {0, 0}: none joined yet
  std::uint64_t Sequence = 0;       // rises with each change of the report
  std::uint64_t AckedGrant = 0;     // highest grant sequence of Generation seen
  bool NeedsAck = false;            // the home must answer with a grant
  CreditCount Carried;              // in use when Generation was joined
  CreditCount Received;             // total of the grants seen
  CreditCount Returned;             // total given back, carried ones included
  CreditCount Wanted;               // calls that wait for a credit
  bool Leaving = false;             // wants no reserve and no more credits
  std::optional<ColdEvidence> Cold; // seen while in Generation

  bool operator==(const CreditReport &) const = default;
};

// Home to borrower. Granted counts from the start of Generation.
struct CreditGrant {
  EntryId From;
  EntryId To;
  Incarnation ToIncarnation = 0; // 0: any, used before the first report
  UpstreamId Upstream;
  CreditGeneration Generation;
  CreditGeneration ColdSince; // started by the last cold recall
  BootId Boot;
  std::uint64_t Sequence = 0;    // rises with each change of the grant
  std::uint64_t AckedReport = 0; // highest report sequence seen
  bool NeedsAck = false;         // the borrower must answer with a report
  CreditCount Granted;
  bool Reserve = false;   // keep one idle credit
  bool Contended = false; // another borrower waits and holds no credit

  bool operator==(const CreditGrant &) const = default;
};

// Switches that each remove one safety rule. Only tests set them, to show that
// a check finds the violation that the rule prevents.
struct CreditFaults {
  bool ReclaimOnTimeout = false;      // of a silent borrower, after 2 s
  bool ReclaimOnConfirmation = false; // ignores calls that still run
  bool ReclaimOnRecall = false;       // ignores credits not yet returned
  bool IgnoreUnreachable = false;     // takeover counts reported credits only
  bool AddRepeatedGrants = false;     // a duplicate grant adds credits again
  bool KeepIdleOnRecall = false;      // borrower keeps using recalled credits
  bool ManySuspects = false;          // no bound on suspect credits
};

struct CreditSettings {
  Duration IdleReturn = seconds(1);
  Duration ResendAfter = milliseconds(200); // doubles up to MaxResend
  Duration MaxResend = seconds(5);
  // Age of an engine report, after a confirmation, from which it is complete:
  // by then no request that the entry had sent is still on its way.
  Duration ReportDelay = seconds(1);
  Duration MaxDeadline = seconds(120); // drain time without an engine report
  int MaxBatch = 4;                    // credits lent ahead of demand
  CreditFaults Faults;
};

// Returns the most credits that a borrower other than the home may hold.
constexpr int borrowerCap(int Limit) {
  return Limit <= 4 ? 1 : (Limit + 3) / 4;
}

// The next instant at which each upstream needs work; idle ones have none, so
// that time passing costs nothing for them.
class DueTimes {
public:
  static constexpr TimePoint Never = TimePoint::max();

  // Replaces Old, the due time last set for Upstream, by New.
  void reschedule(const UpstreamId &Upstream, TimePoint &Old, TimePoint New) {
    if (Old == New)
      return;
    if (Old != Never)
      Times.erase({Old, Upstream});
    if (New != Never)
      Times.insert({New, Upstream});
    Old = New;
  }
  // Returns the earliest due time, or Never.
  TimePoint earliest() const {
    return Times.empty() ? Never : Times.begin()->first;
  }
  // Returns the upstream that is due at Now, or nullptr. The pointer is valid
  // until the next move.
  const UpstreamId *dueUpstream(TimePoint Now) const {
    return earliest() <= Now ? &Times.begin()->second : nullptr;
  }

private:
  std::set<std::pair<TimePoint, UpstreamId>> Times;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CREDITTYPES_H
