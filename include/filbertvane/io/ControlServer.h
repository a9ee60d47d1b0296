#ifndef FILBERTVANE_IO_CONTROLSERVER_H
#define FILBERTVANE_IO_CONTROLSERVER_H

#include "filbertvane/core/Result.h"
#include "filbertvane/io/EventLoop.h"
#include "filbertvane/observe/LogEvent.h"
#include "filbertvane/wire/ControlMessage.h"
#include <array>

namespace filbertvane::io {

/// @brief Whole frames of one kind, with their length field.
struct KindTraffic {
  std::uint64_t FramesIn = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t FramesOut = 0;
  std::uint64_t BytesOut = 0;
};

/// @brief Traffic between this node and its peers since the start.
struct ControlTraffic {
  /// Indexed like `wire::ControlMessage`; see `wire::kindName`.
  std::array<KindTraffic, wire::MessageKinds> Kinds;
  /// Empty frames with which a receiver confirms that it reads.
  KindTraffic Receipts;
  /// Bytes received from nodes of other regions, and receipts sent to them:
  /// summed over all nodes, the control bytes between regions.
  std::uint64_t CrossRegionBytes = 0;
  std::uint64_t Connects = 0;
};

/// @brief Messages between nodes: Thrift frames over TCP on the process's loop.
///
/// A frame is a length of 4 bytes, big endian, and the encoded message. Each
/// node sends on connections that it opened, at most one to an address, and
/// receives on those that its peers opened. The receiver confirms what it read
/// by empty frames; a connection without them is closed as silent.
///
/// Delivery is not guaranteed: frames are dropped when a connection breaks or
/// its queue is full. The messages are made for that.
class ControlServer {
public:
  struct Options {
    /// `ip:port` to listen on (IPv4); port 0 takes a free one.
    std::string Address;
    /// Identity told to peers; `ControlAddress` is set to the bound address
    /// when it is empty, and `Proof` is computed.
    wire::Hello Own;
    std::string SharedKey;
    std::uint64_t Seed = 0;
    std::size_t MaxIncoming = 2048;
    std::size_t MaxOutgoing = 1024;
    /// Bytes queued for one peer; two of the largest frames.
    std::size_t MaxQueuedBytes = std::size_t{2} * 1024 * 1024 + 64;
    /// Connections opened in a second, after a burst of `ConnectBurst`.
    std::uint32_t ConnectsPerSecond = 100;
    std::uint32_t ConnectBurst = 16;
    core::Milliseconds ConnectTimeout{1000};
    /// Longest wait for the confirmation of a sent frame. Shorter than the
    /// time after which a member is declared failed, so that one silent
    /// connection does not make a member look failed.
    core::Milliseconds SilenceTimeout{1000};
    core::Milliseconds HelloTimeout{1000};
    /// The opener closes an unused connection after this time, the receiver
    /// after twice this time.
    core::Milliseconds IdleTimeout{30000};
    core::Milliseconds BackoffBase{100};
    core::Milliseconds BackoffMax{3000};
  };

  /// Receives each message with the identity of its sender.
  using Receiver =
      std::function<void(const wire::Hello &From, wire::ControlMessage What)>;
  using Logger = std::function<void(const observe::LogEvent &)>;

  /// @brief Binds and starts to accept.
  /// @return the server, or `ProcessListenFailed` with the address
  static core::Result<std::unique_ptr<ControlServer>>
  listen(EventLoop &Loop, const Options &Settings, Receiver OnMessage,
         Logger OnLog);

  virtual ~ControlServer() = default;

  /// @brief Queues a message for the node that listens at an address.
  /// @return an error when it was dropped: `WireTooLarge`, or
  ///         `WireQueueFull` when the peer's queue or the limit of peers is
  ///         reached, or when the address is no `ip:port`
  virtual core::Status send(const std::string &Address,
                            const wire::ControlMessage &What) = 0;

  virtual const ControlTraffic &traffic() const = 0;
  /// @brief Open connections, in both directions.
  virtual std::size_t connections() const = 0;
  /// @brief Own control address, with the port in use.
  virtual const std::string &address() const = 0;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_CONTROLSERVER_H
