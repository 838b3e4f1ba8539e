#include "samphirehill/Config/Settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>

namespace samphirehill {
namespace {

using testing::HasSubstr;

constexpr const char *Complete = R"(entry = "lumen-1"
zone = "mu-1"
[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "[::1]:8082"
[platform]
address = "127.0.0.1:9000"
[secrets]
peer_key = "0123456789abcdef"
operator_key = "fedcba9876543210"
[[seeds]]
entry = "lumen-2"
address = "127.0.0.1:8182"
[limits]
body_bytes = 2048
[deadlines]
connect = "250ms"
)";

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  std::size_t Place = Text.find(Old);
  if (Place == std::string::npos)
    throw std::runtime_error("\"" + Old + "\" is not in the text");
  return Text.replace(Place, Old.size(), New);
}

Outcome<Settings> parsed(const std::string &Toml) {
  return capture([&] { return parseSettings(Toml, "entry.toml"); });
}

TEST(SettingsTest, ReadsEveryKeyWhenSettingsAreValid) {
  Outcome<Settings> Parsed = parsed(Complete);
  ASSERT_EQ(errorOf(Parsed), nullptr) << errorOf(Parsed)->Message;
  const Settings &Value = std::get<0>(Parsed);
  EXPECT_EQ(Value.Entry, EntryId("lumen-1"));
  EXPECT_EQ(Value.Zone, ZoneId("mu-1"));
  EXPECT_EQ(Value.Callers, (SocketAddress{"127.0.0.1", 8080}));
  EXPECT_EQ(Value.Peers.str(), "[::1]:8082");
  EXPECT_EQ(Value.Seeds,
            (std::vector{SeedPeer{EntryId("lumen-2"), {"127.0.0.1", 8182}}}));
  EXPECT_TRUE(Value.PeerKey.matches("0123456789abcdef"));
  EXPECT_EQ(Value.HeaderBytes, 16384);
  EXPECT_EQ(Value.BodyBytes, 2048);
  EXPECT_EQ(Value.ConnectDeadline, milliseconds(250));
}

struct Fault {
  const char *Old;
  const char *New;
  const char *Problem;
};

// Guards against a process that starts with a setting it can't keep, and
// against a refusal that doesn't name line, key, value and rule.
TEST(SettingsTest, NamesProblemWhenOneValueIsWrong) {
  const Fault Faults[] = {
      {"entry = \"lumen-1\"", "", "entry: is missing"},
      {"\"127.0.0.1:8080\"", "\"localhost:8080\"",
       "entry.toml:4: listen.callers = \"localhost:8080\": must be "
       "\"<IP>:<port>\""},
      {"\"127.0.0.1:8080\"", "\"127.0.0.1:0\"", "listen.callers"},
      {"\"127.0.0.1:8080\"", "\"127.0.0.1:65536\"", "listen.callers"},
      {"\"127.0.0.1:8081\"", "\"127.0.0.1:8080\"",
       "must differ from listen.callers"},
      {"[platform]", "[platfrom]", "platfrom: is unknown; known keys are"},
      {"entry = \"lumen-2\"", "entry = \"lumen-1\"",
       "must name another entry than this one"},
      {"body_bytes = 2048", "body_bytes = 1",
       "limits.body_bytes = 1: must be a whole number from 1024 to 67108864"},
      {"\"250ms\"", "\"0ms\"",
       "deadlines.connect = \"0ms\": must be a duration"},
      {"\"fedcba9876543210\"", "\"short\"",
       "entry.toml:11: secrets.operator_key = <secret>: must be a string of "
       "at least 16 bytes"},
  };
  for (const Fault &Case : Faults) {
    Outcome<Settings> Value = parsed(replaced(Complete, Case.Old, Case.New));
    ASSERT_NE(errorOf(Value), nullptr) << Case.New;
    EXPECT_EQ(errorOf(Value)->Code, ResultCode::InvalidSettings);
    EXPECT_THAT(errorOf(Value)->Message, HasSubstr(Case.Problem));
  }
}

// Guards against keys in logs.
TEST(SecretTest, NeverPrintsItsValue) {
  Secret Key("0123456789abcdef");
  std::ostringstream Stream;
  Stream << Key;
  EXPECT_EQ(Stream.str(), "<secret>");
  EXPECT_FALSE(Key.matches("0123456789abcdeF"));
  EXPECT_FALSE(Key.matches(""));
  EXPECT_FALSE(Secret().matches(""));
}

// The digest of "abc" is a test vector of FIPS 180-2.
TEST(Sha256Test, MatchesPublishedVector) {
  EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223"
                              "b00361a396177a9cb410ff61f20015ad");
}

} // namespace
} // namespace samphirehill
