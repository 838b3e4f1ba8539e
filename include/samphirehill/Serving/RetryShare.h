// Limits how many requests this entry retries. The operators set one limit per
// service for all entries together: in any window, at most Ratio times the
// service's requests plus Slack. Each entry may retry Ratio times its own
// requests plus its share of the slack, so the total limit holds without
// communication between entries, also in network partitions.
#ifndef SAMPHIREHILL_SERVING_RETRYSHARE_H
#define SAMPHIREHILL_SERVING_RETRYSHARE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <deque>
#include <map>

namespace samphirehill::serving {

struct RetryBounds {
  double Ratio = 0.2; // retries per request
  double Slack = 0;   // further retries in a window, over all entries
  Duration Window = seconds(10);
  int Entries = 1; // number of entries that share the slack

  bool operator==(const RetryBounds &) const = default;
};

// Requests and retries of one service in one slice of the window.
struct RetrySlice {
  TimePoint Start{};
  int Requests = 0;
  int Retries = 0;
};

struct RetryShare {
  RetryBounds Bounds;
  std::map<ServiceId, std::deque<RetrySlice>> Slices;
};

// Counts a request of a caller for Service.
void countRequest(RetryShare &Share, const ServiceId &Service, TimePoint Now);

// Counts one retry and returns true if the limit allows it.
bool takeRetry(RetryShare &Share, const ServiceId &Service, TimePoint Now);

// Undoes takeRetry for a retry that was not sent.
void returnRetry(RetryShare &Share, const ServiceId &Service);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_RETRYSHARE_H
