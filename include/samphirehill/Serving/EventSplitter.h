// Cuts an event stream (text/event-stream) into whole events, so that a broken
// stream can be resumed after the last event that the caller has.
#ifndef SAMPHIREHILL_SERVING_EVENTSPLITTER_H
#define SAMPHIREHILL_SERVING_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirehill::serving {

struct EventSplitter {
  std::string Partial; // bytes after the last whole event
  // The id of the last event taken; events with an id up to it are dropped.
  std::optional<std::int64_t> LastId;
  // Something else than an event has come; nothing behind it is taken.
  bool Malformed = false;
};

// Adds Bytes and returns the whole events that they complete, in order and
// unchanged, without those that the caller already has. An event has fields
// only, among them an id or data, and an id if one before it had.
std::string takeEvents(EventSplitter &Splitter, std::string_view Bytes);

// Whether more has come without the end of an event than an event may hold.
bool isEventTooLong(const EventSplitter &Splitter);

// Returns what follows the last whole event of a stream that has ended. Marks
// the stream as malformed, and returns nothing, if it isn't like an event.
std::string takeRest(EventSplitter &Splitter);

// Forgets a partial event and what was no event, before the stream is resumed
// elsewhere.
void dropPartial(EventSplitter &Splitter);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_EVENTSPLITTER_H
