#ifndef FILBERTVANE_IO_ADMINSERVER_H
#define FILBERTVANE_IO_ADMINSERVER_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/io/HttpServer.h"

namespace filbertvane::io {

/// @brief A target's statement about itself, repeated each second.
struct TargetAnnouncement {
  core::TargetId Id;
  core::ServiceName Service;
  core::TargetVersion Version;
  /// `ip:port` at which the target serves.
  std::string Address;
  /// Concurrent requests that the target can run.
  std::uint32_t Slots = 0;

  friend auto operator<=>(const TargetAnnouncement &,
                          const TargetAnnouncement &) = default;
};

/// @brief Parses the body of `POST /targets`.
/// @return the announcement, or `RequestMalformed` with the field
core::Result<TargetAnnouncement> parseAnnouncement(std::string_view Json);

/// @brief Loopback server for operators and for the targets of the host:
///        `/metrics`, `/healthz`, `/status` and `/targets`.
class AdminServer {
public:
  struct Callbacks {
    /// Prometheus text.
    std::function<std::string()> Metrics;
    /// True when the node may receive requests.
    std::function<bool()> Healthy;
    /// JSON text.
    std::function<std::string()> Status;
    /// A new target, or one whose statement changed.
    std::function<void(const TargetAnnouncement &)> OnTarget;
    /// A target left, or sent no announcement for 3 s.
    std::function<void(const core::TargetId &, bool Expired)> OnTargetGone;
  };

  /// @brief Listens on a loopback address.
  /// @return the server, or `ProcessListenFailed` when the address is not a
  ///         loopback address or cannot be bound
  static core::Result<std::unique_ptr<AdminServer>>
  listen(EventLoop &Loop, const std::string &Address, Callbacks Calls);

  virtual ~AdminServer() = default;
  virtual std::uint16_t port() const = 0;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_ADMINSERVER_H
