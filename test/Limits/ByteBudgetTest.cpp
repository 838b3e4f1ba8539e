// Tests which holders of bytes end when a process holds too many.
#include "samphirehill/Limits/ByteBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace samphirehill {
namespace {

constexpr std::size_t Unit = ByteBudget::MinCountedBytes;

class ByteBudgetTest : public testing::Test {
protected:
  HeldBytes &add(const std::string &Name, ByteUse Use, std::size_t Bytes) {
    Holders.push_back(std::make_unique<HeldBytes>(
        Budget, [this, Name] { Ended.push_back(Name); }));
    Holders.back()->set(Use, Bytes);
    return *Holders.back();
  }

  std::shared_ptr<ByteBudget> Budget = std::make_shared<ByteBudget>(10 * Unit);
  std::vector<std::unique_ptr<HeldBytes>> Holders;
  std::vector<std::string> Ended;
};

TEST_F(ByteBudgetTest, EndsNothingWithinTheLimit) {
  add("a", ByteUse::Failure, 5 * Unit);
  add("b", ByteUse::Answer, 5 * Unit);
  add("small", ByteUse::Answer, Unit - 1);
  EXPECT_TRUE(Ended.empty());
  EXPECT_EQ(Budget->heldBytes(), 10 * Unit);
}

// Guards against answers to sound callers that end because of failures without
// end.
TEST_F(ByteBudgetTest, EndsTheLargestFailureBeforeAnswers) {
  add("answer", ByteUse::Answer, 6 * Unit);
  add("small", ByteUse::Failure, Unit);
  HeldBytes &Large = add("large", ByteUse::Failure, 2 * Unit);
  add("request", ByteUse::Request, 2 * Unit);
  EXPECT_EQ(Ended, std::vector<std::string>{"large"});
  EXPECT_TRUE(Large.isEnding());
  Large.clear();
  EXPECT_FALSE(Large.isEnding());
  add("next", ByteUse::Answer, 2 * Unit);
  EXPECT_EQ(Ended, (std::vector<std::string>{"large", "small"}));
}

TEST_F(ByteBudgetTest, EndsNoMoreThanNeededWhileHoldersAreEnding) {
  add("a", ByteUse::Output, 6 * Unit);
  HeldBytes &Growing = add("b", ByteUse::Output, 5 * Unit);
  EXPECT_EQ(Ended, std::vector<std::string>{"a"});
  Growing.set(ByteUse::Output, 8 * Unit);
  EXPECT_EQ(Ended.size(), 1U);
}

TEST_F(ByteBudgetTest, CountsBytesThatCannotBeReleased) {
  HeldBytes Fixed(Budget, {});
  Fixed.set(ByteUse::Request, 8 * Unit);
  add("a", ByteUse::Request, 3 * Unit);
  EXPECT_EQ(Ended, std::vector<std::string>{"a"});
}

RC_GTEST_PROP(ByteBudgetModelTest, CountsEveryHolderOnce, ()) {
  auto Budget = std::make_shared<ByteBudget>(20 * Unit);
  std::vector<std::unique_ptr<HeldBytes>> Holders;
  std::vector<std::size_t> Sizes(8, 0);
  Holders.reserve(8);
  for (int Index = 0; Index < 8; ++Index)
    Holders.push_back(std::make_unique<HeldBytes>(Budget, [] {}));
  for (int Step = 0; Step < 50; ++Step) {
    auto Index = *rc::gen::inRange<std::size_t>(0, 8);
    if (*rc::gen::inRange(0, 4) == 0) {
      Holders[Index]->clear();
      Sizes[Index] = 0;
    } else {
      Sizes[Index] = *rc::gen::inRange<std::size_t>(Unit, 6 * Unit);
      Holders[Index]->set(static_cast<ByteUse>(*rc::gen::inRange(0, 4)),
                          Sizes[Index]);
    }
    std::size_t Sum = 0;
    std::size_t SumNotEnding = 0;
    for (std::size_t Each = 0; Each < 8; ++Each) {
      Sum += Sizes[Each];
      SumNotEnding += Holders[Each]->isEnding() ? 0 : Sizes[Each];
    }
    RC_ASSERT(Budget->heldBytes() == Sum);
    RC_ASSERT(SumNotEnding <= 20 * Unit);
  }
}

} // namespace
} // namespace samphirehill
