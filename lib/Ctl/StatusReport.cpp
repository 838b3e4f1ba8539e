#include "samphirehill/Ctl/StatusReport.h"

#include "samphirehill/Ctl/InForce.h"

#include <algorithm>
#include <map>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;
using Row = std::vector<std::string>;

std::string text(const Json &Of, const char *Name) {
  if (!Of.contains(Name))
    return "-";
  const Json &Value = Of[Name];
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string versionsText(const Json &Status) {
  std::string Line;
  if (!Status.contains("inForce"))
    return "-";
  for (const auto &[Operator, Version] : Status["inForce"].items())
    Line += (Line.empty() ? "" : " ") + Operator + ":" + Version.dump();
  return Line.empty() ? "none" : Line;
}

void addTable(std::vector<std::string> &Lines, const std::vector<Row> &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const Row &Each : Rows)
    for (std::size_t Column = 0; Column < Each.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Each[Column].size());
  for (const Row &Each : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Each.size(); ++Column) {
      Line += Each[Column];
      if (Column + 1 < Each.size())
        Line.append(Widths[Column] - Each[Column].size() + 2, ' ');
    }
    Lines.push_back(std::move(Line));
  }
}

void mergeTexts(Json &Merged, const Json &Status) {
  const Json Texts = Status.value("inForce", Json::object());
  for (const auto &[Operator, Version] : Texts.items()) {
    Json &Best = Merged["inForce"][Operator];
    if (!Best.is_object())
      Best = {{"version", Version}, {"behind", Json::array()}};
    else if (Version > Best["version"])
      Best["version"] = Version;
  }
}

void noteBehind(Json &Merged, const Json &Status) {
  for (auto &[Operator, Best] : Merged["inForce"].items())
    if (Status.value("inForce", Json::object()).value(Operator, Json(0)) <
        Best["version"])
      Best["behind"].push_back(Status.value("entry", "?"));
}

void mergeZones(Json &Merged, std::map<std::string, SharedVersion> &Stamps,
                const Json &Status) {
  const Json Zones = Status.value("zones", Json::object());
  for (const auto &[Zone, State] : Zones.items()) {
    SharedVersion Stamp = versionIn(Status, {ZoneKind, Zone});
    auto Found = Stamps.find(Zone);
    if (Found != Stamps.end() && Found->second >= Stamp)
      continue;
    Stamps[Zone] = Stamp;
    Merged["zones"][Zone] = State;
  }
}

void mergeUpstreams(Json &Merged, const Json &Status) {
  for (const Json &Each : Status.value("upstreams", Json::array())) {
    std::string Name = Each.value("name", "");
    bool Near = Each.value("zone", "") == Status.value("zone", "?");
    if (!Name.empty() && (Near || !Merged["upstreams"].contains(Name)))
      Merged["upstreams"][Name] = Each;
  }
}

} // namespace

Json mergeStatuses(const std::vector<std::string> &Addresses,
                   const std::vector<JsonAnswer> &Answers) {
  Json Merged = {{"entries", Json::array()},
                 {"inForce", Json::object()},
                 {"zones", Json::object()},
                 {"upstreams", Json::object()},
                 {"closing", false}};
  std::map<std::string, SharedVersion> Stamps;
  for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
    Json Entry = {{"address", Addresses[Index]}};
    if (const Error *Failure = errorOf(Answers[Index])) {
      Entry["error"] = describe(*Failure);
    } else {
      const Json &Status = std::get<0>(Answers[Index]);
      Entry["status"] = Status;
      mergeTexts(Merged, Status);
      mergeZones(Merged, Stamps, Status);
      mergeUpstreams(Merged, Status);
      if (Status.value("closing", false))
        Merged["closing"] = true;
    }
    Merged["entries"].push_back(std::move(Entry));
  }
  for (const Json &Entry : Merged["entries"])
    if (Entry.contains("status"))
      noteBehind(Merged, Entry["status"]);
  return Merged;
}

std::vector<std::string> statusTable(const Json &Merged) {
  std::vector<std::string> Lines;
  std::vector<Row> Rows = {{"ENTRY", "ZONE", "ADDRESS", "JOINED", "PLATFORM",
                            "CONTROLS", "IN FORCE", "REQUESTS", "CLOSE"}};
  std::vector<std::string> Silent;
  for (const Json &Entry : Merged["entries"]) {
    if (!Entry.contains("status")) {
      Silent.push_back(text(Entry, "error"));
      continue;
    }
    const Json &Status = Entry["status"];
    std::string Close = "-";
    if (Status.value("closing", false))
      Close = Status.value("closeAcknowledged", false) ? "done" : "closing";
    Rows.push_back({text(Status, "entry"), text(Status, "zone"),
                    text(Entry, "address"), text(Status, "joined"),
                    text(Status, "platformReachable"), text(Status, "controls"),
                    versionsText(Status), text(Status, "requestsInProgress"),
                    Close});
  }
  addTable(Lines, Rows);
  for (const std::string &Each : Silent)
    Lines.push_back("no status: " + Each);
  for (const auto &[Operator, Best] : Merged["inForce"].items())
    for (const Json &Name : Best["behind"])
      Lines.push_back("behind: " + Name.get<std::string>() + " lacks version " +
                      Best["version"].dump() + " of " + Operator);
  if (!Merged["zones"].empty()) {
    Rows = {{"ZONE", "STATE"}};
    for (const auto &[Zone, State] : Merged["zones"].items())
      Rows.push_back({Zone, State.get<std::string>()});
    Lines.emplace_back();
    addTable(Lines, Rows);
  }
  if (!Merged["upstreams"].empty()) {
    Rows = {{"UPSTREAM", "SERVICE", "ZONE", "SERVING", "COLD", "RUNNING"}};
    for (const auto &[Name, Each] : Merged["upstreams"].items())
      Rows.push_back({Name, text(Each, "service"), text(Each, "zone"),
                      text(Each, "serving"), text(Each, "cold"),
                      text(Each, "running")});
    Lines.emplace_back();
    addTable(Lines, Rows);
  }
  return Lines;
}

Report reportStatus(VentureClient &Venture, const Say &Tell) {
  std::vector<JsonAnswer> Answers =
      Venture.callEntries("GET", "/operator/status");
  Report Result;
  for (const JsonAnswer &Answer : Answers)
    if (errorOf(Answer) && !Result.Failure)
      Result.Failure = *errorOf(Answer);
  Result.Fields = mergeStatuses(Venture.options().Entries, Answers);
  for (const std::string &Line : statusTable(Result.Fields))
    Tell(Line);
  return Result;
}

} // namespace samphirehill
