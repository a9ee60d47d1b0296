#ifndef FILBERTVANE_LIB_IO_CONTROL_SHARED_H
#define FILBERTVANE_LIB_IO_CONTROL_SHARED_H

#include "filbertvane/core/Random.h"
#include "filbertvane/io/ControlServer.h"

namespace filbertvane::io::control {

/// @brief What the connections of one server have in common.
struct Shared {
  EventLoop &Loop;
  ControlServer::Options Settings;
  ControlServer::Receiver OnMessage;
  ControlServer::Logger OnLog;
  ControlTraffic Traffic;
  core::Random Chance;

  core::TimePoint now() const { return Loop.now().Mono; }
  void log(observe::EventId Id, std::string Detail) const {
    OnLog({Id, std::move(Detail)});
  }
};

} // namespace filbertvane::io::control

#endif // FILBERTVANE_LIB_IO_CONTROL_SHARED_H
