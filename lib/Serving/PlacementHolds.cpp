#include "samphirehill/Serving/PlacementHolds.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <fmt/format.h>

namespace samphirehill::serving {

const char *toString(HoldReason Reason) {
  switch (Reason) {
  case HoldReason::None:
    return "none";
  case HoldReason::Quiet:
    return "quiet";
  case HoldReason::Limit:
    return "limit";
  case HoldReason::Slots:
    return "slots";
  case HoldReason::Prompts:
    return "prompts";
  case HoldReason::Cold:
    return "cold";
  case HoldReason::Pace:
    return "pace";
  case HoldReason::Stalled:
    return "stalled";
  case HoldReason::Share:
    return "share";
  }
  return "unknown";
}

std::string toString(const HoldCounts &Counts) {
  std::string Text;
  for (std::size_t Index = 1; Index < Counts.Upstreams.size(); ++Index) {
    if (Counts.Upstreams[Index] == 0)
      continue;
    Text += fmt::format("{}{}:{}", Text.empty() ? "" : ",",
                        toString(static_cast<HoldReason>(Index)),
                        Counts.Upstreams[Index]);
  }
  return Text.empty() ? toString(HoldReason::None) : Text;
}

void countByPrompt(ServingMetrics &Metrics, const RequestFacts &Facts,
                   bool Served) {
  constexpr std::uint64_t Shortest = 256; // tokens; shorter ones count as these
  constexpr std::uint64_t Longest = std::uint64_t{1} << 20U;
  if (Facts.PromptTokens <= 0)
    return;
  std::uint64_t Tokens = std::clamp(
      static_cast<std::uint64_t>(Facts.PromptTokens), Shortest, Longest);
  Metrics.count(Served ? "prompts_served" : "prompts_unserved", "tokens_to",
                std::to_string(std::bit_ceil(Tokens)));
}

} // namespace samphirehill::serving
