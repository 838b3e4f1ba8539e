// Maps the messages of the capacity credits to and from protobuf.
#ifndef SAMPHIREHILL_LIB_DAEMON_CREDITMESSAGES_H
#define SAMPHIREHILL_LIB_DAEMON_CREDITMESSAGES_H

#include "samphirehill/Limits/CreditTypes.h"

namespace samphirehill {

namespace peer {
class Envelope;
class CreditReport;
class CreditGrant;
} // namespace peer

peer::Envelope toEnvelope(const CreditReport &Report);
peer::Envelope toEnvelope(const CreditGrant &Grant);

// From is the sender of the envelope, To this entry.
CreditReport fromMessage(const peer::CreditReport &Message, const EntryId &From,
                         Incarnation FromIncarnation, const EntryId &To);
CreditGrant fromMessage(const peer::CreditGrant &Message, const EntryId &From,
                        const EntryId &To);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_DAEMON_CREDITMESSAGES_H
