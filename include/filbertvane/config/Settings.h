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

/// @brief Id and location of a node.
struct NodeIdentity {
  core::NodeId Id;
  core::DataCentreId DataCentre;
  core::RegionId Region;

  friend auto operator<=>(const NodeIdentity &, const NodeIdentity &) = default;
};

/// @brief Addresses on which a node listens, each `ip:port`.
struct ListenAddresses {
  std::string Callers;
  std::string Peers;
  std::string Control;
  std::string Admin;

  friend auto operator<=>(const ListenAddresses &,
                          const ListenAddresses &) = default;
};

/// @brief Addresses at which other nodes reach this node, each `ip:port`.
struct AdvertisedAddresses {
  std::string Peers;
  std::string Control;
  /// Control address for nodes of other regions.
  std::string OtherRegions;

  friend auto operator<=>(const AdvertisedAddresses &,
                          const AdvertisedAddresses &) = default;
};

/// @brief A known node from which a starting node learns the members of a
///        data centre.
struct Seed {
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// Control address, `ip:port`.
  std::string Control;

  friend auto operator<=>(const Seed &, const Seed &) = default;
};

/// Time for which a graceful shutdown waits for requests in progress.
inline constexpr core::Milliseconds DefaultDrainDeadline{30000};

/// @brief Settings of a node or of the command-line tool (docs/settings.md).
struct Settings {
  NodeIdentity Node;
  ListenAddresses Listen;
  /// Default to the listening addresses.
  AdvertisedAddresses Advertise;
  /// `http://ip:port` of the platform log.
  std::string LogUrl;
  /// Time for which the platform log keeps a record.
  core::Seconds LogRetention{};
  std::vector<Seed> Seeds;
  std::string SharedKey;
  /// OTLP endpoint for trace spans; without it none are exported.
  std::optional<std::string> TracesUrl;
  core::Milliseconds DrainDeadline = DefaultDrainDeadline;

  friend auto operator<=>(const Settings &, const Settings &) = default;
};

/// @brief Program that reads the settings. The command-line tool needs only
///        `log` and, for `status`, `listen.admin`; other keys are validated
///        when present.
enum class SettingsConsumer { Node, CommandLine };

/// @brief Parses and validates settings.
/// @param Text content of the file
/// @param File file name for error details
/// @return the settings, or all errors
ValidationResult<Settings> parseSettings(const std::string &Text,
                                         const std::string &File,
                                         SettingsConsumer Consumer);

/// @brief Reads, parses and validates a settings file.
/// @return as `parseSettings`, or `SettingsUnreadable`
ValidationResult<Settings> loadSettings(const std::string &File,
                                        SettingsConsumer Consumer);

/// @brief Region of each data centre named in the settings.
std::map<core::DataCentreId, core::RegionId>
regionsOf(const Settings &Configured);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SETTINGS_H
