// The routes of a configuration, found by host and path.
#ifndef SAMPHIREHILL_SERVING_ROUTETABLE_H
#define SAMPHIREHILL_SERVING_ROUTETABLE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill::serving {

// How often a request may run at upstreams.
enum class RequestKind {
  Safe,   // may run more than once
  Unsafe, // runs at most once
  // Answered by a series of events. Runs at most once unless the route is
  // resumable.
  Stream,
};

struct WeightedService {
  ServiceId Service;
  int Weight = 1;

  bool operator==(const WeightedService &) const = default;
};

struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  RequestKind Kind = RequestKind::Unsafe;
  bool Resumable = false; // a stream may continue at another upstream
  bool Anonymous = false; // requests carry no key
  Duration Timeout = seconds(30);
  Duration Objective = seconds(1);          // until a stream's first event
  Duration GapObjective = Duration::zero(); // between events; 0: none
  int Priority = 5;                         // 0 is the highest
  int MaxAttempts = 1;
  std::vector<WeightedService> Services;

  bool operator==(const Route &) const = default;
};

// Routes are shared between versions of a configuration.
using SharedRoute = std::shared_ptr<const Route>;

// An immutable set of routes. The time to find a route grows with the number of
// different prefix lengths of its host, not with the number of routes.
class RouteTable {
public:
  RouteTable() = default;
  // Creates a table that shares Routes with other tables. Of routes with the
  // same host and prefix, only the first is ever found.
  static RouteTable create(std::vector<SharedRoute> Routes);
  // Creates a table of copies of Routes, which it shares with no other table.
  static RouteTable create(const std::vector<Route> &Routes);

  // Returns the route of Host with the longest prefix of Path, or nullptr. Host
  // is compared without regard to case and may include a port; Path may include
  // a query.
  const Route *find(std::string_view Host, std::string_view Path) const;

  // Returns all routes in the order in which create received them.
  const std::vector<SharedRoute> &routes() const { return Routes; }
  std::size_t size() const { return Routes.size(); }

  bool operator==(const RouteTable &Other) const;

private:
  struct HostRoutes {
    // The different lengths of the prefixes, the longest first.
    std::vector<std::size_t> Lengths;
    // The keys point into the routes' PathPrefix.
    std::unordered_map<std::string_view, const Route *> ByPrefix;
  };

  std::vector<SharedRoute> Routes;
  std::unordered_map<std::string, HostRoutes> ByHost; // keys in lower case
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_ROUTETABLE_H
