#include "samphirehill/Serving/BlameStore.h"

#include "samphirehill/Core/JsonParts.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {
namespace {

constexpr const char *BlameKind = "blames";
constexpr Duration ReadPause = seconds(1);
constexpr Duration WriteRetryDelay = seconds(1);
// Bounds what is taken from one object.
constexpr std::size_t MaxCrashesRead = 16;
constexpr Duration MaxAgeRead = std::chrono::hours(24);

std::optional<PromptPart> partOf(const std::string &Name) {
  PromptPart Part = 0;
  auto [End, Failed] =
      std::from_chars(Name.data(), Name.data() + Name.size(), Part, 16);
  if (Failed != std::errc() || End != Name.data() + Name.size())
    return std::nullopt;
  return Part;
}

bool isCrash(const nlohmann::json &Value) {
  return Value.is_object() && Value.contains("engine") &&
         Value["engine"].is_string() && Value.contains("boot") &&
         Value["boot"].is_string() && Value.contains("domain") &&
         Value["domain"].is_string() && Value.contains("at_ms") &&
         Value["at_ms"].is_number_integer();
}

} // namespace

std::string encodeBlame(const PartSuspects &Suspects, PromptPart Part,
                        TimePoint Now, WallTime WallNow) {
  nlohmann::json Crashes = nlohmann::json::array();
  nlohmann::json Value = {{"trials", 0}, {"last_trial_ms", 0}};
  auto Found = Suspects.Parts.find(Part);
  if (Found != Suspects.Parts.end() &&
      blamedPart(Suspects, std::span(&Part, 1))) {
    for (const auto &[Crash, At] : Found->second.Crashes) {
      auto Known = Suspects.Crashes.find(Crash);
      Crashes.push_back({{"engine", Crash.Upstream.str()},
                         {"boot", Crash.Boot.str()},
                         {"domain", Known == Suspects.Crashes.end()
                                        ? std::string()
                                        : Known->second.Crash.Domain},
                         {"at_ms", toWallMilliseconds(At, Now, WallNow)}});
    }
    Value["trials"] = Found->second.Trials.Count;
    if (Found->second.Trials.Count > 0)
      Value["last_trial_ms"] =
          toWallMilliseconds(Found->second.Trials.LastAt, Now, WallNow);
  }
  Value["crashes"] = std::move(Crashes);
  return Value.dump();
}

SuspectReport decodeBlame(const StoredObject &Object, TimePoint Now,
                          WallTime WallNow) {
  SuspectReport Report;
  std::optional<PromptPart> Part = partOf(Object.Name);
  nlohmann::json Value = parseJson(Object.Value);
  if (!Part || !Value.is_object() || !Value.contains("crashes") ||
      !Value["crashes"].is_array())
    return Report;
  for (const nlohmann::json &Each : Value["crashes"]) {
    if (!isCrash(Each) || Report.Crashes.size() >= MaxCrashesRead)
      continue;
    Report.Crashes.push_back(
        {{UpstreamId(Each["engine"].get<std::string>()),
          BootId(Each["boot"].get<std::string>())},
         Each["domain"].get<std::string>(),
         fromWallMilliseconds(Each["at_ms"].get<std::int64_t>(), MaxAgeRead,
                              Now, WallNow),
         {{*Part}}});
  }
  if (Report.Crashes.empty() || !Value.contains("trials") ||
      !Value["trials"].is_number_unsigned() ||
      !Value.contains("last_trial_ms") ||
      !Value["last_trial_ms"].is_number_integer())
    return Report;
  constexpr unsigned MaxTrials = 100;
  if (unsigned Trials = std::min(Value["trials"].get<unsigned>(), MaxTrials))
    Report.Trials.push_back(
        {*Part, static_cast<int>(Trials),
         fromWallMilliseconds(Value["last_trial_ms"].get<std::int64_t>(),
                              MaxAgeRead, Now, WallNow)});
  return Report;
}

void BlameStore::writeChanges() {
  if (Restored)
    return readWritten();
  std::set<PromptPart> Blamed = blamedParts(Suspects);
  TimePoint Now = Timers.now();
  for (PromptPart Each : Blamed) {
    const Written &Known = Parts[Each];
    if (!Known.Blamed && !Known.Running && Now >= Known.RetryAt)
      write(Each);
  }
  for (const auto &[Part, Known] : Parts) {
    if (Known.Blamed && !Known.Running && Now >= Known.RetryAt &&
        !Blamed.contains(Part))
      write(Part);
  }
}

void BlameStore::readWritten() {
  if (Comparing || Timers.now() < CompareAt)
    return;
  Comparing = true;
  Restored = false;
  Store.List(BlameKind, [this, Weak = std::weak_ptr<bool>(Alive)](
                            const Outcome<std::vector<StoredObject>> &Answer) {
    if (Weak.expired())
      return;
    Comparing = false;
    if (!errorOf(Answer))
      return compareWritten(std::get<0>(Answer));
    Restored = true;
    CompareAt = Timers.now() + WriteRetryDelay;
    spdlog::info("event=blame_read_failed reason=\"{}\"",
                 errorOf(Answer)->Message);
  });
}

void BlameStore::compareWritten(const std::vector<StoredObject> &Listed) {
  std::map<PromptPart, Written> Found;
  for (const StoredObject &Each : Listed) {
    std::optional<PromptPart> Part = partOf(Each.Name);
    if (!Part || !Parts.contains(*Part))
      continue;
    SuspectReport Report = decodeBlame(Each, Timers.now(), Timers.wallNow());
    Found[*Part] = {Each.Revision, !Report.Crashes.empty(), false, {}};
  }
  Parts = std::move(Found);
}

void BlameStore::write(PromptPart Part) {
  Written &Known = Parts[Part];
  Known.Running = true;
  bool Blamed = !Known.Blamed;
  StoredObject Object{
      fmt::format("{:x}", Part), Known.Revision,
      encodeBlame(Suspects, Part, Timers.now(), Timers.wallNow())};
  Store.Write(BlameKind, Object,
              [this, Part, Blamed, Weak = std::weak_ptr<bool>(Alive)](
                  const Outcome<StoredObject> &Done) {
                if (Weak.expired())
                  return;
                Written &Known = Parts[Part];
                Known.Running = false;
                const Error *Failed = errorOf(Done);
                if (!Failed)
                  Known.Revision = std::get<0>(Done).Revision;
                bool Conflict = Failed && Failed->Code == ResultCode::Conflict;
                // Another entry has written the part.
                if (!Failed || (Conflict && Blamed)) {
                  Known.Blamed = Blamed;
                  return;
                }
                Restored = Restored || Conflict; // its revision is unknown
                Known.RetryAt = Timers.now() + WriteRetryDelay;
                spdlog::info("event=blame_write_failed part={:x} reason=\"{}\"",
                             Part, Failed->Message);
              });
}

void BlameStore::readAtStart() {
  if (!HasRead)
    read();
}

void BlameStore::readIfSuspecting() {
  if (!Suspects.Parts.empty())
    read();
}

void BlameStore::read() {
  TimePoint Now = Timers.now();
  bool TooSoon = LastReadAt != TimePoint{} && Now - LastReadAt < ReadPause;
  if (Reading || TooSoon)
    return;
  Reading = true;
  LastReadAt = Now;
  Store.List(BlameKind, [this, Weak = std::weak_ptr<bool>(Alive)](
                            const Outcome<std::vector<StoredObject>> &Answer) {
    if (Weak.expired())
      return;
    Reading = false;
    if (const Error *Failed = errorOf(Answer)) {
      spdlog::info("event=blame_read_failed reason=\"{}\"", Failed->Message);
      return;
    }
    HasRead = true;
    for (const StoredObject &Each : std::get<0>(Answer))
      apply(Each);
  });
}

void BlameStore::apply(const StoredObject &Object) {
  SuspectReport Report = decodeBlame(Object, Timers.now(), Timers.wallNow());
  applySuspects(Suspects, Report, Timers.now());
  std::optional<PromptPart> Part = partOf(Object.Name);
  // This entry may be the one to withdraw the blame later.
  if (Part && !Report.Crashes.empty())
    Parts.try_emplace(*Part, Written{Object.Revision, true, false, {}});
}

} // namespace samphirehill::serving
