// Scripted HTTP servers on the loopback interface, for tests of the serving
// path.
#ifndef SAMPHIREHILL_TEST_SERVING_LOOPBACK_H
#define SAMPHIREHILL_TEST_SERVING_LOOPBACK_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/TimerService.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <vector>

namespace samphirehill::serving {

// Returns a loopback port that is free now, a different one at each call. Tests
// run in parallel, so each process uses ports of its own, below the range from
// which the kernel assigns ports to connections (32,768 and above).
inline std::uint16_t freePort() {
  constexpr int First = 20'000;
  constexpr int PortsPerProcess = 20;
  constexpr int Processes = 600;
  static int Next = 0;
  int Begin = First + ::getpid() % Processes * PortsPerProcess;
  for (int Tried = 0; Tried < PortsPerProcess; ++Tried) {
    auto Port = static_cast<std::uint16_t>(Begin + Next++ % PortsPerProcess);
    asio::io_context Context;
    asio::ip::tcp::acceptor Probe(Context);
    std::error_code Failed;
    Probe.open(asio::ip::tcp::v4());
    Probe.set_option(asio::socket_base::reuse_address(true));
    Probe.bind({asio::ip::make_address("127.0.0.1"), Port}, Failed);
    if (!Failed)
      return Port;
  }
  throw std::runtime_error("no port of this process is free");
}

// One connection of a ScriptedServer.
class ScriptedConnection
    : public std::enable_shared_from_this<ScriptedConnection> {
public:
  explicit ScriptedConnection(asio::ip::tcp::socket Socket)
      : Socket(std::move(Socket)) {}

  void send(const std::string &Bytes) {
    std::error_code Failed;
    asio::write(Socket, asio::buffer(Bytes), Failed);
  }
  // Sends as much of Bytes as the socket takes at once.
  void sendSome(const std::string &Bytes) {
    std::error_code Failed; // would block, or the peer has closed
    Socket.non_blocking(true);
    Socket.write_some(asio::buffer(Bytes), Failed);
    Socket.non_blocking(false);
  }
  void close() {
    std::error_code Failed;
    Socket.close(Failed);
  }
  // Ends this side's half of the connection.
  void finish() {
    std::error_code Failed;
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Failed);
  }
  // Reads and discards what arrives until the peer closes the connection.
  void discard() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this()](std::error_code Failed, std::size_t) {
          Self->PeerClosed = static_cast<bool>(Failed);
          if (!Failed)
            Self->discard();
        });
  }
  // Ends the connection with a reset.
  void reset() {
    std::error_code Failed;
    Socket.set_option(asio::socket_base::linger(true, 0), Failed);
    close();
  }

  std::string Received; // since the last handled request
  bool PeerClosed = false;

private:
  friend class ScriptedServer;
  asio::ip::tcp::socket Socket;
  std::array<char, 4'096> Buffer;
};

// What a ScriptedServer reads. With None, OnRequest is called once for each
// connection, when the first bytes of a request have arrived, and nothing is
// read unless the script does so. Its receive buffers are small, so that a long
// request is still being written then.
enum class RequestReading { Heads, None };

// HTTP server that calls OnRequest for each received request head. Requests
// must have an empty or short body, unless they aren't read. Number counts the
// requests from 1.
class ScriptedServer {
public:
  using Script = std::function<void(ScriptedConnection &, int Number)>;

  ScriptedServer(asio::io_context &Context, Script OnRequest,
                 RequestReading Reading = RequestReading::Heads)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        OnRequest(std::move(OnRequest)), Reading(Reading) {
    if (Reading == RequestReading::None)
      Acceptor.set_option(
          asio::socket_base::receive_buffer_size(SmallReceiveBufferBytes));
    accept();
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  int requests() const { return Requests; }
  // Ends like a process that crashes: closes all connections and listens no
  // more.
  void crash() {
    std::error_code Failed;
    Acceptor.close(Failed);
    for (const std::shared_ptr<ScriptedConnection> &Each : Open)
      Each->reset();
  }
  const std::vector<std::shared_ptr<ScriptedConnection>> &connections() const {
    return Open;
  }
  std::vector<std::string> Heads; // of all requests

private:
  static constexpr int SmallReceiveBufferBytes = 4'096;

  void accept() {
    Acceptor.async_accept([this](std::error_code Failed,
                                 asio::ip::tcp::socket Socket) {
      if (Failed)
        return;
      Open.push_back(std::make_shared<ScriptedConnection>(std::move(Socket)));
      if (Reading == RequestReading::None)
        awaitRequest(Open.back());
      else
        read(Open.back());
      accept();
    });
  }

  void awaitRequest(const std::shared_ptr<ScriptedConnection> &Connection) {
    Connection->Socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [this, Connection](std::error_code Failed) {
                                    if (!Failed)
                                      OnRequest(*Connection, ++Requests);
                                  });
  }

  void read(const std::shared_ptr<ScriptedConnection> &Connection) {
    Connection->Socket.async_read_some(
        asio::buffer(Connection->Buffer),
        [this, Connection](std::error_code Failed, std::size_t Size) {
          if (Failed) {
            Connection->PeerClosed = true;
            return;
          }
          Connection->Received.append(Connection->Buffer.data(), Size);
          if (Connection->Received.find("\r\n\r\n") != std::string::npos) {
            Heads.push_back(std::exchange(Connection->Received, {}));
            OnRequest(*Connection, ++Requests);
          }
          if (Connection->Socket.is_open())
            read(Connection);
        });
  }

  asio::ip::tcp::acceptor Acceptor;
  Script OnRequest;
  RequestReading Reading;
  std::vector<std::shared_ptr<ScriptedConnection>> Open;
  int Requests = 0;
};

// Runs Context until Done returns true or Limit has passed; returns Done's
// result.
inline bool runUntil(asio::io_context &Context,
                     const std::function<bool()> &Done,
                     Duration Limit = seconds(5)) {
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!Done() && std::chrono::steady_clock::now() < Deadline)
    Context.run_one_for(std::chrono::milliseconds(20));
  return Done();
}

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_TEST_SERVING_LOOPBACK_H
