#ifndef FILBERTVANE_LIB_IO_MESH_STOREFOLLOWER_H
#define FILBERTVANE_LIB_IO_MESH_STOREFOLLOWER_H

#include "filbertvane/core/Random.h"
#include "filbertvane/io/EventLoop.h"
#include "filbertvane/io/mesh/Environment.h"

namespace filbertvane::io::mesh {

/// @brief Keeps the operators' records of the store current.
///
/// Records may come from the store and from other nodes in any order;
/// `RecordSet` decides which of them are in force.
class StoreFollower {
public:
  using RecordSet = decision::mesh::RecordSet;

  struct Callbacks {
    /// The record of a key that is in force has changed. `History` is set for
    /// records of unknown age: they were written before this process began to
    /// read, or before the store was restored.
    std::function<void(const RecordSet::Change &, bool History)> OnRecord;
    /// The position, or the records that the store has lost, have changed.
    std::function<void(const RecordSet &)> OnPosition;
    std::function<void(bool Reachable)> OnReachable;
    std::function<void(const core::Error &)> OnFault;
    /// The list of newest records was read, before it is applied.
    std::function<void(const OperatorRecords &)> OnListRead = nullptr;
    /// A read had no answer in time and is repeated.
    std::function<void(core::Milliseconds Hold)> OnOverdue;
  };

  StoreFollower(EventLoop &Loop, SharedStore &Store, std::uint64_t Seed,
                RecordSet::VersionOf Version, Callbacks Calls);

  void start();
  /// @brief Follows the store, or leaves that to other nodes.
  void follow(bool Now);
  /// @brief Sets the longest time for which the store may hold a read back.
  void setHold(core::Milliseconds Longest);
  /// @brief Reads the list of newest records of a restored store at a time,
  ///        unless another node has brought records of that era before.
  void readListAt(core::StoreEra Era, core::TimePoint Time);
  /// @brief Takes the records of another node.
  void adopt(const RecordEntries &Other);
  const RecordSet &known() const { return Records; }

private:
  void read();
  void readNewest();
  void readNext(core::Milliseconds Wait);
  void repeatRead();
  void abandonRead();
  void take(const core::Result<OperatorRecords> &Read, bool Newest);
  void takeFault(const core::Error &Why);
  void takeNewEra();
  template <typename Apply> void update(Apply Change);
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
  /// The read under way is one of the list.
  bool ReadsList = false;
  bool Following = true;
  std::optional<bool> Reachable;
  int Failures = 0;
  /// Time before which the list of a restored store is not read.
  core::TimePoint ListNotBefore;
  RecordSet Records;
};

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_LIB_IO_MESH_STOREFOLLOWER_H
