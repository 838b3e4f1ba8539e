// Simulates a zone with engines that fail, a stored placement whose write
// answers get lost, and two controllers that race, pause and restart. Numbers
// choose the steps, so that RapidCheck can generate and shrink histories. The
// simulation checks the invariants after each step.
#ifndef SAMPHIREHILL_TEST_GROUPS_SIMULATION_H
#define SAMPHIREHILL_TEST_GROUPS_SIMULATION_H

#include "samphirehill/Groups/GroupHealth.h"
#include "samphirehill/Groups/Orders.h"
#include "samphirehill/Groups/Planner.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::test {

// Faults that a test switches on to show that the simulation's checks find
// them.
struct SimulationFaults {
  bool UnconditionalWrites = false; // writes ignore the stored version
  bool SeparateClaims = false;      // a refused write still adds its groups
  bool IgnoreReportAge = false;     // health trusts reports of any age
  bool TrustPlacement = false;      // health ignores the reported role
  bool NoTakeoverWait = false;      // former controllers count as settled
};

class Simulation {
public:
  explicit Simulation(SimulationFaults Faults);

  // Performs the step that Choice selects.
  void step(unsigned Choice);
  // Ends all faults of engines, lets the first controller work for 30 s and
  // notes a violation if one of the three configured groups doesn't serve
  // afterwards.
  void heal();
  // Returns the first violation, or "".
  const std::string &violation() const { return Violation; }

private:
  struct Engine {
    EngineReport Truth; // the actual state
    bool ChecksFence = false;
    bool IsDead = false;
    bool IsPaused = false;
    TimePoint DiedAt;
    TimePoint LastUp;
    TimePoint RoleSince; // last change of role
    std::uint64_t LastFence = 0;
    bool LastChangedGroup = false;
    bool isUp() const { return !IsDead && !IsPaused; }
  };
  // An order on its way to an engine.
  struct Flight {
    InstanceId To;
    Order Value;
    bool ChangesGroup = false;       // compared with the sender's last report
    std::optional<TimePoint> LostAt; // when the sender counted it as lost
  };
  struct Controller {
    OrdersState Orders;
    GroupHealthState Health;
    Placement Known;
    std::uint64_t KnownVersion = 0;
    std::optional<Placement> Pending; // decided and not yet written
    std::uint64_t PendingVersion = 0;
    std::vector<Flight> Flights;
    std::uint64_t AcknowledgesFence = 0; // 0: nothing to acknowledge
  };

  void note(const std::string &Text);
  void advance(Duration Span);
  void report(Engine &Value);
  void toggleDeath(Engine &Value);
  void read(Controller &Value);
  void decide(Controller &Value);
  void write(Controller &Value, bool AnswerIsLost);
  void settleFormerControllers(Controller &Value);
  void restart(Controller &Value);
  void deliver(Controller &Value, std::size_t Index);
  void lose(Controller &Value, std::size_t Index);
  void feed(Controller &Value, const OrdersEvent &Event);
  PlannerInput plannerInput(const Controller &Value) const;
  std::map<GroupId, GroupHealth> evaluate(Controller &Value);
  void check();

  SimulationFaults Faults;
  TimePoint Now;
  std::vector<OperatorsText> Texts;
  std::vector<Instance> Fleet;
  std::map<InstanceId, Engine> Engines;
  EngineReports Reports;
  Placement Stored;
  std::uint64_t StoredVersion = 1;
  std::map<std::uint64_t, EntryRun> FenceOwners;
  std::array<Controller, 2> Controllers;
  std::set<EntryRun> Gone;
  std::uint64_t Boots = 0;
  std::string Violation;
};

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_GROUPS_SIMULATION_H
