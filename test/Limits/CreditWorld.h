// Entries, messages and calls of the credit simulation.
#ifndef SAMPHIREHILL_TEST_LIMITS_CREDITWORLD_H
#define SAMPHIREHILL_TEST_LIMITS_CREDITWORLD_H

#include "samphirehill/Limits/Credits.h"

#include <cstddef>
#include <map>
#include <variant>
#include <vector>

namespace samphirehill::test {

inline const UpstreamId TheUpstream("u");
constexpr Duration SimulatedMaxDeadline = seconds(10);

// A call that an entry sends to the upstream with a credit.
struct Call {
  Credit Used;
  RequestId Request;
  TimePoint ArrivesAt;
  TimePoint EndsAt;
};

// The process of one entry.
struct Entry {
  EntryId Id;
  Incarnation EntryIncarnation = 0;
  TimePoint StartedAt{};
  bool Alive = true;
  bool Paused = false;
  bool Listed = true; // in the instance list
  int Side = 0;       // entries of different sides can't reach each other
  int Wanted = 0;     // calls that wait for a credit
  CreditWallet Wallet;
  CreditHome Home;
  std::vector<Call> Calls;
  std::map<EntryId, TimePoint>
      SeenGone; // missing from the list, and since when
};

// The upstream's list of its requests, as an answer to a probe.
struct EngineReport {
  std::vector<RequestId> Running;
  TimePoint TakenAt;
};

// A message on the network. From and To are positions in the list of entries.
struct Message {
  std::size_t From;
  std::size_t To;
  TimePoint ArrivesAt;
  std::variant<CreditReport, CreditGrant, EngineReport> Body;
};

// The stored placement object: names the home of the upstream.
struct Placement {
  std::size_t Home = 0; // position in the list of entries
  Incarnation HomeIncarnation = 0;
  std::uint64_t Epoch = 0;
  bool Released = true;
};

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_LIMITS_CREDITWORLD_H
