#include "samphirehill/Idempotency/RecordedCall.h"

namespace samphirehill {

CallOutcome keptOutcome(const CallOutcome &Outcome) {
  constexpr std::size_t MaxContentTypeBytes = 128;
  if (Outcome.Body.size() <= MaxKeptBodyBytes &&
      Outcome.ContentType.size() <= MaxContentTypeBytes)
    return Outcome;
  return CallOutcome{Outcome.Status, "", "", true};
}

} // namespace samphirehill
