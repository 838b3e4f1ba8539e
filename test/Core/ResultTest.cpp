#include "samphirehill/Core/Result.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

// Guards against losing the code and message of an error on the way out.
TEST(CaptureTest, ReturnsErrorWhenFunctionFails) {
  Outcome<int> Value = capture(
      []() -> Result<int> { return fail(ResultCode::NotFound, "no such"); });
  ASSERT_NE(errorOf(Value), nullptr);
  EXPECT_EQ(*errorOf(Value), (Error{ResultCode::NotFound, "no such"}));
}

TEST(CaptureTest, ReturnsValueWhenFunctionSucceeds) {
  Outcome<int> Value = capture([]() -> Result<int> { return 7; });
  ASSERT_EQ(errorOf(Value), nullptr);
  EXPECT_EQ(std::get<0>(Value), 7);
}

// Guards against a code whose number and meaning disagree, which would make a
// refusal untrue.
TEST(RunStateTest, FollowsFirstDigitOfCode) {
  EXPECT_EQ(runState(ResultCode::Overloaded), RunState::NotRun);
  EXPECT_EQ(runState(ResultCode::UpstreamLost), RunState::MayHaveRun);
  EXPECT_EQ(runState(ResultCode::Ok), RunState::Run);
  EXPECT_EQ(runState(ResultCode::Conflict), RunState::NotARequest);
}

} // namespace
} // namespace samphirehill
