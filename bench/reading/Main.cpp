// Measures processor time and allocations of reading answers of the platform's
// store: lists of instances, and configurations with and without a previous
// version in the cache.
#include "Decode.h"
#include "Objects.h"
#include "samphirehill/Core/JsonParts.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <new>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

std::size_t Allocations = 0;

} // namespace

void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Allocated = std::malloc(Size))
    return Allocated;
  throw std::bad_alloc();
}
void operator delete(void *Pointer) noexcept { std::free(Pointer); }
void operator delete(void *Pointer, std::size_t) noexcept {
  std::free(Pointer);
}

namespace samphirehill::platform {
namespace {

using nlohmann::json;

constexpr double MinTotalMs = 60;
constexpr std::size_t MinRuns = 5;

double processorMs() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e3 +
         static_cast<double>(Now.tv_nsec) / 1e6;
}

// Runs Work repeatedly and prints the median and the longest processor time of
// a run, in milliseconds, and the allocations of the last run.
void report(const std::string &Step, std::size_t Size,
            const std::function<void()> &Work) {
  std::vector<double> Runs;
  double FirstStart = processorMs();
  std::size_t Allocated = 0;
  while (Runs.size() < MinRuns || processorMs() - FirstStart < MinTotalMs) {
    std::size_t Before = Allocations;
    double Start = processorMs();
    Work();
    Runs.push_back(processorMs() - Start);
    Allocated = Allocations - Before;
  }
  std::sort(Runs.begin(), Runs.end());
  std::printf("%-46s %7zu %10.4f %10.4f %10zu\n", Step.c_str(), Size,
              Runs[Runs.size() / 2], Runs.back(), Allocated);
}

// Returns a route's JSON as the platform writes it; Timeout is in milliseconds.
std::string routeText(std::size_t Number, int Timeout) {
  std::string Name = std::to_string(Number);
  return R"({"name":"r-)" + Name + R"(","hostname":"h)" +
         std::to_string(Number % 7) + R"(.example","path_prefix":"/p)" + Name +
         R"(/","route_type":"stream","timeout_ms":)" + std::to_string(Timeout) +
         R"(,"target_latency_ms":500,"priority_class":1,"traffic_split":)"
         R"([{"backend":"pool","weight":90},{"backend":"app","weight":10}],)"
         R"("max_attempts":2,"anonymous":false,"session_affinity":true,)"
         R"("resumable":true,"gap_target_ms":300})";
}

// Returns a configuration's JSON. Route 3 differs between versions.
std::string configurationText(std::size_t Routes, int Version) {
  std::string Text =
      R"({"version":)" + std::to_string(Version) + R"(,"routes":[)";
  for (std::size_t Number = 0; Number < Routes; ++Number)
    Text += (Number > 0 ? "," : "") +
            routeText(Number, Number == 3 ? 8'000 + Version : 8'000);
  return Text + R"(],"backends":[{"name":"pool"},{"name":"app"}],"limits":{},)"
                R"("tenants":[{"name":"o","api_keys":["k"]}]})";
}

std::string objectText(const std::string &Name, std::size_t Revision,
                       const std::string &Spec) {
  return R"({"metadata":{"name":")" + Name + R"(","revision":)" +
         std::to_string(Revision + 1) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + Spec +
         R"(,"status":null})";
}

// Returns the answer to a watch that changed the configuration to Spec.
std::string changeText(const std::string &Spec) {
  return R"({"events":[{"removed":false,"object":)" +
         objectText("main", 6, Spec) + R"(}],"store_revision":7})";
}

std::string instanceText(std::size_t Number) {
  return R"({"backend":"pool","address":"10.1.0.)" +
         std::to_string(Number % 250) +
         R"(:8400","zone":"north","version":"1","capacity_slots":26,)"
         R"("phase":"ready","cold_remaining_ms":0,"seq":3,"born":1772000000000,)"
         R"("stage":"both","domain":"north-d1","staged":["large"],"models":)"
         R"([{"name":"large","version":1,"adapters":[]}],"group":{"name":)"
         R"("large.7","epoch":100007,"rank":1,"phase":"open"}})";
}

// Parses an answer as a single JSON document, writes its values as text and
// parses the first one again. This is how answers were read before they were
// split into objects; measured for comparison.
json parseAsOneDocument(const std::string &Answer, const char *Items) {
  json Parsed = json::parse(Answer, nullptr, false);
  std::vector<std::string> Values;
  for (const json &Item : Parsed[Items])
    Values.push_back(
        (Item.contains("object") ? Item["object"] : Item)["spec"].dump());
  return json::parse(Values.front(), nullptr, false);
}

void measureConfigurations(std::size_t Routes) {
  std::string Before = configurationText(Routes, 1);
  std::string After = configurationText(Routes, 2);
  std::string Answer = changeText(After);
  ConfigurationCache Cache;
  auto Decode = [](ConfigurationCache &Target, const std::string &Text) {
    return std::get<0>(
        capture([&] { return decodeConfiguration(Target, Text); }));
  };
  serving::Configuration Config = Decode(Cache, Before);
  report("answer parsed whole, spec written and parsed", Routes,
         [&] { parseAsOneDocument(Answer, "events"); });
  report("answer split into objects", Routes,
         [&] { std::get<0>(capture([&] { return readChanges(Answer); })); });
  report("configuration decoded, nothing known", Routes, [&] {
    ConfigurationCache Fresh;
    Decode(Fresh, After);
  });
  bool UseAfter = false;
  report("configuration decoded, neighbour known", Routes, [&] {
    UseAfter = !UseAfter;
    Decode(Cache, UseAfter ? After : Before);
  });
  report("route found, 1,000 times", Routes, [&] {
    for (std::size_t Number = 0; Number < 1'000; ++Number)
      if (!Config.Routes.find("h3.example", "/p3/x"))
        std::abort();
  });
}

void measureInstances(std::size_t Count) {
  std::string Answer = R"({"items":[)";
  for (std::size_t Number = 0; Number < Count; ++Number)
    Answer +=
        (Number > 0 ? "," : "") +
        objectText("i-" + std::to_string(Number), Number, instanceText(Number));
  Answer += R"(],"truncated":false,"store_revision":9})";
  report("list parsed whole, specs written", Count,
         [&] { parseAsOneDocument(Answer, "items"); });
  report("list split into objects", Count,
         [&] { std::get<0>(capture([&] { return readList(Answer); })); });
  ObjectPage Page = std::get<0>(capture([&] { return readList(Answer); }));
  report("instances decoded", Count, [&] {
    for (const ObjectChange &Change : Page.Changes)
      if (!decodeInstance(Change.Object.Name, parseJson(Change.Object.Value)))
        std::abort();
  });
}

} // namespace
} // namespace samphirehill::platform

int main() {
  using namespace samphirehill::platform;
  std::printf("%-46s %7s %10s %10s %10s\n", "step", "size", "median ms",
              "longest ms", "allocs");
  for (std::size_t Routes : {10, 100, 1'400, 10'000})
    measureConfigurations(Routes);
  for (std::size_t Count : {10, 100, 1'000})
    measureInstances(Count);
  return 0;
}
