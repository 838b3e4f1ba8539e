// Checks one streamed answer against the tokens that the stand-in engine makes.
#ifndef SAMPHIREHILL_LOADTOOL_STREAMCHECK_H
#define SAMPHIREHILL_LOADTOOL_STREAMCHECK_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirehill::loadtool {

// Cuts a stream that arrives in pieces into blocks that end with Separator.
class BlockReader {
public:
  explicit BlockReader(std::string Separator)
      : Separator(std::move(Separator)) {}

  // Adds Bytes and returns the blocks that are complete, without separators.
  std::vector<std::string> take(std::string_view Bytes);

private:
  std::string Separator;
  std::string Rest;
};

// What one block of an event stream says.
struct StreamEvent {
  enum class Kind { Text, Done, Error, Other };
  Kind What = Kind::Other;
  std::string Text;
  int Code = 0; // of an error
};

// Reads a block of a caller's event stream (docs/interfaces.md section 5).
StreamEvent readEvent(const std::string &Block);
// Reads a line of an engine's answer (section 3.3).
StreamEvent readEngineLine(const std::string &Line);

// Compares texts in order of arrival with the expected tokens.
class StreamCheck {
public:
  explicit StreamCheck(std::vector<std::string> Expected)
      : Expected(std::move(Expected)) {}

  // Takes the next piece of the answer; it may hold several tokens.
  void take(std::string_view Piece);
  // Call at the end mark: tokens must not be missing then.
  void end();

  // What was wrong first; empty if nothing was.
  const std::string &fault() const { return Fault; }
  std::size_t tokens() const { return Next; }

private:
  std::vector<std::string> Expected;
  std::size_t Next = 0; // index of the next token
  std::string Fault;
};

} // namespace samphirehill::loadtool

#endif // SAMPHIREHILL_LOADTOOL_STREAMCHECK_H
