#include "filbertvane/decision/request/RouteTable.h"

namespace filbertvane::decision::request {

namespace {

std::string_view trimTrailingSlashes(std::string_view Prefix) {
  while (!Prefix.empty() && Prefix.back() == '/')
    Prefix.remove_suffix(1);
  return Prefix;
}

} // namespace

RouteTable::RouteTable(const std::vector<config::RouteSpec> &Routes) {
  for (const config::RouteSpec &Spec : Routes) {
    std::string Prefix(trimTrailingSlashes(Spec.Prefix));
    ByPrefix.try_emplace(std::move(Prefix),
                         std::make_shared<const config::RouteSpec>(Spec));
  }
}

RoutePtr RouteTable::match(std::string_view Path) const {
  Path = trimTrailingSlashes(Path.substr(0, Path.find('?')));
  for (;;) {
    const auto Found = ByPrefix.find(Path);
    if (Found != ByPrefix.end())
      return Found->second;
    const std::size_t Slash = Path.rfind('/');
    if (Slash == std::string_view::npos)
      return nullptr;
    Path = Path.substr(0, Slash);
  }
}

} // namespace filbertvane::decision::request
