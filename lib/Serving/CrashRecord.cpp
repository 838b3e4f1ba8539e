#include "samphirehill/Serving/CrashRecord.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirehill::serving {
namespace {

using SeenBreakOffs = std::map<std::uint64_t, SeenBreakOff>; // by upstream

TimePoint lastOf(const SeenBreakOffs &Seen) {
  TimePoint Last{};
  for (const auto &[Upstream, Each] : Seen)
    Last = std::max(Last, Each.At);
  return Last;
}

// Returns whether MaxBreakOffs of Seen came within Retention of each other, the
// last one within Retention of now.
bool isRefused(const CrashRecord &Record, const SeenBreakOffs &Seen,
               TimePoint Now) {
  TimePoint Last = lastOf(Seen);
  if (Now - Last >= Record.Retention)
    return false;
  auto Counted = std::count_if(Seen.begin(), Seen.end(), [&](const auto &Each) {
    return Last - Each.second.At < Record.Retention;
  });
  return Counted >= Record.MaxBreakOffs;
}

// Returns the refused requests that fit into a report, the latest first.
std::vector<std::uint64_t> refusedRequests(const CrashRecord &Record,
                                           bool ResentOnly, TimePoint Now) {
  std::vector<std::pair<TimePoint, std::uint64_t>> Refused;
  for (const auto &[Request, Seen] : Record.BreakOffs) {
    bool Resent = std::any_of(Seen.begin(), Seen.end(), [](const auto &Each) {
      return Each.second.Resent;
    });
    if (isRefused(Record, Seen, Now) && (Resent || !ResentOnly))
      Refused.emplace_back(lastOf(Seen), Request);
  }
  std::sort(Refused.rbegin(), Refused.rend());
  if (Refused.size() > Record.MaxReported)
    Refused.resize(Record.MaxReported);
  std::vector<std::uint64_t> Requests;
  Requests.reserve(Refused.size());
  for (const auto &[Last, Request] : Refused)
    Requests.push_back(Request);
  return Requests;
}

void makeRoom(CrashRecord &Record) {
  auto Rank = [](const auto &Request) {
    return std::pair(Request.second.size(), lastOf(Request.second));
  };
  auto Least = std::min_element(
      Record.BreakOffs.begin(), Record.BreakOffs.end(),
      [&](const auto &A, const auto &B) { return Rank(A) < Rank(B); });
  Record.BreakOffs.erase(Least);
  ++Record.Dropped;
}

} // namespace

std::uint64_t requestFingerprint(std::string_view Target, std::string_view Key,
                                 std::string_view Body) {
  return combineHashes(combineHashes(hashBytes(Target), hashBytes(Key)),
                       hashBytes(Body));
}

void noteBreakOff(CrashRecord &Record, const BreakOff &Observed) {
  if (Record.BreakOffs.size() >= Record.MaxRequests &&
      !Record.BreakOffs.contains(Observed.Request))
    makeRoom(Record);
  Record.BreakOffs[Observed.Request].emplace(
      Observed.Upstream, SeenBreakOff{Observed.SeenAt, Observed.Resent});
}

void noteOwnBreakOff(CrashRecord &Record, const BreakOff &Observed) {
  noteBreakOff(Record, Observed);
  Record.Recent.push_back(Observed);
}

bool mayRun(const CrashRecord &Record, std::uint64_t Request, TimePoint Now) {
  auto Found = Record.BreakOffs.find(Request);
  return Found == Record.BreakOffs.end() ||
         !isRefused(Record, Found->second, Now);
}

bool hasBrokenOff(const CrashRecord &Record, std::uint64_t Request,
                  TimePoint Now) {
  auto Found = Record.BreakOffs.find(Request);
  return Found != Record.BreakOffs.end() &&
         Now - lastOf(Found->second) < Record.Retention;
}

std::vector<std::uint64_t> resentAndRefused(const CrashRecord &Record,
                                            TimePoint Now) {
  return refusedRequests(Record, true, Now);
}

std::vector<BreakOff> refusedBreakOffs(const CrashRecord &Record,
                                       TimePoint Now) {
  std::vector<BreakOff> Report;
  for (std::uint64_t Request : refusedRequests(Record, false, Now)) {
    for (const auto &[Upstream, Seen] : Record.BreakOffs.at(Request))
      Report.push_back({Request, Upstream, Seen.At, Seen.Resent});
  }
  return Report;
}

void addBreakOffs(std::vector<BreakOff> &Sum,
                  const std::vector<BreakOff> &Report) {
  std::set<std::pair<std::uint64_t, std::uint64_t>> Known;
  for (const BreakOff &Each : Sum)
    Known.emplace(Each.Request, Each.Upstream);
  for (const BreakOff &Each : Report) {
    if (Known.emplace(Each.Request, Each.Upstream).second)
      Sum.push_back(Each);
  }
}

void expire(CrashRecord &Record, Duration ReportTime, TimePoint Now) {
  std::erase_if(Record.Recent, [&](const BreakOff &Own) {
    return Now - Own.SeenAt > ReportTime;
  });
  std::erase_if(Record.BreakOffs, [&](const auto &Request) {
    return std::all_of(Request.second.begin(), Request.second.end(),
                       [&](const auto &Seen) {
                         return Now - Seen.second.At > Record.Retention;
                       });
  });
}

} // namespace samphirehill::serving
