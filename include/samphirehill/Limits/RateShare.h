// One entry's part of a rate of requests that all entries together may send to
// an upstream. Entries agree on nothing: each turns its share of the rate into
// tokens, one for each request. A token that is not used expires, so that
// entries that were idle can't send many requests at the same time. No I/O;
// time comes from the caller.
#ifndef SAMPHIREHILL_LIMITS_RATESHARE_H
#define SAMPHIREHILL_LIMITS_RATESHARE_H

#include "samphirehill/Core/Time.h"

#include <cstddef>

namespace samphirehill {

// The tokens of one entry for one upstream.
struct RateShare {
  double PerSecond = 0; // of this entry
  Duration Validity{};  // of a token
  double Generated = 0; // tokens since the start, as of UpdatedAt
  double Spent = 0;     // whole tokens that were used or have expired
  TimePoint UpdatedAt{};

  bool operator==(const RateShare &) const = default;
};

// Returns a share without tokens. Phase, in [0, 1), is the part of the first
// token that exists already; entries with different phases send at different
// times.
RateShare startedShare(double Phase, TimePoint Now);

// Sets the rate from Now on. Total is the rate of all entries, in requests per
// second, and Share this entry's part of it, 0 to 1.
void setRate(RateShare &Tokens, double Total, double Share, TimePoint Now);

// Returns whether a request may be sent at Now.
bool hasToken(const RateShare &Tokens, TimePoint Now);

// Spends a token for a request sent at Now.
void takeToken(RateShare &Tokens, TimePoint Now);

// No wait for a token is expected to be longer.
inline constexpr Duration LongestTokenWait = seconds(86'400);

// Returns when a request may be sent for which Ahead others wait already: Now
// if that is possible at once, and after LongestTokenWait if the rate is 0.
TimePoint tokenAt(const RateShare &Tokens, std::size_t Ahead, TimePoint Now);

// Returns how many entries may share Total, in requests per second. The more
// entries, the more the number of requests in a few seconds varies, as their
// tokens come at unrelated times.
std::size_t mostSharers(double Total);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_RATESHARE_H
