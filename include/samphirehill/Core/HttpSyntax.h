// Rules of HTTP's syntax that every reader of answers checks, whichever library
// parses them (RFC 9110).
#ifndef SAMPHIREHILL_CORE_HTTPSYNTAX_H
#define SAMPHIREHILL_CORE_HTTPSYNTAX_H

#include <string_view>

namespace samphirehill {

// Sent only if the request asks for another protocol, which no request of this
// system does.
inline constexpr int SwitchingProtocols = 101;

// Returns whether Status is one that an answer may have: in the range of valid
// status codes (RFC 9110, section 15) and not SwitchingProtocols. After an
// answer with another one, nothing that its connection carries can be relied
// on.
constexpr bool isUsableStatus(int Status) {
  return Status >= 100 && Status <= 599 && Status != SwitchingProtocols;
}

// Returns whether Name is a token (section 5.6.2), as names of fields must be.
// Libraries accept more, such as spaces before the colon, which other
// implementations read as the end of the headers.
bool isToken(std::string_view Name);

// Returns whether Value is free of control characters, so that it can be
// forwarded without changing how the bytes after it are parsed.
bool isFieldValue(std::string_view Value);

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_HTTPSYNTAX_H
