// The interface for operators: status, events, zones and the close. Every
// request needs the operator key.
#ifndef SAMPHIREHILL_DAEMON_OPERATORAPI_H
#define SAMPHIREHILL_DAEMON_OPERATORAPI_H

#include "samphirehill/Daemon/MembershipController.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/PlacementController.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Net/HttpServer.h"

#include <functional>
#include <memory>

namespace samphirehill {

class OperatorApi {
public:
  // InProgress counts the requests that are not answered yet.
  OperatorApi(Runtime &Shared, PeerHub &Hub, MembershipController &Membership,
              PlacementController &Placements, const Catalogue &Texts,
              const UpstreamDirectory &Directory,
              std::function<std::size_t()> InProgress);

  void take(const std::shared_ptr<HttpExchange> &Exchange);

private:
  void serveStatus(HttpExchange &Exchange);
  void serveEvents(const std::shared_ptr<HttpExchange> &Exchange);
  void setZone(HttpExchange &Exchange);
  void beginClose(HttpExchange &Exchange);

  Runtime &Shared;
  PeerHub &Hub;
  MembershipController &Membership;
  PlacementController &Placements;
  const Catalogue &Texts;
  const UpstreamDirectory &Directory;
  std::function<std::size_t()> InProgress;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_OPERATORAPI_H
