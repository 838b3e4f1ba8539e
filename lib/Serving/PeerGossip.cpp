#include "samphirehill/Serving/PeerGossip.h"

#include <asio/buffer.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {
namespace {

// News of this time are sent together.
constexpr Duration SoonDelay = milliseconds(20);

} // namespace

PeerGossip::PeerGossip(asio::io_context &Context, TimerService &Timers,
                       EntryDescription Own, PeerSettings Settings,
                       std::function<EntryReport()> MakeReport,
                       std::function<std::vector<ListChange>()> ChangesToSend,
                       std::function<void(const EntryReport &)> OnReport)
    : Timers(Timers), MakeReport(std::move(MakeReport)),
      ChangesToSend(std::move(ChangesToSend)), OnReport(std::move(OnReport)),
      Socket(Context) {
  Table.Settings = Settings;
  Table.Self = std::move(Own.Entry);
  Table.Zone = std::move(Own.Zone);
  Table.ProcessorShare = Own.ProcessorShare;
}

Result<void> PeerGossip::listen(const SocketAddress &Own) {
  std::error_code SocketError;
  asio::ip::address HostAddress = asio::ip::make_address(Own.Host, SocketError);
  asio::ip::udp::endpoint Endpoint(HostAddress, Own.Port);
  if (!SocketError)
    Socket.open(Endpoint.protocol(), SocketError);
  if (!SocketError)
    Socket.bind(Endpoint, SocketError);
  if (SocketError)
    return fail(ResultCode::InvalidSettings, "cannot receive datagrams at " +
                                                 Own.str() + ": " +
                                                 SocketError.message());
  startReceive();
  Timer = Timers.every(Table.Settings.Period, [this] { sendReports(); });
  return {};
}

void PeerGossip::addPeer(const EntryDescription &Listed) {
  PeerEntry &Peer = addListedPeer(Table, Listed.Entry, Timers.now());
  Peer.Zone = Listed.Zone;
  Peer.Address = Listed.Address;
  Peer.ProcessorShare = Listed.ProcessorShare;
}

void PeerGossip::sendSoon() {
  if (SoonTimer.active())
    return;
  SoonTimer = Timers.after(SoonDelay, [this] {
    SoonTimer.cancel();
    sendReports();
  });
}

void PeerGossip::startReceive() {
  Socket.async_receive_from(
      asio::buffer(Buffer), Sender,
      [this](std::error_code SocketError, std::size_t Size) {
        if (SocketError == asio::error::operation_aborted)
          return;
        if (!SocketError)
          handleDatagram(Size);
        startReceive();
      });
}

void PeerGossip::handleDatagram(std::size_t Size) {
  TimePoint Now = Timers.now();
  std::optional<EntryMessage> Message =
      decodeMessage(std::string(Buffer.data(), Size), Now);
  if (!Message) {
    spdlog::warn("event=peer_message_unreadable bytes={}", Size);
    return;
  }
  noteContact(Message->Own);
  SocketAddress From{Sender.address().to_string(), Sender.port()};
  for (const EntryReport &Each : applyMessage(Table, *Message, From, Now))
    OnReport(Each);
}

void PeerGossip::noteContact(const EntryReport &Sender) {
  TimePoint Now = Timers.now();
  auto Known = Table.Peers.find(Sender.Entry);
  bool IsNew = Known == Table.Peers.end() ||
               Known->second.LastReport.Life != Sender.Life;
  if (IsNew)
    spdlog::info("event=peer_heard entry={} zone={}", Sender.Entry.str(),
                 Sender.Zone.str());
  if (!IsNew && Now - Known->second.LastReportAt <= Table.Settings.MaxReportAge)
    return;
  ContactGainedAt = Now;
  sendSoon();
}

void PeerGossip::sendReports() {
  TimePoint Now = Timers.now();
  EntryReport Own = MakeReport();
  Own.Sequence = ++Sequence;
  std::vector<EntryId> RelaysBefore = Table.CurrentRelays;
  std::vector<PlannedMessage> Plan = planMessages(Table, Own, Now);
  if (Table.CurrentRelays != RelaysBefore)
    logRelays();
  for (PlannedMessage &Each : Plan) {
    if (Each.To.empty())
      continue;
    if (Each.ToFollowers)
      Each.Message.Own.Changes = ChangesToSend();
    std::string Bytes = encodeMessage(Each.Message, Now);
    for (const EntryId &Entry : Each.To)
      sendTo(Entry, Bytes);
  }
}

void PeerGossip::logRelays() const {
  std::string Names;
  for (const EntryId &Each : Table.CurrentRelays)
    Names += (Names.empty() ? "" : ",") + Each.str();
  spdlog::info("event=relays relays=\"{}\" peers={}", Names,
               Table.Peers.size());
}

void PeerGossip::sendTo(const EntryId &Entry, const std::string &Bytes) {
  PeerEntry &Peer = Table.Peers.at(Entry);
  const SocketAddress &Address = Peer.Address;
  std::error_code SocketError;
  asio::ip::address HostAddress =
      asio::ip::make_address(Address.Host, SocketError);
  if (!SocketError)
    Socket.send_to(asio::buffer(Bytes),
                   asio::ip::udp::endpoint(HostAddress, Address.Port), 0,
                   SocketError);
  if (SocketError && !Peer.LastSendFailed)
    spdlog::warn("event=peer_send_failed entry={} bytes={} error=\"{}\"",
                 Entry.str(), Bytes.size(), SocketError.message());
  Peer.LastSendFailed = static_cast<bool>(SocketError);
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
  // Reports arrive directly, or through relays of this zone, which get those of
  // other zones from the relays there.
  int Steps = usesRelays() ? 4 : 1;
  return Steps * Table.Settings.Period / 2;
}

std::map<UpstreamKey, UpstreamLoad> PeerGossip::loadOfOtherEntries() const {
  return serving::loadOfOtherEntries(Table, Timers.now());
}

std::map<ServiceModel, double> PeerGossip::demandOfOtherEntries() const {
  return serving::demandOfOtherEntries(Table, Timers.now());
}

std::map<ServiceModel, ReturnLoad> PeerGossip::returnsOfOtherEntries() const {
  return serving::returnsOfOtherEntries(Table, Timers.now());
}

std::optional<TimePoint>
PeerGossip::zoneContactSince(const ZoneId &Zone) const {
  return serving::zoneContactSince(Table, Zone, Timers.now());
}

ReachCensus PeerGossip::takeCensus() const {
  return serving::takeCensus(Table, Timers.now());
}

std::set<UpstreamKey> PeerGossip::stalledForOtherEntries() const {
  return serving::stalledForOtherEntries(Table, Timers.now());
}

} // namespace samphirehill::serving
