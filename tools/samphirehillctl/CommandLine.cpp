#include "CommandLine.h"

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Ctl/Apply.h"
#include "samphirehill/Ctl/CloseRun.h"
#include "samphirehill/Ctl/StatusReport.h"
#include "samphirehill/Ctl/Timeline.h"
#include "samphirehill/Ctl/Zones.h"

#include <asio/io_context.hpp>
#include <charconv>

namespace samphirehill {
namespace {

using Parsed = cxxopts::ParseResult;
using Arguments = std::vector<std::string>;

constexpr std::int64_t MaxWaitMs = 600'000;

void addJson(cxxopts::Options &Options) {
  Options.add_options()("json", "Print one JSON object instead of lines");
}

void addPlatform(cxxopts::Options &Options) {
  Options.add_options()("platform", "Address of the platform",
                        cxxopts::value<std::string>(), "IP:PORT");
}

void addEntries(cxxopts::Options &Options) {
  Options.add_options()(
      "entry", "Address of an entry's operator interface; may be repeated",
      cxxopts::value<std::vector<std::string>>(),
      "IP:PORT")("operator-key-file", "File that holds the operator key",
                 cxxopts::value<std::string>(), "FILE");
}

void addWait(cxxopts::Options &Options) {
  Options.add_options()(
      "wait", "How long to wait until the change is in force, like 6s or 500ms",
      cxxopts::value<std::string>()->default_value("6s"), "TIME");
}

void addOperator(cxxopts::Options &Options) {
  Options.add_options()(
      "operator", "Name of the operator that makes the change",
      cxxopts::value<std::string>()->default_value("operator"), "NAME");
}

std::string address(const std::string &Option, const std::string &Text) {
  Outcome<SocketAddress> Value =
      capture([&] { return parseSocketAddress(Text); });
  if (const Error *Failure = errorOf(Value))
    throw UsageError("--" + Option + ": " + Failure->Message);
  return std::get<0>(Value).str();
}

Duration waitOf(const Parsed &Options) {
  std::string Text = Options["wait"].as<std::string>();
  std::int64_t Number = 0;
  auto [End, Failed] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  std::string Unit = Text.substr(End - Text.data());
  std::int64_t Factor = Unit == "s" ? 1000 : 1;
  if (Failed != std::errc() || (Unit != "s" && Unit != "ms") || Number < 0 ||
      Number > MaxWaitMs / Factor)
    throw UsageError("--wait " + Text + ": must be a time from 0ms to 600s");
  return milliseconds(Number * Factor);
}

Secret readKey(const std::string &Path) {
  Outcome<std::string> Content = capture([&] { return readTextFile(Path); });
  if (errorOf(Content))
    throw UsageError("--operator-key-file: can't read " + Path);
  std::string Key = std::get<0>(Content);
  while (!Key.empty() && (Key.back() == '\n' || Key.back() == '\r'))
    Key.pop_back();
  if (Key.empty() || Key.find_first_of("\r\n") != std::string::npos)
    throw UsageError("--operator-key-file: " + Path +
                     " must hold the key on one line");
  return Secret(std::move(Key));
}

VentureOptions ventureOptions(const Parsed &Options) {
  VentureOptions Venture;
  if (Options.count("platform"))
    Venture.Platform =
        address("platform", Options["platform"].as<std::string>());
  if (Options.count("entry"))
    for (const std::string &Each :
         Options["entry"].as<std::vector<std::string>>())
      Venture.Entries.push_back(address("entry", Each));
  if (Options.count("operator-key-file"))
    Venture.OperatorKey =
        readKey(Options["operator-key-file"].as<std::string>());
  else if (!Venture.Entries.empty())
    throw UsageError("--entry needs --operator-key-file");
  return Venture;
}

// The options and the context of a command that calls out.
struct Session {
  explicit Session(const Parsed &Options)
      : Venture(Context, ventureOptions(Options)) {}

  void needPlatform() const {
    if (Venture.options().Platform.empty())
      throw UsageError("--platform is missing");
  }
  void needEntries() const {
    if (Venture.options().Entries.empty())
      throw UsageError("--entry is missing");
  }

  asio::io_context Context;
  VentureClient Venture;
};

void needNoArguments(const Arguments &Given) {
  if (!Given.empty())
    throw UsageError("\"" + Given.front() + "\" is one argument too many");
}

const std::string &oneFile(const Arguments &Given) {
  if (Given.size() != 1)
    throw UsageError("exactly one FILE must be given");
  return Given.front();
}

Report runValidate(const Parsed &, const Arguments &Given, const Say &Tell) {
  if (Given.empty())
    throw UsageError("a FILE is missing");
  return validateTexts(Given, Tell);
}

Report runDiff(const Parsed &Options, const Arguments &Given, const Say &Tell) {
  Session Own(Options);
  Own.needPlatform();
  Outcome<OperatorsText> Text = loadText(oneFile(Given));
  if (const Error *Failure = errorOf(Text))
    return Report{{}, *Failure};
  return diffText(Own.Venture, std::get<0>(Text), Tell);
}

Report runApply(const Parsed &Options, const Arguments &Given,
                const Say &Tell) {
  Session Own(Options);
  Own.needPlatform();
  ApplyOptions How;
  How.Wait = waitOf(Options);
  if (Options.count("expect-version"))
    How.ExpectedVersion = Options["expect-version"].as<std::uint64_t>();
  Outcome<OperatorsText> Text = loadText(oneFile(Given));
  if (const Error *Failure = errorOf(Text))
    return Report{{{"accepted", false}}, *Failure};
  return applyText(Own.Venture, std::get<0>(Text), How, Tell);
}

Report runStatus(const Parsed &Options, const Arguments &Given,
                 const Say &Tell) {
  needNoArguments(Given);
  Session Own(Options);
  Own.needEntries();
  return reportStatus(Own.Venture, Tell);
}

Report runZone(const Parsed &Options, const Arguments &Given, const Say &Tell) {
  Session Own(Options);
  if (Given.size() < 2 || (Given.front() != "out" && Given.front() != "in"))
    throw UsageError("give \"out\" or \"in\" and at least one ZONE");
  if (Own.Venture.options().Platform.empty())
    Own.needEntries();
  ZoneChange Change;
  Change.State = Given.front();
  Change.Operator = Options["operator"].as<std::string>();
  Change.Wait = waitOf(Options);
  for (std::size_t Index = 1; Index < Given.size(); ++Index)
    Change.Zones.emplace_back(Given[Index]);
  return changeZones(Own.Venture, Change, Tell);
}

Report runClose(const Parsed &Options, const Arguments &Given,
                const Say &Tell) {
  needNoArguments(Given);
  Session Own(Options);
  Own.needPlatform();
  CloseOptions How;
  How.Operator = Options["operator"].as<std::string>();
  How.Wait = Options.count("wait") > 0;
  return closeVenture(Own.Venture, How, Tell);
}

Report runTimeline(const Parsed &Options, const Arguments &Given,
                   const Say &Tell) {
  needNoArguments(Given);
  std::string Format = Options["format"].as<std::string>();
  if (Format != "text" && Format != "trace")
    throw UsageError("--format " + Format + ": must be text or trace");
  Session Own(Options);
  Own.needEntries();
  return reportTimeline(
      Own.Venture,
      Format == "text" ? TimelineFormat::Text : TimelineFormat::Trace, Tell);
}

Command validateCommand() {
  return {"validate", "FILE...", "Check texts, also against each other",
          "",         addJson,   runValidate};
}

Command diffCommand() {
  return {"diff",
          "FILE",
          "Show what applying a text would change",
          "",
          [](cxxopts::Options &Options) {
            addJson(Options);
            addPlatform(Options);
          },
          runDiff};
}

Command applyCommand() {
  return {"apply",
          "FILE",
          "Store a text and tell where it is in force",
          "\nExits with 3 if another version was stored meanwhile, and with 1 "
          "if the text is\nstored but not in force everywhere in time.\n",
          [](cxxopts::Options &Options) {
            addJson(Options);
            addPlatform(Options);
            addEntries(Options);
            addWait(Options);
            Options.add_options()(
                "expect-version",
                "Refuse unless this version is stored (0: none)",
                cxxopts::value<std::uint64_t>(), "N");
          },
          runApply};
}

Command statusCommand() {
  return {"status",
          "",
          "Show entries, versions, zones and upstreams",
          "",
          [](cxxopts::Options &Options) {
            addJson(Options);
            addEntries(Options);
          },
          runStatus};
}

Command zoneCommand() {
  return {
      "zone",
      "out|in ZONE...",
      "Take availability zones out or in",
      "\nStores the change through the platform; while the platform doesn't "
      "answer, gives\nit to all given entries.\n",
      [](cxxopts::Options &Options) {
        addJson(Options);
        addPlatform(Options);
        addEntries(Options);
        addWait(Options);
        addOperator(Options);
      },
      runZone};
}

Command closeCommand() {
  return {
      "close",
      "",
      "Close the venture and delete all its objects",
      "\nSets the close mark, waits for all entries and engines and deletes "
      "all objects.\nAn interrupted close goes on when it is run again. "
      "Exits with 1 while it is not\ncomplete. Give the addresses of all "
      "entries: one that does not answer is waited\nfor 120 s.\n",
      [](cxxopts::Options &Options) {
        addJson(Options);
        addPlatform(Options);
        addEntries(Options);
        addOperator(Options);
        Options.add_options()("wait", "Go on until the close is complete");
      },
      runClose};
}

Command timelineCommand() {
  return {"timeline",
          "",
          "Show the events of all processes in causal order",
          "\nThe trace format is trace-event JSON for trace viewers.\n",
          [](cxxopts::Options &Options) {
            addJson(Options);
            addEntries(Options);
            Options.add_options()(
                "format", "text or trace",
                cxxopts::value<std::string>()->default_value("text"), "FORMAT");
          },
          runTimeline};
}

} // namespace

const std::vector<Command> &commands() {
  static const std::vector<Command> All = {
      validateCommand(), diffCommand(),  applyCommand(),   statusCommand(),
      zoneCommand(),     closeCommand(), timelineCommand()};
  return All;
}

} // namespace samphirehill
