#ifndef FILBERTVANE_DECISION_MESH_RECORDSET_H
#define FILBERTVANE_DECISION_MESH_RECORDSET_H

#include "filbertvane/core/Digest.h"
#include "filbertvane/decision/mesh/StorePosition.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertvane::decision::mesh {

/// @brief A record that an operator wrote; a newer one of a key replaces it.
struct OperatorRecord {
  std::string Key;
  StorePosition Position;
  /// Encoded as the platform gives it; empty for a key that was removed.
  std::string Value;

  friend auto operator<=>(const OperatorRecord &,
                          const OperatorRecord &) = default;
};

/// @brief Operators' records that the store showed, up to a position.
struct OperatorRecords {
  /// Position after the last record that was considered.
  StorePosition Position;
  std::vector<OperatorRecord> Records;

  friend auto operator<=>(const OperatorRecords &,
                          const OperatorRecords &) = default;
};

/// @brief The record of a key that is in force.
struct RecordEntry {
  OperatorRecord Record;
  /// Latest position at which the store had a record of the key.
  StorePosition SeenAt;
  /// The record there is an older one than the one in force.
  bool Superseded = false;

  friend auto operator<=>(const RecordEntry &, const RecordEntry &) = default;
};

/// @brief All entries of a node, for another one.
struct RecordEntries {
  StorePosition Position;
  /// Lowest end that the store is known to have had in the era: what lies
  /// beyond was written in it.
  StorePosition LowestEnd;
  std::vector<RecordEntry> Entries;

  friend auto operator<=>(const RecordEntries &,
                          const RecordEntries &) = default;
};

/// @brief Operators' records in force at one node.
///
/// A store that is restored from an older copy may lack records that it
/// acknowledged, and shows older ones. What was in force stays so until a later
/// record of its key is read. Sets of different nodes merge to the same one in
/// any order.
class RecordSet {
public:
  /// @brief Version of a record; none for records that have no versions. A
  ///        higher version is always the later one.
  using VersionOf =
      std::function<std::optional<core::ConfigVersion>(const OperatorRecord &)>;

  /// @brief A change of the record in force.
  struct Change {
    OperatorRecord Record;
    StorePosition SeenAt;
    /// The record is the same; the store has it, or an older one, at another
    /// position.
    bool Renumbered = false;

    friend auto operator<=>(const Change &, const Change &) = default;
  };
  using Changes = std::vector<Change>;

  explicit RecordSet(VersionOf Version) : Version(std::move(Version)) {}

  /// @brief Applies a list of the newest record of each key.
  Changes applyList(const OperatorRecords &List);
  /// @brief Applies records that follow the position of the set; those of
  ///        another era are ignored.
  Changes applyLog(const OperatorRecords &Read);
  /// @brief Applies the set of another node.
  Changes merge(const RecordEntries &Other);

  /// @brief Position up to which the store is known.
  const StorePosition &position() const { return Current; }
  /// @brief Position from which the store is read next. Before the position of
  ///        the set when records are lost: a list does not show removals.
  const StorePosition &nextRead() const { return NextRead; }
  RecordEntries entries() const;
  /// @brief Changes with each change of the entries or of the position.
  std::uint64_t revision() const { return Revision; }
  /// @brief Number of records in force that the store does not have.
  std::size_t lostCount() const;
  /// @brief Digest of these records; 0 when there are none.
  core::Digest lostDigest() const;

private:
  void applyStored(const OperatorRecord &Stored, Changes &Out);
  void applyRemovals(const StorePosition &Position,
                     const std::vector<std::string> &Listed, Changes &Out);
  /// @param IsAhead the other node has read more of the store
  void mergeEntry(const RecordEntry &Other, bool IsAhead, Changes &Out);
  void replace(RecordEntry &Known, const RecordEntry &Newer, Changes &Out);
  void markSuperseded(RecordEntry &Known, const StorePosition &SeenAt,
                      Changes &Out);
  void advance(const StorePosition &Position);
  void enterEra(const OperatorRecords &Shown);
  void recordEnd(const StorePosition &End);
  bool isLost(const RecordEntry &Entry) const;
  bool isKnownAt(const OperatorRecord &Stored) const;
  bool hasLowerVersion(const OperatorRecord &Record,
                       const OperatorRecord &Than) const;
  bool prevails(const RecordEntry &Other, const RecordEntry &Known) const;
  void remember(const OperatorRecord &Stored);

  VersionOf Version;
  StorePosition Current;
  StorePosition NextRead;
  /// Of the era that the position is of.
  StorePosition LowestEnd;
  std::map<std::string, RecordEntry> Entries;
  /// Keys and values of the latest records that were seen, by their offsets. A
  /// copy is the beginning of the store before.
  std::map<core::LogOffset, core::Digest> History;
  std::uint64_t Revision = 0;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_RECORDSET_H
