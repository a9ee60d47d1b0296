#include "SheetThrift.h"

namespace filbertvane::wire {

namespace {

gen::ServiceSpec toThrift(const config::ServiceSpec &From) {
  gen::ServiceSpec To;
  To.name = From.Name.value();
  To.version = From.Version.value();
  if (From.Move)
    To.__set_move(wire::toThrift(*From.Move));
  return To;
}

gen::RouteSpec toThrift(const config::RouteSpec &From) {
  gen::RouteSpec To;
  To.name = From.Name.value();
  To.prefix = From.Prefix;
  To.serviceName = From.Service.value();
  To.idempotent = From.Idempotent;
  To.kind = static_cast<std::int8_t>(From.Kind);
  To.timeoutMs = From.Timeout.count();
  return To;
}

config::ServiceSpec fromThrift(const gen::ServiceSpec &From,
                               RangeCheck &Check) {
  config::ServiceSpec To;
  To.Name = core::ServiceName(From.name);
  To.Version = core::TargetVersion(From.version);
  if (From.__isset.move)
    To.Move = wire::fromThrift(From.move, Check);
  return To;
}

config::RouteSpec fromThrift(const gen::RouteSpec &From, RangeCheck &Check) {
  config::RouteSpec To;
  To.Name = core::RouteName(From.name);
  To.Prefix = From.prefix;
  To.Service = core::ServiceName(From.serviceName);
  To.Idempotent = From.idempotent;
  To.Kind = Check.enumerator(From.kind, config::TrafficKind::Patient);
  To.Timeout = Check.duration(From.timeoutMs);
  return To;
}

template <typename To, typename From>
std::vector<To> listToThrift(const std::vector<From> &Items) {
  std::vector<To> Out;
  Out.reserve(Items.size());
  for (const From &Item : Items)
    Out.push_back(toThrift(Item));
  return Out;
}

template <typename To, typename From>
std::vector<To> listFromThrift(const std::vector<From> &Items,
                               RangeCheck &Check) {
  std::vector<To> Out;
  Out.reserve(Items.size());
  for (const From &Item : Items)
    Out.push_back(fromThrift(Item, Check));
  return Out;
}

template <typename Name>
std::vector<std::string> namesToThrift(const std::vector<Name> &Names) {
  std::vector<std::string> Out;
  Out.reserve(Names.size());
  for (const Name &Each : Names)
    Out.push_back(Each.value());
  return Out;
}

template <typename Name>
std::vector<Name> namesFromThrift(const std::vector<std::string> &Names) {
  return std::vector<Name>(Names.begin(), Names.end());
}

} // namespace

gen::MoveOrder toThrift(const config::MoveOrder &From) {
  gen::MoveOrder To;
  To.toVersion = From.To.value();
  To.byMs = toMillis(From.Deadline);
  return To;
}

gen::Sheet toThrift(const config::Sheet &From) {
  gen::Sheet To;
  To.base = toSigned(From.Base.value());
  To.services = listToThrift<gen::ServiceSpec>(From.Services);
  To.routes = listToThrift<gen::RouteSpec>(From.Routes);
  return To;
}

gen::SheetDelta toThrift(const config::SheetDelta &From) {
  gen::SheetDelta To;
  To.changedServices = listToThrift<gen::ServiceSpec>(From.ChangedServices);
  To.removedServices = namesToThrift(From.RemovedServices);
  To.changedRoutes = listToThrift<gen::RouteSpec>(From.ChangedRoutes);
  To.removedRoutes = namesToThrift(From.RemovedRoutes);
  return To;
}

config::MoveOrder fromThrift(const gen::MoveOrder &From, RangeCheck &Check) {
  return {core::TargetVersion(From.toVersion), Check.time(From.byMs)};
}

config::Sheet fromThrift(const gen::Sheet &From, RangeCheck &Check) {
  config::Sheet To;
  To.Base = core::ConfigVersion(toUnsigned(From.base));
  To.Services = listFromThrift<config::ServiceSpec>(From.services, Check);
  To.Routes = listFromThrift<config::RouteSpec>(From.routes, Check);
  return To;
}

config::SheetDelta fromThrift(const gen::SheetDelta &From, RangeCheck &Check) {
  config::SheetDelta To;
  To.ChangedServices =
      listFromThrift<config::ServiceSpec>(From.changedServices, Check);
  To.RemovedServices = namesFromThrift<core::ServiceName>(From.removedServices);
  To.ChangedRoutes =
      listFromThrift<config::RouteSpec>(From.changedRoutes, Check);
  To.RemovedRoutes = namesFromThrift<core::RouteName>(From.removedRoutes);
  return To;
}

} // namespace filbertvane::wire
