#include "filbertvane/decision/mesh/RecordSet.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Records that are remembered: those of half a day at 2,100 changes a day, of
/// which a copy that is some seconds old lacks few.
constexpr std::size_t HistorySize = 1024;

core::Digest identify(const OperatorRecord &Record) {
  return core::digestOf(Record.Value, core::digestOf(Record.Key).value());
}

/// Whether the store has the record itself at its latest known position.
bool isPlain(const RecordEntry &Entry) {
  return !Entry.Superseded && Entry.Record.Position == Entry.SeenAt;
}

StorePosition after(const StorePosition &Position) {
  return {Position.era(), core::LogOffset(Position.offset().value() + 1)};
}

} // namespace

RecordSet::Changes RecordSet::applyList(const OperatorRecords &List) {
  Changes Out;
  if (List.Position.era() < Current.era())
    return Out;
  const bool IsNewEra = List.Position.era() > Current.era();
  recordEnd(List.Position);
  enterEra(List);
  std::vector<std::string> Listed;
  for (const OperatorRecord &Record : List.Records)
    Listed.push_back(Record.Key);
  applyRemovals(List.Position, Listed, Out);
  // Behind the last record that is known to be from the copy.
  StorePosition AfterCopy(List.Position.era(), core::LogOffset());
  for (const OperatorRecord &Record : List.Records) {
    if (isKnownAt(Record))
      AfterCopy = later(AfterCopy, after(Record.Position));
    applyStored(Record, Out);
  }
  advance(List.Position);
  NextRead = IsNewEra && lostCount() > 0 ? AfterCopy : Current;
  return Out;
}

RecordSet::Changes RecordSet::applyLog(const OperatorRecords &Read) {
  Changes Out;
  if (Read.Position.era() != Current.era())
    return Out;
  // Before the position of the list, a record that was known in an earlier era
  // is from the copy and older than what is in force.
  for (const OperatorRecord &Record : Read.Records)
    if (Record.Position >= Current || !isKnownAt(Record))
      applyStored(Record, Out);
  advance(Read.Position);
  NextRead = Read.Position;
  return Out;
}

RecordSet::Changes RecordSet::merge(const RecordEntries &Other) {
  Changes Out;
  const bool IsAhead = isLater(Other.Position, Current);
  recordEnd(Other.LowestEnd);
  if (IsAhead) {
    OperatorRecords Shown{Other.Position, {}};
    std::vector<std::string> Listed;
    for (const RecordEntry &Entry : Other.Entries) {
      Listed.push_back(Entry.Record.Key);
      if (isPlain(Entry) && Entry.SeenAt.era() == Other.Position.era())
        Shown.Records.push_back(Entry.Record);
    }
    enterEra(Shown);
    applyRemovals(Other.Position, Listed, Out);
  }
  for (const RecordEntry &Entry : Other.Entries)
    mergeEntry(Entry, IsAhead, Out);
  advance(Other.Position);
  if (IsAhead)
    NextRead = Current;
  return Out;
}

RecordEntries RecordSet::entries() const {
  RecordEntries All{Current, LowestEnd, {}};
  for (const auto &[Key, Entry] : Entries)
    All.Entries.push_back(Entry);
  return All;
}

/// The store has no record of a removed key, unless an older one came back.
bool RecordSet::isLost(const RecordEntry &Entry) const {
  return Entry.SeenAt.era() == Current.era() ? Entry.Superseded
                                             : !Entry.Record.Value.empty();
}

std::size_t RecordSet::lostCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Entries, [this](const auto &Each) { return isLost(Each.second); }));
}

core::Digest RecordSet::lostDigest() const {
  std::uint64_t Sum = 0;
  for (const auto &[Key, Entry] : Entries)
    if (isLost(Entry))
      Sum = core::digestOf(Entry.Record.Value, core::digestOf(Key, Sum).value())
                .value();
  return core::Digest(Sum);
}

void RecordSet::applyStored(const OperatorRecord &Stored, Changes &Out) {
  const bool Copied = isKnownAt(Stored);
  remember(Stored);
  const auto Found = Entries.find(Stored.Key);
  if (Found == Entries.end()) {
    ++Revision;
    Entries.emplace(Stored.Key, RecordEntry{Stored, Stored.Position, false});
    Out.push_back({Stored, Stored.Position, false});
    return;
  }
  RecordEntry &Known = Found->second;
  if (!isLater(Stored.Position, Known.SeenAt))
    return;
  const bool MayBeOlder =
      Known.Superseded || Stored.Position.era() != Known.SeenAt.era();
  if (MayBeOlder && Stored.Value == Known.Record.Value) {
    ++Revision;
    Known = {Stored, Stored.Position, false};
    Out.push_back({Stored, Stored.Position, true});
    return;
  }
  const bool OtherEra = Stored.Position.era() != Known.SeenAt.era();
  if ((OtherEra && Copied) ||
      (MayBeOlder && hasLowerVersion(Stored, Known.Record)))
    return markSuperseded(Known, Stored.Position, Out);
  replace(Known, {Stored, Stored.Position, false}, Out);
}

/// A key that is absent was removed at the latest by the last record before the
/// position. What the store had in an earlier era only is lost, not removed.
void RecordSet::applyRemovals(const StorePosition &Position,
                              const std::vector<std::string> &Listed,
                              Changes &Out) {
  for (auto &[Key, Known] : Entries) {
    const bool WasRemoved = Known.Record.Value.empty() && !Known.Superseded;
    if (WasRemoved || !(Known.SeenAt < Position) ||
        std::ranges::find(Listed, Key) != Listed.end())
      continue;
    const StorePosition Last(Position.era(),
                             core::LogOffset(Position.offset().value() - 1));
    replace(Known, {{Key, Last, ""}, Last, false}, Out);
  }
}

void RecordSet::mergeEntry(const RecordEntry &Other, bool IsAhead,
                           Changes &Out) {
  const auto Found = Entries.find(Other.Record.Key);
  if (Found == Entries.end()) {
    // The store has removed it since the other node read it.
    if (isPlain(Other) && Other.SeenAt < Current && !IsAhead)
      return;
    ++Revision;
    Entries.emplace(Other.Record.Key, Other);
    if (isPlain(Other))
      remember(Other.Record);
    if (!Other.Record.Value.empty())
      Out.push_back({Other.Record, Other.SeenAt, false});
    return;
  }
  RecordEntry &Known = Found->second;
  if (Other == Known)
    return;
  const bool SeenLater = isLater(Other.SeenAt, Known.SeenAt);
  if (SeenLater && isPlain(Other))
    return applyStored(Other.Record, Out);
  if (Other.Record.Value == Known.Record.Value) {
    if (!SeenLater)
      return;
    ++Revision;
    Known = Other;
    Out.push_back({Known.Record, Known.SeenAt, true});
    return;
  }
  if (prevails(Other, Known)) {
    RecordEntry Newer = Other;
    Newer.SeenAt = later(Other.SeenAt, Known.SeenAt);
    Newer.Superseded = Other.Superseded || Newer.SeenAt != Other.SeenAt;
    return replace(Known, Newer, Out);
  }
  if (SeenLater)
    markSuperseded(Known, Other.SeenAt, Out);
}

/// Of two entries that know of the same record in the store, the one that knows
/// it to be an older one is right; the other one took it for a new one. Beyond
/// the lowest end it is a new one, and only looks like an older one.
bool RecordSet::prevails(const RecordEntry &Other,
                         const RecordEntry &Known) const {
  const auto OtherVersion = Version(Other.Record);
  const auto KnownVersion = Version(Known.Record);
  if (OtherVersion && KnownVersion && *OtherVersion != *KnownVersion)
    return *OtherVersion > *KnownVersion;
  if (Other.SeenAt == Known.SeenAt && Other.Superseded != Known.Superseded)
    return Other.Superseded != (Known.SeenAt >= LowestEnd);
  return isLater(Other.Record.Position, Known.Record.Position);
}

void RecordSet::replace(RecordEntry &Known, const RecordEntry &Newer,
                        Changes &Out) {
  ++Revision;
  Known = Newer;
  Out.push_back({Known.Record, Known.SeenAt, false});
}

void RecordSet::markSuperseded(RecordEntry &Known, const StorePosition &SeenAt,
                               Changes &Out) {
  ++Revision;
  Known.SeenAt = SeenAt;
  Known.Superseded = true;
  Out.push_back({Known.Record, Known.SeenAt, true});
}

void RecordSet::advance(const StorePosition &Position) {
  if (!isLater(Position, Current))
    return;
  ++Revision;
  Current = Position;
}

/// The copy ends at the latest with the store, and before the first record that
/// is another one than in the era before.
void RecordSet::enterEra(const OperatorRecords &Shown) {
  if (Shown.Position.era() <= Current.era())
    return;
  core::LogOffset End = LowestEnd.offset();
  for (const OperatorRecord &Record : Shown.Records)
    if (History.contains(Record.Position.offset()) && !isKnownAt(Record))
      End = std::min(End, Record.Position.offset());
  History.erase(History.lower_bound(End), History.end());
}

void RecordSet::recordEnd(const StorePosition &End) {
  if (End.era() > LowestEnd.era() || End < LowestEnd)
    LowestEnd = End;
}

bool RecordSet::isKnownAt(const OperatorRecord &Stored) const {
  const auto Found = History.find(Stored.Position.offset());
  return Found != History.end() && Found->second == identify(Stored);
}

bool RecordSet::hasLowerVersion(const OperatorRecord &Record,
                                const OperatorRecord &Than) const {
  const auto Own = Version(Record);
  const auto Other = Version(Than);
  return Other && (!Own || *Own < *Other);
}

void RecordSet::remember(const OperatorRecord &Stored) {
  if (isKnownAt(Stored))
    return;
  // What followed another record at this offset is gone as well.
  if (History.contains(Stored.Position.offset()))
    History.erase(History.lower_bound(Stored.Position.offset()), History.end());
  History.emplace(Stored.Position.offset(), identify(Stored));
  if (History.size() > HistorySize)
    History.erase(History.begin());
}

} // namespace filbertvane::decision::mesh
