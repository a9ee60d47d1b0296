#ifndef FILBERTVANE_DECISION_MESH_STOREPOSITION_H
#define FILBERTVANE_DECISION_MESH_STOREPOSITION_H

#include "filbertvane/core/Ids.h"

namespace filbertvane::decision::mesh {

/// @brief Offset in the operators' records, in one era of the store.
///
/// Positions of different eras are unordered: the same offset names another
/// record there.
class StorePosition {
public:
  StorePosition() = default;
  StorePosition(core::StoreEra Era, core::LogOffset Offset)
      : Era(Era), Offset(Offset) {}

  core::StoreEra era() const { return Era; }
  core::LogOffset offset() const { return Offset; }

  friend bool operator==(const StorePosition &,
                         const StorePosition &) = default;
  friend std::partial_ordering operator<=>(const StorePosition &Left,
                                           const StorePosition &Right) {
    if (Left.Era != Right.Era)
      return std::partial_ordering::unordered;
    return Left.Offset <=> Right.Offset;
  }

private:
  core::StoreEra Era;
  core::LogOffset Offset;
};

/// @brief Whether a view of the store up to a position was taken after one up
///        to another; eras only rise.
inline bool isLater(const StorePosition &View, const StorePosition &Other) {
  return View.era() != Other.era() ? View.era() > Other.era()
                                   : View.offset() > Other.offset();
}

inline const StorePosition &later(const StorePosition &A,
                                  const StorePosition &B) {
  return isLater(B, A) ? B : A;
}

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_STOREPOSITION_H
