#include "lib/io/mesh/StoreFollower.h"
#include "platform/StoreFormat.h"
#include "platform/Surroundings.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using decision::mesh::EvacuationOrdered;
using io::mesh::OperatorRecord;
using io::mesh::OperatorRecords;

namespace {

/// A store that never answers.
class SilentStore : public io::mesh::SharedStore {
public:
  void onRestored(std::function<void(core::StoreEra)>) override {}
  void readNewest(RecordsRead) override {}
  void readFrom(core::LogOffset, core::Milliseconds, RecordsRead) override {}
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
  Calls.OnRecord = [&](const OperatorRecord &Record, bool) {
    Orders.push_back(decoded(Record));
  };
  Calls.OnPosition = [](core::LogOffset) {};
  io::mesh::StoreFollower Follower(Loop, Store, 1, Calls);
  const OperatorRecord Ordered{"evacuate/z1", core::LogOffset(4), "{}"};
  Follower.adopt({core::LogOffset(5), {Ordered}});
  cr_assert(Orders.size() == 1 && Orders[0].Active);
  cr_assert(Orders[0].DataCentre == core::DataCentreId("z1"));
  Follower.adopt({core::LogOffset(9), {}});
  cr_assert(Orders.size() == 2 && !Orders[1].Active);
  cr_assert(Orders[1].OrderOffset > Orders[0].OrderOffset);
  // A node that is behind doesn't bring the order back, and the removal is
  // handed on.
  Follower.adopt({core::LogOffset(5), {Ordered}});
  cr_assert(Orders.size() == 2);
  cr_assert(Follower.known().Records.front().Value.empty());
}

// Guards against a removal in the log that is taken for an order.
Test(evacuation_records, a_record_without_a_value_takes_the_order_back) {
  const std::string Body =
      std::string(16, '\0') + platform::formatKeyed("evacuate/z1", "");
  const auto Read = platform::parseRead(Body, core::LogOffset(7));
  cr_assert(core::ok(Read) && core::value(Read).Records.size() == 1);
  const EvacuationOrdered Order = decoded(core::value(Read).Records.front());
  cr_assert(!Order.Active && Order.OrderOffset == core::LogOffset(7));
}
