// Memory and processor time of what an entry knows of upstreams and groups, and
// of its admission queue.
#include "Measure.h"
#include "Samples.h"

#include "samphirehill/Groups/GroupHealth.h"
#include "samphirehill/Limits/Admission.h"

namespace samphirehill::capacity {
namespace {

constexpr TimePoint Start{seconds(1000)};

void fillDirectory(UpstreamDirectory &Directory, std::size_t Upstreams,
                   TimePoint At) {
  for (std::size_t I = 0; I < Upstreams; ++I)
    Directory.put(upstreamStatus(I), At, milliseconds(1500));
}

void measureDirectory() {
  std::vector<Point> Memory;
  std::vector<Point> Put;
  std::vector<Point> Expire;
  std::vector<Point> Serving;
  for (std::size_t Upstreams : {50, 325, 1300}) {
    auto Size = static_cast<double>(Upstreams);
    double Before = heapBytes();
    UpstreamDirectory Directory;
    TimePoint At = Start;
    fillDirectory(Directory, Upstreams, At);
    Memory.push_back({Size, heapBytes() - Before});
    Put.push_back({Size, timePerCall([&] {
                           At += milliseconds(1);
                           fillDirectory(Directory, Upstreams, At);
                         }) / Size});
    Expire.push_back({Size, timePerCall([&] { Directory.expire(At); })});
    // One of the eight services of upstreamStatus().
    Serving.push_back({Size / 8, timePerShortCall([&] {
                         Directory.serving(ServiceId("notes-0003"));
                       })});
  }
  report("directory", "heap bytes", "upstreams", Memory, 325);
  report("directory, take one report", "us", "upstreams", Put, 325);
  report("directory, expire", "us", "upstreams", Expire, 325);
  report("directory, list serving", "us", "upstreams of the service", Serving,
         325);
}

void measureHints() {
  std::vector<Point> Memory;
  for (std::size_t Count : {50'000, 100'000, 200'000}) {
    double Before = heapBytes();
    PrefixHints Hints;
    for (std::size_t I = 0; I < Count; ++I)
      Hints.apply(UpstreamId(numbered("mu-1-g", I % 325)), BootId("b"),
                  CacheEvent{I + 1, CacheEvent::Stored,
                             (I + 1) * 0x9e3779b97f4a7c15ULL});
    Memory.push_back({static_cast<double>(Count), heapBytes() - Before});
  }
  report("prefix hints", "heap bytes", "hints", Memory, 200'000);
}

void measureHealth() {
  std::vector<Point> Time;
  for (std::size_t Groups : {4, 14, 56}) {
    Placement Stored;
    EngineReports Reports;
    for (std::size_t I = 0; I < Groups; ++I) {
      Group Added;
      Added.Name = GroupId(numbered("mu-1-g", I));
      Added.Generation = 3;
      Added.Service = ServiceId("notes");
      Added.Version = "3";
      for (std::size_t J = 0; J < 4; ++J)
        Added.Members.emplace_back(numbered("mu-1-engine-", I * 4 + J));
      for (const InstanceId &Member : Added.Members) {
        EngineReport &Report = Reports[Member];
        Report.Name = Member;
        Report.Boot = BootId("b");
        Report.State = EngineState::Warm;
        Report.Version = "3";
        Report.Group = Added.Name;
        Report.Generation = 3;
        Report.Members = Added.Members;
        Report.At = Start;
      }
      Stored.Groups.push_back(Added);
    }
    GroupHealthState State;
    Time.push_back({static_cast<double>(Groups), timePerCall([&] {
                      evaluateGroups(State, Stored, Reports, Start);
                    })});
  }
  report("judge groups", "us", "groups", Time, 13.5);
}

void measureAdmission() {
  std::vector<Point> Time;
  for (std::size_t Waiting : {16, 256, 4000}) {
    AdmissionQueue Queue;
    std::size_t Last = 0;
    auto Add = [&] {
      AdmissionRequest Request;
      Request.Request = RequestId(requestId(++Last));
      Request.Organisation = OrganisationId(numbered("org-", Last % 10));
      Request.CostTokens = 600;
      Request.Deadline = Start + seconds(100'000);
      admit(Queue, Request, Start);
    };
    while (Last < Waiting)
      Add();
    Time.push_back({static_cast<double>(Waiting), timePerShortCall([&] {
                      Add();
                      dispatchNext(Queue);
                    })});
  }
  report("admit and dispatch one request", "us", "waiting requests", Time, 256);
}

} // namespace

void measureState() {
  measureDirectory();
  measureHints();
  measureHealth();
  measureAdmission();
}

} // namespace samphirehill::capacity
