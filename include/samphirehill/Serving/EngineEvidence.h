// What is known of an engine's membership in a replica group, from all sources:
// its entry in the list, its own reports, and the orders given to it. The entry
// may be older than the others: an engine that is cut off from the platform's
// store goes on carrying out orders and reporting.
#ifndef SAMPHIREHILL_SERVING_ENGINEEVIDENCE_H
#define SAMPHIREHILL_SERVING_ENGINEEVIDENCE_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/GroupPlan.h"

#include <cstdint>
#include <optional>

namespace samphirehill::serving {

// A membership, or that an engine is in no group, as of a time.
struct MembershipNews {
  std::optional<Membership> Group;
  TimePoint AsOf{};

  bool operator==(const MembershipNews &) const = default;
};

// A group that an engine has agreed to leave, by an order sent at SentAt.
struct LeftGroup {
  std::int64_t Epoch = 0;
  TimePoint SentAt{};

  bool operator==(const LeftGroup &) const = default;
};

// What the holder of the group duty has heard from, and ordered, one engine.
struct EngineEvidence {
  std::int64_t Life = 0; // BornMilliseconds; the rest is of this life
  // The engine's last report; AsOf: it shows the state of this time or later.
  std::optional<MembershipNews> Reported;
  // The membership by the last order that the engine hasn't refused; AsOf: when
  // the order was sent.
  std::optional<MembershipNews> Ordered;
  std::optional<LeftGroup> Left; // the last one

  bool operator==(const EngineEvidence &) const = default;
};

// Records what an engine reports about itself.
void noteReported(EngineEvidence &Evidence, const Instance &Reported,
                  TimePoint AsOf);

// Records that Order is sent to the engine's life.
void noteOrdered(EngineEvidence &Evidence, const GroupOrder &Order,
                 std::int64_t Life, TimePoint Now);

// Records whether the engine's life accepted Order, which was sent at SentAt.
void noteOrderAnswered(EngineEvidence &Evidence, const GroupOrder &Order,
                       std::int64_t Life, bool Accepted, TimePoint SentAt);

// Returns the membership that the engine has by its own words: the entry
// Listed, last seen to change at ListedAt, and its reports. Of two groups, that
// of the higher epoch is the later one.
std::optional<Membership> statedMembership(const EngineEvidence &Evidence,
                                           const Instance &Listed,
                                           TimePoint ListedAt);

// Returns the membership that the engine may have, by its own words and by the
// orders that it may be carrying out.
std::optional<Membership> possibleMembership(const EngineEvidence &Evidence,
                                             const Instance &Listed,
                                             TimePoint ListedAt);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_ENGINEEVIDENCE_H
