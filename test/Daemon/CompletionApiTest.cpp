#include "samphirehill/Daemon/CompletionApi.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace samphirehill {
namespace {

Outcome<CompletionRequest> parse(CompletionKind Kind, const std::string &Body) {
  return capture([&] { return parseCompletion(Kind, Body); });
}

TEST(CompletionApiTest, JoinsMessagesOfChat) {
  auto Value = parse(
      CompletionKind::Chat,
      R"({"model":"m:fr","messages":[{"role":"user","content":"hi"}],"stream":true})");
  ASSERT_EQ(errorOf(Value), nullptr) << errorOf(Value)->Message;
  const CompletionRequest &Request = std::get<0>(Value);
  EXPECT_EQ(Request.Prompt, "user: hi\n");
  EXPECT_EQ(Request.Adapter, "fr");
  EXPECT_TRUE(Request.Stream);
}

// Guards against a crash or an unclear answer on input that is not a request.
TEST(CompletionApiTest, RefusesBadBodiesOfTable) {
  const std::string Bodies[] = {
      "",
      "{",
      "[]",
      "null",
      R"({"model":7,"prompt":"x"})",
      R"({"prompt":"x"})",
      R"({"model":"m"})",
      R"({"model":"m","prompt":"x","max_tokens":0})",
      R"({"model":"m","prompt":"x","max_tokens":1.5})",
      R"({"model":"m","prompt":"x","max_tokens":99999999999999999999})",
      R"({"model":"m","prompt":"x","stream":"yes"})",
      "{\"model\":\"m\",\"prompt\":\"\xff\"}",
      std::string(100'000, '['),
  };
  for (const std::string &Body : Bodies) {
    auto Value = parse(CompletionKind::Text, Body);
    ASSERT_NE(errorOf(Value), nullptr) << Body.substr(0, 80);
    EXPECT_EQ(errorOf(Value)->Code, ResultCode::BadRequest);
  }
}

TEST(Utf8Test, TellsValidFromInvalid) {
  EXPECT_TRUE(isUtf8("a\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80"));
  for (const char *Text : {"\x80", "\xc0\x80", "\xe0\x80\x80", "\xed\xa0\x80",
                           "\xf4\x90\x80\x80", "\xc3", "\xff"})
    EXPECT_FALSE(isUtf8(Text));
}

// Guards against an answer of an upstream with broken bytes that throws.
TEST(CompletionApiTest, ReplacesInvalidBytesOfTokens) {
  CompletionRequest Request;
  EXPECT_THAT(completionEvent(Request, RequestId("r"), "\xff", ""),
              testing::HasSubstr("\xef\xbf\xbd"));
}

} // namespace
} // namespace samphirehill
