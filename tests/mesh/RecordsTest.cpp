#include "MeshBench.h"
#include "filbertvane/core/Digest.h"
#include "filbertvane/decision/mesh/Limits.h"
#include <algorithm>

using namespace meshbench;

namespace {

HostReport follower(const std::string &Node, std::uint64_t Sequence = 1,
                    bool Reachable = true) {
  HostReport Report = report(Node, Sequence);
  Report.StoreReachable = Reachable;
  return Report;
}

/// Names of hosts in the data centre that rank before the node under test.
std::vector<std::string> rankedBefore(std::size_t Count) {
  const auto LocalScore = core::rendezvousScore("follow-store", "n0");
  std::vector<std::string> Found;
  for (int I = 100; Found.size() < Count; ++I) {
    const std::string Name = "n" + std::to_string(I);
    if (core::rendezvousScore("follow-store", Name) > LocalScore)
      Found.push_back(Name);
  }
  return Found;
}

} // namespace

// Guards against a store that every node of a large data centre reads, and
// against a data centre without a follower.
Test(mesh_records, two_nodes_of_a_data_centre_follow_the_store) {
  Bench Node;
  Node.configure();
  Node.send(StoreReachabilityChanged{true});
  const auto Before = rankedBefore(2);
  Node.send(ReportReceived{follower(Before[0])});
  Node.send(request::Tick{});
  cr_assert(!Node.first<FollowStore>(), "one other follower is not enough");
  Node.send(ReportReceived{follower(Before[1])});
  Node.send(request::Tick{});
  cr_assert(Node.first<FollowStore>() && !Node.first<FollowStore>()->Follow);
  // When one of them cannot reach the store, this node follows again.
  {
    Node.send(ReportReceived{follower(Before[1], 2, false)});
    Node.send(request::Tick{});
    cr_assert(Node.first<FollowStore>()->Follow);
  }
  // The same when one of them stops sending reports.
  {
    Node.send(ReportReceived{follower(Before[1], 3)});
    Node.send(request::Tick{});
    cr_assert(!Node.first<FollowStore>()->Follow);
    Node.Now += milliseconds(1400);
    Node.send(ReportReceived{follower(Before[0], 2)});
    Node.Now += milliseconds(200);
    Node.send(request::Tick{});
    cr_assert(Node.first<FollowStore>()->Follow);
  }
}

// Guards against a fleet in which no node notices lost reads, and against one
// in which all followers read at short intervals.
Test(mesh_records, the_first_follower_of_some_data_centres_watches_the_store) {
  Bench Node;
  Node.configure();
  Node.send(StoreReachabilityChanged{true});
  Node.send(request::Tick{});
  cr_assert(Node.first<SetReadHold>()->Hold == WatchReadHold);
  // Another node of the data centre ranks higher, until it leaves.
  {
    const std::string Other = rankedBefore(1)[0];
    Node.send(ReportReceived{follower(Other)});
    Node.send(request::Tick{});
    cr_assert(Node.first<SetReadHold>()->Hold == LongReadHold);
    HostReport Leaving = follower(Other, 2);
    Leaving.Leaving = true;
    Node.send(ReportReceived{Leaving});
    Node.send(request::Tick{});
    cr_assert(Node.first<SetReadHold>()->Hold == WatchReadHold);
  }
  // Enough other data centres rank higher, until one of them loses the store.
  {
    const auto LocalScore = core::rendezvousScore("watch-store", "dc1");
    std::vector<HostReport> Remote;
    for (int I = 2; Remote.size() < WatchingDataCentres; ++I) {
      const std::string Centre = "dc" + std::to_string(I);
      if (core::rendezvousScore("watch-store", Centre) > LocalScore)
        Remote.push_back(report("r" + std::to_string(I), 1, Centre));
    }
    for (HostReport &Host : Remote) {
      Node.send(request::Tick{});
      cr_assert(Node.count<SetReadHold>() == 0);
      Host.StoreReachable = true;
      Node.send(ReportReceived{Host});
    }
    Node.send(request::Tick{});
    cr_assert(Node.first<SetReadHold>()->Hold == LongReadHold);
    Remote[0].Sequence = 2;
    Remote[0].StoreReachable = false;
    Node.send(ReportReceived{Remote[0]});
    Node.send(request::Tick{});
    cr_assert(Node.first<SetReadHold>()->Hold == WatchReadHold);
  }
}

// Guards against a node that misses a configuration because it does not follow
// the store itself, or because its store connection delivers nothing.
Test(mesh_records, a_node_behind_asks_the_nearest_host_that_is_ahead) {
  Bench Node;
  Node.configure();
  Node.send(StoreReachabilityChanged{true});
  for (const std::string &Name : rankedBefore(2))
    Node.send(ReportReceived{follower(Name)});
  Node.send(request::Tick{});
  HostReport Ahead = follower(rankedBefore(1)[0], 2);
  Ahead.Position = position(9);
  Ahead.Address = "10.0.0.77";
  Node.send(ReportReceived{Ahead});
  Node.send(request::Tick{});
  Node.Now += milliseconds(30);
  Node.send(request::Tick{});
  cr_assert(Node.first<FetchRecords>()->PeerAddress == "10.0.0.77");
  // Once it has the records, it notifies hosts that do not.
  Node.send(PositionReached{position(9)});
  cr_assert(Node.first<SendReport>()->Report.Position == position(9));
  Node.Now += milliseconds(1000);
  Node.send(request::Tick{});
  cr_assert(!Node.first<FetchRecords>());
}

// Guards against a data centre whose followers cannot reach the store and that
// learns of new records only with the next remote report.
Test(mesh_records, other_data_centres_are_told_of_new_records_at_once) {
  Bench Node;
  Node.configure();
  Node.send(StoreReachabilityChanged{true});
  for (int I = 1; I <= 4; ++I)
    Node.send(ReportReceived{report("f" + std::to_string(I), 1, "dc2", "r2")});
  Node.send(PositionReached{position(3)});
  cr_assert(Node.first<SendReport>()->Addresses.size() == 2);
}

// Guards against offsets of two eras that are compared: a node that slept
// through a restore seems to be ahead.
Test(mesh_records, a_higher_offset_of_an_older_era_is_behind) {
  Bench Node;
  Node.configure();
  Node.send(StoreReachabilityChanged{true});
  Node.send(PositionReached{position(3, 2)});
  HostReport Other = report("n5", 1);
  Other.Position = position(9, 1);
  Node.send(ReportReceived{Other});
  Node.Now += milliseconds(1000);
  Node.send(request::Tick{});
  cr_assert(!Node.first<FetchRecords>());
  // The other way round, this node fetches.
  {
    Bench Slept;
    Slept.configure();
    Slept.send(PositionReached{position(9, 1)});
    Other.Sequence = 2;
    Other.Position = position(3, 2);
    Slept.send(ReportReceived{Other});
    Slept.Now += milliseconds(400);
    Slept.send(request::Tick{});
    Slept.Now += milliseconds(400);
    Slept.send(request::Tick{});
    cr_assert(Slept.first<FetchRecords>().has_value());
  }
}

// Guards against a node that keeps to a copy while others have what it lacks.
Test(mesh_records, records_that_the_store_has_lost_are_fetched) {
  Bench Node;
  Node.configure();
  Node.send(StoreReachabilityChanged{true});
  Node.send(PositionReached{position(3, 2)});
  HostReport Other = report("n5", 1);
  Other.Position = position(3, 2);
  Other.LostRecords = core::Digest(7);
  Node.send(ReportReceived{Other});
  Node.send(request::Tick{});
  Node.Now += milliseconds(400);
  Node.send(request::Tick{});
  cr_assert(Node.first<FetchRecords>().has_value());
  // Once it has them, it asks no more.
  Node.send(PositionReached{position(3, 2), 1, core::Digest(7)});
  Node.Now += milliseconds(1000);
  Node.send(request::Tick{});
  cr_assert(!Node.first<FetchRecords>());
}

// Guards against a whole data centre that reads the list when the store is
// back.
Test(mesh_records, only_two_nodes_of_a_data_centre_read_the_list_at_once) {
  for (const std::size_t Before : {0U, 1U, 2U, 5U}) {
    Bench Node;
    Node.configure();
    Node.send(PositionReached{position(3, 1)});
    for (const std::string &Name : rankedBefore(Before))
      Node.send(ReportReceived{follower(Name)});
    Node.send(StoreRestored{core::StoreEra(2)});
    const auto Plan = Node.first<RecoverFromRestore>();
    cr_assert(Plan.has_value());
    cr_assert((Plan->ReadListAt == Node.Now) == (Before < 2));
    cr_assert(Plan->ReadListAt - Node.Now <= milliseconds(2000));
    // The same restore is not handled twice, whoever tells of it.
    Node.send(StoreRestored{core::StoreEra(2)});
    cr_assert(!Node.first<RecoverFromRestore>());
    Node.send(PositionReached{position(2, 2)});
    cr_assert(!Node.first<RecoverFromRestore>());
  }
}
