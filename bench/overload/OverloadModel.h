// Plays a burst of requests for one model against many entries that know each
// other's loads late. The choice of a group and the order of waiting requests
// are those of the serving path; engines, callers and news are simulated, on
// given times and seeds.
#ifndef SAMPHIREHILL_BENCH_OVERLOAD_OVERLOADMODEL_H
#define SAMPHIREHILL_BENCH_OVERLOAD_OVERLOADMODEL_H

#include "samphirehill/Serving/UpstreamBook.h"
#include "samphirehill/Serving/WaitPolicy.h"

#include <cstdint>
#include <vector>

namespace samphirehill::bench {

// Returns the limits of an entry among many, whose news takes two relays.
serving::PlacementLimits amongMany();

struct Burst {
  Duration Begin{};
  Duration End{};
  double Factor = 1.0;
};

// Returns the engine of the site on which the collapse was seen; its model with
// groups of 4 runs at the scene's pace.
serving::EngineShape engineShape();

struct OverloadScene {
  int Entries = 69;
  int Groups = 22;
  double PerSecond = 329; // requests over all entries, without bursts
  Duration Length = seconds(20);
  Duration WarmUp = seconds(5); // before the first counted row
  std::vector<Burst> Bursts;
  serving::EngineShape Engine = engineShape();
  double Pace = 0.6;
  int EngineQueue = 50; // requests that a full group still takes
  Duration FirstEventExtra = milliseconds(120); // beyond reading and writing
  std::int64_t PromptTokens = 714;              // mean, if they differ
  double PromptSpread = 0; // standard deviation over mean, of a lognormal
  std::int64_t LongestPrompt = 0; // longer ones are cut to this
  int Events = 27;
  Duration Objective = milliseconds(300); // to the first event
  Duration Deadline = seconds(6);
  // News of the other entries: told so often, and so long under way.
  Duration NewsPeriod = milliseconds(200);
  Duration LeastNewsDelay = milliseconds(100);
  Duration MostNewsDelay = milliseconds(300);
  std::uint32_t Seed = 1;
};

struct OverloadRules {
  serving::PlacementLimits Placement = amongMany();
  serving::WaitLimits Wait;
  bool SharePlaces = true; // entries know what is asked of all
  bool ExactNews = false;  // every entry knows all loads at once
};

// What became of the requests that were first asked for in a row's time.
struct OverloadRow {
  int Asked = 0;
  int InAim = 0;
  int Late = 0;
  int Refused = 0; // for good
  int Sent = 0;
  int Rejected = 0;  // arrivals at groups that were full
  double Spread = 0; // mean difference of the fullest and the emptiest group
};

OverloadRow &operator+=(OverloadRow &Sum, const OverloadRow &Row);

constexpr Duration RowLength = seconds(2);

// Returns rules by which entries take every place that they see free, and level
// loads within one age of the news: those in which the collapse was seen.
OverloadRules rulesWithoutShares();

struct SizedRequest {
  std::int64_t PromptTokens = 0;
  bool Served = false;
};

// Returns the requests of all counted rows.
std::vector<SizedRequest> playSizes(const OverloadScene &Scene,
                                    const OverloadRules &Rules);

std::vector<OverloadRow> play(const OverloadScene &Scene,
                              const OverloadRules &Rules);

} // namespace samphirehill::bench

#endif // SAMPHIREHILL_BENCH_OVERLOAD_OVERLOADMODEL_H
