// Processes, messages and calls of the credit simulation.
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

struct Call {
  Credit Used;
  RequestId Request;
  TimePoint ArrivesAt;
  TimePoint EndsAt;
};

struct Entry {
  EntryId Id;
  Incarnation Number = 0;
  TimePoint StartedAt{};
  bool Alive = true;
  bool Paused = false;
  bool Listed = true; // in the instance list
  int Side = 0;       // entries of different sides can't reach each other
  int Wanted = 0;
  CreditWallet Wallet;
  CreditHome Home;
  std::vector<Call> Calls;
  std::map<EntryId, TimePoint> SeenGone;
};

struct EngineReport {
  std::vector<RequestId> Running;
  TimePoint TakenAt;
};

struct Message {
  std::size_t From;
  std::size_t To;
  TimePoint At;
  std::variant<CreditReport, CreditGrant, EngineReport> Body;
};

struct Placement {
  std::size_t Home = 0;
  Incarnation Number = 0;
  std::uint64_t Epoch = 0;
  bool Released = true;
};

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_LIMITS_CREDITWORLD_H
