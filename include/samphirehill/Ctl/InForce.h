// Waits until entries have a change in force, and tells after how long.
#ifndef SAMPHIREHILL_CTL_INFORCE_H
#define SAMPHIREHILL_CTL_INFORCE_H

#include "samphirehill/Ctl/VentureClient.h"
#include "samphirehill/Membership/SharedState.h"

#include <cstdint>
#include <functional>
#include <string>

namespace samphirehill {

// Whether a status answer of an entry shows version Version of Operator's text,
// or a later one, in force.
bool textInForce(const nlohmann::json &Status, const std::string &Operator,
                 std::uint64_t Version);

// The version of Key in a status answer; {0, ""} if there is none.
SharedVersion versionIn(const nlohmann::json &Status, const SharedKey &Key);

// Reads the status of all given entries until InForce holds for each, at most
// for Wait, and tells each result. Fields holds "entries", one object for each:
// "address", "inForce" and "afterMs" or "error". Fails with Timeout if an entry
// doesn't have it in force in time; without entries it tells that none is
// given.
Report waitInForce(VentureClient &Venture, Duration Wait,
                   const std::function<bool(const nlohmann::json &)> &InForce,
                   const Say &Tell);

} // namespace samphirehill

#endif // SAMPHIREHILL_CTL_INFORCE_H
