#ifndef FILBERTVANE_CONFIG_SETTINGS_H
#define FILBERTVANE_CONFIG_SETTINGS_H

#include "filbertvane/config/ValidationResult.h"
#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertvane::config {

/// @brief Place of a node.
struct NodeIdentity {
  core::NodeId Id;
  core::DataCentreId DataCentre;
  core::RegionId Region;

  friend auto operator<=>(const NodeIdentity &, const NodeIdentity &) = default;
};

/// @brief Addresses of a node, each `ip:port`.
struct ListenAddresses {
  std::string Callers;
  std::string Peers;
  std::string Control;
  std::string Admin;

  friend auto operator<=>(const ListenAddresses &,
                          const ListenAddresses &) = default;
};

/// @brief Addresses that other nodes use, each `ip:port`.
struct AdvertisedAddresses {
  std::string Peers;
  std::string Control;
  /// Control address for nodes of other regions.
  std::string OtherRegions;

  friend auto operator<=>(const AdvertisedAddresses &,
                          const AdvertisedAddresses &) = default;
};

/// @brief A node that may be asked for the members of its data centre.
struct Seed {
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// Control address, `ip:port`.
  std::string Control;

  friend auto operator<=>(const Seed &, const Seed &) = default;
};

/// Time that requests in progress have to end before a planned stop.
inline constexpr core::Milliseconds DefaultDrainDeadline{30000};

/// @brief Settings of a node or of the command line (docs/settings.md).
struct Settings {
  NodeIdentity Node;
  ListenAddresses Listen;
  /// Equal to the listening addresses when the file does not state others.
  AdvertisedAddresses Advertise;
  /// `http://ip:port` of the platform log.
  std::string LogUrl;
  /// Time for which the log keeps a record.
  core::Seconds LogRetention{};
  std::vector<Seed> Seeds;
  std::string SharedKey;
  /// OTLP endpoint for trace spans; none sends no spans.
  std::optional<std::string> TracesUrl;
  core::Milliseconds DrainDeadline = DefaultDrainDeadline;

  friend auto operator<=>(const Settings &, const Settings &) = default;
};

/// @brief Who reads the settings. The command line needs only `log` and, for
///        `status`, `listen.admin`; other keys are checked when present.
enum class SettingsConsumer { Node, CommandLine };

/// @brief Reads settings and checks them as a whole.
/// @param Text content of the file
/// @param File name for the faults
/// @return the settings, or all faults
ValidationResult<Settings> parseSettings(const std::string &Text,
                                         const std::string &File,
                                         SettingsConsumer Reader);

/// @brief Reads a settings file.
/// @return as `parseSettings`, or `SettingsUnreadable`
ValidationResult<Settings> loadSettings(const std::string &File,
                                        SettingsConsumer Reader);

/// @brief Region of each data centre that the settings name.
std::map<core::DataCentreId, core::RegionId>
regionsOf(const Settings &Configured);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SETTINGS_H
