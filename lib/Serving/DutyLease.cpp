#include "samphirehill/Serving/DutyLease.h"

#include "samphirehill/Core/JsonParts.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace samphirehill::serving {
namespace {

constexpr const char *ObjectName = "groups";
// Upper bound of terms and renewals that are accepted. Epochs are multiples of
// terms and must not overflow.
constexpr std::int64_t HighestCount = 1'000'000'000;

// Records the object as read or written.
void observe(DutyLease &Lease, const StoredObject &Object, TimePoint Now) {
  if (Lease.Known && Object.Revision < Lease.Revision)
    return; // a newer answer has arrived before this one
  if (!Lease.Known || Object.Revision != Lease.Revision)
    Lease.UnchangedSince = Now;
  Lease.Known = true;
  Lease.Revision = Object.Revision;
  // An unreadable value counts as a released duty in the last known term.
  Lease.Record =
      decodeDuty(Object.Value).value_or(DutyRecord{{}, Lease.Record.Term, 0});
}

DutyStep makeWrite(DutyLease &Lease, const DutyRecord &Record) {
  return {DutyCall::Write,
          StoredObject{ObjectName, Lease.Revision, encodeDuty(Record)}};
}

DutyStep beginCall(DutyLease &Lease, DutyStep Step, TimePoint Now) {
  Lease.CallRunning = true;
  Lease.LastCallAt = Now;
  return Step;
}

} // namespace

std::string encodeDuty(const DutyRecord &Record) {
  return nlohmann::json{{"owner", Record.Owner},
                        {"term", Record.Term},
                        {"renewal", Record.Renewal}}
      .dump();
}

std::optional<DutyRecord> decodeDuty(const std::string &Value) {
  nlohmann::json Read = parseJson(Value);
  if (!Read.is_object() || !Read.contains("owner") ||
      !Read["owner"].is_string() || !Read.contains("term") ||
      !Read["term"].is_number_integer() || !Read.contains("renewal") ||
      !Read["renewal"].is_number_integer())
    return std::nullopt;
  auto IsValidCount = [&Read](const char *Name) {
    auto Value = Read[Name].get<std::int64_t>();
    return Value >= 0 && Value <= HighestCount;
  };
  if (!IsValidCount("term") || !IsValidCount("renewal"))
    return std::nullopt;
  return DutyRecord{Read["owner"].get<std::string>(),
                    Read["term"].get<std::int64_t>(),
                    Read["renewal"].get<std::int64_t>()};
}

bool holdsDuty(const DutyLease &Lease, TimePoint Now) {
  return Lease.Known && Lease.Record.Owner == Lease.Self &&
         Now < Lease.HeldUntil;
}

DutyStep nextDutyStep(DutyLease &Lease, TimePoint Now) {
  if (Lease.CallRunning)
    return {};
  const DutySettings &Settings = Lease.Settings;
  if (holdsDuty(Lease, Now)) {
    if (Now - Lease.LastCallAt < Settings.RenewEvery)
      return {};
    DutyRecord Renewed = Lease.Record;
    ++Renewed.Renewal;
    return beginCall(Lease, makeWrite(Lease, Renewed), Now);
  }
  bool Silent = Now - Lease.LastHolderReportAt >= Settings.HolderSilence;
  if (!Lease.Known) {
    if (Now - Lease.LastCallAt < Settings.ReadEvery &&
        Lease.LastCallAt != TimePoint{})
      return {};
    return beginCall(Lease, {DutyCall::Read, {}}, Now);
  }
  bool Free = Lease.Record.Owner.empty() ||
              Now - Lease.UnchangedSince >= Settings.Length;
  bool Mine = Lease.Record.Owner == Lease.Self;
  if (Silent && (Free || Mine) && Now - Lease.LastCallAt >= milliseconds(100)) {
    DutyRecord Taken{Lease.Self, Lease.Record.Term + 1, 0};
    return beginCall(Lease, makeWrite(Lease, Taken), Now);
  }
  if (Silent && Now - Lease.LastCallAt >= Settings.ReadEvery)
    return beginCall(Lease, {DutyCall::Read, {}}, Now);
  return {};
}

void handleDutyRead(DutyLease &Lease,
                    const Outcome<std::optional<StoredObject>> &Answer,
                    TimePoint Now) {
  Lease.CallRunning = false;
  if (errorOf(Answer))
    return;
  const std::optional<StoredObject> &Found = std::get<0>(Answer);
  if (Found) {
    observe(Lease, *Found, Now);
    return;
  }
  Lease.Known = true;
  Lease.Revision = 0;
  Lease.Record.Owner.clear();
  Lease.UnchangedSince = Now;
}

void handleDutyWrite(DutyLease &Lease, const Outcome<StoredObject> &Answer,
                     TimePoint BegunAt, TimePoint Now) {
  Lease.CallRunning = false;
  if (const Error *Failed = errorOf(Answer)) {
    // After a conflict, or if the write may still take effect, the object has
    // to be read again.
    if (Failed->Code == ResultCode::Conflict ||
        Failed->Code == ResultCode::UnknownWriteOutcome)
      Lease.Known = false;
    return;
  }
  observe(Lease, std::get<0>(Answer), Now);
  if (Lease.Record.Owner == Lease.Self)
    Lease.HeldUntil = BegunAt + Lease.Settings.Length - Lease.Settings.Margin;
}

void noteHolderReport(DutyLease &Lease, std::int64_t Term, std::int64_t Renewal,
                      TimePoint Now) {
  if (Term < Lease.Record.Term)
    return;
  Lease.LastHolderReportAt = Now;
  if (Term == Lease.Record.Term && Renewal <= Lease.Record.Renewal)
    return;
  // The object has changed since it was last read. Its revision isn't known
  // until the next read.
  Lease.UnchangedSince = Now;
}

std::optional<StoredObject> releaseDuty(DutyLease &Lease, TimePoint Now) {
  if (!holdsDuty(Lease, Now))
    return std::nullopt;
  Lease.HeldUntil = TimePoint{};
  DutyRecord Free = Lease.Record;
  Free.Owner.clear();
  return StoredObject{ObjectName, Lease.Revision, encodeDuty(Free)};
}

} // namespace samphirehill::serving
