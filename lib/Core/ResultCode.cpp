#include "samphirehill/Core/ResultCode.h"

#include <array>

namespace samphirehill {
namespace {

struct Row {
  ResultCode Code;
  std::string_view Name;
  int Status;
};

constexpr std::array Rows = {
    Row{ResultCode::Ok, "ok", 200},
    Row{ResultCode::BadRequest, "bad-request", 400},
    Row{ResultCode::HeaderTooLarge, "header-too-large", 431},
    Row{ResultCode::BodyTooLarge, "body-too-large", 413},
    Row{ResultCode::Unauthenticated, "unauthenticated", 401},
    Row{ResultCode::UnknownService, "unknown-service", 404},
    Row{ResultCode::Forbidden, "forbidden", 403},
    Row{ResultCode::MissingIdempotencyKey, "missing-idempotency-key", 400},
    Row{ResultCode::IdempotencyKeyMismatch, "idempotency-key-mismatch", 422},
    Row{ResultCode::DeadlineTooShort, "deadline-too-short", 504},
    Row{ResultCode::Overloaded, "overloaded", 429},
    Row{ResultCode::NoUpstream, "no-upstream", 503},
    Row{ResultCode::ZoneOut, "zone-out", 503},
    Row{ResultCode::ShuttingDown, "shutting-down", 503},
    Row{ResultCode::Closing, "closing", 503},
    Row{ResultCode::CrashesUpstreams, "crashes-upstreams", 422},
    Row{ResultCode::RecordStoreUnavailable, "record-store-unavailable", 503},
    Row{ResultCode::RecordShardFull, "record-shard-full", 503},
    Row{ResultCode::RetryBudgetExhausted, "retry-budget-exhausted", 503},
    Row{ResultCode::UpstreamRefused, "upstream-refused", 503},
    Row{ResultCode::RequestTimeout, "request-timeout", 408},
    Row{ResultCode::UpstreamLost, "upstream-lost", 502},
    Row{ResultCode::DeadlineExceeded, "deadline-exceeded", 504},
    Row{ResultCode::OutcomeUnknown, "outcome-unknown", 409},
    Row{ResultCode::KeyOwnerGone, "key-owner-gone", 409},
    Row{ResultCode::StreamBroken, "stream-broken", 502},
    Row{ResultCode::RecordedOutcomeTrimmed, "recorded-outcome-trimmed", 200},
    Row{ResultCode::InvalidText, "invalid-text", 422},
    Row{ResultCode::InvalidSettings, "invalid-settings", 422},
    Row{ResultCode::Conflict, "conflict", 409},
    Row{ResultCode::NotFound, "not-found", 404},
    Row{ResultCode::PlatformUnavailable, "platform-unavailable", 503},
    Row{ResultCode::PlatformRateLimited, "platform-rate-limited", 503},
    Row{ResultCode::UnknownWriteOutcome, "unknown-write-outcome", 503},
    Row{ResultCode::StaleFence, "stale-fence", 409},
    Row{ResultCode::BadAnswer, "bad-answer", 502},
    Row{ResultCode::ConnectFailed, "connect-failed", 502},
    Row{ResultCode::Timeout, "timeout", 504},
    Row{ResultCode::Internal, "internal", 500},
};

const Row *findRow(ResultCode Code) {
  for (const Row &Candidate : Rows)
    if (Candidate.Code == Code)
      return &Candidate;
  return nullptr;
}

} // namespace

RunState runState(ResultCode Code) {
  switch (static_cast<int>(Code) / 1000) {
  case 1:
    return RunState::NotRun;
  case 2:
    return RunState::MayHaveRun;
  case 4:
    return RunState::NotARequest;
  default:
    return RunState::Run;
  }
}

std::string_view toString(RunState State) {
  switch (State) {
  case RunState::NotRun:
    return "not run";
  case RunState::MayHaveRun:
    return "may have run";
  case RunState::Run:
    return "run";
  case RunState::NotARequest:
    break;
  }
  return "";
}

std::string_view toString(ResultCode Code) {
  const Row *Found = findRow(Code);
  return Found ? Found->Name : "unknown";
}

int httpStatus(ResultCode Code) {
  const Row *Found = findRow(Code);
  return Found ? Found->Status : 500;
}

} // namespace samphirehill
