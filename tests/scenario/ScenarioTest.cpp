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

/// Runs one scenario file; an unknown line is a failure.
class Scenario {
public:
  explicit Scenario(const std::filesystem::path &File) : File(File) {}

  std::vector<std::string> run() {
    std::ifstream In(File);
    std::string Line;
    while (std::getline(In, Line)) {
      std::istringstream Split(Line.substr(0, Line.find('#')));
      Words Parsed;
      for (std::string Word; Split >> Word;)
        Parsed.push_back(Word);
      if (!Parsed.empty())
        execute(Parsed);
    }
    Sim.runUntil(End);
    for (const std::string &Violation : Sim.Violations)
      Failures.push_back(Violation);
    if (Expectations == 0)
      Failures.push_back("scenario has no expectation");
    return Failures;
  }

private:
  void execute(Words Line) {
    if (Line[0] == "seed")
      Sim.Seed = std::stoull(Line.at(1));
    else if (Line[0] == "loss")
      Sim.Loss = std::stod(Line.at(1));
    else if (Line[0] == "duplicate")
      Sim.Duplicates = std::stod(Line.at(1));
    else if (Line[0] == "data-centres")
      Sim.build(std::stoul(Line.at(1)), std::stoul(Line.at(3)));
    else if (Line[0] == "at")
      schedule(timeOf(Line.at(1)), Words(Line.begin() + 2, Line.end()));
    else if (Line[0] == "run")
      End = timeOf(Line.at(1));
    else
      Failures.push_back("unknown line: " + Line[0]);
  }

  void schedule(TimePoint Time, const Words &Command) {
    Expectations += Command[0] == "expect";
    Sim.at(Time, [this, Time, Command] {
      if (Command[0] == "expect")
        expect(Time, Words(Command.begin() + 1, Command.end()));
      else if (!act(Command))
        Failures.push_back("unknown action: " + Command[0]);
    });
  }

  std::vector<std::string> names(const std::string &Selector) {
    if (Selector == "coordinator")
      return {Paused = Sim.coordinator()};
    if (Selector == "paused")
      return {Paused};
    if (Selector.starts_with("lead-"))
      return {Sim.leadOf(Selector.substr(5))};
    if (Selector == "all" || Selector.starts_with("d"))
      return Sim.nodesOf(Selector);
    return {Selector};
  }

  bool act(const Words &Command) {
    const std::string Argument = Command.size() > 1 ? Command[1] : "";
    if (Command[0] == "publish")
      Sim.publish(Argument.empty() ? std::nullopt
                                   : std::optional(std::stoull(Argument)));
    else if (Command[0] == "step")
      Sim.appendStep(std::stoull(Argument));
    else if (Command[0] == "cut")
      Sim.cut(Argument, Command.at(2));
    else if (Command[0] == "heal")
      Sim.heal();
    else if (Command[0] == "log" && Argument == "trim")
      Sim.trimLog();
    else if (Command[0] == "log" && Argument == "snapshot")
      Sim.appendSnapshot();
    else if (Command[0] == "log")
      Sim.logUp(Argument == "back");
    else
      return actOnNodes(Command[0], Argument);
    return true;
  }

  bool actOnNodes(const std::string &Command, const std::string &Selector) {
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
    const auto Found = Actions.find(Command);
    if (Found == Actions.end())
      return false;
    const std::vector<std::string> Names = names(Selector);
    for (const Action Each : Found->second)
      for (const std::string &Name : Names)
        (Sim.*Each)(Name);
    return true;
  }

  bool holds(const Words &Expectation) {
    const std::string Argument = Expectation.size() > 1 ? Expectation[1] : "";
    if (Expectation[0] == "in-force")
      return Sim.inForce(Argument == "except" ? Expectation.at(2) : "");
    if (Expectation[0] == "version")
      return Sim.logVersion().value() == std::stoull(Argument);
    if (Expectation[0] == "ready" || Expectation[0] == "not-ready")
      return Sim.ready(Argument, Expectation[0] == "ready");
    if (Expectation[0] == "members")
      return Sim.seesMembers(Argument, std::stoul(Expectation.at(2)));
    if (Expectation[0] == "target-gone")
      return Sim.targetGone(Argument);
    if (Expectation[0] == "coordinator")
      return !Sim.coordinator().empty();
    if (Expectation[0] == "other-coordinator")
      return !Sim.coordinator().empty() && Sim.coordinator() != Paused;
    if (Expectation[0] == "no-coordinator")
      return Sim.coordinator().empty();
    // Checked at each step of the simulation; violations are also reported at
    // its end.
    if (Expectation[0] == "one-coordinator" ||
        Expectation[0] == "no-lower-version")
      return Sim.Violations.empty();
    Failures.push_back("unknown expectation: " + Expectation[0]);
    return true;
  }

  /// Requires that the expectation holds now, or within the time after
  /// `within`.
  void expect(TimePoint Since, const Words &Expectation) {
    if (holds(Expectation))
      return;
    const auto Within =
        std::find(Expectation.begin(), Expectation.end(), "within");
    const TimePoint Until = Within == Expectation.end()
                                ? Since
                                : Since + (timeOf(*(Within + 1)) - TimePoint());
    if (Sim.now() >= Until) {
      std::string Text;
      for (const std::string &Word : Expectation)
        Text += Word + " ";
      Failures.push_back(fmt::format("expectation not met at {} us: {}",
                                     Since.time_since_epoch().count(), Text));
      return;
    }
    Sim.at(Sim.now() + Milliseconds(10),
           [this, Since, Expectation] { expect(Since, Expectation); });
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

// The first lines of each scenario file state the failure it guards against.
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
