#include "samphirehill/Daemon/UpstreamTable.h"

#include <algorithm>
#include <utility>

namespace samphirehill {
namespace {

// Running calls that another zone's upstream may have fewer of and still not be
// chosen over one of this zone.
constexpr double OtherZoneCost = 4;

double cost(const Upstream &Candidate, const UpstreamQuery &Query) {
  double Load = Candidate.Running + Candidate.OwnSinceReport;
  double Distance = Candidate.Where == Query.Here ? 0 : OtherZoneCost;
  return (Load + Distance + 1) * Candidate.Straggling;
}

} // namespace

bool mayTake(const Upstream &Candidate, const UpstreamQuery &Query) {
  if (!Candidate.Serving || Candidate.Doubtful || Candidate.Of != Query.Of)
    return false;
  if (!Query.Version.empty() && Candidate.Version != Query.Version)
    return false;
  if (!Query.Adapter.empty() && !Candidate.Adapters.contains(Query.Adapter))
    return false;
  return !Query.Excluded.contains(Candidate.Name);
}

std::vector<UpstreamId> chooseUpstreams(const UpstreamTable &Table,
                                        const UpstreamQuery &Query,
                                        std::size_t Count) {
  std::vector<std::pair<double, UpstreamId>> Scored;
  for (const auto &[Name, Candidate] : Table.ByName) {
    if (!mayTake(Candidate, Query))
      continue;
    Scored.emplace_back(cost(Candidate, Query), Name);
  }
  std::ranges::sort(Scored);
  std::vector<UpstreamId> Chosen;
  for (auto &[Score, Name] : Scored) {
    if (Chosen.size() == Count)
      break;
    Chosen.push_back(std::move(Name));
  }
  return Chosen;
}

} // namespace samphirehill
