#include "samphirehill/Serving/EventSplitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace samphirehill::serving {
namespace {

// Bytes of one event; those of engines hold a few tokens.
constexpr std::size_t MaxEventBytes = 262'144;

struct EventEnd {
  std::size_t Size = 0; // of the event with its empty line; 0: not whole
};

// Finds the empty line that ends the first event. Lines end with LF or CRLF.
EventEnd findEnd(std::string_view Bytes) {
  std::size_t LineStart = 0;
  while (LineStart < Bytes.size()) {
    std::size_t LineEnd = Bytes.find('\n', LineStart);
    if (LineEnd == std::string_view::npos)
      return {};
    std::string_view Line = Bytes.substr(LineStart, LineEnd - LineStart);
    if (Line.empty() || Line == "\r")
      return {LineEnd + 1};
    LineStart = LineEnd + 1;
  }
  return {};
}

// Returns the number of the event's id line, if it has one.
std::optional<std::int64_t> idOf(std::string_view Event) {
  std::size_t LineStart = 0;
  while (LineStart < Event.size()) {
    std::size_t LineEnd = std::min(Event.find('\n', LineStart), Event.size());
    std::string_view Line = Event.substr(LineStart, LineEnd - LineStart);
    LineStart = LineEnd + 1;
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    if (Line.starts_with(" "))
      Line.remove_prefix(1);
    std::int64_t Number = 0;
    auto [End, Failed] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Number);
    if (Failed == std::errc() && End != Line.data())
      return Number;
  }
  return std::nullopt;
}

} // namespace

std::string takeEvents(EventSplitter &Splitter, std::string_view Bytes) {
  Splitter.Partial += Bytes;
  std::string_view Left = Splitter.Partial;
  std::string Whole;
  while (std::size_t Size = findEnd(Left).Size) {
    std::string_view Event = Left.substr(0, Size);
    Left.remove_prefix(Size);
    std::optional<std::int64_t> Number = idOf(Event);
    if (Number && Splitter.LastId && *Number <= *Splitter.LastId)
      continue;
    if (Number)
      Splitter.LastId = Number;
    Whole += Event;
  }
  Splitter.Partial.erase(0, Splitter.Partial.size() - Left.size());
  return Whole;
}

bool eventTooLong(const EventSplitter &Splitter) {
  return Splitter.Partial.size() > MaxEventBytes;
}

std::string takeRest(EventSplitter &Splitter) {
  return std::exchange(Splitter.Partial, {});
}

void dropPartial(EventSplitter &Splitter) { Splitter.Partial.clear(); }

} // namespace samphirehill::serving
