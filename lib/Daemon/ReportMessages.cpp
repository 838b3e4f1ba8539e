#include "ReportMessages.h"

namespace samphirehill {

void fill(peer::UpstreamReport &Message, const UpstreamStatus &Status,
          Duration Age) {
  Message.set_upstream(Status.Info.Id.str());
  Message.set_boot_id(Status.Info.Boot.str());
  Message.set_service(Status.Info.Service.str());
  Message.set_version(Status.Info.Version);
  for (const std::string &Adapter : Status.Info.Adapters)
    Message.add_adapters(Adapter);
  Message.set_zone(Status.Info.Zone.str());
  Message.set_domain(Status.Domain.str());
  Message.set_address(Status.Address);
  Message.set_running(static_cast<std::uint32_t>(Status.Load.Running));
  Message.set_queued(static_cast<std::uint32_t>(Status.Load.Queued));
  Message.set_tokens_per_second(Status.Load.TokensPerSecond);
  Message.set_slots(static_cast<std::uint32_t>(Status.Info.Slots));
  Message.set_serving(Status.Serving);
  Message.set_cold(Status.Cold);
  Message.set_leaving(Status.Leaving);
  Message.set_age_us(Age.count());
}

UpstreamStatus statusOf(const peer::UpstreamReport &Message) {
  UpstreamStatus Status;
  Status.Info.Id = UpstreamId(Message.upstream());
  Status.Info.Boot = BootId(Message.boot_id());
  Status.Info.Service = ServiceId(Message.service());
  Status.Info.Version = Message.version();
  Status.Info.Adapters.assign(Message.adapters().begin(),
                              Message.adapters().end());
  Status.Info.Zone = ZoneId(Message.zone());
  Status.Info.Slots = Message.slots();
  Status.Domain = DomainId(Message.domain());
  Status.Address = Message.address();
  Status.Load.Running = Message.running();
  Status.Load.Queued = Message.queued();
  Status.Load.TokensPerSecond = Message.tokens_per_second();
  Status.Serving = Message.serving();
  Status.Cold = Message.cold();
  Status.Leaving = Message.leaving();
  return Status;
}

} // namespace samphirehill
