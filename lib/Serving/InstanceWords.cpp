#include "samphirehill/Serving/InstanceWords.h"

#include <algorithm>
#include <utility>

namespace samphirehill::serving {
namespace {

// A leaving instance may serve for minutes until its work is done.
constexpr Duration WordMemory = LongestPause;
// The part of a pause, and the most, by which entries spread their return.
constexpr double SpreadPart = 0.1;
constexpr Duration LongestSpread = milliseconds(500);

const InstanceWord *find(const InstanceWords &Words, const InstanceLife &Of) {
  auto Found = Words.Said.find(Of);
  return Found == Words.Said.end() ? nullptr : &Found->second;
}

} // namespace

bool noteLeaving(InstanceWords &Words, const InstanceLife &From,
                 TimePoint Now) {
  InstanceWord &Word = Words.Said[From];
  Word.SaidAt = Now;
  return !std::exchange(Word.Leaving, true);
}

TimePoint noteQuiet(InstanceWords &Words, const InstanceLife &From,
                    Duration Pause, double Spread, TimePoint Now) {
  InstanceWord &Word = Words.Said[From];
  Word.SaidAt = Now;
  Duration Asked = std::min(Pause, LongestPause);
  auto Most = std::chrono::duration_cast<Duration>(Asked * SpreadPart);
  auto Added = std::chrono::duration_cast<Duration>(
      std::min(Most, LongestSpread) * Spread);
  Word.QuietUntil = std::max(Word.QuietUntil, Now + Asked + Added);
  return Word.QuietUntil;
}

bool saysLeaving(const InstanceWords &Words, const InstanceLife &Of) {
  const InstanceWord *Word = find(Words, Of);
  return Word && Word->Leaving;
}

TimePoint quietUntil(const InstanceWords &Words, const InstanceLife &Of) {
  const InstanceWord *Word = find(Words, Of);
  return Word ? Word->QuietUntil : TimePoint{};
}

void forgetOldWords(InstanceWords &Words, TimePoint Now) {
  std::erase_if(Words.Said, [&](const auto &Each) {
    return Now - Each.second.SaidAt > WordMemory &&
           Now >= Each.second.QuietUntil;
  });
}

} // namespace samphirehill::serving
