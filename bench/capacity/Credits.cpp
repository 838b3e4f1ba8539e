// Memory, messages and processor time of the capacity credits.
#include "Measure.h"
#include "Samples.h"

#include "CreditMessages.h"
#include "samphirehill/Limits/Credits.h"

#include <deque>
#include <map>
#include <queue>
#include <random>
#include <variant>

namespace samphirehill::capacity {
namespace {

constexpr TimePoint Start{seconds(1000)};
constexpr Duration CreditTick = milliseconds(20); // as CreditController has it
constexpr double CallSeconds = 38;                // 487 tokens at 78 ms
constexpr int WarmLimit = 256;

UpstreamId upstream(std::size_t Number) {
  return UpstreamId(numbered("mu-1-g", Number));
}

// A home and its borrowers over a network without delay.
class World {
public:
  World(std::size_t Upstreams, std::size_t ZoneEntries, std::size_t Remote) {
    Home.Self = entryId(0);
    BorrowerList Borrowers;
    for (std::size_t I = 0; I < ZoneEntries + Remote; ++I) {
      (I < ZoneEntries ? Borrowers.Zone : Borrowers.Remote)
          .push_back(entryId(I));
      Wallets[entryId(I)] =
          CreditWallet{entryId(I), SampleIncarnation, Start, {}, false, {}, {}};
    }
    for (std::size_t I = 0; I < Upstreams; ++I) {
      HomeOpening Opening;
      Opening.Upstream = upstream(I);
      Opening.Boot = BootId("b-" + std::to_string(SampleIncarnation));
      Opening.ColdLimit = 16;
      Opening.WarmLimit = Opening.StartLimit = Opening.HighestLimit = WarmLimit;
      Opening.FirstHome = true;
      Opening.Borrowers = Borrowers;
      send(openHome(Home, Opening, Now));
    }
    for (auto &[Name, Wallet] : Wallets)
      for (std::size_t I = 0; I < Upstreams; ++I)
        send(setHome(Wallet, upstream(I), Home.Self, Now));
    deliver();
  }

  void tick() {
    Now += CreditTick;
    while (!Calls.empty() && Calls.top().EndsAt <= Now) {
      Call Ended = Calls.top();
      Calls.pop();
      send(releaseCredit(Wallets.at(Ended.Entry), Ended.Held, Now));
    }
    if (nextHomeTime(Home) <= Now)
      send(tickHome(Home, Now));
    for (auto &[Name, Wallet] : Wallets)
      if (nextWalletTime(Wallet) <= Now)
        send(tickWallet(Wallet, Now));
    deliver();
  }

  // Starts a call as Dispatcher does: it asks two upstreams for a credit if it
  // has none, and takes the first.
  bool call(std::size_t Entry, std::size_t First, std::size_t Second) {
    CreditWallet &Wallet = Wallets.at(entryId(Entry));
    if (take(Wallet, First) || take(Wallet, Second))
      return true;
    for (std::size_t Each : {First, Second})
      send(setWantedCredits(Wallet, upstream(Each), {1, 0}, Now));
    deliver();
    bool Taken = take(Wallet, First) || take(Wallet, Second);
    for (std::size_t Each : {First, Second})
      send(setWantedCredits(Wallet, upstream(Each), {}, Now));
    deliver();
    return Taken;
  }

  TimePoint now() const { return Now; }
  void resetCounts() { Messages = Bytes = 0; }
  double messages() const { return Messages; }
  double bytes() const { return Bytes; }
  CreditHome &home() { return Home; }

private:
  struct Call {
    TimePoint EndsAt;
    EntryId Entry;
    Credit Held;
    bool operator<(const Call &Other) const { return EndsAt > Other.EndsAt; }
  };

  bool take(CreditWallet &Wallet, std::size_t Number) {
    std::optional<Credit> Held =
        takeCredit(Wallet, upstream(Number), false, Now);
    if (!Held)
      return false;
    std::exponential_distribution<double> Length(1 / CallSeconds);
    Calls.push({Now + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(Length(Random))),
                Wallet.Self, *Held});
    return true;
  }
  void send(const HomeActions &Grants) {
    for (const CreditGrant &Each : Grants) {
      count(Each.To, [&] { return toEnvelope(Each); });
      Sent.emplace_back(Each);
    }
  }
  void send(const WalletActions &Actions) {
    for (const CreditReport &Each : Actions.Reports) {
      count(Each.From, [&] { return toEnvelope(Each); });
      Sent.emplace_back(Each);
    }
  }
  // The home's own wallet needs no message.
  template <typename F> void count(const EntryId &Borrower, F Encode) {
    if (Borrower == Home.Self)
      return;
    ++Messages;
    Bytes += wireBytes(Encode());
  }
  void deliver() {
    while (!Sent.empty()) {
      auto Next = Sent.front();
      Sent.pop_front();
      if (const auto *Report = std::get_if<CreditReport>(&Next))
        send(receiveReport(Home, *Report, Now));
      else if (const auto *Grant = std::get_if<CreditGrant>(&Next))
        send(receiveGrant(Wallets.at(Grant->To), *Grant, Now));
    }
  }

  TimePoint Now = Start;
  CreditHome Home;
  std::map<EntryId, CreditWallet> Wallets;
  std::deque<std::variant<CreditReport, CreditGrant>> Sent;
  std::priority_queue<Call> Calls;
  std::mt19937_64 Random{20261204};
  double Messages = 0;
  double Bytes = 0;
};

void measureLoad() {
  constexpr std::size_t Entries = 15;
  constexpr std::size_t Upstreams = 2;
  constexpr double WarmUp = 90;
  constexpr double Span = 60;
  std::vector<Point> Messages;
  std::vector<Point> Bytes;
  std::vector<Point> Time;
  for (double Rate : {2.3, 4.6, 9.2}) {
    World Run(Upstreams, Entries, 0);
    std::mt19937_64 Random(1);
    std::exponential_distribution<double> Gap(Rate);
    double Next = Gap(Random);
    double Before = 0;
    bool Counting = false;
    int Refused = 0;
    for (double At = 0; At < WarmUp + Span; At += toSeconds(CreditTick)) {
      if (!Counting && At >= WarmUp) {
        Counting = true;
        Run.resetCounts();
        Before = processorTime();
      }
      for (; Next <= At; Next += Gap(Random)) {
        std::size_t First = Random() % Upstreams;
        Refused += !Run.call(Random() % Entries, First, 1 - First);
      }
      Run.tick();
    }
    Messages.push_back({Rate, Run.messages() / Span});
    Bytes.push_back({Rate, Run.bytes() / Span});
    Time.push_back({Rate, (processorTime() - Before) / Span});
    if (Refused > 0)
      std::printf("  %g calls/s: %d calls found no credit at once\n", Rate,
                  Refused);
  }
  report("credit messages of two upstreams, 15 entries", "messages/s",
         "calls/s", Messages, 9.2);
  report("credit bytes of two upstreams, 15 entries", "bytes/s", "calls/s",
         Bytes, 9.2);
  report("processor time of home and all wallets", "us/s", "calls/s", Time,
         9.2);
}

} // namespace

void measureCredits() {
  std::vector<Point> Memory;
  std::vector<Point> Messages;
  std::vector<Point> Bytes;
  std::vector<Point> Borrowers;
  for (std::size_t Remote : {0, 35, 85, 335}) {
    auto Size = static_cast<double>(15 + Remote);
    World Run(1, 15, Remote);
    Messages.push_back({Size, Run.messages()});
    Bytes.push_back({Size, Run.bytes()});
    double Before = heapBytes();
    CreditHome Copy = Run.home();
    Memory.push_back({Size, heapBytes() - Before});
    BorrowerList List;
    for (std::size_t I = 0; I < 15 + Remote; ++I)
      (I < 15 ? List.Zone : List.Remote).push_back(entryId(I));
    Borrowers.push_back({Size, timePerCall([&] {
                           setBorrowers(Run.home(), upstream(0), List,
                                        Run.now());
                         })});
  }
  report("opening a home, all messages", "messages", "borrowers", Messages,
         350);
  report("opening a home, all messages", "bytes", "borrowers", Bytes, 350);
  report("ledger of one upstream", "heap bytes", "borrowers", Memory, 350);
  report("setBorrowers of one upstream", "us", "borrowers", Borrowers, 350);
  std::vector<Point> Wallet;
  for (std::size_t Upstreams : {50, 150, 325, 1300}) {
    CreditWallet Value{entryId(1), SampleIncarnation, Start, {}, false, {}, {}};
    double Before = heapBytes();
    for (std::size_t I = 0; I < Upstreams; ++I)
      setHome(Value, upstream(I), entryId(0), Start);
    Wallet.push_back({static_cast<double>(Upstreams), heapBytes() - Before});
  }
  report("wallet of one entry", "heap bytes", "upstreams", Wallet, 325);
  measureLoad();
}

} // namespace samphirehill::capacity
