#include "filbertvane/config/Settings.h"
#include "Address.h"
#include "YamlReader.h"
#include "filbertvane/config/TextFile.h"
#include <fmt/format.h>

namespace filbertvane::config {

namespace {

using core::ErrorCode;
using FieldPresence = YamlReader::FieldPresence;

constexpr YamlReader::ErrorCodes SettingsCodes{ErrorCode::SettingsSyntax,
                                               ErrorCode::SettingsFieldInvalid,
                                               ErrorCode::SettingsUnknownKey};
/// With a retention below 10 s, a snapshot could not be taken before half of
/// the retention has passed.
constexpr YamlReader::Range RetentionSeconds{10, 31536000};
constexpr YamlReader::Range DrainMillis{1000, 3600000};
/// A shorter key could be found by brute force.
constexpr std::size_t MinSharedKeyBytes = 16;
constexpr const char *ConnectableRule =
    "must be ip:port that other nodes can reach";
/// Log records limit names to 64 bytes, and append the incarnation number to
/// the id of a node.
constexpr std::size_t MaxIdBytes = 40;

/// Reads the sections of a settings file. `NodeFields` is the presence of the
/// fields that only a node needs.
class SettingsParser {
public:
  SettingsParser(YamlReader &Reader, const YamlMap &Root,
                 FieldPresence NodeFields)
      : Reader(Reader), Root(Root), NodeFields(NodeFields) {}

  Settings read() {
    readNode();
    readListen();
    readAdvertise();
    readLog();
    readSeeds();
    readSharedKey();
    readTraces();
    const auto Drain = Reader.number(Root, "drain_deadline_ms", DrainMillis,
                                     FieldPresence::Optional);
    if (Drain)
      Out.DrainDeadline = core::Milliseconds(*Drain);
    checkRegions();
    return std::move(Out);
  }

private:
  using AddressPredicate = bool (*)(const std::string &);

  void readNode() {
    const auto Map =
        Reader.map(Root, "node", {"id", "data_centre", "region"}, NodeFields);
    if (!Map)
      return;
    Out.Node.Id = core::NodeId(name(*Map, "id"));
    Out.Node.DataCentre = core::DataCentreId(name(*Map, "data_centre"));
    Out.Node.Region = core::RegionId(name(*Map, "region"));
  }

  void readListen() {
    const auto Map = Reader.map(
        Root, "listen", {"callers", "peers", "control", "admin"}, NodeFields);
    if (!Map)
      return;
    Out.Listen.Callers = address(*Map, "callers", NodeFields, isSocketAddress,
                                 "must be ip:port");
    Out.Listen.Peers =
        address(*Map, "peers", NodeFields, isSocketAddress, "must be ip:port");
    Out.Listen.Control = address(*Map, "control", NodeFields, isSocketAddress,
                                 "must be ip:port");
    Out.Listen.Admin = address(*Map, "admin", NodeFields, isLoopbackAddress,
                               "must be ip:port on the loopback interface");
  }

  void readAdvertise() {
    const auto Map =
        Reader.map(Root, "advertise", {"peers", "control", "other_regions"},
                   FieldPresence::Optional);
    const YamlMap Absent{YAML::Node(YAML::NodeType::Map), "advertise"};
    Out.Advertise.Peers =
        advertised(Map.value_or(Absent), "peers", Out.Listen.Peers);
    Out.Advertise.Control =
        advertised(Map.value_or(Absent), "control", Out.Listen.Control);
    const std::string Stated =
        address(Map.value_or(Absent), "other_regions", FieldPresence::Optional,
                isConnectableAddress, ConnectableRule);
    Out.Advertise.OtherRegions =
        Stated.empty() ? Out.Advertise.Control : Stated;
  }

  /// Advertised address; defaults to the listening address.
  std::string advertised(const YamlMap &Map, const std::string &Key,
                         const std::string &Listen) {
    const std::string Stated = address(Map, Key, FieldPresence::Optional,
                                       isConnectableAddress, ConnectableRule);
    if (Stated.empty() && isSocketAddress(Listen) &&
        !isConnectableAddress(Listen))
      Reader.addFieldError(
          "listen." + Key,
          fmt::format("{}, or state advertise.{}", ConnectableRule, Key));
    return Stated.empty() ? Listen : Stated;
  }

  void readLog() {
    const auto Map = Reader.map(Root, "log", {"url", "retention_s"},
                                FieldPresence::Required);
    if (!Map)
      return;
    Out.LogUrl = Reader.text(*Map, "url", FieldPresence::Required).value_or("");
    if (!Out.LogUrl.empty() && !isHttpUrl(Out.LogUrl, false))
      Reader.addFieldError("log.url", "must be http://ip:port");
    const auto Retention = Reader.number(*Map, "retention_s", RetentionSeconds,
                                         FieldPresence::Required);
    Out.LogRetention = core::Seconds(Retention.value_or(0));
  }

  void readSeeds() {
    const auto List = Reader.list(
        Root, "seeds", {"data_centre", "region", "control"}, NodeFields);
    for (const YamlMap &Map : List) {
      Seed Each;
      Each.DataCentre = core::DataCentreId(name(Map, "data_centre"));
      Each.Region = core::RegionId(name(Map, "region"));
      Each.Control =
          address(Map, "control", FieldPresence::Required, isConnectableAddress,
                  "must be ip:port of a node's control address");
      Out.Seeds.push_back(std::move(Each));
    }
  }

  void readSharedKey() {
    Out.SharedKey = Reader.text(Root, "shared_key", NodeFields).value_or("");
    if (!Out.SharedKey.empty() && Out.SharedKey.size() < MinSharedKeyBytes)
      Reader.addFieldError(
          "shared_key",
          fmt::format("must have at least {} bytes", MinSharedKeyBytes));
  }

  void readTraces() {
    const auto Map =
        Reader.map(Root, "traces", {"url"}, FieldPresence::Optional);
    if (!Map)
      return;
    Out.TracesUrl = Reader.text(*Map, "url", FieldPresence::Required);
    if (Out.TracesUrl && !isHttpUrl(*Out.TracesUrl, true))
      Reader.addFieldError("traces.url", "must be http://ip:port/path");
  }

  /// Checks that each data centre belongs to one region only.
  void checkRegions() {
    std::map<core::DataCentreId, core::RegionId> Known;
    if (!Out.Node.DataCentre.value().empty())
      Known.emplace(Out.Node.DataCentre, Out.Node.Region);
    for (std::size_t I = 0; I < Out.Seeds.size(); ++I) {
      const Seed &Each = Out.Seeds[I];
      const auto [Entry, IsNew] = Known.emplace(Each.DataCentre, Each.Region);
      const std::string Path = fmt::format("seeds[{}].region", I);
      if (!IsNew && Entry->second != Each.Region && !Reader.hasError(Path))
        Reader.addFieldError(Path, fmt::format("data centre {} is also in "
                                               "region {}",
                                               Each.DataCentre.value(),
                                               Entry->second.value()));
    }
  }

  std::string name(const YamlMap &Map, std::string_view Key) {
    std::string Name =
        Reader.text(Map, Key, FieldPresence::Required).value_or("");
    if (Name.size() > MaxIdBytes)
      Reader.addFieldError(Map.pathOf(Key),
                           fmt::format("longer than {} bytes", MaxIdBytes));
    return Name;
  }

  std::string address(const YamlMap &Map, std::string_view Key,
                      FieldPresence Presence, AddressPredicate IsValid,
                      const char *Rule) {
    const auto Text = Reader.text(Map, Key, Presence);
    if (Text && !IsValid(*Text))
      Reader.addFieldError(Map.pathOf(Key), Rule);
    return Text.value_or("");
  }

  YamlReader &Reader;
  const YamlMap &Root;
  FieldPresence NodeFields;
  Settings Out;
};

} // namespace

ValidationResult<Settings> parseSettings(const std::string &Text,
                                         const std::string &File,
                                         SettingsConsumer Consumer) {
  YamlReader Yaml(File, SettingsCodes);
  const auto Root =
      Yaml.document(Text, {"node", "listen", "advertise", "log", "seeds",
                           "shared_key", "traces", "drain_deadline_ms"});
  if (!Root)
    return Yaml.errors();
  const FieldPresence NodeFields = Consumer == SettingsConsumer::Node
                                       ? FieldPresence::Required
                                       : FieldPresence::Optional;
  Settings Configured = SettingsParser(Yaml, *Root, NodeFields).read();
  if (Yaml.hasErrors())
    return Yaml.errors();
  return Configured;
}

ValidationResult<Settings> loadSettings(const std::string &File,
                                        SettingsConsumer Consumer) {
  const auto Text = readTextFile(File, ErrorCode::SettingsUnreadable);
  if (!core::ok(Text))
    return ErrorList{core::failure(Text)};
  return parseSettings(core::value(Text), File, Consumer);
}

std::map<core::DataCentreId, core::RegionId>
regionsOf(const Settings &Configured) {
  std::map<core::DataCentreId, core::RegionId> Regions;
  Regions.emplace(Configured.Node.DataCentre, Configured.Node.Region);
  for (const Seed &Each : Configured.Seeds)
    Regions.emplace(Each.DataCentre, Each.Region);
  return Regions;
}

} // namespace filbertvane::config
