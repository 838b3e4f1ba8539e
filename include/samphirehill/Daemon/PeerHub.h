// Hands messages from peers to the parts that handle them, and matches
// responses to requests.
#ifndef SAMPHIREHILL_DAEMON_PEERHUB_H
#define SAMPHIREHILL_DAEMON_PEERHUB_H

#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Signal.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Net/PeerLink.h"

#include <functional>
#include <map>
#include <memory>

namespace samphirehill {

class PeerHub {
public:
  using Handler = std::function<void(const peer::Envelope &)>;
  using ResponseHandler = std::function<void(Outcome<peer::Envelope>)>;

  // Binds the peer address of the settings. Errors as of PeerLink::create.
  static Result<std::unique_ptr<PeerHub>> create(Runtime &Shared);
  ~PeerHub();

  // Handles messages whose body is Body, a value of peer::Envelope::BodyCase.
  // One handler per body.
  void handle(int Body, Handler Function);

  // Sends without waiting for an answer; the message may be lost.
  void send(const EntryId &To, peer::Envelope Message);

  // Sends and calls OnResponse exactly once: with the response, or with
  // Timeout, or with ConnectFailed if the message was not sent.
  void request(const EntryId &To, peer::Envelope Message, Duration Timeout,
               ResponseHandler OnResponse);

  // Answers the request Asked.
  void respond(const peer::Envelope &Asked, peer::Envelope Message);

  void setPeers(std::vector<PeerAddress> Peers);
  PeerLinkCounters counters() const;

  // Emitted for each message, before its handler: liveness listens.
  Signal<peer::Envelope> Received;

private:
  struct Pending {
    ResponseHandler OnResponse;
    TimerSubscription Timeout;
  };

  explicit PeerHub(Runtime &Shared) : Shared(Shared) {}
  void receive(const peer::Envelope &Message);
  void stamp(peer::Envelope &Message);

  Runtime &Shared;
  std::unique_ptr<PeerLink> Link;
  std::map<int, Handler> Handlers;
  std::map<std::uint64_t, Pending> Waiting;
  std::uint64_t LastCorrelation = 0;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_PEERHUB_H
