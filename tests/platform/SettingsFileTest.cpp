#include "platform/SettingsFile.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
using std::chrono::milliseconds;

namespace {

const std::string Whole = "node_id=side-1\n"
                          "zone=dc-a\n"
                          "region=r1\n"
                          "ip=10.1.0.8\n"
                          "listen.outbound=10.1.0.8:8304\n"
                          "listen.inbound=10.1.0.8:8300\n"
                          "listen.ready=10.1.0.8:8302\n"
                          "listen.control=10.1.0.8:8306\n"
                          "internal_ports=7620,7635\n"
                          "app_addr=10.1.0.8:8301\n"
                          "service=shop\n"
                          "bounds.retry_budget_ratio=0.2\n"
                          "bounds.budget_slack=64\n"
                          "bounds.budget_window=10s\n"
                          "bounds.grace=6s\n"
                          "limits.max_fds=4100\n"
                          "platform.address=10.200.1.7:8309\n"
                          "some.new.field=of another release\n";

std::string with(const std::string &Line) { return Whole + Line + "\n"; }

} // namespace

// Guards against settings that are misread.
Test(platform_settings, known_fields_are_read_and_unknown_ones_ignored) {
  const auto Read = platform::parseSettings(Whole);
  cr_assert(core::ok(Read));
  const io::mesh::MeshPlace &Place = core::value(Read).Place;
  cr_assert(Place.Callers == "10.1.0.8:8304");
  cr_assert(Place.Peers == "10.1.0.8:8300");
  cr_assert(Place.InternalPort == 7620);
  cr_assert(Place.Budget.Window == milliseconds(10000));
  cr_assert(Place.Budget.Slack == 64);
  cr_assert(Place.StopTime == milliseconds(6000));
  cr_assert(!Place.TargetDrainTime);
  const auto Newer = platform::parseSettings(with("bounds.drain=2500ms"));
  cr_assert(core::value(Newer).Place.TargetDrainTime == milliseconds(2500));
  cr_assert(!Place.ConfigurationTime);
  const auto Timed = platform::parseSettings(with("bounds.config_apply=3s"));
  cr_assert(core::value(Timed).Place.ConfigurationTime == milliseconds(3000));
  cr_assert(core::value(Read).Store.Address == "10.200.1.7:8309");
}

// Guards against a node that starts with half of its settings.
Test(platform_settings, a_missing_or_wrong_field_is_named) {
  for (const char *Wrong :
       {"listen.inbound=10.1.0.8", "bounds.grace=6", "bounds.drain=soon",
        "bounds.config_apply=3", "bounds.budget_slack=many",
        "platform.address=", "internal_ports=none", "limits.max_fds=-1"}) {
    const auto Read = platform::parseSettings(with(Wrong));
    cr_assert(!core::ok(Read), "%s", Wrong);
    const std::string Name(Wrong, std::string(Wrong).find('='));
    cr_assert(core::failure(Read).Detail.starts_with(Name), "%s", Wrong);
  }
  cr_assert(!core::ok(platform::parseSettings("")));
}

// Guards against times that are off by their unit.
Test(platform_settings, times_have_a_unit) {
  cr_assert(platform::parseTime("1500ms") == milliseconds(1500));
  cr_assert(platform::parseTime("2.5s") == milliseconds(2500));
  for (const char *Wrong : {"", "5", "ms", "-1s", "1m", "1e99s", "nans", "1s "})
    cr_assert(!platform::parseTime(Wrong), "%s", Wrong);
}

// Guards against a process that ends on settings of another writer.
Test(platform_settings, any_text_is_read_or_refused) {
  cr_assert(rc::check([](const std::string &Text) {
    platform::parseSettings(Text);
    platform::parseTime(Text);
  }));
}
