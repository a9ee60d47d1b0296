#ifndef FILBERTVANE_LIB_CONFIG_YAMLREADER_H
#define FILBERTVANE_LIB_CONFIG_YAMLREADER_H

#include "filbertvane/config/ValidationResult.h"
#include "filbertvane/core/Time.h"
#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <yaml-cpp/yaml.h>

namespace filbertvane::config {

/// @brief A mapping of a YAML file with its path, for example `services[0]`.
struct YamlMap {
  YAML::Node Node;
  std::string Path;

  /// @brief Path of one of its fields.
  std::string pathOf(std::string_view Key) const;
};

/// @brief Reads fields of a YAML file and collects all faults.
///
/// A reader that fails notes the fault and yields a neutral value, so that the
/// fields after it are checked as well.
class YamlReader {
public:
  struct Codes {
    core::ErrorCode Syntax;
    core::ErrorCode Field;
    core::ErrorCode UnknownKey;
  };
  enum class Need { Required, Optional };
  struct Range {
    std::int64_t Min;
    std::int64_t Max;
  };
  using Keys = std::initializer_list<std::string_view>;

  YamlReader(std::string File, Codes Numbers)
      : File(std::move(File)), Numbers(Numbers) {}

  /// @name Structure
  /// @{
  /// @brief Parses the file; its one document must be a mapping.
  std::optional<YamlMap> document(const std::string &Text, Keys Known);
  /// @brief A mapping below a key.
  std::optional<YamlMap> map(const YamlMap &Parent, std::string_view Key,
                             Keys Known, Need Presence);
  /// @brief The mappings of a list below a key.
  std::vector<YamlMap> list(const YamlMap &Parent, std::string_view Key,
                            Keys Known, Need Presence);
  /// @}

  /// @name Values
  /// @{
  std::optional<std::string> text(const YamlMap &Parent, std::string_view Key,
                                  Need Presence);
  std::optional<std::int64_t> number(const YamlMap &Parent,
                                     std::string_view Key, Range Allowed,
                                     Need Presence);
  std::optional<bool> flag(const YamlMap &Parent, std::string_view Key,
                           Need Presence);
  std::optional<core::WallTime> time(const YamlMap &Parent,
                                     std::string_view Key, Need Presence);
  /// @}

  /// @name Faults
  /// @{
  /// @brief Notes a fault of a field that was read before.
  void fault(core::ErrorCode Code, const std::string &Path,
             const std::string &Text);
  void fieldFault(const std::string &Path, const std::string &Text) {
    fault(Numbers.Field, Path, Text);
  }
  /// @brief Whether a field has a fault already.
  bool isFaulty(const std::string &Path) const;
  bool hasFaults() const { return !Noted.empty(); }
  /// @brief All faults in the order of their lines.
  ErrorList faults() const;
  /// @}

private:
  std::optional<YAML::Node> find(const YamlMap &Parent, std::string_view Key,
                                 Need Presence);
  std::optional<std::string> scalar(const YamlMap &Parent, std::string_view Key,
                                    Need Presence);
  bool checkMap(const YamlMap &Candidate, Keys Known);
  void checkKey(const YamlMap &Parent, const YAML::Node &Key, Keys Known);
  void noteLine(const std::string &Path, const YAML::Node &Node);

  struct Entry {
    int Line;
    std::string Path;
    core::Error Reason;
  };

  std::string File;
  Codes Numbers;
  std::map<std::string, int> LineOf;
  std::vector<Entry> Noted;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_YAMLREADER_H
