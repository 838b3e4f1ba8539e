#include "Decode.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace samphirehill::platform {
namespace {

using nlohmann::json;

// Returns a valid entry of an instance.
json instanceEntry() {
  return json::parse(R"({"backend":"pool","address":"10.128.0.9:8080",
    "zone":"north","version":"v1","capacity_slots":26,"phase":"ready",
    "cold_remaining_ms":1500,"domain":"north-d0","staged":["m"],"born":7,
    "group":{"name":"m.3","epoch":3,"rank":1,"phase":"open"},"seq":4})");
}

TEST(DecodeTest, ReadsInstances) {
  auto Decoded = decodeInstance("i-1", instanceEntry());
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded->Listed.Id, InstanceId("i-1"));
  EXPECT_EQ(Decoded->Listed.Address, (SocketAddress{"10.128.0.9", 8080}));
  EXPECT_EQ(Decoded->Listed.Group,
            (serving::Membership{"m.3", 3, 1, serving::MemberPhase::Open}));
  EXPECT_EQ(Decoded->Listed.Staged, std::vector<std::string>{"m"});
  EXPECT_EQ(Decoded->ColdFor, milliseconds(1'500));
  EXPECT_FALSE(Decoded->Listed.Draining);
}

// Writers other than the instances may leave entries that don't describe a
// usable engine.
TEST(DecodeTest, RejectsUnusableInstanceEntries) {
  struct Case {
    const char *Field;
    json Value;
  };
  const Case Cases[] = {{"phase", "resting"},     {"phase", 3},
                        {"address", "nowhere"},   {"address", nullptr},
                        {"capacity_slots", "26"}, {"backend", json::array()},
                        {"zone", nullptr}};
  for (const Case &Tested : Cases) {
    json Entry = instanceEntry();
    Entry[Tested.Field] = Tested.Value;
    EXPECT_FALSE(decodeInstance("i-1", Entry)) << Tested.Field;
  }
  EXPECT_FALSE(decodeInstance("i-1", json("bytes")));
  EXPECT_FALSE(decodeInstance("i-1", json::array()));
}

TEST(DecodeTest, RejectsReportOfAnotherIncarnation) {
  serving::Instance Known = decodeInstance("i-1", instanceEntry())->Listed;
  Outcome<serving::Instance> Same =
      capture([&] { return decodeReport(Known, R"({"born":7,"pace":2.5})"); });
  ASSERT_FALSE(errorOf(Same));
  EXPECT_EQ(std::get<0>(Same).Pace, 2.5);
  EXPECT_FALSE(std::get<0>(Same).Group);
  Outcome<serving::Instance> Other =
      capture([&] { return decodeReport(Known, R"({"born":8})"); });
  ASSERT_TRUE(errorOf(Other));
  EXPECT_EQ(errorOf(Other)->Code, ResultCode::NotFound);
  Outcome<serving::Instance> Unreadable =
      capture([&] { return decodeReport(Known, "garbage"); });
  EXPECT_EQ(errorOf(Unreadable)->Code, ResultCode::BadAnswer);
}

TEST(DecodeTest, ReadsConfiguration) {
  const std::string Spec = R"({"version":7,
    "routes":[{"name":"r","hostname":"a.example","path_prefix":"/x/",
      "route_type":"stream","timeout_ms":8000,"target_latency_ms":500,
      "priority_class":1,"max_attempts":2,"resumable":true,
      "traffic_split":[{"backend":"pool","weight":90},
                       {"backend":"app","weight":10}]}],
    "backends":[{"name":"pool","health_path":"/h","max_connections":474,
      "cold_per_s":36.0,"engine":{"capacity_slots":26,"stride":5,
        "step_ms":6.07,"per_seq_ms":0.241,"read_per_s":46000.0,"chunk":2048,
        "loads_per_s":4.0,"loads_at_once":6,"form_ms":300.0,
        "report_lag_ms":200.0,"usual":{"prompt":900.5,"answer":140.4},
        "models":[{"name":"m","size":4,"share":0.67,"pace":1.0,
                   "load_s":16.0,"warm_s":1.6}]}}],
    "limits":{"idle_timeout_ms":15000},
    "tenants":[{"name":"org","api_keys":["k1","k2"],"priority_class":1}]})";
  ConfigurationCache Cache;
  auto Decoded = capture([&] { return decodeConfiguration(Cache, Spec); });
  ASSERT_FALSE(errorOf(Decoded));
  const serving::Configuration &Config = std::get<0>(Decoded);
  EXPECT_EQ(Config.Version, 7);
  ASSERT_EQ(Config.Routes.size(), 1u);
  const serving::Route &Route = *Config.Routes.routes()[0];
  EXPECT_EQ(Route.Kind, serving::RequestKind::Stream);
  EXPECT_EQ(Route.Services.size(), 2u);
  EXPECT_EQ(Route.Objective, milliseconds(500));
  const auto &Engine = Config.Services.at(ServiceId("pool")).Engine;
  ASSERT_TRUE(Engine);
  EXPECT_EQ(Engine->Step, Duration(6'070));
  EXPECT_EQ(Engine->ReportLag, milliseconds(200));
  EXPECT_EQ(Engine->UsualAnswerTokens, 140);
  EXPECT_EQ(Engine->Models[0].GroupSize, 4);
  EXPECT_EQ(Engine->Models[0].Load, seconds(16));
  EXPECT_EQ(Config.OrganisationByKey.at("k2").Id, OrganisationId("org"));
  EXPECT_EQ(Config.OrganisationByKey.at("k2").Priority, 1);
  EXPECT_EQ(Config.Limits.IdleTimeout, seconds(15));
}

TEST(DecodeTest, RejectsInvalidConfiguration) {
  const char *const InvalidSpecs[] = {
      "",
      "{}",
      "[]",
      "not json",
      R"({"version":"1"})",
      R"({"version":1,"routes":[{"name":"r","route_type":"other"}]})",
      R"({"version":1,"routes":[1]})",
      R"({"version":1,"routes":[{"route_type":"safe","timeout_ms":1e999}]})"};
  for (const char *Spec : InvalidSpecs) {
    ConfigurationCache Cache;
    EXPECT_TRUE(errorOf(capture([&] {
      return decodeConfiguration(Cache, Spec);
    }))) << Spec;
  }
}

// Returns a configuration of three routes. Timeout is the second route's, in
// milliseconds; the only API key is named by Version.
std::string threeRoutes(int Version, int Timeout) {
  std::string Routes;
  for (int Number = 0; Number < 3; ++Number)
    Routes += std::string(Number > 0 ? "," : "") + R"({"name":"r)" +
              std::to_string(Number) +
              R"(","hostname":"a.example","route_type":"safe",)"
              R"("path_prefix":"/)" +
              std::to_string(Number) + R"(/","timeout_ms":)" +
              std::to_string(Number == 1 ? Timeout : 1'000) +
              R"(,"backend":"app"})";
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         Routes + R"(],"backends":[{"name":"app"}],)" +
         R"("tenants":[{"name":"o","api_keys":["k)" + std::to_string(Version) +
         R"("]}]})";
}

TEST(DecodeTest, SharesUnchangedRoutesBetweenVersions) {
  ConfigurationCache Cache;
  auto Decode = [&Cache](const std::string &Text) {
    return std::get<0>(
        capture([&] { return decodeConfiguration(Cache, Text); }));
  };
  serving::Configuration First = Decode(threeRoutes(1, 1'000));
  serving::Configuration Second = Decode(threeRoutes(2, 2'000));
  const auto &Before = First.Routes.routes();
  const auto &After = Second.Routes.routes();
  ASSERT_EQ(After.size(), 3u);
  EXPECT_EQ(Before[0], After[0]);
  EXPECT_NE(Before[1], After[1]);
  EXPECT_EQ(Before[2], After[2]);
  EXPECT_EQ(Second.Routes.find("a.example", "/1/x")->Timeout, seconds(2));
  EXPECT_EQ(First.Routes.find("a.example", "/1/x")->Timeout, seconds(1));
  EXPECT_TRUE(Second.OrganisationByKey.contains("k2"));
  EXPECT_FALSE(Second.OrganisationByKey.contains("k1"));
  ConfigurationCache EmptyCache;
  auto DecodedAnew = capture(
      [&] { return decodeConfiguration(EmptyCache, threeRoutes(2, 2'000)); });
  EXPECT_EQ(Second, std::get<0>(DecodedAnew));
  // A rejected version leaves the cache unchanged.
  EXPECT_TRUE(errorOf(capture([&] {
    return decodeConfiguration(
        Cache, R"({"version":3,"routes":[{"route_type":"x"}]})");
  })));
  EXPECT_EQ(Decode(threeRoutes(4, 2'000)).Routes.routes()[1], After[1]);
}

TEST(DecodeTest, EncodesOrdersWithFencingToken) {
  serving::GroupOrder Join{serving::OrderKind::Join,
                           InstanceId("a"),
                           "m.3",
                           3,
                           "m",
                           {InstanceId("a"), InstanceId("b")},
                           9};
  EXPECT_EQ(json::parse(encodeOrder(Join)),
            json::parse(R"({"op":"join","group":"m.3","epoch":3,"model":"m",
                            "members":["a","b"],"fencing_token":9})"));
  serving::GroupOrder Stage{
      serving::OrderKind::Stage, InstanceId("a"), {}, 0, "m", {}, 9};
  EXPECT_EQ(json::parse(encodeOrder(Stage)),
            json::parse(R"({"op":"stage","model":"m","fencing_token":9})"));
  serving::GroupOrder Close{
      serving::OrderKind::Close, InstanceId("a"), "m.3", 3, "m", {}, 9};
  EXPECT_EQ(json::parse(encodeOrder(Close))["close_mode"], "wait");
}

} // namespace
} // namespace samphirehill::platform
