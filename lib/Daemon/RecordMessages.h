// Maps calls under idempotency keys and their answers to and from protobuf.
#ifndef SAMPHIREHILL_LIB_DAEMON_RECORDMESSAGES_H
#define SAMPHIREHILL_LIB_DAEMON_RECORDMESSAGES_H

#include "peer.pb.h"
#include "samphirehill/Daemon/RecordController.h"

namespace samphirehill {

// The message carries the time that remains until the call's deadline, because
// clocks of two processes can't be compared.
peer::Envelope toEnvelope(const KeyedCall &Call, TimePoint Now);
KeyedCall fromMessage(const peer::ForwardedCall &Message, TimePoint Now);

peer::Envelope toEnvelope(const KeyedAnswer &Answer);
// The answer to a repeated ForwardedCall whose first message has arrived.
peer::Envelope inProgressEnvelope();
bool isInProgress(const peer::ForwardedAnswer &Message);
KeyedAnswer fromMessage(const peer::ForwardedAnswer &Message);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_DAEMON_RECORDMESSAGES_H
