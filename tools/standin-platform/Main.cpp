#include "standin-platform/Platform.h"

#include <asio/io_context.hpp>
#include <cxxopts.hpp>

#include <iostream>

using namespace samphirehill::standin;

int main(int Argc, char **Argv) {
  cxxopts::Options Arguments("standin-platform",
                             "In-memory platform for tests and the demo");
  Arguments.add_options()("help", "Print this help")(
      "listen", "Address ip:port; port 0 lets the system choose",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "id", "Name in logs; no effect",
      cxxopts::value<std::string>()->default_value("platform"))(
      "weight-bytes", "Size reported for every model",
      cxxopts::value<std::int64_t>()->default_value("140000000000"))(
      "weight-load-ms", "Time that loading the weights takes",
      cxxopts::value<std::int64_t>()->default_value("500"))(
      "weights-per-minute", "Rate of the weight store; 0: no limit",
      cxxopts::value<double>()->default_value("0"));
  try {
    auto Parsed = Arguments.parse(Argc, Argv);
    if (Parsed.count("help")) {
      std::cout << Arguments.help();
      return 0;
    }
    PlatformOptions Options;
    Options.WeightBytes = Parsed["weight-bytes"].as<std::int64_t>();
    Options.WeightLoadMs = Parsed["weight-load-ms"].as<std::int64_t>();
    Options.WeightsPerMinute = Parsed["weights-per-minute"].as<double>();
    asio::io_context Io;
    Platform Served(Io, Options);
    return serve(Io, Parsed["listen"].as<std::string>(),
                 [&](const Request &From, const ResponderPtr &To) {
                   Served.handle(From, To);
                 });
  } catch (const std::exception &Failure) {
    std::cerr << "standin-platform: " << Failure.what() << std::endl;
    return 2;
  }
}
