// Values of typical length, as the messages and objects of a running system
// have them.
#ifndef SAMPHIREHILL_BENCH_CAPACITY_SAMPLES_H
#define SAMPHIREHILL_BENCH_CAPACITY_SAMPLES_H

#include "samphirehill/Daemon/UpstreamDirectory.h"
#include "samphirehill/Groups/Fleet.h"

#include "peer.pb.h"

#include <nlohmann/json.hpp>
#include <string>

namespace samphirehill::capacity {

constexpr std::size_t Zones = 24;
constexpr std::uint64_t SampleIncarnation = 1'796'358'079'123'456;

inline std::string numbered(const std::string &Name, std::size_t Number) {
  std::string Digits = std::to_string(Number);
  return Name + std::string(4 - std::min<std::size_t>(4, Digits.size()), '0') +
         Digits;
}

inline EntryId entryId(std::size_t Number) {
  return EntryId(numbered("mu-1-entry-", Number));
}

inline std::string requestId(std::size_t Number) {
  return entryId(Number % 15).str() + "." + std::to_string(SampleIncarnation) +
         "." + std::to_string(10'000 + Number);
}

inline UpstreamStatus upstreamStatus(std::size_t Number) {
  UpstreamStatus Status;
  Status.Info.Id = UpstreamId(numbered("mu-1-g", Number));
  Status.Info.Zone = ZoneId(numbered("mu-", Number % Zones));
  Status.Info.Service = ServiceId(numbered("notes-", Number % 8));
  Status.Info.Version = "3";
  Status.Info.Adapters = {"french", "creole"};
  Status.Info.Boot = BootId("b-" + std::to_string(SampleIncarnation + Number));
  Status.Info.Slots = 200;
  Status.Domain = DomainId(numbered("mu-1-rack-", Number / 4));
  Status.Address = "10.21.114.203:8000";
  Status.Serving = true;
  Status.Load = LoadReport{170, 3, 2246.2, {}};
  return Status;
}

// An engine's answer to GET /status with Running request ids.
inline std::string engineStatus(std::size_t Number, std::size_t Running) {
  nlohmann::json Ids = nlohmann::json::array();
  for (std::size_t I = 0; I < Running; ++I)
    Ids.push_back(requestId(I));
  nlohmann::json Members = nlohmann::json::array();
  for (std::size_t I = 0; I < 4; ++I)
    Members.push_back(numbered("mu-1-engine-", Number / 4 * 4 + I));
  return nlohmann::json{{"instance", numbered("mu-1-engine-", Number)},
                        {"bootId", "b-" + std::to_string(SampleIncarnation)},
                        {"state", "warm"},
                        {"model", "notes-70b"},
                        {"version", "3"},
                        {"adapters", {"french", "creole"}},
                        {"group", numbered("mu-1-g", Number / 4)},
                        {"generation", 3},
                        {"members", Members},
                        {"fence", 17},
                        {"running", Running},
                        {"queued", 0},
                        {"runningIds", Ids},
                        {"tokensPerSecond", 2246.2},
                        {"cacheSequence", 123456},
                        {"reportTimeMs", 1'796'358'079'123}}
      .dump();
}

// Returns the bytes of Message on the peer link, with the fields that every
// message carries.
inline double wireBytes(peer::Envelope Message) {
  Message.set_sender(entryId(7).str());
  Message.set_incarnation(SampleIncarnation);
  Message.set_sequence(1'000'000);
  Message.set_clock_us(static_cast<std::int64_t>(SampleIncarnation));
  return static_cast<double>(Message.ByteSizeLong());
}

} // namespace samphirehill::capacity

#endif // SAMPHIREHILL_BENCH_CAPACITY_SAMPLES_H
