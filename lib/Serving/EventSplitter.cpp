#include "samphirehill/Serving/EventSplitter.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace samphirehill::serving {
namespace {

// An event may have this many bytes. Events of engines are far smaller: they
// hold a few tokens each.
constexpr std::size_t MaxEventBytes = 262'144;

struct EventEnd {
  std::size_t Size = 0; // of the event with its empty line; 0: incomplete
};

// Returns the end of the first event, an empty line. Lines end with LF or CRLF.
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

// Returns the number in the event's id line, if it has one.
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

// Returns whether Name is a field of the standard, which may lack a value.
bool isKnownField(std::string_view Name) {
  constexpr std::string_view Known[] = {"data", "event", "id", "retry"};
  return std::find(std::begin(Known), std::end(Known), Name) != std::end(Known);
}

// What kinds of lines an event contains.
struct EventContent {
  bool FieldsOnly = true; // and comments; nothing else
  bool AnyField = false;
  bool HasId = false;
  bool HasData = false;
};

EventContent contentOf(std::string_view Event) {
  EventContent Content;
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
    bool HasNoValue = Colon == std::string_view::npos;
    Content.FieldsOnly = Content.FieldsOnly && isFieldName(Name) &&
                         (!HasNoValue || isKnownField(Name));
    Content.AnyField = true;
    Content.HasId = Content.HasId || Name == "id";
    Content.HasData = Content.HasData || Name == "data";
  }
  return Content;
}

// Returns whether lines with Content form a valid event of a stream. HasIds
// says whether an earlier event of the stream had an id.
bool isEvent(const EventContent &Content, bool HasIds) {
  if (!Content.FieldsOnly)
    return false;
  if (!Content.AnyField)
    return true; // only comments
  return Content.HasId || (Content.HasData && !HasIds);
}

} // namespace

std::string takeEvents(EventSplitter &Splitter, std::string_view Bytes) {
  if (Splitter.Malformed)
    return {};
  Splitter.Partial += Bytes;
  std::string_view Unparsed = Splitter.Partial;
  std::string Complete;
  while (std::size_t Size = findEnd(Unparsed).Size) {
    std::string_view Event = Unparsed.substr(0, Size);
    EventContent Content = contentOf(Event);
    if (!isEvent(Content, Splitter.LastId.has_value())) {
      Splitter.Malformed = true;
      break;
    }
    Unparsed.remove_prefix(Size);
    std::optional<std::int64_t> Number = idOf(Event);
    if (Number && Splitter.LastId && *Number <= *Splitter.LastId)
      continue;
    if (Number)
      Splitter.LastId = Number;
    Splitter.Events += Content.AnyField;
    Complete += Event;
  }
  Splitter.Partial.erase(0, Splitter.Partial.size() - Unparsed.size());
  return Complete;
}

bool isEventTooLong(const EventSplitter &Splitter) {
  return Splitter.Partial.size() > MaxEventBytes;
}

std::string takeRest(EventSplitter &Splitter) {
  std::string Rest = std::exchange(Splitter.Partial, {});
  if (!contentOf(Rest).AnyField)
    return Rest;
  Splitter.Malformed = true;
  return {};
}

void dropPartial(EventSplitter &Splitter) {
  Splitter.Partial.clear();
  Splitter.Malformed = false;
}

} // namespace samphirehill::serving
