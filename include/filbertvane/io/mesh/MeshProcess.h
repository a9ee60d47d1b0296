#ifndef FILBERTVANE_IO_MESH_MESHPROCESS_H
#define FILBERTVANE_IO_MESH_MESHPROCESS_H

#include "filbertvane/io/EventLoop.h"
#include "filbertvane/io/HttpClient.h"
#include "filbertvane/io/mesh/Environment.h"

namespace filbertvane::io::mesh {

/// @brief Node of a mesh that keeps all that lasts in a shared store.
class MeshProcess {
public:
  /// @brief Opens all ports and begins to read the store.
  /// @param Store must outlive the process
  /// @return the process, or `ProcessListenFailed` with the address
  static core::Result<std::unique_ptr<MeshProcess>>
  create(EventLoop &Loop, HttpClient &Http, MeshPlace Place,
         std::shared_ptr<const Environment> Surroundings, SharedStore &Store);

  virtual ~MeshProcess() = default;

  /// @brief Begins the graceful shutdown; the loop stops at its end.
  virtual void drain() = 0;
  /// @brief Takes settings that were read again; only the service and the
  ///        target may change while the process runs.
  virtual void reload(const MeshPlace &Place) = 0;
  /// @brief Prometheus text.
  virtual std::string metrics() = 0;
};

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_IO_MESH_MESHPROCESS_H
