#ifndef FILBERTVANE_LIB_IO_MESH_SMALLREQUESTS_H
#define FILBERTVANE_LIB_IO_MESH_SMALLREQUESTS_H

#include "filbertvane/io/HttpServer.h"

namespace filbertvane::io::mesh {

/// @brief Answer to a request that is handled at once.
struct SmallAnswer {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
};

using SmallHandler =
    std::function<SmallAnswer(const RequestHead &, const std::string &Body)>;

/// @brief Opens a server whose requests are collected whole and answered by a
///        function.
/// @return the server, or `ProcessListenFailed` with the address
core::Result<std::unique_ptr<HttpServer>>
listenSmall(EventLoop &Loop, const std::string &Address, SmallHandler Handle,
            std::shared_ptr<InputBudget> Inputs);

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_LIB_IO_MESH_SMALLREQUESTS_H
