// Compares rules of placement and waiting in bursts: answers in time per two
// seconds, as means over seeds.
#include "OverloadModel.h"

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

namespace samphirehill::bench {
namespace {

// The day on which the collapse was seen: two bursts of 4 s.
OverloadScene sceneOf(const cxxopts::ParseResult &Options) {
  OverloadScene Made;
  Made.Length = seconds(34);
  Made.Bursts = {{seconds(10), seconds(14), Options["burst"].as<double>()},
                 {seconds(26), seconds(30), Options["burst-2"].as<double>()}};
  Made.PerSecond = Options["per-second"].as<double>();
  Made.Swing = Options["swing"].as<double>();
  if (Options.count("restart")) {
    Made.DownFrom = seconds(20);
    Made.DownUntil = Made.DownFrom + milliseconds(1'500);
  }
  return Made;
}

OverloadRules rulesOf(const cxxopts::ParseResult &Options) {
  OverloadRules Made;
  if (Options.count("no-shares"))
    Made = rulesWithoutShares();
  else {
    Made.Placement.FreeDeviations = Options["free-deviations"].as<double>();
    Made.Placement.Places.ReserveDeviations =
        Options["late-reserve"].as<double>();
    Made.Placement.Places.Overbooking = Options["overbooking"].as<double>();
    Made.Placement.LevelingHorizon = Options["level-over"].as<double>();
  }
  Made.Placement.OccupancyPenalty = milliseconds(Options["full-ms"].as<int>());
  Made.Wait.StartFraction = Options["start-part"].as<double>();
  Made.Wait.QueueTime = milliseconds(Options["queue-ms"].as<int>());
  Made.Wait.MinQueueLength = Options["shortest-queue"].as<std::size_t>();
  if (Options.count("exact")) {
    Made.ExactNews = true;
    Made.Placement.ReportAge = Duration::zero();
  }
  return Made;
}

void print(const std::string &Name, const OverloadRow &Row, int Seeds) {
  std::printf("%6s %6d %6d %6d %7d %6d %8d %6.1f\n", Name.c_str(),
              Row.Asked / Seeds, Row.InAim / Seeds, Row.Late / Seeds,
              Row.Refused / Seeds, Row.Sent / Seeds, Row.Rejected / Seeds,
              Row.Spread / Seeds);
}

void report(OverloadScene Scene, const OverloadRules &Rules, int Seeds,
            bool Brief) {
  std::vector<OverloadRow> Rows(
      static_cast<std::size_t>(Scene.Length / RowLength));
  OverloadRow Sum;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    Scene.Seed = static_cast<std::uint32_t>(Seed);
    std::vector<OverloadRow> Played = play(Scene, Rules);
    for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
      Rows[Index] += Played[Index];
      Sum += Played[Index];
    }
  }
  auto Worst = std::min_element(Rows.begin(), Rows.end(),
                                [](const OverloadRow &A, const OverloadRow &B) {
                                  return A.InAim < B.InAim;
                                });
  if (!Brief) {
    std::printf("%6s %6s %6s %6s %7s %6s %8s %6s\n", "second", "asked",
                "in aim", "late", "refused", "sent", "rejected", "spread");
    for (std::size_t Index = 0; Index < Rows.size(); ++Index)
      print(std::to_string(Index * 2), Rows[Index], Seeds);
  }
  std::printf("in aim %.3f late %.3f refused %.3f rejected %.3f sent/asked "
              "%.3f worst row %d waited %.3f in vain %.3f held long %.3f\n",
              static_cast<double>(Sum.InAim) / Sum.Asked,
              static_cast<double>(Sum.Late) / Sum.Asked,
              static_cast<double>(Sum.Refused) / Sum.Asked,
              static_cast<double>(Sum.Rejected) / Sum.Sent,
              static_cast<double>(Sum.Sent) / Sum.Asked, Worst->InAim / Seeds,
              static_cast<double>(Sum.Waited) / Sum.Asked,
              static_cast<double>(Sum.WaitedInVain) / Sum.Asked,
              static_cast<double>(Sum.HeldLong) / Sum.Asked);
}

int run(int Count, char **Arguments) {
  serving::PlacementLimits Limits;
  serving::WaitLimits Wait;
  auto Number = [](double Value) {
    return cxxopts::value<double>()->default_value(std::to_string(Value));
  };
  auto Whole = [](std::int64_t Value) {
    return cxxopts::value<int>()->default_value(std::to_string(Value));
  };
  cxxopts::Options Options("overload",
                           "Compares rules of placement and waiting in bursts");
  Options.add_options()("burst", "Factor of the first burst", Number(1.8))(
      "burst-2", "Factor of the second", Number(2.2))(
      "per-second", "Requests a second beside bursts",
      Number(329))("swing", "Waves of 13 s, as a part of the requests a second",
                   Number(0))("restart", "All entries restart after 20 s")(
      "free-deviations", "Places left free, in standard deviations",
      Number(Limits.FreeDeviations))(
      "late-reserve", "Places kept free of late requests, in deviations",
      Number(Limits.Places.ReserveDeviations))(
      "overbooking", "Places given for a free one",
      Number(Limits.Places.Overbooking))(
      "level-over", "Times the age of the news over which loads are levelled",
      Number(Limits.LevelingHorizon))(
      "full-ms", "Penalty of a full group",
      Whole(toMilliseconds(Limits.OccupancyPenalty)))(
      "start-part", "Part of the aim in which a request must be sent",
      Number(Wait.StartFraction))("queue-ms", "Longest queue, in time",
                                  Whole(toMilliseconds(Wait.QueueTime)))(
      "shortest-queue", "Requests that may wait in any case",
      cxxopts::value<std::size_t>()->default_value(
          std::to_string(Wait.MinQueueLength)))(
      "no-shares", "Entries fill what they see free")(
      "exact", "Entries know all loads at once: the bound of any rule")(
      "seeds", "Seeds played",
      Whole(3))("brief", "Print the sums only")("help", "Print this help");
  cxxopts::ParseResult Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help")) {
    std::cout << Options.help();
    return 0;
  }
  int Seeds = Parsed["seeds"].as<int>();
  if (Seeds < 1) {
    std::cerr << "overload: --seeds must be at least 1\n";
    return 2;
  }
  report(sceneOf(Parsed), rulesOf(Parsed), Seeds, Parsed.count("brief") > 0);
  return 0;
}

} // namespace
} // namespace samphirehill::bench

int main(int Count, char **Arguments) {
  try {
    return samphirehill::bench::run(Count, Arguments);
  } catch (const cxxopts::exceptions::exception &Caught) {
    std::cerr << "overload: " << Caught.what() << "; see --help\n";
    return 2;
  }
}
