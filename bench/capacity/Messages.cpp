// Sizes and costs of the messages between entries that carry reports.
#include "Measure.h"
#include "Samples.h"

#include "ReportMessages.h"

namespace samphirehill::capacity {
namespace {

peer::Envelope upstreamReports(std::size_t Count) {
  peer::Envelope Message;
  for (std::size_t I = 0; I < Count; ++I)
    fill(*Message.mutable_upstream_reports()->add_reports(), upstreamStatus(I),
         milliseconds(250));
  return Message;
}

peer::Envelope summary(std::size_t Count) {
  peer::Envelope Message;
  peer::Summary &Body = *Message.mutable_summary();
  Body.set_zone("mu-1");
  Body.set_address("10.21.114.203:8082");
  Body.set_digest(0x123456789abcdef);
  for (std::size_t I = 0; I < Count; ++I)
    fill(*Body.add_upstreams(), upstreamStatus(I), milliseconds(250));
  return Message;
}

peer::Envelope engineReports(std::size_t Engines, std::size_t Running) {
  peer::Envelope Message;
  for (std::size_t I = 0; I < Engines; ++I) {
    peer::EngineReport &Added =
        *Message.mutable_engine_reports()->add_reports();
    Added.set_instance(numbered("mu-1-engine-", I));
    // Only the leader of a group lists requests.
    Added.set_status(engineStatus(I, I % 4 == 0 ? Running : 0));
    Added.set_age_us(250'000);
  }
  return Message;
}

peer::Envelope cacheEvents(std::size_t Count) {
  peer::Envelope Message;
  peer::CacheEvents &Body = *Message.mutable_cache_events();
  Body.set_upstream(upstreamStatus(1).Info.Id.str());
  Body.set_boot_id(upstreamStatus(1).Info.Boot.str());
  Body.set_oldest(1'000'000);
  for (std::size_t I = 0; I < Count; ++I) {
    peer::CacheEvent &Added = *Body.add_events();
    Added.set_sequence(1'000'000 + I);
    Added.set_stored(I % 2 == 0);
    Added.set_prefix("0123456789abcdef");
  }
  return Message;
}

} // namespace

void measureMessages() {
  std::vector<Point> Reports;
  std::vector<Point> Summaries;
  std::vector<Point> Encode;
  std::vector<Point> Decode;
  for (std::size_t Count : {1, 4, 14, 56}) {
    auto Size = static_cast<double>(Count);
    Reports.push_back({Size, wireBytes(upstreamReports(Count))});
    Summaries.push_back({Size, wireBytes(summary(Count))});
    Encode.push_back({Size, timePerCall([&] {
                        upstreamReports(Count).SerializeAsString();
                      })});
    std::string Bytes = upstreamReports(Count).SerializeAsString();
    Decode.push_back({Size, timePerCall([&] {
                        peer::Envelope Message;
                        Message.ParseFromString(Bytes);
                        for (const auto &Each :
                             Message.upstream_reports().reports())
                          statusOf(Each);
                      })});
  }
  report("upstream reports", "bytes", "upstreams", Reports, 13.5);
  report("summary", "bytes", "upstreams", Summaries, 13.5);
  report("build and encode upstream reports", "us", "upstreams", Encode, 13.5);
  report("decode upstream reports", "us", "upstreams", Decode, 13.5);

  std::vector<Point> Events;
  for (std::size_t Count : {16, 128, 1024})
    Events.push_back(
        {static_cast<double>(Count), wireBytes(cacheEvents(Count))});
  report("cache events", "bytes", "events", Events, 295);

  std::vector<Point> ByEngines;
  for (std::size_t Engines : {4, 16, 56})
    ByEngines.push_back(
        {static_cast<double>(Engines), wireBytes(engineReports(Engines, 0))});
  report("engine reports without requests", "bytes", "engines", ByEngines, 54);
  std::vector<Point> ByRunning;
  std::vector<Point> Parse;
  for (std::size_t Running : {0, 32, 128, 256}) {
    auto Size = static_cast<double>(Running);
    ByRunning.push_back({Size, wireBytes(engineReports(1, Running))});
    std::string Status = engineStatus(0, Running);
    Parse.push_back({Size, timePerCall([&] {
                       nlohmann::json Parsed =
                           nlohmann::json::parse(Status, nullptr, false);
                       capture([&] { return parseReport(Parsed, {}); });
                     })});
  }
  report("engine report of a leader", "bytes", "requests", ByRunning, 175);
  report("parse status", "us", "requests", Parse, 175);
}

} // namespace samphirehill::capacity
