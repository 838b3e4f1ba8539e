// Maps upstream reports to and from protobuf.
#ifndef SAMPHIREHILL_LIB_DAEMON_REPORTMESSAGES_H
#define SAMPHIREHILL_LIB_DAEMON_REPORTMESSAGES_H

#include "peer.pb.h"
#include "samphirehill/Daemon/UpstreamDirectory.h"

namespace samphirehill {

void fill(peer::UpstreamReport &Message, const UpstreamStatus &Status,
          Duration Age);
UpstreamStatus statusOf(const peer::UpstreamReport &Message);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_DAEMON_REPORTMESSAGES_H
