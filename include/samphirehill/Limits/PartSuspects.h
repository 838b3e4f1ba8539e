// Finds parts of prompts that crash the engines which answer them, so that
// requests with such a part are refused at every entry.
//
// When an engine crashes, each of its requests that had not begun to get an
// answer, or only just had, is a suspect, and so are the parts of its prompt.
// A request that was answered by an engine which lived on proves that its parts
// are sound: crashes before that time no longer count against them. A part is
// blamed after crashes of several engines without such a proof in between. The
// entries share crashes and proofs; merging them needs no order, so messages
// may be lost, repeated and late.
//
// A blamed part is released by a proof only: of a request that already ran, or
// of a trial, one request that one entry may send after a delay.
#ifndef SAMPHIREHILL_LIMITS_PARTSUSPECTS_H
#define SAMPHIREHILL_LIMITS_PARTSUSPECTS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/CrashSuspects.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// Identifies a part of a prompt. Requests that begin alike share parts.
using PromptPart = std::uint64_t;

// The unplanned end of an engine's process.
struct EngineCrash {
  CrashId Engine;
  std::string Domain; // the engine's fabric domain; empty: unknown
  TimePoint At{};
  // The shared parts of each request that may have caused the crash.
  std::vector<std::vector<PromptPart>> Prompts;

  bool operator==(const EngineCrash &) const = default;
};

// Proves that a part is sound: an engine that lived on began at BegunAt to
// answer a request with the part.
struct PartProof {
  PromptPart Part = 0;
  TimePoint BegunAt{};

  bool operator==(const PartProof &) const = default;
};

// The trials of a blamed part so far, over all entries.
struct PartTrials {
  PromptPart Part = 0;
  int Count = 0;
  TimePoint LastAt{};

  bool operator==(const PartTrials &) const = default;
};

// What one entry tells the others.
struct SuspectReport {
  std::vector<EngineCrash> Crashes;
  std::vector<PartProof> Proofs;
  std::vector<PartTrials> Trials;

  bool operator==(const SuspectReport &) const = default;
};

struct SuspectSettings {
  // A part is blamed after this many crashes. Crashes in one fabric domain
  // within DomainWindow count as one, since they may have a common cause.
  int BlameAfter = 3;
  Duration DomainWindow = seconds(1);
  // An engine that lives on for this long after a request's first event was not
  // crashed by that request.
  Duration SurvivalTime = milliseconds(250);
  // Delay from the last crash or trial of a blamed part to the next trial. Each
  // trial multiplies it, so a part that does crash engines costs few of them.
  Duration TrialDelay = seconds(10);
  int TrialBackoff = 6;
  // Entries take turns of this length at making the trial, as requests with the
  // part may arrive at one of them only.
  Duration TrialTurn = seconds(2);
  Duration Retention = std::chrono::minutes(10); // of crashes and proofs
  // How long crashes and proofs are reported after they became known. Crashes
  // for which a part is blamed are reported for as long as it is blamed.
  Duration SharingTime = seconds(2);
  std::size_t MaxCrashes = 256;
  std::size_t MaxPromptsPerCrash = 32;
  std::size_t MaxProofs = 4'096;
  std::size_t MaxReported = 24; // crashes in one report
};

// A crash and when this entry came to know of it.
struct RecordedCrash {
  EngineCrash Crash;
  TimePoint NotedAt{};
};

// The crashes that count against one part.
struct SuspectPart {
  std::map<CrashId, TimePoint> Crashes; // time of the crash
  // Parts that followed this one in requests of these crashes.
  std::set<PromptPart> Later;
  PartTrials Trials;
  TimePoint LastRefusedAt{}; // a request of this entry with the part
};

struct KnownProof {
  TimePoint BegunAt{};
  TimePoint NotedAt{};
};

struct PartSuspects {
  SuspectSettings Settings;
  std::map<CrashId, RecordedCrash> Crashes;
  std::unordered_map<PromptPart, SuspectPart> Parts;
  std::unordered_map<PromptPart, KnownProof> Proofs;
};

// Records a crash that this entry detected or another entry reported. What
// several entries report about one crash is merged.
void noteCrash(PartSuspects &Suspects, const EngineCrash &Crash, TimePoint Now);

// Records that each of Parts is sound as of BegunAt. Returns whether that
// clears one of them of crashes.
bool noteProof(PartSuspects &Suspects, std::span<const PromptPart> Parts,
               TimePoint BegunAt, TimePoint Now);

// Returns the part for which a request with these shared parts must not be sent
// to an engine, if any. If several parts were in all the same crashes, that is
// the last of them: most requests have it not, so refusing it does least harm.
std::optional<PromptPart> blamedPart(const PartSuspects &Suspects,
                                     std::span<const PromptPart> Parts);

// Returns all parts for which requests are not sent.
std::set<PromptPart> blamedParts(const PartSuspects &Suspects);

// Takes the trial of the blamed Part if one is due and it is Self's turn among
// Self and Others. Returns whether the caller may send one request.
bool takeTrial(PartSuspects &Suspects, PromptPart Part, const EntryId &Self,
               std::span<const EntryId> Others, TimePoint Now);

// Records that a request with the blamed Part was refused.
void noteRefused(PartSuspects &Suspects, PromptPart Part, TimePoint Now);

// Returns what to report to other entries.
SuspectReport suspectReport(const PartSuspects &Suspects, TimePoint Now);

// Takes over what another entry reports.
void applySuspects(PartSuspects &Suspects, const SuspectReport &Report,
                   TimePoint Now);

// Adds Report to Sum without repetitions.
void addToReport(SuspectReport &Sum, const SuspectReport &Report);

// Erases crashes and proofs older than Settings.Retention. Crashes for which
// requests are still being refused are kept.
void expireSuspects(PartSuspects &Suspects, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_PARTSUSPECTS_H
