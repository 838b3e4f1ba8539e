// Splits an event stream (text/event-stream) into complete events, so that a
// broken stream can be resumed after the last event that the caller received.
#ifndef SAMPHIREHILL_SERVING_EVENTSPLITTER_H
#define SAMPHIREHILL_SERVING_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirehill::serving {

struct EventSplitter {
  std::string Partial; // bytes after the last complete event
  // The id of the last event returned. Events with this id or a lower one are
  // dropped.
  std::optional<std::int64_t> LastId;
  std::uint64_t Events = 0; // returned so far, without those of comments only
  // The stream contained something that is not an event; everything from there
  // on is ignored.
  bool Malformed = false;
};

// Adds Bytes and returns the events that they complete, in order and unchanged,
// without those that the caller already has. An event consists of fields and
// comments only. Unless it has comments only, it has an id or data, and an id
// if an earlier event had one. Anything else marks the stream as malformed.
std::string takeEvents(EventSplitter &Splitter, std::string_view Bytes);

// Returns whether the partial event is longer than an event may be.
bool isEventTooLong(const EventSplitter &Splitter);

// Returns the bytes after the last complete event of a stream that has ended,
// which may hold comments only. If they hold anything else, the stream ended
// within an event: marks it as malformed and returns nothing.
std::string takeRest(EventSplitter &Splitter);

// Discards a partial event and the mark as malformed, before the stream is
// resumed at another upstream.
void dropPartial(EventSplitter &Splitter);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_EVENTSPLITTER_H
