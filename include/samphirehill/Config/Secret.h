// Secrets and their digests. A Secret can't be printed, formatted or compared
// in a way that tells how much of it was right.
#ifndef SAMPHIREHILL_CONFIG_SECRET_H
#define SAMPHIREHILL_CONFIG_SECRET_H

#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>

namespace samphirehill {

// A key that must not reach a log, a message or an object. Streaming it prints
// "<secret>". Only reveal() gives the value; call it where the key goes on the
// wire and nowhere else.
class Secret {
public:
  Secret() = default;
  explicit Secret(std::string Value) : Value(std::move(Value)) {}

  const std::string &reveal() const { return Value; }
  bool empty() const { return Value.empty(); }
  // Tells whether Candidate is the secret, in a time that depends only on the
  // lengths. An empty secret matches nothing.
  bool matches(std::string_view Candidate) const;

  bool operator==(const Secret &Other) const = default;

private:
  std::string Value;
};

std::ostream &operator<<(std::ostream &Stream, const Secret &Value);

// Returns the SHA-256 digest of Bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Bytes);

} // namespace samphirehill

#endif // SAMPHIREHILL_CONFIG_SECRET_H
