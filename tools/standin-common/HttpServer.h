// Requests and answers of the stand-in programs, over the system's HTTP server.
// All callbacks run on the io_context that the server was given; nothing here
// is thread-safe.
#ifndef SAMPHIREHILL_STANDIN_COMMON_HTTPSERVER_H
#define SAMPHIREHILL_STANDIN_COMMON_HTTPSERVER_H

#include "samphirehill/Net/HttpServer.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphirehill::standin {

// A request whose body has been read in full.
struct Request {
  std::string Method;
  std::string Path; // without the query, percent-decoded
  std::map<std::string, std::string> Query;
  HttpHeaders Headers;
  std::string Body;

  // Returns the value of the header Name, compared without case, or "".
  std::string header(const std::string &Name) const;
  // Returns the number in the query parameter Name, or Default.
  std::int64_t number(const std::string &Name, std::int64_t Default) const;
  // Returns the non-empty parts of the path.
  std::vector<std::string> parts() const;
};

// Answers one request, either with send() or with startStream(), any number of
// write() and one finish(); or closes the connection with drop() at any point.
// Calls after the end have no effect.
class Responder {
public:
  virtual ~Responder() = default;

  // Sends a whole answer.
  virtual void send(int Status, std::string Body, HttpHeaders Headers = {}) = 0;
  // Sends the head of a 200 answer whose body follows in chunks.
  virtual void startStream(const HttpHeaders &Headers) = 0;
  // Sends one chunk of a started stream.
  virtual void write(std::string Chunk) = 0;
  // Ends a started stream properly.
  virtual void finish() = 0;
  // Closes the connection without (the rest of) the answer.
  virtual void drop() = 0;
  // Calls Callback once when a write fails because the caller has gone.
  virtual void onBroken(std::function<void()> Callback) = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;
using Handler = std::function<void(const Request &, const ResponderPtr &)>;

// Serves at Address ("ip:port"; port 0 lets the system choose) until the result
// is destroyed or closed. Throws std::runtime_error when it can't be bound.
std::unique_ptr<HttpServer> listen(asio::io_context &Io,
                                   const std::string &Address, Handler Serve);

} // namespace samphirehill::standin

#endif // SAMPHIREHILL_STANDIN_COMMON_HTTPSERVER_H
