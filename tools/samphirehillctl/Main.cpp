// The operators' tool. Exit codes: 0 done, 1 failure, 2 wrong usage, 3 another
// operator's change won.
#include "CommandLine.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace samphirehill {
namespace {

void printHelp() {
  std::cout << "Operators' tool of samphirehill\n\n"
               "Usage:\n  samphirehillctl COMMAND [options] [arguments]\n"
               "  samphirehillctl --help | --version\n\nCommands:\n";
  for (const Command &Each : commands()) {
    std::string Name = Each.Name + " " + Each.Arguments;
    Name.resize(std::max<std::size_t>(Name.size() + 2, 24), ' ');
    std::cout << "  " << Name << Each.Summary << "\n";
  }
  std::cout << "\nsamphirehillctl COMMAND --help tells a command's options.\n"
               "Exit codes: 0 done, 1 failure, 2 wrong usage, 3 conflict with "
               "another change.\n";
}

int usage(const std::string &Message) {
  std::cerr << "samphirehillctl: " << Message << "; see --help\n";
  return ExitUsage;
}

int finish(const Report &Result, bool AsJson) {
  if (AsJson) {
    nlohmann::json Fields = Result.Fields;
    if (Result.Failure)
      Fields["error"] = {{"code", static_cast<int>(Result.Failure->Code)},
                         {"name", toString(Result.Failure->Code)},
                         {"message", Result.Failure->Message}};
    std::cout << Fields.dump(2, ' ', false,
                             nlohmann::json::error_handler_t::replace)
              << "\n";
  }
  if (Result.Failure)
    std::cerr << "samphirehillctl: error " << describe(*Result.Failure) << "\n";
  return exitCodeOf(Result);
}

int runCommand(const Command &Chosen, int Count, char **Arguments) {
  cxxopts::Options Options("samphirehillctl " + Chosen.Name, Chosen.Summary);
  Options.custom_help("[options]");
  Options.positional_help(Chosen.Arguments);
  Options.add_options()("help", "Print this help");
  if (Chosen.AddOptions)
    Chosen.AddOptions(Options);
  Options.add_options("hidden")("arguments", "",
                                cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"arguments"});
  // cxxopts leaves the program's own name out, so the command takes its place.
  cxxopts::ParseResult Parsed = Options.parse(Count - 1, Arguments + 1);
  if (Parsed.count("help")) {
    std::cout << Options.help({""}) << Chosen.Details;
    return ExitOk;
  }
  bool AsJson = Parsed.count("json") > 0;
  Say Tell = [AsJson](const std::string &Line) {
    if (!AsJson)
      std::cout << Line << std::endl;
  };
  std::vector<std::string> Positional;
  if (Parsed.count("arguments"))
    Positional = Parsed["arguments"].as<std::vector<std::string>>();
  return finish(Chosen.Run(Parsed, Positional, Tell), AsJson);
}

int run(int Count, char **Arguments) {
  std::string Name = Count > 1 ? Arguments[1] : "";
  if (Name == "--help" || Name == "help") {
    printHelp();
    return ExitOk;
  }
  if (Name == "--version") {
    std::cout << "samphirehillctl " << SAMPHIREHILL_VERSION << "\n";
    return ExitOk;
  }
  if (Name.empty())
    return usage("a command is missing");
  for (const Command &Each : commands())
    if (Each.Name == Name)
      return runCommand(Each, Count, Arguments);
  return usage("\"" + Name + "\" is no command");
}

} // namespace
} // namespace samphirehill

int main(int Count, char **Arguments) {
  spdlog::set_default_logger(spdlog::stderr_logger_st("samphirehillctl"));
  try {
    return samphirehill::run(Count, Arguments);
  } catch (const cxxopts::exceptions::exception &Caught) {
    std::cerr << "samphirehillctl: " << Caught.what() << "; see --help\n";
    return samphirehill::ExitUsage;
  } catch (const samphirehill::UsageError &Caught) {
    std::cerr << "samphirehillctl: " << Caught.what() << "; see --help\n";
    return samphirehill::ExitUsage;
  }
}
