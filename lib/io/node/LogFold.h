#ifndef FILBERTVANE_LIB_IO_NODE_LOGFOLD_H
#define FILBERTVANE_LIB_IO_NODE_LOGFOLD_H

#include "filbertvane/decision/distribution/Fold.h"

namespace filbertvane::io {

/// @brief Encoded records of the `config` stream, as distribution folds them.
struct LogFold {
  static decision::distribution::FoldedRecord apply(config::FleetState State,
                                                    core::LogOffset Offset,
                                                    const std::string &Bytes);
  static core::Digest digestOf(const config::FleetState &State);
  static std::string encode(const config::FleetState &State);
  static core::Result<config::FleetState> decode(const std::string &Bytes);
  static std::optional<std::string> reduced(const std::string &Bytes);
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_NODE_LOGFOLD_H
