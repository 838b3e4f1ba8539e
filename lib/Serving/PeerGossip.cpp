#include "samphirehill/Serving/PeerGossip.h"

#include <asio/buffer.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {

PeerGossip::PeerGossip(asio::io_context &Context, TimerService &Timers,
                       EntryDescription Own, PeerSettings Settings,
                       std::function<EntryReport()> Fill,
                       std::function<std::vector<ListChange>()> NewChanges,
                       std::function<void(const EntryReport &)> OnReport)
    : Timers(Timers), Fill(std::move(Fill)), NewChanges(std::move(NewChanges)),
      OnReport(std::move(OnReport)), Socket(Context) {
  Table.Settings = Settings;
  Table.Self = std::move(Own.Entry);
  Table.Zone = std::move(Own.Zone);
  Table.ProcessorShare = Own.ProcessorShare;
}

Result<void> PeerGossip::listen(const SocketAddress &Own) {
  std::error_code Failed;
  asio::ip::address Number = asio::ip::make_address(Own.Host, Failed);
  asio::ip::udp::endpoint Endpoint(Number, Own.Port);
  if (!Failed)
    Socket.open(Endpoint.protocol(), Failed);
  if (!Failed)
    Socket.bind(Endpoint, Failed);
  if (Failed)
    return fail(ResultCode::InvalidSettings, "cannot receive datagrams at " +
                                                 Own.str() + ": " +
                                                 Failed.message());
  receive();
  Timer = Timers.every(Table.Settings.Period, [this] { send(); });
  return {};
}

void PeerGossip::addPeer(const EntryDescription &Listed) {
  PeerEntry &Peer = Table.Peers[Listed.Entry];
  Peer.Zone = Listed.Zone;
  Peer.Address = Listed.Address;
  Peer.ProcessorShare = Listed.ProcessorShare;
}

void PeerGossip::receive() {
  Socket.async_receive_from(asio::buffer(Buffer), Sender,
                            [this](std::error_code Failed, std::size_t Size) {
                              if (Failed == asio::error::operation_aborted)
                                return;
                              if (!Failed)
                                received(Size);
                              receive();
                            });
}

void PeerGossip::received(std::size_t Size) {
  TimePoint Now = Timers.now();
  std::optional<EntryMessage> Message =
      decodeMessage(std::string(Buffer.data(), Size), Now);
  if (!Message) {
    spdlog::warn("event=peer_message_unreadable bytes={}", Size);
    return;
  }
  const EntryReport &Own = Message->Own;
  auto Known = Table.Peers.find(Own.Entry);
  if (Known == Table.Peers.end() || Known->second.LastReport.Life != Own.Life)
    spdlog::info("event=peer_heard entry={} zone={}", Own.Entry.str(),
                 Own.Zone.str());
  SocketAddress From{Sender.address().to_string(), Sender.port()};
  for (const EntryReport &Each : applyMessage(Table, *Message, From, Now))
    OnReport(Each);
}

void PeerGossip::send() {
  TimePoint Now = Timers.now();
  EntryReport Own = Fill();
  Own.Sequence = ++Sequence;
  std::vector<EntryId> Before = Table.CurrentRelays;
  std::vector<PlannedMessage> Plan = planMessages(Table, Own, Now);
  if (Table.CurrentRelays != Before)
    noteRelays();
  for (PlannedMessage &Each : Plan) {
    if (Each.To.empty())
      continue;
    if (Each.ToFollowers)
      Each.Message.Own.Changes = NewChanges();
    std::string Bytes = encodeMessage(Each.Message, Now);
    for (const EntryId &Entry : Each.To)
      sendTo(Entry, Bytes);
  }
}

void PeerGossip::noteRelays() const {
  std::string Names;
  for (const EntryId &Each : Table.CurrentRelays)
    Names += (Names.empty() ? "" : ",") + Each.str();
  spdlog::info("event=relays relays=\"{}\" peers={}", Names,
               Table.Peers.size());
}

void PeerGossip::sendTo(const EntryId &Entry, const std::string &Bytes) {
  PeerEntry &Peer = Table.Peers.at(Entry);
  const SocketAddress &Address = Peer.Address;
  std::error_code Failed;
  asio::ip::address Number = asio::ip::make_address(Address.Host, Failed);
  if (!Failed)
    Socket.send_to(asio::buffer(Bytes),
                   asio::ip::udp::endpoint(Number, Address.Port), 0, Failed);
  if (Failed && !Peer.LastSendFailed)
    spdlog::warn("event=peer_send_failed entry={} bytes={} error=\"{}\"",
                 Entry.str(), Bytes.size(), Failed.message());
  Peer.LastSendFailed = static_cast<bool>(Failed);
}

bool PeerGossip::isListRelayed() const {
  return serving::isListRelayed(Table, Timers.now());
}

bool PeerGossip::isRelayCandidate() const {
  return serving::isRelayCandidate(Table, Timers.now());
}

bool PeerGossip::usesRelays() const {
  return Table.Peers.size() >= Table.Settings.MaxDirectEntries;
}

Duration PeerGossip::meanLoadAge() const {
  if (Table.Peers.empty())
    return Duration::zero();
  // Told at once; by relays of this zone; by those of another before.
  int Steps = usesRelays() ? 4 : 1;
  return Steps * Table.Settings.Period / 2;
}

std::map<UpstreamKey, UpstreamLoad> PeerGossip::loadOfOtherEntries() const {
  return serving::loadOfOtherEntries(Table, Timers.now());
}

std::map<ServiceModel, double> PeerGossip::demandOfOtherEntries() const {
  return serving::demandOfOtherEntries(Table, Timers.now());
}

std::optional<TimePoint>
PeerGossip::zoneContactSince(const ZoneId &Zone) const {
  return serving::zoneContactSince(Table, Zone, Timers.now());
}

std::set<InstanceId> PeerGossip::reachedByOtherEntries() const {
  return serving::reachedByOtherEntries(Table, Timers.now());
}

std::set<UpstreamKey> PeerGossip::stalledForOtherEntries() const {
  return serving::stalledForOtherEntries(Table, Timers.now());
}

} // namespace samphirehill::serving
