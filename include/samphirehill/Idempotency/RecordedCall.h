// The values that record shards and entry-issued keys share: how a call that
// must not be repeated ended, what a record keeps of its outcome, and the
// answers to its callers.
#ifndef SAMPHIREHILL_IDEMPOTENCY_RECORDEDCALL_H
#define SAMPHIREHILL_IDEMPOTENCY_RECORDEDCALL_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/ResultCode.h"
#include "samphirehill/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace samphirehill {

// Longest body that a record keeps. If the body is longer, the record keeps
// only the status.
constexpr std::size_t MaxKeptBodyBytes = 2048;

// An upstream's answer. Headers other than the content type are not kept.
struct CallOutcome {
  int Status = 0; // HTTP status
  std::string ContentType;
  std::string Body;     // any bytes
  bool Trimmed = false; // the body was not kept; ContentType and Body are empty

  bool operator==(const CallOutcome &) const = default;
};

// The upstream answered in full.
struct CallAnswered {
  CallOutcome Outcome;
};
// The upstream did not run the call, which is certain. Code is a `not run`
// code. The key can be used again.
struct CallNotRun {
  ResultCode Code = ResultCode::UpstreamRefused;
};
// The upstream may have run the call. Code is a `may have run` code.
struct CallUnknown {
  ResultCode Code = ResultCode::UpstreamLost;
};
using CallEnd = std::variant<CallAnswered, CallNotRun, CallUnknown>;

// Action: send the call of Request to its upstream, once. Report the end of the
// call with the same Attempt. Retry the call only while no byte has reached an
// upstream.
struct SendCall {
  RequestId Request;
  std::uint64_t Attempt = 0;

  bool operator==(const SendCall &) const = default;
};

// Action: give Request's caller the upstream's answer. Replayed is set when
// the call was sent for an earlier request. A trimmed outcome is sent with its
// status, an empty body and ResultCode::RecordedOutcomeTrimmed.
struct AnswerOutcome {
  RequestId Request;
  CallOutcome Outcome;
  bool Replayed = false;

  bool operator==(const AnswerOutcome &) const = default;
};

// Action: give Request's caller a final refusal. Send `Retry-After` if
// RetryAfter is above 0. A `not run` code says that Request itself was not run
// and never will be.
struct AnswerRefusal {
  RequestId Request;
  ResultCode Code = ResultCode::Internal;
  std::string Message;
  Duration RetryAfter{0};

  bool operator==(const AnswerRefusal &) const = default;
};

// Returns what a record keeps of Outcome: all of it, or only its status if the
// body is longer than MaxKeptBodyBytes or the content type than 128 bytes.
CallOutcome keptOutcome(const CallOutcome &Outcome);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_RECORDEDCALL_H
