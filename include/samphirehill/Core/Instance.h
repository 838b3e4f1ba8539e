// A machine as the platform's instance list shows it, late by the list's lag.
#ifndef SAMPHIREHILL_CORE_INSTANCE_H
#define SAMPHIREHILL_CORE_INSTANCE_H

#include "samphirehill/Core/Ids.h"

#include <string>

namespace samphirehill {

enum class InstanceRole { Entry, Engine, Service };

// A leaving instance still runs but is to get no new work.
enum class InstanceState { Live, Leaving };

// A row of the platform's instance list.
struct Instance {
  InstanceId Name;
  ZoneId Zone;
  DomainId FabricDomain; // empty: none
  InstanceRole Role = InstanceRole::Engine;
  std::string Address; // "<IP>:<port>"
  int Accelerators = 0;
  InstanceState State = InstanceState::Live;

  bool operator==(const Instance &) const = default;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_INSTANCE_H
