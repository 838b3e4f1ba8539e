// HTTP/1.1 server for callers. A connection carries one request at a time. The
// server goes on reading while a request is in progress, so that it notices at
// once when the caller disconnects.
#ifndef SAMPHIREHILL_SERVING_CALLERSERVER_H
#define SAMPHIREHILL_SERVING_CALLERSERVER_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/ByteBudget.h"
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

// Limits on the size of a request and on the time that a caller may take.
struct CallerLimits {
  std::size_t HeadBytes = 16'384;
  std::size_t BodyBytes = 4'194'304;
  // From a request's first byte to its last, the body included.
  Duration HeadTimeout = seconds(3);
  Duration IdleTimeout = seconds(15); // between two requests

  bool operator==(const CallerLimits &) const = default;
};

class CallerConnection;

// A caller's request and the means to answer it. Ends with exactly one of:
// reply; beginStream followed by endStream; or abort, with or without
// beginStream before it. Calls after the caller disconnected have no effect.
class CallerRequest {
public:
  CallerRequest(std::weak_ptr<CallerConnection> Connection, HttpRequest Request,
                TimePoint ReceivedAt)
      : Request(std::move(Request)), ReceivedAt(ReceivedAt),
        Connection(std::move(Connection)) {}

  // Sends a complete response.
  void reply(const HttpResponse &Response);
  // Sends the head of a response whose body follows in calls of streamPart.
  void beginStream(const HttpResponse &Head);
  void streamPart(std::string_view Data);
  void endStream();
  // Closes the connection, so that the answer does not look complete.
  void abort();

  // Called once if the connection ends before reply, endStream or abort: the
  // caller closed it, it failed, or the caller does not read its answer.
  std::function<void()> OnDisconnect;

  const HttpRequest Request;
  const TimePoint ReceivedAt; // when the request's first byte was received

private:
  std::weak_ptr<CallerConnection> Connection;
};

// Counters since the server was created.
struct CallerCounters {
  std::uint64_t Connections = 0; // accepted
  std::uint64_t Requests = 0;    // complete ones
  std::uint64_t Malformed = 0;   // requests
  std::uint64_t Disconnects = 0; // while a request was in progress
};

// Accepts connections of callers and passes their requests to a handler. Used
// from one thread, the one that runs Context.
class CallerServer {
public:
  using Handler = std::function<void(std::shared_ptr<CallerRequest>)>;

  // What the server holds for requests counts in Bytes.
  CallerServer(asio::io_context &Context, TimerService &Timers,
               std::shared_ptr<ByteBudget> Bytes, Handler OnRequest);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  // Begins to accept connections at Address. Fails with InvalidSettings if
  // Address is not an IP address or can't be listened at.
  Result<void> listen(const SocketAddress &Address);

  // Sets the limits for requests received from now on, also on connections that
  // are open. A limit on the size of a request applies at once if it is raised,
  // and from the next request on if it is lowered. The idle timeout is never
  // shortened, since callers may rely on an earlier, longer one.
  void setLimits(const CallerLimits &Limits);

  // Sets whether all answers get "Connection: close" from now on. A request
  // that is in progress is answered either way.
  void setClosing(bool Changed) { Closing = Changed; }
  // Stops accepting connections and closes those without a request.
  void closeIdle();

  std::size_t connectionCount() const { return Connections.size(); }
  const CallerCounters &counters() const { return Counters; }

private:
  friend class CallerConnection;
  void accept();
  void sweep(); // checks the timeouts of all connections

  asio::io_context &Context;
  TimerService &Timers;
  std::shared_ptr<ByteBudget> Bytes;
  Handler OnRequest;
  asio::ip::tcp::acceptor Acceptor;
  std::unordered_set<std::shared_ptr<CallerConnection>> Connections;
  TimerSubscription Sweep;
  CallerLimits Limits;
  Duration LongestIdle{}; // the longest idle timeout so far
  bool Closing = false;
  CallerCounters Counters;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_CALLERSERVER_H
