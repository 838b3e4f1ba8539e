#include "standin-engine/Engine.h"

#include <asio/io_context.hpp>
#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

using namespace samphirehill;
using namespace samphirehill::standin;

namespace {

constexpr int CrashStatus = 70;

cxxopts::Options describe() {
  cxxopts::Options Arguments("standin-engine",
                             "Model engine for tests and the demo");
  const EngineOptions Default;
  auto Number = [](std::int64_t Value) {
    return cxxopts::value<std::int64_t>()->default_value(std::to_string(Value));
  };
  auto Real = [](double Value) {
    return cxxopts::value<double>()->default_value(std::to_string(Value));
  };
  auto Text = [](const char *Value) {
    return cxxopts::value<std::string>()->default_value(Value);
  };
  auto Add = Arguments.add_options();
  Add("help", "Print this help");
  Add("listen", "Address ip:port; port 0: any", Text("127.0.0.1:0"));
  Add("id", "Instance id", Text("engine"));
  Add("platform", "Address ip:port of the platform", Text(""));
  Add("checks-fence", "Refuse orders with an old fence",
      cxxopts::value<bool>()->default_value("false"));
  Add("on-crash", "exit, reset or cold", Text("reset"));
  Add("load-ms", "Load time without a platform", Number(Default.LoadMs));
  Add("adapter-ms", "Load time of an adapter", Number(Default.AdapterMs));
  Add("warm-ms", "Time from loaded to warm", Number(Default.WarmMs));
  Add("cold-limit", "More work while cold: crash", Number(Default.ColdLimit));
  Add("warm-limit", "More work while warm: 503", Number(Default.WarmLimit));
  Add("max-running", "Further work is queued", Number(Default.MaxRunning));
  Add("ms-per-token", "Time per token", Real(Default.MsPerToken));
  Add("ms-per-prompt-block", "Time per prompt block of 256 bytes not cached",
      Real(Default.MsPerPromptBlock));
  Add("cold-factor", "Slower while cold", Real(Default.ColdFactor));
  Add("batch-factor", "Slower per further request", Real(Default.BatchFactor));
  Add("status-lag-ms", "Age of the reported load", Number(Default.StatusLagMs));
  Add("member-check-ms", "Period of the leader's check of the members",
      Number(Default.MemberCheckMs));
  Add("cache-blocks", "Prompt blocks that fit in the cache", Number(4096));
  Add("cache-event-delay-ms", "Cache events show this much later", Number(500));
  Add("cache-event-lose-every", "Every nth cache event is lost; 0: none",
      Number(0));
  return Arguments;
}

CrashEffect crashEffect(const std::string &Name) {
  if (Name == "exit")
    return CrashEffect::Exit;
  if (Name == "reset")
    return CrashEffect::Reset;
  if (Name == "cold")
    return CrashEffect::Cold;
  throw std::invalid_argument("--on-crash is \"" + Name +
                              "\", not exit, reset or cold");
}

EngineOptions readOptions(const cxxopts::ParseResult &Parsed) {
  auto Number = [&](const char *Name) {
    return Parsed[Name].as<std::int64_t>();
  };
  auto Real = [&](const char *Name) { return Parsed[Name].as<double>(); };
  EngineOptions Options;
  Options.Id = Parsed["id"].as<std::string>();
  Options.Platform = Parsed["platform"].as<std::string>();
  Options.ChecksFence = Parsed["checks-fence"].as<bool>();
  Options.OnCrash = crashEffect(Parsed["on-crash"].as<std::string>());
  Options.Exit = [] { std::_Exit(CrashStatus); };
  Options.LoadMs = Number("load-ms");
  Options.AdapterMs = Number("adapter-ms");
  Options.WarmMs = Number("warm-ms");
  Options.ColdLimit = Number("cold-limit");
  Options.WarmLimit = Number("warm-limit");
  Options.MaxRunning = Number("max-running");
  Options.MsPerToken = Real("ms-per-token");
  Options.MsPerPromptBlock = Real("ms-per-prompt-block");
  Options.ColdFactor = Real("cold-factor");
  Options.BatchFactor = Real("batch-factor");
  Options.StatusLagMs = Number("status-lag-ms");
  Options.MemberCheckMs = Number("member-check-ms");
  Options.Cache.Blocks = static_cast<std::size_t>(Number("cache-blocks"));
  Options.Cache.EventDelay = milliseconds(Number("cache-event-delay-ms"));
  Options.Cache.LoseEvery = Number("cache-event-lose-every");
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    cxxopts::Options Arguments = describe();
    auto Parsed = Arguments.parse(Argc, Argv);
    if (Parsed.count("help")) {
      std::cout << Arguments.help();
      return 0;
    }
    asio::io_context Io;
    HttpClient Http(Io);
    EngineOptions Options = readOptions(Parsed);
    Options.Fetch = [&Http](const std::string &Url, auto OnDone) {
      fetchJson(Http, Url, std::move(OnDone));
    };
    Engine Served(Io, std::move(Options));
    return serve(Io, Parsed["listen"].as<std::string>(),
                 [&](const Request &From, const ResponderPtr &To) {
                   Served.handle(From, To);
                 });
  } catch (const std::exception &Failure) {
    std::cerr << "standin-engine: " << Failure.what() << std::endl;
    return 2;
  }
}
