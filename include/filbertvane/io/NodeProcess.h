#ifndef FILBERTVANE_IO_NODEPROCESS_H
#define FILBERTVANE_IO_NODEPROCESS_H

#include "filbertvane/config/Settings.h"
#include "filbertvane/core/Result.h"
#include "filbertvane/io/EventLoop.h"

namespace filbertvane::io {

/// @brief The whole node: ports, log, timers, and the decisions behind them.
///
/// @code
/// io::EventLoop Loop;
/// auto Node = io::NodeProcess::create(Loop, Settings);
/// if (core::ok(Node))
///   Loop.run();
/// @endcode
class NodeProcess {
public:
  /// @brief Opens all ports and starts.
  /// @return the node, or `ProcessListenFailed` with the address
  static core::Result<std::unique_ptr<NodeProcess>>
  create(EventLoop &Loop, const config::Settings &Settings);

  virtual ~NodeProcess() = default;

  /// @brief Begins the graceful shutdown; the loop stops when no request is in
  ///        progress any more, or at the drain deadline.
  virtual void drain() = 0;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_NODEPROCESS_H
