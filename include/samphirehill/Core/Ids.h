// Typed identifiers. Each is an immutable string value of its own type, so that
// an entry's id can't be passed where an upstream's is expected.
#ifndef SAMPHIREHILL_CORE_IDS_H
#define SAMPHIREHILL_CORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace samphirehill {

// A string identifier; Tag makes each use a distinct type.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Value) : Value(std::move(Value)) {}

  // The identifier as text, for messages and JSON.
  const std::string &str() const { return Value; }
  bool empty() const { return Value.empty(); }

  auto operator<=>(const Id &) const = default;
  bool operator==(const Id &) const = default;

private:
  std::string Value;
};

// An entry instance: one that runs the daemon.
using EntryId = Id<struct EntryIdTag>;
// Any instance of the instance list: entry, engine or plain service.
using InstanceId = Id<struct InstanceIdTag>;
using ZoneId = Id<struct ZoneIdTag>;
using DomainId = Id<struct DomainIdTag>;
using OrganisationId = Id<struct OrganisationIdTag>;
using ServiceId = Id<struct ServiceIdTag>;
using GroupId = Id<struct GroupIdTag>;
// A unit that takes requests: a replica group or one plain service instance.
using UpstreamId = Id<struct UpstreamIdTag>;
// A new one at each start of an engine or service process.
using BootId = Id<struct BootIdTag>;
using RequestId = Id<struct RequestIdTag>;

// Counts the starts of one entry: the wall clock in microseconds at its start.
// A higher incarnation of an entry proves that the lower one has ended.
using Incarnation = std::uint64_t;

} // namespace samphirehill

template <typename Tag> struct std::hash<samphirehill::Id<Tag>> {
  std::size_t operator()(const samphirehill::Id<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif // SAMPHIREHILL_CORE_IDS_H
