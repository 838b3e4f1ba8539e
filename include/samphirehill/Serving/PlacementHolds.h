// What keeps a request from being placed, for the log and the metrics.
#ifndef SAMPHIREHILL_SERVING_PLACEMENTHOLDS_H
#define SAMPHIREHILL_SERVING_PLACEMENTHOLDS_H

#include "samphirehill/Serving/RequestWire.h"
#include "samphirehill/Serving/ServingMetrics.h"

#include <array>
#include <cstddef>
#include <string>

namespace samphirehill::serving {

// Why an upstream may not take a request now.
enum class HoldReason {
  None,
  Quiet,   // it has asked for a pause
  Limit,   // its stated limit lets this entry send nothing now
  Slots,   // all its slots are taken
  Prompts, // prompts that it has yet to read would delay the first event
  Cold,    // its request rate is limited after its start
  Pace,    // it starts or recovers, and is limited by how it answers
  Stalled, // it makes no progress
  Share,   // it has room, but this entry or caller uses its share of the slots
};

// Returns the name of Reason in the log.
const char *toString(HoldReason Reason);

// The upstreams that may not take a request, by reason.
struct HoldCounts {
  std::array<int, static_cast<std::size_t>(HoldReason::Share) + 1> Upstreams{};

  int &operator[](HoldReason Reason) {
    return Upstreams[static_cast<std::size_t>(Reason)];
  }
  bool operator==(const HoldCounts &) const = default;
};

// Returns the counts as they are logged, for example "slots:3,prompts:5", or
// "none".
std::string toString(const HoldCounts &Counts);

// Counts a request that has ended by the length of its prompt, in powers of
// two, so that long prompts that are left unserved show.
void countByPrompt(ServingMetrics &Metrics, const RequestFacts &Facts,
                   bool Served);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PLACEMENTHOLDS_H
