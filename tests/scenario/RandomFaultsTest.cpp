#include "Simulation.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane::scenario;

namespace {

/// Applies a fault or an operation chosen by three random numbers.
void applyFault(Simulation &Sim, unsigned Kind, std::size_t A, std::size_t B) {
  const std::vector<std::string> All = Sim.nodesOf("all");
  const std::string &Name = All[A % All.size()];
  const std::string DataCentre = "d" + std::to_string(A % 3 + 1);
  const std::string Other =
      B % 4 == 0 ? "log" : "d" + std::to_string(B % 3 + 1);
  switch (Kind % 10) {
  case 0:
  case 1:
    return Sim.publish(std::nullopt);
  case 2:
    return Sim.kill(Name);
  case 3:
    Sim.kill(Name);
    return Sim.start(Name);
  case 4:
    return Sim.cut(DataCentre, Other);
  case 5:
    return Sim.heal();
  case 6:
    return Sim.logUp(B % 2 == 0);
  case 7: {
    const std::string Holder = Sim.coordinator();
    return Sim.pause(Holder.empty() || B % 2 ? Name : Holder);
  }
  case 8:
    for (const std::string &Node : All)
      Sim.resume(Node);
    return;
  default:
    for (const std::string &Node : Sim.nodesOf(DataCentre)) {
      Sim.kill(Node);
      Sim.start(Node);
    }
  }
}

} // namespace

// Guards against an order of faults that lowers a version, applies a change
// partially, makes two nodes differ or leaves two coordinators, and against a
// fleet that does not recover afterwards.
Test(random_faults, invariants_hold_and_the_fleet_recovers, .timeout = 100) {
  const bool Held = rc::check([] {
    Simulation Sim;
    Sim.Seed = *rc::gen::arbitrary<std::uint64_t>();
    Sim.Loss = 0.1;
    Sim.Duplicates = 0.1;
    Sim.build(3, 3);
    using Fault = std::tuple<unsigned, std::size_t, std::size_t, unsigned>;
    const auto Faults = *rc::gen::resize(
        40,
        rc::gen::container<std::vector<Fault>>(rc::gen::tuple(
            rc::gen::inRange(0U, 10U), rc::gen::inRange<std::size_t>(0, 1000),
            rc::gen::inRange<std::size_t>(0, 1000),
            rc::gen::inRange(0U, 3000U))));
    TimePoint At{std::chrono::seconds(8)};
    for (const auto &[Kind, A, B, Wait] : Faults) {
      Sim.at(At, [&Sim, Kind = Kind, A = A, B = B] {
        applyFault(Sim, Kind, A, B);
      });
      At += Milliseconds(Wait);
    }
    Sim.runUntil(At);
    Sim.heal();
    Sim.logUp(true);
    for (const std::string &Node : Sim.nodesOf("all"))
      Sim.resume(Node);
    Sim.publish(std::nullopt);
    Sim.runUntil(At + std::chrono::seconds(20));
    for (const std::string &Violation : Sim.Violations)
      RC_FAIL(Violation);
    RC_ASSERT(Sim.inForce(""));
    RC_CLASSIFY(Sim.coordinator().empty(), "no coordinator after 20 s");
  });
  cr_assert(Held);
}
