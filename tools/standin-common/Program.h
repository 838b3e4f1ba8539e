// What the stand-in programs have in common: arguments, the ready line, the
// end on SIGTERM, timers and JSON answers.
#ifndef SAMPHIREHILL_STANDIN_COMMON_PROGRAM_H
#define SAMPHIREHILL_STANDIN_COMMON_PROGRAM_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/HttpClient.h"
#include "standin-common/HttpServer.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace samphirehill::standin {

using Json = nlohmann::json;

// Serves at Address until SIGTERM or SIGINT; prints "ready <ip:port>" when it
// listens. Returns the exit status.
int serve(asio::io_context &Io, const std::string &Address, Handler Serve);

// Calls Callback on Io after Delay.
void after(asio::io_context &Io, Duration Delay,
           std::function<void()> Callback);

// Sends Body as the whole answer.
void sendJson(const ResponderPtr &To, int Status, const Json &Body,
              HttpHeaders Headers = {});

// Returns the JSON object in the body; an empty body is an empty object.
// Returns a discarded value when the body is anything else.
Json parseObject(const Request &From);

// Fetches Url through Http; calls back with the status and the JSON body, or
// with status 0 when there is no whole answer.
void fetchJson(HttpClient &Http, const std::string &Url,
               std::function<void(int, Json)> OnDone);

// Sets Target from the field Name of From, if it is there with the right type.
template <typename T> void take(const Json &From, const char *Name, T &Target) {
  auto Found = From.find(Name);
  if (Found == From.end())
    return;
  try {
    Target = Found->template get<T>();
  } catch (const Json::exception &) {
    return;
  }
}

// The instant now of the process's monotonic clock.
TimePoint now();

// A token bucket; a rate of 0 allows everything.
class RateLimit {
public:
  // Sets the rate in calls per second and the burst, and fills the bucket.
  void set(double PerSecond, double Burst);
  // Takes one token at Now; returns false when there is none.
  bool allow(TimePoint Now);

private:
  double PerSecond = 0;
  double Burst = 0;
  double Tokens = 0;
  TimePoint Last;
};

// Returns a short random id for boot ids.
std::string randomId();

} // namespace samphirehill::standin

#endif // SAMPHIREHILL_STANDIN_COMMON_PROGRAM_H
