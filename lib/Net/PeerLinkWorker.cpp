#include "PeerLinkWorker.h"

#include "peer.pb.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <cstring>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill {
namespace {

constexpr std::size_t KeyBytes = 32;
constexpr std::size_t KeyTextBytes = 40; // Z85
constexpr int ReconnectMs = 100;
constexpr int MaxReconnectMs = 2000;
constexpr int HandshakeMs = 3000;
// Closes connections whose other end vanished without closing them.
constexpr int KeepAliveMs = 1000;
constexpr int KeepAliveTimeoutMs = 3000;
// Lets outgoing messages have their turn under a flood of incoming ones.
constexpr int MaxReceivedPerTurn = 256;
constexpr const char *AuthenticationAddress = "inproc://zeromq.zap.01";
constexpr const char *MonitorAddress = "inproc://monitor";
constexpr const char *WakeAddress = "inproc://wake";
constexpr int RefusedEvents = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                              ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                              ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;

int hexDigit(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

// Port 0 means a free one, which ZeroMQ writes as *.
std::string bindEndpoint(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon != std::string::npos && Address.substr(Colon) == ":0")
    return "tcp://" + Address.substr(0, Colon) + ":*";
  return "tcp://" + Address;
}

void setCommonOptions(zmq::socket_t &Socket, std::size_t MaxQueued) {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::ipv6, true);
  Socket.set(zmq::sockopt::sndhwm, static_cast<int>(MaxQueued));
  Socket.set(zmq::sockopt::rcvhwm, static_cast<int>(MaxQueued));
  Socket.set(zmq::sockopt::handshake_ivl, HandshakeMs);
  Socket.set(zmq::sockopt::heartbeat_ivl, KeepAliveMs);
  Socket.set(zmq::sockopt::heartbeat_timeout, KeepAliveTimeoutMs);
}

std::vector<zmq::message_t> receiveFrames(zmq::socket_t &Socket) {
  std::vector<zmq::message_t> Frames;
  do {
    zmq::message_t Frame;
    if (!Socket.recv(Frame, zmq::recv_flags::dontwait))
      break;
    Frames.push_back(std::move(Frame));
  } while (Frames.back().more());
  return Frames;
}

} // namespace

Result<PeerKeys> parsePeerKey(const std::string &KeyHex) {
  std::array<std::uint8_t, KeyBytes> Secret{};
  bool Valid = KeyHex.size() == 2 * KeyBytes;
  for (std::size_t I = 0; Valid && I < KeyBytes; ++I) {
    int High = hexDigit(KeyHex[2 * I]);
    int Low = hexDigit(KeyHex[2 * I + 1]);
    Valid = High >= 0 && Low >= 0;
    Secret[I] = static_cast<std::uint8_t>(High * 16 + Low);
  }
  if (!Valid)
    return fail(ResultCode::InvalidSettings,
                "the peer key must be 64 hexadecimal digits");
  std::array<char, KeyTextBytes + 1> SecretText{};
  std::array<char, KeyTextBytes + 1> PublicText{};
  if (zmq_z85_encode(SecretText.data(), Secret.data(), KeyBytes) == nullptr ||
      zmq_curve_public(PublicText.data(), SecretText.data()) != 0)
    return fail(ResultCode::Internal, "ZeroMQ was built without CURVE");
  return PeerKeys{PublicText.data(), SecretText.data()};
}

PeerLink::Worker::Worker(asio::io_context &Context, PeerLinkSettings Settings,
                         Handler Receive)
    : Context(Context), Settings(std::move(Settings)),
      Receive(std::move(Receive)) {}

Result<void> PeerLink::Worker::bind(const PeerKeys &Pair) {
  Keys = Pair;
  try {
    WakeReader = zmq::socket_t(Sockets, zmq::socket_type::pair);
    WakeReader.bind(WakeAddress);
    WakeWriter = zmq::socket_t(Sockets, zmq::socket_type::pair);
    WakeWriter.set(zmq::sockopt::linger, 0);
    WakeWriter.connect(WakeAddress);
    // Must be bound before the first connection is accepted.
    Authenticator = zmq::socket_t(Sockets, zmq::socket_type::rep);
    Authenticator.set(zmq::sockopt::linger, 0);
    Authenticator.bind(AuthenticationAddress);
    Router = zmq::socket_t(Sockets, zmq::socket_type::router);
    setCommonOptions(Router, Settings.MaxQueued);
    Router.set(zmq::sockopt::maxmsgsize,
               static_cast<std::int64_t>(Settings.MaxMessageBytes));
    Router.set(zmq::sockopt::zap_domain, "peers");
    Router.set(zmq::sockopt::curve_server, true);
    Router.set(zmq::sockopt::curve_secretkey, Keys.Secret);
    if (zmq_socket_monitor(Router.handle(), MonitorAddress, RefusedEvents) != 0)
      return fail(ResultCode::Internal, "the socket monitor didn't start");
    Monitor = zmq::socket_t(Sockets, zmq::socket_type::pair);
    Monitor.set(zmq::sockopt::linger, 0);
    Monitor.connect(MonitorAddress);
    Router.bind(bindEndpoint(Settings.BindAddress));
    Address = Router.get(zmq::sockopt::last_endpoint);
    Address.erase(0, std::strlen("tcp://"));
  } catch (const zmq::error_t &Caught) {
    bool BadAddress = Caught.num() == EINVAL || Caught.num() == ENODEV;
    return fail(BadAddress ? ResultCode::InvalidSettings
                           : ResultCode::ConnectFailed,
                "peer address " + Settings.BindAddress + ": " + Caught.what());
  }
  return {};
}

void PeerLink::Worker::start() {
  Thread = std::thread([this] { run(); });
}

void PeerLink::Worker::stop() {
  Stopped = true;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  wake();
  if (Thread.joinable())
    Thread.join();
  // Closed here and not with the last reference, which a posted call of the
  // handler may hold: the bound port is free once stop() has returned.
  Connections.clear();
  for (zmq::socket_t *Socket :
       {&Router, &Authenticator, &Monitor, &WakeReader, &WakeWriter})
    Socket->close();
  Sockets.close();
}

void PeerLink::Worker::wake() {
  // A full pipe holds enough wake-ups already.
  try {
    WakeWriter.send(zmq::message_t(), zmq::send_flags::dontwait);
  } catch (const zmq::error_t &Caught) {
    spdlog::error("peer link: wake-up failed: {}", Caught.what());
  }
}

void PeerLink::Worker::setPeers(std::vector<PeerAddress> Peers) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    NewPeers = std::move(Peers);
  }
  wake();
}

bool PeerLink::Worker::send(const EntryId &To, peer::Envelope Message) {
  Message.set_sender(Settings.Self.str());
  Message.set_incarnation(Settings.Started);
  Message.set_sequence(++Sequence);
  Outgoing Next{To, Message.SerializeAsString()};
  bool First = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopping || Queue.size() >= Settings.MaxQueued ||
        Next.Bytes.size() > Settings.MaxMessageBytes) {
      ++DroppedSending;
      return false;
    }
    First = Queue.empty();
    Queue.push_back(std::move(Next));
  }
  if (First)
    wake();
  return true;
}

PeerLinkCounters PeerLink::Worker::counters() const {
  return {SentMessages,  SentBytes,         ReceivedMessages,
          ReceivedBytes, DroppedSending,    DroppedReceiving,
          Malformed,     RefusedConnections};
}

void PeerLink::Worker::run() {
  std::array<zmq::pollitem_t, 4> Items{{
      {WakeReader.handle(), 0, ZMQ_POLLIN, 0},
      {Router.handle(), 0, ZMQ_POLLIN, 0},
      {Authenticator.handle(), 0, ZMQ_POLLIN, 0},
      {Monitor.handle(), 0, ZMQ_POLLIN, 0},
  }};
  while (true) {
    try {
      zmq::poll(Items.data(), Items.size(), std::chrono::milliseconds(-1));
      if ((Items[0].revents & ZMQ_POLLIN) != 0) {
        while (!receiveFrames(WakeReader).empty())
          continue;
        handleCommands();
      }
      if ((Items[1].revents & ZMQ_POLLIN) != 0)
        receiveAll();
      if ((Items[2].revents & ZMQ_POLLIN) != 0)
        answerAuthentication();
      if ((Items[3].revents & ZMQ_POLLIN) != 0)
        readMonitor();
    } catch (const zmq::error_t &Caught) {
      if (Caught.num() != EINTR)
        spdlog::error("peer link: {}", Caught.what());
    }
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopping)
      return;
  }
}

void PeerLink::Worker::handleCommands() {
  std::deque<Outgoing> Batch;
  std::optional<std::vector<PeerAddress>> Peers;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Batch.swap(Queue);
    Peers.swap(NewPeers);
  }
  if (Peers)
    connectPeers(*Peers);
  for (Outgoing &Message : Batch)
    transmit(Message);
}

void PeerLink::Worker::connectPeers(const std::vector<PeerAddress> &Wanted) {
  std::map<EntryId, std::string> Addresses;
  for (const PeerAddress &Peer : Wanted)
    if (Peer.Entry != Settings.Self)
      Addresses[Peer.Entry] = Peer.Address;
  for (auto Next = Connections.begin(); Next != Connections.end();) {
    auto Current = Next++;
    auto Found = Addresses.find(Current->first);
    if (Found == Addresses.end() || Found->second != Current->second.Address)
      Connections.erase(Current);
  }
  for (const auto &[Entry, Peer] : Addresses) {
    if (Connections.count(Entry) != 0)
      continue;
    try {
      Connections.emplace(Entry, Connection{Peer, connect(Peer)});
    } catch (const zmq::error_t &Caught) {
      spdlog::error("peer link: entry {} at {}: {}", Entry.str(), Peer,
                    Caught.what());
    }
  }
}

zmq::socket_t PeerLink::Worker::connect(const std::string &Peer) {
  zmq::socket_t Socket(Sockets, zmq::socket_type::dealer);
  setCommonOptions(Socket, Settings.MaxQueued);
  // Without a connection messages are dropped at once: a dead peer must not
  // get minutes-old heartbeats and calls when it returns.
  Socket.set(zmq::sockopt::immediate, true);
  Socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
  Socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMs);
  Socket.set(zmq::sockopt::curve_serverkey, Keys.Public);
  Socket.set(zmq::sockopt::curve_publickey, Keys.Public);
  Socket.set(zmq::sockopt::curve_secretkey, Keys.Secret);
  Socket.connect("tcp://" + Peer);
  return Socket;
}

void PeerLink::Worker::transmit(Outgoing &Message) {
  auto Found = Connections.find(Message.To);
  if (Found == Connections.end() ||
      !Found->second.Socket.send(zmq::buffer(Message.Bytes),
                                 zmq::send_flags::dontwait)) {
    ++DroppedSending;
    return;
  }
  ++SentMessages;
  SentBytes += Message.Bytes.size();
}

void PeerLink::Worker::receiveAll() {
  for (int I = 0; I < MaxReceivedPerTurn; ++I) {
    std::vector<zmq::message_t> Frames = receiveFrames(Router);
    if (Frames.empty())
      return;
    if (Frames.size() != 2) { // routing id, payload
      ++Malformed;
      continue;
    }
    receiveOne(Frames[1]);
  }
}

void PeerLink::Worker::receiveOne(const zmq::message_t &Payload) {
  if (Waiting >= Settings.MaxQueued) {
    ++DroppedReceiving;
    return;
  }
  auto Message = std::make_shared<peer::Envelope>();
  if (!Message->ParseFromArray(Payload.data(),
                               static_cast<int>(Payload.size())) ||
      Message->sender().empty()) {
    ++Malformed;
    return;
  }
  ++ReceivedMessages;
  ReceivedBytes += Payload.size();
  ++Waiting;
  asio::post(Context, [Self = shared_from_this(), Message] {
    --Self->Waiting;
    if (!Self->Stopped)
      Self->Receive(*Message);
  });
}

// Answers ZeroMQ's authentication requests (ZAP, RFC 27). The frames are
// version, request id, domain, address, identity, mechanism, client key.
void PeerLink::Worker::answerAuthentication() {
  std::vector<zmq::message_t> Frames = receiveFrames(Authenticator);
  if (Frames.size() < 2)
    return;
  std::array<std::uint8_t, KeyBytes> Accepted{};
  zmq_z85_decode(Accepted.data(), Keys.Public.c_str());
  bool Allowed = Frames.size() == 7 && Frames[5].to_string_view() == "CURVE" &&
                 Frames[6].size() == KeyBytes &&
                 std::memcmp(Frames[6].data(), Accepted.data(), KeyBytes) == 0;
  const std::array<std::string, 6> Answer{"1.0",
                                          Frames[1].to_string(),
                                          Allowed ? "200" : "400",
                                          Allowed ? "" : "the peer key differs",
                                          "peer",
                                          ""};
  for (std::size_t I = 0; I < Answer.size(); ++I)
    Authenticator.send(zmq::buffer(Answer[I]), I + 1 < Answer.size()
                                                   ? zmq::send_flags::sndmore
                                                   : zmq::send_flags::none);
}

void PeerLink::Worker::readMonitor() {
  while (!receiveFrames(Monitor).empty())
    ++RefusedConnections;
}

} // namespace samphirehill
