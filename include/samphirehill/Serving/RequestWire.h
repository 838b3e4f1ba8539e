// Interface to the wire format of a deployment's requests and answers. The
// adapter supplies functions that translate HTTP messages from and to the plain
// structs of this file; the serving path uses only these structs.
#ifndef SAMPHIREHILL_SERVING_REQUESTWIRE_H
#define SAMPHIREHILL_SERVING_REQUESTWIRE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/PartSuspects.h"
#include "samphirehill/Serving/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill::serving {

// Bounds the parts that are read from one request.
inline constexpr std::size_t MaxPromptParts = 32;

// What a caller's request states in its headers and body.
struct RequestFacts {
  std::string Id;   // of this attempt of the caller
  std::string Host; // without port
  std::string Key;  // the organisation's API key
  std::string Model;
  std::optional<Duration> TimeLeft; // how long the caller will wait
  std::int64_t PromptTokens = 0;
  std::int64_t OutputTokens = 0; // upper bound
  // Ids of the parts of the prompt that the request may share with others, in
  // order; at most MaxPromptParts.
  std::vector<PromptPart> SharedParts;
  // The last event that the caller has of a stream that it resumes.
  std::optional<std::int64_t> LastEventId;

  bool operator==(const RequestFacts &) const = default;
};

// What the entry adds to a request that it forwards to an upstream.
struct SendFacts {
  Duration TimeLeft{};         // until the request's deadline
  InstanceId Expected;         // any other instance must refuse the request
  OrganisationId Organisation; // empty: anonymous
  int Priority = 5;            // 0 is served first, 9 last
  // The last event that the caller has; the upstream sends those after it.
  std::optional<std::int64_t> LastEventId;

  bool operator==(const SendFacts &) const = default;
};

// What an upstream's answer states in its headers.
struct AnswerFacts {
  std::string Id;      // of the answered request; empty if none is named
  bool Sealed = false; // carries the upstream's proof of origin
  bool NotRun = false; // states that the request was not run
  std::optional<Duration> ColdFor; // how much longer the instance is cold
  bool Leaving = false;            // the instance takes no further requests
  // The instance asks this process to send no requests for this long (quiet).
  std::optional<Duration> QuietFor;
  // The requests per second that the instance takes from all entries together.
  std::optional<double> Limit;
  // Names of values that could not be parsed and were ignored.
  std::vector<std::string> Unreadable;

  bool operator==(const AnswerFacts &) const = default;
};

struct RequestWire {
  std::function<RequestFacts(const HttpRequest &)> ReadRequest;
  // Returns the request to send to an upstream: Original, changed only by what
  // SendFacts holds.
  std::function<HttpRequest(const HttpRequest &Original, const SendFacts &)>
      Forward;
  std::function<AnswerFacts(const HttpResponse &)> ReadAnswer;
  // Returns an answer that the entry itself gives to the request with Id.
  // RetryAfter is the delay after which the caller should retry.
  std::function<HttpResponse(int Status, const std::string &Id,
                             std::optional<Duration> RetryAfter)>
      BuildAnswer;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_REQUESTWIRE_H
