// The instances behind the entries as the platform lists them, and the
// upstreams that they form: complete replica groups and instances of plain
// services.
//
// A plain service has no model; each of its instances is an upstream. An engine
// is an instance of a service with models; several engines form a replica
// group.
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

// An instance's membership in a replica group, as the instance reports it.
struct Membership {
  std::string Group;
  std::int64_t Epoch = 0; // unique per formation of a group; increases
  int Rank = 0;           // 0 is the head, which takes the requests
  MemberPhase Phase = MemberPhase::Joining;

  bool operator==(const Membership &) const = default;
};

// An instance with the state that it reports.
struct Instance {
  InstanceId Id;
  ServiceId Service;
  SocketAddress Address;
  ZoneId Zone;
  std::string Domain; // fabric domain; empty for plain services
  bool Draining = false;
  int Slots = 1; // requests that it processes at a time
  // Start of this life of the instance (see InstanceLife), wall clock.
  std::int64_t BornMilliseconds = 0;
  std::vector<std::string> Staged; // models whose weights are on its host
  std::optional<Membership> Group;
  bool OrderRunning = false; // it is executing an order
  double Pace = 1.0;         // above 1: slow

  bool operator==(const Instance &) const = default;
};

// An instance as the platform lists it.
struct ListedInstance {
  Instance Listed;
  Duration ColdFor{}; // remaining time in which it bears only little load

  bool operator==(const ListedInstance &) const = default;
};

// An instance's entry in the list, with what this process adds to it.
struct InstanceRecord {
  Instance Listed;
  TimePoint ColdUntil{}; // until then it bears only little load
  TimePoint ChangedAt{}; // when this process last saw the entry change
  bool Lapsed = false;   // no longer listed, but kept for a while
};

struct Fleet {
  std::map<InstanceId, InstanceRecord> Instances;
  std::set<ZoneId> ZonesOut; // taken out of service by operators
};

// Returns the name of a group, "<model>.<number>". It contains the model so
// that any entry can derive a group's model and size from its members' reports.
std::string groupName(const std::string &Model, std::int64_t Number);
// Returns the model of Group; empty if the name doesn't have groupName's form.
std::string modelOfGroup(const std::string &Group);

// Identifies an upstream. A group that is formed again has another epoch, and
// so is another upstream.
struct UpstreamKey {
  InstanceId Instance;    // the head, or the plain service instance
  std::int64_t Epoch = 0; // of the group; 0 for plain services

  auto operator<=>(const UpstreamKey &) const = default;
  bool operator==(const UpstreamKey &) const = default;
};

// Returns a hash of Key and the life of its instance, equal in all processes.
std::uint64_t upstreamHash(const UpstreamKey &Key,
                           std::int64_t BornMilliseconds);

// A replica group or a plain service instance that requests can be sent to.
struct Upstream {
  UpstreamKey Key;
  ServiceId Service;
  std::string Model; // empty for plain services
  SocketAddress Address;
  ZoneId Zone;
  std::string Domain; // fabric domain of the head; empty for plain services
  int Slots = 1;
  std::int64_t BornMilliseconds = 0; // of the instance that takes the requests
  TimePoint ColdUntil{};             // of the same instance
  std::vector<InstanceId> Members;
  double Pace = 1.0; // factor on the engine's times

  bool operator==(const Upstream &) const = default;
};

// Returns the upstreams that may get new requests: open groups all of whose
// members are listed, and instances of plain services. Excludes instances that
// drain or whose zone operators have taken out of service, and their groups.
std::vector<Upstream> usableUpstreams(const Fleet &Fleet,
                                      const Configuration &Config);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_FLEET_H
