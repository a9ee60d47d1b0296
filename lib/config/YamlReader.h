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

/// @brief A YAML mapping and its path in the file, for example `services[0]`.
struct YamlMap {
  YAML::Node Node;
  std::string Path;

  /// @brief Path of a field of the mapping.
  std::string pathOf(std::string_view Key) const;
};

/// @brief Reads fields of a YAML file and collects all errors.
///
/// A method that fails records the error and returns an empty value, so that
/// the remaining fields are checked as well.
class YamlReader {
public:
  struct ErrorCodes {
    core::ErrorCode Syntax;
    core::ErrorCode Field;
    core::ErrorCode UnknownKey;
  };
  enum class FieldPresence { Required, Optional };
  struct Range {
    std::int64_t Min;
    std::int64_t Max;
  };
  using Keys = std::initializer_list<std::string_view>;

  YamlReader(std::string File, ErrorCodes Codes)
      : File(std::move(File)), Codes(Codes) {}

  /// @name Structure
  /// @{
  /// @brief Parses the file, which must contain one document, a mapping.
  std::optional<YamlMap> document(const std::string &Text, Keys Known);
  /// @brief Mapping that is the value of a key.
  std::optional<YamlMap> map(const YamlMap &Parent, std::string_view Key,
                             Keys Known, FieldPresence Presence);
  /// @brief Mappings in the list that is the value of a key.
  std::vector<YamlMap> list(const YamlMap &Parent, std::string_view Key,
                            Keys Known, FieldPresence Presence);
  /// @}

  /// @name Values
  /// @{
  std::optional<std::string> text(const YamlMap &Parent, std::string_view Key,
                                  FieldPresence Presence);
  std::optional<std::int64_t> number(const YamlMap &Parent,
                                     std::string_view Key, Range Allowed,
                                     FieldPresence Presence);
  std::optional<bool> boolean(const YamlMap &Parent, std::string_view Key,
                              FieldPresence Presence);
  std::optional<core::WallTime>
  time(const YamlMap &Parent, std::string_view Key, FieldPresence Presence);
  /// @}

  /// @name Errors
  /// @{
  /// @brief Records an error of a field that was read before, with its line.
  void addError(core::ErrorCode Code, const std::string &Path,
                const std::string &Text);
  void addFieldError(const std::string &Path, const std::string &Text) {
    addError(Codes.Field, Path, Text);
  }
  /// @brief Whether an error was recorded for a field.
  bool hasError(const std::string &Path) const;
  bool hasErrors() const { return !Errors.empty(); }
  /// @brief All errors, ordered by line.
  ErrorList errors() const;
  /// @}

private:
  std::optional<YAML::Node> find(const YamlMap &Parent, std::string_view Key,
                                 FieldPresence Presence);
  std::optional<std::string> scalar(const YamlMap &Parent, std::string_view Key,
                                    FieldPresence Presence);
  bool checkMap(const YamlMap &Candidate, Keys Known);
  void checkKey(const YamlMap &Parent, const YAML::Node &Key, Keys Known);
  void recordLine(const std::string &Path, const YAML::Node &Node);

  struct LocatedError {
    int Line;
    std::string Path;
    core::Error Reason;
  };

  std::string File;
  ErrorCodes Codes;
  std::map<std::string, int> LineByPath;
  std::vector<LocatedError> Errors;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_YAMLREADER_H
