#include "samphirehill/Daemon/Catalogue.h"

#include "Daemon/Texts.h"

#include <gmock/gmock.h>

namespace samphirehill::test {
namespace {

using testing::ElementsAre;

// Guards against configuration that reverts when an older text arrives late.
TEST(CatalogueTest, IgnoresTextThatIsNotNewer) {
  Catalogue Texts;
  TextFields Older = sampleFields();
  Older.Limits.MaxConcurrentLoads = 7;
  ASSERT_TRUE(Texts.put(textOf(sampleFields()), 5));
  EXPECT_FALSE(Texts.put(textOf(Older), 4));
  EXPECT_FALSE(Texts.put(textOf(Older), 5));
  EXPECT_EQ(Texts.version("lumen"), 5u);
  EXPECT_EQ(*Texts.texts().front(), textOf(sampleFields()));
  EXPECT_TRUE(Texts.put(textOf(Older), 6));
  EXPECT_EQ(*Texts.texts().front(), textOf(Older));
}

// Guards against an API key that still works after it was taken out of the
// text, and against callers whose text is freed under them.
TEST(CatalogueTest, FollowsKeysOfNewestText) {
  Catalogue Texts;
  Texts.put(textOf(sampleFields()), 1);
  Caller Before = Texts.findCaller("key-few");
  ASSERT_NE(Before.Who, nullptr);
  TextFields Changed = sampleFields();
  Changed.Organisations[1].KeyDigests = {sha256Hex("key-new")};
  Texts.put(textOf(Changed), 2);
  EXPECT_EQ(Texts.findCaller("key-few").Who, nullptr);
  ASSERT_NE(Texts.findCaller("key-new").Who, nullptr);
  EXPECT_EQ(Texts.findCaller("key-new").Who->Name, OrganisationId("few"));
  EXPECT_EQ(Before.Who->Name, OrganisationId("few"));
}

// Guards against the text of one operator replacing that of the other.
TEST(CatalogueTest, KeepsTextsOfTwoOperators) {
  Catalogue Texts;
  Texts.put(textOf(sampleFields()), 3);
  TextFields Other = sampleFields();
  Other.Operator = "zarqa";
  Other.Services.resize(1);
  Other.Services[0].Name = ServiceId("letters");
  Other.Organisations.resize(1);
  Other.Organisations[0].Name = OrganisationId("amman");
  Other.Organisations[0].KeyDigests = {sha256Hex("key-amman")};
  Texts.put(textOf(Other), 1);
  EXPECT_EQ(Texts.findCaller("key-all").Text->operatorName(), "lumen");
  EXPECT_EQ(Texts.findCaller("key-amman").Text->operatorName(), "zarqa");
  EXPECT_EQ(Texts.textOfService(ServiceId("letters"))->operatorName(), "zarqa");
  EXPECT_EQ(Texts.textOfService(ServiceId("nothing")), nullptr);
}

// Guards against calls of models and adapters that the organisation may not
// use or that the service does not have.
TEST(CatalogueTest, FindsOnlyModelsThatCallerMayUse) {
  Catalogue Texts;
  Texts.put(textOf(sampleFields()), 1);
  Caller All = Texts.findCaller("key-all");
  Caller Few = Texts.findCaller("key-few");
  EXPECT_EQ(findModel(All, "notes-70b:french")->Name, ServiceId("notes"));
  EXPECT_EQ(findModel(All, "faults-7b")->Name, ServiceId("faults"));
  EXPECT_EQ(findModel(All, "notes-70b:dutch"), nullptr);
  EXPECT_EQ(findModel(All, "faults-7b:french"), nullptr);
  EXPECT_EQ(findModel(All, "booking"), nullptr);
  EXPECT_EQ(findModel(Few, "faults-7b"), nullptr);
  EXPECT_THAT(modelNames(All),
              ElementsAre("notes-70b", "notes-70b:french", "faults-7b"));
  EXPECT_THAT(modelNames(Few), ElementsAre("notes-70b", "notes-70b:french"));
}

} // namespace
} // namespace samphirehill::test
