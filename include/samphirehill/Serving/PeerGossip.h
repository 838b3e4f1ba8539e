// Tells the other entries, by datagrams, what this one runs and sees, and keeps
// what they tell. All of it is soft state: it replaces itself and ages out.
// PeerTable decides who is told what.
#ifndef SAMPHIREHILL_SERVING_PEERGOSSIP_H
#define SAMPHIREHILL_SERVING_PEERGOSSIP_H

#include "samphirehill/Core/Result.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/PeerTable.h"

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

// An entry as it makes itself known.
struct EntryDescription {
  EntryId Entry;
  ZoneId Zone;
  SocketAddress Address;     // for datagrams
  double ProcessorShare = 0; // cores
};

class PeerGossip {
public:
  // Own names this entry. Fill returns the current report, NewChanges the
  // changes of the list for entries that follow this one; OnReport is called
  // with each new report, of an entry or the summary of a zone.
  PeerGossip(asio::io_context &Context, TimerService &Timers,
             EntryDescription Own, PeerSettings Settings,
             std::function<EntryReport()> Fill,
             std::function<std::vector<ListChange>()> NewChanges,
             std::function<void(const EntryReport &)> OnReport);

  // Fails with InvalidSettings.
  Result<void> listen(const SocketAddress &Own);

  // Adds an entry that the platform's store lists.
  void addPeer(const EntryDescription &Listed);

  const std::map<EntryId, PeerEntry> &peers() const { return Table.Peers; }

  // See PeerTable.
  bool isListRelayed() const;
  bool isRelayCandidate() const;
  // Returns whether entries tell each other through relays.
  bool usesRelays() const;
  // Returns how old the other entries' load is in the mean: half a period from
  // each that tells it on.
  Duration meanLoadAge() const;
  std::map<UpstreamKey, UpstreamLoad> loadOfOtherEntries() const;
  std::map<ServiceModel, double> demandOfOtherEntries() const;
  std::optional<TimePoint> zoneContactSince(const ZoneId &Zone) const;
  std::set<InstanceId> reachedByOtherEntries() const;
  std::set<UpstreamKey> stalledForOtherEntries() const;

private:
  void receive();
  void received(std::size_t Size);
  void send();
  void noteRelays() const;
  void sendTo(const EntryId &Entry, const std::string &Bytes);

  TimerService &Timers;
  std::function<EntryReport()> Fill;
  std::function<std::vector<ListChange>()> NewChanges;
  std::function<void(const EntryReport &)> OnReport;
  asio::ip::udp::socket Socket;
  asio::ip::udp::endpoint Sender;
  std::array<char, 65'536> Buffer;
  PeerTable Table;
  TimerSubscription Timer;
  std::uint64_t Sequence = 0;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PEERGOSSIP_H
