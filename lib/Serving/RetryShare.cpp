#include "samphirehill/Serving/RetryShare.h"

#include <algorithm>

namespace samphirehill::serving {
namespace {

constexpr Duration SliceLength = milliseconds(500);
// Part of the bound that is used: arrivals are counted at the upstream, up to a
// slice apart from here.
constexpr double UsedPart = 0.85;

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
  for (const RetrySlice &Each : Slices) {
    Requests += Each.Requests;
    Retries += Each.Retries;
  }
  double Allowed = Share.Bounds.Ratio * Requests +
                   Share.Bounds.Slack / std::max(Share.Bounds.Entries, 1);
  if (Retries + 1 > UsedPart * Allowed)
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
