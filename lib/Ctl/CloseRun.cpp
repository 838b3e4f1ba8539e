#include "samphirehill/Ctl/CloseRun.h"

#include "samphirehill/Ctl/Apply.h"
#include "samphirehill/Membership/SharedState.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

// What nextCloseStep needs, and what setting the mark needs beyond it.
struct CloseRead {
  ToolCloseView View;
  std::vector<SharedItem> ZoneItems;
  std::string Problem; // why Objects is empty
};

// Reads all objects; returns false when a read failed.
bool readObjects(VentureClient &Venture, CloseRead &Read) {
  std::vector<StoredObject> Objects;
  for (const char *Kind : SystemKinds) {
    Outcome<ObjectList> Listed = Venture.list(Kind);
    if (const Error *Failure = errorOf(Listed)) {
      Read.Problem = describe(*Failure);
      return false;
    }
    for (const Object &Each : std::get<0>(Listed).Items) {
      Objects.push_back({Each.Key.Kind, Each.Key.Name, Each.Version});
      if (Each.Key != ObjectKey{"zones", "state"})
        continue;
      Outcome<std::vector<SharedItem>> Items =
          capture([&] { return parseZonesObject(Each.Value); });
      // A value that can't be read is replaced by the mark.
      if (!errorOf(Items))
        Read.ZoneItems = std::get<0>(Items);
    }
  }
  Read.View.Objects = std::move(Objects);
  for (const SharedItem &Item : Read.ZoneItems)
    if (Item.Key.Kind == CloseKind)
      Read.View.MarkSet = true;
  return true;
}

// Returns false if an entry refuses the operator key: it runs, so it must not
// count as one that doesn't answer.
bool readEntries(VentureClient &Venture, const std::vector<Instance> &Listed,
                 CloseRead &Read) {
  ToolCloseView &View = Read.View;
  std::map<std::string, JsonAnswer> ByName;
  for (JsonAnswer &Answer : Venture.callEntries("GET", "/operator/status")) {
    const Error *Failure = errorOf(Answer);
    if (Failure && Failure->Code == ResultCode::Unauthenticated) {
      Read.Problem = describe(*Failure);
      return false;
    }
    if (Failure)
      continue;
    std::string Name = std::get<0>(Answer).value("entry", "");
    ByName.insert_or_assign(std::move(Name), std::move(Answer));
  }
  for (const Instance &Each : Listed) {
    if (Each.Role != InstanceRole::Entry)
      continue;
    auto Found = ByName.find(Each.Name.str());
    EntryId Entry(Each.Name.str());
    if (Found == ByName.end()) {
      View.Entries.push_back(EntryCloseReport{Entry});
      continue;
    }
    View.Entries.push_back(entryReport(Entry, Found->second));
    ByName.erase(Found);
  }
  // Entries that the instance list doesn't show yet.
  for (const auto &[Name, Answer] : ByName)
    View.Entries.push_back(entryReport(EntryId(Name), Answer));
  return true;
}

void readEngines(VentureClient &Venture, const std::vector<Instance> &Listed,
                 ToolCloseView &View) {
  std::vector<InstanceId> Names;
  std::vector<std::string> Addresses;
  for (const Instance &Each : Listed) {
    if (Each.Role != InstanceRole::Engine)
      continue;
    Names.push_back(Each.Name);
    Addresses.push_back(Each.Address);
  }
  std::vector<JsonAnswer> Answers = Venture.engineStatuses(Addresses);
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    View.Engines.push_back(engineReport(Names[Index], Answers[Index]));
}

CloseRead readAll(VentureClient &Venture) {
  CloseRead Read;
  if (!readObjects(Venture, Read) || !Read.View.MarkSet)
    return Read;
  Outcome<InstanceList> Listed = Venture.instances();
  if (const Error *Failure = errorOf(Listed)) {
    Read.View.Objects.reset();
    Read.Problem = describe(*Failure);
    return Read;
  }
  if (!readEntries(Venture, std::get<0>(Listed).Items, Read)) {
    Read.View.Objects.reset();
    return Read;
  }
  readEngines(Venture, std::get<0>(Listed).Items, Read.View);
  return Read;
}

template <typename T> std::string joinNames(const std::vector<T> &Names) {
  std::string Joined;
  for (const T &Name : Names)
    Joined += (Joined.empty() ? "" : ", ") + Name.str();
  return Joined;
}

// Names the entries waited for that don't answer: often an address is missing.
std::string silentNames(const ToolCloseStep &Step, const ToolCloseView &View) {
  if (!std::holds_alternative<WaitForEntries>(Step))
    return "";
  std::vector<EntryId> Silent;
  for (const EntryCloseReport &Each : View.Entries)
    if (!Each.Answered)
      Silent.push_back(Each.Entry);
  return Silent.empty() ? ""
                        : "; no answer at a given --entry address from " +
                              joinNames(Silent);
}

// One run of the tool.
class CloseRun {
public:
  CloseRun(VentureClient &Venture, const CloseOptions &Options, const Say &Tell)
      : Venture(Venture), Options(Options), Tell(Tell) {}

  Report run() {
    while (true) {
      CloseRead Read = readAll(Venture);
      if (Read.View.MarkSet && !MarkSeen)
        MarkSeen = Venture.now();
      Read.View.WaitingSince = MarkSeen.value_or(Venture.now());
      ToolCloseStep Step = nextCloseStep(Read.View, Venture.now());
      std::string Line = describe(Step);
      if (!Read.Problem.empty())
        Line += ": " + Read.Problem;
      Line += silentNames(Step, Read.View);
      tellOnce(Line);
      if (std::holds_alternative<CloseDone>(Step))
        return finish({}, std::nullopt);
      std::optional<Error> Failure = carryOut(Step, Read);
      if (Failure)
        tellOnce(describe(*Failure));
      if (Interrupted)
        return finish(Line, Error{ResultCode::Timeout, "interrupted"});
      bool Acted = std::holds_alternative<SetCloseMark>(Step) ||
                   std::holds_alternative<DeleteObjects>(Step);
      if (Acted && !Failure)
        continue;
      if (!Options.Wait)
        return finish(Line, Failure.value_or(
                                Error{ResultCode::Timeout,
                                      "the close is not complete (" + Line +
                                          "); run it again or with --wait"}));
      Venture.pause(Options.Period);
    }
  }

private:
  // A wait repeats its line only when it changes.
  void tellOnce(const std::string &Line) {
    if (Line != LastLine)
      Tell(Line);
    LastLine = Line;
  }

  bool goOn() {
    Interrupted = Options.GoOn && !Options.GoOn();
    return !Interrupted;
  }

  std::optional<Error> carryOut(const ToolCloseStep &Step,
                                const CloseRead &Read) {
    if (const auto *Mark = std::get_if<SetCloseMark>(&Step))
      return setMark(*Mark, Read.ZoneItems);
    if (const auto *Deletion = std::get_if<DeleteObjects>(&Step))
      return deleteAll(*Deletion);
    return std::nullopt;
  }

  std::optional<Error> setMark(const SetCloseMark &Mark,
                               std::vector<SharedItem> Items) {
    Items.push_back(SharedItem{{CloseKind, CloseName},
                               {1, Options.Operator + "/" + Venture.uniqueId()},
                               "closing"});
    Outcome<std::uint64_t> Written =
        Venture.write({"zones", "state"}, Mark.ObjectVersion,
                      zonesObjectText(Items), Venture.uniqueId());
    goOn();
    // After a conflict the next read decides again.
    const Error *Failure = errorOf(Written);
    if (Failure && Failure->Code != ResultCode::Conflict &&
        Failure->Code != ResultCode::NotFound)
      return *Failure;
    return std::nullopt;
  }

  std::optional<Error> deleteAll(const DeleteObjects &Deletion) {
    Skipped.insert(Deletion.Skipped.begin(), Deletion.Skipped.end());
    for (const StoredObject &Each : Deletion.Objects) {
      Outcome<std::uint64_t> Result =
          Venture.remove({Each.Kind, Each.Name}, Each.Version);
      const Error *Failure = errorOf(Result);
      if (!Failure)
        ++Deleted;
      if (!goOn())
        return std::nullopt;
      if (!Failure || Failure->Code == ResultCode::NotFound)
        continue;
      // zones/state goes last, so nothing more is deleted until a new read. An
      // entry may have updated the object since it was read.
      if (Failure->Code == ResultCode::Conflict)
        return std::nullopt;
      return Error{Failure->Code, "deleting " + Each.Kind + "/" + Each.Name +
                                      ": " + Failure->Message};
    }
    return std::nullopt;
  }

  Report finish(const std::string &WaitingFor, std::optional<Error> Failure) {
    Report Result;
    Result.Fields = {{"complete", !Failure},
                     {"waitingFor", WaitingFor},
                     {"deleted", Deleted},
                     {"skipped", Skipped}};
    Result.Failure = std::move(Failure);
    return Result;
  }

  VentureClient &Venture;
  const CloseOptions &Options;
  const Say &Tell;
  std::optional<TimePoint> MarkSeen;
  std::string LastLine;
  bool Interrupted = false;
  std::size_t Deleted = 0;
  std::set<std::string> Skipped;
};

} // namespace

EngineCloseReport engineReport(const InstanceId &Engine,
                               const JsonAnswer &Answer) {
  EngineCloseReport Report{Engine};
  if (errorOf(Answer))
    return Report;
  const Json &Status = std::get<0>(Answer);
  try {
    Report.Loaded = Status.at("state").get<std::string>() != "idle";
    // running and queued may be 1 s old; the ids are exact.
    Report.Requests = Status.contains("runningIds")
                          ? Status.at("runningIds").size()
                          : Status.value("running", std::size_t{0}) +
                                Status.value("queued", std::size_t{0});
    Report.Answered = true;
  } catch (const Json::exception &) {
    return EngineCloseReport{Engine};
  }
  return Report;
}

EntryCloseReport entryReport(const EntryId &Entry, const JsonAnswer &Answer) {
  EntryCloseReport Report{Entry};
  if (errorOf(Answer) || !std::get<0>(Answer).is_object())
    return Report;
  const Json &Acknowledged =
      std::get<0>(Answer).value("closeAcknowledged", Json(false));
  Report.Answered = true;
  Report.Acknowledged = Acknowledged == true;
  return Report;
}

std::string describe(const ToolCloseStep &Step) {
  if (const auto *Mark = std::get_if<SetCloseMark>(&Step))
    return Mark->ObjectVersion == 0 ? "setting the close mark in a new "
                                      "zones/state: a text was applied"
                                    : "setting the close mark";
  if (const auto *Entries = std::get_if<WaitForEntries>(&Step))
    return "waiting for entries " + joinNames(Entries->Entries);
  if (const auto *Engines = std::get_if<WaitForEngines>(&Step))
    return "waiting for engines " + joinNames(Engines->Engines);
  if (const auto *Deletion = std::get_if<DeleteObjects>(&Step)) {
    std::string Line =
        "deleting " + std::to_string(Deletion->Objects.size()) + " objects";
    for (const std::string &Name : Deletion->Skipped)
      Line += "; " + Name + " did not answer and is skipped";
    return Line;
  }
  if (std::holds_alternative<CloseDone>(Step))
    return "closed: no object is left";
  return "not everything could be read";
}

Report closeVenture(VentureClient &Venture, const CloseOptions &Options,
                    const Say &Tell) {
  return CloseRun(Venture, Options, Tell).run();
}

} // namespace samphirehill
