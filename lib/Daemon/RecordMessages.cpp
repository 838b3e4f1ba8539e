#include "RecordMessages.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace samphirehill {
namespace {

// A longer body would be dropped by the peer link, whose messages have at most
// 4 MiB; the caller then gets the status only.
constexpr std::size_t MaxForwardedBodyBytes = 3 << 20;

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(
      Left, Right, [](unsigned char First, unsigned char Second) {
        return std::tolower(First) == std::tolower(Second);
      });
}

} // namespace

peer::Envelope toEnvelope(const KeyedCall &Call, TimePoint Now) {
  peer::Envelope Envelope;
  peer::ForwardedCall &Message = *Envelope.mutable_forwarded_call();
  Message.set_method(Call.Plain.Method);
  Message.set_path(Call.Plain.Path);
  for (const auto &[Name, Value] : Call.Plain.Headers) {
    // The receiver needs no API key: the caller is authenticated.
    if (equalsIgnoringCase(Name, "Authorization"))
      continue;
    peer::Header &Added = *Message.add_headers();
    Added.set_name(Name);
    Added.set_value(Value);
  }
  Message.set_body(Call.Plain.Body);
  Message.set_remaining_ms(toMilliseconds(Call.Plain.Deadline - Now));
  Message.set_organisation(Call.Plain.Organisation.str());
  Message.set_service(Call.Plain.Of.str());
  Message.set_idempotency_key(Call.Key);
  Message.set_request_id(Call.Plain.Id.str());
  Message.set_hops(Call.Hops);
  Message.set_may_be_resend(Call.MayBeResend);
  Message.set_priority(static_cast<std::uint32_t>(Call.Plain.Class));
  return Envelope;
}

KeyedCall fromMessage(const peer::ForwardedCall &Message, TimePoint Now) {
  KeyedCall Call;
  Call.Plain.Id = RequestId(Message.request_id());
  Call.Plain.Of = ServiceId(Message.service());
  Call.Plain.Organisation = OrganisationId(Message.organisation());
  if (Message.priority() < PriorityCount)
    Call.Plain.Class = static_cast<Priority>(Message.priority());
  Call.Plain.Method = Message.method();
  Call.Plain.Path = Message.path();
  for (const peer::Header &Each : Message.headers())
    Call.Plain.Headers.emplace_back(Each.name(), Each.value());
  Call.Plain.Body = Message.body();
  Call.Plain.Deadline = Now + milliseconds(Message.remaining_ms());
  Call.Plain.Repeatable = false;
  Call.Plain.Print =
      requestFingerprint(Call.Plain.Organisation, Call.Plain.Body);
  Call.Key = Message.idempotency_key();
  Call.Hops = Message.hops();
  Call.MayBeResend = Message.may_be_resend();
  return Call;
}

peer::Envelope toEnvelope(const KeyedAnswer &Answer) {
  peer::Envelope Envelope;
  peer::ForwardedAnswer &Message = *Envelope.mutable_forwarded_answer();
  Message.set_status(static_cast<std::uint32_t>(Answer.Outcome.Status));
  Message.set_retry_after_ms(toMilliseconds(Answer.RetryAfter));
  Message.set_replayed(Answer.Replayed);
  if (Answer.Outcome.Body.size() > MaxForwardedBodyBytes) {
    Message.set_result_code(
        static_cast<std::uint32_t>(ResultCode::RecordedOutcomeTrimmed));
    return Envelope;
  }
  if (!Answer.Outcome.ContentType.empty()) {
    peer::Header &Added = *Message.add_headers();
    Added.set_name("Content-Type");
    Added.set_value(Answer.Outcome.ContentType);
  }
  Message.set_body(Answer.Outcome.Body);
  Message.set_result_code(static_cast<std::uint32_t>(Answer.Code));
  Message.set_message(Answer.Message);
  return Envelope;
}

peer::Envelope inProgressEnvelope() {
  peer::Envelope Envelope;
  Envelope.mutable_forwarded_answer();
  return Envelope;
}

bool isInProgress(const peer::ForwardedAnswer &Message) {
  return Message.result_code() == 0 && Message.status() == 0;
}

KeyedAnswer fromMessage(const peer::ForwardedAnswer &Message) {
  KeyedAnswer Answer;
  Answer.Code = static_cast<ResultCode>(Message.result_code());
  Answer.Outcome.Status = static_cast<int>(Message.status());
  for (const peer::Header &Each : Message.headers())
    if (equalsIgnoringCase(Each.name(), "Content-Type"))
      Answer.Outcome.ContentType = Each.value();
  Answer.Outcome.Body = Message.body();
  Answer.Outcome.Trimmed = Answer.Code == ResultCode::RecordedOutcomeTrimmed;
  Answer.Message = Message.message();
  Answer.RetryAfter = milliseconds(Message.retry_after_ms());
  Answer.Replayed = Message.replayed();
  return Answer;
}

} // namespace samphirehill
