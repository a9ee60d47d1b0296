#ifndef FILBERTVANE_LIB_IO_SILENTPEERS_H
#define FILBERTVANE_LIB_IO_SILENTPEERS_H

#include "filbertvane/core/Time.h"
#include <map>
#include <optional>
#include <string>

namespace filbertvane::io {

/// @brief Addresses whose open connections went silent.
///
/// A connection can go silent while new ones to the same address work. After a
/// request got no byte of an answer, and no other request to the address did
/// in that time either, only connections younger than that failure are used.
class SilentPeers {
public:
  /// @brief A request to the address received an answer.
  void answered(const std::string &Address, core::TimePoint Now);

  /// @brief A request to the address received nothing until its deadline.
  /// @param Since time at which it was handed over
  void timedOut(const std::string &Address, core::TimePoint Since,
                core::TimePoint Now);

  /// @brief Greatest age of a connection that may be reused.
  /// @return none when any connection may be, 0 s when none may be
  std::optional<core::Seconds> maxAge(const std::string &Address,
                                      core::TimePoint Now);

private:
  struct Peer {
    core::TimePoint LastAnswer{};
    std::optional<core::TimePoint> SilentAt;
  };
  void prune(core::TimePoint Now);

  std::map<std::string, Peer> Peers;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_SILENTPEERS_H
