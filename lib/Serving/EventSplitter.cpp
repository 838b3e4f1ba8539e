#include "samphirehill/Serving/EventSplitter.h"

#include <algorithm>
#include <cctype>
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

bool isFieldName(std::string_view Name) {
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), [](char Letter) {
           return std::isalnum(static_cast<unsigned char>(Letter)) != 0 ||
                  Letter == '-' || Letter == '_';
         });
}

// Fields that may stand without a value.
bool isKnownField(std::string_view Name) {
  constexpr std::string_view Known[] = {"data", "event", "id", "retry"};
  return std::find(std::begin(Known), std::end(Known), Name) != std::end(Known);
}

// What the lines of an event hold.
struct EventShape {
  bool FieldsOnly = true; // and comments
  bool AnyField = false;
  bool HasId = false;
  bool HasData = false;
};

EventShape shapeOf(std::string_view Event) {
  EventShape Shape;
  while (!Event.empty()) {
    std::size_t LineEnd = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, LineEnd);
    Event.remove_prefix(std::min(LineEnd + 1, Event.size()));
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.empty() || Line.front() == ':')
      continue;
    std::size_t Colon = Line.find(':');
    std::string_view Name = Line.substr(0, Colon);
    bool Bare = Colon == std::string_view::npos;
    Shape.FieldsOnly =
        Shape.FieldsOnly && isFieldName(Name) && (!Bare || isKnownField(Name));
    Shape.AnyField = true;
    Shape.HasId = Shape.HasId || Name == "id";
    Shape.HasData = Shape.HasData || Name == "data";
  }
  return Shape;
}

// Whether an event with Shape may follow in a stream, of which HasIds tells
// whether its events have ids.
bool isEvent(const EventShape &Shape, bool HasIds) {
  if (!Shape.FieldsOnly)
    return false;
  if (!Shape.AnyField)
    return true; // a comment
  return Shape.HasId || (Shape.HasData && !HasIds);
}

} // namespace

std::string takeEvents(EventSplitter &Splitter, std::string_view Bytes) {
  if (Splitter.Malformed)
    return {};
  Splitter.Partial += Bytes;
  std::string_view Left = Splitter.Partial;
  std::string Whole;
  while (std::size_t Size = findEnd(Left).Size) {
    std::string_view Event = Left.substr(0, Size);
    if (!isEvent(shapeOf(Event), Splitter.LastId.has_value())) {
      Splitter.Malformed = true;
      break;
    }
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

bool isEventTooLong(const EventSplitter &Splitter) {
  return Splitter.Partial.size() > MaxEventBytes;
}

std::string takeRest(EventSplitter &Splitter) {
  std::string Rest = std::exchange(Splitter.Partial, {});
  if (isEvent(shapeOf(Rest), Splitter.LastId.has_value()))
    return Rest;
  Splitter.Malformed = true;
  return {};
}

void dropPartial(EventSplitter &Splitter) {
  Splitter.Partial.clear();
  Splitter.Malformed = false;
}

} // namespace samphirehill::serving
