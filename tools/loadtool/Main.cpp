// Open-loop load generator for entries, or for stand-in engines directly. Reads
// a plan (loadtool/Plan.h), writes one JSON result.
#include "loadtool/LoadRun.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <fstream>
#include <iostream>

using namespace samphirehill;
using namespace samphirehill::loadtool;

namespace {

constexpr double HighestRate = 5000; // calls per second, surges included
constexpr double LongestSeconds = 600;

cxxopts::Options describe() {
  cxxopts::Options Arguments("loadtool", "Load generator of samphirehill");
  auto Add = Arguments.add_options();
  Add("help", "Print this help");
  Add("plan", "Plan (JSON)", cxxopts::value<std::string>());
  Add("out", "Result (JSON); standard output if left out",
      cxxopts::value<std::string>()->default_value(""));
  Add("rate", "Calls per second of all organisations without surges",
      cxxopts::value<double>()->default_value("50"));
  Add("seconds", "Length", cxxopts::value<double>()->default_value("10"));
  Add("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  Add("run", "Part of request ids and booking keys",
      cxxopts::value<std::string>()->default_value("load"));
  Add("max-open", "Most calls at once",
      cxxopts::value<std::size_t>()->default_value("2000"));
  Add("raw", "List every call");
  return Arguments;
}

LoadPlan readPlan(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::invalid_argument("plan \"" + Path + "\" can't be read");
  return planFromJson(nlohmann::json::parse(File));
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int run(const cxxopts::ParseResult &Parsed) {
  LoadPlan Plan = readPlan(Parsed["plan"].as<std::string>());
  double Rate = Parsed["rate"].as<double>();
  double Length = Parsed["seconds"].as<double>();
  auto Seed = Parsed["seed"].as<std::uint64_t>();
  if (Rate <= 0 || Rate > HighestRate || Length <= 0 || Length > LongestSeconds)
    throw std::invalid_argument("--rate must be above 0 and at most 5000, "
                                "--seconds above 0 and at most 600");
  std::vector<Arrival> Arrivals = schedule(
      Plan, Rate, Duration(static_cast<std::int64_t>(Length * 1e6)), Seed);
  if (static_cast<double>(Arrivals.size()) > HighestRate * Length)
    throw std::invalid_argument("surges take the rate above 5000");
  asio::io_context Context;
  LoadRun Load(Context, Plan, std::move(Arrivals),
               Parsed["run"].as<std::string>(),
               Parsed["max-open"].as<std::size_t>());
  std::int64_t StartedMs = unixMs();
  bool Ended = false;
  Load.start([&] { Ended = true; });
  // The client's thread posts answers; the context must not run out of work
  // while it waits for them.
  auto Guard = asio::make_work_guard(Context);
  while (!Ended)
    Context.run_one();
  nlohmann::json Result = Load.statistics().toJson(Parsed.count("raw") > 0);
  Result["startedUnixMs"] = StartedMs;
  Result["seed"] = Seed;
  Result["rate"] = Rate;
  Result["seconds"] = Length;
  std::string Out = Parsed["out"].as<std::string>();
  if (Out.empty()) {
    std::cout << Result.dump() << std::endl;
    return 0;
  }
  std::ofstream File(Out);
  File << Result.dump() << "\n";
  File.close();
  if (!File)
    throw std::runtime_error("\"" + Out + "\" can't be written");
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    cxxopts::Options Arguments = describe();
    auto Parsed = Arguments.parse(Argc, Argv);
    if (Parsed.count("help") || !Parsed.count("plan")) {
      std::cout << Arguments.help();
      return Parsed.count("help") ? 0 : 2;
    }
    return run(Parsed);
  } catch (const std::exception &Failure) {
    std::cerr << "loadtool: " << Failure.what() << std::endl;
    return 2;
  }
}
