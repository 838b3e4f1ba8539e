// Reads socket addresses from settings.
#ifndef SAMPHIREHILL_LIB_CONFIG_ADDRESSREADER_H
#define SAMPHIREHILL_LIB_CONFIG_ADDRESSREADER_H

#include "TomlReader.h"
#include "samphirehill/Config/Settings.h"

namespace samphirehill {

// Returns the address at Key; adds a problem if it is missing or no address.
SocketAddress addressAt(TableReader &Reader, std::string_view Key);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_CONFIG_ADDRESSREADER_H
