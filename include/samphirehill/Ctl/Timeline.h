// The time line of all processes, as text and as trace-event JSON.
#ifndef SAMPHIREHILL_CTL_TIMELINE_H
#define SAMPHIREHILL_CTL_TIMELINE_H

#include "samphirehill/Core/Event.h"
#include "samphirehill/Ctl/VentureClient.h"

#include <string>
#include <vector>

namespace samphirehill {

enum class TimelineFormat { Text, Trace };

// Returns the events of an answer to GET /operator/events. An event that lacks
// a field is a BadAnswer.
Result<std::vector<Event>> eventsOf(const nlohmann::json &Answer);

// Returns "<UTC time, microseconds>+<counter> <process> <kind> <subject>
// (<cause>) [<request>]"; empty parts are left out.
std::string textLine(const Event &Value);

// Returns {"traceEvents": [...]} with one process for each process name and an
// instant event for each event; "ts" is in microseconds since the epoch.
nlohmann::json traceOf(const std::vector<Event> &Events);

// Tells the events of all processes in causal order. One entry collects the
// rings of the others, so the first given entry that answers is enough; if it
// couldn't reach some, other given entries are asked for these as well. Fields:
// "events" and "silent", the processes whose events are missing. Fails with the
// last error if no entry answers.
Report reportTimeline(VentureClient &Venture, TimelineFormat Format,
                      const Say &Tell);

} // namespace samphirehill

#endif // SAMPHIREHILL_CTL_TIMELINE_H
