#ifndef FILBERTVANE_LIB_CONFIG_WRITERSEQUENCES_H
#define FILBERTVANE_LIB_CONFIG_WRITERSEQUENCES_H

#include "filbertvane/core/Ids.h"
#include <map>

namespace filbertvane::config {

/// Maximum number of writers whose last sequence is kept; beyond it, the one
/// with the lowest sequence is evicted. A duplicate from an evicted writer has
/// no effect either: its base, epoch or share is outdated by then.
inline constexpr std::size_t MaxWriters = 256;

/// @brief Stores the sequence of a record as the last one of its writer.
/// @return false for a duplicate: the sequence is not above the last one
bool recordSequence(std::map<core::WriterId, std::uint64_t> &LastSequences,
                    const core::WriterId &Writer, std::uint64_t Sequence);

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_WRITERSEQUENCES_H
