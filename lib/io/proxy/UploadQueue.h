#ifndef FILBERTVANE_LIB_IO_PROXY_UPLOADQUEUE_H
#define FILBERTVANE_LIB_IO_PROXY_UPLOADQUEUE_H

#include "filbertvane/decision/mesh/UploadGate.h"
#include "filbertvane/io/EventLoop.h"
#include <functional>

namespace filbertvane::io::proxy {

/// @brief Lets announced request bodies come as `UploadGate` decides.
class UploadQueue {
public:
  struct Callbacks {
    /// The body of a waiting upload may come.
    std::function<void(core::CallId)> OnStart;
    /// A waiting upload can't be whole in time.
    std::function<void(core::CallId)> OnHopeless;
  };

  UploadQueue(EventLoop &Loop, double LinkBytesPerSecond, Callbacks Calls);

  decision::mesh::UploadVerdict submit(const decision::mesh::Upload &Announced);
  void receive(core::CallId Id, std::uint64_t Bytes);
  void end(core::CallId Id);
  core::Microseconds wait() const { return Gate.wait(); }
  std::size_t waitingCount() const { return Gate.waitingCount(); }

private:
  void advance();
  void schedule();

  EventLoop &Loop;
  decision::mesh::UploadGate Gate;
  Callbacks Calls;
  /// Callers of `receive` and `end` may be inside the call that would start.
  Timer Soon;
  Timer Review;
};

} // namespace filbertvane::io::proxy

#endif // FILBERTVANE_LIB_IO_PROXY_UPLOADQUEUE_H
