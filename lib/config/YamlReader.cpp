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
      fault(Numbers.Syntax, "", "must hold one YAML document");
      return std::nullopt;
    }
    YamlMap Root{Document, ""};
    if (checkMap(Root, Known))
      return Root;
  } catch (const YAML::Exception &Failure) {
    const int Line = Failure.mark.is_null() ? 1 : Failure.mark.line + 1;
    LineOf[""] = Line;
    fault(Numbers.Syntax, "", Failure.msg);
  }
  return std::nullopt;
}

std::optional<YamlMap> YamlReader::map(const YamlMap &Parent,
                                       std::string_view Key, Keys Known,
                                       Need Presence) {
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
                                      Need Presence) {
  const auto Found = find(Parent, Key, Presence);
  if (!Found)
    return {};
  if (!Found->IsSequence()) {
    fieldFault(Parent.pathOf(Key), "must be a list");
    return {};
  }
  std::vector<YamlMap> Items;
  for (std::size_t I = 0; I < Found->size(); ++I) {
    YamlMap Item{(*Found)[I], fmt::format("{}[{}]", Parent.pathOf(Key), I)};
    // An item that is not a mapping stays in the list as an empty one, so that
    // positions in the list and in the file agree.
    if (!checkMap(Item, Known))
      Item.Node = YAML::Node(YAML::NodeType::Map);
    Items.push_back(std::move(Item));
  }
  return Items;
}

std::optional<std::string>
YamlReader::text(const YamlMap &Parent, std::string_view Key, Need Presence) {
  auto Value = scalar(Parent, Key, Presence);
  if (Value && Value->empty()) {
    fieldFault(Parent.pathOf(Key), "must not be empty");
    return std::nullopt;
  }
  return Value;
}

std::optional<std::int64_t> YamlReader::number(const YamlMap &Parent,
                                               std::string_view Key,
                                               Range Allowed, Need Presence) {
  const auto Value = scalar(Parent, Key, Presence);
  if (!Value)
    return std::nullopt;
  std::int64_t Number = 0;
  const char *End = Value->data() + Value->size();
  const auto [Rest, Problem] = std::from_chars(Value->data(), End, Number);
  const bool IsNumber = Problem == std::errc() && Rest == End;
  if (IsNumber && Number >= Allowed.Min && Number <= Allowed.Max)
    return Number;
  fieldFault(Parent.pathOf(Key),
             fmt::format("must be a whole number between {} and {}",
                         Allowed.Min, Allowed.Max));
  return std::nullopt;
}

std::optional<bool> YamlReader::flag(const YamlMap &Parent,
                                     std::string_view Key, Need Presence) {
  const auto Value = scalar(Parent, Key, Presence);
  if (!Value)
    return std::nullopt;
  if (*Value == "true" || *Value == "false")
    return *Value == "true";
  fieldFault(Parent.pathOf(Key), "must be true or false");
  return std::nullopt;
}

std::optional<core::WallTime>
YamlReader::time(const YamlMap &Parent, std::string_view Key, Need Presence) {
  const auto Value = scalar(Parent, Key, Presence);
  if (!Value)
    return std::nullopt;
  const auto Time = parseRfc3339(*Value);
  if (!Time)
    fieldFault(Parent.pathOf(Key), "must be an RFC 3339 time in UTC, for "
                                   "example 2026-12-04T10:00:00Z");
  return Time;
}

void YamlReader::fault(core::ErrorCode Code, const std::string &Path,
                       const std::string &Text) {
  const auto Known = LineOf.find(Path);
  const int Line = Known == LineOf.end() ? 1 : Known->second;
  const std::string Field = Path.empty() ? "" : Path + ": ";
  Noted.push_back(
      {Line,
       Path,
       {Code, fmt::format("{}:{}: {}{}", File, Line, Field, Text)}});
}

bool YamlReader::isFaulty(const std::string &Path) const {
  return std::any_of(Noted.begin(), Noted.end(),
                     [&](const Entry &Each) { return Each.Path == Path; });
}

ErrorList YamlReader::faults() const {
  std::vector<Entry> Sorted = Noted;
  std::stable_sort(
      Sorted.begin(), Sorted.end(),
      [](const Entry &A, const Entry &B) { return A.Line < B.Line; });
  ErrorList Out;
  for (Entry &Each : Sorted)
    Out.push_back(std::move(Each.Reason));
  return Out;
}

std::optional<YAML::Node>
YamlReader::find(const YamlMap &Parent, std::string_view Key, Need Presence) {
  const std::string Path = Parent.pathOf(Key);
  for (const auto &Entry : Parent.Node) {
    if (!Entry.first.IsScalar() || Entry.first.Scalar() != Key)
      continue;
    noteLine(Path, Entry.first);
    return Entry.second;
  }
  if (Presence == Need::Required) {
    noteLine(Path, Parent.Node);
    // An item with a wrong type has a fault already.
    if (!isFaulty(Parent.Path) || Parent.Path.empty())
      fieldFault(Path, "is missing");
  }
  return std::nullopt;
}

std::optional<std::string>
YamlReader::scalar(const YamlMap &Parent, std::string_view Key, Need Presence) {
  const auto Found = find(Parent, Key, Presence);
  if (!Found)
    return std::nullopt;
  if (Found->IsScalar())
    return Found->Scalar();
  fieldFault(Parent.pathOf(Key),
             Found->IsNull() ? "has no value" : "must be a single value");
  return std::nullopt;
}

bool YamlReader::checkMap(const YamlMap &Candidate, Keys Known) {
  noteLine(Candidate.Path, Candidate.Node);
  if (!Candidate.Node.IsMap()) {
    fieldFault(Candidate.Path, "must be a mapping");
    return false;
  }
  std::set<std::string> Seen;
  for (const auto &Entry : Candidate.Node) {
    checkKey(Candidate, Entry.first, Known);
    if (!Entry.first.IsScalar() || Seen.insert(Entry.first.Scalar()).second)
      continue;
    noteLine(Candidate.pathOf(Entry.first.Scalar()), Entry.first);
    fieldFault(Candidate.pathOf(Entry.first.Scalar()), "is given twice");
  }
  return true;
}

void YamlReader::checkKey(const YamlMap &Parent, const YAML::Node &Key,
                          Keys Known) {
  const std::string Name = Key.IsScalar() ? Key.Scalar() : "(not a name)";
  if (std::find(Known.begin(), Known.end(), Name) != Known.end())
    return;
  noteLine(Parent.pathOf(Name), Key);
  fault(Numbers.UnknownKey, Parent.pathOf(Name), "is not a known key");
}

void YamlReader::noteLine(const std::string &Path, const YAML::Node &Node) {
  const YAML::Mark Mark = Node.Mark();
  LineOf[Path] = Mark.is_null() ? 1 : Mark.line + 1;
}

} // namespace filbertvane::config
