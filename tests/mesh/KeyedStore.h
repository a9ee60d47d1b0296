#ifndef FILBERTVANE_TESTS_MESH_KEYEDSTORE_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_MESH_KEYEDSTORE_H

#include "MeshBench.h"
#include "filbertvane/decision/mesh/RecordSet.h"
#include <charconv>

namespace meshbench {

/// Configurations of these tests are their version as text.
inline std::optional<core::ConfigVersion>
versionOf(const OperatorRecord &Record) {
  std::uint64_t Number = 0;
  const std::string &Text = Record.Value;
  if (Record.Key != "config" || Text.empty())
    return std::nullopt;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return core::ConfigVersion(Number);
}

/// Store with one topic of keyed records.
class KeyedStore {
public:
  void write(const std::string &Key, const std::string &Value) {
    Log.push_back({Key, position(Log.size(), Era), Value});
  }
  /// Goes back to a copy that has so many records.
  void restore(std::size_t Records) {
    ++Era;
    Log.resize(std::min(Log.size(), Records));
    for (OperatorRecord &Each : Log)
      Each.Position = {core::StoreEra(Era), Each.Position.offset()};
  }
  std::uint64_t era() const { return Era; }
  StorePosition end() const { return position(Log.size(), Era); }
  OperatorRecords list() const {
    std::map<std::string, OperatorRecord> Newest;
    for (const OperatorRecord &Each : Log)
      Newest.insert_or_assign(Each.Key, Each);
    OperatorRecords All{end(), {}};
    for (const auto &[Key, Each] : Newest)
      if (!Each.Value.empty())
        All.Records.push_back(Each);
    return All;
  }
  /// Reads on, as a node does: the list in another era.
  RecordSet::Changes readInto(RecordSet &Set) const {
    if (Set.position().era() != core::StoreEra(Era))
      return Set.applyList(list());
    OperatorRecords Rest{end(), {}};
    for (const OperatorRecord &Each : Log)
      if (Each.Position >= Set.nextRead())
        Rest.Records.push_back(Each);
    return Set.applyLog(Rest);
  }
  std::size_t size() const { return Log.size(); }

private:
  std::uint64_t Era = 1;
  std::vector<OperatorRecord> Log;
};

} // namespace meshbench

#endif // FILBERTVANE_TESTS_MESH_KEYEDSTORE_H
