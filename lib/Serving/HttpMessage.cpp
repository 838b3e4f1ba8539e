#include "samphirehill/Serving/HttpMessage.h"

#include "samphirehill/Core/HttpSyntax.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

namespace samphirehill::serving {
namespace {

// Headers that removeHopByHop removes, in lower case.
constexpr std::string_view HopByHopHeaders[] = {
    "connection",     "keep-alive",        "proxy-connection", "te",
    "trailer",        "transfer-encoding", "upgrade",          "expect",
    "content-length", "proxy-authenticate"};

char toLower(char Value) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(Value)));
}

// Returns the header names that the Connection headers list.
std::vector<std::string> connectionOptions(const HeaderList &Headers) {
  std::vector<std::string> Names;
  for (const Header &Field : Headers) {
    if (!equalsIgnoringCase(Field.Name, "connection"))
      continue;
    std::string Name;
    for (char Letter : Field.Value + ",") {
      if (Letter == ',') {
        if (!Name.empty())
          Names.push_back(std::move(Name));
        Name.clear();
        continue;
      }
      if (Letter != ' ' && Letter != '\t')
        Name += Letter;
    }
  }
  return Names;
}

void appendHeaders(std::string &Output, const HeaderList &Headers) {
  for (const Header &Field : Headers) {
    Output += Field.Name;
    Output += ": ";
    Output += Field.Value;
    Output += "\r\n";
  }
}

bool areWellFormed(const HeaderList &Headers) {
  return std::all_of(Headers.begin(), Headers.end(), [](const Header &Field) {
    return isToken(Field.Name) && isFieldValue(Field.Value);
  });
}

// Returns the status line and the headers, without the empty line at the end.
std::string responseStart(const HttpResponse &Response, bool Close) {
  std::string Bytes = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Bytes += http_status_str(static_cast<enum http_status>(Response.Status));
  Bytes += "\r\n";
  appendHeaders(Bytes, Response.Headers);
  if (Close)
    Bytes += "Connection: close\r\n";
  return Bytes;
}

// The library counts line ends and blanks too.
constexpr std::size_t ParserSlackBytes = 16'384;

// Raises the library's bound on heads, which holds for the whole process, so
// that heads of Bytes can be read.
void raiseParserBound(std::size_t Bytes) {
  static std::size_t Bound = HTTP_MAX_HEADER_SIZE;
  if (Bytes + ParserSlackBytes <= Bound)
    return;
  Bound = std::min<std::size_t>(Bytes + ParserSlackBytes,
                                std::numeric_limits<std::uint32_t>::max());
  http_parser_set_max_header_size(static_cast<std::uint32_t>(Bound));
}

} // namespace

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

const std::string *findHeader(const HeaderList &Headers,
                              std::string_view Name) {
  for (const Header &Field : Headers) {
    if (equalsIgnoringCase(Field.Name, Name))
      return &Field.Value;
  }
  return nullptr;
}

void removeHopByHop(HeaderList &Headers) {
  std::vector<std::string> ConnectionNames = connectionOptions(Headers);
  std::erase_if(Headers, [&](const Header &Field) {
    auto HasName = [&](std::string_view Name) {
      return equalsIgnoringCase(Field.Name, Name);
    };
    return std::any_of(std::begin(HopByHopHeaders), std::end(HopByHopHeaders),
                       HasName) ||
           std::any_of(ConnectionNames.begin(), ConnectionNames.end(), HasName);
  });
}

std::string serialize(const HttpRequest &Request) {
  std::string Bytes = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  appendHeaders(Bytes, Request.Headers);
  if (!Request.Body.empty() || Request.Method == "POST" ||
      Request.Method == "PUT")
    Bytes += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  Bytes += "\r\n";
  Bytes += Request.Body;
  return Bytes;
}

std::string serialize(const HttpResponse &Response, bool Close) {
  std::string Bytes = responseStart(Response, Close);
  if (Response.Status != 204 && Response.Status != 304)
    Bytes += "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n";
  Bytes += "\r\n";
  Bytes += Response.Body;
  return Bytes;
}

std::string serializeChunkedHead(const HttpResponse &Response, bool Close) {
  return responseStart(Response, Close) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string serializeChunk(std::string_view Data) {
  char Size[17];
  char *End = std::to_chars(Size, Size + sizeof(Size), Data.size(), 16).ptr;
  std::string Bytes(Size, End);
  Bytes += "\r\n";
  Bytes += Data;
  Bytes += "\r\n";
  return Bytes;
}

MessageReader &MessageReader::self(http_parser *Parser) {
  return *static_cast<MessageReader *>(Parser->data);
}

int MessageReader::countHead(std::size_t Bytes) {
  HeadBytes += Bytes;
  if (HeadBytes <= MaxHeadBytes)
    return 0;
  Failure = ReadError::HeadTooLarge;
  return 1;
}

const http_parser_settings &MessageReader::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Callbacks;
    http_parser_settings_init(&Callbacks);
    Callbacks.on_message_begin = [](http_parser *Parser) {
      MessageReader &Self = self(Parser);
      Self.InMessage = true;
      Self.LastWasValue = true;
      Self.HeadBytes = 0;
      Self.Target.clear();
      Self.Headers.clear();
      return 0;
    };
    Callbacks.on_url = [](http_parser *Parser, const char *At,
                          std::size_t Size) {
      self(Parser).Target.append(At, Size);
      return self(Parser).countHead(Size);
    };
    Callbacks.on_header_field = [](http_parser *Parser, const char *At,
                                   std::size_t Size) {
      MessageReader &Self = self(Parser);
      if (Self.LastWasValue)
        Self.Headers.emplace_back();
      Self.LastWasValue = false;
      Self.Headers.back().Name.append(At, Size);
      return Self.countHead(Size + 4); // with ": " and CR LF
    };
    Callbacks.on_header_value = [](http_parser *Parser, const char *At,
                                   std::size_t Size) {
      MessageReader &Self = self(Parser);
      Self.LastWasValue = true;
      if (!Self.Headers.empty())
        Self.Headers.back().Value.append(At, Size);
      return Self.countHead(Size);
    };
    Callbacks.on_headers_complete = [](http_parser *Parser) {
      MessageReader &Self = self(Parser);
      Self.Status = static_cast<int>(Parser->status_code);
      bool HasStatus = Parser->type == HTTP_RESPONSE;
      if (!areWellFormed(Self.Headers) ||
          (HasStatus && !isUsableStatus(Self.Status))) {
        Self.Failure = ReadError::Malformed;
        return -1;
      }
      if (Parser->type == HTTP_REQUEST)
        Self.Method =
            http_method_str(static_cast<enum http_method>(Parser->method));
      bool KeepAlive = http_should_keep_alive(Parser) != 0;
      return Self.Handlers.OnHead(KeepAlive) ? 0 : 1;
    };
    Callbacks.on_body = [](http_parser *Parser, const char *At,
                           std::size_t Size) {
      self(Parser).Handlers.OnBody(std::string_view(At, Size));
      return 0;
    };
    Callbacks.on_message_complete = [](http_parser *Parser) {
      self(Parser).InMessage = false;
      http_parser_pause(Parser, 1);
      return 0;
    };
    return Callbacks;
  }();
  return Settings;
}

MessageReader::MessageReader(MessageKind Kind, std::size_t MaxHeadBytes,
                             MessageHandlers Handlers)
    : Handlers(std::move(Handlers)) {
  setMaxHeadBytes(MaxHeadBytes);
  http_parser_init(&Parser,
                   Kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
}

void MessageReader::setMaxHeadBytes(std::size_t Changed) {
  MaxHeadBytes = Changed;
  raiseParserBound(Changed);
}

std::size_t MessageReader::read(std::string_view Bytes) {
  if (Failure != ReadError::None || Bytes.empty())
    return 0;
  std::size_t Parsed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (HTTP_PARSER_ERRNO(&Parser) == HPE_PAUSED) {
    http_parser_pause(&Parser, 0);
    Handlers.OnEnd();
    return Parsed;
  }
  if (HTTP_PARSER_ERRNO(&Parser) == HPE_HEADER_OVERFLOW)
    Failure = ReadError::HeadTooLarge;
  bool Upgrade = Parser.upgrade != 0;
  if ((HTTP_PARSER_ERRNO(&Parser) != HPE_OK || Upgrade) &&
      Failure == ReadError::None)
    Failure = ReadError::Malformed;
  return Parsed;
}

void MessageReader::readEnd() {
  if (Failure != ReadError::None || !InMessage)
    return;
  http_parser_execute(&Parser, &callbacks(), nullptr, 0);
  if (HTTP_PARSER_ERRNO(&Parser) == HPE_PAUSED) {
    Handlers.OnEnd();
    return;
  }
  Failure = ReadError::Malformed;
}

bool mayHoldEvents(const HttpResponse &Head) {
  const std::string *Type = findHeader(Head.Headers, "content-type");
  return Head.Status == 200 &&
         (!Type || Type->starts_with("text/event-stream"));
}

bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace samphirehill::serving
