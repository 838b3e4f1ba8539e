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
// More than the terms that can be lost when the store is restored.
constexpr std::int64_t TermsPerEra = 1'000;
// A duty is taken only if its object was read so recently: the revision of an
// earlier read may have been given out again since.
constexpr Duration MaxReadAge = milliseconds(500);
// Minimum time between two calls.
constexpr Duration CallPause = milliseconds(100);

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
      decodeDuty(Object.Value)
          .value_or(DutyRecord{{}, Lease.Record.Term, 0, Lease.Record.Era});
  Lease.HighestTerm = std::max(Lease.HighestTerm, Lease.Record.Term);
}

DutyStep makeWrite(DutyLease &Lease, const DutyRecord &Record) {
  Lease.ReadAt.reset();
  return {DutyCall::Write,
          StoredObject{ObjectName, Lease.Revision, encodeDuty(Record)}};
}

// Returns the record by which this entry takes the duty. Its term is higher
// than all terms that were given before, also those whose records are lost.
DutyRecord takeoverOf(const DutyLease &Lease) {
  std::int64_t Lost =
      std::max<std::int64_t>(Lease.Era - Lease.Record.Era, 0) * TermsPerEra;
  std::int64_t Before = std::max(Lease.Record.Term + Lost, Lease.HighestTerm);
  return {Lease.Self, Before + 1, 0, Lease.Era};
}

DutyStep beginCall(DutyLease &Lease, DutyStep Step, TimePoint Now) {
  Lease.CallRunning = true;
  Lease.LastCallAt = Now;
  Lease.CallEra = Lease.Era;
  return Step;
}

} // namespace

std::string encodeDuty(const DutyRecord &Record) {
  return nlohmann::json{{"owner", Record.Owner},
                        {"term", Record.Term},
                        {"renewal", Record.Renewal},
                        {"era", Record.Era}}
      .dump();
}

std::optional<DutyRecord> decodeDuty(const std::string &Value) {
  nlohmann::json Read = parseJson(Value);
  if (!Read.is_object() || !Read.contains("owner") ||
      !Read["owner"].is_string() || !Read.contains("term") ||
      !Read["term"].is_number_integer() || !Read.contains("renewal") ||
      !Read["renewal"].is_number_integer())
    return std::nullopt;
  if (!Read.contains("era")) // an earlier release
    Read["era"] = 0;
  auto IsValidCount = [&Read](const char *Name) {
    if (!Read[Name].is_number_integer())
      return false;
    auto Value = Read[Name].get<std::int64_t>();
    return Value >= 0 && Value <= HighestCount;
  };
  if (!IsValidCount("term") || !IsValidCount("renewal") || !IsValidCount("era"))
    return std::nullopt;
  return DutyRecord{
      Read["owner"].get<std::string>(), Read["term"].get<std::int64_t>(),
      Read["renewal"].get<std::int64_t>(), Read["era"].get<std::int64_t>()};
}

bool holdsDuty(const DutyLease &Lease, TimePoint Now) {
  return Lease.Known && Lease.Record.Owner == Lease.Self &&
         Now < Lease.HeldUntil;
}

void noteStoreEra(DutyLease &Lease, std::int64_t Era, TimePoint Now) {
  if (Era <= Lease.Era)
    return;
  bool IsFirst = Lease.Era == 0;
  // No other entry takes the duty before this. Where the outcome of the last
  // renewal isn't known, the one before it counts.
  bool Held = Lease.HeldUntil != TimePoint{} &&
              Lease.Record.Owner == Lease.Self &&
              Now < Lease.HeldUntil + Lease.Settings.Margin;
  Lease.Era = Era;
  // The store may have been restored just before this entry started.
  if (!IsFirst || !Lease.Settings.FirstStart)
    Lease.DoubtUntil = Now + Lease.Settings.Length;
  if (IsFirst)
    return;
  Lease.RetakeEra = Held ? Era : 0;
  Lease.HeldUntil = TimePoint{};
  Lease.Known = false;
  Lease.Revision = 0;
}

DutyStep nextDutyStep(DutyLease &Lease, TimePoint Now) {
  if (Lease.CallRunning)
    return {};
  const DutySettings &Settings = Lease.Settings;
  Duration SinceCall = Now - Lease.LastCallAt;
  if (holdsDuty(Lease, Now)) {
    if (SinceCall < Settings.RenewEvery)
      return {};
    DutyRecord Renewed = Lease.Record;
    ++Renewed.Renewal;
    return beginCall(Lease, makeWrite(Lease, Renewed), Now);
  }
  bool Silent = Now - Lease.LastHolderReportAt >= Settings.HolderSilence;
  bool MayRetake = Lease.Era != 0 && Lease.RetakeEra == Lease.Era;
  if (!Lease.Known) {
    bool TooSoon = SinceCall < (MayRetake ? CallPause : Settings.ReadEvery);
    if (TooSoon && Lease.LastCallAt != TimePoint{})
      return {};
    return beginCall(Lease, {DutyCall::Read, {}}, Now);
  }
  bool Free = Lease.Record.Owner.empty() ||
              Now - Lease.UnchangedSince >= Settings.Length;
  bool Mine = Lease.Record.Owner == Lease.Self;
  bool MayTake = Now >= Lease.DoubtUntil && Silent && (Free || Mine);
  if (MayTake || (MayRetake && Lease.Record.Era < Lease.Era)) {
    if (Lease.ReadAt && Now - *Lease.ReadAt <= MaxReadAge)
      return beginCall(Lease, makeWrite(Lease, takeoverOf(Lease)), Now);
    if (SinceCall < CallPause)
      return {};
    return beginCall(Lease, {DutyCall::Read, {}}, Now);
  }
  if (Silent && SinceCall >= Settings.ReadEvery)
    return beginCall(Lease, {DutyCall::Read, {}}, Now);
  return {};
}

void handleDutyRead(DutyLease &Lease,
                    const Outcome<std::optional<StoredObject>> &Answer,
                    TimePoint Now) {
  Lease.CallRunning = false;
  if (errorOf(Answer))
    return;
  Lease.ReadAt = Now;
  const std::optional<StoredObject> &Found = std::get<0>(Answer);
  if (Found) {
    observe(Lease, *Found, Now);
    return;
  }
  Lease.Known = true;
  Lease.Revision = 0;
  Lease.Record = {};
  Lease.UnchangedSince = Now;
}

void handleDutyWrite(DutyLease &Lease, const Outcome<StoredObject> &Answer,
                     TimePoint BegunAt, TimePoint Now) {
  Lease.CallRunning = false;
  if (Lease.CallEra != Lease.Era) {
    // The write may have replaced a record of the present era.
    Lease.Known = false;
    return;
  }
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
  if (Term <= HighestCount)
    Lease.HighestTerm = std::max(Lease.HighestTerm, Term);
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
