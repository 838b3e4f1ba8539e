#include "StateMessages.h"

namespace samphirehill {
namespace {

void fill(peer::Version &Message, const SharedVersion &Value) {
  Message.set_counter(Value.Counter);
  Message.set_origin(Value.Origin);
}

} // namespace

SharedVersion versionOf(const peer::Version &Message) {
  return SharedVersion{Message.counter(), Message.origin()};
}

std::vector<VersionNote> notesOf(const StateVersionList &Messages) {
  std::vector<VersionNote> Notes;
  for (const peer::StateVersion &Each : Messages)
    Notes.push_back(
        VersionNote{{Each.kind(), Each.name()}, versionOf(Each.version())});
  return Notes;
}

void addNotes(StateVersionList &Messages,
              const std::vector<VersionNote> &Notes) {
  for (const VersionNote &Each : Notes) {
    peer::StateVersion &Added = *Messages.Add();
    Added.set_kind(Each.Key.Kind);
    Added.set_name(Each.Key.Name);
    fill(*Added.mutable_version(), Each.Version);
  }
}

peer::Envelope pullEnvelope(const SharedKey &Key, const SharedVersion &Have) {
  peer::Envelope Envelope;
  peer::StatePull &Pull = *Envelope.mutable_state_pull();
  Pull.set_kind(Key.Kind);
  Pull.set_name(Key.Name);
  fill(*Pull.mutable_have(), Have);
  return Envelope;
}

peer::Envelope pushEnvelope(const SharedItem &Item) {
  peer::Envelope Envelope;
  peer::StatePush &Push = *Envelope.mutable_state_push();
  Push.set_kind(Item.Key.Kind);
  Push.set_name(Item.Key.Name);
  fill(*Push.mutable_version(), Item.Version);
  Push.set_value(Item.Value);
  return Envelope;
}

peer::Envelope versionsEnvelope(const std::vector<VersionNote> &Notes,
                                bool Ready) {
  peer::Envelope Envelope;
  peer::StateVersions &Versions = *Envelope.mutable_state_versions();
  Versions.set_ready(Ready);
  addNotes(*Versions.mutable_versions(), Notes);
  return Envelope;
}

} // namespace samphirehill
