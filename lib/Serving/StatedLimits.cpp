#include "samphirehill/Serving/StatedLimits.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <cmath>

namespace samphirehill::serving {
namespace {

// An instance that states a lower limit still gets this many requests per
// second from all entries together; otherwise no answer could end the limit.
constexpr double ProbesPerSecond = 0.25;
// Time constant of the average of an entry's share.
constexpr Duration ShareMemory = seconds(2);
// How long the end of a limit is remembered and told: longer than the news of
// the limit may be under way.
constexpr Duration EndedMemory = seconds(10);
// A limit ends if its instance has answered no entry for this long.
constexpr Duration LongestSilence = seconds(30);
// Bounds the statements in a report.
constexpr std::size_t MaxNews = 256;

const StatedLimit *find(const StatedLimits &Limits, const InstanceLife &Of) {
  auto Found = Limits.ByLife.find(Of);
  return Found == Limits.ByLife.end() || !Found->second.PerSecond
             ? nullptr
             : &Found->second;
}

// Drops the oldest statements if there are too many for a report.
void keepNewest(std::vector<LimitNews> &News) {
  if (News.size() <= MaxNews)
    return;
  std::nth_element(News.begin(), News.begin() + MaxNews, News.end(),
                   [](const LimitNews &A, const LimitNews &B) {
                     return A.StatedAt > B.StatedAt;
                   });
  News.resize(MaxNews);
  std::sort(News.begin(), News.end(),
            [](const LimitNews &A, const LimitNews &B) { return A.Of < B.Of; });
}

// Returns a number in [0, 1) that differs by entry and life.
double phaseOf(const InstanceLife &Of, const EntryId &Self) {
  std::uint64_t Hash =
      combineHashes(rendezvousWeight(Of.Id.str(), Self.str()),
                    static_cast<std::uint64_t>(Of.BornMilliseconds));
  return std::ldexp(static_cast<double>(Hash >> 11U), -53);
}

// Returns this entry's part of a limit that only Sharers of all entries share:
// zero if it isn't one of them.
double shareAmong(std::size_t Sharers, const InstanceLife &Of, double Share,
                  const EntryId &Self, const std::vector<EntryId> &Others) {
  std::size_t Entries = Others.size() + 1;
  if (Entries <= Sharers)
    return Share;
  std::uint64_t OwnWeight = rendezvousWeight(Of.Id.str(), Self.str());
  auto Before = static_cast<std::size_t>(
      std::count_if(Others.begin(), Others.end(), [&](const EntryId &Each) {
        return rendezvousWeight(Of.Id.str(), Each.str()) > OwnWeight;
      }));
  if (Before >= Sharers)
    return 0;
  return Share * static_cast<double>(Entries) / static_cast<double>(Sharers);
}

} // namespace

bool noteStatement(StatedLimits &Limits, const LimitNews &News,
                   const EntryId &Self, TimePoint Now) {
  auto Found = Limits.ByLife.find(News.Of);
  if (Found == Limits.ByLife.end()) {
    if (!News.PerSecond)
      return false;
    Found = Limits.ByLife.emplace(News.Of, StatedLimit{}).first;
    Found->second.Tokens = startedShare(phaseOf(News.Of, Self), Now);
  } else if (News.StatedAt <= Found->second.StatedAt) {
    return false;
  }
  StatedLimit &Limit = Found->second;
  Limit.StatedAt = News.StatedAt;
  if (Limit.PerSecond == News.PerSecond)
    return false;
  Limit.PerSecond = News.PerSecond;
  return true;
}

bool noteOwnStatement(StatedLimits &Limits, const LimitNews &News,
                      const EntryId &Self, TimePoint Now) {
  bool Changed = noteStatement(Limits, News, Self, Now);
  auto Found = Limits.ByLife.find(News.Of);
  if (Found != Limits.ByLife.end())
    Found->second.Own = News;
  return Changed;
}

std::optional<double> statedLimit(const StatedLimits &Limits,
                                  const InstanceLife &Of) {
  const StatedLimit *Limit = find(Limits, Of);
  return Limit ? Limit->PerSecond : std::nullopt;
}

void updateShare(StatedLimits &Limits, const InstanceLife &Of, double Share,
                 const EntryId &Self, const std::vector<EntryId> &Others,
                 TimePoint Now) {
  auto Found = Limits.ByLife.find(Of);
  if (Found == Limits.ByLife.end() || !Found->second.PerSecond)
    return;
  StatedLimit &Limit = Found->second;
  bool First = Limit.Tokens.PerSecond == 0 && Limit.Share == 0;
  double Kept = First ? 0
                      : std::exp(-toSeconds(Now - Limit.Tokens.UpdatedAt) /
                                 toSeconds(ShareMemory));
  Limit.Share = Kept * Limit.Share + (1 - Kept) * Share;
  double Total = std::max(*Limit.PerSecond, ProbesPerSecond);
  double Part = shareAmong(mostSharers(Total), Of, Limit.Share, Self, Others);
  setRate(Limit.Tokens, Total, Part, Now);
}

bool mayTakeByLimit(const StatedLimits &Limits, const InstanceLife &Of,
                    TimePoint Now) {
  const StatedLimit *Limit = find(Limits, Of);
  return !Limit || hasToken(Limit->Tokens, Now);
}

TimePoint takesAt(const StatedLimits &Limits, const InstanceLife &Of,
                  std::size_t Ahead, TimePoint Now) {
  const StatedLimit *Limit = find(Limits, Of);
  return Limit ? tokenAt(Limit->Tokens, Ahead, Now) : Now;
}

void noteSentByLimit(StatedLimits &Limits, const InstanceLife &Of,
                     TimePoint Now) {
  auto Found = Limits.ByLife.find(Of);
  if (Found != Limits.ByLife.end() && Found->second.PerSecond)
    takeToken(Found->second.Tokens, Now);
}

std::vector<LimitNews> limitNews(const StatedLimits &Limits) {
  std::vector<LimitNews> News;
  for (const auto &[Life, Limit] : Limits.ByLife) {
    if (Limit.Own)
      News.push_back(*Limit.Own);
  }
  keepNewest(News);
  return News;
}

void addNews(std::vector<LimitNews> &All, const std::vector<LimitNews> &Added) {
  for (const LimitNews &Each : Added) {
    auto Found = std::lower_bound(
        All.begin(), All.end(), Each.Of,
        [](const LimitNews &A, const InstanceLife &Of) { return A.Of < Of; });
    if (Found == All.end() || Found->Of != Each.Of)
      All.insert(Found, Each);
    else if (Found->StatedAt < Each.StatedAt)
      *Found = Each;
  }
  keepNewest(All);
}

void eraseOldLimits(StatedLimits &Limits, TimePoint Now) {
  std::erase_if(Limits.ByLife, [&](const auto &Entry) {
    const StatedLimit &Limit = Entry.second;
    Duration Longest = Limit.PerSecond ? LongestSilence : EndedMemory;
    return Now - Limit.StatedAt > Longest;
  });
}

} // namespace samphirehill::serving
