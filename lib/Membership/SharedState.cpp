#include "samphirehill/Membership/SharedState.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace samphirehill {
namespace {

using Actions = std::vector<SharedAction>;

std::uint64_t noteHash(const SharedKey &Key, const SharedVersion &Version) {
  std::uint64_t Hash = combineHashes(hashBytes(Key.Kind), hashBytes(Key.Name));
  return combineHashes(
      Hash, combineHashes(Version.Counter, hashBytes(Version.Origin)));
}

std::vector<VersionNote> allNotes(const SharedState &State) {
  std::vector<VersionNote> Notes;
  for (const auto &[Key, Held] : State.Values)
    Notes.push_back({Key, Held.Item.Version});
  return Notes;
}

// The only function that changes a value. Returns whether Item was newer.
bool merge(SharedState &State, const SharedItem &Item, Actions &Out) {
  SharedVersion Old = heldVersion(State, Item.Key);
  if (Item.Version <= Old)
    return false;
  if (Old != SharedVersion{})
    State.Digest ^= noteHash(Item.Key, Old);
  State.Digest ^= noteHash(Item.Key, Item.Version);
  State.Values[Item.Key] = HeldValue{Item, ++State.Changes};
  auto Pull = State.Pulls.find(Item.Key);
  if (Pull != State.Pulls.end() && Pull->second.Wanted <= Item.Version)
    State.Pulls.erase(Pull);
  if (State.IsJoined)
    Out.emplace_back(PutInForce{Item});
  return true;
}

void pullNewer(SharedState &State, const EntryId &From,
               const std::vector<VersionNote> &Notes, TimePoint Now,
               Actions &Out) {
  for (const VersionNote &Note : Notes) {
    SharedVersion Have = heldVersion(State, Note.Key);
    if (Note.Version <= Have)
      continue;
    auto Pull = State.Pulls.find(Note.Key);
    if (Pull != State.Pulls.end() && Now < Pull->second.Until &&
        Note.Version <= Pull->second.Wanted)
      continue;
    State.Pulls[Note.Key] = PendingPull{Note.Version, Now + PullTimeout};
    Out.emplace_back(SendPull{From, Note.Key, Have});
  }
}

void finishJoin(SharedState &State, Actions &Out) {
  State.IsJoined = true;
  for (const auto &[Key, Held] : State.Values)
    Out.emplace_back(PutInForce{Held.Item});
  Out.emplace_back(Joined{});
}

// Whether State holds every version, or a later one, of a joined seed's answer.
bool holdsAnswered(const SharedState &State, const JoinAnswer &Answer) {
  for (const VersionNote &Note : Answer.Notes)
    if (heldVersion(State, Note.Key) < Note.Version)
      return false;
  return true;
}

bool mayJoin(const SharedState &State, TimePoint Now) {
  const JoinState &Join = State.Join;
  bool AllAnswered = true;
  for (const EntryId &Seed : Join.Seeds)
    AllAnswered = AllAnswered && Join.Answers.count(Seed) != 0;
  bool AnyReady = false;
  for (const auto &[From, Answer] : Join.Answers) {
    if (!Answer.Ready || Now - Answer.At >= JoinAloneTimeout)
      continue;
    AnyReady = true;
    if (!holdsAnswered(State, Answer))
      return false;
  }
  if (AnyReady)
    return AllAnswered || Now - *Join.FirstReadyAnswer >= JoinSettleTime;
  return Join.PlatformComplete &&
         (AllAnswered || Now - Join.Started >= JoinAloneTimeout);
}

void progressJoin(SharedState &State, TimePoint Now, Actions &Out) {
  if (State.IsJoined)
    return;
  if (mayJoin(State, Now)) {
    finishJoin(State, Out);
    return;
  }
  JoinState &Join = State.Join;
  if (Join.NextRequest && Now < *Join.NextRequest)
    return;
  Join.NextRequest = Now + PullTimeout;
  // Requests go to seeds that have answered as well: they may have joined
  // since, and a value whose push was lost is only pulled again after another
  // answer.
  for (const EntryId &Seed : Join.Seeds)
    Out.emplace_back(RequestVersions{Seed});
}

void apply(SharedState &State, const VersionsReceived &Event, TimePoint Now,
           Actions &Out) {
  if (Event.Digest != State.Digest)
    State.DivergedUntil = Now + DivergenceWindow;
  pullNewer(State, Event.From, Event.Notes, Now, Out);
}

void apply(SharedState &State, const PullReceived &Event, TimePoint,
           Actions &Out) {
  const SharedItem *Item = heldItem(State, Event.Key);
  if (Item != nullptr && Event.Have < Item->Version)
    Out.emplace_back(SendPush{Event.From, *Item});
}

void apply(SharedState &State, const PushReceived &Event, TimePoint Now,
           Actions &Out) {
  if (merge(State, Event.Item, Out))
    progressJoin(State, Now, Out);
}

void apply(SharedState &State, const VersionsRequested &Event, TimePoint,
           Actions &Out) {
  Out.emplace_back(AnswerVersions{Event.From, State.IsJoined, allNotes(State)});
}

void apply(SharedState &State, const VersionsAnswered &Event, TimePoint Now,
           Actions &Out) {
  pullNewer(State, Event.From, Event.Notes, Now, Out);
  if (State.IsJoined)
    return;
  JoinState &Join = State.Join;
  Join.Answers[Event.From] = JoinAnswer{Event.Ready, Event.Notes, Now};
  if (Event.Ready && !Join.FirstReadyAnswer)
    Join.FirstReadyAnswer = Now;
  progressJoin(State, Now, Out);
}

// Whether the platform's object lacks a zone value or the close mark held here,
// or has an older version of one.
bool platformLacksZones(const SharedState &State, const PlatformRead &Read) {
  for (const auto &[Key, Held] : State.Values) {
    if (Key.Kind != ZoneKind && Key.Kind != CloseKind)
      continue;
    bool Stored = std::any_of(Read.Items.begin(), Read.Items.end(),
                              [&, &Key = Key, &Held = Held](const auto &Item) {
                                return Item.Key == Key &&
                                       Item.Version >= Held.Item.Version;
                              });
    if (!Stored)
      return true;
  }
  return false;
}

void apply(SharedState &State, const PlatformRead &Event, TimePoint Now,
           Actions &Out) {
  for (const SharedItem &Item : Event.Items)
    merge(State, Item, Out);
  State.Join.PlatformComplete = State.Join.PlatformComplete || Event.Complete;
  progressJoin(State, Now, Out);
  if (!State.IsJoined || !Event.ZonesObject ||
      !platformLacksZones(State, Event))
    return;
  StoreZones Store{*Event.ZonesObject, {}};
  for (const auto &[Key, Held] : State.Values)
    if (Key.Kind == ZoneKind || Key.Kind == CloseKind)
      Store.Items.push_back(Held.Item);
  Out.emplace_back(std::move(Store));
}

void apply(SharedState &State, const OperatorChange &Event, TimePoint,
           Actions &Out) {
  merge(State, Event.Item, Out);
}

void apply(SharedState &State, const SharedTick &, TimePoint Now,
           Actions &Out) {
  progressJoin(State, Now, Out);
}

} // namespace

SharedState makeSharedState(const std::vector<EntryId> &Seeds, TimePoint Now) {
  SharedState State;
  State.Join.Seeds.insert(Seeds.begin(), Seeds.end());
  State.Join.Started = Now;
  return State;
}

std::vector<SharedAction> decide(SharedState &State, const SharedEvent &Event,
                                 TimePoint Now) {
  Actions Out;
  std::visit([&](const auto &Value) { apply(State, Value, Now, Out); }, Event);
  return Out;
}

std::vector<VersionNote> notesToSend(SharedState &State, TimePoint Now) {
  std::vector<const HeldValue *> Order;
  for (const auto &[Key, Held] : State.Values)
    Order.push_back(&Held);
  std::size_t Recent = std::min(RecentNoteCount, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Recent),
                    Order.end(), [](const auto *Left, const auto *Right) {
                      return Left->ChangeNumber > Right->ChangeNumber;
                    });
  std::vector<VersionNote> Notes;
  for (std::size_t I = 0; I < Recent; ++I)
    Notes.push_back({Order[I]->Item.Key, Order[I]->Item.Version});

  bool Diverged = State.DivergedUntil && Now < *State.DivergedUntil;
  std::size_t Rotating =
      std::min(Diverged ? DivergedNoteCount : 0, State.Values.size() - Recent);
  if (Rotating == 0)
    return Notes;
  auto Next = State.Values.begin();
  State.Cursor %= State.Values.size();
  std::advance(Next, static_cast<std::ptrdiff_t>(State.Cursor));
  for (std::size_t Seen = 0; Rotating != 0 && Seen < State.Values.size();
       ++Seen) {
    VersionNote Note{Next->first, Next->second.Item.Version};
    State.Cursor = (State.Cursor + 1) % State.Values.size();
    if (++Next == State.Values.end())
      Next = State.Values.begin();
    if (std::find(Notes.begin(), Notes.end(), Note) != Notes.end())
      continue;
    Notes.push_back(std::move(Note));
    --Rotating;
  }
  return Notes;
}

SharedVersion heldVersion(const SharedState &State, const SharedKey &Key) {
  const SharedItem *Item = heldItem(State, Key);
  return Item == nullptr ? SharedVersion{} : Item->Version;
}

const SharedItem *heldItem(const SharedState &State, const SharedKey &Key) {
  auto Found = State.Values.find(Key);
  return Found == State.Values.end() ? nullptr : &Found->second.Item;
}

bool isZoneOut(const SharedState &State, const ZoneId &Zone) {
  const SharedItem *Item = heldItem(State, {ZoneKind, Zone.str()});
  return Item != nullptr && Item->Value == "out";
}

bool isClosing(const SharedState &State) {
  const SharedItem *Item = heldItem(State, {CloseKind, CloseName});
  return Item != nullptr && Item->Value == "closing";
}

SharedVersion nextStamp(const SharedState &State, const SharedKey &Key,
                        const std::string &Operator,
                        const std::string &ChangeId) {
  return SharedVersion{heldVersion(State, Key).Counter + 1,
                       Operator + "/" + ChangeId};
}

} // namespace samphirehill
