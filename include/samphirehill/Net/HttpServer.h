// An HTTP/1.1 server over RESTinio. All callbacks run on the io_context given
// at construction, which must run on one thread.
#ifndef SAMPHIREHILL_NET_HTTPSERVER_H
#define SAMPHIREHILL_NET_HTTPSERVER_H

#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/HttpClient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace samphirehill {

// One request and the way to answer it. Exactly one of respond() or start() is
// called; after start() any number of write() and then finish(). An exchange
// that is dropped unanswered closes its connection.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const std::string &method() const = 0;
  // The target without query, for example "/v1/models".
  virtual const std::string &path() const = 0;
  // The query without "?", or an empty string.
  virtual const std::string &query() const = 0;
  virtual const HttpHeaders &headers() const = 0;
  virtual const std::string &body() const = 0;

  // Sends a whole answer.
  virtual void respond(int Status, const HttpHeaders &Headers,
                       std::string Body) = 0;
  // Sends status and headers of a chunked answer.
  virtual void start(int Status, const HttpHeaders &Headers) = 0;
  virtual void write(std::string Chunk) = 0;
  // Ends a chunked answer.
  virtual void finish() = 0;
  // Closes the connection of a chunked answer without its end, so that the
  // peer can tell that it is incomplete.
  virtual void abort() = 0;
  // Calls Function once when a write fails because the peer has gone.
  virtual void onClosed(std::function<void()> Function) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpServerOptions {
  std::string Address = "127.0.0.1"; // IP address
  std::uint16_t Port = 0;            // 0: chosen by the system
  // A message beyond these is cut off by closing its connection. They bound
  // memory; finer limits with a proper answer belong to the handler.
  std::size_t MaxHeaderBytes = 256 * 1024;
  std::size_t MaxBodyBytes = 4 * 1024 * 1024;
  // Time for a whole request to arrive.
  Duration ReadTimeout = seconds(15);
  std::size_t MaxConnections = 4096;
};

class HttpServer {
public:
  // Listens at once. Errors: InvalidSettings if the address can't be bound.
  static Result<std::unique_ptr<HttpServer>> create(asio::io_context &Context,
                                                    HttpServerOptions Options,
                                                    HttpHandler Handler);
  virtual ~HttpServer() = default;

  // The port in use.
  virtual std::uint16_t port() const = 0;
  // Stops accepting and closes all connections.
  virtual void close() = 0;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_NET_HTTPSERVER_H
