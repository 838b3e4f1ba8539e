#include "samphirehill/Daemon/Metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace samphirehill {
namespace {

using testing::HasSubstr;

// Guards against an exposition that scrapers refuse: cumulative buckets with a
// final +Inf, one TYPE line per name, escaped labels.
TEST(MetricsTest, WritesExpositionFormat) {
  Metrics Values;
  Values.count(labelled("requests_total", "service", "a\"b"), 2);
  Values.set("groups_serving", 3);
  Values.observe("first_token_seconds", 0.01);
  Values.observe("first_token_seconds", 5000);
  std::string Text = Values.exposition();
  EXPECT_THAT(Text, HasSubstr("samphirehill_requests_total{service=\"a\\\"b\"} "
                              "2\n"));
  EXPECT_THAT(Text, HasSubstr("# TYPE samphirehill_groups_serving gauge\n"));
  EXPECT_THAT(Text, HasSubstr("first_token_seconds_bucket{le=\"+Inf\"} 2\n"));
  EXPECT_THAT(Text, HasSubstr("first_token_seconds_count 2\n"));
}

TEST(MetricsTest, BoundsQuantileFromAbove) {
  Metrics Values;
  for (int I = 1; I <= 100; ++I)
    Values.observe("t", I * 0.001);
  EXPECT_GE(Values.quantile("t", 0.5), 0.050);
  EXPECT_LE(Values.quantile("t", 0.5), 0.050 * 1.3);
  EXPECT_EQ(Values.quantile("absent", 0.5), 0);
}

} // namespace
} // namespace samphirehill
