// What the entries say about themselves and the venture, in one view.
#ifndef SAMPHIREHILL_CTL_STATUSREPORT_H
#define SAMPHIREHILL_CTL_STATUSREPORT_H

#include "samphirehill/Ctl/VentureClient.h"

#include <string>
#include <vector>

namespace samphirehill {

// Merges status answers: "entries" (each with "address" and "status" or
// "error"), "inForce" (highest version per operator, and "behind": the entries
// with a lower one), "zones" (the state with the highest stamp), "upstreams" by
// name and "closing". Of an upstream the report of an entry in its own zone is
// taken.
nlohmann::json mergeStatuses(const std::vector<std::string> &Addresses,
                             const std::vector<JsonAnswer> &Answers);

// Returns a merged status as lines of a table.
std::vector<std::string> statusTable(const nlohmann::json &Merged);

// Reads and tells the status of all given entries. Fails with the first error
// if some entry doesn't answer.
Report reportStatus(VentureClient &Venture, const Say &Tell);

} // namespace samphirehill

#endif // SAMPHIREHILL_CTL_STATUSREPORT_H
