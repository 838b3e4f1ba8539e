// Replays the division of places alone: many entries admit requests of
// organisations to one pool of places, by delayed reports of each other's work.
#ifndef SAMPHIREHILL_TEST_LIMITS_SHAREREPLAY_H
#define SAMPHIREHILL_TEST_LIMITS_SHAREREPLAY_H

#include "samphirehill/Limits/FairShare.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace samphirehill {

// An organisation's callers send Offered places' worth of requests of one rank.
struct ReplayedCaller {
  double Offered = 1;
  int Rank = 0;
};

struct ShareReplay {
  int Entries = 60;
  int Places = 240;
  std::vector<ReplayedCaller> Callers;
  Duration Length = seconds(20);
  ShareSettings Settings;
  std::uint32_t Seed = 1;
  // Whether an entry's reports arrive at others at a time. Lost reports age out
  // after a second.
  std::function<bool(int Entry, Duration At)> Reports = [](int, Duration) {
    return true;
  };
  // The zone whose entries, every third one, and places are lost from LostAt
  // on.
  std::optional<Duration> LostAt;
};

struct CallerResult {
  int Asked = 0;
  int Served = 0; // got a place
  int Refused = 0;
  double HeldSeconds = 0; // place-seconds

  double servedShare() const { return Asked == 0 ? 1 : 1.0 * Served / Asked; }
};

struct ShareReplayResult {
  std::vector<CallerResult> Callers;
  // Place-seconds that stayed free while requests waited at any entry.
  double IdleSeconds = 0;
};

ShareReplayResult replayShares(const ShareReplay &Replay);

} // namespace samphirehill

#endif // SAMPHIREHILL_TEST_LIMITS_SHAREREPLAY_H
