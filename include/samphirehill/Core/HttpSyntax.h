// Rules of HTTP's syntax that every reader of answers checks, whichever library
// parses them (RFC 9110).
#ifndef SAMPHIREHILL_CORE_HTTPSYNTAX_H
#define SAMPHIREHILL_CORE_HTTPSYNTAX_H

namespace samphirehill {

// Returns whether Status is in the range of valid status codes (RFC 9110,
// section 15). After an answer with another one, nothing that its connection
// carries can be relied on.
constexpr bool isValidStatus(int Status) {
  return Status >= 100 && Status <= 599;
}

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_HTTPSYNTAX_H
