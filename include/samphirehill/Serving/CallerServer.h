// Serves callers over HTTP/1.1: one request at a time on a connection, while
// the connection is read on, so that a caller that leaves is noticed at once.
#ifndef SAMPHIREHILL_SERVING_CALLERSERVER_H
#define SAMPHIREHILL_SERVING_CALLERSERVER_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/HttpMessage.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace samphirehill::serving {

// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
  std::size_t HeadBytes = 16'384;
  std::size_t BodyBytes = 4'194'304;
  Duration HeadTimeout = seconds(3); // from a request's first byte to its end
  Duration IdleTimeout = seconds(15);

  bool operator==(const CallerLimits &) const = default;
};

class CallerConnection;

// A caller's request and the way to answer it. Exactly one of reply, or
// beginStream followed by endStream or abort, ends it; abort may come first.
class CallerRequest {
public:
  CallerRequest(std::weak_ptr<CallerConnection> Connection, HttpRequest Request,
                TimePoint ReceivedAt)
      : Request(std::move(Request)), ReceivedAt(ReceivedAt),
        Connection(std::move(Connection)) {}

  // Sends a whole response.
  void reply(const HttpResponse &Response);
  // Sends the head of a response whose body comes by streamPart.
  void beginStream(const HttpResponse &Head);
  void streamPart(std::string_view Data);
  void endStream();
  // Closes the connection, so that the answer doesn't look complete.
  void abort();

  // Called once if the caller closes the connection before the end.
  std::function<void()> OnDisconnect;

  const HttpRequest Request;
  const TimePoint ReceivedAt; // of the request's first byte

private:
  std::weak_ptr<CallerConnection> Connection;
};

// Counters since the start.
struct CallerCounters {
  std::uint64_t Connections = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Malformed = 0;
  std::uint64_t Disconnects = 0;
};

class CallerServer {
public:
  using Handler = std::function<void(std::shared_ptr<CallerRequest>)>;

  CallerServer(asio::io_context &Context, TimerService &Timers,
               Handler OnRequest);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  // Begins to accept at Address. Fails with InvalidSettings.
  Result<void> listen(const SocketAddress &Address);

  // Limits apply from the next request on. Connections idle under an earlier,
  // longer idle timeout may stay for as long as callers may rely on it.
  void setLimits(const CallerLimits &Limits);

  // Answers carry "Connection: close" from now on.
  void beginClose() { Closing = true; }
  // Stops accepting and closes connections on which no request is waiting.
  void closeIdle();

  std::size_t connectionCount() const { return Connections.size(); }
  const CallerCounters &counters() const { return Counters; }

private:
  friend class CallerConnection;
  void accept();
  void sweep();

  asio::io_context &Context;
  TimerService &Timers;
  Handler OnRequest;
  asio::ip::tcp::acceptor Acceptor;
  std::unordered_set<std::shared_ptr<CallerConnection>> Connections;
  TimerSubscription Sweep;
  CallerLimits Limits;
  Duration LongestIdle{};
  bool Closing = false;
  CallerCounters Counters;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_CALLERSERVER_H
