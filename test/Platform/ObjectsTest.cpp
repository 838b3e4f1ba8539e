// Tests of reading the answers of the platform's store, also when some of their
// objects are malformed.
#include "Objects.h"

#include "samphirehill/Core/JsonParts.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <limits>

namespace samphirehill::platform {
namespace {

using nlohmann::json;

// Returns an object's JSON; the arguments are JSON texts.
std::string objectText(const std::string &Name, const std::string &Revision,
                       const std::string &Spec) {
  return R"({"metadata":{"name":)" + Name + R"(,"revision":)" + Revision +
         R"(},"spec":)" + Spec + R"(,"status":null})";
}

std::string listText(const std::vector<std::string> &Items,
                     const std::string &OtherFields = R"("store_revision":9)") {
  std::string Joined;
  for (const std::string &Item : Items)
    Joined += (Joined.empty() ? "" : ",") + Item;
  return R"({"items":[)" + Joined + "]," + OtherFields + "}";
}

// Reads a list that must be readable.
ObjectPage pageOf(const std::string &Text) {
  Outcome<ObjectPage> Read = capture([&] { return readList(Text); });
  EXPECT_FALSE(errorOf(Read)) << Text.substr(0, 200);
  return errorOf(Read) ? ObjectPage{} : std::get<0>(Read);
}

TEST(ObjectsTest, ReadsNameRevisionAndUnchangedValueText) {
  ObjectPage Page = pageOf(
      listText({objectText("\"a\"", "3", "{ \"x\" : [1, \"ü\\u0000\"] } "),
                objectText("\"b\"", "4", "10")},
               R"("truncated" : true, "store_revision":9)"));
  ObjectPage Expected;
  Expected.Changes = {{{"a", 3, "{ \"x\" : [1, \"ü\\u0000\"] }"}, false},
                      {{"b", 4, "10"}, false}};
  Expected.Revision = 9;
  Expected.Truncated = true;
  Expected.LastName = "b";
  EXPECT_EQ(Page, Expected);
}

TEST(ObjectsTest, ReadsRemovals) {
  Outcome<ObjectPage> Read = capture([] {
    return readChanges(R"({"events":[{"removed":true,"object":)" +
                       objectText("\"a\"", "3", "1") +
                       R"(},{"removed":false,"object":)" +
                       objectText("\"b\"", "4", "2") +
                       R"(},{"removed":false},7],"store_revision":9})");
  });
  ASSERT_FALSE(errorOf(Read));
  const ObjectPage &Page = std::get<0>(Read);
  ASSERT_EQ(Page.Changes.size(), 2u);
  EXPECT_TRUE(Page.Changes[0].Removed);
  EXPECT_FALSE(Page.Changes[1].Removed);
  EXPECT_EQ(Page.Skipped, 2);
}

TEST(ObjectsTest, SkipsObjectsWithoutValidNameOrRevision) {
  const std::string InvalidObjects[] = {
      "1",
      "[]",
      "{}",
      R"({"metadata":7,"spec":1})",
      objectText("7", "3", "1"),
      objectText("\"\"", "3", "1"),
      objectText("\"" + std::string(10'000, 'n') + "\"", "3", "1"),
      objectText("\"\xff\"", "3", "1"),
      objectText("\"odd\"", "0", "1"),
      objectText("\"odd\"", "-1", "1"),
      objectText("\"odd\"", "1.5", "1"),
      objectText("\"odd\"", "\"3\"", "1"),
      objectText("\"odd\"", "18446744073709551615", "1"),
      objectText("\"odd\"", "1e999", "1")};
  for (const std::string &Object : InvalidObjects) {
    ObjectPage Page = pageOf(listText({objectText("\"a\"", "1", "1"), Object,
                                       objectText("\"b\"", "2", "2")}));
    ASSERT_EQ(Page.Changes.size(), 2u) << Object.substr(0, 100);
    EXPECT_EQ(Page.Skipped, 1) << Object.substr(0, 100);
  }
}

// The next page begins after the last name, even if that object was skipped.
TEST(ObjectsTest, SetsLastNameFromASkippedObject) {
  ObjectPage Page = pageOf(listText(
      {objectText("\"a\"", "1", "1"), objectText("\"odd\"", "0", "1")}));
  EXPECT_EQ(Page.LastName, "odd");
}

TEST(ObjectsTest, RejectsAnswersWithoutReadableEnvelope) {
  const std::string InvalidAnswers[] = {
      "",
      "{",
      "[]",
      "{x}",
      R"({"items":[]})",
      R"({"items":{},"store_revision":1})",
      R"({"items":[],"store_revision":-1})",
      R"({"items":[,"store_revision":1})",
      R"({"items":[{"a"],"store_revision":1})"};
  for (const std::string &Answer : InvalidAnswers) {
    Outcome<ObjectPage> Read = capture([&] { return readList(Answer); });
    EXPECT_TRUE(errorOf(Read)) << Answer;
  }
}

TEST(ObjectsTest, ListsButDoesNotParseTooDeeplyNestedValue) {
  EXPECT_TRUE(
      parseJson(std::string(64, '[') + std::string(64, ']')).is_array());
  std::string Deep = std::string(400'000, '[') + std::string(400'000, ']');
  EXPECT_TRUE(parseJson(Deep).is_discarded());
  EXPECT_EQ(pageOf(listText({objectText("\"a\"", "1", Deep)})).Changes.size(),
            1u);
}

// Whatever bytes one value contains, as long as its quotes and brackets match,
// the other objects are read.
RC_GTEST_PROP(ObjectsTest, ReadsOtherObjectsBesideAnyText, ()) {
  auto Text = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  std::erase_if(Text, [](char Byte) { return Byte == '"' || Byte == '\\'; });
  ObjectPage Page =
      pageOf(listText({objectText("\"a\"", "1", "1"),
                       objectText("\"odd\"", "2", "\"" + Text + "\""),
                       objectText("\"b\"", "3", "3")}));
  RC_ASSERT(Page.Changes.size() == 3u);
  RC_ASSERT(Page.Changes[1].Object.Value == "\"" + Text + "\"");
}

// An answer with arbitrary bytes changed is read or rejected, without a crash.
RC_GTEST_PROP(ObjectsTest, ReadsOrRejectsAnyAnswer, ()) {
  std::string Text = listText({objectText("\"a\"", "1", R"({"x":[1,"y"]})"),
                               objectText("\"b\"", "2", "null")});
  auto Changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, Text.size()),
                    rc::gen::arbitrary<char>()));
  for (const auto &[Position, Byte] : Changes)
    Text[Position] = Byte;
  Outcome<ObjectPage> Read = capture([&] { return readList(Text); });
  if (!errorOf(Read))
    RC_ASSERT(std::get<0>(Read).Changes.size() <= Text.size());
}

} // namespace
} // namespace samphirehill::platform
