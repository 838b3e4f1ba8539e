// Tests what answers of the store tell of its era.
#include "samphirehill/Serving/StoreEra.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

TEST(StoreEraTest, TellsRestorationsFromTheFirstEraThatIsKnown) {
  int Restored = 0;
  StoreEra Era;
  Era.OnRestored[&Restored] = [&] { ++Restored; };
  EXPECT_TRUE(noteAnswerEra(Era, std::nullopt));
  EXPECT_TRUE(noteAnswerEra(Era, 4));
  EXPECT_TRUE(noteAnswerEra(Era, 4));
  EXPECT_EQ(Restored, 0);
  EXPECT_TRUE(noteAnswerEra(Era, 6));
  EXPECT_EQ(Restored, 1);
  EXPECT_EQ(Era.Current, 6);
}

TEST(StoreEraTest, TellsAnswersOfEarlierEras) {
  StoreEra Era;
  noteAnswerEra(Era, 2);
  EXPECT_FALSE(noteAnswerEra(Era, 1));
  EXPECT_EQ(Era.Current, 2);
  EXPECT_TRUE(noteAnswerEra(Era, std::nullopt));
}

} // namespace
} // namespace samphirehill::serving
