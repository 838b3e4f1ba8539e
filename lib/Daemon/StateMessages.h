// Maps the messages of the shared state to and from protobuf.
#ifndef SAMPHIREHILL_LIB_DAEMON_STATEMESSAGES_H
#define SAMPHIREHILL_LIB_DAEMON_STATEMESSAGES_H

#include "peer.pb.h"
#include "samphirehill/Membership/SharedState.h"

#include <vector>

namespace samphirehill {

using StateVersionList = google::protobuf::RepeatedPtrField<peer::StateVersion>;

SharedVersion versionOf(const peer::Version &Message);
std::vector<VersionNote> notesOf(const StateVersionList &Messages);
void addNotes(StateVersionList &Messages,
              const std::vector<VersionNote> &Notes);

peer::Envelope pullEnvelope(const SharedKey &Key, const SharedVersion &Have);
peer::Envelope pushEnvelope(const SharedItem &Item);
peer::Envelope versionsEnvelope(const std::vector<VersionNote> &Notes,
                                bool Ready);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_DAEMON_STATEMESSAGES_H
