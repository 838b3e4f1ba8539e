#include "standin-service/Service.h"

#include <asio/io_context.hpp>
#include <cxxopts.hpp>

#include <iostream>

using namespace samphirehill::standin;

int main(int Argc, char **Argv) {
  cxxopts::Options Arguments("standin-service",
                             "Plain booking service for tests and the demo");
  Arguments.add_options()("help", "Print this help")(
      "listen", "Address ip:port; port 0 lets the system choose",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "id", "Instance id",
      cxxopts::value<std::string>()->default_value("service"))(
      "delay-ms", "Time that each action takes",
      cxxopts::value<std::int64_t>()->default_value("5"))(
      "max-running", "Most actions at once; above it 503",
      cxxopts::value<std::int64_t>()->default_value("64"));
  try {
    auto Parsed = Arguments.parse(Argc, Argv);
    if (Parsed.count("help")) {
      std::cout << Arguments.help();
      return 0;
    }
    ServiceOptions Options;
    Options.Id = Parsed["id"].as<std::string>();
    Options.DelayMs = Parsed["delay-ms"].as<std::int64_t>();
    Options.MaxRunning = Parsed["max-running"].as<std::int64_t>();
    asio::io_context Io;
    Service Served(Io, Options);
    return serve(Io, Parsed["listen"].as<std::string>(),
                 [&](const Request &From, const ResponderPtr &To) {
                   Served.handle(From, To);
                 });
  } catch (const std::exception &Failure) {
    std::cerr << "standin-service: " << Failure.what() << std::endl;
    return 2;
  }
}
