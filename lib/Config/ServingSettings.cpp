#include "samphirehill/Config/ServingSettings.h"

#include "AddressReader.h"
#include "TomlReader.h"

#include <charconv>
#include <string>

namespace samphirehill {
namespace {

void readListen(TableReader Listen, ServingSettings &Into) {
  Into.Callers = addressAt(Listen, "callers");
  Into.Readiness = addressAt(Listen, "readiness");
  Into.Peers = addressAt(Listen, "peers");
  Into.Metrics = addressAt(Listen, "metrics");
  if (Into.Callers.Port != 0 && Into.Callers == Into.Readiness)
    Listen.refuse("readiness", "must differ from listen.callers");
  Listen.refuseUnknownKeys();
}

void readRetries(TableReader Retries, ServingSettings &Into) {
  constexpr double HighestRatio = 10;
  constexpr double HighestSlack = 1'000'000;
  Into.RetryRatio = Retries.number("ratio", 0, HighestRatio, Into.RetryRatio);
  Into.RetrySlack = Retries.number("slack", 0, HighestSlack, Into.RetrySlack);
  Into.RetryWindow = Retries.duration("window", milliseconds(100),
                                      seconds(3600), Into.RetryWindow);
  Retries.refuseUnknownKeys();
}

void readTimes(TableReader Times, ServingSettings &Into) {
  Into.Grace =
      Times.duration("grace", milliseconds(1), seconds(3600), Into.Grace);
  Into.Drain =
      Times.duration("drain", milliseconds(1), seconds(3600), Into.Drain);
  Times.refuseUnknownKeys();
}

constexpr double LowestMemoryMb = 16;
constexpr double HighestMemoryMb = 1e7;

// Reads the variable's text; an empty one leaves the default.
Result<void> readMemoryVariable(std::string_view Text, ServingSettings &Into) {
  if (Text.empty())
    return {};
  double Megabytes = 0;
  auto [End, Failed] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Megabytes);
  bool Valid = Failed == std::errc() && End == Text.data() + Text.size() &&
               Megabytes >= LowestMemoryMb && Megabytes <= HighestMemoryMb;
  if (!Valid)
    return fail(ResultCode::InvalidSettings,
                "MEMORY_LIMIT_MB is \"" + std::string(Text) +
                    "\", not a number of megabytes");
  Into.MemoryLimitMb = Megabytes;
  return {};
}

void readMemory(TableReader Memory, ServingSettings &Into) {
  constexpr double LowestShare = 0.05;
  Into.MemoryLimitMb = Memory.number("limit_mb", LowestMemoryMb,
                                     HighestMemoryMb, Into.MemoryLimitMb);
  Into.HeldShare = Memory.number("held_share", LowestShare, 1, Into.HeldShare);
  Memory.refuseUnknownKeys();
}

void readGroups(TableReader Groups, ServingSettings &Into) {
  std::string Shares =
      Groups.has("shares") ? Groups.name("shares") : "automatic";
  if (Shares == "demand")
    Into.Shares = ShareMode::Demand;
  else if (Shares == "stated")
    Into.Shares = ShareMode::Stated;
  else if (Shares != "automatic")
    Groups.refuse("shares", "\"automatic\", \"demand\" or \"stated\"");
  Groups.refuseUnknownKeys();
}

void readShares(TableReader Shares, ServingSettings &Into) {
  constexpr double HighestFloor = 0.1; // ten priorities together keep all
  std::string Use = Shares.has("use") ? Shares.name("use") : "priorities";
  if (Use == "always")
    Into.FairShares = ShareUse::Always;
  else if (Use == "never")
    Into.FairShares = ShareUse::Never;
  else if (Use != "priorities")
    Shares.refuse("use", "\"priorities\", \"always\" or \"never\"");
  Into.RankFloor = Shares.number("rank_floor", 0, HighestFloor, Into.RankFloor);
  Into.OrganisationFloor =
      Shares.number("organisation_floor", 0, 1, Into.OrganisationFloor);
  Shares.refuseUnknownKeys();
}

} // namespace

std::size_t heldBytesLimit(const ServingSettings &Settings) {
  constexpr double BytesPerMegabyte = 1e6;
  return static_cast<std::size_t>(Settings.MemoryLimitMb * BytesPerMegabyte *
                                  Settings.HeldShare);
}

Result<ServingSettings> parseServingSettings(std::string_view Toml,
                                             std::string_view File,
                                             std::string_view MemoryLimitMb) {
  Problems Found(File);
  ServingSettings Value;
  BOOST_LEAF_CHECK(readMemoryVariable(MemoryLimitMb, Value));
  if (std::optional<toml::table> Parsed = parseToml(Toml, Found)) {
    TableReader Root(*Parsed, "", Found);
    Value.Entry = EntryId(Root.name("entry"));
    Value.Zone = ZoneId(Root.name("zone"));
    Value.FirstStart = Root.boolean("first_start", false);
    constexpr double MostCores = 1'024;
    Value.ProcessorShare =
        Root.number("processor_share", 0, MostCores, Value.ProcessorShare);
    readListen(Root.table("listen", true), Value);
    TableReader Platform = Root.table("platform", true);
    Value.Platform = addressAt(Platform, "address");
    Platform.refuseUnknownKeys();
    readRetries(Root.table("retries"), Value);
    readTimes(Root.table("times"), Value);
    readMemory(Root.table("memory"), Value);
    readGroups(Root.table("groups"), Value);
    readShares(Root.table("shares"), Value);
    TableReader Pace = Root.table("pace");
    Value.PaceEnabled = Pace.boolean("enabled", Value.PaceEnabled);
    Pace.refuseUnknownKeys();
    Root.refuseUnknownKeys();
  }
  if (!Found.empty())
    return fail(ResultCode::InvalidSettings, Found.message());
  return Value;
}

} // namespace samphirehill
