#include "samphirehill/Serving/RetryShare.h"

#include <algorithm>

namespace samphirehill::serving {
namespace {

constexpr Duration SliceLength = milliseconds(500);
// Fraction of the limit that is used. The limit is checked by arrivals at the
// upstream, whose times may differ from those counted here by up to a slice.
constexpr double UsedFraction = 0.85;

// Returns the slices of Service in the window that ends at Now, after adding a
// slice for Now if needed and removing old ones.
std::deque<RetrySlice> &currentSlices(RetryShare &Share,
                                      const ServiceId &Service, TimePoint Now) {
  std::deque<RetrySlice> &Slices = Share.Slices[Service];
  if (Slices.empty() || Now - Slices.back().Start >= SliceLength)
    Slices.push_back({Now, 0, 0});
  while (Now - Slices.front().Start > Share.Bounds.Window + SliceLength)
    Slices.pop_front();
  return Slices;
}

} // namespace

void countRequest(RetryShare &Share, const ServiceId &Service, TimePoint Now) {
  ++currentSlices(Share, Service, Now).back().Requests;
}

bool takeRetry(RetryShare &Share, const ServiceId &Service, TimePoint Now) {
  std::deque<RetrySlice> &Slices = currentSlices(Share, Service, Now);
  int Requests = 0;
  int Retries = 0;
  for (const RetrySlice &Slice : Slices) {
    Requests += Slice.Requests;
    Retries += Slice.Retries;
  }
  double Allowed = Share.Bounds.Ratio * Requests +
                   Share.Bounds.Slack / std::max(Share.Bounds.Entries, 1);
  if (Retries + 1 > UsedFraction * Allowed)
    return false;
  ++Slices.back().Retries;
  return true;
}

void returnRetry(RetryShare &Share, const ServiceId &Service) {
  auto Found = Share.Slices.find(Service);
  if (Found == Share.Slices.end() || Found->second.empty())
    return;
  int &Retries = Found->second.back().Retries;
  Retries = std::max(Retries - 1, 0);
}

} // namespace samphirehill::serving
