#include "Arguments.h"
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <tclap/CmdLine.h>

namespace filbertvane::program {

namespace {

constexpr const char *UsageText =
    "usage: filbertvane check   --settings FILE SHEET\n"
    "       filbertvane publish --settings FILE [--operator NAME] SHEET\n"
    "       filbertvane report  --settings FILE [--json]\n"
    "       filbertvane status  --settings FILE\n"
    "       filbertvane explain [--json] ID [LOG...]\n";

const std::map<std::string, Command> Commands = {{"check", Command::Check},
                                                 {"publish", Command::Publish},
                                                 {"report", Command::Report},
                                                 {"status", Command::Status}};

std::string defaultOperator() {
  const char *User = std::getenv("USER");
  return User && *User ? User : "operator";
}

Arguments parse(int Count, char *Values[]) {
  TCLAP::CmdLine Line("Publishes sheets and reports on their moves", ' ',
                      "0.1");
  Line.setExceptionHandling(false);
  TCLAP::UnlabeledValueArg<std::string> Action(
      "command", "check, publish, report or status", true, "", "command", Line);
  TCLAP::UnlabeledValueArg<std::string> SheetFile("sheet", "Sheet file", false,
                                                  "", "sheet", Line);
  TCLAP::ValueArg<std::string> SettingsFile("", "settings", "Settings file",
                                            true, "", "file", Line);
  TCLAP::ValueArg<std::string> Operator("", "operator", "Name for the reports",
                                        false, defaultOperator(), "name", Line);
  TCLAP::SwitchArg Json("", "json", "Report for programs", Line);
  Line.parse(Count, Values);
  const auto Known = Commands.find(Action.getValue());
  if (Known == Commands.end())
    throw TCLAP::ArgException("unknown command", Action.getValue());
  return {Known->second, SettingsFile.getValue(), SheetFile.getValue(),
          Operator.getValue(), Json.getValue()};
}

bool needsSheet(Command Action) {
  return Action == Command::Check || Action == Command::Publish;
}

} // namespace

std::optional<Arguments> readArguments(int Count, char *Values[],
                                       ExitCode &Code) {
  Code = Usage;
  try {
    Arguments Read = parse(Count, Values);
    if (needsSheet(Read.Action) == !Read.SheetFile.empty())
      return Read;
    fmt::print(stderr, "{}", UsageText);
  } catch (const TCLAP::ArgException &Failure) {
    fmt::print(stderr, "{} {}\n{}", Failure.error(), Failure.argId(),
               UsageText);
  } catch (const TCLAP::ExitException &Exit) {
    // --help and --version.
    Code = Exit.getExitStatus() == 0 ? Done : Usage;
  }
  return std::nullopt;
}

} // namespace filbertvane::program
