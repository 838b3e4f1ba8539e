// A zone with engines that fail, an object that loses write answers and two
// controllers that race and pause. It is driven by numbers, so that RapidCheck
// can generate and shrink histories, and checks the invariants after each step.
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

// Faults that a test switches on to show that the checks find them.
struct SimulationFaults {
  bool UnconditionalWrites = false; // the object takes every write
  bool SeparateClaims = false;      // a lost race still adds its groups
  bool IgnoreReportAge = false;     // health trusts reports of any age
  bool TrustPlacement = false;      // health ignores the reported role
  bool NoTakeoverWait = false;      // former controllers count as settled
};

class Simulation {
public:
  explicit Simulation(SimulationFaults Faults);

  // Takes one step that Choice selects.
  void step(unsigned Choice);
  // Heals everything, lets the first controller work for a while and notes a
  // violation if a wanted group doesn't serve then.
  void heal();
  // Returns the first violation, or "".
  const std::string &violation() const { return Violation; }

private:
  struct Engine {
    EngineReport Truth;
    bool ChecksFence = false;
    bool IsDead = false;
    bool IsPaused = false;
    TimePoint DiedAt;
    TimePoint LastUp;
    TimePoint RoleSince;
    std::uint64_t LastFence = 0;
    bool LastChangedGroup = false;
    bool isUp() const { return !IsDead && !IsPaused; }
  };
  struct Flight {
    InstanceId To;
    Order Value;
    bool ChangesGroup = false;       // by the report that the sender had
    std::optional<TimePoint> LostAt; // the sender counts it as lost
  };
  struct Controller {
    OrdersState Orders;
    GroupHealthState Health;
    Placement Known;
    std::uint64_t KnownVersion = 0;
    std::optional<Placement> Pending; // decided, not yet written
    std::uint64_t PendingVersion = 0;
    std::vector<Flight> Flights;
    std::uint64_t AcknowledgesFence = 0; // 0: none
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
