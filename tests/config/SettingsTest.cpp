#include "filbertvane/config/Settings.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::config;

namespace {

const std::string Valid = R"(node: {id: n1, data_centre: d1, region: west}
listen:
  callers: 0.0.0.0:8080
  peers: 10.0.0.1:8081
  control: "[fd00::1]:8082"
  admin: 127.0.0.1:8083
log: {url: "http://10.0.9.1:9000", retention_s: 3600}
seeds:
  - {data_centre: d2, region: west, control: 10.0.1.1:8082}
  - {data_centre: d3, region: east, control: 10.0.2.1:8082}
shared_key: 0123456789abcdef
)";

std::string errorsIn(const std::string &Text, SettingsConsumer Consumer) {
  const auto Parsed = parseSettings(Text, "n.yaml", Consumer);
  std::string Out;
  if (const auto *Found = std::get_if<ErrorList>(&Parsed))
    for (const core::Error &Each : *Found)
      Out += std::to_string(static_cast<int>(Each.Code)) + " " + Each.Detail +
             "\n";
  return Out;
}

} // namespace

Test(settings, valid_settings_are_read_with_defaults) {
  const auto Parsed = parseSettings(Valid, "n.yaml", SettingsConsumer::Node);
  const auto *Read = std::get_if<Settings>(&Parsed);
  const std::string Errors = errorsIn(Valid, SettingsConsumer::Node);
  cr_assert(Read, "%s", Errors.c_str());
  cr_assert(Read->Node ==
            (NodeIdentity{core::NodeId("n1"), core::DataCentreId("d1"),
                          core::RegionId("west")}));
  cr_assert(Read->Listen.Control == "[fd00::1]:8082");
  cr_assert(Read->LogRetention == core::Seconds(3600));
  cr_assert(Read->DrainDeadline == core::Milliseconds(30000));
  cr_assert(!Read->TracesUrl);
  const auto Regions = regionsOf(*Read);
  cr_assert(Regions.size() == 3);
  cr_assert(Regions.at(core::DataCentreId("d2")) == core::RegionId("west"));
}

// Guards against a node that starts with missing settings, or that ignores a
// misspelt key.
Test(settings, all_faults_are_reported_with_line_and_field) {
  const std::string Found = errorsIn(R"(node: {id: n1, data_centre: d1}
listen:
  callers: localhost:8080
  peers: 0.0.0.0:8081
  control: 10.0.0.1:0
  admin: 10.0.0.1:8083
log: {url: "http://10.0.9.1:9000/x", retention_s: 1}
seeds:
  - {data_centre: d2, region: west, control: 10.0.1.1:8082}
  - {data_centre: d2, region: east, control: 10.0.2.1:8082}
shared_key: short
drain_deadline: 5
)",
                                     SettingsConsumer::Node);
  const std::string Expected =
      "103 n.yaml:1: node.region: is missing\n"
      "103 n.yaml:3: listen.callers: must be ip:port\n"
      "103 n.yaml:4: listen.peers: must be ip:port that other nodes can "
      "reach, or state advertise.peers\n"
      "103 n.yaml:5: listen.control: must be ip:port\n"
      "103 n.yaml:6: listen.admin: must be ip:port on the loopback interface\n"
      "103 n.yaml:7: log.url: must be http://ip:port\n"
      "103 n.yaml:7: log.retention_s: must be a whole number between 10 and "
      "31536000\n"
      "103 n.yaml:10: seeds[1].region: data centre d2 is also in region west\n"
      "103 n.yaml:11: shared_key: must have at least 16 bytes\n"
      "104 n.yaml:12: drain_deadline: is not a known key\n";
  cr_assert_str_eq(Found.c_str(), Expected.c_str());
}

// Guards against nodes that announce their listening address although others
// can reach them only through a proxy or address translation.
Test(settings, advertised_addresses_replace_the_listening_ones) {
  const auto Parsed =
      parseSettings(Valid + "advertise: {control: 10.9.9.9:1}\n", "n.yaml",
                    SettingsConsumer::Node);
  const auto *Read = std::get_if<Settings>(&Parsed);
  cr_assert(Read);
  cr_assert(Read->Advertise ==
            (AdvertisedAddresses{"10.0.0.1:8081", "10.9.9.9:1", "10.9.9.9:1"}));
}

// Guards against one wrong address that is reported as two errors.
Test(settings, a_listening_wildcard_needs_an_advertised_address) {
  std::string Text = Valid;
  const std::string Address = "[fd00::1]:8082";
  Text.replace(Text.find(Address), Address.size(), "0.0.0.0:8082");
  const std::string Found = errorsIn(Text, SettingsConsumer::Node);
  cr_assert_str_eq(Found.c_str(),
                   "103 n.yaml:5: listen.control: must be ip:port that other "
                   "nodes can reach, or state advertise.control\n");
}

Test(settings, the_command_line_needs_only_the_log) {
  const std::string LogOnly =
      "log: {url: \"http://127.0.0.1:9000\", retention_s: 60}\n";
  const std::string None = errorsIn(LogOnly, SettingsConsumer::CommandLine);
  cr_assert(None.empty(), "%s", None.c_str());
  const std::string Node = errorsIn(LogOnly, SettingsConsumer::Node);
  cr_assert_str_eq(Node.c_str(), "103 n.yaml:1: node: is missing\n"
                                 "103 n.yaml:1: listen: is missing\n"
                                 "103 n.yaml:1: seeds: is missing\n"
                                 "103 n.yaml:1: shared_key: is missing\n");
}

Test(settings, a_missing_file_is_reported) {
  const auto Read = loadSettings("/nonexistent/n.yaml", SettingsConsumer::Node);
  const auto *Found = std::get_if<ErrorList>(&Read);
  cr_assert(Found && Found->size() == 1);
  cr_assert(Found->front().Code == core::ErrorCode::SettingsUnreadable);
}
