#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Config/Secret.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace samphirehill {
namespace {

using testing::HasSubstr;

constexpr const char *Head = R"(operator = "lumen"
[[zones]]
name = "mu-1"
region = "mauritius"
)";

constexpr const char *Complete = R"(operator = "lumen"
[limits]
max_deadline = "90s"
max_concurrent_loads = 3
[[zones]]
name = "mu-1"
region = "mauritius"
[[services]]
name = "notes"
kind = "model"
model = "notes-70b"
version = "3"
adapters = ["french"]
replica_size = 4
accelerators = 2
replicas_per_zone = 3
weights_bytes = 140000000000
warm_limit = 32
ramp_factor = 1.5
checks_fence = true
depends_on = ["booking"]
[[services]]
name = "booking"
kind = "plain"
non_repeatable = [{ method = "POST", path = "/bookings/**" }]
[[organisations]]
id = "port-louis"
weight = 4
api_keys = ["plain key"]
services = ["notes"]
[[instances]]
id = "engine-7"
checks_fence = false
)";

Outcome<OperatorsText> parsed(const std::string &Toml) {
  return capture([&] { return OperatorsText::parse(Toml, "lumen.toml"); });
}

std::string problemsOf(const std::string &Toml) {
  Outcome<OperatorsText> Value = parsed(Toml);
  return errorOf(Value) ? errorOf(Value)->Message : "";
}

OperatorsText textOf(const std::string &Toml) {
  Outcome<OperatorsText> Value = parsed(Toml);
  if (errorOf(Value))
    throw std::runtime_error(errorOf(Value)->Message);
  return std::get<0>(Value);
}

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  std::size_t Place = Text.find(Old);
  if (Place == std::string::npos)
    throw std::runtime_error("\"" + Old + "\" is not in the text");
  return Text.replace(Place, Old.size(), New);
}

// Guards against keys that are accepted and then ignored.
TEST(OperatorsTextTest, ReadsEveryKeyWhenTextIsValid) {
  OperatorsText Text = textOf(Complete);
  EXPECT_EQ(Text.operatorName(), "lumen");
  EXPECT_EQ(Text.limits().MaxDeadline, seconds(90));
  EXPECT_EQ(Text.limits().RecordTtl, seconds(86'400));
  EXPECT_EQ(Text.limits().MaxConcurrentLoads, 3);
  const Service *Notes = Text.findService(ServiceId("notes"));
  ASSERT_NE(Notes, nullptr);
  EXPECT_EQ(Notes->Model, "notes-70b");
  EXPECT_EQ(Notes->ReplicaSize, 4);
  EXPECT_EQ(Notes->Accelerators, 2);
  EXPECT_EQ(Notes->ReplicasPerZone, 3);
  EXPECT_EQ(Notes->WeightsBytes, 140000000000U);
  EXPECT_EQ(Notes->LimitRamp, (Ramp{1.5, seconds(5)}));
  EXPECT_EQ(Notes->DependsOn, std::vector{ServiceId("booking")});
  EXPECT_TRUE(Text.checksFence(*Notes, InstanceId("engine-1")));
  EXPECT_FALSE(Text.checksFence(*Notes, InstanceId("engine-7")));
  EXPECT_TRUE(Text.runsIn(*Notes, ZoneId("mu-1")));
  EXPECT_FALSE(Text.runsIn(*Notes, ZoneId("jo-1")));
  const Organisation *Caller = Text.findOrganisationByKey("plain key");
  ASSERT_NE(Caller, nullptr);
  EXPECT_EQ(Caller->Name, OrganisationId("port-louis"));
  EXPECT_TRUE(Text.mayCall(*Caller, ServiceId("notes")));
  EXPECT_FALSE(Text.mayCall(*Caller, ServiceId("booking")));
  EXPECT_EQ(Text.findOrganisationByKey("other key"), nullptr);
}

struct Fault {
  const char *Old;
  const char *New;
  const char *Problem;
};

// Guards against a wrong text that is accepted, and against a refusal that
// doesn't name line, key, value and rule.
TEST(OperatorsTextTest, NamesProblemWhenOneValueIsWrong) {
  const Fault Faults[] = {
      {"replica_size = 4", "replica_size = 0",
       "lumen.toml:14: services[0].replica_size = 0: must be a whole number "
       "from 1 to 64"},
      {"replica_size = 4", "replica_size = \"4\"", "must be a whole number"},
      {"replica_size = 4", "", "services[0].replica_size: is missing"},
      {"\"90s\"", "\"90 parsecs\"",
       "lumen.toml:3: limits.max_deadline = \"90 parsecs\": must be a "
       "duration"},
      {"\"90s\"", "\"50h\"", "must be a duration from \"100ms\" to \"1h\""},
      {"[limits]", "[limits]\nrecord_ttl = \"60s\"",
       "must not be below max_deadline, which is 90s"},
      {"warm_limit = 32", "warm_limit = 3\ncold_limit = 4",
       "services[0].cold_limit = 4: must not be above warm_limit, which is 3"},
      {"replicas_per_zone = 3", "replicas_per_zone = 3\nreplicas = 3",
       "exactly one of replicas and replicas_per_zone"},
      {"[\"booking\"]", "[\"bocking\"]",
       "services[0].depends_on[0] = \"bocking\": is not defined; defined are "
       "notes, booking"},
      {"kind = \"plain\"", "kind = \"plain\"\ndepends_on = [\"notes\"]",
       "closes the cycle notes -> booking -> notes"},
      {"[\"booking\"]", "[\"notes\"]", "closes the cycle notes -> notes"},
      {"services = [\"notes\"]", "services = [\"note\"]",
       "organisations[0].services[0] = \"note\": is not defined"},
      {"checks_fence = true", "checks_fences = true",
       "services[0].checks_fences: is unknown; known keys are"},
      {"checks_fence = true", "checks_fence = 1", "must be true or false"},
      {"kind = \"plain\"", "kind = \"plan\"",
       "kind = \"plan\": must be \"model\" or \"plain\""},
      {"kind = \"plain\"", "kind = \"plain\"\nzones = [\"mu-9\"]",
       "services[1].zones[0] = \"mu-9\": is not defined; defined are mu-1"},
      {"\"/bookings/**\"", "\"bookings\"", "must be a path pattern"},
      {"method = \"POST\"", "method = \"post\"", "must be a method"},
      {"name = \"booking\"", "name = \"notes\"", "must be unique"},
      {"api_keys = [\"plain key\"]", "", "has no API key"},
      {"ramp_factor = 1.5", "ramp_factor = 0.5", "must be a number from 1.01"},
      {"operator = \"lumen\"", "operator = \"lu men\"",
       "lumen.toml:1: operator = \"lu men\": must be 1 to 64 letters"},
      {"[limits]", "[limits", "lumen.toml:2: syntax"},
  };
  for (const Fault &Case : Faults)
    EXPECT_THAT(problemsOf(replaced(Complete, Case.Old, Case.New)),
                HasSubstr(Case.Problem));
}

// Guards against an operator having to fix problems one run at a time.
TEST(OperatorsTextTest, ListsAllProblemsWhenSeveralValuesAreWrong) {
  std::string Toml = replaced(Complete, "replica_size = 4", "replica_size = 0");
  Toml = replaced(Toml, "weight = 4", "weight = -1");
  Toml = replaced(Toml, "kind = \"plain\"", "kind = \"plan\"");
  std::string Message = problemsOf(Toml);
  EXPECT_EQ(std::count(Message.begin(), Message.end(), '\n'), 2) << Message;
}

// Guards against a plain key in messages and stored objects.
TEST(OperatorsTextTest, HidesApiKeysInMessagesAndJson) {
  EXPECT_THAT(problemsOf(replaced(Complete, "plain key", "hidden")),
              testing::AllOf(HasSubstr("api_keys[0] = <secret>"),
                             testing::Not(HasSubstr("hidden"))));
  EXPECT_THAT(problemsOf(replaced(Complete, "api_keys = [\"plain key\"]",
                                  "api_keys = \"hidden key\"")),
              testing::Not(HasSubstr("hidden key")));
  std::string Json = textOf(Complete).toJson().dump();
  EXPECT_THAT(Json, testing::Not(HasSubstr("plain key")));
  EXPECT_THAT(Json, HasSubstr(sha256Hex("plain key")));
}

TEST(OperatorsTextTest, RestoresTextWhenReadFromItsJson) {
  OperatorsText Text = textOf(Complete);
  Outcome<OperatorsText> Again =
      capture([&] { return OperatorsText::fromJson(Text.toJson()); });
  ASSERT_EQ(errorOf(Again), nullptr) << errorOf(Again)->Message;
  EXPECT_EQ(std::get<0>(Again), Text);
}

// Guards against an object that a faulty tool wrote being taken for a text.
TEST(OperatorsTextTest, RefusesJsonWithWrongTypes) {
  for (const char *Json :
       {"[]", "7", "{}", R"({"operator":"a","zones":[1]})",
        R"({"operator":{"a":1},"zones":[[{"name":"z"}]]})"}) {
    Outcome<OperatorsText> Value = capture(
        [&] { return OperatorsText::fromJson(nlohmann::json::parse(Json)); });
    ASSERT_NE(errorOf(Value), nullptr) << Json;
    EXPECT_EQ(errorOf(Value)->Code, ResultCode::InvalidText);
  }
}

// Guards against limits that don't survive the object API.
RC_GTEST_PROP(OperatorsTextTest, RestoresGeneratedFieldsThroughJson, ()) {
  TextFields Fields;
  Fields.Operator = "op";
  Fields.Zones = {{ZoneId("z"), "r"}};
  int Count = *rc::gen::inRange(0, 5);
  for (int I = 0; I < Count; ++I) {
    Service Value;
    Value.Name = ServiceId("s" + std::to_string(I));
    Value.Model = "m";
    Value.Version = "1";
    Value.ReplicaSize = *rc::gen::inRange(1, 65);
    Value.Replicas = *rc::gen::inRange(1, 10001);
    Value.WarmLimit = *rc::gen::inRange(1, 100001);
    Value.ColdLimit = *rc::gen::inRange(1, Value.WarmLimit + 1);
    Value.LimitRamp.Step = milliseconds(*rc::gen::inRange(100, 3600001));
    Value.LimitRamp.Factor = 1.01 + *rc::gen::inRange(0, 1000) / 7.0 / 16.0;
    for (int J = 0; J < I; ++J)
      if (*rc::gen::arbitrary<bool>())
        Value.DependsOn.emplace_back("s" + std::to_string(J));
    Fields.Services.push_back(Value);
  }
  Outcome<OperatorsText> Text =
      capture([&] { return OperatorsText::create(Fields); });
  RC_ASSERT(!errorOf(Text));
  RC_ASSERT(std::get<0>(Text).services() == Fields.Services);
}

TEST(CheckTogetherTest, FindsEveryKindOfClash) {
  OperatorsText Left = textOf(Complete);
  std::string Other = replaced(Complete, "\"lumen\"", "\"zarqa\"");
  EXPECT_EQ(checkTogether(Left, textOf(Other)).size(), 5U);
  Other = replaced(Other, "\"mauritius\"", "\"jordan\"");
  EXPECT_THAT(checkTogether(Left, textOf(Other)),
              testing::Contains("zone mu-1 is in region mauritius for lumen "
                                "and in region jordan for zarqa"));
  std::string Alone = replaced(Head, "lumen", "zarqa");
  EXPECT_THAT(checkTogether(Left, textOf(Alone)), testing::IsEmpty());
}

TEST(DiffTest, ShowsAddedChangedAndRemovedKeys) {
  std::string New = replaced(Complete, "warm_limit = 32", "warm_limit = 48");
  New = replaced(New, "replicas_per_zone = 3", "replicas = 5");
  EXPECT_THAT(diff(textOf(Complete), textOf(New)),
              testing::ElementsAre("+ services.notes.replicas: 5",
                                   "- services.notes.replicas_per_zone: 3",
                                   "~ services.notes.warm_limit: 32 -> 48"));
  EXPECT_THAT(diff(textOf(New), textOf(New)), testing::IsEmpty());
}

// Guards against a spelling of a path that the service accepts and the rule
// misses, which would let a booking run twice (I7).
TEST(IsNonRepeatableTest, MatchesEverySpellingOfPath) {
  Service Value;
  Value.NonRepeatable = {{"POST", "/bookings/**"}, {"*", "/packs/*/hand-out"}};
  for (const char *Target :
       {"/bookings", "/bookings/", "/bookings/7/on", "//bookings/7",
        "/%62ookings/7", "/x/../bookings", "/./bookings?a=b", "/bookings#a"})
    EXPECT_TRUE(isNonRepeatable(Value, "POST", Target)) << Target;
  EXPECT_TRUE(isNonRepeatable(Value, "PUT", "/packs/9/hand-out"));
  EXPECT_FALSE(isNonRepeatable(Value, "GET", "/bookings/7"));
  EXPECT_FALSE(isNonRepeatable(Value, "POST", "/bookingsheet"));
  EXPECT_FALSE(isNonRepeatable(Value, "PUT", "/packs/hand-out"));
  EXPECT_FALSE(isNonRepeatable(Value, "PUT", "/packs/9/8/hand-out"));
}

TEST(ServiceOfInstanceTest, PrefersLongestPattern) {
  std::string Toml = replaced(Complete, "kind = \"plain\"",
                              "kind = \"plain\"\ninstances = [\"app-*\"]");
  Toml += "[[services]]\nname = \"rounds\"\nkind = \"plain\"\n"
          "instances = [\"app-r-*\", \"app-1\"]\n";
  OperatorsText Text = textOf(Toml);
  auto NameOf = [&](const char *Instance) {
    const Service *Found = Text.serviceOfInstance(InstanceId(Instance));
    return Found ? Found->Name.str() : "";
  };
  EXPECT_EQ(NameOf("app-2"), "booking");
  EXPECT_EQ(NameOf("app-r-2"), "rounds");
  EXPECT_EQ(NameOf("app-1"), "rounds");
  EXPECT_EQ(NameOf("engine-1"), "");
}

} // namespace
} // namespace samphirehill
