#include "samphirehill/Serving/EntryReport.h"

#include "generated/entry_state.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace samphirehill::serving {
namespace {

void encode(const ListChange &Change, wire::ListChange &Encoded) {
  Encoded.set_name(Change.Name);
  Encoded.set_revision(Change.Revision);
  Encoded.set_era(Change.Era);
  Encoded.set_removed(Change.Removed);
  if (!Change.Listed)
    return;
  const Instance &Listed = Change.Listed->Listed;
  wire::ListedInstance &EncodedInstance = *Encoded.mutable_listed();
  EncodedInstance.set_service(Listed.Service.str());
  EncodedInstance.set_host(Listed.Address.Host);
  EncodedInstance.set_port(Listed.Address.Port);
  EncodedInstance.set_zone(Listed.Zone.str());
  EncodedInstance.set_domain(Listed.Domain);
  EncodedInstance.set_draining(Listed.Draining);
  EncodedInstance.set_slots(Listed.Slots);
  EncodedInstance.set_born_ms(Listed.BornMilliseconds);
  for (const std::string &Each : Listed.Staged)
    EncodedInstance.add_staged(Each);
  EncodedInstance.set_order_running(Listed.OrderRunning);
  EncodedInstance.set_pace(Listed.Pace);
  EncodedInstance.set_cold_ms(toMilliseconds(Change.Listed->ColdFor));
  if (!Listed.Group)
    return;
  EncodedInstance.set_group(Listed.Group->Group);
  EncodedInstance.set_epoch(Listed.Group->Epoch);
  EncodedInstance.set_rank(Listed.Group->Rank);
  EncodedInstance.set_phase(static_cast<std::int32_t>(Listed.Group->Phase));
}

ListChange decode(const wire::ListChange &Encoded) {
  ListChange Change{
      Encoded.name(), Encoded.revision(), Encoded.removed(), {}, Encoded.era()};
  if (!Encoded.has_listed())
    return Change;
  const wire::ListedInstance &EncodedInstance = Encoded.listed();
  Instance Listed;
  Listed.Id = InstanceId(Encoded.name());
  Listed.Service = ServiceId(EncodedInstance.service());
  Listed.Address = {EncodedInstance.host(),
                    static_cast<std::uint16_t>(EncodedInstance.port())};
  Listed.Zone = ZoneId(EncodedInstance.zone());
  Listed.Domain = EncodedInstance.domain();
  Listed.Draining = EncodedInstance.draining();
  Listed.Slots = EncodedInstance.slots();
  Listed.BornMilliseconds = EncodedInstance.born_ms();
  Listed.Staged.assign(EncodedInstance.staged().begin(),
                       EncodedInstance.staged().end());
  Listed.OrderRunning = EncodedInstance.order_running();
  Listed.Pace = EncodedInstance.pace();
  constexpr auto LastPhase = static_cast<std::int32_t>(MemberPhase::Broken);
  if (!EncodedInstance.group().empty())
    Listed.Group = Membership{EncodedInstance.group(), EncodedInstance.epoch(),
                              EncodedInstance.rank(),
                              static_cast<MemberPhase>(std::clamp(
                                  EncodedInstance.phase(), 0, LastPhase))};
  Change.Listed = ListedInstance{std::move(Listed),
                                 milliseconds(EncodedInstance.cold_ms())};
  return Change;
}

std::uint32_t ageOf(TimePoint At, TimePoint Now) {
  constexpr std::int64_t LongestAge = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(toMilliseconds(Now - At), 0, LongestAge));
}

void encode(const SuspectReport &Report, TimePoint Now,
            wire::EntryState &State) {
  for (const EngineCrash &Each : Report.Crashes) {
    wire::EngineCrash &Added = *State.add_crashes();
    Added.set_engine(Each.Engine.Upstream.str());
    Added.set_boot_id(Each.Engine.Boot.str());
    Added.set_domain(Each.Domain);
    Added.set_age_ms(ageOf(Each.At, Now));
    for (const std::vector<PromptPart> &Prompt : Each.Prompts)
      Added.add_prompts()->mutable_parts()->Add(Prompt.begin(), Prompt.end());
  }
  for (const PartProof &Each : Report.Proofs) {
    wire::PartProof &Added = *State.add_proofs();
    Added.set_part(Each.Part);
    Added.set_age_ms(ageOf(Each.BegunAt, Now));
  }
  for (const PartTrials &Each : Report.Trials) {
    wire::PartTrials &Added = *State.add_trials();
    Added.set_part(Each.Part);
    Added.set_count(static_cast<std::uint32_t>(Each.Count));
    Added.set_age_ms(ageOf(Each.LastAt, Now));
  }
}

SuspectReport decodeSuspects(const wire::EntryState &State, TimePoint Now) {
  SuspectReport Report;
  for (const wire::EngineCrash &Each : State.crashes()) {
    EngineCrash Crash{{UpstreamId(Each.engine()), BootId(Each.boot_id())},
                      Each.domain(),
                      Now - milliseconds(Each.age_ms()),
                      {}};
    for (const wire::PromptParts &Prompt : Each.prompts())
      Crash.Prompts.emplace_back(Prompt.parts().begin(), Prompt.parts().end());
    Report.Crashes.push_back(std::move(Crash));
  }
  for (const wire::PartProof &Each : State.proofs())
    Report.Proofs.push_back({Each.part(), Now - milliseconds(Each.age_ms())});
  for (const wire::PartTrials &Each : State.trials())
    Report.Trials.push_back({Each.part(), static_cast<int>(Each.count()),
                             Now - milliseconds(Each.age_ms())});
  return Report;
}

void encode(const std::map<ServiceModel, WorkByClaim> &Work,
            wire::EntryState &State) {
  for (const auto &[Kind, Claims] : Work) {
    wire::KindWork &Added = *State.add_organisation_work();
    Added.set_service(Kind.Service.str());
    Added.set_model(Kind.Model);
    for (const auto &[Key, Each] : Claims) {
      wire::OrganisationWork &Claim = *Added.add_claims();
      Claim.set_rank(static_cast<std::uint32_t>(Key.Rank));
      Claim.set_organisation(Key.Organisation.str());
      Claim.set_held(static_cast<std::uint32_t>(Each.Held));
      Claim.set_waiting(static_cast<std::uint32_t>(Each.Waiting));
      Claim.set_asked(static_cast<float>(Each.Asked));
      Claim.set_claims(static_cast<std::uint32_t>(Each.Claims));
    }
  }
}

std::map<ServiceModel, WorkByClaim> decodeWork(const wire::EntryState &State) {
  std::map<ServiceModel, WorkByClaim> Work;
  for (const wire::KindWork &Kind : State.organisation_work()) {
    WorkByClaim &Claims = Work[{ServiceId(Kind.service()), Kind.model()}];
    for (const wire::OrganisationWork &Each : Kind.claims())
      Claims[{static_cast<int>(Each.rank()),
              OrganisationId(Each.organisation())}] = {
          static_cast<int>(Each.held()), static_cast<int>(Each.waiting()),
          Each.asked(), std::max(static_cast<int>(Each.claims()), 1)};
  }
  return Work;
}

void encode(const ZoneId &Zone, const ZoneEvidence &Evidence, TimePoint Now,
            wire::ZoneReach &Encoded) {
  Encoded.set_zone(Zone.str());
  if (Evidence.HeardAt != TimePoint{})
    Encoded.set_heard_age_ms(ageOf(Evidence.HeardAt, Now));
  if (Evidence.AnsweredAt != TimePoint{})
    Encoded.set_answered_age_ms(ageOf(Evidence.AnsweredAt, Now));
  if (Evidence.FailedAt != TimePoint{})
    Encoded.set_failed_age_ms(ageOf(Evidence.FailedAt, Now));
}

ZoneEvidence decode(const wire::ZoneReach &Encoded, TimePoint Now) {
  ZoneEvidence Evidence;
  if (Encoded.has_heard_age_ms())
    Evidence.HeardAt = Now - milliseconds(Encoded.heard_age_ms());
  if (Encoded.has_answered_age_ms())
    Evidence.AnsweredAt = Now - milliseconds(Encoded.answered_age_ms());
  if (Encoded.has_failed_age_ms())
    Evidence.FailedAt = Now - milliseconds(Encoded.failed_age_ms());
  return Evidence;
}

void encode(const LimitNews &News, TimePoint Now, wire::StatedLimit &Encoded) {
  Encoded.set_instance(News.Of.Id.str());
  Encoded.set_born_ms(News.Of.BornMilliseconds);
  if (News.PerSecond)
    Encoded.set_per_second(*News.PerSecond);
  Encoded.set_age_ms(ageOf(News.StatedAt, Now));
}

// Returns nothing if the limit is no number: that doesn't end a limit.
std::optional<LimitNews> decode(const wire::StatedLimit &Encoded,
                                TimePoint Now) {
  LimitNews News{{InstanceId(Encoded.instance()), Encoded.born_ms()},
                 {},
                 Now - milliseconds(Encoded.age_ms())};
  if (!Encoded.has_per_second())
    return News;
  if (!std::isfinite(Encoded.per_second()))
    return std::nullopt;
  News.PerSecond = std::clamp(Encoded.per_second(), 0.0, HighestStatedLimit);
  return News;
}

ToldPace decodePace(const wire::UpstreamLoad &Load) {
  double Slots = Load.paced_slots();
  constexpr std::uint32_t MostEntries = 100'000;
  if (!std::isfinite(Slots) || Slots < 0 || Load.paced_by() > MostEntries)
    return {};
  return {Slots, static_cast<int>(Load.paced_by())};
}

void encode(const EntryReport &Report, TimePoint Now, wire::EntryState &State) {
  State.set_entry(Report.Entry.str());
  State.set_incarnation(Report.Life);
  State.set_sequence(Report.Sequence);
  State.set_zone(Report.Zone.str());
  State.set_configuration_version(Report.ConfigurationVersion);
  State.set_duty_term(Report.DutyTerm);
  State.set_duty_renewal(Report.DutyRenewal);
  for (const auto &[Key, Load] : Report.Loads) {
    wire::UpstreamLoad &Added = *State.add_loads();
    Added.set_instance(Key.Instance.str());
    Added.set_epoch(Key.Epoch);
    Added.set_running(static_cast<std::uint32_t>(Load.Running));
    Added.set_pending_tokens(static_cast<std::uint32_t>(Load.PendingTokens));
    Added.set_stalled_by(static_cast<std::uint32_t>(Load.StalledBy));
    Added.set_moving_by(static_cast<std::uint32_t>(Load.MovingBy));
    Added.set_paced_slots(static_cast<float>(Load.Pace.Slots));
    Added.set_paced_by(static_cast<std::uint32_t>(Load.Pace.Entries));
  }
  for (const BreakOff &Each : Report.BreakOffs) {
    wire::BreakOff &Added = *State.add_break_offs();
    Added.set_request(Each.Request);
    Added.set_upstream(Each.Upstream);
    Added.set_age_ms(
        static_cast<std::uint32_t>(toMilliseconds(Now - Each.SeenAt)));
    Added.set_resent(Each.Resent);
  }
  for (const InstanceId &Each : Report.Reached)
    State.add_reached(Each.str());
  for (const InstanceId &Each : Report.Asked)
    State.add_asked(Each.str());
  for (const auto &[Id, Entries] : Report.Denials) {
    wire::Denial &Added = *State.add_denials();
    Added.set_instance(Id.str());
    Added.set_entries(static_cast<std::uint32_t>(Entries));
  }
  State.set_entries(static_cast<std::uint32_t>(Report.Entries));
  for (const auto &[Entry, Sequence] : Report.Included) {
    wire::Included &Added = *State.add_included();
    Added.set_entry(Entry.str());
    Added.set_sequence(Sequence);
  }
  State.set_list_revision(Report.ListRevision);
  State.set_list_digest(Report.ListDigest);
  State.set_store_era(Report.StoreEra);
  for (const ListChange &Each : Report.Changes)
    encode(Each, *State.add_list_changes());
  for (const ZoneId &Each : Report.ZonesOut)
    State.add_zones_out(Each.str());
  State.set_zones_out_revision(Report.ZonesOutMark.Revision);
  State.set_zones_out_era(Report.ZonesOutMark.Era);
  for (const ZoneId &Each : Report.SummedZones)
    State.add_summed_zones(Each.str());
  for (const auto &[Kind, PerSecond] : Report.Demands) {
    wire::Demand &Added = *State.add_demands();
    Added.set_service(Kind.Service.str());
    Added.set_model(Kind.Model);
    Added.set_per_second(PerSecond);
  }
  for (const auto &[Kind, Places] : Report.Work) {
    wire::Work &Added = *State.add_work();
    Added.set_zone(Kind.Zone.str());
    Added.set_service(Kind.Service.str());
    Added.set_model(Kind.Model);
    Added.set_places(Places);
  }
  encode(Report.ClaimedPlaces, State);
  encode(Report.Suspects, Now, State);
  for (const auto &[Zone, Evidence] : Report.Reach)
    encode(Zone, Evidence, Now, *State.add_reach());
  for (const LimitNews &Each : Report.Limits)
    encode(Each, Now, *State.add_limits());
}

EntryReport decode(const wire::EntryState &State, TimePoint Now) {
  EntryReport Report;
  Report.Entry = EntryId(State.entry());
  Report.Life = State.incarnation();
  Report.Sequence = State.sequence();
  Report.Zone = ZoneId(State.zone());
  Report.ConfigurationVersion = State.configuration_version();
  Report.DutyTerm = State.duty_term();
  Report.DutyRenewal = State.duty_renewal();
  for (const wire::UpstreamLoad &Each : State.loads()) {
    Report.Loads[{InstanceId(Each.instance()), Each.epoch()}] = {
        static_cast<int>(Each.running()), Each.pending_tokens(),
        static_cast<int>(Each.stalled_by()), static_cast<int>(Each.moving_by()),
        decodePace(Each)};
  }
  for (const wire::BreakOff &Each : State.break_offs())
    Report.BreakOffs.push_back({Each.request(), Each.upstream(),
                                Now - milliseconds(Each.age_ms()),
                                Each.resent()});
  for (const std::string &Each : State.reached())
    Report.Reached.insert(InstanceId(Each));
  for (const std::string &Each : State.asked())
    Report.Asked.insert(InstanceId(Each));
  for (const wire::Denial &Each : State.denials())
    Report.Denials[InstanceId(Each.instance())] =
        static_cast<int>(Each.entries());
  Report.Entries = static_cast<int>(State.entries());
  for (const wire::Included &Each : State.included())
    Report.Included[EntryId(Each.entry())] = Each.sequence();
  Report.ListRevision = State.list_revision();
  Report.ListDigest = State.list_digest();
  Report.StoreEra = State.store_era();
  for (const wire::ListChange &Each : State.list_changes())
    Report.Changes.push_back(decode(Each));
  for (const std::string &Each : State.zones_out())
    Report.ZonesOut.insert(ZoneId(Each));
  Report.ZonesOutMark = {State.zones_out_era(), State.zones_out_revision()};
  for (const std::string &Each : State.summed_zones())
    Report.SummedZones.insert(ZoneId(Each));
  for (const wire::Demand &Each : State.demands())
    Report.Demands[{ServiceId(Each.service()), Each.model()}] =
        Each.per_second();
  for (const wire::Work &Each : State.work())
    Report
        .Work[{ZoneId(Each.zone()), ServiceId(Each.service()), Each.model()}] =
        Each.places();
  Report.ClaimedPlaces = decodeWork(State);
  Report.Suspects = decodeSuspects(State, Now);
  for (const wire::ZoneReach &Each : State.reach())
    Report.Reach[ZoneId(Each.zone())] = decode(Each, Now);
  for (const wire::StatedLimit &Each : State.limits()) {
    if (std::optional<LimitNews> News = decode(Each, Now))
      Report.Limits.push_back(*News);
  }
  return Report;
}

} // namespace

std::string encodeMessage(const EntryMessage &Message, TimePoint Now) {
  wire::EntryState State;
  encode(Message.Own, Now, State);
  for (const EntryReport &Each : Message.Summaries)
    encode(Each, Now, *State.add_summaries());
  return State.SerializeAsString();
}

std::optional<EntryMessage> decodeMessage(const std::string &Bytes,
                                          TimePoint Now) {
  wire::EntryState State;
  if (!State.ParseFromString(Bytes) || State.entry().empty())
    return std::nullopt;
  EntryMessage Message;
  Message.Own = decode(State, Now);
  for (const wire::EntryState &Each : State.summaries())
    Message.Summaries.push_back(decode(Each, Now));
  return Message;
}

void addToSummary(EntryReport &Sum, const EntryReport &Report) {
  Sum.Included[Report.Entry] = Report.Sequence;
  Sum.ConfigurationVersion =
      std::max(Sum.ConfigurationVersion, Report.ConfigurationVersion);
  for (const auto &[Key, Load] : Report.Loads)
    Sum.Loads[Key] += Load;
  for (const auto &[Kind, PerSecond] : Report.Demands)
    Sum.Demands[Kind] += PerSecond;
  for (const auto &[Kind, Places] : Report.Work)
    Sum.Work[Kind] += Places;
  for (const auto &[Kind, Claims] : Report.ClaimedPlaces)
    addWork(Sum.ClaimedPlaces[Kind], Claims);
  addBreakOffs(Sum.BreakOffs, Report.BreakOffs);
  addToReport(Sum.Suspects, Report.Suspects);
  Sum.Reached.insert(Report.Reached.begin(), Report.Reached.end());
  Sum.Asked.insert(Report.Asked.begin(), Report.Asked.end());
  for (const auto &[Id, Entries] : Report.Denials)
    Sum.Denials[Id] += Entries;
  Sum.Entries += Report.Entries;
  addNews(Sum.Limits, Report.Limits);
  if (Sum.Zone == Report.Zone) {
    for (const auto &[Zone, Evidence] : Report.Reach)
      Sum.Reach[Zone] = merge(Sum.Reach[Zone], Evidence);
  }
  if (std::pair(Report.DutyTerm, Report.DutyRenewal) >
      std::pair(Sum.DutyTerm, Sum.DutyRenewal)) {
    Sum.DutyTerm = Report.DutyTerm;
    Sum.DutyRenewal = Report.DutyRenewal;
  }
}

} // namespace samphirehill::serving
