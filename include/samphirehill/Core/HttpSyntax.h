// Rules of HTTP's syntax that every reader of answers checks, whichever library
// parses them (RFC 9110).
#ifndef SAMPHIREHILL_CORE_HTTPSYNTAX_H
#define SAMPHIREHILL_CORE_HTTPSYNTAX_H

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

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_HTTPSYNTAX_H
