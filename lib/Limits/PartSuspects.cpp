#include "samphirehill/Limits/PartSuspects.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphirehill {
namespace {

// Returns the number of crashes of Part, with those in one domain within the
// domain window counted as one.
int independentCrashes(const PartSuspects &Suspects, const SuspectPart &Part) {
  std::vector<std::pair<TimePoint, std::string>> ByTime;
  for (const auto &[Life, At] : Part.Crashes) {
    auto Known = Suspects.Crashes.find(Life);
    ByTime.emplace_back(At, Known == Suspects.Crashes.end()
                                ? std::string()
                                : Known->second.Crash.Domain);
  }
  std::sort(ByTime.begin(), ByTime.end());
  std::map<std::string, TimePoint> LastInDomain;
  int Count = 0;
  for (const auto &[At, Domain] : ByTime) {
    auto Last = LastInDomain.find(Domain);
    bool Repeated = !Domain.empty() && Last != LastInDomain.end() &&
                    At - Last->second <= Suspects.Settings.DomainWindow;
    if (Repeated)
      continue;
    LastInDomain[Domain] = At;
    ++Count;
  }
  return Count;
}

bool hasEnoughCrashes(const PartSuspects &Suspects, const SuspectPart &Part) {
  return independentCrashes(Suspects, Part) >= Suspects.Settings.BlameAfter;
}

// Returns whether Later was in all crashes of Part.
bool explainsAll(const SuspectPart &Later, const SuspectPart &Part) {
  return std::all_of(
      Part.Crashes.begin(), Part.Crashes.end(),
      [&](const auto &Crash) { return Later.Crashes.contains(Crash.first); });
}

bool isBlamed(const PartSuspects &Suspects, const SuspectPart &Part) {
  if (!hasEnoughCrashes(Suspects, Part))
    return false;
  return std::none_of(Part.Later.begin(), Part.Later.end(),
                      [&](PromptPart Later) {
                        auto Found = Suspects.Parts.find(Later);
                        return Found != Suspects.Parts.end() &&
                               explainsAll(Found->second, Part);
                      });
}

// Adds the crash to the parts of Prompt that no later proof clears.
void accuse(PartSuspects &Suspects, const EngineCrash &Crash,
            const std::vector<PromptPart> &Prompt, TimePoint Now) {
  for (std::size_t Index = 0; Index < Prompt.size(); ++Index) {
    auto Proof = Suspects.Proofs.find(Prompt[Index]);
    if (Proof != Suspects.Proofs.end() && Proof->second.BegunAt >= Crash.At) {
      Proof->second.NotedAt = Now; // the reporting entry doesn't know it
      continue;
    }
    SuspectPart &Part = Suspects.Parts[Prompt[Index]];
    Part.Trials.Part = Prompt[Index];
    Part.Crashes.emplace(Crash.Engine, Crash.At);
    Part.Later.insert(Prompt.begin() + static_cast<std::ptrdiff_t>(Index) + 1,
                      Prompt.end());
  }
}

void dropCrash(PartSuspects &Suspects, const CrashId &Engine) {
  auto Found = Suspects.Crashes.find(Engine);
  for (const std::vector<PromptPart> &Prompt : Found->second.Crash.Prompts) {
    for (PromptPart Each : Prompt) {
      auto Part = Suspects.Parts.find(Each);
      if (Part == Suspects.Parts.end())
        continue;
      Part->second.Crashes.erase(Engine);
      if (Part->second.Crashes.empty())
        Suspects.Parts.erase(Part);
    }
  }
  Suspects.Crashes.erase(Found);
}

void dropOldestCrash(PartSuspects &Suspects) {
  auto Oldest =
      std::min_element(Suspects.Crashes.begin(), Suspects.Crashes.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.Crash.At < B.second.Crash.At;
                       });
  dropCrash(Suspects, CrashId(Oldest->first));
}

// Returns whether some request was refused within the retention time because
// of Crash.
bool stillRefuses(const PartSuspects &Suspects, const EngineCrash &Crash,
                  TimePoint Now) {
  for (const std::vector<PromptPart> &Prompt : Crash.Prompts) {
    for (PromptPart Each : Prompt) {
      auto Part = Suspects.Parts.find(Each);
      if (Part == Suspects.Parts.end() ||
          Part->second.LastRefusedAt == TimePoint{})
        continue;
      if (Now - Part->second.LastRefusedAt <= Suspects.Settings.Retention)
        return true;
    }
  }
  return false;
}

bool isExpired(const PartSuspects &Suspects, const EngineCrash &Crash,
               TimePoint Now) {
  return Now - Crash.At > Suspects.Settings.Retention &&
         !stillRefuses(Suspects, Crash, Now);
}

// Returns the crash with only the prompts that contain a blamed part.
EngineCrash evidenceOf(const PartSuspects &Suspects, const EngineCrash &Crash) {
  EngineCrash Evidence = Crash;
  std::erase_if(Evidence.Prompts, [&](const std::vector<PromptPart> &Prompt) {
    return !blamedPart(Suspects, Prompt);
  });
  return Evidence;
}

// Returns when the next trial of Part is due.
TimePoint nextTrialAt(const PartSuspects &Suspects, const SuspectPart &Part) {
  TimePoint Last = Part.Trials.LastAt;
  for (const auto &[Life, At] : Part.Crashes)
    Last = std::max(Last, At);
  double Factor = std::pow(Suspects.Settings.TrialBackoff, Part.Trials.Count);
  Duration Delay = std::chrono::duration_cast<Duration>(
      Suspects.Settings.TrialDelay * Factor);
  return Last + Delay;
}

void mergeTrials(PartTrials &Known, const PartTrials &Reported) {
  Known.Count = std::max(Known.Count, Reported.Count);
  Known.LastAt = std::max(Known.LastAt, Reported.LastAt);
}

} // namespace

void noteCrash(PartSuspects &Suspects, const EngineCrash &Crash,
               TimePoint Now) {
  auto [Place, IsNew] = Suspects.Crashes.try_emplace(Crash.Engine);
  EngineCrash &Known = Place->second.Crash;
  if (IsNew) {
    Known = {Crash.Engine, Crash.Domain, Crash.At, {}};
    Place->second.NotedAt = Now;
  }
  for (const std::vector<PromptPart> &Prompt : Crash.Prompts) {
    bool Listed = std::find(Known.Prompts.begin(), Known.Prompts.end(),
                            Prompt) != Known.Prompts.end();
    if (!Listed && Known.Prompts.size() >= Suspects.Settings.MaxPromptsPerCrash)
      continue;
    if (!Listed) {
      Known.Prompts.push_back(Prompt);
      Place->second.NotedAt = Now;
    }
    // Also for known prompts: a stale accusation is answered by a proof.
    accuse(Suspects, Known, Prompt, Now);
  }
  if (Suspects.Crashes.size() > Suspects.Settings.MaxCrashes)
    dropOldestCrash(Suspects);
}

bool noteProof(PartSuspects &Suspects, std::span<const PromptPart> Parts,
               TimePoint BegunAt, TimePoint Now) {
  bool Cleared = false;
  for (PromptPart Each : Parts) {
    auto Accused = Suspects.Parts.find(Each);
    auto Proof = Suspects.Proofs.find(Each);
    if (Proof == Suspects.Proofs.end()) {
      if (Accused == Suspects.Parts.end() &&
          Suspects.Proofs.size() >= Suspects.Settings.MaxProofs)
        continue;
      Proof = Suspects.Proofs.emplace(Each, KnownProof{}).first;
    }
    if (BegunAt <= Proof->second.BegunAt)
      continue;
    Proof->second.BegunAt = BegunAt;
    if (Accused == Suspects.Parts.end())
      continue;
    Proof->second.NotedAt = Now;
    auto Before = [&](const auto &Crash) { return Crash.second <= BegunAt; };
    Cleared |= std::erase_if(Accused->second.Crashes, Before) > 0;
    if (Accused->second.Crashes.empty())
      Suspects.Parts.erase(Accused);
  }
  return Cleared;
}

std::optional<PromptPart> blamedPart(const PartSuspects &Suspects,
                                     std::span<const PromptPart> Parts) {
  if (Suspects.Parts.empty())
    return std::nullopt;
  for (auto Each = Parts.rbegin(); Each != Parts.rend(); ++Each) {
    auto Found = Suspects.Parts.find(*Each);
    if (Found != Suspects.Parts.end() && isBlamed(Suspects, Found->second))
      return *Each;
  }
  return std::nullopt;
}

std::set<PromptPart> blamedParts(const PartSuspects &Suspects) {
  std::set<PromptPart> Blamed;
  for (const auto &[Part, Known] : Suspects.Parts) {
    if (isBlamed(Suspects, Known))
      Blamed.insert(Part);
  }
  return Blamed;
}

bool takeTrial(PartSuspects &Suspects, PromptPart Part, const EntryId &Self,
               std::span<const EntryId> Others, TimePoint Now) {
  auto Found = Suspects.Parts.find(Part);
  if (Found == Suspects.Parts.end())
    return false;
  TimePoint DueAt = nextTrialAt(Suspects, Found->second);
  if (Now < DueAt)
    return false;
  auto Turn = (Now - DueAt) / Suspects.Settings.TrialTurn;
  std::string Name = std::to_string(Part) + "/" + std::to_string(Turn);
  std::uint64_t Own = rendezvousWeight(Name, Self.str());
  bool OwnTurn =
      std::none_of(Others.begin(), Others.end(), [&](const EntryId &Other) {
        return rendezvousWeight(Name, Other.str()) > Own;
      });
  if (!OwnTurn)
    return false;
  mergeTrials(Found->second.Trials,
              {Part, Found->second.Trials.Count + 1, Now});
  return true;
}

void noteRefused(PartSuspects &Suspects, PromptPart Part, TimePoint Now) {
  auto Found = Suspects.Parts.find(Part);
  if (Found != Suspects.Parts.end())
    Found->second.LastRefusedAt = Now;
}

SuspectReport suspectReport(const PartSuspects &Suspects, TimePoint Now) {
  SuspectReport Report;
  std::vector<const RecordedCrash *> ByTime;
  for (const auto &[Life, Known] : Suspects.Crashes) {
    if (!isExpired(Suspects, Known.Crash, Now))
      ByTime.push_back(&Known);
  }
  std::sort(ByTime.begin(), ByTime.end(), [](const auto *A, const auto *B) {
    return A->Crash.At > B->Crash.At;
  });
  for (const RecordedCrash *Each : ByTime) {
    if (Report.Crashes.size() >= Suspects.Settings.MaxReported)
      break;
    bool Recent = Now - Each->NotedAt <= Suspects.Settings.SharingTime;
    EngineCrash Reported =
        Recent ? Each->Crash : evidenceOf(Suspects, Each->Crash);
    if (Recent || !Reported.Prompts.empty())
      Report.Crashes.push_back(std::move(Reported));
  }
  for (const auto &[Part, Proof] : Suspects.Proofs) {
    if (Proof.NotedAt != TimePoint{} &&
        Now - Proof.NotedAt <= Suspects.Settings.SharingTime)
      Report.Proofs.push_back({Part, Proof.BegunAt});
  }
  for (const auto &[Part, Known] : Suspects.Parts) {
    if (Known.Trials.Count > 0)
      Report.Trials.push_back(Known.Trials);
  }
  return Report;
}

void applySuspects(PartSuspects &Suspects, const SuspectReport &Report,
                   TimePoint Now) {
  for (const PartProof &Each : Report.Proofs)
    noteProof(Suspects, std::span(&Each.Part, 1), Each.BegunAt, Now);
  for (const EngineCrash &Each : Report.Crashes)
    noteCrash(Suspects, Each, Now);
  for (const PartTrials &Each : Report.Trials) {
    auto Found = Suspects.Parts.find(Each.Part);
    if (Found != Suspects.Parts.end())
      mergeTrials(Found->second.Trials, Each);
  }
}

void addToReport(SuspectReport &Sum, const SuspectReport &Report) {
  for (const EngineCrash &Each : Report.Crashes) {
    auto Same = std::find_if(
        Sum.Crashes.begin(), Sum.Crashes.end(),
        [&](const EngineCrash &Known) { return Known.Engine == Each.Engine; });
    if (Same == Sum.Crashes.end()) {
      Sum.Crashes.push_back(Each);
      continue;
    }
    Same->At = std::min(Same->At, Each.At);
    for (const std::vector<PromptPart> &Prompt : Each.Prompts) {
      if (std::find(Same->Prompts.begin(), Same->Prompts.end(), Prompt) ==
          Same->Prompts.end())
        Same->Prompts.push_back(Prompt);
    }
  }
  for (const PartProof &Each : Report.Proofs) {
    auto Same =
        std::find_if(Sum.Proofs.begin(), Sum.Proofs.end(),
                     [&](const PartProof &P) { return P.Part == Each.Part; });
    if (Same == Sum.Proofs.end())
      Sum.Proofs.push_back(Each);
    else
      Same->BegunAt = std::max(Same->BegunAt, Each.BegunAt);
  }
  for (const PartTrials &Each : Report.Trials) {
    auto Same =
        std::find_if(Sum.Trials.begin(), Sum.Trials.end(),
                     [&](const PartTrials &T) { return T.Part == Each.Part; });
    if (Same == Sum.Trials.end())
      Sum.Trials.push_back(Each);
    else
      mergeTrials(*Same, Each);
  }
}

void expireSuspects(PartSuspects &Suspects, TimePoint Now) {
  std::vector<CrashId> Expired;
  for (const auto &[Life, Known] : Suspects.Crashes) {
    if (isExpired(Suspects, Known.Crash, Now))
      Expired.push_back(Life);
  }
  for (const CrashId &Each : Expired)
    dropCrash(Suspects, Each);
  // A proof counts only against crashes before it, and later requests replace
  // it, so under pressure old proofs of unsuspected parts go first.
  bool Full = Suspects.Proofs.size() >= Suspects.Settings.MaxProofs;
  Duration MaxAge =
      Full ? Suspects.Settings.SharingTime * 2 : Suspects.Settings.Retention;
  std::erase_if(Suspects.Proofs, [&](const auto &Proof) {
    return Now - Proof.second.BegunAt > MaxAge;
  });
}

} // namespace samphirehill
