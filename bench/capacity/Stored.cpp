// Sizes and costs of the stored objects: placement, texts and record shards.
#include "Measure.h"
#include "Samples.h"

#include "samphirehill/Config/Secret.h"
#include "samphirehill/Daemon/Catalogue.h"
#include "samphirehill/Groups/Placement.h"
#include "samphirehill/Idempotency/ShardObject.h"

#include <cstdio>
#include <cstdlib>

namespace samphirehill::capacity {
namespace {

void measurePlacement() {
  std::vector<Point> Bytes;
  std::vector<Point> Read;
  for (std::size_t Groups : {4, 14, 56, 325}) {
    Placement Value;
    Value.Fence = Value.AckFence = 17;
    Value.Controller = {entryId(0), SampleIncarnation};
    for (std::size_t I = 0; I < Groups; ++I) {
      Group Added;
      Added.Name = GroupId(numbered("mu-1-g", I));
      Added.Generation = 3;
      Added.Service = ServiceId(numbered("notes-", I % 8));
      Added.Version = "3";
      for (std::size_t J = 0; J < 4; ++J)
        Added.Members.emplace_back(numbered("mu-1-engine-", I * 5 + J));
      Added.Spare = InstanceId(numbered("mu-1-engine-", I * 5 + 4));
      Value.Groups.push_back(Added);
      Value.Homes[UpstreamId(Added.Name.str())] =
          Home{{entryId(I % 15), SampleIncarnation}, 3};
    }
    std::string Text = toJson(Value).dump();
    auto Size = static_cast<double>(Groups);
    Bytes.push_back({Size, static_cast<double>(Text.size())});
    Read.push_back({Size, timePerCall([&] {
                      nlohmann::json Parsed = nlohmann::json::parse(Text);
                      capture([&] { return placementFromJson(Parsed); });
                    })});
  }
  report("placement object", "bytes", "groups", Bytes, 13.5);
  report("read placement object", "us", "groups", Read, 13.5);
}

TextFields textFields(std::size_t Services) {
  TextFields Fields;
  Fields.Operator = "lumen";
  for (std::size_t I = 0; I < Zones; ++I)
    Fields.Zones.push_back({ZoneId(numbered("mu-", I)), "mauritius"});
  for (std::size_t I = 0; I < Services; ++I) {
    Service Value;
    Value.Name = ServiceId(numbered("notes-", I));
    Value.Model = numbered("notes-70b-", I);
    Value.Version = "3";
    Value.Adapters = {"french", "creole"};
    Value.ReplicaSize = 4;
    Value.ReplicasPerZone = 3;
    Value.WarmLimit = 256;
    Fields.Services.push_back(Value);
    Organisation Who;
    Who.Name = OrganisationId(numbered("org-", I));
    Who.KeyDigests = {sha256Hex(numbered("key-", I))};
    Fields.Organisations.push_back(Who);
  }
  return Fields;
}

void measureTexts() {
  std::vector<Point> Bytes;
  std::vector<Point> Read;
  std::vector<Point> Memory;
  std::vector<Point> Find;
  for (std::size_t Services : {10, 40, 160}) {
    auto Size = static_cast<double>(Services);
    Outcome<OperatorsText> Made =
        capture([&] { return OperatorsText::create(textFields(Services)); });
    if (const Error *Failure = errorOf(Made)) {
      std::fprintf(stderr, "%s\n", Failure->Message.c_str());
      std::exit(EXIT_FAILURE);
    }
    std::string Text = std::get<0>(Made).toJson().dump();
    Bytes.push_back({Size, static_cast<double>(Text.size())});
    double Before = heapBytes();
    Catalogue Texts;
    std::uint64_t Version = 0;
    auto Put = [&] {
      nlohmann::json Parsed = nlohmann::json::parse(Text);
      auto Value = capture([&] { return OperatorsText::fromJson(Parsed); });
      Texts.put(std::move(std::get<0>(Value)), ++Version);
    };
    Put();
    Memory.push_back({Size, heapBytes() - Before});
    Read.push_back({Size, timePerCall(Put)});
    Find.push_back(
        {Size, timePerShortCall([&] { Texts.findCaller("key-0005"); })});
  }
  report("text object", "bytes", "services and organisations", Bytes, 40);
  report("read text and put it in force", "us", "services and organisations",
         Read, 40);
  report("catalogue", "heap bytes", "services and organisations", Memory, 40);
  report("find caller by API key", "us", "organisations", Find, 40);
}

void measureShards() {
  std::vector<Point> Bytes;
  std::vector<Point> Write;
  std::vector<Point> Read;
  std::vector<Point> Memory;
  for (std::size_t Count : {64, 512, 2048, 4096}) {
    double Before = heapBytes();
    ShardObject Object;
    Object.Owner = entryId(0);
    Object.OwnerIncarnation = SampleIncarnation;
    Object.Epoch = 17;
    OrganisationId Who("org");
    for (std::size_t I = 0; I < Count; ++I) {
      ShardRecord &Record = Object.Records[recordIdOf(Who, numbered("k", I))];
      Record.BodyHash = Record.Attempt = (I + 1) * 0x9e3779b97f4a7c15ULL;
      Record.Epoch = 17;
      Record.StartedAt = 1'796'358'079;
      Record.Outcome =
          CallOutcome{201, "application/json", R"({"booking":123456})", false};
    }
    auto Size = static_cast<double>(Count);
    Memory.push_back({Size, heapBytes() - Before});
    std::string Text = toJson(Object);
    Bytes.push_back({Size, static_cast<double>(Text.size())});
    Write.push_back({Size, timePerCall([&] { toJson(Object); })});
    Read.push_back({Size, timePerCall([&] {
                      capture([&] { return shardObjectFromJson(Text); });
                    })});
  }
  report("record shard object", "bytes", "records", Bytes, 4096);
  report("format record shard", "us", "records", Write, 4096);
  report("read record shard", "us", "records", Read, 4096);
  report("record shard", "heap bytes", "records", Memory, 4096);
}

} // namespace

void measureStored() {
  measurePlacement();
  measureTexts();
  measureShards();
}

} // namespace samphirehill::capacity
