// Sends requests over kept HTTP/1.1 connections and tells how each ended: not
// sent, answered, or broken off so that the peer may have run it.
#ifndef SAMPHIREHILL_SERVING_UPSTREAMEXCHANGE_H
#define SAMPHIREHILL_SERVING_UPSTREAMEXCHANGE_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/HttpMessage.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace samphirehill::serving {

enum class ExchangeFailure {
  NotSent,         // no byte of the request left this process
  ConnectTimedOut, // neither, and the peer's machine said nothing
  Broken,          // the peer may have run it
};

struct ExchangeHandlers {
  // Called with each response's head. Returns false if the response isn't the
  // request's; its body is then passed over and the next response awaited.
  std::function<bool(const HttpResponse &Head)> OnHead;
  std::function<void(std::string_view Part)> OnBody;
  // The response is complete.
  std::function<void()> OnEnd;
  std::function<void(ExchangeFailure Kind, const std::string &Cause)> OnFailure;
};

struct ExchangeOptions {
  Duration ConnectTimeout = milliseconds(300);
  // A kept connection is used only if it has been idle for less than this. An
  // engine may close a connection just as a request is sent on it.
  Duration MaxIdle = seconds(60);
  // Whether to close kept connections that were all idle for longer.
  bool CloseExpired = false;
  bool AnswerHasNoBody = false; // HEAD
  // Whether the connection may be kept after the answer.
  bool Keep = true;
  // Asked just before the request is written, which may be long after start: a
  // process may be paused in between. If it returns false nothing is sent.
  std::function<bool()> StillAllowed;
};

// Options of a call whose answer can't be told from a late answer to an earlier
// request on the same connection: it uses a connection of its own.
inline ExchangeOptions dedicatedConnectionOptions() {
  ExchangeOptions Options;
  Options.MaxIdle = Duration::zero();
  Options.Keep = false;
  return Options;
}

class PooledConnection;

// One request in progress. Dropping the last reference doesn't end it.
class Exchange {
public:
  explicit Exchange(std::weak_ptr<PooledConnection> Connection)
      : Connection(std::move(Connection)) {}

  // Closes the connection; no handler is called afterwards.
  void cancel();
  // Likewise, as no answer has come in time. If the connection was a kept one,
  // the others that are kept to its address are closed too.
  void cancelAfterTimeout();
  // Tells whether a byte of the request may have left this process.
  bool sent() const;
  // Tells whether its connection has carried earlier requests.
  bool reused() const;

private:
  std::weak_ptr<PooledConnection> Connection;
};

struct ExchangeCounters {
  std::uint64_t Connects = 0;
  std::uint64_t ConnectFailures = 0;
  std::uint64_t Reused = 0;
  std::uint64_t StrayAnswers = 0;
};

class ExchangePool {
public:
  ExchangePool(asio::io_context &Context, TimerService &Timers)
      : Context(Context), Timers(Timers) {}
  ~ExchangePool();
  ExchangePool(const ExchangePool &) = delete;
  ExchangePool &operator=(const ExchangePool &) = delete;

  // Sends Bytes, a serialised request, to Address. Handlers are called from the
  // context's thread, never before start returns.
  std::shared_ptr<Exchange> start(const SocketAddress &Address,
                                  std::string Bytes,
                                  const ExchangeOptions &Options,
                                  ExchangeHandlers Handlers);

  // Sends Request and collects its whole answer. Done is called once, with
  // Timeout after Limit.
  std::shared_ptr<Exchange>
  call(const SocketAddress &Address, const HttpRequest &Request, Duration Limit,
       std::function<void(Outcome<HttpResponse>)> Done,
       ExchangeOptions Options = {});

  // Closes the kept connections to Address.
  void closeIdle(const SocketAddress &Address);

  // Closes kept connections to addresses for which Keep returns false.
  void retain(const std::function<bool(const SocketAddress &)> &Keep);

  const ExchangeCounters &counters() const { return Counters; }

private:
  friend class PooledConnection;
  std::shared_ptr<PooledConnection> takeIdle(const SocketAddress &Address,
                                             const ExchangeOptions &Options);

  asio::io_context &Context;
  TimerService &Timers;
  // The most recently used connection is last.
  std::map<SocketAddress, std::vector<std::shared_ptr<PooledConnection>>> Idle;
  std::map<PooledConnection *, std::weak_ptr<PooledConnection>> All;
  ExchangeCounters Counters;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_UPSTREAMEXCHANGE_H
