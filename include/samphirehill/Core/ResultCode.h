// Numbered result codes. Every refusal and error that leaves the process
// carries one; docs/result-codes.md tables them. The first digit tells whether
// the request ran: 1 not run, 2 may have run, 3 run, 4 an operator's or
// internal error that concerns no caller's request.
#ifndef SAMPHIREHILL_CORE_RESULTCODE_H
#define SAMPHIREHILL_CORE_RESULTCODE_H

#include <string_view>

namespace samphirehill {

enum class ResultCode {
  Ok = 0,

  BadRequest = 1001,
  HeaderTooLarge = 1002,
  BodyTooLarge = 1003,
  Unauthenticated = 1004,
  UnknownService = 1005,
  Forbidden = 1006,
  MissingIdempotencyKey = 1007,
  IdempotencyKeyMismatch = 1008,
  DeadlineTooShort = 1009,
  Overloaded = 1010,
  NoUpstream = 1011,
  ZoneOut = 1012,
  ShuttingDown = 1013,
  Closing = 1014,
  CrashesUpstreams = 1015,
  RecordStoreUnavailable = 1016,
  RecordShardFull = 1017,
  RetryBudgetExhausted = 1018,
  UpstreamRefused = 1019,
  RequestTimeout = 1020,

  UpstreamLost = 2001,
  DeadlineExceeded = 2002,
  OutcomeUnknown = 2003,
  KeyOwnerGone = 2004,
  StreamBroken = 2005,

  RecordedOutcomeTrimmed = 3001,

  InvalidText = 4001,
  InvalidSettings = 4002,
  Conflict = 4003,
  NotFound = 4004,
  PlatformUnavailable = 4005,
  PlatformRateLimited = 4006,
  UnknownWriteOutcome = 4007,
  StaleFence = 4008,
  BadAnswer = 4009,
  ConnectFailed = 4010,
  Timeout = 4011,
  Internal = 4012,
};

// What a code says about execution of the caller's request.
enum class RunState { NotRun, MayHaveRun, Run, NotARequest };

// Returns the run state that Code's number encodes; Ok is Run.
RunState runState(ResultCode Code);

// Returns "not run", "may have run", "run" or "" for NotARequest.
std::string_view toString(RunState State);

// Returns the name of Code in kebab case, for example "bad-request".
std::string_view toString(ResultCode Code);

// Returns the HTTP status with which Code goes to a caller or operator.
int httpStatus(ResultCode Code);

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_RESULTCODE_H
