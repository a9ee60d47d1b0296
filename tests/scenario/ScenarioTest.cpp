#include "Simulation.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace filbertvane;
using namespace filbertvane::scenario;

namespace {

using Words = std::vector<std::string>;

TimePoint timeOf(const std::string &Text) {
  const bool Millis = Text.ends_with("ms");
  const double Number = std::stod(Text);
  return TimePoint(
      core::Microseconds(static_cast<long>(Number * (Millis ? 1e3 : 1e6))));
}

/// Runs one scenario file; a line that is not understood is a failure.
class Scenario {
public:
  explicit Scenario(const std::filesystem::path &File) : File(File) {}

  std::vector<std::string> run() {
    std::ifstream In(File);
    std::string Line;
    while (std::getline(In, Line)) {
      std::istringstream Split(Line.substr(0, Line.find('#')));
      Words All;
      for (std::string Word; Split >> Word;)
        All.push_back(Word);
      if (!All.empty())
        execute(All);
    }
    Sim.runUntil(End);
    for (const std::string &One : Sim.Violations)
      Failures.push_back(One);
    if (Expectations == 0)
      Failures.push_back("scenario expects nothing");
    return Failures;
  }

private:
  void execute(Words All) {
    if (All[0] == "seed")
      Sim.Seed = std::stoull(All.at(1));
    else if (All[0] == "loss")
      Sim.Loss = std::stod(All.at(1));
    else if (All[0] == "duplicate")
      Sim.Duplicates = std::stod(All.at(1));
    else if (All[0] == "data-centres")
      Sim.build(std::stoul(All.at(1)), std::stoul(All.at(3)));
    else if (All[0] == "at")
      schedule(timeOf(All.at(1)), Words(All.begin() + 2, All.end()));
    else if (All[0] == "run")
      End = timeOf(All.at(1));
    else
      Failures.push_back("unknown line: " + All[0]);
  }

  void schedule(TimePoint When, const Words &What) {
    Expectations += What[0] == "expect";
    Sim.at(When, [this, When, What] {
      if (What[0] == "expect")
        expect(When, Words(What.begin() + 1, What.end()));
      else if (!act(What))
        Failures.push_back("unknown action: " + What[0]);
    });
  }

  std::vector<std::string> names(const std::string &Which) {
    if (Which == "coordinator")
      return {Paused = Sim.coordinator()};
    if (Which == "paused")
      return {Paused};
    if (Which.starts_with("lead-"))
      return {Sim.leadOf(Which.substr(5))};
    if (Which == "all" || Which.starts_with("d"))
      return Sim.nodesOf(Which);
    return {Which};
  }

  bool act(const Words &What) {
    const std::string Argument = What.size() > 1 ? What[1] : "";
    if (What[0] == "publish")
      Sim.publish(Argument.empty() ? std::nullopt
                                   : std::optional(std::stoull(Argument)));
    else if (What[0] == "step")
      Sim.appendStep(std::stoull(Argument));
    else if (What[0] == "cut")
      Sim.cut(Argument, What.at(2));
    else if (What[0] == "heal")
      Sim.heal();
    else if (What[0] == "log" && Argument == "trim")
      Sim.trimLog();
    else if (What[0] == "log" && Argument == "snapshot")
      Sim.appendSnapshot();
    else if (What[0] == "log")
      Sim.logUp(Argument == "back");
    else
      return actOnNodes(What[0], Argument);
    return true;
  }

  bool actOnNodes(const std::string &What, const std::string &Which) {
    using Action = void (Simulation::*)(const std::string &);
    static const std::map<std::string, std::vector<Action>> Actions{
        {"kill", {&Simulation::kill}},
        {"start", {&Simulation::start}},
        {"restart", {&Simulation::kill, &Simulation::start}},
        {"pause", {&Simulation::pause}},
        {"resume", {&Simulation::resume}},
        {"announce", {&Simulation::announce}},
        {"leave", {&Simulation::leave}},
        {"drain", {&Simulation::drain}}};
    const auto Found = Actions.find(What);
    if (Found == Actions.end())
      return false;
    const std::vector<std::string> Names = names(Which);
    for (const Action One : Found->second)
      for (const std::string &Name : Names)
        (Sim.*One)(Name);
    return true;
  }

  bool holds(const Words &What) {
    const std::string Argument = What.size() > 1 ? What[1] : "";
    if (What[0] == "in-force")
      return Sim.inForce(Argument == "except" ? What.at(2) : "");
    if (What[0] == "version")
      return Sim.logVersion().value() == std::stoull(Argument);
    if (What[0] == "ready" || What[0] == "not-ready")
      return Sim.ready(Argument, What[0] == "ready");
    if (What[0] == "members")
      return Sim.sees(Argument, std::stoul(What.at(2)));
    if (What[0] == "target-gone")
      return Sim.targetGone(Argument);
    if (What[0] == "coordinator")
      return !Sim.coordinator().empty();
    if (What[0] == "other-coordinator")
      return !Sim.coordinator().empty() && Sim.coordinator() != Paused;
    if (What[0] == "no-coordinator")
      return Sim.coordinator().empty();
    // Checked at each step of the world; reported at its end.
    if (What[0] == "one-coordinator" || What[0] == "no-lower-version")
      return Sim.Violations.empty();
    Failures.push_back("unknown expectation: " + What[0]);
    return true;
  }

  /// Holds now, or by the time after `within`.
  void expect(TimePoint Since, const Words &What) {
    if (holds(What))
      return;
    const auto Within = std::find(What.begin(), What.end(), "within");
    const TimePoint Until = Within == What.end()
                                ? Since
                                : Since + (timeOf(*(Within + 1)) - TimePoint());
    if (Sim.now() >= Until) {
      std::string Text;
      for (const std::string &Word : What)
        Text += Word + " ";
      Failures.push_back(
          fmt::format("at {} us: {}", Since.time_since_epoch().count(), Text));
      return;
    }
    Sim.at(Sim.now() + Milliseconds(10),
           [this, Since, What] { expect(Since, What); });
  }

  std::filesystem::path File;
  Simulation Sim;
  TimePoint End = timeOf("30s");
  std::string Paused;
  std::size_t Expectations = 0;
  std::vector<std::string> Failures;
};

void check(const char *Name) {
  const auto File = std::filesystem::path(FILBERTVANE_SCENARIOS) /
                    (std::string(Name) + ".scn");
  cr_assert(std::filesystem::exists(File), "%s is missing", Name);
  for (const std::string &Failure : Scenario(File).run())
    cr_expect(false, "%s: %s", Name, Failure.c_str());
}

} // namespace

// Each scenario names in its first lines the failure it guards against.
#define SCENARIO(Name)                                                         \
  Test(scenario, Name) { check(#Name); }
SCENARIO(member_failure)
SCENARIO(refutation)
SCENARIO(leaving)
SCENARIO(replaced_host)
SCENARIO(relay_killed)
SCENARIO(data_centre_cut)
SCENARIO(mass_restart)
SCENARIO(paused_holder)
SCENARIO(two_operators)
SCENARIO(log_outage)
SCENARIO(trimmed_log)
SCENARIO(lossy_network)
