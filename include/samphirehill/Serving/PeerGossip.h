// Exchanges reports with the other entries by UDP datagrams and keeps the last
// ones received. Reports are soft state: each one replaces the one before, and
// old ones expire, so lost datagrams need not be repeated. PeerTable decides
// which reports are sent to which entries.
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

// What an entry publishes about itself in the platform's store.
struct EntryDescription {
  EntryId Entry;
  ZoneId Zone;
  SocketAddress Address;     // where the entry receives datagrams
  double ProcessorShare = 0; // cores
};

class PeerGossip {
public:
  // Own describes this entry. MakeReport returns this entry's current report,
  // ChangesToSend the changes of the list to send to this entry's followers.
  // OnReport is called with each newer report that arrives, of an entry or the
  // summary of zones.
  PeerGossip(asio::io_context &Context, TimerService &Timers,
             EntryDescription Own, PeerSettings Settings,
             std::function<EntryReport()> MakeReport,
             std::function<std::vector<ListChange>()> ChangesToSend,
             std::function<void(const EntryReport &)> OnReport);

  // Starts to receive at Own and to send periodically. Fails with
  // InvalidSettings.
  Result<void> listen(const SocketAddress &Own);

  // Adds an entry that the platform's store lists.
  void addPeer(const EntryDescription &Listed);

  // Sets the era of the platform's store as this entry knows it.
  void setStoreEra(std::int64_t Era) { Table.StoreEra = Era; }

  // Sends a report soon, ahead of the next period. For news that other entries
  // need at once.
  void sendSoon();

  const std::map<EntryId, PeerEntry> &peers() const { return Table.Peers; }
  const PeerTable &table() const { return Table; }

  // Returns when a peer was last heard that has started since, or from which no
  // report had come for a while: it may lack what was sent meanwhile.
  TimePoint contactGainedAt() const { return ContactGainedAt; }

  // See PeerTable.
  bool isListRelayed() const;
  bool isRelayCandidate() const;
  // Returns whether reports are sent through relays.
  bool usesRelays() const;
  // Returns the mean age of what is known of the other entries' load: half a
  // period for each sender that the reports pass through.
  Duration meanLoadAge() const;
  std::map<UpstreamKey, UpstreamLoad> loadOfOtherEntries() const;
  std::map<ServiceModel, double> demandOfOtherEntries() const;
  WorkAsked workOfOtherEntries() const;
  std::map<ServiceModel, WorkByClaim> claimsOfOtherEntries() const;
  std::optional<TimePoint> zoneContactSince(const ZoneId &Zone) const;
  ReachCensus takeCensus() const;
  std::set<UpstreamKey> stalledForOtherEntries() const;

private:
  void startReceive();
  void handleDatagram(std::size_t Size);
  // Notes whether contact with Sender begins, or begins again, with its report.
  void noteContact(const EntryReport &Sender);
  void sendReports();
  void logRelays() const;
  void sendTo(const EntryId &Entry, const std::string &Bytes);

  TimerService &Timers;
  TimerSubscription SoonTimer;
  std::function<EntryReport()> MakeReport;
  std::function<std::vector<ListChange>()> ChangesToSend;
  std::function<void(const EntryReport &)> OnReport;
  asio::ip::udp::socket Socket;
  asio::ip::udp::endpoint Sender;
  std::array<char, 65'536> Buffer;
  PeerTable Table;
  TimerSubscription Timer;
  std::uint64_t Sequence = 0;
  TimePoint ContactGainedAt{};
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PEERGOSSIP_H
