// A world of entries, one upstream, a lossy network and the platform, in which
// random histories of faults check the capacity credits. The world knows every
// credit that exists, which no process of the system does.
#ifndef SAMPHIREHILL_TEST_LIMITS_CREDITSIMULATION_H
#define SAMPHIREHILL_TEST_LIMITS_CREDITSIMULATION_H

#include "samphirehill/Limits/Credits.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirehill::test {

struct HistoryOptions {
  int Entries = 4;
  int ColdLimit = 2;
  int WarmLimit = 9;
  CreditFaults Faults;
  // An entry that can't reach the home takes its place at once, so that both
  // halves of a cut network have a home.
  bool TakeOverOnSuspicion = false;
};

struct HistoryResult {
  std::string Violation; // of the limit; empty: none
  std::string Loss;      // of credits, seen after healing; empty: none
  int CallsRun = 0;
  int HomesOpened = 0;
  int Reboots = 0;
};

// Runs one history. Each number chooses one fault or event and its details.
// After the last one all faults are healed; it is a loss if credits are gone
// for good or an entry can't get one.
HistoryResult runHistory(const std::vector<std::uint32_t> &Steps,
                         const HistoryOptions &Options);

// Returns Count step numbers for Seed.
std::vector<std::uint32_t> randomSteps(std::uint32_t Seed, int Count);

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_LIMITS_CREDITSIMULATION_H
