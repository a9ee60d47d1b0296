#ifndef FILBERTVANE_LIB_IO_MESH_STOREFOLLOWER_H
#define FILBERTVANE_LIB_IO_MESH_STOREFOLLOWER_H

#include "filbertvane/core/Random.h"
#include "filbertvane/io/EventLoop.h"
#include "filbertvane/io/mesh/Environment.h"
#include <map>

namespace filbertvane::io::mesh {

/// @brief Keeps the operators' records of the store current.
///
/// The newest record of each key counts; records may come from the store and
/// from other nodes in any order.
class StoreFollower {
public:
  struct Callbacks {
    /// A record that is newer than the known one of its key. `History` is set
    /// for records that were in the store before this process began to read.
    std::function<void(const OperatorRecord &, bool History)> OnRecord;
    std::function<void(core::LogOffset)> OnPosition;
    std::function<void(bool Reachable)> OnReachable;
    std::function<void(const core::Error &)> OnFault;
    /// The list of newest records was read, before it is applied.
    std::function<void(const OperatorRecords &)> OnListRead = nullptr;
    /// A read had no answer in time and is repeated.
    std::function<void(core::Milliseconds Hold)> OnOverdue;
  };

  StoreFollower(EventLoop &Loop, SharedStore &Store, std::uint64_t Seed,
                Callbacks Calls);

  void start();
  /// @brief Follows the store, or leaves that to other nodes.
  void follow(bool Now);
  /// @brief Sets the longest time for which the store may hold a read back.
  void setHold(core::Milliseconds Longest);
  /// @brief Takes records that another node read.
  void adopt(const OperatorRecords &What);
  /// @brief All records known, for another node.
  OperatorRecords known() const;

private:
  void read();
  void readNewest();
  void readNext(core::Milliseconds Wait);
  void repeatRead();
  void abandonRead();
  void take(const core::Result<OperatorRecords> &Read, bool Newest);
  void takeFault(const core::Error &Why);
  void apply(const OperatorRecords &What, bool History);
  void applyRemovals(const OperatorRecords &All);
  void later(core::Microseconds After);
  void setReachable(bool Now);

  EventLoop &Loop;
  SharedStore &Store;
  Callbacks Calls;
  core::Random Source;
  Timer Next;
  Timer Overdue;
  core::Milliseconds Hold;
  /// Hold of the read under way.
  core::Milliseconds CurrentHold{0};
  core::TimePoint ReadSentAt;
  bool HasBase = false;
  bool Reading = false;
  bool Following = true;
  std::optional<bool> Reachable;
  int Failures = 0;
  core::LogOffset Position;
  std::map<std::string, OperatorRecord> Records;
};

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_LIB_IO_MESH_STOREFOLLOWER_H
