#include "filbertvane/config/Settings.h"
#include "filbertvane/config/SheetParser.h"
#include "filbertvane/config/TextFile.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::config;

namespace {

const std::string Folder =
    std::string(FILBERTVANE_SCENARIOS) + "/../../examples/";

std::string firstOf(const ErrorList &Found) {
  return Found.empty() ? "" : core::toString(Found.front());
}

} // namespace

// Guards against published examples that the program refuses.
Test(examples, the_example_sheet_is_valid) {
  const std::string File = Folder + "sheet.yaml";
  const auto Text = readTextFile(File, core::ErrorCode::SheetUnreadable);
  cr_assert(core::ok(Text));
  const auto Parsed = parseSheet(core::value(Text), File);
  const auto *Found = std::get_if<ErrorList>(&Parsed);
  const std::string Error = Found ? firstOf(*Found) : "";
  cr_assert(!Found, "%s", Error.c_str());
}

Test(examples, the_example_settings_are_valid) {
  const auto Read =
      loadSettings(Folder + "settings.yaml", SettingsConsumer::Node);
  const auto *Found = std::get_if<ErrorList>(&Read);
  const std::string Error = Found ? firstOf(*Found) : "";
  cr_assert(!Found, "%s", Error.c_str());
}
