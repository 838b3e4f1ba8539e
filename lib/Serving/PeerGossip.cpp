#include "samphirehill/Serving/PeerGossip.h"

#include "generated/entry_state.pb.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {

std::string encodeReport(const EntryReport &Report, TimePoint Now) {
  wire::EntryState State;
  State.set_entry(Report.Entry.str());
  State.set_incarnation(Report.Life);
  State.set_sequence(Report.Sequence);
  State.set_zone(Report.Zone.str());
  State.set_configuration_version(Report.ConfigurationVersion);
  State.set_duty_term(Report.DutyTerm);
  State.set_duty_renewal(Report.DutyRenewal);
  std::set<UpstreamKey> Keys = Report.Stalled;
  for (const auto &[Key, Load] : Report.Loads)
    Keys.insert(Key);
  for (const UpstreamKey &Key : Keys) {
    wire::UpstreamLoad &Load = *State.add_loads();
    auto Found = Report.Loads.find(Key);
    UpstreamLoad Own =
        Found == Report.Loads.end() ? UpstreamLoad{} : Found->second;
    Load.set_instance(Key.Instance.str());
    Load.set_epoch(Key.Epoch);
    Load.set_running(static_cast<std::uint32_t>(Own.Running));
    Load.set_pending_tokens(static_cast<std::uint32_t>(Own.PendingTokens));
    Load.set_stalled(Report.Stalled.contains(Key));
  }
  for (const BreakOff &Each : Report.BreakOffs) {
    wire::BreakOff &Added = *State.add_break_offs();
    Added.set_request(Each.Request);
    Added.set_upstream(Each.Upstream);
    Added.set_age_ms(
        static_cast<std::uint32_t>(toMilliseconds(Now - Each.SeenAt)));
  }
  for (const InstanceId &Each : Report.Reached)
    State.add_reached(Each.str());
  return State.SerializeAsString();
}

std::optional<EntryReport> decodeReport(const std::string &Bytes,
                                        TimePoint Now) {
  wire::EntryState State;
  if (!State.ParseFromString(Bytes) || State.entry().empty())
    return std::nullopt;
  EntryReport Report;
  Report.Entry = EntryId(State.entry());
  Report.Life = State.incarnation();
  Report.Sequence = State.sequence();
  Report.Zone = ZoneId(State.zone());
  Report.ConfigurationVersion = State.configuration_version();
  Report.DutyTerm = State.duty_term();
  Report.DutyRenewal = State.duty_renewal();
  for (const wire::UpstreamLoad &Each : State.loads()) {
    UpstreamKey Key{InstanceId(Each.instance()), Each.epoch()};
    if (Each.running() > 0)
      Report.Loads[Key] = {static_cast<int>(Each.running()),
                           Each.pending_tokens()};
    if (Each.stalled())
      Report.Stalled.insert(Key);
  }
  for (const wire::BreakOff &Each : State.break_offs())
    Report.BreakOffs.push_back(
        {Each.request(), Each.upstream(), Now - milliseconds(Each.age_ms())});
  for (const std::string &Each : State.reached())
    Report.Reached.insert(InstanceId(Each));
  return Report;
}

PeerGossip::PeerGossip(asio::io_context &Context, TimerService &Timers,
                       GossipSettings Settings,
                       std::function<EntryReport()> Fill,
                       std::function<void(const EntryReport &)> OnReport)
    : Timers(Timers), Settings(Settings), Fill(std::move(Fill)),
      OnReport(std::move(OnReport)), Socket(Context) {}

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
  Timer = Timers.every(Settings.Period, [this] { send(); });
  return {};
}

void PeerGossip::addPeer(const EntryId &Entry, const SocketAddress &Address) {
  Peers[Entry].Address = Address;
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
  std::optional<EntryReport> Report =
      decodeReport(std::string(Buffer.data(), Size), Now);
  if (!Report) {
    spdlog::warn("event=peer_message_unreadable bytes={}", Size);
    return;
  }
  auto [Found, Added] = Peers.try_emplace(Report->Entry);
  PeerEntry &Peer = Found->second;
  bool Newer =
      Added || Report->Life > Peer.Last.Life ||
      (Report->Life == Peer.Last.Life && Report->Sequence > Peer.Last.Sequence);
  if (!Newer)
    return;
  if (Report->Life != Peer.Last.Life)
    spdlog::info("event=peer_heard entry={} zone={}", Report->Entry.str(),
                 Report->Zone.str());
  Peer.Address = {Sender.address().to_string(), Sender.port()};
  if (Now - Peer.HeardAt > Settings.LoadMaxAge)
    Peer.HeardSince = Now;
  Peer.HeardAt = Now;
  Peer.Last = std::move(*Report);
  OnReport(Peer.Last);
}

void PeerGossip::send() {
  int Rounds = 1 + static_cast<int>(Peers.size()) / Settings.EntriesAtPeriod;
  if (++Skipped < Rounds)
    return;
  Skipped = 0;
  EntryReport Report = Fill();
  Report.Sequence = ++Sequence;
  std::string Bytes = encodeReport(Report, Timers.now());
  for (const auto &[Entry, Peer] : Peers) {
    std::error_code Failed;
    asio::ip::address Number =
        asio::ip::make_address(Peer.Address.Host, Failed);
    if (!Failed)
      Socket.send_to(asio::buffer(Bytes),
                     asio::ip::udp::endpoint(Number, Peer.Address.Port), 0,
                     Failed);
    if (Failed)
      spdlog::debug("event=peer_send_failed entry={} error=\"{}\"", Entry.str(),
                    Failed.message());
  }
}

std::map<UpstreamKey, UpstreamLoad> PeerGossip::loadElsewhere() const {
  TimePoint Now = Timers.now();
  std::map<UpstreamKey, UpstreamLoad> Sum;
  for (const auto &[Entry, Peer] : Peers) {
    if (Now - Peer.HeardAt > Settings.LoadMaxAge)
      continue;
    for (const auto &[Key, Load] : Peer.Last.Loads) {
      Sum[Key].Running += Load.Running;
      Sum[Key].PendingTokens += Load.PendingTokens;
    }
  }
  return Sum;
}

std::optional<TimePoint> PeerGossip::zoneHeardSince(const ZoneId &Zone) const {
  TimePoint Now = Timers.now();
  std::optional<TimePoint> Since;
  for (const auto &[Entry, Peer] : Peers) {
    if (Peer.Last.Zone != Zone || Now - Peer.HeardAt > Settings.LoadMaxAge)
      continue;
    Since = Since ? std::min(*Since, Peer.HeardSince) : Peer.HeardSince;
  }
  return Since;
}

std::set<InstanceId> PeerGossip::reachedElsewhere() const {
  TimePoint Now = Timers.now();
  std::set<InstanceId> All;
  for (const auto &[Entry, Peer] : Peers) {
    if (Now - Peer.HeardAt <= Settings.LoadMaxAge)
      All.insert(Peer.Last.Reached.begin(), Peer.Last.Reached.end());
  }
  return All;
}

} // namespace samphirehill::serving
