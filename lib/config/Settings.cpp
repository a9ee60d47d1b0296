#include "filbertvane/config/Settings.h"
#include "Address.h"
#include "YamlReader.h"
#include "filbertvane/config/TextFile.h"
#include <fmt/format.h>

namespace filbertvane::config {

namespace {

using core::ErrorCode;
using Need = YamlReader::Need;

constexpr YamlReader::Codes SettingsCodes{ErrorCode::SettingsSyntax,
                                          ErrorCode::SettingsFieldInvalid,
                                          ErrorCode::SettingsUnknownKey};
/// A shorter retention leaves no time for a snapshot before half of it.
constexpr YamlReader::Range RetentionSeconds{10, 31536000};
constexpr YamlReader::Range DrainMillis{1000, 3600000};
/// A shorter key could be guessed by trying.
constexpr std::size_t MinSharedKeyBytes = 16;
constexpr const char *ReachableRule =
    "must be ip:port that other nodes can reach";
/// Records carry names of at most 64 bytes, in which a node's id is followed by
/// the number of its start.
constexpr std::size_t MaxIdBytes = 40;

/// Reads the settings' sections; `Node` tells which fields a node needs.
class SettingsSections {
public:
  SettingsSections(YamlReader &Reader, const YamlMap &Root, Need Node)
      : Reader(Reader), Root(Root), Node(Node) {}

  Settings read() {
    readNode();
    readListen();
    readAdvertise();
    readLog();
    readSeeds();
    readSharedKey();
    readTraces();
    const auto Drain =
        Reader.number(Root, "drain_deadline_ms", DrainMillis, Need::Optional);
    if (Drain)
      Out.DrainDeadline = core::Milliseconds(*Drain);
    checkRegions();
    return std::move(Out);
  }

private:
  using Form = bool (*)(const std::string &);

  void readNode() {
    const auto Map =
        Reader.map(Root, "node", {"id", "data_centre", "region"}, Node);
    if (!Map)
      return;
    Out.Node.Id = core::NodeId(name(*Map, "id"));
    Out.Node.DataCentre = core::DataCentreId(name(*Map, "data_centre"));
    Out.Node.Region = core::RegionId(name(*Map, "region"));
  }

  void readListen() {
    const auto Map = Reader.map(Root, "listen",
                                {"callers", "peers", "control", "admin"}, Node);
    if (!Map)
      return;
    Out.Listen.Callers =
        address(*Map, "callers", Node, isAddress, "must be ip:port");
    Out.Listen.Peers =
        address(*Map, "peers", Node, isAddress, "must be ip:port");
    Out.Listen.Control =
        address(*Map, "control", Node, isAddress, "must be ip:port");
    Out.Listen.Admin = address(*Map, "admin", Node, isLoopback,
                               "must be ip:port on the loopback interface");
  }

  void readAdvertise() {
    const auto Map =
        Reader.map(Root, "advertise", {"peers", "control", "other_regions"},
                   Need::Optional);
    const YamlMap Absent{YAML::Node(YAML::NodeType::Map), "advertise"};
    Out.Advertise.Peers =
        advertised(Map.value_or(Absent), "peers", Out.Listen.Peers);
    Out.Advertise.Control =
        advertised(Map.value_or(Absent), "control", Out.Listen.Control);
    const std::string Stated =
        address(Map.value_or(Absent), "other_regions", Need::Optional,
                isReachable, ReachableRule);
    Out.Advertise.OtherRegions =
        Stated.empty() ? Out.Advertise.Control : Stated;
  }

  /// Address for other nodes, by default the one that is listened on.
  std::string advertised(const YamlMap &Map, const std::string &Key,
                         const std::string &Listen) {
    const std::string Stated =
        address(Map, Key, Need::Optional, isReachable, ReachableRule);
    if (Stated.empty() && isAddress(Listen) && !isReachable(Listen))
      Reader.fieldFault(
          "listen." + Key,
          fmt::format("{}, or state advertise.{}", ReachableRule, Key));
    return Stated.empty() ? Listen : Stated;
  }

  void readLog() {
    const auto Map =
        Reader.map(Root, "log", {"url", "retention_s"}, Need::Required);
    if (!Map)
      return;
    Out.LogUrl = Reader.text(*Map, "url", Need::Required).value_or("");
    if (!Out.LogUrl.empty() && !isHttpUrl(Out.LogUrl, false))
      Reader.fieldFault("log.url", "must be http://ip:port");
    const auto Retention =
        Reader.number(*Map, "retention_s", RetentionSeconds, Need::Required);
    Out.LogRetention = core::Seconds(Retention.value_or(0));
  }

  void readSeeds() {
    const auto List =
        Reader.list(Root, "seeds", {"data_centre", "region", "control"}, Node);
    for (const YamlMap &Map : List) {
      Seed Each;
      Each.DataCentre = core::DataCentreId(name(Map, "data_centre"));
      Each.Region = core::RegionId(name(Map, "region"));
      Each.Control = address(Map, "control", Need::Required, isReachable,
                             "must be ip:port of a node's control address");
      Out.Seeds.push_back(std::move(Each));
    }
  }

  void readSharedKey() {
    Out.SharedKey = Reader.text(Root, "shared_key", Node).value_or("");
    if (!Out.SharedKey.empty() && Out.SharedKey.size() < MinSharedKeyBytes)
      Reader.fieldFault("shared_key", fmt::format("must have at least {} bytes",
                                                  MinSharedKeyBytes));
  }

  void readTraces() {
    const auto Map = Reader.map(Root, "traces", {"url"}, Need::Optional);
    if (!Map)
      return;
    Out.TracesUrl = Reader.text(*Map, "url", Need::Required);
    if (Out.TracesUrl && !isHttpUrl(*Out.TracesUrl, true))
      Reader.fieldFault("traces.url", "must be http://ip:port/path");
  }

  /// A data centre belongs to one region.
  void checkRegions() {
    std::map<core::DataCentreId, core::RegionId> Known;
    if (!Out.Node.DataCentre.value().empty())
      Known.emplace(Out.Node.DataCentre, Out.Node.Region);
    for (std::size_t I = 0; I < Out.Seeds.size(); ++I) {
      const Seed &Each = Out.Seeds[I];
      const auto [Entry, IsNew] = Known.emplace(Each.DataCentre, Each.Region);
      const std::string Path = fmt::format("seeds[{}].region", I);
      if (!IsNew && Entry->second != Each.Region && !Reader.isFaulty(Path))
        Reader.fieldFault(Path, fmt::format("data centre {} is also in "
                                            "region {}",
                                            Each.DataCentre.value(),
                                            Entry->second.value()));
    }
  }

  std::string name(const YamlMap &Map, std::string_view Key) {
    std::string Name = Reader.text(Map, Key, Need::Required).value_or("");
    if (Name.size() > MaxIdBytes)
      Reader.fieldFault(Map.pathOf(Key),
                        fmt::format("longer than {} bytes", MaxIdBytes));
    return Name;
  }

  std::string address(const YamlMap &Map, std::string_view Key, Need Presence,
                      Form HasForm, const char *Rule) {
    const auto Text = Reader.text(Map, Key, Presence);
    if (Text && !HasForm(*Text))
      Reader.fieldFault(Map.pathOf(Key), Rule);
    return Text.value_or("");
  }

  YamlReader &Reader;
  const YamlMap &Root;
  Need Node;
  Settings Out;
};

} // namespace

ValidationResult<Settings> parseSettings(const std::string &Text,
                                         const std::string &File,
                                         SettingsConsumer Reader) {
  YamlReader Yaml(File, SettingsCodes);
  const auto Root =
      Yaml.document(Text, {"node", "listen", "advertise", "log", "seeds",
                           "shared_key", "traces", "drain_deadline_ms"});
  if (!Root)
    return Yaml.faults();
  const Need Node =
      Reader == SettingsConsumer::Node ? Need::Required : Need::Optional;
  Settings Configured = SettingsSections(Yaml, *Root, Node).read();
  if (Yaml.hasFaults())
    return Yaml.faults();
  return Configured;
}

ValidationResult<Settings> loadSettings(const std::string &File,
                                        SettingsConsumer Reader) {
  const auto Text = readTextFile(File, ErrorCode::SettingsUnreadable);
  if (!core::ok(Text))
    return ErrorList{core::failure(Text)};
  return parseSettings(core::value(Text), File, Reader);
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
