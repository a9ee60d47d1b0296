#include "Explain.h"
#include "filbertvane/config/TextFile.h"
#include "filbertvane/observe/RequestStory.h"
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace filbertvane::program {

namespace {

struct Question {
  std::string RequestId;
  std::vector<std::string> Files;
  bool Json = false;
};

std::optional<Question> readQuestion(int Count, char *Values[]) {
  try {
    TCLAP::CmdLine Line("Prints what logs say of one request", ' ', "0.1");
    Line.setExceptionHandling(false);
    TCLAP::UnlabeledValueArg<std::string> Command("command", "explain", true,
                                                  "", "command", Line);
    TCLAP::UnlabeledValueArg<std::string> Id("id", "id of the request", true,
                                             "", "ID", Line);
    TCLAP::UnlabeledMultiArg<std::string> Files(
        "log", "logs of processes; standard input without any", false, "LOG",
        Line);
    TCLAP::SwitchArg Json("", "json", "for programs", Line);
    Line.parse(Count, Values);
    return Question{Id.getValue(), Files.getValue(), Json.getValue()};
  } catch (const TCLAP::ArgException &Fault) {
    fmt::print(stderr, "{} {}\n", Fault.error(), Fault.argId());
  } catch (const TCLAP::ExitException &) {
  }
  fmt::print(stderr, "usage: filbertvane explain [--json] ID [LOG...]\n");
  return std::nullopt;
}

std::string readAll(std::istream &Input) {
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

} // namespace

ExitCode explain(int Count, char *Values[]) {
  const auto Asked = readQuestion(Count, Values);
  if (!Asked)
    return Usage;
  std::vector<std::string> Logs;
  for (const std::string &Name : Asked->Files) {
    std::ifstream File(Name, std::ios::binary);
    if (!File) {
      fmt::print(stderr, "{}: cannot be read\n", Name);
      return RefusedWithReason;
    }
    Logs.push_back(readAll(File));
  }
  if (Asked->Files.empty())
    Logs.push_back(readAll(std::cin));
  const auto Story = observe::collectStory(Asked->RequestId, Logs);
  fmt::print("{}", Asked->Json ? observe::storyJson(Story)
                               : observe::storyText(Story));
  return Story.Steps.empty() ? RefusedWithReason : Done;
}

} // namespace filbertvane::program
