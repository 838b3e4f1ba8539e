// Commands on operators' texts: validate, diff and apply.
#ifndef SAMPHIREHILL_CTL_APPLY_H
#define SAMPHIREHILL_CTL_APPLY_H

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Ctl/VentureClient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

// Kinds of the system's objects.
inline constexpr const char *SystemKinds[] = {"config", "zones", "placement",
                                              "records"};

// An object that has to exist before a text can be in force.
struct NewObject {
  ObjectKey Key;
  std::string Value; // JSON text

  bool operator==(const NewObject &) const = default;
};

// Returns the fixed objects that Text needs and Existing lacks,
// config/<operator> excepted: zones/state, one placement per zone and the
// record shards.
std::vector<NewObject> objectsToCreate(const OperatorsText &Text,
                                       const std::set<ObjectKey> &Existing);

// An operator's text as stored.
struct StoredText {
  OperatorsText Text;
  std::uint64_t Version = 0;
  std::string WriteId;
};

// Returns every clash of Text with the stored texts of other operators.
std::vector<std::string> clashes(const OperatorsText &Text,
                                 const std::vector<StoredText> &Stored);

// Reads a text from a file.
Outcome<OperatorsText> loadText(const std::string &Path);

// Checks each file and all of them together. Fails with InvalidText and one
// line for each problem.
Report validateTexts(const std::vector<std::string> &Paths, const Say &Tell);

// Tells what storing Text would change.
Report diffText(VentureClient &Venture, const OperatorsText &Text,
                const Say &Tell);

struct ApplyOptions {
  Duration Wait = seconds(6); // for the text to be in force at the entries
  // The version the text was made against; nothing: the one stored now.
  std::optional<std::uint64_t> ExpectedVersion;
};

// Stores Text and tells which entries have it in force. Errors: InvalidText on
// a clash with another operator's text, Closing while the close mark is set,
// Conflict if another version was stored meanwhile, Timeout if it is stored but
// some entry doesn't have it in force in time, and those of the platform.
Report applyText(VentureClient &Venture, const OperatorsText &Text,
                 const ApplyOptions &Options, const Say &Tell);

} // namespace samphirehill

#endif // SAMPHIREHILL_CTL_APPLY_H
