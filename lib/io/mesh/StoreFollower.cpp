#include "StoreFollower.h"
#include <algorithm>

namespace filbertvane::io::mesh {

namespace {

/// Time for which the store holds a read back. Each read is paid for, so that
/// a calm day should need few.
constexpr core::Milliseconds ReadWait{10000};
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
                             std::uint64_t Seed, Callbacks Calls)
    : Loop(Loop), Store(Store), Calls(std::move(Calls)), Source(Seed),
      Next(Loop, [this] { HasBase ? readNext() : readNewest(); }) {}

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
  if (Reading)
    Store.abandonRead();
  Reading = false;
}

void StoreFollower::later(core::Microseconds After) {
  if (!Following)
    return;
  Next.arm(Loop.now().Mono + After);
}

void StoreFollower::readNewest() {
  Reading = true;
  Store.readNewest(
      [this](const core::Result<OperatorRecords> &Read) { take(Read, true); });
}

void StoreFollower::readNext() {
  Reading = true;
  Store.readFrom(
      Position, ReadWait,
      [this](const core::Result<OperatorRecords> &Read) { take(Read, false); });
}

void StoreFollower::take(const core::Result<OperatorRecords> &Read,
                         bool Newest) {
  Reading = false;
  if (!core::ok(Read))
    return takeFault(core::failure(Read));
  setReachable(true);
  Failures = 0;
  HasBase = true;
  const bool Empty = core::value(Read).Records.empty();
  apply(core::value(Read), Newest && Position.value() == 0);
  later(Newest || Empty ? core::Microseconds(0) : ReadGap);
}

void StoreFollower::takeFault(const core::Error &Why) {
  if (Why.Code == core::ErrorCode::StoreTrimmed) {
    HasBase = false;
    return later(core::Microseconds(0));
  }
  Calls.OnFault(Why);
  setReachable(false);
  const int Doublings = std::min(Failures++, 10);
  const core::Milliseconds Wait =
      std::min<core::Milliseconds>(FirstRetry * (1 << Doublings), LastRetry);
  const double Spread = 0.5 + Source.unit();
  later(core::Microseconds(static_cast<std::int64_t>(
      Spread * static_cast<double>(core::Microseconds(Wait).count()))));
}

void StoreFollower::setReachable(bool Now) {
  if (Reachable == Now)
    return;
  Reachable = Now;
  Calls.OnReachable(Now);
}

void StoreFollower::apply(const OperatorRecords &What, bool History) {
  for (const OperatorRecord &Record : What.Records) {
    const auto Found = Records.find(Record.Key);
    if (Found != Records.end() && Found->second.Offset >= Record.Offset)
      continue;
    Records.insert_or_assign(Record.Key, Record);
    Calls.OnRecord(Record, History);
  }
  if (What.Position <= Position)
    return;
  Position = What.Position;
  Calls.OnPosition(Position);
}

void StoreFollower::adopt(const OperatorRecords &What) {
  const bool Behind = What.Position > Position;
  apply(What, Position.value() == 0);
  if (!Behind)
    return;
  HasBase = true;
  // The read under way may hang on a connection that has gone silent.
  if (Reading && Reachable.value_or(false)) {
    Store.abandonRead();
    Reading = false;
    later(ReadGap);
  }
}

OperatorRecords StoreFollower::known() const {
  OperatorRecords All;
  All.Position = Position;
  for (const auto &[Key, Record] : Records)
    All.Records.push_back(Record);
  return All;
}

} // namespace filbertvane::io::mesh
