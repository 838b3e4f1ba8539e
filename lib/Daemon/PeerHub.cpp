#include "samphirehill/Daemon/PeerHub.h"

#include "peer.pb.h"

#include <utility>

namespace samphirehill {

Result<std::unique_ptr<PeerHub>> PeerHub::create(Runtime &Shared) {
  std::unique_ptr<PeerHub> Hub(new PeerHub(Shared));
  PeerLinkSettings Settings;
  Settings.Self = Shared.Config.Entry;
  Settings.Started = Shared.Started;
  Settings.BindAddress = Shared.Config.Peers.str();
  // The link needs 32 bytes whatever the length of the key in the settings.
  Settings.KeyHex = sha256Hex(Shared.Config.PeerKey.reveal());
  BOOST_LEAF_ASSIGN(Hub->Link,
                    PeerLink::create(Shared.Context, std::move(Settings),
                                     [Raw = Hub.get()](const auto &Message) {
                                       Raw->receive(Message);
                                     }));
  return Hub;
}

PeerHub::~PeerHub() = default;

void PeerHub::handle(int Body, Handler Function) {
  Handlers[Body] = std::move(Function);
}

void PeerHub::send(const EntryId &To, peer::Envelope Message) {
  stamp(Message);
  Link->send(To, std::move(Message));
}

void PeerHub::request(const EntryId &To, peer::Envelope Message,
                      Duration Timeout, ResponseHandler OnResponse) {
  std::uint64_t Correlation = ++LastCorrelation;
  Message.set_correlation(Correlation);
  stamp(Message);
  if (!Link->send(To, std::move(Message))) {
    OnResponse(
        Error{ResultCode::ConnectFailed, "no connection to entry " + To.str()});
    return;
  }
  Pending &Added = Waiting[Correlation];
  Added.OnResponse = std::move(OnResponse);
  Added.Timeout = Shared.Timers.after(Timeout, [this, Correlation, To] {
    auto Found = Waiting.find(Correlation);
    ResponseHandler Function = std::move(Found->second.OnResponse);
    Waiting.erase(Found);
    Function(
        Error{ResultCode::Timeout, "entry " + To.str() + " did not answer"});
  });
}

void PeerHub::respond(const peer::Envelope &Asked, peer::Envelope Message) {
  Message.set_correlation(Asked.correlation());
  Message.set_response(true);
  send(EntryId(Asked.sender()), std::move(Message));
}

void PeerHub::setPeers(std::vector<PeerAddress> Peers) {
  Link->setPeers(std::move(Peers));
}

PeerLinkCounters PeerHub::counters() const { return Link->counters(); }

void PeerHub::stamp(peer::Envelope &Message) {
  LogicalTime Stamp = Shared.Clock.tick(Shared.Timers.wallNow());
  Message.set_clock_us(Stamp.Microseconds);
  Message.set_clock_counter(Stamp.Counter);
}

void PeerHub::receive(const peer::Envelope &Message) {
  Shared.Clock.receive(LogicalTime{Message.clock_us(), Message.clock_counter()},
                       Shared.Timers.wallNow());
  Received.emit(Message);
  if (Message.response()) {
    auto Found = Waiting.find(Message.correlation());
    if (Found == Waiting.end())
      return;
    ResponseHandler Function = std::move(Found->second.OnResponse);
    Waiting.erase(Found);
    Function(Message);
    return;
  }
  auto Found = Handlers.find(static_cast<int>(Message.body_case()));
  if (Found != Handlers.end())
    Found->second(Message);
}

} // namespace samphirehill
