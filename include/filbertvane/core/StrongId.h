#ifndef FILBERTVANE_CORE_STRONGID_H
#define FILBERTVANE_CORE_STRONGID_H

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace filbertvane::core {

/// @brief Id of a distinct type, so that different kinds of ids cannot be
///        mixed up.
/// @tparam Tag type that identifies the kind of id
/// @tparam Rep underlying type, a string or an integer
template <typename Tag, typename Rep> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(Rep Value) : Value(std::move(Value)) {}

  /// @brief The underlying value.
  const Rep &value() const { return Value; }

  friend auto operator<=>(const StrongId &, const StrongId &) = default;

private:
  Rep Value{};
};

} // namespace filbertvane::core

template <typename Tag, typename Rep>
struct std::hash<filbertvane::core::StrongId<Tag, Rep>> {
  std::size_t
  operator()(const filbertvane::core::StrongId<Tag, Rep> &Id) const {
    return std::hash<Rep>()(Id.value());
  }
};

#endif // FILBERTVANE_CORE_STRONGID_H
