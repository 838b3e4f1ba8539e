#include "Sockets.h"

#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

namespace samphirehill::serving {
namespace {

// These options end a connection whose peer has not responded for about 3 s,
// which is less than the shortest time in which a caller or an engine must be
// answered.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr unsigned UserTimeoutMilliseconds = 2'500;
constexpr int AcceptBacklog = 512; // connections

template <typename T>
void setOption(int Socket, int Level, int Name, T Value, const char *Label) {
  if (::setsockopt(Socket, Level, Name, &Value, sizeof(Value)) != 0)
    spdlog::debug("event=socket_option_refused option={}", Label);
}

} // namespace

void prepareSocket(asio::ip::tcp::socket &Socket) {
  int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1, "TCP_NODELAY");
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1, "SO_KEEPALIVE");
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds,
            "TCP_KEEPIDLE");
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds,
            "TCP_KEEPINTVL");
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes, "TCP_KEEPCNT");
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMilliseconds,
            "TCP_USER_TIMEOUT");
}

std::optional<asio::ip::tcp::endpoint>
endpointOf(const SocketAddress &Address) {
  std::error_code Failed;
  asio::ip::address Number = asio::ip::make_address(Address.Host, Failed);
  if (Failed)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Number, Address.Port);
}

Result<void> openAcceptor(asio::ip::tcp::acceptor &Acceptor,
                          const SocketAddress &Address) {
  std::optional<asio::ip::tcp::endpoint> Endpoint = endpointOf(Address);
  if (!Endpoint)
    return fail(ResultCode::InvalidSettings, "listen address \"" +
                                                 Address.str() +
                                                 "\" is not an IP address");
  std::error_code Failed;
  Acceptor.open(Endpoint->protocol(), Failed);
  if (!Failed)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Failed);
  if (!Failed)
    Acceptor.bind(*Endpoint, Failed);
  if (!Failed)
    Acceptor.listen(AcceptBacklog, Failed);
  if (Failed)
    return fail(ResultCode::InvalidSettings,
                "cannot listen at " + Address.str() + ": " + Failed.message());
  return {};
}

} // namespace samphirehill::serving
