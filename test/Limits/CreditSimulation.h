// A simulation of entries, one upstream, a lossy network and the platform. It
// checks the capacity credits under random histories of faults: unlike any
// process of the real system, it can count every credit that exists.
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
  // Breaks the rule that an old home must be confirmed gone: an entry that
  // can't reach the home becomes the home at once, so that both sides of a
  // network partition have a home.
  bool TakeOverOnSuspicion = false;
};

struct HistoryResult {
  std::string Violation; // of a limit; empty: none
  std::string Loss;      // of credits, after the faults ended; empty: none
  int CallsRun = 0;
  int HomesOpened = 0;
  int Reboots = 0;
};

// Runs one history. Each number chooses one fault or event and its details.
// After the last one all faults end. It is then a loss if some credits stay
// lost or an entry can't borrow one.
HistoryResult runHistory(const std::vector<std::uint32_t> &Steps,
                         const HistoryOptions &Options);

// Returns Count step numbers for Seed.
std::vector<std::uint32_t> randomSteps(std::uint32_t Seed, int Count);

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_LIMITS_CREDITSIMULATION_H
