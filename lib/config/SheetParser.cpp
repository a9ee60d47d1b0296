#include "filbertvane/config/SheetParser.h"
#include "YamlReader.h"
#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace filbertvane::config {

namespace {

using core::ErrorCode;
using FieldPresence = YamlReader::FieldPresence;

constexpr YamlReader::ErrorCodes SheetCodes{ErrorCode::SheetSyntax,
                                            ErrorCode::SheetFieldInvalid,
                                            ErrorCode::SheetUnknownKey};
constexpr YamlReader::Range AnyVersion{
    0, std::numeric_limits<std::int64_t>::max()};
constexpr YamlReader::Range AnyTimeout{MinTimeout.count(), MaxTimeout.count()};

std::optional<MoveOrder> readMove(YamlReader &Reader, const YamlMap &Service) {
  const auto Map =
      Reader.map(Service, "move", {"to", "by"}, FieldPresence::Optional);
  if (!Map)
    return std::nullopt;
  const auto To = Reader.text(*Map, "to", FieldPresence::Required);
  const auto By = Reader.time(*Map, "by", FieldPresence::Required);
  return MoveOrder{core::TargetVersion(To.value_or("")),
                   By.value_or(core::WallTime{})};
}

ServiceSpec readService(YamlReader &Reader, const YamlMap &Map) {
  ServiceSpec Spec;
  Spec.Name = core::ServiceName(
      Reader.text(Map, "name", FieldPresence::Required).value_or(""));
  Spec.Version = core::TargetVersion(
      Reader.text(Map, "version", FieldPresence::Required).value_or(""));
  Spec.Move = readMove(Reader, Map);
  return Spec;
}

TrafficKind readKind(YamlReader &Reader, const YamlMap &Map) {
  const auto Text = Reader.text(Map, "kind", FieldPresence::Optional);
  if (!Text || *Text == "interactive")
    return TrafficKind::Interactive;
  if (*Text == "bulk")
    return TrafficKind::Bulk;
  if (*Text != "patient")
    Reader.addFieldError(Map.pathOf("kind"),
                         "must be interactive, bulk or patient");
  return TrafficKind::Patient;
}

RouteSpec readRoute(YamlReader &Reader, const YamlMap &Map) {
  RouteSpec Spec;
  Spec.Name = core::RouteName(
      Reader.text(Map, "name", FieldPresence::Required).value_or(""));
  Spec.Prefix =
      Reader.text(Map, "prefix", FieldPresence::Required).value_or("");
  Spec.Service = core::ServiceName(
      Reader.text(Map, "service", FieldPresence::Required).value_or(""));
  // Defaults to false, because requests of a route that is wrongly treated as
  // idempotent could run twice.
  Spec.Idempotent = Reader.boolean(Map, "idempotent", FieldPresence::Optional)
                        .value_or(false);
  Spec.Kind = readKind(Reader, Map);
  const auto Timeout =
      Reader.number(Map, "timeout_ms", AnyTimeout, FieldPresence::Optional);
  if (Timeout)
    Spec.Timeout = core::Milliseconds(*Timeout);
  return Spec;
}

Sheet readSheet(YamlReader &Reader, const YamlMap &Root) {
  Sheet Content;
  const auto Base =
      Reader.number(Root, "base", AnyVersion, FieldPresence::Required);
  Content.Base =
      core::ConfigVersion(static_cast<std::uint64_t>(Base.value_or(0)));
  for (const YamlMap &Map :
       Reader.list(Root, "services", {"name", "version", "move"},
                   FieldPresence::Required))
    Content.Services.push_back(readService(Reader, Map));
  const YamlReader::Keys RouteKeys = {"name",       "prefix", "service",
                                      "idempotent", "kind",   "timeout_ms"};
  for (const YamlMap &Map :
       Reader.list(Root, "routes", RouteKeys, FieldPresence::Required))
    Content.Routes.push_back(readRoute(Reader, Map));
  return Content;
}

std::string pathOf(const SheetError &Error) {
  switch (Error.Part) {
  case SheetPart::Whole:
    break;
  case SheetPart::Service:
    return fmt::format("services[{}].{}", Error.Index, Error.Key);
  case SheetPart::Route:
    return fmt::format("routes[{}].{}", Error.Index, Error.Key);
  }
  return "";
}

/// Whether a field and the list item that contains it were read without error.
bool isRead(const YamlReader &Reader, const std::string &Path) {
  const std::string Item = Path.substr(0, Path.find('.'));
  return !Reader.hasError(Path) && !Reader.hasError(Item);
}

/// Adds validation errors, except for fields that could not be read: these have
/// a default value that the file does not contain.
void addErrors(YamlReader &Reader, const std::vector<SheetError> &Found) {
  std::vector<std::pair<std::string, const SheetError *>> New;
  for (const SheetError &Error : Found)
    if (const std::string Path = pathOf(Error); isRead(Reader, Path))
      New.emplace_back(Path, &Error);
  for (const auto &[Path, Error] : New)
    Reader.addError(Error->Code, Path, Error->Text);
}

template <typename Spec> void sortByName(std::vector<Spec> &Specs) {
  std::sort(Specs.begin(), Specs.end(),
            [](const Spec &A, const Spec &B) { return A.Name < B.Name; });
}

ValidationResult<Sheet> parse(const std::string &Text, const std::string &File,
                              const FleetState *State, core::WallTime Now) {
  YamlReader Reader(File, SheetCodes);
  const auto Root = Reader.document(Text, {"base", "services", "routes"});
  if (!Root)
    return Reader.errors();
  Sheet Content = readSheet(Reader, *Root);
  addErrors(Reader, validateSheet(Content));
  if (State)
    addErrors(Reader, validateAgainst(*State, Content, Now));
  if (Reader.hasErrors())
    return Reader.errors();
  sortByName(Content.Services);
  sortByName(Content.Routes);
  return Content;
}

} // namespace

ValidationResult<Sheet> parseSheet(const std::string &Text,
                                   const std::string &File) {
  return parse(Text, File, nullptr, core::WallTime{});
}

ValidationResult<Sheet> parseSheet(const std::string &Text,
                                   const std::string &File,
                                   const FleetState &State,
                                   core::WallTime Now) {
  return parse(Text, File, &State, Now);
}

} // namespace filbertvane::config
