// Lives of instances that have ended while the platform still lists them; see
// UpstreamBook.
#include "samphirehill/Serving/UpstreamBook.h"

#include <algorithm>

namespace samphirehill::serving {
namespace {

// The list drops an instance that ended three heartbeats before.
constexpr Duration EndedLifeMemory = seconds(4);

} // namespace

void noteLifeEnded(UpstreamBook &Book, const InstanceLife &Life,
                   TimePoint EndedAt) {
  TimePoint &Until = Book.Ended[Life];
  Until = std::max(Until, EndedAt + EndedLifeMemory);
}

void noteCrashReported(UpstreamBook &Book, const CrashId &Ended,
                       TimePoint EndedAt) {
  for (auto &[Key, State] : Book.Upstreams) {
    TimePoint Until = EndedAt + EndedLifeMemory;
    if (crashId(lifeOf(State.Info)) != Ended || State.LastAnswerAt > EndedAt ||
        State.AvoidUntil >= Until)
      continue;
    State.Avoid = AvoidReason::Unreachable;
    State.AvoidUntil = Until;
  }
}

bool hasEnded(const UpstreamBook &Book, const InstanceLife &Life,
              TimePoint Now) {
  auto Found = Book.Ended.find(Life);
  return Found != Book.Ended.end() && Now < Found->second;
}

void eraseEndedLives(UpstreamBook &Book, TimePoint Now) {
  std::erase_if(Book.Ended,
                [&](const auto &Each) { return Now >= Each.second; });
}

} // namespace samphirehill::serving
