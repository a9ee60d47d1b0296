#include "lib/io/mesh/StoreFollower.h"
#include "platform/StoreFormat.h"
#include "platform/Surroundings.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using decision::mesh::EvacuationOrdered;
using io::mesh::OperatorRecord;
using io::mesh::RecordEntries;
using io::mesh::StorePosition;

namespace {

StorePosition position(std::uint64_t Offset) {
  return {core::StoreEra(), core::LogOffset(Offset)};
}

/// A store that never answers.
class SilentStore : public io::mesh::SharedStore {
public:
  void onRestored(std::function<void(core::StoreEra)>) override {}
  void readNewest(RecordsRead) override {}
  void readFrom(StorePosition, core::Milliseconds, RecordsRead) override {}
  void abandonRead() override {}
  void publishHost(const core::NodeId &, std::string, Done) override {}
  void readHosts(HostsRead) override {}
  void readMoves(MovesRead) override {}
  void writeMove(
      const decision::mesh::WriteMove &,
      std::function<void(core::Result<decision::mesh::MovePhase>)>) override {}
};

EvacuationOrdered decoded(const OperatorRecord &Record) {
  const auto Read = platform::Surroundings().decode(Record);
  cr_assert(core::ok(Read) && core::value(Read));
  return std::get<EvacuationOrdered>(*core::value(Read));
}

} // namespace

// Guards against a zone that stays evacuated at a node that learns of the
// removal from a list of the newest records only.
Test(evacuation_records, a_key_absent_from_a_newer_list_was_removed) {
  io::EventLoop Loop;
  SilentStore Store;
  std::vector<EvacuationOrdered> Orders;
  io::mesh::StoreFollower::Callbacks Calls;
  Calls.OnRecord = [&](const decision::mesh::RecordSet::Change &Change, bool) {
    Orders.push_back(decoded(Change.Record));
  };
  Calls.OnPosition = [](const decision::mesh::RecordSet &) {};
  io::mesh::StoreFollower Follower(
      Loop, Store, 1,
      [](const OperatorRecord &) -> std::optional<core::ConfigVersion> {
        return std::nullopt;
      },
      Calls);
  const OperatorRecord Ordered{"evacuate/z1", position(4), "{}"};
  const RecordEntries Read{
      position(5), position(5), {{Ordered, position(4), false}}};
  Follower.adopt(Read);
  cr_assert(Orders.size() == 1 && Orders[0].Active);
  cr_assert(Orders[0].DataCentre == core::DataCentreId("z1"));
  Follower.adopt({position(9), position(9), {}});
  cr_assert(Orders.size() == 2 && !Orders[1].Active);
  cr_assert(Orders[1].OrderPosition > Orders[0].OrderPosition);
  // A node that is behind doesn't bring the order back, and the removal is
  // handed on.
  Follower.adopt(Read);
  cr_assert(Orders.size() == 2);
  cr_assert(Follower.known().entries().Entries.front().Record.Value.empty());
}

// Guards against a removal in the log that is taken for an order.
Test(evacuation_records, a_record_without_a_value_takes_the_order_back) {
  const std::string Body =
      std::string(16, '\0') + platform::formatKeyed("evacuate/z1", "");
  const auto Read = platform::parseRead(Body, position(7));
  cr_assert(core::ok(Read) && core::value(Read).Records.size() == 1);
  const EvacuationOrdered Order = decoded(core::value(Read).Records.front());
  cr_assert(!Order.Active && Order.OrderPosition == position(7));
}
