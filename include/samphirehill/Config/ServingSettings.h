// Settings of one entry that serves through a platform's adapter: who it is,
// where it listens and the operators' bounds.
//
//   entry = "edge-1"
//   zone = "north"
//   first_start = false           # the whole system starts for the first time
//   processor_share = 0.25        # cores that the entry may use; the entries
//                                 # with most relay for their zone
//   [listen]                      # "<IP>:<port>"
//   callers = "10.1.0.40:8227"
//   readiness = "10.1.0.40:8220"
//   peers = "10.1.0.40:7340"      # UDP
//   metrics = "10.1.0.40:7341"
//   [platform]
//   address = "10.200.1.7:8223"
//   [retries]                     # of all entries together, for one service
//   ratio = 0.2
//   slack = 134
//   window = "10s"
//   [times]
//   grace = "8s"                  # from SIGTERM to the end of the process
//   drain = "2s"                  # until a leaving instance gets nothing new
//   [shares]                      # of places for which more requests wait
//   use = "priorities"            # than there are places: for services whose
//                                 # routes differ in priority, "always" or
//                                 # "never"
//   rank_floor = 0.05             # of the places, for each priority
//   organisation_floor = 0        # of the places in proportion to requests
//   [memory]
//   limit_mb = 260                # of this process on its machine; by default
//                                 # the variable MEMORY_LIMIT_MB, or 160
//   held_share = 0.6              # of the limit, for bytes held for requests
//   [groups]
//   shares = "automatic"          # of the engines, by model: follow the
//                                 # demand where groups are large, "demand"
//                                 # always, or as "stated" in the configuration
//   [pace]
//   enabled = false               # limit upstreams that start or recover by
//                                 # how they answer
#ifndef SAMPHIREHILL_CONFIG_SERVINGSETTINGS_H
#define SAMPHIREHILL_CONFIG_SERVINGSETTINGS_H

#include "samphirehill/Config/Settings.h"

#include <cstddef>

namespace samphirehill {

// Whether the models' shares of the engines follow the demand, or are those
// that operators state. Automatic: see followsDemand in Groups/DemandPlan.h.
enum class ShareMode { Automatic, Demand, Stated };

// For which services organisations and priorities get fair shares of places
// that are short.
enum class ShareUse { DifferingPriorities, Always, Never };

struct ServingSettings {
  EntryId Entry;
  ZoneId Zone;
  bool FirstStart = false;
  double ProcessorShare = 0; // cores
  SocketAddress Callers;
  SocketAddress Readiness;
  SocketAddress Peers;
  SocketAddress Metrics;
  SocketAddress Platform;
  double RetryRatio = 0.2;
  double RetrySlack = 0;
  Duration RetryWindow = seconds(10);
  Duration Grace = seconds(8);
  Duration Drain = seconds(2);
  double MemoryLimitMb = 160; // a megabyte has 1,000,000 bytes
  double HeldShare = 0.6;     // of MemoryLimitMb
  ShareMode Shares = ShareMode::Automatic;
  // See ShareSettings in Limits/FairShare.h for the floors.
  ShareUse FairShares = ShareUse::DifferingPriorities;
  double RankFloor = 0.05;
  double OrganisationFloor = 0;
  bool PaceEnabled = false; // see Limits/UpstreamPace

  bool operator==(const ServingSettings &) const = default;
};

// Returns how many bytes of bodies, answers and output the process holds at
// most.
std::size_t heldBytesLimit(const ServingSettings &Settings);

// Parses settings, like parseSettings. MemoryLimitMb is the text of the
// variable MEMORY_LIMIT_MB; empty if it isn't set.
Result<ServingSettings>
parseServingSettings(std::string_view Toml, std::string_view File,
                     std::string_view MemoryLimitMb = {});

} // namespace samphirehill

#endif // SAMPHIREHILL_CONFIG_SERVINGSETTINGS_H
