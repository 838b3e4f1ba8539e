#include "samphirehill/Serving/PlacementHolds.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

TEST(PlacementHoldsTest, NamesReasonsThatHeldUpstreamsBack) {
  HoldCounts Counts;
  EXPECT_EQ(toString(Counts), "none");
  Counts[HoldReason::Prompts] = 5;
  Counts[HoldReason::Slots] = 3;
  EXPECT_EQ(toString(Counts), "slots:3,prompts:5");
}

TEST(PlacementHoldsTest, CountsRequestsByLengthOfPrompt) {
  ServingMetrics Metrics;
  RequestFacts Facts;
  countByPrompt(Metrics, Facts, true); // of a plain service
  for (std::int64_t Tokens : {1, 256, 257, 4'096, 4'097}) {
    Facts.PromptTokens = Tokens;
    countByPrompt(Metrics, Facts, Tokens < 4'096);
  }
  std::string Text = Metrics.text();
  EXPECT_NE(Text.find("prompts_served_total{tokens_to=\"256\"} 2"),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("prompts_served_total{tokens_to=\"512\"} 1"),
            std::string::npos);
  EXPECT_NE(Text.find("prompts_unserved_total{tokens_to=\"4096\"} 1"),
            std::string::npos);
  EXPECT_NE(Text.find("prompts_unserved_total{tokens_to=\"8192\"} 1"),
            std::string::npos);
}

} // namespace
} // namespace samphirehill::serving
