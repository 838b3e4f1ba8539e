// The placement of one zone: which instances form which replica group, which
// entry controls the zone, and which entry is the home of each upstream. The
// placement is one object of the platform, placement/<zone>. A conditional
// write replaces the complete object, so that no instance can be in two groups.
#ifndef SAMPHIREHILL_GROUPS_PLACEMENT_H
#define SAMPHIREHILL_GROUPS_PLACEMENT_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill {

// One process of an entry, from a start to the next.
struct EntryRun {
  EntryId Entry;         // empty: no entry
  Incarnation Start = 0; // higher for each start of the entry

  auto operator<=>(const EntryRun &) const = default;
  bool operator==(const EntryRun &) const = default;
};

// A replica group. Its name is also its upstream id.
struct Group {
  GroupId Name;                 // never reused in its zone
  std::uint64_t Generation = 1; // rises when members or version change
  ServiceId Service;
  std::string Version;
  std::vector<InstanceId> Members; // by rank
  // The engine that replaces the first member that is lost. It is in the fabric
  // domain of the members.
  std::optional<InstanceId> Spare;

  bool operator==(const Group &) const = default;
};

// The entry that holds an upstream's credits.
struct Home {
  EntryRun Holder;
  std::uint64_t Epoch = 1; // rises when the home moves

  bool operator==(const Home &) const = default;
};

// A controller that another one has taken over from and whose orders may still
// take effect.
struct FormerController {
  EntryRun Run;
  std::uint64_t Fence = 0; // the last that it sent orders with

  bool operator==(const FormerController &) const = default;
};

struct Placement {
  std::uint64_t Fence = 0; // raised by each takeover
  EntryRun Controller;
  std::vector<Group> Groups; // by name
  std::map<UpstreamId, Home> Homes;
  // The newest fence at which Former was empty. Engines that don't check fences
  // may be moved to another group only while AckFence is equal to Fence.
  std::uint64_t AckFence = 0;
  std::vector<FormerController> Former; // not yet settled
  std::uint64_t NextGroup = 1;          // number in the next new group's name

  // Returns the group called Name, or nullptr.
  const Group *findGroup(const GroupId &Name) const;
  // Returns the group with member Instance, or nullptr.
  const Group *groupOf(const InstanceId &Instance) const;

  bool operator==(const Placement &) const = default;
};

// Version of the stored object's layout. placementFromJson refuses all other
// versions.
constexpr int PlacementFormat = 1;

nlohmann::json toJson(const Placement &Value);
// Fails with BadAnswer. The message names the malformed field, or every problem
// that findProblems returns.
Result<Placement> placementFromJson(const nlohmann::json &Value);

// Returns a message for each violated rule: an instance is a member or spare at
// most once, each group has members, and group names are unique. Empty if Value
// is valid.
std::vector<std::string> findProblems(const Placement &Value);

// Returns Value as Self stores it to become the controller: with a higher fence
// and with the previous controller added to Former. Returns Value unchanged if
// Self is already the controller.
Placement takeOver(Placement Value, const EntryRun &Self);

// Returns Value without Run in Former. Call it when Run has acknowledged that
// it sends no more orders, or when Run is confirmed gone. Sets AckFence to
// Fence when no former controller is left.
Placement settleFormer(Placement Value, const EntryRun &Run);

// Returns Value with the spare of Lost's group in Lost's rank and with a higher
// generation, or nullopt if Lost is no member or its group has no spare. The
// result depends only on the arguments, so that all entries choose the same
// member while the stored placement can't be written.
std::optional<Placement> substituteSpare(Placement Value,
                                         const InstanceId &Lost);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_PLACEMENT_H
