// The instances behind the entries as the platform lists them, and the
// upstreams that they form: whole replica groups and plain service instances.
#ifndef SAMPHIREHILL_SERVING_FLEET_H
#define SAMPHIREHILL_SERVING_FLEET_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Configuration.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

enum class MemberPhase { Joining, Ready, Open, Closing, Broken };

// An instance's place in a replica group, as the instance itself reports it.
struct Membership {
  std::string Group;
  std::int64_t Epoch = 0;
  int Rank = 0; // 0 is the head, which takes the requests
  MemberPhase Phase = MemberPhase::Joining;

  bool operator==(const Membership &) const = default;
};

struct Instance {
  InstanceId Id;
  ServiceId Service;
  SocketAddress Address;
  ZoneId Zone;
  std::string Domain; // of the fabric; empty for plain services
  bool Draining = false;
  int Slots = 1;
  std::int64_t BornMilliseconds = 0; // start of this life, wall clock
  std::vector<std::string> Staged;   // models whose weights are on its host
  std::optional<Membership> Group;
  bool OrderRunning = false;
  double Pace = 1.0; // above 1: slow

  bool operator==(const Instance &) const = default;
};

// An instance as the platform lists it.
struct ListedInstance {
  Instance Listed;
  Duration ColdFor{}; // how much longer it bears little load

  bool operator==(const ListedInstance &) const = default;
};

// What is known of an instance besides its entry in the list.
struct InstanceRecord {
  Instance Listed;
  TimePoint ColdUntil{};
  TimePoint ChangedAt{}; // when this process last saw the entry change
  bool Lapsed = false;   // no longer listed, and kept for a while
};

struct Fleet {
  std::map<InstanceId, InstanceRecord> Instances;
  std::set<ZoneId> ZonesOut; // taken out of service by operators
};

// Groups carry their model in the name, "<model>.<number>", so that any entry
// can tell a group's model and size from what its members report.
std::string groupName(const std::string &Model, std::int64_t Number);
// Returns the model of Group, empty if the name isn't one of groupName.
std::string modelOfGroup(const std::string &Group);

// Identifies one incarnation of an upstream: a group's epoch is part of it.
struct UpstreamKey {
  InstanceId Instance; // the head, or the plain service instance
  std::int64_t Epoch = 0;

  auto operator<=>(const UpstreamKey &) const = default;
  bool operator==(const UpstreamKey &) const = default;
};

// Something that takes requests.
struct Upstream {
  UpstreamKey Key;
  ServiceId Service;
  std::string Model; // empty for plain services
  SocketAddress Address;
  ZoneId Zone;
  int Slots = 1;
  std::int64_t BornMilliseconds = 0; // of the instance that takes the requests
  TimePoint ColdUntil{};             // likewise
  std::vector<InstanceId> Members;
  double Pace = 1.0; // factor on its times

  bool operator==(const Upstream &) const = default;
};

// Returns the upstreams that may get new work: open groups all of whose members
// are listed, and plain instances; none that drains or is in a zone that is
// out.
std::vector<Upstream> usableUpstreams(const Fleet &Fleet,
                                      const Configuration &Config);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_FLEET_H
