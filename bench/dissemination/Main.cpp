// Prints, for several fleet sizes, how many messages and bytes dissemination
// costs each entry and how many rounds a new version takes to reach all
// entries. Runs only the decision functions, in virtual time and with fixed
// seeds, so that the figures don't depend on the machine.
#include "FleetSimulation.h"

#include <algorithm>
#include <cstdio>

namespace samphirehill {
namespace {

struct Size {
  std::size_t Entries;
  std::size_t Zones;
};

constexpr Duration SettleFor = seconds(3);
constexpr Duration MeasureFor = seconds(4);
constexpr std::uint64_t Seeds = 3;
constexpr int MaxRounds = 40;

struct Cost {
  double Mean = 0;
  double Most = 0;
};

struct Costs {
  Cost Messages; // per second and entry
  Cost Bytes;
};

void add(Cost &Sum, double Value, double Share) {
  Sum.Mean += Value * Share;
  Sum.Most = std::max(Sum.Most, Value);
}

Costs measureCosts(const Size &FleetSize) {
  Fleet Entries({FleetSize.Entries, FleetSize.Zones, 1});
  Entries.run(SettleFor);
  Entries.resetTraffic();
  Entries.run(MeasureFor);
  Costs Seen;
  double Share = 1.0 / static_cast<double>(FleetSize.Entries);
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    Fleet::Traffic Sent = Entries.sent(I);
    double Span = toSeconds(MeasureFor);
    add(Seen.Messages, static_cast<double>(Sent.Messages) / Span, Share);
    add(Seen.Bytes, static_cast<double>(Sent.Bytes) / Span, Share);
  }
  return Seen;
}

bool reachedAll(const Fleet &Entries, const SharedKey &Key,
                const SharedVersion &Version) {
  for (std::size_t I = 0; I < Entries.size(); ++I)
    if (heldVersion(Entries.shared(I), Key) < Version)
      return false;
  return true;
}

// Returns the number of heartbeat rounds until a zone change has reached all
// entries. The change is sent to the last entry, which isn't a relay.
int measureRounds(const Size &FleetSize, std::uint64_t Seed, double Loss) {
  Fleet Entries({FleetSize.Entries, FleetSize.Zones, Seed, Loss});
  Entries.run(SettleFor);
  Entries.PlatformUp = false;
  std::size_t FirstEntry = FleetSize.Entries - 1;
  SharedKey Key{ZoneKind, Entries.zoneName(0)};
  Entries.changeZone(FirstEntry, 0, true, "lumen");
  SharedVersion Version = heldVersion(Entries.shared(FirstEntry), Key);
  int Rounds = 0;
  while (!reachedAll(Entries, Key, Version) && Rounds < MaxRounds) {
    Entries.run(HeartbeatInterval);
    ++Rounds;
  }
  return Rounds;
}

Cost measureRounds(const Size &FleetSize, double Loss) {
  Cost Seen;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    add(Seen, measureRounds(FleetSize, Seed, Loss),
        1.0 / static_cast<double>(Seeds));
  return Seen;
}

void print(const Size &FleetSize) {
  Costs Seen = measureCosts(FleetSize);
  Cost Rounds = measureRounds(FleetSize, 0);
  Cost Lossy = measureRounds(FleetSize, 0.1);
  std::printf("%7zu %5zu %9.1f %9.1f %9.0f %9.0f %7.1f %5.0f %7.1f %5.0f\n",
              FleetSize.Entries, FleetSize.Zones, Seen.Messages.Mean,
              Seen.Messages.Most, Seen.Bytes.Mean, Seen.Bytes.Most, Rounds.Mean,
              Rounds.Most, Lossy.Mean, Lossy.Most);
}

} // namespace
} // namespace samphirehill

int main() {
  using samphirehill::Size;
  std::printf("sent per entry, and 250 ms rounds until a zone change given to "
              "one entry reached all (%d seeds)\n",
              static_cast<int>(samphirehill::Seeds));
  std::printf("%7s %5s %9s %9s %9s %9s %7s %5s %7s %5s\n", "entries", "zones",
              "msg/s", "most", "bytes/s", "most", "rounds", "most", "10%loss",
              "most");
  for (Size FleetSize : {Size{8, 3}, Size{64, 3}, Size{64, 8}, Size{64, 24},
                         Size{350, 3}, Size{350, 24}})
    samphirehill::print(FleetSize);
  return 0;
}
