// Messages between entries: one bound socket that receives from all peers and
// one outgoing connection per peer, encrypted with a key that all entries
// share. A message is delivered at most once and in order per peer; it is lost
// when the peer is not connected, so whoever needs an answer sends again.
//
// The link has a thread of its own. All its functions are called from the
// thread of the io_context given to create(), and the handler runs there.
#ifndef SAMPHIREHILL_NET_PEERLINK_H
#define SAMPHIREHILL_NET_PEERLINK_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
} // namespace asio

namespace samphirehill {

namespace peer {
class Envelope;
} // namespace peer

struct PeerLinkSettings {
  EntryId Self;
  Incarnation Started = 0;
  std::string BindAddress; // "ip:port"; port 0 takes a free one
  std::string KeyHex;      // 32 bytes as 64 hex digits, equal at all entries
  // Bound on messages that wait for one connection, for the link's thread, or
  // for the handler.
  std::size_t MaxQueued = 1000;
  std::size_t MaxMessageBytes = 4U << 20;
};

// Where a peer's link is bound, as "ip:port".
struct PeerAddress {
  EntryId Entry;
  std::string Address;

  auto operator<=>(const PeerAddress &) const = default;
};

// Totals since creation. Bytes are serialised message bytes.
struct PeerLinkCounters {
  std::uint64_t SentMessages = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedMessages = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t DroppedSending = 0;   // no connection, full queue, unknown peer
  std::uint64_t DroppedReceiving = 0; // the handler was too far behind
  std::uint64_t Malformed = 0;        // received, but not an envelope
  std::uint64_t RefusedConnections = 0; // wrong or no key
};

class PeerLink {
public:
  using Handler = std::function<void(const peer::Envelope &)>;

  // Binds and starts the thread. Fails with InvalidSettings for a bad key or
  // address and with ConnectFailed when the address can't be bound. Context
  // must outlive the link.
  static Result<std::unique_ptr<PeerLink>>
  create(asio::io_context &Context, PeerLinkSettings Settings, Handler Receive);

  // Closes all connections and joins the thread. The handler is not called
  // afterwards. Messages that still wait are dropped.
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  // Replaces the set of peers: connects new ones, reconnects those whose
  // address changed and disconnects the others. Self is ignored.
  void setPeers(std::vector<PeerAddress> Peers);

  // Sends Message to peer To, after setting its sender, incarnation and
  // sequence. Never blocks. Returns false if the message was dropped at once;
  // true promises nothing, as it can still be dropped by the link's thread.
  bool send(const EntryId &To, peer::Envelope Message);

  PeerLinkCounters counters() const;

  // The bound address as "ip:port".
  const std::string &address() const;

private:
  class Worker;
  explicit PeerLink(std::shared_ptr<Worker> Shared);
  std::shared_ptr<Worker> Shared;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_NET_PEERLINK_H
