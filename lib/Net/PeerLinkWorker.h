// The thread of a peer link and its sockets.
#ifndef SAMPHIREHILL_LIB_NET_PEERLINKWORKER_H
#define SAMPHIREHILL_LIB_NET_PEERLINKWORKER_H

#include "samphirehill/Net/PeerLink.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <zmq.hpp>

namespace samphirehill {

// A CURVE key pair in Z85.
struct PeerKeys {
  std::string Public;
  std::string Secret;
};

// Returns the key pair whose secret is KeyHex, or InvalidSettings.
Result<PeerKeys> parsePeerKey(const std::string &KeyHex);

class PeerLink::Worker : public std::enable_shared_from_this<Worker> {
public:
  Worker(asio::io_context &Context, PeerLinkSettings Settings, Handler Receive);

  // Called once, before start().
  Result<void> bind(const PeerKeys &Pair);
  void start();
  void stop();

  // Called from the io_context's thread.
  void setPeers(std::vector<PeerAddress> Peers);
  bool send(const EntryId &To, peer::Envelope Message);
  PeerLinkCounters counters() const;
  const std::string &address() const { return Address; }

private:
  struct Outgoing {
    EntryId To;
    std::string Bytes;
  };
  struct Connection {
    std::string Address;
    zmq::socket_t Socket;
  };

  void wake();
  void run();
  void handleCommands();
  void connectPeers(const std::vector<PeerAddress> &Wanted);
  zmq::socket_t connect(const std::string &Peer);
  void transmit(Outgoing &Message);
  void receiveAll();
  void receiveOne(const zmq::message_t &Payload);
  void answerAuthentication();
  void readMonitor();

  asio::io_context &Context;
  const PeerLinkSettings Settings;
  const Handler Receive;
  PeerKeys Keys;
  std::string Address;

  zmq::context_t Sockets;
  zmq::socket_t Router;
  zmq::socket_t Authenticator;
  zmq::socket_t Monitor;
  zmq::socket_t WakeReader;
  zmq::socket_t WakeWriter; // io_context thread
  std::map<EntryId, Connection> Connections;
  std::thread Thread;

  std::mutex Mutex; // guards the next three
  std::deque<Outgoing> Queue;
  std::optional<std::vector<PeerAddress>> NewPeers;
  bool Stopping = false;

  std::uint64_t Sequence = 0;           // io_context thread
  std::atomic<bool> Stopped = false;    // no more calls of the handler
  std::atomic<std::size_t> Waiting = 0; // for the handler

  std::atomic<std::uint64_t> SentMessages = 0;
  std::atomic<std::uint64_t> SentBytes = 0;
  std::atomic<std::uint64_t> ReceivedMessages = 0;
  std::atomic<std::uint64_t> ReceivedBytes = 0;
  std::atomic<std::uint64_t> DroppedSending = 0;
  std::atomic<std::uint64_t> DroppedReceiving = 0;
  std::atomic<std::uint64_t> Malformed = 0;
  std::atomic<std::uint64_t> RefusedConnections = 0;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_NET_PEERLINKWORKER_H
