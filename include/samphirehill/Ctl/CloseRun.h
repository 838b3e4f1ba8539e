// The tool's side of the close of the venture. What to do next is decided by
// nextCloseStep (Membership/Close.h) from what still exists, so a run that was
// interrupted anywhere is simply run again.
#ifndef SAMPHIREHILL_CTL_CLOSERUN_H
#define SAMPHIREHILL_CTL_CLOSERUN_H

#include "samphirehill/Ctl/VentureClient.h"
#include "samphirehill/Membership/Close.h"

#include <functional>
#include <string>

namespace samphirehill {

struct CloseOptions {
  std::string Operator;                // whose mark it is
  bool Wait = false;                   // until the close is complete
  Duration Period = milliseconds(500); // between two reads
  // Asked after each write and deletion; false ends the run there. May be
  // empty.
  std::function<bool()> GoOn;
};

// Returns what an engine's /status answer says, and an entry's
// /operator/status answer. A failed answer is a report without Answered.
EngineCloseReport engineReport(const InstanceId &Engine,
                               const JsonAnswer &Answer);
EntryCloseReport entryReport(const EntryId &Entry, const JsonAnswer &Answer);

// Describes a step for the operator.
std::string describe(const ToolCloseStep &Step);

// Sets the close mark and goes on as far as possible, or with Wait until no
// object of the system's kinds is left. Entries are those of the instance list;
// one without a given --entry address counts as not answering. Fields:
// "complete", "waitingFor", "deleted" and "skipped" (instances that did not
// answer for CloseSilenceLimit). Fails with Timeout if the close is not
// complete when a run without Wait ends: run it again.
Report closeVenture(VentureClient &Venture, const CloseOptions &Options,
                    const Say &Tell);

} // namespace samphirehill

#endif // SAMPHIREHILL_CTL_CLOSERUN_H
