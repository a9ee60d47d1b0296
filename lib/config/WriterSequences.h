#ifndef FILBERTVANE_LIB_CONFIG_WRITERSEQUENCES_H
#define FILBERTVANE_LIB_CONFIG_WRITERSEQUENCES_H

#include "filbertvane/core/Ids.h"
#include <map>

namespace filbertvane::config {

/// Writers whose last sequence is kept. Beyond it the writer with the lowest
/// sequence is forgotten. A repeat of a forgotten record still has no effect:
/// its base, its epoch or its share is an old one by then.
inline constexpr std::size_t MaxWriters = 256;

/// @brief Notes the sequence of a record.
/// @return false when this writer's record was seen before
bool noteSequence(std::map<core::WriterId, std::uint64_t> &Last,
                  const core::WriterId &Writer, std::uint64_t Sequence);

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_WRITERSEQUENCES_H
