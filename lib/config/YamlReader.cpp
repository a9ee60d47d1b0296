#include "YamlReader.h"
#include "YamlDocuments.h"
#include "filbertvane/config/Rfc3339.h"
#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <set>

namespace filbertvane::config {

std::string YamlMap::pathOf(std::string_view Key) const {
  return Path.empty() ? std::string(Key) : fmt::format("{}.{}", Path, Key);
}

std::optional<YamlMap> YamlReader::document(const std::string &Text,
                                            Keys Known) {
  try {
    const YAML::Node Document = YAML::Load(Text);
    if (Document.IsNull() || hasSecondDocument(Text)) {
      addError(Codes.Syntax, "", "must hold one YAML document");
      return std::nullopt;
    }
    YamlMap Root{Document, ""};
    if (checkMap(Root, Known))
      return Root;
  } catch (const YAML::Exception &Failure) {
    const int Line = Failure.mark.is_null() ? 1 : Failure.mark.line + 1;
    LineByPath[""] = Line;
    addError(Codes.Syntax, "", Failure.msg);
  }
  return std::nullopt;
}

std::optional<YamlMap> YamlReader::map(const YamlMap &Parent,
                                       std::string_view Key, Keys Known,
                                       FieldPresence Presence) {
  const auto Found = find(Parent, Key, Presence);
  if (!Found)
    return std::nullopt;
  YamlMap Child{*Found, Parent.pathOf(Key)};
  if (!checkMap(Child, Known))
    return std::nullopt;
  return Child;
}

std::vector<YamlMap> YamlReader::list(const YamlMap &Parent,
                                      std::string_view Key, Keys Known,
                                      FieldPresence Presence) {
  const auto Found = find(Parent, Key, Presence);
  if (!Found)
    return {};
  if (!Found->IsSequence()) {
    addFieldError(Parent.pathOf(Key), "must be a list");
    return {};
  }
  std::vector<YamlMap> Items;
  for (std::size_t I = 0; I < Found->size(); ++I) {
    YamlMap Item{(*Found)[I], fmt::format("{}[{}]", Parent.pathOf(Key), I)};
    // Replaces an item that is not a mapping by an empty mapping, so that the
    // indices of later items match those in the file.
    if (!checkMap(Item, Known))
      Item.Node = YAML::Node(YAML::NodeType::Map);
    Items.push_back(std::move(Item));
  }
  return Items;
}

std::optional<std::string> YamlReader::text(const YamlMap &Parent,
                                            std::string_view Key,
                                            FieldPresence Presence) {
  auto Value = scalar(Parent, Key, Presence);
  if (Value && Value->empty()) {
    addFieldError(Parent.pathOf(Key), "must not be empty");
    return std::nullopt;
  }
  return Value;
}

std::optional<std::int64_t> YamlReader::number(const YamlMap &Parent,
                                               std::string_view Key,
                                               Range Allowed,
                                               FieldPresence Presence) {
  const auto Value = scalar(Parent, Key, Presence);
  if (!Value)
    return std::nullopt;
  std::int64_t Number = 0;
  const char *End = Value->data() + Value->size();
  const auto [Rest, Problem] = std::from_chars(Value->data(), End, Number);
  const bool IsNumber = Problem == std::errc() && Rest == End;
  if (IsNumber && Number >= Allowed.Min && Number <= Allowed.Max)
    return Number;
  addFieldError(Parent.pathOf(Key),
                fmt::format("must be a whole number between {} and {}",
                            Allowed.Min, Allowed.Max));
  return std::nullopt;
}

std::optional<bool> YamlReader::boolean(const YamlMap &Parent,
                                        std::string_view Key,
                                        FieldPresence Presence) {
  const auto Value = scalar(Parent, Key, Presence);
  if (!Value)
    return std::nullopt;
  if (*Value == "true" || *Value == "false")
    return *Value == "true";
  addFieldError(Parent.pathOf(Key), "must be true or false");
  return std::nullopt;
}

std::optional<core::WallTime> YamlReader::time(const YamlMap &Parent,
                                               std::string_view Key,
                                               FieldPresence Presence) {
  const auto Value = scalar(Parent, Key, Presence);
  if (!Value)
    return std::nullopt;
  const auto Time = parseRfc3339(*Value);
  if (!Time)
    addFieldError(Parent.pathOf(Key), "must be an RFC 3339 time in UTC, for "
                                      "example 2026-12-04T10:00:00Z");
  return Time;
}

void YamlReader::addError(core::ErrorCode Code, const std::string &Path,
                          const std::string &Text) {
  const auto Known = LineByPath.find(Path);
  const int Line = Known == LineByPath.end() ? 1 : Known->second;
  const std::string Field = Path.empty() ? "" : Path + ": ";
  Errors.push_back(
      {Line,
       Path,
       {Code, fmt::format("{}:{}: {}{}", File, Line, Field, Text)}});
}

bool YamlReader::hasError(const std::string &Path) const {
  return std::any_of(
      Errors.begin(), Errors.end(),
      [&](const LocatedError &Each) { return Each.Path == Path; });
}

ErrorList YamlReader::errors() const {
  std::vector<LocatedError> Sorted = Errors;
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const LocatedError &A, const LocatedError &B) {
                     return A.Line < B.Line;
                   });
  ErrorList Out;
  for (LocatedError &Each : Sorted)
    Out.push_back(std::move(Each.Reason));
  return Out;
}

std::optional<YAML::Node> YamlReader::find(const YamlMap &Parent,
                                           std::string_view Key,
                                           FieldPresence Presence) {
  const std::string Path = Parent.pathOf(Key);
  for (const auto &Entry : Parent.Node) {
    if (!Entry.first.IsScalar() || Entry.first.Scalar() != Key)
      continue;
    recordLine(Path, Entry.first);
    return Entry.second;
  }
  if (Presence == FieldPresence::Required) {
    recordLine(Path, Parent.Node);
    // The error of an invalid parent is reported once, not for each field.
    if (!hasError(Parent.Path) || Parent.Path.empty())
      addFieldError(Path, "is missing");
  }
  return std::nullopt;
}

std::optional<std::string> YamlReader::scalar(const YamlMap &Parent,
                                              std::string_view Key,
                                              FieldPresence Presence) {
  const auto Found = find(Parent, Key, Presence);
  if (!Found)
    return std::nullopt;
  if (Found->IsScalar())
    return Found->Scalar();
  addFieldError(Parent.pathOf(Key),
                Found->IsNull() ? "has no value" : "must be a single value");
  return std::nullopt;
}

bool YamlReader::checkMap(const YamlMap &Candidate, Keys Known) {
  recordLine(Candidate.Path, Candidate.Node);
  if (!Candidate.Node.IsMap()) {
    addFieldError(Candidate.Path, "must be a mapping");
    return false;
  }
  std::set<std::string> Seen;
  for (const auto &Entry : Candidate.Node) {
    checkKey(Candidate, Entry.first, Known);
    if (!Entry.first.IsScalar() || Seen.insert(Entry.first.Scalar()).second)
      continue;
    recordLine(Candidate.pathOf(Entry.first.Scalar()), Entry.first);
    addFieldError(Candidate.pathOf(Entry.first.Scalar()), "is given twice");
  }
  return true;
}

void YamlReader::checkKey(const YamlMap &Parent, const YAML::Node &Key,
                          Keys Known) {
  const std::string Name = Key.IsScalar() ? Key.Scalar() : "(not a name)";
  if (std::find(Known.begin(), Known.end(), Name) != Known.end())
    return;
  recordLine(Parent.pathOf(Name), Key);
  addError(Codes.UnknownKey, Parent.pathOf(Name), "is not a known key");
}

void YamlReader::recordLine(const std::string &Path, const YAML::Node &Node) {
  const YAML::Mark Mark = Node.Mark();
  LineByPath[Path] = Mark.is_null() ? 1 : Mark.line + 1;
}

} // namespace filbertvane::config
