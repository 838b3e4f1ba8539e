#include "loadtool/StreamCheck.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace samphirehill::loadtool {
namespace {

using testing::ElementsAre;

std::string faultOf(const std::vector<std::string> &Pieces) {
  StreamCheck Check({"a ", "b ", "c "});
  for (const std::string &Each : Pieces)
    Check.take(Each);
  Check.end();
  return Check.fault();
}

// Guards against measurements that call damaged streams whole, and whole ones
// damaged.
TEST(StreamCheckTest, NamesFaultOfDamagedStream) {
  struct Row {
    std::vector<std::string> Pieces;
    const char *Fault;
  };
  const Row Rows[] = {
      {{"a ", "b ", "c "}, ""},
      {{"a b ", "c "}, ""},
      {{"a ", "c "}, "lost token at token 1"},
      {{"a ", "a ", "b ", "c "}, "repeated token at token 1"},
      {{"a ", "x ", "c "}, "foreign text at token 1"},
      {{"a ", "b "}, "end mark after 2 of 3 tokens"},
      {{"a ", "b ", "c ", "a "}, "text after the last token"},
      {{}, "end mark after 0 of 3 tokens"},
  };
  for (const Row &Each : Rows)
    EXPECT_EQ(faultOf(Each.Pieces), Each.Fault);
}

// Guards against events that are lost or joined where a read splits them.
TEST(StreamCheckTest, CutsBlocksWhereverReadsSplitThem) {
  const std::string Bytes = "data: 1\n\ndata: [DONE]\n\n";
  for (std::size_t Cut = 0; Cut <= Bytes.size(); ++Cut) {
    BlockReader Reader("\n\n");
    std::vector<std::string> Blocks = Reader.take(Bytes.substr(0, Cut));
    for (std::string &Each : Reader.take(Bytes.substr(Cut)))
      Blocks.push_back(std::move(Each));
    EXPECT_THAT(Blocks, ElementsAre("data: 1", "data: [DONE]"));
  }
}

// Guards against errors and cut answers that are taken for the end mark.
TEST(StreamCheckTest, ReadsEventsAndEngineLines) {
  using Kind = StreamEvent::Kind;
  StreamEvent Text =
      readEvent(R"(data: {"choices":[{"index":0,"text":"a "}]})");
  EXPECT_EQ(Text.What, Kind::Text);
  EXPECT_EQ(Text.Text, "a ");
  EXPECT_EQ(readEvent("data: [DONE]").What, Kind::Done);
  StreamEvent Error =
      readEvent("event: error\ndata: {\"error\":{\"code\":2005}}");
  EXPECT_EQ(Error.What, Kind::Error);
  EXPECT_EQ(Error.Code, 2005);
  EXPECT_EQ(readEvent("data: {broken").What, Kind::Other);
  EXPECT_EQ(readEngineLine(R"({"done":true,"finishReason":"length"})").What,
            Kind::Done);
  EXPECT_EQ(readEngineLine(R"({"done":true,"finishReason":"deadline"})").What,
            Kind::Error);
}

} // namespace
} // namespace samphirehill::loadtool
