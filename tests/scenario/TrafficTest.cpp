#include "Simulation.h"
#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace filbertvane::scenario;

namespace {

constexpr std::size_t Members = 105;
constexpr double WindowSeconds = 20;

double bytesPerNodeAndSecond(Simulation &Sim, double From) {
  const auto TimeAt = [](double Time) {
    return TimePoint(Milliseconds(static_cast<long>(Time * 1000)));
  };
  Sim.runUntil(TimeAt(From));
  const std::uint64_t Before = Sim.bytes();
  Sim.runUntil(TimeAt(From + WindowSeconds));
  return static_cast<double>(Sim.bytes() - Before) / WindowSeconds / Members;
}

} // namespace

// Guards against control traffic that grows with the size of a data centre. The
// limit is 3,000 B/s per node in both directions, with 105 members (2,000 nodes
// in 19 data centres) and 10 changes in 20 s, 20 times the rate of 2,100
// changes a day.
Test(traffic, a_large_data_centre_stays_below_the_bound, .timeout = 60) {
  Simulation Sim;
  Sim.Seed = 23;
  Sim.build(1, Members);
  const double Quiet = 2 * bytesPerNodeAndSecond(Sim, 40);
  for (int I = 0; I < 10; ++I)
    Sim.at(TimePoint(Milliseconds(70000 + 2000 * I)),
           [&Sim] { Sim.publish(std::nullopt); });
  const double Busy = 2 * bytesPerNodeAndSecond(Sim, 70);
  fmt::print(stderr,
             "control bytes per node and second: quiet {:.0f}, "
             "10 changes in 20 s {:.0f}\n",
             Quiet, Busy);
  Sim.runUntil(TimePoint(Milliseconds(92000)));
  cr_assert(Sim.inForce(""));
  cr_assert(Busy < 3000, "%f B/s per node", Busy);
}
