// Tells the other entries, by datagrams, what this one runs and sees, and keeps
// what they tell. All of it is soft state: it replaces itself and ages out.
#ifndef SAMPHIREHILL_SERVING_PEERGOSSIP_H
#define SAMPHIREHILL_SERVING_PEERGOSSIP_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/CrashRecord.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

// What one entry tells the others.
struct EntryReport {
  EntryId Entry;
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  ZoneId Zone;
  std::int64_t ConfigurationVersion = 0;
  std::map<UpstreamKey, UpstreamLoad> Loads;
  std::set<UpstreamKey> Stalled;
  std::vector<BreakOff> BreakOffs; // SeenAt on the receiver's clock
  std::int64_t DutyTerm = 0;       // 0: holds no duty
  std::int64_t DutyRenewal = 0;
  std::set<InstanceId> Reached; // unlisted instances that answered just now

  bool operator==(const EntryReport &) const = default;
};

std::string encodeReport(const EntryReport &Report, TimePoint Now);
// Returns nothing if Bytes aren't a report.
std::optional<EntryReport> decodeReport(const std::string &Bytes,
                                        TimePoint Now);

struct PeerEntry {
  EntryReport Last;
  SocketAddress Address;
  TimePoint HeardAt{};    // time point zero: never
  TimePoint HeardSince{}; // without a gap above GossipSettings::LoadMaxAge
};

struct GossipSettings {
  // Each entry sends to every other one this often. More entries send less
  // often, so that an entry's messages a second stay bounded.
  Duration Period = milliseconds(200);
  int EntriesAtPeriod = 10;
  // Loads older than this are not counted.
  Duration LoadMaxAge = milliseconds(1'000);
};

class PeerGossip {
public:
  // Fill returns the current report; OnReport is called with each new one.
  PeerGossip(asio::io_context &Context, TimerService &Timers,
             GossipSettings Settings, std::function<EntryReport()> Fill,
             std::function<void(const EntryReport &)> OnReport);

  // Fails with InvalidSettings.
  Result<void> listen(const SocketAddress &Own);

  // Adds entries that the platform's store lists.
  void addPeer(const EntryId &Entry, const SocketAddress &Address);

  const std::map<EntryId, PeerEntry> &peers() const { return Peers; }

  // Returns what the other entries run, by their recent reports.
  std::map<UpstreamKey, UpstreamLoad> loadElsewhere() const;
  // Returns since when some entry of Zone has been heard without a gap, or
  // nothing if none is heard now.
  std::optional<TimePoint> zoneHeardSince(const ZoneId &Zone) const;
  // Returns the instances that some other entry reached recently.
  std::set<InstanceId> reachedElsewhere() const;

private:
  void receive();
  void received(std::size_t Size);
  void send();

  TimerService &Timers;
  GossipSettings Settings;
  std::function<EntryReport()> Fill;
  std::function<void(const EntryReport &)> OnReport;
  asio::ip::udp::socket Socket;
  asio::ip::udp::endpoint Sender;
  std::array<char, 65'536> Buffer;
  std::map<EntryId, PeerEntry> Peers;
  TimerSubscription Timer;
  std::uint64_t Sequence = 0;
  int Skipped = 0;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PEERGOSSIP_H
