#include "samphirehill/Groups/Fleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace samphirehill {
namespace {

using nlohmann::json;

const TimePoint At{seconds(5)};

json status() {
  return json::parse(R"({"instance":"e1","bootId":"b","state":"cold",
    "model":"m","version":"2","adapters":["x"],"group":"g","generation":3,
    "members":["e1","e2"],"fence":4,"running":5,"queued":6,
    "runningIds":["entry-1.7.1"],"tokensPerSecond":7.5,"cacheSequence":8,
    "reportTimeMs":9})");
}

TEST(ParseReportTest, ReadsEveryField) {
  auto Parsed = capture([] { return parseReport(status(), At); });
  ASSERT_EQ(errorOf(Parsed), nullptr) << errorOf(Parsed)->Message;
  EngineReport Expected{InstanceId("e1"), BootId("b"), EngineState::Cold};
  Expected.Model = "m";
  Expected.Version = "2";
  Expected.Adapters = {"x"};
  Expected.Group = GroupId("g");
  Expected.Generation = 3;
  Expected.Members = {InstanceId("e1"), InstanceId("e2")};
  Expected.Fence = 4;
  Expected.Running = 5;
  Expected.Queued = 6;
  Expected.RunningIds = {RequestId("entry-1.7.1")};
  Expected.TokensPerSecond = 7.5;
  Expected.CacheSequence = 8;
  Expected.At = At;
  EXPECT_EQ(std::get<0>(Parsed), Expected);
}

// Guards against a malformed answer that terminates the process or is read as
// the report of an idle engine.
TEST(ParseReportTest, RefusesDamagedAnswers) {
  for (const char *Key : {"instance", "bootId", "state", "members", "fence"}) {
    json Answer = status();
    Answer[Key] = json::array({json::array()});
    auto Parsed = capture([&] { return parseReport(Answer, At); });
    ASSERT_NE(errorOf(Parsed), nullptr) << Key;
    EXPECT_EQ(errorOf(Parsed)->Code, ResultCode::BadAnswer);
  }
}

TEST(ParseInstanceTest, ReadsFieldsAndRefusesUnknownRoles) {
  json Item = {{"id", "e1"},
               {"zone", "z"},
               {"fabricDomain", "d"},
               {"role", "engine"},
               {"address", "127.0.0.1:1"},
               {"accelerators", 2},
               {"state", "leaving"}};
  auto Parsed = capture([&] { return parseInstance(Item); });
  ASSERT_EQ(errorOf(Parsed), nullptr);
  EXPECT_EQ(std::get<0>(Parsed),
            (Instance{InstanceId("e1"), ZoneId("z"), DomainId("d"),
                      InstanceRole::Engine, "127.0.0.1:1", 2,
                      InstanceState::Leaving}));
  for (const char *Key : {"role", "state", "zone", "accelerators"}) {
    json Wrong = Item;
    Wrong[Key] = Key == std::string("accelerators") ? json("two") : json(7);
    if (Key == std::string("role") || Key == std::string("state"))
      Wrong[Key] = "other";
    auto Refused = capture([&] { return parseInstance(Wrong); });
    EXPECT_NE(errorOf(Refused), nullptr) << Key;
  }
}

} // namespace
} // namespace samphirehill
