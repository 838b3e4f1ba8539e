// The operators' text: what one operator asks of the system. Each operator
// writes one TOML file; samphirehillctl checks it and stores it as JSON in the
// object config/<operator>.
//
//   operator = "lumen"
//   [limits]
//   max_deadline = "120s"        # longest deadline a caller may ask for
//   record_ttl = "24h"           # life of idempotency records
//   max_concurrent_loads = 2     # at the weight store, in each zone
//   [[zones]]
//   name = "mu-1"
//   region = "mauritius"
//   [[services]]
//   name = "notes"
//   kind = "model"
//   model = "notes-70b"
//   version = "3"
//   adapters = ["french"]
//   replica_size = 4             # instances
//   accelerators = 2             # that each instance has at least
//   replicas_per_zone = 3        # or: replicas = 9, in all
//   weights_bytes = 140000000000
//   weight = 2                   # share when instances are scarce
//   cold_limit = 2               # requests at once after a start
//   warm_limit = 32
//   ramp_factor = 2.0
//   ramp_step = "5s"
//   checks_fence = true          # its engines refuse old fences
//   depends_on = ["booking"]
//   zones = ["mu-1"]             # all of this text's zones if left out
//   [[services]]
//   name = "booking"
//   kind = "plain"
//   instances = ["booking-*"]    # ids; "<name>-*" if left out
//   warm_limit = 64
//   non_repeatable = [{ method = "POST", path = "/bookings/**" }]
//   [[organisations]]
//   id = "port-louis"
//   weight = 4
//   api_keys = ["plain key"]     # stored as SHA-256; or api_key_sha256
//   services = ["notes"]         # all of this text's services if left out
//   [[instances]]                # overrides of single instances
//   id = "engine-7"
//   checks_fence = false
#ifndef SAMPHIREHILL_CONFIG_OPERATORSTEXT_H
#define SAMPHIREHILL_CONFIG_OPERATORSTEXT_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace samphirehill {

enum class ServiceKind { Model, Plain };

// Requests of Method on a path that matches Pattern must not be repeated.
// Method "*" is any. In Pattern "*" is any one segment and a final "**" any
// rest, also an empty one.
struct PathRule {
  std::string Method;
  std::string Pattern;

  bool operator==(const PathRule &) const = default;
};

// How an upstream's limit grows after a start.
struct Ramp {
  double Factor = 2.0;
  Duration Step = seconds(5);

  bool operator==(const Ramp &) const = default;
};

struct Service {
  ServiceId Name;
  ServiceKind Kind = ServiceKind::Model;
  std::vector<ServiceId> DependsOn;
  std::vector<ZoneId> Zones; // empty: all zones of the text
  int Weight = 1;            // share when instances are scarce
  int ColdLimit = 1;         // requests at once on a cold upstream
  int WarmLimit = 16;        // requests at once on a warm upstream
  Ramp LimitRamp;
  bool ChecksFence = false;

  // Of kind Model.
  std::string Model;
  std::string Version;
  std::vector<std::string> Adapters;
  int ReplicaSize = 1;  // instances
  int Accelerators = 1; // that each instance has at least
  // Exactly one of the two is above 0.
  int ReplicasPerZone = 0;
  int Replicas = 0; // in all zones together
  std::uint64_t WeightsBytes = 0;

  // Of kind Plain.
  std::vector<std::string> Instances; // ids; a final "*" matches any rest
  std::vector<PathRule> NonRepeatable;

  bool operator==(const Service &) const = default;
};

struct Zone {
  ZoneId Name;
  std::string Region;

  bool operator==(const Zone &) const = default;
};

struct Organisation {
  OrganisationId Name;
  int Weight = 1;                      // fair share against the others
  std::vector<std::string> KeyDigests; // SHA-256, hexadecimal
  std::vector<ServiceId> Services;     // empty: all services of the text

  bool operator==(const Organisation &) const = default;
};

struct TextLimits {
  Duration MaxDeadline = seconds(120);
  Duration RecordTtl = seconds(86'400);
  int MaxConcurrentLoads = 2; // per zone

  bool operator==(const TextLimits &) const = default;
};

// Overrides for one instance.
struct InstanceRule {
  InstanceId Name;
  bool ChecksFence = false;

  bool operator==(const InstanceRule &) const = default;
};

// The content of a text, for building one without TOML.
struct TextFields {
  std::string Operator;
  TextLimits Limits;
  std::vector<Zone> Zones;
  std::vector<Service> Services;
  std::vector<Organisation> Organisations;
  std::vector<InstanceRule> Instances;

  bool operator==(const TextFields &) const = default;
};

// A valid text. Immutable; copy it or share it freely between threads.
class OperatorsText {
public:
  // Parses TOML. File names the source in messages. On failure the message of
  // the error (InvalidText) has one line for every problem:
  // "<file>:<line>: <key> = <value>: <what is allowed>".
  static Result<OperatorsText> parse(std::string_view Toml,
                                     std::string_view File);
  // Reads what toJson wrote, with the same checks as parse.
  static Result<OperatorsText> fromJson(const nlohmann::json &Value);
  // Checks Fields as parse does.
  static Result<OperatorsText> create(const TextFields &Fields);

  // Returns the text for storing in an object. It holds no plain API key.
  nlohmann::json toJson() const;

  const std::string &operatorName() const { return Fields.Operator; }
  const TextLimits &limits() const { return Fields.Limits; }
  const std::vector<Zone> &zones() const { return Fields.Zones; }
  const std::vector<Service> &services() const { return Fields.Services; }
  const std::vector<Organisation> &organisations() const {
    return Fields.Organisations;
  }
  const std::vector<InstanceRule> &instances() const {
    return Fields.Instances;
  }

  // Each returns nullptr when the text has no such thing. The pointer lives as
  // long as this text.
  const Service *findService(const ServiceId &Name) const;
  const Organisation *findOrganisation(const OrganisationId &Name) const;
  const Organisation *findOrganisationByKey(std::string_view ApiKey) const;
  // Returns the plain service that Instance belongs to; among several matching
  // patterns the longest wins.
  const Service *serviceOfInstance(const InstanceId &Instance) const;

  // Tells whether Instance's engine, serving Of, refuses orders with an old
  // fence: the instance's override, or else the service's value.
  bool checksFence(const Service &Of, const InstanceId &Instance) const;
  // Tells whether Of runs in Where.
  bool runsIn(const Service &Of, const ZoneId &Where) const;
  // Tells whether Who may call Of.
  bool mayCall(const Organisation &Who, const ServiceId &Of) const;

  bool operator==(const OperatorsText &) const = default;

private:
  explicit OperatorsText(TextFields Fields) : Fields(std::move(Fields)) {}

  TextFields Fields;
};

// Returns every clash between the texts of two operators, one sentence each:
// the same operator, service, organisation id or API key, and zones of one name
// with different definitions. Empty when both can be in force together.
std::vector<std::string> checkTogether(const OperatorsText &Left,
                                       const OperatorsText &Right);

// Returns the changes from Old to New as readable lines, in the order of their
// keys: "~ services.notes.warm_limit: 16 -> 32", "+ zones.mu-3: {...}".
std::vector<std::string> diff(const OperatorsText &Old,
                              const OperatorsText &New);

// Tells whether a request of Method on Target (path with optional query) must
// not be repeated. Target is normalised first (percent-decoding, "//", "." and
// ".."), so that spellings which a service treats alike match alike.
bool isNonRepeatable(const Service &Of, std::string_view Method,
                     std::string_view Target);

} // namespace samphirehill

#endif // SAMPHIREHILL_CONFIG_OPERATORSTEXT_H
