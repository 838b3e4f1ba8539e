#include "samphirehill/Serving/EngineEvidence.h"

#include <algorithm>

namespace samphirehill::serving {
namespace {

// Forgets what is known of an earlier life.
void followLife(EngineEvidence &Evidence, std::int64_t Life) {
  if (Evidence.Life == Life)
    return;
  Evidence = {};
  Evidence.Life = Life;
}

std::int64_t epochOf(const std::optional<Membership> &Group) {
  return Group ? Group->Epoch : 0;
}

// Returns Group, or nothing if the engine has left it since AsOf. A Leave takes
// effect at once, but only on the group that it names.
std::optional<Membership> unlessLeft(const EngineEvidence &Evidence,
                                     const std::optional<Membership> &Group,
                                     TimePoint AsOf) {
  bool Left = Group && Evidence.Left && Evidence.Left->Epoch == Group->Epoch &&
              AsOf <= Evidence.Left->SentAt;
  return Left ? std::nullopt : Group;
}

// Returns the rank that a Join order gives the engine that it is sent to.
int orderedRank(const GroupOrder &Order) {
  auto Found = std::find(Order.Members.begin(), Order.Members.end(), Order.To);
  return static_cast<int>(Found - Order.Members.begin());
}

} // namespace

void noteReported(EngineEvidence &Evidence, const Instance &Reported,
                  TimePoint AsOf) {
  followLife(Evidence, Reported.BornMilliseconds);
  if (!Evidence.Reported || Evidence.Reported->AsOf <= AsOf)
    Evidence.Reported = MembershipNews{Reported.Group, AsOf};
}

void noteOrdered(EngineEvidence &Evidence, const GroupOrder &Order,
                 std::int64_t Life, TimePoint Now) {
  followLife(Evidence, Life);
  if (Order.Kind == OrderKind::Join)
    Evidence.Ordered =
        MembershipNews{Membership{Order.Group, Order.Epoch, orderedRank(Order),
                                  MemberPhase::Joining},
                       Now};
  if (Order.Kind == OrderKind::Open)
    Evidence.Ordered = MembershipNews{
        Membership{Order.Group, Order.Epoch, 0, MemberPhase::Open}, Now};
}

void noteOrderAnswered(EngineEvidence &Evidence, const GroupOrder &Order,
                       std::int64_t Life, bool Accepted, TimePoint SentAt) {
  bool Left = Order.Kind == OrderKind::Leave && Accepted;
  bool Refused = Order.Kind == OrderKind::Join && !Accepted;
  if (Evidence.Life != Life || (!Left && !Refused))
    return;
  if (Evidence.Ordered && epochOf(Evidence.Ordered->Group) == Order.Epoch)
    Evidence.Ordered.reset();
  if (Left)
    Evidence.Left = LeftGroup{Order.Epoch, SentAt};
}

std::optional<Membership> statedMembership(const EngineEvidence &Evidence,
                                           const Instance &Listed,
                                           TimePoint ListedAt) {
  if (Evidence.Life != Listed.BornMilliseconds)
    return Listed.Group;
  std::optional<Membership> InList =
      unlessLeft(Evidence, Listed.Group, ListedAt);
  if (!Evidence.Reported)
    return InList;
  TimePoint ReportedAt = Evidence.Reported->AsOf;
  std::optional<Membership> Reported =
      unlessLeft(Evidence, Evidence.Reported->Group, ReportedAt);
  bool ReportIsLater = ReportedAt >= ListedAt;
  if (!Reported)
    return ReportIsLater ? std::nullopt : InList;
  if (Reported->Epoch != epochOf(InList))
    return Reported->Epoch > epochOf(InList) ? Reported : InList;
  return ReportIsLater ? Reported : InList;
}

std::optional<Membership> possibleMembership(const EngineEvidence &Evidence,
                                             const Instance &Listed,
                                             TimePoint ListedAt) {
  std::optional<Membership> Stated =
      statedMembership(Evidence, Listed, ListedAt);
  if (Evidence.Life != Listed.BornMilliseconds || !Evidence.Ordered)
    return Stated;
  const auto &[Ordered, SentAt] = *Evidence.Ordered;
  bool Reported = Evidence.Reported && Evidence.Reported->AsOf > SentAt;
  if (Reported || epochOf(Ordered) < epochOf(Stated))
    return Stated;
  bool StatedBeforeOpening = Stated && Stated->Epoch == epochOf(Ordered) &&
                             Ordered->Phase != MemberPhase::Open;
  return StatedBeforeOpening ? Stated : Ordered;
}

} // namespace samphirehill::serving
