#include "samphirehill/Daemon/CrashController.h"

#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace samphirehill {
namespace {

// Crashes that are remembered as told; more than a day of restarts.
constexpr std::size_t MaxTold = 4096;
// A crash is known this long after it at the latest. An answer that began
// earlier did not cause it.
constexpr Duration CrashDetectionTime = seconds(2);

} // namespace

CrashController::CrashController(Runtime &Shared, PeerHub &Hub,
                                 std::function<std::vector<EntryId>()> Peers)
    : Shared(Shared), Hub(Hub), Peers(std::move(Peers)) {
  Hub.handle(peer::Envelope::kCrashSuspects,
             [this](const auto &Message) { receive(Message); });
  Hub.handle(peer::Envelope::kPartNews,
             [this](const auto &Message) { receiveNews(Message); });
}

void CrashController::tell(const peer::Envelope &Message) {
  for (const EntryId &Peer : Peers())
    Hub.send(Peer, Message);
}

void CrashController::begin(const CrashId &Where, const RequestId &Request,
                            Fingerprint Print, std::vector<PromptPart> Shared) {
  InProgress[Where][Request] =
      Running{Print, std::move(Shared), this->Shared.Timers.now(), {}};
}

void CrashController::answerBegun(const CrashId &Where,
                                  const RequestId &Request) {
  auto Found = InProgress.find(Where);
  if (Found == InProgress.end() || !Found->second.contains(Request))
    return;
  std::optional<TimePoint> &BegunAt = Found->second[Request].BegunAt;
  if (!BegunAt)
    BegunAt = Shared.Timers.now();
}

void CrashController::answerComplete(const CrashId &Where,
                                     const RequestId &Request) {
  auto Found = InProgress.find(Where);
  if (Found == InProgress.end() || !Found->second.contains(Request))
    return;
  const Running &Answered = Found->second[Request];
  TimePoint Now = Shared.Timers.now();
  TimePoint BegunAt = Answered.BegunAt.value_or(Now);
  if (!noteProof(Parts, Answered.Parts, BegunAt, Now))
    return;
  peer::Envelope Envelope;
  peer::PartNews &News = *Envelope.mutable_part_news();
  for (PromptPart Each : Answered.Parts) {
    News.add_sound_parts(Each);
    News.add_sound_for_us((Now - BegunAt).count());
  }
  tell(Envelope);
}

std::optional<Error>
CrashController::blameOf(const std::vector<PromptPart> &Shared) {
  std::optional<PromptPart> Blamed = blamedPart(Parts, Shared);
  if (!Blamed)
    return std::nullopt;
  noteRefused(Parts, *Blamed, this->Shared.Timers.now());
  return Error{ResultCode::CrashesUpstreams,
               "requests that begin like this one were in progress when " +
                   std::to_string(Parts.Parts.at(*Blamed).Crashes.size()) +
                   " upstreams crashed"};
}

bool CrashController::takeTrialOf(const std::vector<PromptPart> &Shared) {
  std::optional<PromptPart> Blamed = blamedPart(Parts, Shared);
  if (!Blamed || !takeTrial(Parts, *Blamed, this->Shared.Config.Entry, Peers(),
                            this->Shared.Timers.now()))
    return false;
  peer::Envelope Envelope;
  peer::PartNews &News = *Envelope.mutable_part_news();
  News.set_tried_part(*Blamed);
  News.set_trials(
      static_cast<std::uint32_t>(Parts.Parts.at(*Blamed).Trials.Count));
  tell(Envelope);
  return true;
}

void CrashController::end(const CrashId &Where, const RequestId &Request) {
  auto Found = InProgress.find(Where);
  if (Found == InProgress.end())
    return;
  Found->second.erase(Request);
  if (Found->second.empty())
    InProgress.erase(Found);
}

void CrashController::crashed(const CrashId &Where, const DomainId &Domain) {
  if (!Told.insert(Where).second)
    return;
  if (Told.size() > MaxTold)
    Told.erase(Told.begin());
  SuspectBroadcast Crash{Where, Domain, {}, {}};
  TimePoint Now = Shared.Timers.now();
  EngineCrash PartCrash{Where, Domain.str(), Now, {}};
  for (const auto &[Request, Each] : InProgress[Where]) {
    Crash.InProgress.push_back({Each.Print, Now - Each.Since});
    bool Survived = Each.BegunAt && Now - *Each.BegunAt > CrashDetectionTime;
    if (!Survived && !Each.Parts.empty())
      PartCrash.Prompts.push_back(Each.Parts);
  }
  InProgress.erase(Where);
  recordCrash(Suspects, Crash, Now);
  expireSuspects(Parts, Now);
  noteCrash(Parts, PartCrash, Now);
  Shared.record("upstream-crashed", Where.Upstream.str(),
                std::to_string(Crash.InProgress.size()) +
                    " requests of this entry were in progress");

  peer::Envelope Envelope;
  peer::CrashSuspects &Message = *Envelope.mutable_crash_suspects();
  Message.set_upstream(Where.Upstream.str());
  Message.set_boot_id(Where.Boot.str());
  Message.set_domain(Domain.str());
  for (const InProgressRequest &Each : Crash.InProgress) {
    Message.add_fingerprints(Each.Request);
    Message.add_running_for_us(Each.RunningFor.count());
  }
  for (const std::vector<PromptPart> &Each : PartCrash.Prompts)
    Message.add_prompts()->mutable_parts()->Add(Each.begin(), Each.end());
  tell(Envelope);
  Crashed.emit(Where);
}

void CrashController::receiveNews(const peer::Envelope &Envelope) {
  const peer::PartNews &News = Envelope.part_news();
  TimePoint Now = Shared.Timers.now();
  SuspectReport Report;
  int Count = std::min(News.sound_parts_size(), News.sound_for_us_size());
  for (int I = 0; I < Count; ++I)
    Report.Proofs.push_back(
        {News.sound_parts(I), Now - Duration(News.sound_for_us(I))});
  if (News.trials() > 0)
    Report.Trials.push_back(
        {News.tried_part(), static_cast<int>(News.trials()), Now});
  applySuspects(Parts, Report, Now);
}

void CrashController::receive(const peer::Envelope &Envelope) {
  const peer::CrashSuspects &Message = Envelope.crash_suspects();
  SuspectBroadcast Crash;
  Crash.Crash = {UpstreamId(Message.upstream()), BootId(Message.boot_id())};
  Crash.Domain = DomainId(Message.domain());
  int Count =
      std::min(Message.fingerprints_size(), Message.running_for_us_size());
  for (int I = 0; I < Count; ++I)
    Crash.InProgress.push_back(
        {Message.fingerprints(I), Duration(Message.running_for_us(I))});
  TimePoint Now = Shared.Timers.now();
  recordCrash(Suspects, Crash, Now);
  EngineCrash PartCrash{Crash.Crash, Message.domain(), Now, {}};
  for (const peer::PromptParts &Each : Message.prompts())
    PartCrash.Prompts.emplace_back(Each.parts().begin(), Each.parts().end());
  expireSuspects(Parts, Now);
  noteCrash(Parts, PartCrash, Now);
  Crashed.emit(Crash.Crash);
}

} // namespace samphirehill
