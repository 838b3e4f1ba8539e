// Counts and distributions of a load, and their JSON form.
#ifndef SAMPHIREHILL_LOADTOOL_STATISTICS_H
#define SAMPHIREHILL_LOADTOOL_STATISTICS_H

#include "loadtool/Plan.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace samphirehill::loadtool {

// A distribution of times with a relative error of about 1%.
class Times {
public:
  Times();
  Times(Times &&) noexcept;
  ~Times();

  void add(Duration Value);
  // {"count","p50","p95","p99","max"}, times in milliseconds.
  nlohmann::json toJson() const;

private:
  struct Data;
  std::unique_ptr<Data> Held;
};

enum class CallEnd {
  Whole,   // complete and right; a booking: confirmed
  Refused, // final answer says that it was not run
  Lost,    // broken, cut off, or final answer says that it may have run
  Wrong,   // complete by its end mark, but not the expected answer
};

// What became of one call, after all its sends.
struct CallResult {
  const Arrival *From = nullptr;
  CallEnd End = CallEnd::Lost;
  int Code = 0;               // result code; 0: none
  std::string Reason;         // of a loss without code, or of a wrong answer
  bool Late = false;          // final answer after the deadline
  Duration SentAt{0};         // since the start of the load
  Duration FirstToken{-1};    // since SentAt; -1: none
  Duration Total{0};          // since SentAt
  std::vector<Duration> Gaps; // between tokens
  std::int64_t Sends = 0;
  std::string BookingKey; // empty: a model call
  bool Unclear = false;   // one of its sends may have run without an answer
};

class Statistics {
public:
  // Plan must outlive this.
  explicit Statistics(const LoadPlan &Plan) : Plan(Plan) {}

  void add(const CallResult &Result);
  // Counts an arrival that was not sent because too many calls were open.
  void skip() { ++Skipped; }

  // The whole result of the load. With Raw it lists every call.
  nlohmann::json toJson(bool Raw) const;

private:
  struct Tally {
    std::map<std::string, std::int64_t> Counts;
    std::map<std::string, std::int64_t> Codes;
    Times FirstToken, Gap, Total;

    void add(const CallResult &Result);
    nlohmann::json toJson() const;
  };

  const LoadPlan &Plan;
  std::int64_t Skipped = 0;
  Tally All;
  std::map<std::string, Tally> ByCaller, ByEntry;
  std::map<std::int64_t, Tally> Series; // by time of the first send
  nlohmann::json Calls = nlohmann::json::array();
  nlohmann::json Bookings = nlohmann::json::array();
  nlohmann::json Faults = nlohmann::json::array();
};

// Returns "whole", "refused", "lost" or "wrong".
std::string toString(CallEnd End);

} // namespace samphirehill::loadtool

#endif // SAMPHIREHILL_LOADTOOL_STATISTICS_H
