#include "samphirehill/Serving/DecisionLog.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const TimePoint Start{seconds(5)};

TEST(DecisionLogTest, LimitsLinesPerSecondAndAllowsMoreForFailures) {
  LogBuffer Buffer;
  Buffer.Limits = {2, 1, 10'000};
  for (int Line = 0; Line < 4; ++Line)
    addLine(Buffer, "info\n", false, Start);
  addLine(Buffer, "warn\n", true, Start);
  EXPECT_EQ(Buffer.Pending,
            "info\ninfo\nevent=log_lines_omitted count=2\nwarn\n");
}

TEST(DecisionLogTest, LogsCountOfLinesOmittedForASlowReader) {
  LogBuffer Buffer;
  Buffer.Limits = {100, 100, 10};
  addLine(Buffer, "12345678\n", false, Start);
  addLine(Buffer, "12345678\n", false, Start);
  EXPECT_EQ(Buffer.Omitted, 1u);
  Buffer.Pending.clear();
  addLine(Buffer, "next\n", false, Start);
  EXPECT_EQ(Buffer.Pending, "event=log_lines_omitted count=1\nnext\n");
}

} // namespace
} // namespace samphirehill::serving
