// The placement of one zone: which instances form which replica group, who
// controls the zone and which entry is the home of each upstream. It is one
// object of the platform, placement/<zone>, replaced as a whole by a
// conditional write; so no instance can be in two groups.
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

// One start of one entry.
struct EntryRun {
  EntryId Entry; // empty: none
  Incarnation Start = 0;

  auto operator<=>(const EntryRun &) const = default;
  bool operator==(const EntryRun &) const = default;
};

// A replica group. Its upstream id is its name.
struct Group {
  GroupId Name;                 // never used again in its zone
  std::uint64_t Generation = 1; // rises when members or version change
  ServiceId Service;
  std::string Version;
  std::vector<InstanceId> Members; // by rank
  // Replaces the first member that is lost. In the members' fabric domain.
  std::optional<InstanceId> Spare;

  bool operator==(const Group &) const = default;
};

// The entry that holds an upstream's credits.
struct Home {
  EntryRun Holder;
  std::uint64_t Epoch = 1; // rises with each move

  bool operator==(const Home &) const = default;
};

// A controller that was taken over from and may still have orders under way.
struct FormerController {
  EntryRun Run;
  std::uint64_t Fence = 0; // the last that it gave orders with

  bool operator==(const FormerController &) const = default;
};

struct Placement {
  std::uint64_t Fence = 0; // raised by each takeover
  EntryRun Controller;
  std::vector<Group> Groups; // by name
  std::map<UpstreamId, Home> Homes;
  // The newest fence for which no former controller was left. Equal to Fence
  // when engines that ignore fences may be ordered about.
  std::uint64_t AckFence = 0;
  std::vector<FormerController> Former;
  std::uint64_t NextGroup = 1; // number in the next new group's name

  const Group *findGroup(const GroupId &Name) const;
  // Returns the group that has Instance as a member, or nullptr.
  const Group *groupOf(const InstanceId &Instance) const;

  bool operator==(const Placement &) const = default;
};

// Version of the object's layout. Objects with another one are refused.
constexpr int PlacementFormat = 1;

nlohmann::json toJson(const Placement &Value);
// Fails with BadAnswer and names every problem, also those of findProblems.
Result<Placement> placementFromJson(const nlohmann::json &Value);

// Returns what is wrong with Value: an instance claimed twice (as member or
// spare), a group without members, a group name used twice. Empty if sound.
std::vector<std::string> findProblems(const Placement &Value);

// Returns Value as Self stores it to become controller: the fence is raised
// and the old controller is kept as a former one. Returns Value unchanged if
// Self is the controller.
Placement takeOver(Placement Value, const EntryRun &Self);

// Returns Value without Run as former controller: because it has acknowledged
// that it gives no more orders, or because it is confirmed gone. AckFence
// becomes Fence when none is left.
Placement settleFormer(Placement Value, const EntryRun &Run);

// Returns Value with the spare of Lost's group in Lost's rank and the
// generation raised, or nothing if Lost is no member or its group has no
// spare. The result depends on nothing else, so that all deciders agree while
// the object can't be written.
std::optional<Placement> substituteSpare(Placement Value,
                                         const InstanceId &Lost);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_PLACEMENT_H
