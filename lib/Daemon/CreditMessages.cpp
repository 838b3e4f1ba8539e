#include "CreditMessages.h"

#include "peer.pb.h"

namespace samphirehill {
namespace {

void fill(peer::CreditCount &Message, const CreditCount &Value) {
  Message.set_normal(Value.Normal);
  Message.set_suspect(Value.Suspect);
}

CreditCount fromMessage(const peer::CreditCount &Message) {
  return CreditCount{Message.normal(), Message.suspect()};
}

void fill(peer::CreditGeneration &Message, const CreditGeneration &Value) {
  Message.set_epoch(Value.Epoch);
  Message.set_recall(Value.Recall);
}

CreditGeneration fromMessage(const peer::CreditGeneration &Message) {
  return CreditGeneration{Message.epoch(), Message.recall()};
}

} // namespace

peer::Envelope toEnvelope(const CreditReport &Report) {
  peer::Envelope Envelope;
  peer::CreditReport &Message = *Envelope.mutable_credit_report();
  Message.set_upstream(Report.Upstream.str());
  Message.set_uptime_us(Report.Uptime.count());
  fill(*Message.mutable_generation(), Report.Generation);
  Message.set_sequence(Report.Sequence);
  Message.set_acked_grant(Report.AckedGrant);
  Message.set_needs_ack(Report.NeedsAck);
  fill(*Message.mutable_carried(), Report.Carried);
  fill(*Message.mutable_received(), Report.Received);
  fill(*Message.mutable_returned(), Report.Returned);
  fill(*Message.mutable_wanted(), Report.Wanted);
  Message.set_leaving(Report.Leaving);
  if (Report.Cold) {
    Message.set_cold_cause(static_cast<std::uint32_t>(Report.Cold->Cause) + 1);
    Message.set_cold_boot(Report.Cold->Boot.str());
  }
  return Envelope;
}

peer::Envelope toEnvelope(const CreditGrant &Grant) {
  peer::Envelope Envelope;
  peer::CreditGrant &Message = *Envelope.mutable_credit_grant();
  Message.set_upstream(Grant.Upstream.str());
  Message.set_to_incarnation(Grant.ToIncarnation);
  fill(*Message.mutable_generation(), Grant.Generation);
  fill(*Message.mutable_cold_since(), Grant.ColdSince);
  Message.set_boot_id(Grant.Boot.str());
  Message.set_sequence(Grant.Sequence);
  Message.set_acked_report(Grant.AckedReport);
  Message.set_needs_ack(Grant.NeedsAck);
  fill(*Message.mutable_granted(), Grant.Granted);
  Message.set_reserve(Grant.Reserve);
  Message.set_contended(Grant.Contended);
  return Envelope;
}

CreditReport fromMessage(const peer::CreditReport &Message, const EntryId &From,
                         Incarnation FromIncarnation, const EntryId &To) {
  CreditReport Report;
  Report.From = From;
  Report.FromIncarnation = FromIncarnation;
  Report.Uptime = Duration(Message.uptime_us());
  Report.To = To;
  Report.Upstream = UpstreamId(Message.upstream());
  Report.Generation = fromMessage(Message.generation());
  Report.Sequence = Message.sequence();
  Report.AckedGrant = Message.acked_grant();
  Report.NeedsAck = Message.needs_ack();
  Report.Carried = fromMessage(Message.carried());
  Report.Received = fromMessage(Message.received());
  Report.Returned = fromMessage(Message.returned());
  Report.Wanted = fromMessage(Message.wanted());
  Report.Leaving = Message.leaving();
  if (Message.cold_cause() > 0)
    Report.Cold = ColdEvidence{static_cast<ColdCause>(Message.cold_cause() - 1),
                               BootId(Message.cold_boot())};
  return Report;
}

CreditGrant fromMessage(const peer::CreditGrant &Message, const EntryId &From,
                        const EntryId &To) {
  CreditGrant Grant;
  Grant.From = From;
  Grant.To = To;
  Grant.ToIncarnation = Message.to_incarnation();
  Grant.Upstream = UpstreamId(Message.upstream());
  Grant.Generation = fromMessage(Message.generation());
  Grant.ColdSince = fromMessage(Message.cold_since());
  Grant.Boot = BootId(Message.boot_id());
  Grant.Sequence = Message.sequence();
  Grant.AckedReport = Message.acked_report();
  Grant.NeedsAck = Message.needs_ack();
  Grant.Granted = fromMessage(Message.granted());
  Grant.Reserve = Message.reserve();
  Grant.Contended = Message.contended();
  return Grant;
}

} // namespace samphirehill
