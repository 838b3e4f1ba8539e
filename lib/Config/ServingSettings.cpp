#include "samphirehill/Config/ServingSettings.h"

#include "AddressReader.h"
#include "TomlReader.h"

#include <unistd.h>

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

std::size_t physicalMegabytes() {
  auto Pages = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES));
  auto PageBytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return Pages * PageBytes / 1'000'000;
}

void readMemory(TableReader Memory, ServingSettings &Into) {
  constexpr double HighestLimit = 1e9;
  constexpr double BytesPerMegabyte = 1e6;
  constexpr double DefaultShare = 0.6;
  double Limit = Memory.number("limit_mb", 0, HighestLimit, 0);
  if (Limit == 0)
    Limit = static_cast<double>(physicalMegabytes());
  double Share = Memory.number("held_share", 0.05, 1, DefaultShare);
  Into.HeldBytes = static_cast<std::size_t>(Limit * BytesPerMegabyte * Share);
  Memory.refuseUnknownKeys();
}

} // namespace

Result<ServingSettings> parseServingSettings(std::string_view Toml,
                                             std::string_view File) {
  Problems Found(File);
  ServingSettings Value;
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
    Root.refuseUnknownKeys();
  }
  if (!Found.empty())
    return fail(ResultCode::InvalidSettings, Found.message());
  return Value;
}

} // namespace samphirehill
