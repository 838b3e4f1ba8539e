// The plan of a load: who calls what and how often. A schedule is a function of
// plan, rate, length and seed.
#ifndef SAMPHIREHILL_LOADTOOL_PLAN_H
#define SAMPHIREHILL_LOADTOOL_PLAN_H

#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace samphirehill::loadtool {

// Inclusive bounds.
struct Range {
  std::int64_t Low = 0;
  std::int64_t High = 0;
};

// Multiplies an organisation's rate from From to To, counted from the start.
struct Surge {
  Duration From{0};
  Duration To{0};
  double Factor = 1;
};

struct CallerPlan {
  std::string Name;
  std::string Key; // API key
  double Share = 1;
  std::string Model, Version, Adapter; // version: for the expected tokens
  Range PromptBytes{64, 512};
  Range Tokens{4, 16};
  std::int64_t Prefixes = 0; // prompts begin with one of so many texts
  std::map<std::string, double> Priorities{{"normal", 1}}; // name to weight
  std::int64_t DeadlineMs = 10'000;
  double BookingShare = 0;     // of the calls
  double RepeatedBookings = 0; // share that is sent again once confirmed
  std::string BookingPath = "/services/booking/actions";
  Surge Peak;
};

struct LoadPlan {
  // "<IP>:<port>" of entries, or of engines when Direct.
  std::vector<std::string> Entries;
  bool Direct = false;
  std::int64_t ModelTries = 1; // sends of one model call; the next entry each
  std::int64_t BookingTries = 5;
  std::vector<CallerPlan> Callers;
};

// One call of the schedule.
struct Arrival {
  Duration At{0};
  std::size_t Number = 0; // rank by time
  std::size_t Caller = 0;
  std::size_t Entry = 0;
  bool Booking = false;
  bool Repeated = false; // a booking that is sent again once confirmed
  std::string Prompt;
  std::int64_t Tokens = 0;
  std::string Priority;
};

// Reads a plan. Throws nlohmann::json::exception or std::invalid_argument.
LoadPlan planFromJson(const nlohmann::json &Value);

// Returns the arrivals of a load of Rate calls per second (without surges) over
// Length, by time. Each caller's arrivals are a Poisson process of its own, so
// a surge of one does not change the calls of another.
std::vector<Arrival> schedule(const LoadPlan &Plan, double Rate,
                              Duration Length, std::uint64_t Seed);

} // namespace samphirehill::loadtool

#endif // SAMPHIREHILL_LOADTOOL_PLAN_H
