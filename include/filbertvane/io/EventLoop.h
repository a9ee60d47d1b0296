#ifndef FILBERTVANE_IO_EVENTLOOP_H
#define FILBERTVANE_IO_EVENTLOOP_H

#include "filbertvane/core/Time.h"
#include <functional>
#include <memory>

struct ev_loop;

namespace filbertvane::io {

/// @brief The one libev loop of a process, and its clocks.
class EventLoop {
public:
  /// @name Construction
  /// @{
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;
  /// @}

  /// @name Running
  /// @{
  /// @brief Runs until `stop` is called.
  void run();
  void stop();
  /// @}

  /// @brief Both clocks at the current iteration of the loop.
  core::Instant now() const;

  /// @brief Calls a function on SIGTERM or SIGINT, from inside the loop.
  void onTerminate(std::function<void()> Handler);

  /// @brief Calls a function on SIGHUP, from inside the loop.
  void onHangUp(std::function<void()> Handler);

  /// @brief The underlying loop, for watchers.
  struct ev_loop *raw() const {
    return Loop;
  }

private:
  struct Signals;
  struct HangUp;

  struct ev_loop *Loop;
  std::unique_ptr<Signals> Terminate;
  std::unique_ptr<HangUp> Reload;
};

/// @brief Calls a function at a deadline; destroying it cancels the call.
class Timer {
public:
  Timer(EventLoop &Loop, std::function<void()> Handler);
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// @brief Sets or replaces the deadline; a passed one fires at once.
  void arm(core::TimePoint Deadline);
  void cancel();

private:
  struct Watcher;
  EventLoop &Loop;
  std::unique_ptr<Watcher> Impl;
};

/// @brief Calls a function when a descriptor is readable or writable.
class Descriptor {
public:
  enum Interest { None = 0, Readable = 1, Writable = 2 };

  Descriptor(EventLoop &Loop, int Fd, std::function<void(int)> Handler);
  ~Descriptor();
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  /// @brief Replaces the set of conditions waited for.
  void watch(int Interests);

private:
  struct Watcher;
  EventLoop &Loop;
  std::unique_ptr<Watcher> Impl;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_EVENTLOOP_H
