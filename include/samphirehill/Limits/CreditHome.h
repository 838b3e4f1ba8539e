// Home side of the capacity credits: the ledgers of all upstreams whose home is
// this entry. A ledger knows an upper bound on what each entry holds, and
// lends only while the sum of all bounds is below the limit.
//
// A loan ends when the borrower returns it, or when its incarnation is
// confirmed gone and its calls are known to have ended. Silence never ends it.
#ifndef SAMPHIREHILL_LIMITS_CREDITHOME_H
#define SAMPHIREHILL_LIMITS_CREDITHOME_H

#include "samphirehill/Limits/CreditTypes.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// What the home knows of one live borrower.
struct CreditAccount {
  Incarnation EntryIncarnation = 0; // 0: not heard yet
  bool InZone = true;               // has a reserve
  bool Listed = true;               // may borrow
  bool Leaving = false;             // its last report said so
  bool Joined = false;              // reported in the ledger's generation
  CreditGeneration Generation;      // of Carried, Granted and Returned
  CreditCount Bound;                // upper bound while not joined
  CreditCount Carried;
  CreditCount Granted;
  CreditCount Received;
  CreditCount Returned;
  CreditCount Wanted;
  std::uint64_t ReportSequence = 0;
  std::uint64_t GrantSequence = 0;
  std::uint64_t AckedGrant = 0;
  TimePoint LastReportAt{};
  TimePoint ResendAt = DueTimes::Never;
  Duration ResendDelay{};

  CreditCount outstanding() const {
    return Joined ? Carried + Granted - Returned : Bound;
  }
};

// An incarnation that is confirmed gone and whose calls may still run.
struct GoneBorrower {
  EntryId Entry; // empty: entries that the home may never have seen
  Incarnation EntryIncarnation = 0; // 0: any but Except
  Incarnation ExceptIncarnation = 0;
  CreditCount Counted;
  TimePoint ConfirmedAt{};
};

struct CreditLedger {
  CreditGeneration Generation;
  CreditGeneration ColdSince; // started by the last cold recall
  BootId Boot;
  int ColdLimit = 1;
  int WarmLimit = 1;
  int Limit = 1;
  int PastLimit = 0;       // highest limit of earlier homes
  double RampFactor = 1.5; // per step
  Duration RampStep = seconds(1);
  TimePoint LastStep{};    // last change of the limit
  TimePoint LastHalving{}; // by overload
  bool Stopped = false;    // lends no more
  bool ReserveOn = false;
  bool Contended = false;
  // Sequence of the last grant to any borrower. An entry that restarted may
  // have received a grant meant for its earlier incarnation, so that sequences
  // must go on rising over accounts.
  std::uint64_t LastGrant = 0;
  std::map<EntryId, CreditAccount> Accounts;
  std::vector<GoneBorrower> Gone;
  EntryId LastServed; // round robin among borrowers that wait
  TimePoint Due = DueTimes::Never;
};

struct CreditHome {
  EntryId Self;
  CreditSettings Settings;
  std::unordered_map<UpstreamId, CreditLedger> Ledgers;
  DueTimes Times;
};

// Entries that may borrow. Both lists come from the platform's instance list
// and from nothing else: the list that shows an old home gone is then newer
// than every list by which that home lent. The zone list includes the home.
struct BorrowerList {
  std::vector<EntryId> Zone;
  std::vector<EntryId> Remote; // entries of other zones that route here
};

// An entry that left the instance list within the last MaxDeadline, or an old
// home that restarted under its id. Earlier incarnations of entries that are
// still listed need no mention; the home counts them by the uptime in reports.
// Nor does one that said it had returned all credits and ended all calls.
struct PastBorrower {
  EntryId Entry;
  Incarnation EntryIncarnation = 0; // 0: any
  TimePoint ConfirmedAt{};
  bool MayHaveBeenHome = true; // if false it held at most a borrower's cap
};

struct HomeOpening {
  UpstreamId Upstream;
  std::uint64_t Epoch = 1; // of this entry's acknowledged conditional write
  BootId Boot;
  int ColdLimit = 1;
  int WarmLimit = 1;
  // The limit to start with. The cold limit, unless the upstream reports that
  // it is warm.
  int StartLimit = 1;
  double RampFactor = 1.5; // of the limit, per step
  Duration RampStep = seconds(1);
  // No home lent credits of this upstream before.
  bool FirstHome = false;
  // The highest limit that an earlier home may have used.
  int HighestLimit = 1;
  // From a list read after the old home was confirmed gone or released.
  BorrowerList Borrowers;
  // Must name the old home, with its incarnation, unless it released the role.
  std::vector<PastBorrower> Past;
  // This process has watched the instance list for MaxDeadline, so that Past is
  // complete. If false, unknown borrowers count as the highest limit until an
  // engine report or MaxDeadline.
  bool PastIsComplete = false;
};

using HomeActions = std::vector<CreditGrant>; // to send to their To

// Becomes the home of an upstream, and asks every borrower for a report. Call
// it after the conditional write that names this entry is acknowledged.
// That write may be made only once the old home is confirmed gone or released.
HomeActions openHome(CreditHome &Home, const HomeOpening &Opening,
                     TimePoint Now);

// Handles a report. Reports of unknown upstreams or borrowers are ignored.
HomeActions receiveReport(CreditHome &Home, const CreditReport &Report,
                          TimePoint Now);

// Replaces the entries that may borrow from Upstream. An entry that is missing
// keeps its account until recordEntryGone, but is lent nothing.
HomeActions setBorrowers(CreditHome &Home, const UpstreamId &Upstream,
                         const BorrowerList &Borrowers, TimePoint Now);

// Records that Entry is no longer in the instance list, in all ledgers.
HomeActions recordEntryGone(CreditHome &Home, const EntryId &Entry,
                            TimePoint Now);

// Records that Entry runs as Number, for example from a heartbeat, in all
// ledgers. Reports of a newer incarnation have the same effect.
HomeActions recordIncarnation(CreditHome &Home, const EntryId &Entry,
                              Incarnation Number, TimePoint Now);

// Handles an engine's list of request ids, running and queued ones. TakenAt is
// the instant just before the list was requested.
HomeActions receiveEngineReport(CreditHome &Home, const UpstreamId &Upstream,
                                const std::vector<RequestId> &Running,
                                TimePoint TakenAt, TimePoint Now);

// Handles a boot id from a probe; a new one recalls all credits.
HomeActions recordBootId(CreditHome &Home, const UpstreamId &Upstream,
                         const BootId &Boot, TimePoint Now);

// Recalls all credits and lends only up to the cold limit.
HomeActions recordColdEvidence(CreditHome &Home, const UpstreamId &Upstream,
                               const ColdEvidence &Evidence, TimePoint Now);

// Halves the limit, at most once per ramp step. Credits are recalled when more
// are lent than the new limit.
HomeActions recordOverload(CreditHome &Home, const UpstreamId &Upstream,
                           TimePoint Now);

// Raises the limit by the ramp factor if a ramp step has passed. Call it when
// a probe or answer shows latency within bounds.
HomeActions recordHealthy(CreditHome &Home, const UpstreamId &Upstream,
                          TimePoint Now);

// Sets the limits of a new configuration.
HomeActions setLimits(CreditHome &Home, const UpstreamId &Upstream,
                      int ColdLimit, int WarmLimit, TimePoint Now);

// Stops lending from Upstream ahead of releaseHome. Return the home's own idle
// credits with returnAllCredits first.
void stopLending(CreditHome &Home, const UpstreamId &Upstream);

// Tells whether the home may release the role: it has stopped lending and its
// own wallet holds no more than a borrower's cap, which is what the next home
// counts for it if they lose contact.
bool canReleaseHome(const CreditHome &Home, const UpstreamId &Upstream);

// Drops the ledger. Call it before the conditional write that gives up the
// role, never after.
void releaseHome(CreditHome &Home, const UpstreamId &Upstream);

// Resends grants and ends the drain of gone borrowers. Call it at nextHomeTime.
HomeActions tickHome(CreditHome &Home, TimePoint Now);

// Returns when tickHome has work, or DueTimes::Never.
TimePoint nextHomeTime(const CreditHome &Home);

// Returns the upper bound on all credits lent, gone borrowers included.
CreditCount outstandingCredits(const CreditLedger &Ledger);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CREDITHOME_H
