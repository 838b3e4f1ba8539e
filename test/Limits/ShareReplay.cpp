#include "ShareReplay.h"

#include <algorithm>
#include <deque>
#include <random>
#include <tuple>
#include <utility>

namespace samphirehill {
namespace {

constexpr Duration Step = milliseconds(10);
constexpr Duration ReportPeriod = milliseconds(200);
constexpr Duration ReportDelay = milliseconds(200);
constexpr Duration MaxReportAge = seconds(1);
constexpr Duration MaxWait = milliseconds(500);
constexpr Duration MeanHolding = milliseconds(1'200);
constexpr std::size_t QueueLength = 4;

struct Request {
  int Caller = 0;
  TimePoint At{}; // arrival, or end of the holding
};

struct Report {
  TimePoint At{};
  WorkByClaim Work;
};

struct ReplayedEntry {
  PlaceClaims Claims;
  std::vector<Request> Waiting;
  std::vector<Request> Running;
  std::deque<Report> Sent; // the oldest first
};

class Player {
public:
  explicit Player(const ShareReplay &Replay)
      : Replay(Replay), Random(Replay.Seed),
        Entries(static_cast<std::size_t>(Replay.Entries)) {
    Result.Callers.resize(Replay.Callers.size());
  }

  ShareReplayResult play() {
    TimePoint Start{seconds(100)};
    for (Now = Start; Now - Start < Replay.Length; Now += Step) {
      if ((Now - Start) % ReportPeriod == Duration::zero())
        exchangeReports(Now - Start);
      if (Replay.LostAt && Now - Start >= *Replay.LostAt && Lost == 0)
        loseZone();
      endRequests();
      arrive();
      bool Waits = false;
      // Another entry is first at each step.
      for (std::size_t Count = 0; Count < Entries.size(); ++Count) {
        ReplayedEntry &Each = Entries[(First + Count) % Entries.size()];
        dispatch(Each);
        Waits = Waits || !Each.Waiting.empty();
      }
      First = (First + 7) % Entries.size();
      if (Waits)
        Result.IdleSeconds += toSeconds(Step) * (places() - Taken);
    }
    return Result;
  }

private:
  ClaimKey keyOf(int Caller) const {
    return {Replay.Callers[static_cast<std::size_t>(Caller)].Rank,
            OrganisationId("o" + std::to_string(Caller))};
  }

  // Each entry learns the sum of the reports that arrived, less its own.
  void exchangeReports(Duration At) {
    WorkByClaim Sum;
    std::vector<const Report *> Counted;
    for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
      ReplayedEntry &Each = Entries[Index];
      if (!isLost(Index) && Replay.Reports(static_cast<int>(Index), At))
        Each.Sent.push_back(
            {Now, reportedClaims(Each.Claims, Replay.Settings, Now)});
      while (Each.Sent.size() > 1 && Now - Each.Sent[1].At >= ReportDelay)
        Each.Sent.pop_front();
      bool Known = !Each.Sent.empty() &&
                   Now - Each.Sent.front().At >= ReportDelay &&
                   Now - Each.Sent.front().At <= MaxReportAge;
      Counted.push_back(Known ? &Each.Sent.front() : nullptr);
      if (Known)
        addWork(Sum, Each.Sent.front().Work);
    }
    for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
      WorkByClaim Others = Sum;
      if (Counted[Index])
        subtractWork(Others, Counted[Index]->Work);
      setOthers(Entries[Index].Claims, std::move(Others));
      setPlaces(Entries[Index].Claims, places());
    }
  }

  bool isLost(std::size_t Entry) const { return Lost > 0 && Entry % 3 == 0; }
  int places() const { return Replay.Places - Lost; }

  // The requests of the lost entries end; their callers go to the others.
  void loseZone() {
    Lost = Replay.Places / 3;
    for (std::size_t Index = 0; Index < Entries.size(); Index += 3) {
      Taken -= static_cast<int>(Entries[Index].Running.size());
      Entries[Index] = ReplayedEntry();
    }
  }

  void endRequests() {
    for (ReplayedEntry &Each : Entries) {
      std::erase_if(Each.Running, [&](const Request &Done) {
        if (Done.At > Now)
          return false;
        moveClaim(Each.Claims, keyOf(Done.Caller), ClaimPhase::Holding,
                  ClaimPhase::None);
        --Taken;
        return true;
      });
      std::erase_if(Each.Waiting, [&](const Request &Late) {
        if (Now - Late.At <= MaxWait)
          return false;
        refuse(Each, Late);
        return true;
      });
    }
  }

  void refuse(ReplayedEntry &Entry, const Request &Refused) {
    moveClaim(Entry.Claims, keyOf(Refused.Caller), ClaimPhase::Waiting,
              ClaimPhase::None);
    ++Result.Callers[static_cast<std::size_t>(Refused.Caller)].Refused;
  }

  void arrive() {
    std::uniform_int_distribution<std::size_t> AnyEntry(0, Entries.size() - 1);
    for (std::size_t Caller = 0; Caller < Replay.Callers.size(); ++Caller) {
      std::poisson_distribution<int> Count(Replay.Callers[Caller].Offered *
                                           toSeconds(Step) /
                                           toSeconds(MeanHolding));
      for (int Left = Count(Random); Left > 0; --Left) {
        std::size_t Chosen = AnyEntry(Random);
        ReplayedEntry &Entry = Entries[isLost(Chosen) ? Chosen + 1 : Chosen];
        auto Index = static_cast<int>(Caller);
        ++Result.Callers[Caller].Asked;
        noteAsked(Entry.Claims, keyOf(Index), MeanHolding, Now);
        moveClaim(Entry.Claims, keyOf(Index), ClaimPhase::None,
                  ClaimPhase::Waiting);
        Entry.Waiting.push_back({Index, Now});
        order(Entry);
        if (Entry.Waiting.size() <= QueueLength)
          continue;
        refuse(Entry, Entry.Waiting.back());
        Entry.Waiting.pop_back();
      }
    }
  }

  const ShareTable &tableOf(ReplayedEntry &Entry) {
    return shareTable(Entry.Claims, Replay.Settings, Now);
  }

  void order(ReplayedEntry &Entry) {
    const ShareTable &Table = tableOf(Entry);
    std::stable_sort(
        Entry.Waiting.begin(), Entry.Waiting.end(),
        [&](const Request &A, const Request &B) {
          ClaimKey KeyA = keyOf(A.Caller);
          ClaimKey KeyB = keyOf(B.Caller);
          return std::tuple(isBeyondShare(Table, KeyA), KeyA.Rank, A.At) <
                 std::tuple(isBeyondShare(Table, KeyB), KeyB.Rank, B.At);
        });
  }

  // Sends what may be sent, as placement does: within the entry's share of the
  // places or the claim's own, while places seem free. A full pool refuses.
  void dispatch(ReplayedEntry &Entry) {
    if (Entry.Waiting.empty())
      return;
    order(Entry);
    std::vector<Request> Waiting = std::exchange(Entry.Waiting, {});
    for (const Request &Each : Waiting) {
      const ShareTable &Table = tableOf(Entry);
      ClaimKey Key = keyOf(Each.Caller);
      double Held = 0;
      for (const auto &[Other, Share] : Table.Claims)
        Held += Share.All.Held;
      double Free = places() - Held;
      double Share = Table.EntryShare * (places() + 2 * Free);
      bool MaySend =
          hasOwnShareLeft(Table, Key) ||
          static_cast<double>(Entry.Running.size()) < std::max(Share, 1.0);
      if (!MaySend || Taken >= places() || mustYield(Table, Key, Free)) {
        Entry.Waiting.push_back(Each);
        continue;
      }
      std::exponential_distribution<double> Holding(1 / toSeconds(MeanHolding));
      double Seconds = Holding(Random);
      Entry.Running.push_back(
          {Each.Caller, Now + std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(Seconds))});
      CallerResult &Caller =
          Result.Callers[static_cast<std::size_t>(Each.Caller)];
      ++Caller.Served;
      Caller.HeldSeconds += Seconds;
      moveClaim(Entry.Claims, Key, ClaimPhase::Waiting, ClaimPhase::Holding);
      ++Taken;
    }
  }

  const ShareReplay &Replay;
  std::minstd_rand Random;
  std::vector<ReplayedEntry> Entries;
  TimePoint Now{};
  int Taken = 0;
  std::size_t First = 0; // entry that dispatches first
  int Lost = 0;          // places
  ShareReplayResult Result;
};

} // namespace

ShareReplayResult replayShares(const ShareReplay &Replay) {
  return Player(Replay).play();
}

} // namespace samphirehill
