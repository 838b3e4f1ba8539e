#include "samphirehill/Net/PeerLink.h"

#include "PeerLinkWorker.h"
#include "peer.pb.h"

#include <utility>

namespace samphirehill {

PeerLink::PeerLink(std::shared_ptr<Worker> Shared)
    : Shared(std::move(Shared)) {}

Result<std::unique_ptr<PeerLink>> PeerLink::create(asio::io_context &Context,
                                                   PeerLinkSettings Settings,
                                                   Handler Receive) {
  BOOST_LEAF_AUTO(Keys, parsePeerKey(Settings.KeyHex));
  auto Shared = std::make_shared<Worker>(Context, std::move(Settings),
                                         std::move(Receive));
  BOOST_LEAF_CHECK(Shared->bind(Keys));
  Shared->start();
  return std::unique_ptr<PeerLink>(new PeerLink(std::move(Shared)));
}

PeerLink::~PeerLink() { Shared->stop(); }

void PeerLink::setPeers(std::vector<PeerAddress> Peers) {
  Shared->setPeers(std::move(Peers));
}

bool PeerLink::send(const EntryId &To, peer::Envelope Message) {
  return Shared->send(To, std::move(Message));
}

PeerLinkCounters PeerLink::counters() const { return Shared->counters(); }

const std::string &PeerLink::address() const { return Shared->address(); }

} // namespace samphirehill
