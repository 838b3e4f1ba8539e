#include "TextReader.h"

#include "samphirehill/Config/Secret.h"

#include <algorithm>
#include <functional>
#include <map>

namespace samphirehill {
namespace {

// The bounds are far above the sizes in docs/design.md section 1; they catch
// misplaced digits.
constexpr std::int64_t HighestReplicaSize = 64; // instances
constexpr std::int64_t HighestReplicas = 10'000;
constexpr std::int64_t HighestLimit = 100'000; // requests at once
constexpr std::int64_t HighestWeight = 1000;
constexpr std::int64_t HighestAccelerators = 64; // per instance
constexpr std::int64_t HighestLoads = 1000;
constexpr std::int64_t HighestWeightsBytes = 100'000'000'000'000;

constexpr const char *AllowedPattern =
    "must be an instance id, with \"*\" at most at its end";

bool isPattern(std::string_view Text) {
  if (Text.size() > 1 && Text.back() == '*')
    Text.remove_suffix(1);
  return isName(Text);
}

bool isPathPattern(std::string_view Text) {
  return Text.size() <= 1024 && Text.starts_with('/') &&
         Text.find_first_of(" ?#") == std::string_view::npos;
}

bool isMethod(std::string_view Text) {
  return Text == "*" ||
         (!Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
           return C >= 'A' && C <= 'Z';
         }));
}

bool isDigest(std::string_view Text) {
  return Text.size() == 64 &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

template <typename T>
std::vector<T> readIds(TableReader &Reader, std::string_view Key) {
  std::vector<T> Ids;
  for (std::string &Value : Reader.strings(Key, isName, "must be a name"))
    Ids.emplace_back(std::move(Value));
  return Ids;
}

int readInt(TableReader &Reader, std::string_view Key, std::int64_t Lowest,
            std::int64_t Highest, std::optional<std::int64_t> Default) {
  return static_cast<int>(Reader.integer(Key, Lowest, Highest, Default));
}

void readModel(TableReader &Reader, Service &Into) {
  Into.Model = Reader.name("model");
  Into.Version = Reader.name("version");
  Into.Adapters = Reader.strings("adapters", isName, "must be a name");
  Into.ReplicaSize =
      readInt(Reader, "replica_size", 1, HighestReplicaSize, std::nullopt);
  Into.Accelerators = readInt(Reader, "accelerators", 1, HighestAccelerators,
                              Into.Accelerators);
  Into.ReplicasPerZone =
      readInt(Reader, "replicas_per_zone", 1, HighestReplicas, 0);
  Into.Replicas = readInt(Reader, "replicas", 1, HighestReplicas, 0);
  if (Reader.has("replicas") == Reader.has("replicas_per_zone"))
    Reader.refuse("replicas",
                  "exactly one of replicas and replicas_per_zone must be set");
  Into.WeightsBytes = static_cast<std::uint64_t>(
      Reader.integer("weights_bytes", 0, HighestWeightsBytes, 0));
}

void readPlain(TableReader &Reader, Service &Into) {
  Into.Instances = Reader.strings("instances", isPattern, AllowedPattern);
  if (!Reader.has("instances"))
    Into.Instances.push_back(Into.Name.str() + "-*");
  else if (Into.Instances.empty())
    Reader.refuse("instances", "must name at least one instance");
  for (TableReader &Rule : Reader.tables("non_repeatable")) {
    PathRule Value;
    Value.Method = Rule.string("method", isMethod,
                               "must be a method in capital letters or \"*\"");
    Value.Pattern = Rule.string("path", isPathPattern,
                                "must be a path pattern that begins with "
                                "\"/\" and has no space, \"?\" or \"#\"");
    Rule.refuseUnknownKeys();
    Into.NonRepeatable.push_back(std::move(Value));
  }
}

Service readService(TableReader &Reader) {
  Service Value;
  Value.Name = ServiceId(Reader.name("name"));
  std::string Kind = Reader.string(
      "kind", [](std::string_view K) { return K == "model" || K == "plain"; },
      "must be \"model\" or \"plain\"");
  Value.Kind = Kind == "plain" ? ServiceKind::Plain : ServiceKind::Model;
  Value.DependsOn = readIds<ServiceId>(Reader, "depends_on");
  Value.Zones = readIds<ZoneId>(Reader, "zones");
  Value.Weight = readInt(Reader, "weight", 1, HighestWeight, Value.Weight);
  Value.WarmLimit =
      readInt(Reader, "warm_limit", 1, HighestLimit, Value.WarmLimit);
  Value.ColdLimit =
      readInt(Reader, "cold_limit", 1, HighestLimit, Value.ColdLimit);
  if (Value.ColdLimit > Value.WarmLimit)
    Reader.refuse("cold_limit", "must not be above warm_limit, which is " +
                                    std::to_string(Value.WarmLimit));
  Value.LimitRamp.Factor =
      Reader.number("ramp_factor", 1.01, 100, Value.LimitRamp.Factor);
  Value.LimitRamp.Step = Reader.duration("ramp_step", milliseconds(100),
                                         seconds(3600), Value.LimitRamp.Step);
  Value.ChecksFence = Reader.boolean("checks_fence", Value.ChecksFence);
  // Without a kind it is unknown which keys belong here.
  if (Kind.empty())
    return Value;
  if (Value.Kind == ServiceKind::Plain)
    readPlain(Reader, Value);
  else
    readModel(Reader, Value);
  Reader.refuseUnknownKeys();
  return Value;
}

Organisation readOrganisation(TableReader &Reader) {
  constexpr std::size_t ShortestKey = 8; // bytes
  Organisation Value;
  Value.Name = OrganisationId(Reader.name("id"));
  Value.Weight = readInt(Reader, "weight", 1, HighestWeight, Value.Weight);
  Value.Services = readIds<ServiceId>(Reader, "services");
  Value.KeyDigests = Reader.strings("api_key_sha256", isDigest,
                                    "must be 64 lower-case hexadecimal digits");
  for (const std::string &Key : Reader.strings(
           "api_keys",
           [](std::string_view K) { return K.size() >= ShortestKey; },
           "must be a string of at least 8 bytes", true))
    Value.KeyDigests.push_back(sha256Hex(Key));
  if (!Reader.has("api_keys") && !Reader.has("api_key_sha256"))
    Reader.refuse("id",
                  "has no API key; an organisation must have at least one key "
                  "in api_keys or api_key_sha256");
  Reader.refuseUnknownKeys();
  return Value;
}

TextLimits readLimits(TableReader Reader) {
  TextLimits Value;
  Value.MaxDeadline = Reader.duration("max_deadline", milliseconds(100),
                                      seconds(3600), Value.MaxDeadline);
  Value.RecordTtl = Reader.duration("record_ttl", seconds(60),
                                    seconds(2'592'000), Value.RecordTtl);
  if (Value.RecordTtl < Value.MaxDeadline)
    Reader.refuse("record_ttl", "must not be below max_deadline, which is " +
                                    formatDuration(Value.MaxDeadline));
  Value.MaxConcurrentLoads = readInt(Reader, "max_concurrent_loads", 1,
                                     HighestLoads, Value.MaxConcurrentLoads);
  Reader.refuseUnknownKeys();
  return Value;
}

// Checks between the parts of one text. Reader I of a list belongs to element
// I of the fields.
struct CrossChecks {
  const TextFields &Fields;
  std::vector<TableReader> &Zones;
  std::vector<TableReader> &Services;
  std::vector<TableReader> &Organisations;
  std::vector<TableReader> &Instances;

  void run();

private:
  template <typename T>
  void checkUnique(const std::vector<T> &Values,
                   std::vector<TableReader> &Readers, std::string_view Key);
  template <typename T, typename U>
  void checkKnown(TableReader &Reader, std::string_view Key,
                  const std::vector<T> &Names, const std::vector<U> &Defined);
  void checkPatterns();
  void checkKeys();
  void checkCycles();
};

template <typename T>
void CrossChecks::checkUnique(const std::vector<T> &Values,
                              std::vector<TableReader> &Readers,
                              std::string_view Key) {
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Values.size(); ++I) {
    const std::string &Name = Values[I].Name.str();
    if (!Name.empty() && !Seen.insert(Name).second)
      Readers[I].refuse(Key, "is used twice; it must be unique");
  }
}

template <typename T, typename U>
void CrossChecks::checkKnown(TableReader &Reader, std::string_view Key,
                             const std::vector<T> &Names,
                             const std::vector<U> &Defined) {
  std::string Known;
  for (const U &Candidate : Defined)
    Known += (Known.empty() ? "" : ", ") + Candidate.Name.str();
  for (std::size_t I = 0; I < Names.size(); ++I) {
    bool IsKnown =
        std::any_of(Defined.begin(), Defined.end(), [&](const U &Candidate) {
          return Candidate.Name == Names[I];
        });
    // An empty name has been reported by its reader.
    if (!IsKnown && !Names[I].empty())
      Reader.refuseElement(Key, I, "is not defined; defined are " + Known);
  }
}

void CrossChecks::checkPatterns() {
  std::map<std::string, ServiceId> Owner;
  for (std::size_t I = 0; I < Fields.Services.size(); ++I) {
    const Service &Value = Fields.Services[I];
    for (std::size_t J = 0; J < Value.Instances.size(); ++J) {
      auto [Place, IsNew] = Owner.emplace(Value.Instances[J], Value.Name);
      if (!IsNew)
        Services[I].refuseElement("instances", J,
                                  "is already used by service " +
                                      Place->second.str());
    }
  }
}

void CrossChecks::checkKeys() {
  std::map<std::string, OrganisationId> Owner;
  for (std::size_t I = 0; I < Fields.Organisations.size(); ++I) {
    const Organisation &Value = Fields.Organisations[I];
    for (const std::string &Digest : Value.KeyDigests) {
      auto [Place, IsNew] = Owner.emplace(Digest, Value.Name);
      if (!IsNew)
        Organisations[I].refuse("id", "has an API key that organisation " +
                                          Place->second.str() +
                                          " has too; keys must be unique");
    }
  }
}

// Walks depends_on; a service met again on the path to itself closes a cycle.
void CrossChecks::checkCycles() {
  enum class Mark { New, Open, Done };
  std::map<ServiceId, std::size_t> Index;
  for (std::size_t I = 0; I < Fields.Services.size(); ++I)
    Index.emplace(Fields.Services[I].Name, I);
  std::vector<Mark> Marks(Fields.Services.size(), Mark::New);
  std::vector<ServiceId> Path;
  std::function<void(std::size_t)> Visit = [&](std::size_t I) {
    Marks[I] = Mark::Open;
    Path.push_back(Fields.Services[I].Name);
    const std::vector<ServiceId> &Needed = Fields.Services[I].DependsOn;
    for (std::size_t J = 0; J < Needed.size(); ++J) {
      auto Next = Index.find(Needed[J]);
      if (Next == Index.end() || Marks[Next->second] == Mark::Done)
        continue;
      if (Marks[Next->second] == Mark::New) {
        Visit(Next->second);
        continue;
      }
      std::string Cycle;
      for (auto At = std::find(Path.begin(), Path.end(), Needed[J]);
           At != Path.end(); ++At)
        Cycle += At->str() + " -> ";
      Services[I].refuseElement("depends_on", J,
                                "closes the cycle " + Cycle + Needed[J].str() +
                                    "; services must not depend on "
                                    "themselves");
    }
    Path.pop_back();
    Marks[I] = Mark::Done;
  };
  for (std::size_t I = 0; I < Marks.size(); ++I)
    if (Marks[I] == Mark::New)
      Visit(I);
}

void CrossChecks::run() {
  checkUnique(Fields.Zones, Zones, "name");
  checkUnique(Fields.Services, Services, "name");
  checkUnique(Fields.Organisations, Organisations, "id");
  checkUnique(Fields.Instances, Instances, "id");
  for (std::size_t I = 0; I < Fields.Services.size(); ++I) {
    checkKnown(Services[I], "depends_on", Fields.Services[I].DependsOn,
               Fields.Services);
    checkKnown(Services[I], "zones", Fields.Services[I].Zones, Fields.Zones);
  }
  for (std::size_t I = 0; I < Fields.Organisations.size(); ++I)
    checkKnown(Organisations[I], "services", Fields.Organisations[I].Services,
               Fields.Services);
  checkPatterns();
  checkKeys();
  checkCycles();
}

} // namespace

bool matchesInstance(std::string_view Pattern, std::string_view Instance) {
  if (!Pattern.ends_with('*'))
    return Pattern == Instance;
  Pattern.remove_suffix(1);
  return Instance.starts_with(Pattern);
}

TextFields readText(const toml::table &Table, Problems &Found) {
  TableReader Root(Table, "", Found);
  TextFields Fields;
  Fields.Operator = Root.name("operator");
  Fields.Limits = readLimits(Root.table("limits"));
  std::vector<TableReader> Zones = Root.tables("zones");
  for (TableReader &Reader : Zones) {
    Fields.Zones.push_back(
        {ZoneId(Reader.name("name")), Reader.name("region")});
    Reader.refuseUnknownKeys();
  }
  std::vector<TableReader> Services = Root.tables("services");
  for (TableReader &Reader : Services)
    Fields.Services.push_back(readService(Reader));
  std::vector<TableReader> Organisations = Root.tables("organisations");
  for (TableReader &Reader : Organisations)
    Fields.Organisations.push_back(readOrganisation(Reader));
  std::vector<TableReader> Instances = Root.tables("instances");
  for (TableReader &Reader : Instances) {
    Fields.Instances.push_back(
        {InstanceId(Reader.name("id")), Reader.boolean("checks_fence", false)});
    Reader.refuseUnknownKeys();
  }
  if (Fields.Zones.empty())
    Root.refuse("zones", "must define at least one zone");
  CrossChecks{Fields, Zones, Services, Organisations, Instances}.run();
  Root.refuseUnknownKeys();
  return Fields;
}

} // namespace samphirehill
