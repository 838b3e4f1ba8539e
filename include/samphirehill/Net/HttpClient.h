// Asynchronous HTTP calls over libcurl. One thread drives all transfers;
// callbacks run on the io_context given at construction, never on that thread.
#ifndef SAMPHIREHILL_NET_HTTPCLIENT_H
#define SAMPHIREHILL_NET_HTTPCLIENT_H

#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace asio {
class io_context;
} // namespace asio

namespace samphirehill {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Returns the first value of header Name (any case) or an empty string.
std::string findHeader(const HttpHeaders &Headers, const std::string &Name);

// Returns Text with its ASCII letters in lower case, for comparing header
// names.
std::string lowerCase(std::string Text);

struct HttpRequest {
  std::string Method = "GET";
  std::string Url; // absolute, for example "http://127.0.0.1:7001/status"
  HttpHeaders Headers;
  std::string Body;
  Duration Timeout = seconds(5); // of the whole transfer
  // Use a connection of its own. On a kept one, an answer is known by its
  // position only, so that a copy of an earlier answer is taken for it, and
  // libcurl repeats a request whose connection was closed before an answer. So
  // this must be set unless a wrong answer and a repeat do no harm.
  bool FreshConnection = false;
};

struct HttpResponse {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
};

using CallId = std::uint64_t;

// Callbacks of a streamed call. OnHeaders comes at most once, before any
// OnData; OnDone comes exactly once and last, unless the call is cancelled.
struct HttpStreamCallbacks {
  std::function<void(const HttpResponse &)> OnHeaders; // Body is empty
  std::function<void(std::string)> OnData;
  std::function<void(Outcome<HttpResponse>)> OnDone; // Body is empty
};

// Errors of both kinds of call: ConnectFailed (no byte of the request was
// sent), Timeout, BadAnswer (connection broken after the request was sent, the
// answer's status or a field is malformed, the answer is longer than 16 MB, or
// more is being collected than a client may hold).
class HttpClient {
public:
  explicit HttpClient(asio::io_context &Context);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  // Sends Request and hands the whole response to OnDone.
  CallId send(HttpRequest Request,
              std::function<void(Outcome<HttpResponse>)> OnDone);

  // Sends Request and hands the body over as it arrives.
  CallId stream(HttpRequest Request, HttpStreamCallbacks Callbacks);

  // Ends a call and closes its connection. No callback of it runs after this
  // returns, when called on the io_context's thread.
  void cancel(CallId Call);

private:
  class Driver;
  std::unique_ptr<Driver> Impl;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_NET_HTTPCLIENT_H
