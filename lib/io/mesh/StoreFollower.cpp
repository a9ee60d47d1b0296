#include "StoreFollower.h"
#include "filbertvane/decision/mesh/Limits.h"
#include <algorithm>

namespace filbertvane::io::mesh {

namespace {

/// Time beyond its hold after which a read is repeated on another connection:
/// the answer can be lost while the connection seems to be open. A slow store
/// takes some 300 ms.
constexpr core::Milliseconds OverdueTime{500};
/// Least time between two reads: changes in quick succession are read
/// together. It leaves two thirds of the shortest time within which a
/// configuration has to be in force (2.5 s).
constexpr core::Milliseconds ReadGap{700};
/// Waits after failed calls double from the first to the last of these.
constexpr core::Milliseconds FirstRetry{200};
constexpr core::Milliseconds LastRetry{1000};
/// Spread of the start, so that nodes that start together do not call in the
/// same millisecond.
constexpr std::uint64_t StartSpreadMs = 50;

} // namespace

StoreFollower::StoreFollower(EventLoop &Loop, SharedStore &Store,
                             std::uint64_t Seed, RecordSet::VersionOf Version,
                             Callbacks Calls)
    : Loop(Loop), Store(Store), Calls(std::move(Calls)), Source(Seed),
      Next(Loop, [this] { read(); }), Overdue(Loop, [this] { repeatRead(); }),
      Hold(decision::mesh::LongReadHold), Records(std::move(Version)) {}

void StoreFollower::start() {
  later(core::Milliseconds(Source.below(StartSpreadMs)));
}

void StoreFollower::follow(bool Now) {
  if (Following == Now)
    return;
  Following = Now;
  if (Now) {
    later(core::Microseconds(0));
    return;
  }
  Next.cancel();
  abandonRead();
}

void StoreFollower::setHold(core::Milliseconds Longest) {
  Hold = Longest;
  // The answer to the read under way may be lost already.
  if (Reading && CurrentHold > Hold) {
    abandonRead();
    later(core::Microseconds(0));
  }
}

void StoreFollower::abandonRead() {
  Overdue.cancel();
  if (Reading)
    Store.abandonRead();
  Reading = false;
}

void StoreFollower::later(core::Microseconds After) {
  if (!Following)
    return;
  Next.arm(Loop.now().Mono + After);
}

void StoreFollower::read() {
  if (!HasBase)
    return readNewest();
  // The answer to the first read after a failure shows at once whether the
  // store is back.
  readNext(Failures > 0 ? core::Milliseconds(0) : Hold);
}

void StoreFollower::readNewest() {
  Reading = true;
  ReadsList = true;
  ReadSentAt = Loop.now().Mono;
  Store.readNewest(
      [this](const core::Result<OperatorRecords> &Read) { take(Read, true); });
}

void StoreFollower::readNext(core::Milliseconds Wait) {
  Reading = true;
  ReadsList = false;
  ReadSentAt = Loop.now().Mono;
  CurrentHold = Wait;
  if (Wait.count() > 0)
    Overdue.arm(ReadSentAt + Wait + OverdueTime);
  Store.readFrom(
      Records.nextRead(), Wait,
      [this](const core::Result<OperatorRecords> &Read) { take(Read, false); });
}

void StoreFollower::repeatRead() {
  if (!Reading)
    return;
  Calls.OnOverdue(CurrentHold);
  abandonRead();
  readNext(core::Milliseconds(0));
}

void StoreFollower::take(const core::Result<OperatorRecords> &Read,
                         bool Newest) {
  Reading = false;
  Overdue.cancel();
  if (!core::ok(Read))
    return takeFault(core::failure(Read));
  setReachable(true);
  Failures = 0;
  HasBase = true;
  const OperatorRecords &Got = core::value(Read);
  if (Newest && Calls.OnListRead)
    Calls.OnListRead(Got);
  // A list that is no later than what was read, after its offset was refused,
  // would be followed by the same refusal.
  const bool ListIsOld = Newest && !isLater(Got.Position, Records.position());
  update(
      [&] { return Newest ? Records.applyList(Got) : Records.applyLog(Got); });
  const bool MayBeMore = Newest ? !ListIsOld : Got.Records.empty();
  later(MayBeMore ? core::Microseconds(0) : ReadGap);
}

void StoreFollower::takeFault(const core::Error &Why) {
  if (Why.Code == core::ErrorCode::StoreTrimmed) {
    HasBase = false;
    return later(core::Microseconds(0));
  }
  // A list of an era that has passed is a fault: its era is not known to rise.
  if (Why.Code == core::ErrorCode::StoreRestored && !ReadsList)
    return takeNewEra();
  Calls.OnFault(Why);
  setReachable(false);
  const int Doublings = std::min(Failures++, 10);
  const core::Milliseconds Wait =
      std::min<core::Milliseconds>(FirstRetry * (1 << Doublings), LastRetry);
  // A read that ended without an answer has taken a part of the wait already.
  const auto Elapsed = std::chrono::duration_cast<core::Milliseconds>(
      Loop.now().Mono - ReadSentAt);
  const core::Milliseconds Left = std::max(FirstRetry, Wait - Elapsed);
  const double Spread = 0.5 + Source.unit();
  later(core::Microseconds(static_cast<std::int64_t>(
      Spread * static_cast<double>(core::Microseconds(Left).count()))));
}

void StoreFollower::setReachable(bool Now) {
  if (Reachable == Now)
    return;
  Reachable = Now;
  Calls.OnReachable(Now);
}

/// The store answered, and its offsets are not those that were read before.
void StoreFollower::takeNewEra() {
  HasBase = false;
  Failures = 0;
  setReachable(true);
  later(std::max(core::Microseconds(0), ListNotBefore - Loop.now().Mono));
}

void StoreFollower::readListAt(core::StoreEra Era, core::TimePoint Time) {
  if (Records.position().era() >= Era)
    return;
  ListNotBefore = Time;
  if (Reading && ReadsList)
    return;
  abandonRead();
  HasBase = false;
  later(std::max(core::Microseconds(0), Time - Loop.now().Mono));
}

/// Applies a change to the records and tells what it changed.
template <typename Apply> void StoreFollower::update(Apply Change) {
  const bool First = Records.position() == StorePosition();
  const std::uint64_t Before = Records.revision();
  const RecordSet::Changes Changed = Change();
  for (const RecordSet::Change &Each : Changed)
    Calls.OnRecord(Each, First || Each.Record.Position.era() !=
                                      Records.position().era());
  if (Records.revision() != Before)
    Calls.OnPosition(Records);
}

void StoreFollower::adopt(const RecordEntries &Other) {
  const bool Behind = isLater(Other.Position, Records.position());
  update([&] { return Records.merge(Other); });
  if (!Behind)
    return;
  HasBase = true;
  // The read under way may hang on a connection that has gone silent.
  if (Reading && Reachable.value_or(false)) {
    abandonRead();
    later(ReadGap);
  }
}

} // namespace filbertvane::io::mesh
