// A small operator's text for the tests of Daemon.
#ifndef SAMPHIREHILL_TEST_DAEMON_TEXTS_H
#define SAMPHIREHILL_TEST_DAEMON_TEXTS_H

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Config/Secret.h"

#include <stdexcept>
#include <string>

namespace samphirehill::test {

// Organisation "all" (key "key-all") may call both models and the plain service
// "booking"; "few" (key "key-few") only the model "notes-70b".
inline TextFields sampleFields() {
  TextFields Fields;
  Fields.Operator = "lumen";
  Fields.Zones = {{ZoneId("mu-1"), "mauritius"}};
  Service Notes;
  Notes.Name = ServiceId("notes");
  Notes.Model = "notes-70b";
  Notes.Version = "3";
  Notes.Adapters = {"french"};
  Notes.ReplicasPerZone = 1;
  Service Faults = Notes;
  Faults.Name = ServiceId("faults");
  Faults.Model = "faults-7b";
  Faults.Adapters = {};
  Service Booking;
  Booking.Name = ServiceId("booking");
  Booking.Kind = ServiceKind::Plain;
  Booking.Instances = {"booking-*"};
  Booking.NonRepeatable = {{"POST", "/bookings/**"}};
  Fields.Services = {Notes, Faults, Booking};
  Fields.Organisations = {
      {OrganisationId("all"), 1, {sha256Hex("key-all")}, {}},
      {OrganisationId("few"), 1, {sha256Hex("key-few")}, {ServiceId("notes")}}};
  return Fields;
}

inline OperatorsText textOf(const TextFields &Fields) {
  Outcome<OperatorsText> Text =
      capture([&] { return OperatorsText::create(Fields); });
  if (const Error *Problem = errorOf(Text))
    throw std::runtime_error(Problem->Message);
  return std::get<0>(Text);
}

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_DAEMON_TEXTS_H
