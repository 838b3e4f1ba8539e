// HTTP/1.1 client with a connection pool. Reports how each request ended: not
// sent, answered, or failed in such a way that the peer may have run it.
#ifndef SAMPHIREHILL_SERVING_UPSTREAMEXCHANGE_H
#define SAMPHIREHILL_SERVING_UPSTREAMEXCHANGE_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/ByteBudget.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/HttpMessage.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirehill::serving {

enum class ExchangeFailure {
  NotSent,         // no byte of the request left this process
  NotAllowed,      // not sent either, as StillAllowed returned false
  Refused,         // not sent either, as nothing listens at the address
  ConnectTimedOut, // not sent either, as the peer did not answer the connect
  Broken,          // the connection ended; the peer may have run the request
  Unusable, // the answer can't be used; the peer may have run the request
};

// What became of a connect that served no other purpose.
enum class ConnectCheck {
  Accepted,
  Refused,    // no process listens at the address, but its host answers
  Unanswered, // in time, or not sent
};

// Callbacks of one request. Either OnEnd or OnFailure is called last, unless
// the exchange is cancelled or the pool destroyed.
struct ExchangeHandlers {
  // Called with the head of each final response. Returns false if the response
  // does not belong to the request; its body is then skipped and the next
  // response awaited.
  std::function<bool(const HttpResponse &Head)> OnHead;
  std::function<void(std::string_view Part)> OnBody;
  // Called when the response is complete. An end of file completes a response
  // without a length, unless the request can't be written to its end.
  std::function<void()> OnEnd;
  std::function<void(ExchangeFailure Kind, const std::string &Cause)> OnFailure;
};

struct ExchangeOptions {
  Duration ConnectTimeout = milliseconds(300);
  // A pooled connection is used only if it has been idle for less than this: an
  // engine may close an idle connection just as a request is sent on it.
  Duration MaxIdle = seconds(60);
  // If all pooled connections to the address were idle for longer than MaxIdle,
  // whether to close them.
  bool CloseExpired = false;
  bool AnswerHasNoBody = false; // the request's method is HEAD
  // Id that the answer repeats; unset if answers carry none. The request gets a
  // connection that has not carried this id before, and a new one if the id is
  // empty: a copy of an earlier answer with the same id may arrive at any time
  // on the connection that the earlier request used.
  std::optional<std::string> RequestId;
  // Bounds the body of an answer that ExchangePool::call collects. Values of
  // the platform, the largest of them, have at most 1 MB.
  std::size_t MaxBodyBytes = 16'777'216;
  // Whether the connection may return to the pool after the answer.
  bool Keep = true;
  // Called just before the request is written, which may be long after start if
  // the process was suspended in between. If it returns false, nothing is sent
  // and the exchange fails with NotAllowed.
  std::function<bool()> StillAllowed;
};

// Returns options for a call with a connection of its own. Needed where an
// answer carries no request id, so that a late answer to an earlier request on
// a shared connection would be mistaken for it.
inline ExchangeOptions dedicatedConnectionOptions() {
  ExchangeOptions Options;
  Options.MaxIdle = Duration::zero();
  Options.Keep = false;
  return Options;
}

class PooledConnection;

// Handle of one request in progress. Destroying it does not cancel the request.
class Exchange {
public:
  // Number says which request of Connection this is, from 1.
  Exchange(std::weak_ptr<PooledConnection> Connection, int Number)
      : Connection(std::move(Connection)), Number(Number) {}

  // Closes the connection; no handler is called afterwards.
  void cancel();
  // Like cancel, for a request that was not answered in time. If its connection
  // came from the pool, all pooled connections to the same address are closed
  // too: they often stop working together.
  void cancelAfterTimeout();
  // Returns whether a byte of the request may have left this process.
  bool sent() const;
  // Returns whether the connection has carried earlier requests.
  bool reused() const { return Number > 1; }
  // Returns how many requests the connection has carried, this one included.
  int connectionRequests() const { return Number; }

private:
  // Returns the connection while it carries this request, or nullptr.
  std::shared_ptr<PooledConnection> current() const;

  std::weak_ptr<PooledConnection> Connection;
  int Number;
};

// Counters since the pool was created.
struct ExchangeCounters {
  std::uint64_t Connects = 0; // attempts
  std::uint64_t ConnectFailures = 0;
  std::uint64_t Reused = 0;       // requests sent on a pooled connection
  std::uint64_t StrayAnswers = 0; // answers or bytes that match no request
};

// Sends requests and pools their connections. Used from one thread, the one
// that runs Context.
class ExchangePool {
public:
  ExchangePool(asio::io_context &Context, TimerService &Timers)
      : Context(Context), Timers(Timers) {}
  ~ExchangePool();
  ExchangePool(const ExchangePool &) = delete;
  ExchangePool &operator=(const ExchangePool &) = delete;

  // Sends Bytes, a serialised request, to Address. Handlers are called from the
  // context's thread and never before start returns.
  std::shared_ptr<Exchange> start(const SocketAddress &Address,
                                  std::string Bytes,
                                  const ExchangeOptions &Options,
                                  ExchangeHandlers Handlers);

  // Sends Request and collects its complete answer. Done is called once: with
  // the answer, with the result code Timeout after Limit or an unanswered
  // connect, ConnectFailed if nothing was sent, UpstreamLost if the peer may
  // have run the request, or BadAnswer if the answer is too large.
  std::shared_ptr<Exchange>
  call(const SocketAddress &Address, const HttpRequest &Request, Duration Limit,
       std::function<void(Outcome<HttpResponse>)> Done,
       ExchangeOptions Options = {});

  // Connects to Address and closes the connection without a request.
  void checkConnect(const SocketAddress &Address,
                    std::function<void(ConnectCheck Seen)> Done);

  // Closes the pooled connections to Address.
  void closeIdle(const SocketAddress &Address);

  // Closes pooled connections to addresses for which Keep returns false.
  void retain(const std::function<bool(const SocketAddress &)> &Keep);

  const ExchangeCounters &counters() const { return Counters; }

  // The bytes that the whole process holds for requests. Without a limit at
  // first.
  const std::shared_ptr<ByteBudget> &bytes() const { return Bytes; }

private:
  friend class PooledConnection;
  // Removes the most recently used connection to Address that may carry the
  // request from the pool, or returns nullptr if none is usable.
  std::shared_ptr<PooledConnection> takeIdle(const SocketAddress &Address,
                                             const ExchangeOptions &Options);

  asio::io_context &Context;
  TimerService &Timers;
  // The most recently used connection is last.
  std::map<SocketAddress, std::vector<std::shared_ptr<PooledConnection>>> Idle;
  std::map<PooledConnection *, std::weak_ptr<PooledConnection>> All;
  ExchangeCounters Counters;
  std::shared_ptr<ByteBudget> Bytes =
      std::make_shared<ByteBudget>(std::numeric_limits<std::size_t>::max());
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_UPSTREAMEXCHANGE_H
