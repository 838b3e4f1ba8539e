// Limits that instances state in their answers: the requests per second that an
// instance takes from all entries together, for as long as its answers say so.
// A limit applies to one life of an instance. Does no I/O; callers pass the
// time.
#ifndef SAMPHIREHILL_SERVING_STATEDLIMITS_H
#define SAMPHIREHILL_SERVING_STATEDLIMITS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/RateShare.h"
#include "samphirehill/Serving/InstanceNotices.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace samphirehill::serving {

// Upper bound of a limit that is taken over, in requests per second.
inline constexpr double HighestStatedLimit = 1e6;

// What an answer of Of stated, as entries tell each other.
struct LimitNews {
  InstanceLife Of;
  std::optional<double> PerSecond; // nothing: the answer stated no limit
  TimePoint StatedAt{};            // when the answer arrived at an entry

  bool operator==(const LimitNews &) const = default;
};

// The newest statement of one life, and this entry's tokens for its limit.
struct StatedLimit {
  std::optional<double> PerSecond; // nothing: the limit has ended
  TimePoint StatedAt{};
  // The newest statement that was made to this entry. Only these are told to
  // the others: a statement that is passed on in turns would seem newer each
  // time.
  std::optional<LimitNews> Own;
  RateShare Tokens;
  double Share = 0; // of this entry in the requests, 0 to 1; smoothed
};

struct StatedLimits {
  std::map<InstanceLife, StatedLimit> ByLife;
};

// Records a statement that was made to another entry, unless a newer one is
// known. Self is this entry. Returns whether the limit in force has changed.
bool noteStatement(StatedLimits &Limits, const LimitNews &News,
                   const EntryId &Self, TimePoint Now);

// Records a statement that was made to this entry, Self, and returns whether
// the limit in force has changed.
bool noteOwnStatement(StatedLimits &Limits, const LimitNews &News,
                      const EntryId &Self, TimePoint Now);

// Returns the limit of Of in force, in requests per second, or nothing.
std::optional<double> statedLimit(const StatedLimits &Limits,
                                  const InstanceLife &Of);

// Updates this entry's share of the limit of Of. Called periodically, not when
// a request arrives: the demand just after an arrival is above the mean. Share
// is this entry's part of the callers' requests for such an upstream. Others
// are the other entries; if there are too many to share the limit, only some of
// them send to the instance.
void updateShare(StatedLimits &Limits, const InstanceLife &Of, double Share,
                 const EntryId &Self, const std::vector<EntryId> &Others,
                 TimePoint Now);

// Returns whether Of's limit, if it has one, lets this entry send it a request.
bool mayTakeByLimit(const StatedLimits &Limits, const InstanceLife &Of,
                    TimePoint Now);

// Returns when the limit of Of lets this entry send a request for which Ahead
// others wait already.
TimePoint takesAt(const StatedLimits &Limits, const InstanceLife &Of,
                  std::size_t Ahead, TimePoint Now);

// Counts a request that was sent to Of.
void noteSentByLimit(StatedLimits &Limits, const InstanceLife &Of,
                     TimePoint Now);

// Returns the newest statements that were made to this entry, by life; the most
// recent ones if there are very many.
std::vector<LimitNews> limitNews(const StatedLimits &Limits);

// Adds Added to All, which holds the newest statement of each life by life.
void addNews(std::vector<LimitNews> &All, const std::vector<LimitNews> &Added);

// Erases limits that ended a while ago, and those of lives that have stated
// nothing for long.
void eraseOldLimits(StatedLimits &Limits, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_STATEDLIMITS_H
