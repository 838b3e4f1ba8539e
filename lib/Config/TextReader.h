// Reads the fields of an operators' text from a TOML table and writes them as
// JSON with the same keys.
#ifndef SAMPHIREHILL_LIB_CONFIG_TEXTREADER_H
#define SAMPHIREHILL_LIB_CONFIG_TEXTREADER_H

#include "samphirehill/Config/OperatorsText.h"

#include "TomlReader.h"

#include <nlohmann/json.hpp>

namespace samphirehill {

// Returns the fields of Root. Adds every problem to Found; the fields are only
// usable if there is none.
TextFields readText(const toml::table &Root, Problems &Found);

nlohmann::json writeText(const TextFields &Fields);

// Returns Value, an object, as a TOML table. Null members are left out.
toml::table toTable(const nlohmann::json &Value);

// Tells whether the id Instance matches Pattern, which may end in "*".
bool matchesInstance(std::string_view Pattern, std::string_view Instance);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_CONFIG_TEXTREADER_H
