// HTTP/1.1 messages as values, with serialisation and an incremental reader.
// The library http_parser parses; this reader checks header names and values
// more strictly than the library does.
#ifndef SAMPHIREHILL_SERVING_HTTPMESSAGE_H
#define SAMPHIREHILL_SERVING_HTTPMESSAGE_H

#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>
#include <vector>

namespace samphirehill::serving {

struct Header {
  std::string Name;
  std::string Value;

  bool operator==(const Header &) const = default;
};

using HeaderList = std::vector<Header>;

// Returns the value of the first header called Name, ignoring case, or nullptr
// if there is none.
const std::string *findHeader(const HeaderList &Headers, std::string_view Name);

// Compares ASCII text, ignoring case.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

// Removes the hop-by-hop headers (RFC 9110, section 7.6.1): the standard ones
// and those that the Connection header names. Also removes Content-Length,
// which serialize sets.
void removeHopByHop(HeaderList &Headers);

struct HttpRequest {
  std::string Method;
  std::string Target; // path and query as received
  HeaderList Headers;
  std::string Body;
};

struct HttpResponse {
  int Status = 0;
  HeaderList Headers;
  std::string Body;
};

// Returns the bytes of Request, with a Content-Length header if it has a body
// or its method is POST or PUT.
std::string serialize(const HttpRequest &Request);

// Returns the bytes of a complete response. Close adds "Connection: close".
std::string serialize(const HttpResponse &Response, bool Close);

// Returns the head of a response whose body follows in chunks (see
// serializeChunk and LastChunk). Close adds "Connection: close".
std::string serializeChunkedHead(const HttpResponse &Response, bool Close);

// Returns Data as one chunk.
std::string serializeChunk(std::string_view Data);

// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

enum class MessageKind { Request, Response };

// Callbacks of a MessageReader. OnHead returns false if a response has no body
// although its headers announce one (an answer to HEAD).
struct MessageHandlers {
  std::function<bool(bool KeepAlive)> OnHead;
  std::function<void(std::string_view Part)> OnBody;
  std::function<void()> OnEnd;
};

enum class ReadError { None, Malformed, HeadTooLarge };

// Parses the messages that are received on one connection, one after the other.
class MessageReader {
public:
  // MaxHeadBytes bounds the request line and the headers, see setMaxHeadBytes.
  MessageReader(MessageKind Kind, std::size_t MaxHeadBytes,
                MessageHandlers Handlers);
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  // Sets the bound on the request line and the headers, also for a head that is
  // being read. The library has a bound of its own for all readers of the
  // process, which is raised as needed.
  void setMaxHeadBytes(std::size_t Changed);

  // Parses Bytes, at most to the end of one message, and returns how many bytes
  // were parsed. Callers check error() after each call.
  std::size_t read(std::string_view Bytes);

  // Called when the peer has closed the connection in order (end of file). This
  // ends a body without a length; any other incomplete message is an error.
  void readEnd();

  ReadError error() const { return Failure; }

  // Returns whether a message has begun and is not complete.
  bool inMessage() const { return InMessage; }

  // The head of the message that is being read.
  const std::string &method() const { return Method; }
  const std::string &target() const { return Target; }
  int status() const { return Status; }
  const HeaderList &headers() const { return Headers; }
  HeaderList &headers() { return Headers; }

private:
  static const http_parser_settings &callbacks();
  static MessageReader &self(http_parser *Parser);
  int countHead(std::size_t Bytes);

  http_parser Parser{};
  std::size_t MaxHeadBytes;
  std::size_t HeadBytes = 0;
  MessageHandlers Handlers;
  ReadError Failure = ReadError::None;
  bool InMessage = false;
  bool LastWasValue = true;
  std::string Method;
  std::string Target;
  int Status = 0;
  HeaderList Headers;
};

// Returns whether the body of an answer may be an event stream.
bool mayHoldEvents(const HttpResponse &Head);

// Returns whether callers take Status for a promise that their request was not
// run.
bool promisesNotRun(int Status);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_HTTPMESSAGE_H
