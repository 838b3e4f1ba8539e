// The commands of the tool and their options.
#ifndef SAMPHIREHILL_TOOLS_SAMPHIREHILLCTL_COMMANDLINE_H
#define SAMPHIREHILL_TOOLS_SAMPHIREHILLCTL_COMMANDLINE_H

#include "samphirehill/Ctl/VentureClient.h"

#include <cxxopts.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace samphirehill {

// A call that breaks the usage; the message names what is wrong.
class UsageError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Command {
  std::string Name;
  std::string Arguments; // for the help
  std::string Summary;
  std::string Details; // further help
  std::function<void(cxxopts::Options &)> AddOptions;
  std::function<Report(const cxxopts::ParseResult &,
                       const std::vector<std::string> &, const Say &)>
      Run;
};

const std::vector<Command> &commands();

} // namespace samphirehill

#endif // SAMPHIREHILL_TOOLS_SAMPHIREHILLCTL_COMMANDLINE_H
