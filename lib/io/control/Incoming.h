#ifndef FILBERTVANE_LIB_IO_CONTROL_INCOMING_H
#define FILBERTVANE_LIB_IO_CONTROL_INCOMING_H

#include "Frames.h"
#include "Shared.h"
#include "Socket.h"

namespace filbertvane::io::control {

/// @brief Connection that a peer opened: messages come in, receipts go out.
class Incoming {
public:
  Incoming(Shared &Common, Socket In);

  bool closed() const { return Closed; }
  /// @brief Closes the connection when its deadline has passed.
  void expire(core::TimePoint Now);

private:
  void onReadable();
  void readFrames();
  bool accept(const std::string &Body);
  bool greet(const wire::ControlMessage &Message);
  void confirm();
  void close(observe::EventId Why, std::string Detail);

  Shared &Common;
  Socket In;
  FrameReader Frames;
  std::optional<wire::Hello> From;
  core::TimePoint Deadline;
  bool Closed = false;
  Descriptor Watch;
};

} // namespace filbertvane::io::control

#endif // FILBERTVANE_LIB_IO_CONTROL_INCOMING_H
