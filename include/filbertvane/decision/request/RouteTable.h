#ifndef FILBERTVANE_DECISION_REQUEST_ROUTETABLE_H
#define FILBERTVANE_DECISION_REQUEST_ROUTETABLE_H

#include "filbertvane/config/Sheet.h"
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace filbertvane::decision::request {

using RoutePtr = std::shared_ptr<const config::RouteSpec>;

/// @brief Finds the route of a path by its longest prefix.
///
/// A prefix matches whole path segments only: `/a` matches `/a` and `/a/b` but
/// not `/ab`. The query string is ignored.
class RouteTable {
public:
  RouteTable() = default;
  /// @brief Builds the table; the first of several equal prefixes is used.
  explicit RouteTable(const std::vector<config::RouteSpec> &Routes);

  /// @brief Returns the route of a path, or null.
  /// Complexity: one hash lookup per segment of the path.
  RoutePtr match(std::string_view Path) const;

private:
  struct Hash {
    // Name fixed by the standard library.
    // NOLINTNEXTLINE(readability-identifier-naming)
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  std::unordered_map<std::string, RoutePtr, Hash, std::equal_to<>> ByPrefix;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_ROUTETABLE_H
