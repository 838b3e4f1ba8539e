// HTTP/1.1 messages as values, and a reader that turns bytes into them.
// Parsing is the library's (http_parser); header names and values are checked
// more strictly.
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

// Returns the first value of Name, compared without case, or nullptr.
const std::string *findHeader(const HeaderList &Headers, std::string_view Name);

// Compares ASCII text without case.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

// Removes headers that concern one connection only (RFC 9110, section 7.6.1),
// those that Connection names, and Content-Length, which serialisation sets.
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

// Returns the bytes of Request with its length.
std::string serialize(const HttpRequest &Request);

// Returns the bytes of a whole response. Close adds "Connection: close".
std::string serialize(const HttpResponse &Response, bool Close);

// Returns the head of a response whose body follows in chunks.
std::string serializeChunkedHead(const HttpResponse &Response, bool Close);

// Returns Data as one chunk.
std::string serializeChunk(std::string_view Data);

// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

enum class MessageKind { Request, Response };

// What a MessageReader tells. OnHead returns false if a response's body must
// not be expected (an answer to HEAD).
struct MessageHandlers {
  std::function<bool(bool KeepAlive)> OnHead;
  std::function<void(std::string_view Part)> OnBody;
  std::function<void()> OnEnd;
};

enum class ReadError { None, Malformed, HeadTooLarge };

// Reads messages of one connection, one after the other.
class MessageReader {
public:
  // MaxHeadBytes bounds the request line and the headers.
  MessageReader(MessageKind Kind, std::size_t MaxHeadBytes,
                MessageHandlers Handlers);
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  // Takes Bytes up to the end of one message at most, and returns how many it
  // took. Check error() after each call.
  std::size_t read(std::string_view Bytes);

  // Tells the reader that the peer has closed in order. Ends a body that has
  // no length; anything else that is incomplete is an error.
  void readEnd();

  ReadError error() const { return Failure; }

  // Tells whether a message has begun and not ended.
  bool inMessage() const { return InMessage; }

  // The head of the message being read.
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

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_HTTPMESSAGE_H
