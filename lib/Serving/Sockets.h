// Socket helpers of the serving path: common options, listening, addresses.
#ifndef SAMPHIREHILL_LIB_SERVING_SOCKETS_H
#define SAMPHIREHILL_LIB_SERVING_SOCKETS_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Result.h"

#include <asio/ip/tcp.hpp>
#include <optional>

namespace samphirehill::serving {

// Sets TCP_NODELAY, and keep-alive probes and a user timeout that end a
// connection whose peer no longer acknowledges anything.
void prepareSocket(asio::ip::tcp::socket &Socket);

// Opens Acceptor and listens at Address. Fails with InvalidSettings if Address
// is not an IP address or can't be listened at.
Result<void> openAcceptor(asio::ip::tcp::acceptor &Acceptor,
                          const SocketAddress &Address);

// Returns Address as an endpoint, or nothing if its host is not an IP address.
std::optional<asio::ip::tcp::endpoint> endpointOf(const SocketAddress &Address);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_LIB_SERVING_SOCKETS_H
