// How requests and answers look on the wire of a deployment, as free functions
// over plain structs. The adapter supplies them; the serving path knows only
// the facts.
#ifndef SAMPHIREHILL_SERVING_REQUESTWIRE_H
#define SAMPHIREHILL_SERVING_REQUESTWIRE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/HttpMessage.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill::serving {

// What a caller's request says about itself.
struct RequestFacts {
  std::string Id;   // of this attempt of the caller's
  std::string Host; // without port
  std::string Key;  // the organisation's
  std::string Model;
  std::optional<Duration> TimeLeft; // that the caller waits
  std::int64_t PromptTokens = 0;
  std::int64_t OutputTokens = 0;           // at most
  std::optional<std::int64_t> LastEventId; // of a stream that is resumed

  bool operator==(const RequestFacts &) const = default;
};

// What the entry adds to a request that it sends on.
struct SendFacts {
  Duration TimeLeft{};
  InstanceId Expected;         // any other instance must refuse it
  OrganisationId Organisation; // empty: anonymous
  int Priority = 5;            // 0 is first, 9 last
  std::optional<std::int64_t> LastEventId;

  bool operator==(const SendFacts &) const = default;
};

// What an upstream's answer says about itself.
struct AnswerFacts {
  std::string Id;      // of the request that it answers; empty if it names none
  bool Sealed = false; // bears the upstream's proof of origin
  bool NotRun = false; // states that the request wasn't run
  std::optional<Duration> ColdFor;
  bool Leaving = false; // the instance takes no further work
  // The instance wants no requests from this process for so long.
  std::optional<Duration> QuietFor;
  // Names of facts whose value could not be read and was passed over.
  std::vector<std::string> Unreadable;

  bool operator==(const AnswerFacts &) const = default;
};

struct RequestWire {
  std::function<RequestFacts(const HttpRequest &)> ReadRequest;
  // Returns Original as it is sent on: unchanged but for Facts.
  std::function<HttpRequest(const HttpRequest &Original, const SendFacts &)>
      Forward;
  std::function<AnswerFacts(const HttpResponse &)> ReadAnswer;
  // Returns an answer of the entry's own to the request with Id. RetryAfter is
  // when the caller should come back.
  std::function<HttpResponse(int Status, const std::string &Id,
                             std::optional<Duration> RetryAfter)>
      BuildAnswer;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_REQUESTWIRE_H
