// Messages and values of the capacity credits of upstreams. A credit is the
// right to run one call at an upstream at a time. One entry is the home of an
// upstream and lends its credits, up to a limit (CreditHome.h); every entry
// that routes to the upstream, the home included, borrows them
// (CreditWallet.h).
//
// Home and borrower each send their complete state of the loan, as running
// totals with a sequence number, and resend it until it is acknowledged. Loss,
// duplication and reordering of messages therefore can't corrupt the totals.
//
// Credits belong to a generation. A new generation starts when a home takes up
// its role and at each recall, which takes all credits back. A borrower that
// receives a grant of a new generation drops its idle credits, reports the
// calls still in progress as Carried, and starts its totals at zero. Until that
// report arrives, the home counts the credits that the borrower held before as
// lent.
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

// A number of credits by kind. A suspect credit is for a request that may have
// crashed an upstream (CrashSuspects.h). It counts against the limit like a
// normal credit, and a home lends at most one per upstream at a time.
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

// Orders the recalls of an upstream across its successive homes. Epoch is the
// epoch of the upstream's placement object, which rises when the home changes.
struct CreditGeneration {
  std::uint64_t Epoch = 0;
  std::uint64_t Recall = 0;

  auto operator<=>(const CreditGeneration &) const = default;
};

enum class ColdCause { NewBoot, ConnectionReset, CacheLost, Latency };

// Evidence that an upstream is cold, for example after a restart.
struct ColdEvidence {
  ColdCause Cause = ColdCause::NewBoot;
  BootId Boot; // the boot id observed, or empty

  bool operator==(const ColdEvidence &) const = default;
};

// Message from a borrower to the home. Totals count from the start of
// Generation.
struct CreditReport {
  EntryId From;
  Incarnation FromIncarnation = 0;
  Duration Uptime{}; // of the sender's process
  EntryId To;
  UpstreamId Upstream;
  CreditGeneration Generation;      // {0, 0}: none joined yet
  std::uint64_t Sequence = 0;       // rises with each change of the report
  std::uint64_t AckedGrant = 0;     // highest grant received in Generation
  bool NeedsAck = false;            // the home must answer with a grant
  CreditCount Carried;              // in use when Generation was joined
  CreditCount Received;             // total lent by the grants received
  CreditCount Returned;             // total returned, carried ones included
  CreditCount Wanted;               // calls that wait for a credit
  bool Leaving = false;             // wants no reserve and no more credits
  std::optional<ColdEvidence> Cold; // observed while in Generation

  bool operator==(const CreditReport &) const = default;
};

// Message from the home to a borrower. Granted counts from the start of
// Generation.
struct CreditGrant {
  EntryId From;
  EntryId To;
  Incarnation ToIncarnation = 0; // 0: any, used before the first report
  UpstreamId Upstream;
  CreditGeneration Generation;
  CreditGeneration ColdSince;    // started by the last recall to the cold limit
  BootId Boot;                   // of the upstream; calls are sent with it
  std::uint64_t Sequence = 0;    // rises with each change of the grant
  std::uint64_t AckedReport = 0; // highest report received
  bool NeedsAck = false;         // the borrower must answer with a report
  CreditCount Granted;           // total lent
  bool Reserve = false;          // the borrower keeps one idle credit
  bool Contended = false;        // another borrower waits and holds no credit

  bool operator==(const CreditGrant &) const = default;
};

// Switches that each remove one safety rule. Only tests set them, to show that
// a check finds the violation that the rule prevents.
struct CreditFaults {
  // Lends the credits of a borrower again after 2 s without a report from it.
  bool ReclaimOnTimeout = false;
  // Stops counting the credits of an entry as soon as it is confirmed gone,
  // although its calls may still run.
  bool ReclaimOnConfirmation = false;
  // Lends recalled credits again at once, although they may be in use.
  bool ReclaimOnRecall = false;
  // A new home counts only the credits that are reported to it.
  bool IgnoreUnreachable = false;
  // A grant received twice adds its credits twice.
  bool AddRepeatedGrants = false;
  // A borrower goes on using its recalled credits.
  bool KeepIdleOnRecall = false;
  // Any number of suspect credits is lent.
  bool ManySuspects = false;
};

struct CreditSettings {
  // A borrower returns the credits that it left idle for this long.
  Duration IdleReturn = seconds(1);
  Duration ResendAfter = milliseconds(200); // doubles up to MaxResend
  Duration MaxResend = seconds(5);
  // How long after an entry is confirmed gone an engine's list of its requests
  // must be taken to be complete: by then no request that the entry had sent is
  // still on the network.
  Duration ReportDelay = seconds(1);
  // The longest deadline of a call. The calls of an entry that is confirmed
  // gone count as running for this long if no engine report shows that they
  // ended.
  Duration MaxDeadline = seconds(120);
  // Most credits lent to a waiting borrower at a time, also ahead of its
  // demand.
  int MaxBatch = 4;
  CreditFaults Faults;
};

// Returns the most credits that a borrower other than the home may hold of an
// upstream with limit Limit.
constexpr int borrowerCap(int Limit) {
  return Limit <= 4 ? 1 : (Limit + 3) / 4;
}

// The next time at which each upstream needs work. Idle upstreams have none, so
// that they cost nothing as time passes.
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
  // Returns the upstream with the earliest due time if it is due at Now,
  // otherwise nullptr. The pointer is valid until the next reschedule.
  const UpstreamId *dueUpstream(TimePoint Now) const {
    return earliest() <= Now ? &Times.begin()->second : nullptr;
  }

private:
  std::set<std::pair<TimePoint, UpstreamId>> Times;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CREDITTYPES_H
