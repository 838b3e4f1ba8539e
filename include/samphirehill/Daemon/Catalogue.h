// All operators' texts in force, joined for the request path. Values only.
#ifndef SAMPHIREHILL_DAEMON_CATALOGUE_H
#define SAMPHIREHILL_DAEMON_CATALOGUE_H

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Core/Ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// A caller as its API key shows it. Who and all services found through it live
// as long as Text is held.
struct Caller {
  std::shared_ptr<const OperatorsText> Text;
  const Organisation *Who = nullptr;
};

class Catalogue {
public:
  // Puts Text in force as Version of its operator's text. Returns false, and
  // changes nothing, unless Version is above the one in force.
  bool put(OperatorsText Text, std::uint64_t Version);

  // Version in force of Operator's text; 0 if none.
  std::uint64_t version(const std::string &Operator) const;
  std::vector<std::shared_ptr<const OperatorsText>> texts() const;

  // Who is null if no organisation has the key.
  Caller findCaller(std::string_view ApiKey) const;
  // The text that lists service Name, or null.
  std::shared_ptr<const OperatorsText>
  textOfService(const ServiceId &Name) const;

private:
  struct Entry {
    std::uint64_t Version = 0;
    std::shared_ptr<const OperatorsText> Text;
  };
  std::map<std::string, Entry> ByOperator;
  // By digest of the API key, so that a look-up doesn't scan organisations.
  std::unordered_map<std::string, Caller> ByKey;
  void index();
};

// The service that Who may call for Model, "<model>" or "<model>:<adapter>";
// null if there is none.
const Service *findModel(const Caller &Who, std::string_view Model);

// The names under which Who may call models.
std::vector<std::string> modelNames(const Caller &Who);

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_CATALOGUE_H
