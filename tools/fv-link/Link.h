#ifndef FILBERTVANE_TOOLS_FV_LINK_LINK_H
#define FILBERTVANE_TOOLS_FV_LINK_LINK_H

#include "filbertvane/io/EventLoop.h"
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace filbertvane::tools {

/// @brief Half of a forwarded connection: bytes from one socket to the other.
class Stream {
public:
  Stream(io::EventLoop &Loop, int From, int To, core::Milliseconds Delay,
         std::function<void()> OnEnd);

  /// @brief Forwards, or leaves all bytes where they are.
  void setSilent(bool Now);
  void onReadable();
  void onWritable() { drain(); }
  bool wantsRead() const;
  bool wantsWrite() const { return Blocked && !Silent; }
  std::function<void()> OnInterest;

private:
  struct Part {
    core::TimePoint Due;
    std::string Bytes;
  };
  void drain();
  void endWhenEmpty();

  io::EventLoop &Loop;
  int From;
  int To;
  core::Milliseconds Delay;
  std::function<void()> OnEnd;
  std::deque<Part> Parts;
  std::size_t Waiting = 0;
  bool Ended = false;
  bool Blocked = false;
  bool Silent = false;
  io::Timer Due;
};

/// @brief TCP forwarder that delays traffic, breaks connections or goes silent.
class Link {
public:
  /// @brief What happens to connections.
  enum class Mode {
    Healthy,
    /// Open connections are closed, new ones are closed at once.
    Cut,
    /// Connections stay open and carry nothing.
    Silent,
  };

  Link(io::EventLoop &Loop, std::string Target, core::Milliseconds Delay);
  ~Link();

  /// @brief Listens; 0 for a port takes a free one.
  bool open(const std::string &Address);
  std::uint16_t port() const { return Port; }

  void cut();
  /// @brief Normal service for new connections; silent ones stay silent.
  void heal() { Now = Mode::Healthy; }
  /// @brief Silences open connections for good, and new ones until `heal`.
  void silence();
  /// @brief Silences open connections for good; new ones work.
  void silenceOpen();
  std::string statusJson() const;

private:
  struct Pair;
  void acceptOne();
  void removeEnded();

  io::EventLoop &Loop;
  std::string Target;
  core::Milliseconds Delay;
  int Listener = -1;
  std::uint16_t Port = 0;
  Mode Now = Mode::Healthy;
  std::unique_ptr<io::Descriptor> Incoming;
  std::map<std::uint64_t, std::unique_ptr<Pair>> Pairs;
  std::uint64_t NextPair = 0;
  io::Timer Sweep;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_LINK_LINK_H
