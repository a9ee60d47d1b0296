#ifndef FILBERTVANE_IO_MESH_OPERATORRECORDS_H
#define FILBERTVANE_IO_MESH_OPERATORRECORDS_H

#include "filbertvane/core/Ids.h"
#include <string>
#include <vector>

namespace filbertvane::io::mesh {

/// @brief A record that an operator wrote; a newer one of a key replaces it.
struct OperatorRecord {
  std::string Key;
  core::LogOffset Offset;
  /// Encoded as the platform gives it.
  std::string Value;

  friend auto operator<=>(const OperatorRecord &,
                          const OperatorRecord &) = default;
};

/// @brief Operators' records up to a position.
struct OperatorRecords {
  /// Offset after the last record that was considered.
  core::LogOffset Position;
  std::vector<OperatorRecord> Records;

  friend auto operator<=>(const OperatorRecords &,
                          const OperatorRecords &) = default;
};

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_IO_MESH_OPERATORRECORDS_H
