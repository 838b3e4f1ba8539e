// Socket options that all connections of the serving path share.
#ifndef SAMPHIREHILL_LIB_SERVING_SOCKETS_H
#define SAMPHIREHILL_LIB_SERVING_SOCKETS_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Result.h"

#include <asio/ip/tcp.hpp>
#include <optional>

namespace samphirehill::serving {

// Sets TCP_NODELAY and probes that end a connection whose peer is silent.
void prepareSocket(asio::ip::tcp::socket &Socket);

// Opens Acceptor at Address. Fails with InvalidSettings.
Result<void> openAcceptor(asio::ip::tcp::acceptor &Acceptor,
                          const SocketAddress &Address);

// Returns Address as an endpoint, or nothing if it names no IP number.
std::optional<asio::ip::tcp::endpoint> endpointOf(const SocketAddress &Address);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_LIB_SERVING_SOCKETS_H
