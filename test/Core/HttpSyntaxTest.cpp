// Tests the rules of HTTP's syntax that readers of answers share.
#include "samphirehill/Core/HttpSyntax.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

TEST(HttpSyntaxTest, TakesValidStatusesExceptSwitchingProtocols) {
  for (int Status : {-200, 0, 1, 20, 99, 101, 600, 999, 2000})
    EXPECT_FALSE(isUsableStatus(Status)) << Status;
  for (int Status : {100, 102, 103, 200, 404, 500, 599})
    EXPECT_TRUE(isUsableStatus(Status)) << Status;
}

TEST(HttpSyntaxTest, TakesVisibleCharactersButDelimitersInTokens) {
  const std::string_view Delimiters = "\"(),/:;<=>?@[\\]{}";
  for (int Code = 0; Code < 256; ++Code) {
    char Letter = static_cast<char>(Code);
    bool Expected = Code > 0x20 && Code < 0x7f &&
                    Delimiters.find(Letter) == std::string_view::npos;
    EXPECT_EQ(isToken(std::string("a") + Letter + "b"), Expected) << Code;
  }
  EXPECT_FALSE(isToken(""));
}

TEST(HttpSyntaxTest, TakesNoControlCharacterButTabInFieldValues) {
  for (int Code = 0; Code < 256; ++Code) {
    bool Expected = (Code >= 0x20 && Code != 0x7f) || Code == '\t';
    EXPECT_EQ(isFieldValue(std::string("a") + static_cast<char>(Code)),
              Expected)
        << Code;
  }
  EXPECT_TRUE(isFieldValue(""));
}

} // namespace
} // namespace samphirehill
