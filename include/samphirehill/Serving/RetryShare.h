// Bounds how many requests this entry sends a second time. The operators' bound
// is one sum for a service over all entries: Ratio of its requests plus a slack
// in any window. Each entry keeps Ratio of its own requests and its part of the
// slack, so the sum holds without talking, in partitions too.
#ifndef SAMPHIREHILL_SERVING_RETRYSHARE_H
#define SAMPHIREHILL_SERVING_RETRYSHARE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <deque>
#include <map>

namespace samphirehill::serving {

struct RetryBounds {
  double Ratio = 0.2;
  double Slack = 0; // over all entries
  Duration Window = seconds(10);
  int Entries = 1; // among which the slack is divided

  bool operator==(const RetryBounds &) const = default;
};

// Arrivals of one service in one slice of time.
struct RetrySlice {
  TimePoint Start{};
  int Requests = 0;
  int Retries = 0;
};

struct RetryShare {
  RetryBounds Bounds;
  std::map<ServiceId, std::deque<RetrySlice>> Slices;
};

// Counts a request that a caller sent for Service.
void countRequest(RetryShare &Share, const ServiceId &Service, TimePoint Now);

// Takes one repeat if the bound allows it.
bool takeRetry(RetryShare &Share, const ServiceId &Service, TimePoint Now);

// Gives back a repeat that never left this process.
void returnRetry(RetryShare &Share, const ServiceId &Service);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_RETRYSHARE_H
