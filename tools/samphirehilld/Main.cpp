// The daemon of an entry instance.
#include "samphirehill/Config/Settings.h"
#include "samphirehill/Daemon/Entry.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace samphirehill {
namespace {

enum ExitCode { ExitOk = 0, ExitFailure = 1, ExitUsage = 2 };

int fail(const Error &Failure) {
  std::cerr << "samphirehilld: " << Failure.Message << "\n";
  return ExitFailure;
}

Outcome<Settings> load(const std::string &Path) {
  return capture([&]() -> Result<Settings> {
    BOOST_LEAF_AUTO(Toml, readTextFile(Path));
    return parseSettings(Toml, Path);
  });
}

int serve(const Settings &Config) {
  asio::io_context Context;
  auto Guard = asio::make_work_guard(Context);
  Outcome<std::unique_ptr<Entry>> Started =
      capture([&] { return Entry::create(Context, Config); });
  if (const Error *Failure = errorOf(Started))
    return fail(*Failure);
  Entry &Running = *std::get<0>(Started);
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](std::error_code Failed, int) {
    if (!Failed)
      Running.shutDown([&] { Context.stop(); });
  });
  Context.run();
  return ExitOk;
}

int run(int Count, char **Arguments) {
  cxxopts::Options Options("samphirehilld",
                           "Daemon of an entry instance of samphirehill");
  Options.add_options()("settings", "Settings file (TOML)",
                        cxxopts::value<std::string>())(
      "check", "Check the settings and exit")("help", "Print this help")(
      "version", "Print the version");
  cxxopts::ParseResult Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help")) {
    std::cout << Options.help();
    return ExitOk;
  }
  if (Parsed.count("version")) {
    std::cout << "samphirehilld " << SAMPHIREHILL_VERSION << "\n";
    return ExitOk;
  }
  if (!Parsed.count("settings")) {
    std::cerr << "samphirehilld: --settings is missing; see --help\n";
    return ExitUsage;
  }
  Outcome<Settings> Config = load(Parsed["settings"].as<std::string>());
  if (const Error *Failure = errorOf(Config))
    return fail(*Failure);
  if (Parsed.count("check")) {
    std::cout << "settings are valid\n";
    return ExitOk;
  }
  return serve(std::get<0>(Config));
}

} // namespace
} // namespace samphirehill

int main(int Count, char **Arguments) {
  spdlog::set_default_logger(spdlog::stderr_logger_st("samphirehilld"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %v",
                      spdlog::pattern_time_type::utc);
  try {
    return samphirehill::run(Count, Arguments);
  } catch (const cxxopts::exceptions::exception &Caught) {
    std::cerr << "samphirehilld: " << Caught.what() << "; see --help\n";
    return 2;
  }
}
