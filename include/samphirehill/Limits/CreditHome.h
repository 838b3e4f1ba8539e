// Home side of the capacity credits: the ledgers of all upstreams whose home is
// this entry. A ledger holds an upper bound on the credits of each entry, and
// lends only while the sum of these bounds is below the limit.
//
// A loan ends when the borrower returns it, or when the borrower's incarnation
// is confirmed gone and its calls are known to have ended. It never ends merely
// because no reports arrive.
#ifndef SAMPHIREHILL_LIMITS_CREDITHOME_H
#define SAMPHIREHILL_LIMITS_CREDITHOME_H

#include "samphirehill/Limits/CreditTypes.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// The state of the loan to one borrower that isn't confirmed gone. Carried,
// Granted, Received and Returned are totals of Generation.
struct CreditAccount {
  Incarnation EntryIncarnation = 0; // 0: no report received yet
  bool InZone = true;               // has a reserve
  bool Listed = true;               // may borrow
  bool Leaving = false;             // its last report said so
  bool Joined = false;              // reported in the ledger's generation
  CreditGeneration Generation;      // the last one that the borrower joined
  CreditCount Bound;                // upper bound on its credits while !Joined
  CreditCount Carried;
  CreditCount Granted;
  CreditCount Received;
  CreditCount Returned;
  CreditCount Wanted;               // calls that wait, by its last report
  std::uint64_t ReportSequence = 0; // of the last report applied
  std::uint64_t GrantSequence = 0;  // of the last changed grant
  std::uint64_t AckedGrant = 0;     // highest grant that it acknowledged
  TimePoint LastReportAt{};
  TimePoint ResendAt = DueTimes::Never;
  Duration ResendDelay{};

  CreditCount outstanding() const {
    return Joined ? Carried + Granted - Returned : Bound;
  }
};

// A borrower's incarnation that is confirmed gone and whose calls may still
// run.
struct GoneBorrower {
  EntryId Entry; // empty: all entries without an account or record here
  Incarnation EntryIncarnation = 0;  // 0: any but ExceptIncarnation
  Incarnation ExceptIncarnation = 0; // 0: none
  CreditCount Counted;               // upper bound on its running calls
  TimePoint ConfirmedAt{};           // when it was confirmed gone
};

// Limits and loans of one upstream.
struct CreditLedger {
  CreditGeneration Generation;
  CreditGeneration ColdSince; // started by the last recall to the cold limit
  BootId Boot;
  // The limit is the number of credits that may be lent. It rises by steps from
  // the cold limit to the warm one.
  int ColdLimit = 1;
  int WarmLimit = 1;
  int Limit = 1;
  int PastLimit = 0;       // highest limit of earlier homes; 0: none lent
  double RampFactor = 1.5; // per step
  Duration RampStep = seconds(1);
  TimePoint LastStep{};    // last change of the limit
  TimePoint LastHalving{}; // by overload
  bool Stopped = false;    // lends no more
  bool ReserveOn = false;  // each listed entry of the zone has a reserve
  bool Contended = false;  // a borrower waits and holds no credit
  // Sequence of the last grant to any borrower. An entry that restarted may
  // have received a grant meant for its earlier incarnation. The sequence
  // therefore rises across accounts and doesn't start again with a new one.
  std::uint64_t LastGrant = 0;
  std::map<EntryId, CreditAccount> Accounts;
  std::vector<GoneBorrower> Gone;
  EntryId LastServed; // for round robin among the borrowers that wait
  TimePoint Due = DueTimes::Never; // as set in CreditHome::Times
};

// The ledgers of all upstreams whose home is this entry.
struct CreditHome {
  EntryId Self;
  CreditSettings Settings;
  std::unordered_map<UpstreamId, CreditLedger> Ledgers;
  DueTimes Times;
};

// Entries that may borrow. Both lists must come from the platform's instance
// list alone. The instance list in which an old home is missing is then newer
// than every list by which that home lent. Zone includes the home.
struct BorrowerList {
  std::vector<EntryId> Zone;   // entries of the upstream's zone
  std::vector<EntryId> Remote; // entries of other zones that route here
};

// An entry that left the instance list within the last MaxDeadline, or an old
// home that restarted under its id. Two kinds of entries are left out: earlier
// incarnations of entries that are still in the list, since the home detects
// them by the uptime in reports; and entries that reported, before leaving,
// that they had returned all credits and that all their calls had ended.
struct PastBorrower {
  EntryId Entry;
  Incarnation EntryIncarnation = 0; // 0: any
  TimePoint ConfirmedAt{};          // when it was confirmed gone
  bool MayHaveBeenHome = true;      // false: it held at most a borrower's cap
};

// The state from which openHome starts a ledger.
struct HomeOpening {
  UpstreamId Upstream;
  // Epoch of the acknowledged conditional write that made this entry the home.
  std::uint64_t Epoch = 1;
  BootId Boot;
  int ColdLimit = 1;
  int WarmLimit = 1;
  // The initial limit: the cold limit, unless the upstream reports that it is
  // warm.
  int StartLimit = 1;
  double RampFactor = 1.5; // of the limit, per step
  Duration RampStep = seconds(1);
  // No earlier home has lent credits of this upstream.
  bool FirstHome = false;
  // The highest limit that an earlier home may have used.
  int HighestLimit = 1;
  // From an instance list read after the old home was confirmed gone or had
  // released the role.
  BorrowerList Borrowers;
  // Must name the old home, with its incarnation, unless it released the role.
  std::vector<PastBorrower> Past;
  // This process has watched the instance list for MaxDeadline, so that Past is
  // complete. If false, the ledger counts HighestLimit credits for unknown
  // borrowers until an engine report lowers the number or MaxDeadline passes.
  bool PastIsComplete = false;
};

// Grants to send, each to the entry in its field To.
using HomeActions = std::vector<CreditGrant>;

// Makes this entry the home of an upstream and asks the borrowers for reports.
// Call it once the conditional write that names this entry as the home is
// acknowledged. That write may be made only once the old home is confirmed gone
// or has released the role.
HomeActions openHome(CreditHome &Home, const HomeOpening &Opening,
                     TimePoint Now);

// Handles a report. Reports about unknown upstreams or from unknown borrowers
// are ignored.
HomeActions receiveReport(CreditHome &Home, const CreditReport &Report,
                          TimePoint Now);

// Replaces the list of entries that may borrow from Upstream. An entry that is
// no longer in the list keeps its account until recordEntryGone but is lent
// nothing.
HomeActions setBorrowers(CreditHome &Home, const UpstreamId &Upstream,
                         const BorrowerList &Borrowers, TimePoint Now);

// Records that Entry is no longer in the instance list, in all ledgers.
HomeActions recordEntryGone(CreditHome &Home, const EntryId &Entry,
                            TimePoint Now);

// Records, in all ledgers, that Entry runs as incarnation Newest, for example
// from a heartbeat. The report of a newer incarnation has the same effect.
HomeActions recordIncarnation(CreditHome &Home, const EntryId &Entry,
                              Incarnation Newest, TimePoint Now);

// Handles an engine's list of the ids of its running and queued requests.
// TakenAt is the time just before the list was requested.
HomeActions receiveEngineReport(CreditHome &Home, const UpstreamId &Upstream,
                                const std::vector<RequestId> &Running,
                                TimePoint TakenAt, TimePoint Now);

// Handles a boot id from a probe. A new one recalls all credits and lowers the
// limit to the cold one.
HomeActions recordBootId(CreditHome &Home, const UpstreamId &Upstream,
                         const BootId &Boot, TimePoint Now);

// Recalls all credits and lowers the limit to the cold one.
HomeActions recordColdEvidence(CreditHome &Home, const UpstreamId &Upstream,
                               const ColdEvidence &Evidence, TimePoint Now);

// Halves the limit, but not below the cold limit and at most once per ramp
// step. All credits are recalled if more are lent than the new limit.
HomeActions recordOverload(CreditHome &Home, const UpstreamId &Upstream,
                           TimePoint Now);

// Raises the limit by the ramp factor, up to the warm limit, if a ramp step has
// passed. Call it when a probe or an answer shows latency within bounds.
HomeActions recordHealthy(CreditHome &Home, const UpstreamId &Upstream,
                          TimePoint Now);

// Sets the cold and warm limits of a new configuration, and brings the current
// limit between them.
HomeActions setLimits(CreditHome &Home, const UpstreamId &Upstream,
                      int ColdLimit, int WarmLimit, TimePoint Now);

// Stops lending from Upstream, before releaseHome. First return the idle
// credits of the home's own wallet with returnAllCredits.
void stopLending(CreditHome &Home, const UpstreamId &Upstream);

// Returns whether the home may release the role: it has stopped lending, and
// its own wallet holds at most a borrower's cap, which is what the next home
// counts for this entry if it can't reach it.
bool canReleaseHome(const CreditHome &Home, const UpstreamId &Upstream);

// Removes the ledger. Call it before the conditional write that gives up the
// role, never after it: the next home may lend as soon as the write is done.
void releaseHome(CreditHome &Home, const UpstreamId &Upstream);

// Resends unacknowledged grants, and stops counting gone borrowers whose drain
// time has passed. Call it at nextHomeTime.
HomeActions tickHome(CreditHome &Home, TimePoint Now);

// Returns the time at which tickHome next has work, or DueTimes::Never.
TimePoint nextHomeTime(const CreditHome &Home);

// Returns the upper bound on all credits lent, including those of gone
// borrowers.
CreditCount outstandingCredits(const CreditLedger &Ledger);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CREDITHOME_H
