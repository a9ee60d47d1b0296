#ifndef FILBERTVANE_TESTS_MESH_RESTOREFLEET_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_MESH_RESTOREFLEET_H

#include "KeyedStore.h"
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <set>

namespace meshbench {

/// Nodes on one simulated clock that read a store which is restored from
/// copies.
///
/// Each node is a reducer with its records; the model reads, publishes and
/// fetches for it as the process does.
class RestoreFleet {
public:
  struct Node {
    std::string Name;
    std::size_t Centre = 0;
    std::optional<MeshState> State;
    RecordSet Records{versionOf};
    std::optional<std::uint64_t> KnownEra;
    bool HasBase = false;
    bool Follows = true;
    bool Published = false;
    core::TimePoint ReadAt;
    core::TimePoint ListNotBefore;
    core::TimePoint PublishAt;
    core::TimePoint FrozenUntil;
    /// Time of the last fault of its own.
    core::TimePoint DisturbedAt;
    bool CutFromStore = false;
    std::uint64_t LastVersion = 0;

    bool runs(core::TimePoint Now) const {
      return State.has_value() && FrozenUntil <= Now;
    }
    std::uint64_t version() const {
      return State && State->Routing ? State->Routing->routing().Version.value()
                                     : 0;
    }
  };

  RestoreFleet(std::uint64_t Seed, std::size_t Count, std::size_t Centres);

  /// @name Operator
  /// @{
  void configure();
  void evacuate(bool Active);
  void move(const std::string &Version);
  /// @}

  /// @name Faults
  /// @{
  void setStoreAway(bool Away);
  /// Brings the store back as it was some time ago; the operator writes its
  /// newest records again after a while.
  void restore(milliseconds Age, milliseconds RewriteAfter);
  void kill(std::size_t Index);
  void start(std::size_t Index);
  void freeze(std::size_t Index, milliseconds Time);
  void cutFromStore(std::size_t Index, bool Cut);
  /// @}

  void run(milliseconds Time);
  bool storeAway() const { return Away; }
  core::TimePoint now() const { return Now; }
  /// Whether a node has been undisturbed for three seconds, as the store.
  bool isInTouch(const Node &Which) const;
  /// Version that has to be in force by now.
  std::uint64_t dueVersion() const;
  /// Version that the operator wrote last.
  std::uint64_t lastVersion() const { return Version; }
  /// What the operator wants.
  bool isEvacuated() const {
    const auto Found = Written.find("evacuate/z1");
    return Found != Written.end() && !Found->second.empty();
  }
  /// Times that the list of records was read.
  std::size_t listReads() const { return ListReads; }

  std::vector<Node> Nodes;
  KeyedStore Operators;
  /// Reports in the list of hosts.
  std::map<std::string, HostReport> Hosts;
  /// Ends of moves that were written.
  std::map<std::string, WriteMove> MoveEnds;
  /// What broke first; empty when nothing did.
  std::string Broken;

private:
  struct Copy {
    core::TimePoint TakenAt;
    std::size_t Records = 0;
    std::map<std::string, HostReport> Hosts;
    std::map<std::string, WriteMove> MoveEnds;
  };
  struct Scheduled {
    core::TimePoint At;
    std::function<void()> Run;
  };

  void step();
  void check();
  void after(milliseconds Delay, std::function<void()> Run) {
    Queue.push_back({Now + Delay, std::move(Run)});
  }
  void deliver(std::size_t Index, const Event &What);
  /// @return whether the store answers the node; tells it of a new era
  bool callStore(std::size_t Index);
  void read(std::size_t Index);
  void apply(std::size_t Index, const RecordSet::Changes &Changes);
  void publish(std::size_t Index);
  template <typename T> void handle(std::size_t, const T &) {}
  void handle(std::size_t Index, const SendReport &Report);
  void handle(std::size_t Index, const FetchRecords &Fetch);
  void handle(std::size_t Index, const FollowStore &Change) {
    Nodes[Index].Follows = Change.Follow;
  }
  void handle(std::size_t Index, const PublishReport &) { publish(Index); }
  void handle(std::size_t Index, const RecoverFromRestore &Plan);
  void handle(std::size_t Index, const WriteMove &Write);
  static std::size_t indexOf(const std::string &Address) {
    return std::stoul(Address.substr(1));
  }

  core::Random Source;
  core::TimePoint Now = at(100000);
  bool Away = false;
  core::TimePoint StoreDisturbedAt;
  std::uint64_t Version = 0;
  std::map<std::string, std::string> Written;
  std::vector<std::pair<core::TimePoint, std::uint64_t>> Acknowledged;
  std::vector<Copy> Copies;
  std::size_t ListReads = 0;
  std::vector<Scheduled> Queue;
};

} // namespace meshbench

#endif // FILBERTVANE_TESTS_MESH_RESTOREFLEET_H
