// Takes availability zones out and in.
#ifndef SAMPHIREHILL_CTL_ZONES_H
#define SAMPHIREHILL_CTL_ZONES_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Ctl/VentureClient.h"
#include "samphirehill/Membership/SharedState.h"

#include <optional>
#include <string>
#include <vector>

namespace samphirehill {

struct ZoneChange {
  std::vector<ZoneId> Zones;
  std::string State;    // "in" or "out"
  std::string Operator; // whose change it is
  Duration Wait = seconds(6);
};

// Returns the values for Change: each stamp is above those of Known, which may
// hold several versions of a zone. ChangeId is new for each change.
std::vector<SharedItem> stampedItems(const ZoneChange &Change,
                                     const std::vector<SharedItem> &Known,
                                     const std::string &ChangeId);

// Returns Stored with Items in place of the older values of the same zones.
std::vector<SharedItem> withItems(std::vector<SharedItem> Stored,
                                  const std::vector<SharedItem> &Items);

// Returns a refusal if Now, the object as read after a lost race, holds another
// operator's newer value of one of Change's zones that differs from it.
std::optional<Error> lostZoneRace(const ZoneChange &Change,
                                  const std::vector<SharedItem> &Before,
                                  const std::vector<SharedItem> &Now);

// Puts Change in force: through the object zones/state, or by calling the given
// entries while the platform doesn't answer. Fields tells the way ("via":
// "platform" or "entries"), the stamps and the entries as waitInForce does.
// Errors: NotFound for an unknown zone, Conflict if another operator's change
// won, Timeout if it isn't in force everywhere in time.
Report changeZones(VentureClient &Venture, const ZoneChange &Change,
                   const Say &Tell);

} // namespace samphirehill

#endif // SAMPHIREHILL_CTL_ZONES_H
