#include "samphirehill/Serving/CrashStore.h"

#include "samphirehill/Core/JsonParts.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {
namespace {

constexpr const char *CrashKind = "crashes";
constexpr Duration ReadRetryDelay = milliseconds(500);
constexpr Duration WriteRetryDelay = milliseconds(500);
// The first entry writes a request for the entry that saw its last break-off
// after this.
constexpr Duration OwnerWriteTime = seconds(1);
// A newly started entry may not know yet which requests the others refuse.
constexpr Duration RemovalDelay = seconds(3);
// Break-offs written to, and read from, one object.
constexpr std::size_t MaxStoredBreakOffs = 16;

std::string nameOf(std::uint64_t Hash) { return fmt::format("{:x}", Hash); }

std::optional<std::uint64_t> hashOf(const std::string &Name) {
  std::uint64_t Hash = 0;
  auto [End, Failed] =
      std::from_chars(Name.data(), Name.data() + Name.size(), Hash, 16);
  if (Failed != std::errc() || End != Name.data() + Name.size())
    return std::nullopt;
  return Hash;
}

bool isBreakOff(const nlohmann::json &Value) {
  return Value.is_object() && Value.contains("upstream") &&
         Value["upstream"].is_string() && Value.contains("at_ms") &&
         Value["at_ms"].is_number_integer() && Value.contains("resent") &&
         Value["resent"].is_boolean();
}

// Returns the break-offs of Request, the latest first.
std::vector<BreakOff> breakOffsOf(const CrashRecord &Record,
                                  std::uint64_t Request) {
  std::vector<BreakOff> Found;
  auto Known = Record.BreakOffs.find(Request);
  if (Known == Record.BreakOffs.end())
    return Found;
  for (const auto &[Upstream, Seen] : Known->second)
    Found.push_back({Request, Upstream, Seen.At, Seen.Resent});
  std::sort(Found.begin(), Found.end(), [](const auto &A, const auto &B) {
    return std::pair(A.SeenAt, A.Upstream) > std::pair(B.SeenAt, B.Upstream);
  });
  return Found;
}

} // namespace

std::string encodeBreakOffs(const CrashRecord &Record, std::uint64_t Request,
                            TimePoint Now, WallTime WallNow) {
  nlohmann::json Stored = nlohmann::json::array();
  for (const BreakOff &Each : breakOffsOf(Record, Request)) {
    if (Stored.size() == MaxStoredBreakOffs)
      break;
    Stored.push_back({{"upstream", nameOf(Each.Upstream)},
                      {"at_ms", toWallMilliseconds(Each.SeenAt, Now, WallNow)},
                      {"resent", Each.Resent}});
  }
  return nlohmann::json{{"break_offs", std::move(Stored)}}.dump();
}

std::vector<BreakOff> decodeBreakOffs(const StoredObject &Object, TimePoint Now,
                                      WallTime WallNow) {
  std::vector<BreakOff> Found;
  std::optional<std::uint64_t> Request = hashOf(Object.Name);
  nlohmann::json Value = parseJson(Object.Value);
  if (!Request || !Value.is_object() || !Value.contains("break_offs") ||
      !Value["break_offs"].is_array())
    return Found;
  constexpr Duration MaxAge = std::chrono::hours(24);
  for (const nlohmann::json &Each : Value["break_offs"]) {
    if (!isBreakOff(Each) || Found.size() >= MaxStoredBreakOffs)
      continue;
    std::optional<std::uint64_t> Upstream =
        hashOf(Each["upstream"].get<std::string>());
    if (Upstream)
      Found.push_back({*Request, *Upstream,
                       fromWallMilliseconds(Each["at_ms"].get<std::int64_t>(),
                                            MaxAge, Now, WallNow),
                       Each["resent"].get<bool>()});
  }
  return Found;
}

void CrashStore::readAtStart() {
  if (Read || Reading || Timers.now() < ReadAgainAt)
    return;
  Reading = true;
  Store.List(CrashKind, [this, Weak = std::weak_ptr<bool>(Alive)](
                            const Outcome<std::vector<StoredObject>> &Answer) {
    if (Weak.expired())
      return;
    Reading = false;
    if (const Error *Failed = errorOf(Answer)) {
      ReadAgainAt = Timers.now() + ReadRetryDelay;
      return noteFailed("list", *Failed);
    }
    Read = true;
    applyList(std::get<0>(Answer));
  });
}

void CrashStore::applyList(const std::vector<StoredObject> &Listed) {
  TimePoint Now = Timers.now();
  std::size_t Refused = 0;
  for (const StoredObject &Each : Listed) {
    std::vector<BreakOff> Found = decodeBreakOffs(Each, Now, Timers.wallNow());
    if (Found.empty())
      continue;
    for (const BreakOff &Seen : Found) {
      if (Now - Seen.SeenAt < Record.Retention)
        noteBreakOff(Record, Seen);
    }
    std::uint64_t Request = Found.front().Request;
    if (mayRun(Record, Request, Now)) {
      removeSoon(RemovalDelay);
      continue;
    }
    ++Refused;
    Requests[Request] = {Now, Each.Revision, Found.size()};
  }
  if (!Listed.empty())
    spdlog::info("event=crash_records_read objects={} refused={}",
                 Listed.size(), Refused);
}

void CrashStore::noteOwnBreakOff(std::uint64_t Request) {
  keepRefused();
  auto Found = Requests.find(Request);
  if (Found == Requests.end())
    return;
  Found->second.Own = true;
  if (isDue(Found->second, Request, false))
    write(Request);
}

void CrashStore::keepRefused() {
  TimePoint Now = Timers.now();
  for (std::uint64_t Request : resentAndRefused(Record, Now)) {
    if (Requests.size() >= Record.MaxReported)
      break;
    Requests.try_emplace(Request, Kept{Now});
  }
}

bool CrashStore::isDue(const Kept &Each, std::uint64_t Request,
                       bool IsFirst) const {
  TimePoint Now = Timers.now();
  if (Each.Running || Now < Each.RetryAt ||
      Each.Stored >= Record.BreakOffs.at(Request).size())
    return false;
  return Each.Own || (IsFirst && Now - Each.RefusedSince >= OwnerWriteTime);
}

void CrashStore::update(bool IsFirst) {
  TimePoint Now = Timers.now();
  std::size_t Ended = std::erase_if(Requests, [&](const auto &Each) {
    return mayRun(Record, Each.first, Now) && !Each.second.Running;
  });
  if (Ended > 0)
    removeSoon(Duration::zero());
  keepRefused();
  for (const auto &[Request, Known] : Requests) {
    if (mayRun(Record, Request, Now) || !isDue(Known, Request, IsFirst))
      continue;
    if (Known.Own || Known.Checked)
      write(Request);
    else
      check(Request);
  }
  Metrics.set("crash_records", static_cast<double>(Requests.size()));
  if (!RemoveAt || Now < *RemoveAt || Removing)
    return;
  if (IsFirst)
    removeExpired();
  else if (Now - *RemoveAt > RemovalDelay)
    RemoveAt.reset(); // the first entry has removed them
}

void CrashStore::removeSoon(Duration Delay) {
  if (!RemoveAt)
    RemoveAt = Timers.now() + Delay;
}

void CrashStore::noteStoreRestored() {
  for (auto &[Request, Known] : Requests) {
    Known.Revision = 0;
    Known.Stored = 0;
  }
  removeSoon(RemovalDelay);
}

void CrashStore::write(std::uint64_t Request) {
  Kept &Known = Requests.at(Request);
  Known.Running = true;
  std::size_t Count = Record.BreakOffs.at(Request).size();
  StoredObject Object{
      nameOf(Request), Known.Revision,
      encodeBreakOffs(Record, Request, Timers.now(), Timers.wallNow())};
  Store.Write(
      CrashKind, Object,
      [this, Request, Count,
       Weak = std::weak_ptr<bool>(Alive)](const Outcome<StoredObject> &Done) {
        if (Weak.expired())
          return;
        Kept &Known = Requests.at(Request);
        Known.Running = false;
        const Error *Failed = errorOf(Done);
        if (!Failed) {
          Known.Revision = std::get<0>(Done).Revision;
          Known.Stored = Count;
          Metrics.count("crash_record_calls", "call", "written");
          spdlog::info("event=crash_record_written request={:x} break_offs={}",
                       Request, Count);
          return;
        }
        if (Failed->Code == ResultCode::Conflict)
          return check(Request);
        if (Failed->Code == ResultCode::NotFound)
          Known.Revision = 0; // it was removed, so it has to be created
        Known.RetryAt = Timers.now() + WriteRetryDelay;
        noteFailed("write", *Failed);
      });
}

void CrashStore::check(std::uint64_t Request) {
  Requests.at(Request).Running = true;
  Store.Read(CrashKind, nameOf(Request),
             [this, Request, Weak = std::weak_ptr<bool>(Alive)](
                 const Outcome<std::optional<StoredObject>> &Answer) {
               if (Weak.expired())
                 return;
               Kept &Known = Requests.at(Request);
               Known.Running = false;
               if (const Error *Failed = errorOf(Answer)) {
                 Known.RetryAt = Timers.now() + WriteRetryDelay;
                 return noteFailed("read", *Failed);
               }
               const std::optional<StoredObject> &Object = std::get<0>(Answer);
               Known.Checked = true;
               Known.Revision = Object ? Object->Revision : 0;
               Known.Stored = 0;
               if (!Object)
                 return;
               std::vector<BreakOff> Found =
                   decodeBreakOffs(*Object, Timers.now(), Timers.wallNow());
               for (const BreakOff &Each : Found)
                 noteBreakOff(Record, Each);
               Known.Stored = Found.size();
             });
}

void CrashStore::removeExpired() {
  Removing = true;
  Store.List(CrashKind, [this, Weak = std::weak_ptr<bool>(Alive)](
                            const Outcome<std::vector<StoredObject>> &Answer) {
    if (Weak.expired())
      return;
    Removing = false;
    if (const Error *Failed = errorOf(Answer)) {
      RemoveAt = Timers.now() + WriteRetryDelay;
      return noteFailed("list", *Failed);
    }
    RemoveAt.reset();
    for (const StoredObject &Each : std::get<0>(Answer))
      removeIfExpired(Each);
  });
}

void CrashStore::removeIfExpired(const StoredObject &Object) {
  TimePoint Now = Timers.now();
  std::vector<BreakOff> Found = decodeBreakOffs(Object, Now, Timers.wallNow());
  // An object of another form may be of a later version of this program.
  if (Found.empty() || !mayRun(Record, Found.front().Request, Now))
    return;
  bool Expired = std::all_of(Found.begin(), Found.end(), [&](const auto &Each) {
    return Now - Each.SeenAt >= Record.Retention;
  });
  if (!Expired) // by this entry's wall clock
    return removeSoon(RemovalDelay);
  Store.Remove(CrashKind, Object,
               [this, Name = Object.Name, Weak = std::weak_ptr<bool>(Alive)](
                   const std::optional<Error> &Failed) {
                 if (Weak.expired())
                   return;
                 bool IsGone = !Failed || Failed->Code == ResultCode::NotFound;
                 if (IsGone) {
                   Metrics.count("crash_record_calls", "call", "removed");
                   spdlog::info("event=crash_record_removed request={}", Name);
                   return;
                 }
                 removeSoon(RemovalDelay);
                 noteFailed("remove", *Failed);
               });
}

void CrashStore::noteFailed(const char *Call, const Error &Failed) {
  Metrics.count("crash_record_calls", "call", "failed");
  spdlog::info("event=crash_record_call_failed call={} reason=\"{}\"", Call,
               Failed.Message);
}

} // namespace samphirehill::serving
