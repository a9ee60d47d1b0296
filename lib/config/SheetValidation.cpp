#include "filbertvane/config/SheetValidation.h"
#include "filbertvane/config/Rfc3339.h"
#include "filbertvane/wire/RecordCodec.h"
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace filbertvane::config {

namespace {

using core::ErrorCode;

/// Checks one service or route and collects its errors.
class SpecChecker {
public:
  SpecChecker(std::vector<SheetError> &Errors, SheetPart Part,
              std::size_t Index)
      : Errors(Errors), Part(Part), Index(Index) {}

  void add(ErrorCode Code, const char *Key, std::string Text) {
    Errors.push_back({Code, Part, Index, Key, std::move(Text)});
  }

  void checkName(const char *Key, const std::string &Name) {
    if (Name.empty())
      add(ErrorCode::SheetFieldInvalid, Key, "must not be empty");
    else if (Name.size() > MaxNameBytes)
      add(ErrorCode::SheetFieldInvalid, Key,
          fmt::format("longer than {} bytes", MaxNameBytes));
    else if (std::any_of(Name.begin(), Name.end(), isForbidden))
      add(ErrorCode::SheetFieldInvalid, Key,
          "may hold printable ASCII characters without space only");
  }

private:
  // Names are written to log lines, metrics and headers without escaping.
  static bool isForbidden(char Character) {
    return Character <= ' ' || Character > '~' || Character == '"';
  }

  std::vector<SheetError> &Errors;
  SheetPart Part;
  std::size_t Index;
};

void checkPrefix(SpecChecker &Checker, const std::string &Prefix) {
  if (Prefix.empty() || Prefix.front() != '/')
    Checker.add(ErrorCode::SheetFieldInvalid, "prefix", "must begin with /");
  else if (Prefix.size() > MaxPrefixBytes)
    Checker.add(ErrorCode::SheetFieldInvalid, "prefix",
                fmt::format("longer than {} bytes", MaxPrefixBytes));
}

void checkTimeout(SpecChecker &Checker, core::Milliseconds Timeout) {
  if (Timeout < MinTimeout || Timeout > MaxTimeout)
    Checker.add(ErrorCode::SheetFieldInvalid, "timeout_ms",
                fmt::format("must be between {} and {}", MinTimeout.count(),
                            MaxTimeout.count()));
}

void checkServices(const Sheet &Content, std::vector<SheetError> &Errors) {
  std::set<core::ServiceName> Names;
  for (std::size_t I = 0; I < Content.Services.size(); ++I) {
    const ServiceSpec &Spec = Content.Services[I];
    SpecChecker Checker(Errors, SheetPart::Service, I);
    Checker.checkName("name", Spec.Name.value());
    Checker.checkName("version", Spec.Version.value());
    if (Spec.Move)
      Checker.checkName("move.to", Spec.Move->To.value());
    if (!Names.insert(Spec.Name).second)
      Checker.add(ErrorCode::SheetDuplicateName, "name", Spec.Name.value());
  }
}

void checkRoutes(const Sheet &Content, std::vector<SheetError> &Errors) {
  std::set<core::ServiceName> Services;
  for (const ServiceSpec &Spec : Content.Services)
    Services.insert(Spec.Name);
  std::set<core::RouteName> Names;
  std::map<std::string, core::RouteName> Prefixes;
  for (std::size_t I = 0; I < Content.Routes.size(); ++I) {
    const RouteSpec &Spec = Content.Routes[I];
    SpecChecker Checker(Errors, SheetPart::Route, I);
    Checker.checkName("name", Spec.Name.value());
    checkPrefix(Checker, Spec.Prefix);
    checkTimeout(Checker, Spec.Timeout);
    if (!Names.insert(Spec.Name).second)
      Checker.add(ErrorCode::SheetDuplicateName, "name", Spec.Name.value());
    const auto [Other, IsNew] = Prefixes.emplace(Spec.Prefix, Spec.Name);
    if (!IsNew)
      Checker.add(ErrorCode::SheetFieldInvalid, "prefix",
                  fmt::format("{} is also the prefix of route {}", Spec.Prefix,
                              Other->second.value()));
    if (!Services.contains(Spec.Service))
      Checker.add(ErrorCode::SheetUnknownService, "service",
                  Spec.Service.value());
  }
}

void checkMove(SpecChecker &Checker, const ServiceSpec &Spec,
               const core::TargetVersion &Stable, core::WallTime Now) {
  if (Spec.Move->To == Stable)
    Checker.add(
        ErrorCode::SheetFieldInvalid, "move.to",
        fmt::format("{} is already the stable version", Stable.value()));
  if (Spec.Move->Deadline <= Now)
    Checker.add(ErrorCode::SheetTimePassed, "move.by",
                fmt::format("{} is not later than {}",
                            formatRfc3339(Spec.Move->Deadline),
                            formatRfc3339(Now)));
}

const ServiceSpec *findService(const Sheet &Content,
                               const core::ServiceName &Name) {
  const auto Found =
      std::lower_bound(Content.Services.begin(), Content.Services.end(), Name,
                       [](const ServiceSpec &A, const core::ServiceName &B) {
                         return A.Name < B;
                       });
  if (Found == Content.Services.end() || Found->Name != Name)
    return nullptr;
  return &*Found;
}

} // namespace

std::vector<SheetError> validateSheet(const Sheet &Content) {
  std::vector<SheetError> Errors;
  checkServices(Content, Errors);
  checkRoutes(Content, Errors);
  const std::size_t Size = wire::encode(Content).size();
  if (Size > MaxSheetBytes)
    Errors.push_back(
        {ErrorCode::SheetTooLarge, SheetPart::Whole, 0, "",
         fmt::format("{} bytes encoded, at most {}", Size, MaxSheetBytes)});
  return Errors;
}

std::vector<SheetError> validateAgainst(const FleetState &State,
                                        const Sheet &Content,
                                        core::WallTime Now) {
  std::vector<SheetError> Errors;
  for (std::size_t I = 0; I < Content.Services.size(); ++I) {
    const ServiceSpec &Spec = Content.Services[I];
    const ServiceSpec *Old = findService(State.CurrentSheet, Spec.Name);
    if (Old && *Old == Spec)
      continue;
    SpecChecker Checker(Errors, SheetPart::Service, I);
    const auto Known = State.TrafficByService.find(Spec.Name);
    const core::TargetVersion &Stable = Known == State.TrafficByService.end()
                                            ? Spec.Version
                                            : Known->second.Stable;
    if (Spec.Move)
      checkMove(Checker, Spec, Stable, Now);
    else if (Spec.Version != Stable)
      Checker.add(ErrorCode::SheetFieldInvalid, "version",
                  fmt::format("{} differs from the stable version {}: order a "
                              "move",
                              Spec.Version.value(), Stable.value()));
  }
  return Errors;
}

core::Error toError(const SheetError &Error, const Sheet &Content) {
  switch (Error.Part) {
  case SheetPart::Whole:
    break;
  case SheetPart::Service:
    return {Error.Code, fmt::format("service {}: {}: {}",
                                    Content.Services[Error.Index].Name.value(),
                                    Error.Key, Error.Text)};
  case SheetPart::Route:
    return {Error.Code, fmt::format("route {}: {}: {}",
                                    Content.Routes[Error.Index].Name.value(),
                                    Error.Key, Error.Text)};
  }
  return {Error.Code, Error.Text};
}

} // namespace filbertvane::config
