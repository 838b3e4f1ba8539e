// Sends the calls of a schedule at their times, whatever the answers do.
#ifndef SAMPHIREHILL_LOADTOOL_LOADRUN_H
#define SAMPHIREHILL_LOADTOOL_LOADRUN_H

#include "loadtool/Plan.h"
#include "loadtool/Statistics.h"
#include "samphirehill/Net/HttpClient.h"
#include "samphirehill/Net/TimerService.h"

#include <asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::loadtool {

// One load. It runs on Context's thread; Plan must outlive it.
class LoadRun {
public:
  // RunId makes request ids and booking keys differ between loads. At most
  // MostOpen calls are open at once; further arrivals are counted as not sent.
  LoadRun(asio::io_context &Context, const LoadPlan &Plan,
          std::vector<Arrival> Arrivals, std::string RunId,
          std::size_t MostOpen);
  ~LoadRun();

  // Starts the load; Done is called once every call has its result.
  void start(std::function<void()> Done);

  const Statistics &statistics() const { return Collected; }

private:
  class Call;
  void sendDue();
  void finish(const std::shared_ptr<Call> &Ended);
  Duration elapsed() const { return Timers.now() - Started; }

  HttpClient Http;
  TimerService Timers;
  const LoadPlan &Plan;
  std::vector<Arrival> Arrivals;
  std::string RunId;
  std::size_t MostOpen;
  std::size_t Next = 0;
  TimePoint Started;
  TimerSubscription Tick;
  std::set<std::shared_ptr<Call>> Open;
  Statistics Collected;
  std::function<void()> Done;
};

} // namespace samphirehill::loadtool

#endif // SAMPHIREHILL_LOADTOOL_LOADRUN_H
