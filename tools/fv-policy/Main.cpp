#include "Cost.h"
#include "Simulation.h"
#include <fmt/core.h>
#include <string_view>

using namespace filbertvane;
using namespace filbertvane::policy;
namespace request = filbertvane::decision::request;

namespace {

/// Capacity of twelve sound targets is 4,800 requests a second.
constexpr std::size_t TargetCount = 12;
constexpr double PickerLoad = 3600;

void printPickers(const char *Name, const std::vector<TargetModel> &Targets,
                  std::uint64_t Seed) {
  const std::pair<const char *, request::AnyPicker> Pickers[] = {
      {"power_of_two", request::PowerOfTwoChoices{}},
      {"round_robin", request::RoundRobin{}},
      {"credits", request::CreditScheme{}}};
  for (const auto &[Policy, Picker] : Pickers) {
    Trial What;
    What.Targets = Targets;
    What.PerSecond = PickerLoad;
    What.Seed = Seed;
    What.Picker = Picker;
    Figures Found = Simulation(std::move(What)).run();
    fmt::print("picker: targets={} policy={} p50_ms={:.1f} p99_ms={:.1f} "
               "success={:.4f}\n",
               Name, Policy, Found.percentileMs(0.5), Found.percentileMs(0.99),
               Found.successShare());
  }
}

void comparePickers(std::uint64_t Seed) {
  const std::vector<TargetModel> Sound(TargetCount);
  printPickers("sound", Sound, Seed);
  std::vector<TargetModel> Slow = Sound;
  Slow[0].MeanMs = Slow[1].MeanMs = 50;
  printPickers("slow", Slow, Seed);
  // Two targets announce four times the slots that they have.
  std::vector<TargetModel> Misreporting = Sound;
  Misreporting[0].Announced = Misreporting[1].Announced = 16;
  printPickers("misreporting", Misreporting, Seed);
  std::vector<TargetModel> Cold = Sound;
  Cold[0].ColdFactor = Cold[1].ColdFactor = 8;
  printPickers("cold", Cold, Seed);
}

Figures overload(double Load, bool Shed, std::uint64_t Seed) {
  Trial What;
  What.Targets = std::vector<TargetModel>(4);
  What.PerSecond = 1600 * Load;
  What.DeadlineMs = 100;
  What.Seed = Seed;
  What.ShedByDeadline = Shed;
  return Simulation(std::move(What)).run();
}

void compareAdmission(std::uint64_t Seed) {
  for (bool Shed : {true, false}) {
    const Figures Full = overload(1, Shed, Seed);
    const Figures Over = overload(3, Shed, Seed);
    const double Ratio =
        static_cast<double>(Over.InTime) / static_cast<double>(Full.InTime);
    fmt::print("admission: shed_by_deadline={} at_capacity={} at_3x={} "
               "goodput_ratio={:.3f}\n",
               Shed, Full.InTime, Over.InTime, Ratio);
  }
}

} // namespace

int main(int Count, char *Arguments[]) {
  std::uint64_t Seed = 20261204;
  bool Cost = false;
  for (int At = 1; At < Count; ++At) {
    const std::string_view Argument = Arguments[At];
    if (Argument == "--cost") {
      Cost = true;
    } else if (Argument == "--seed" && At + 1 < Count) {
      Seed = std::strtoull(Arguments[++At], nullptr, 10);
    } else {
      fmt::print(stderr, "usage: fv-policy [--cost] [--seed NUMBER]\n");
      return 2;
    }
  }
  if (Cost) {
    printCost(Seed);
    return 0;
  }
  comparePickers(Seed);
  compareAdmission(Seed);
  return 0;
}
