// Remembers requests whose upstream broke off, so that a request that crashes
// whatever runs it is refused after a few upstreams, whichever entry it comes
// to. Entries share what they see.
#ifndef SAMPHIREHILL_SERVING_CRASHRECORD_H
#define SAMPHIREHILL_SERVING_CRASHRECORD_H

#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill::serving {

// A hash of the request's path, its caller's key and its body.
std::uint64_t requestFingerprint(std::string_view Target, std::string_view Key,
                                 std::string_view Body);

// A connection that ended, without an answer, while it ran a request.
struct BreakOff {
  std::uint64_t Request = 0;
  std::uint64_t Upstream = 0; // a hash of the incarnation that broke off
  TimePoint SeenAt{};

  bool operator==(const BreakOff &) const = default;
};

struct CrashRecord {
  // Distinct upstream incarnations that a request may break before it is
  // refused; the operators bound what follows the third.
  int MaxBreakOffs = 3;
  Duration Retention = seconds(60);
  std::size_t MaxRequests = 4'096;
  std::unordered_map<std::uint64_t, std::map<std::uint64_t, TimePoint>> Seen;
  std::vector<BreakOff> Recent; // own ones, for the other entries
};

// Notes a break-off that this entry saw.
void noteOwnBreakOff(CrashRecord &Record, const BreakOff &Seen);
// Notes a break-off that another entry saw.
void noteBreakOff(CrashRecord &Record, const BreakOff &Seen);

// Tells whether Request may be sent to an upstream.
bool mayRun(const CrashRecord &Record, std::uint64_t Request, TimePoint Now);

// Forgets what is older than Memory; own ones are shared for Share.
void expire(CrashRecord &Record, Duration Share, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_CRASHRECORD_H
