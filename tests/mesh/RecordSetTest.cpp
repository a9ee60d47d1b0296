#include "KeyedStore.h"
#include <rapidcheck.h>

using namespace meshbench;

namespace {

std::string inForce(const RecordSet &Set, const std::string &Key) {
  for (const RecordEntry &Entry : Set.entries().Entries)
    if (Entry.Record.Key == Key)
      return Entry.Record.Value;
  return {};
}

std::map<std::string, std::string> allInForce(const RecordSet &Set) {
  std::map<std::string, std::string> All;
  for (const RecordEntry &Entry : Set.entries().Entries)
    if (!Entry.Record.Value.empty())
      All[Entry.Record.Key] = Entry.Record.Value;
  return All;
}

} // namespace

// Guards against records that are skipped since their offsets were given out
// before.
Test(record_set, a_record_after_a_restore_is_in_force) {
  KeyedStore Store;
  RecordSet Node(versionOf);
  for (const char *Version : {"1", "2", "3", "4"})
    Store.write("config", Version);
  Store.readInto(Node);
  Store.restore(2);
  Store.write("config", "5");
  Store.readInto(Node);
  cr_assert(inForce(Node, "config") == "5");
  cr_assert(Node.position() == Store.end());
  // The same when the store has grown past the old position meanwhile.
  {
    Store.restore(1);
    for (const char *Version : {"6", "7", "8", "9"})
      Store.write("config", Version);
    Store.readInto(Node);
    cr_assert(inForce(Node, "config") == "9");
  }
}

// Guards against acknowledged records that go out of force since a copy lacks
// them, or has older ones.
Test(record_set, what_a_copy_lacks_stays_in_force) {
  KeyedStore Store;
  RecordSet Node(versionOf);
  Store.write("config", "1");
  Store.write("evacuate/z1", "{}");
  Store.readInto(Node);
  Store.write("config", "2");
  Store.write("evacuate/z1", "");
  Store.write("rollout/shop", "v2");
  Store.readInto(Node);
  Store.restore(2);
  Store.readInto(Node);
  cr_assert(inForce(Node, "config") == "2");
  cr_assert(inForce(Node, "evacuate/z1").empty());
  cr_assert(inForce(Node, "rollout/shop") == "v2");
  cr_assert(Node.lostCount() == 3);
  // The operator writes them again, or writes others.
  {
    Store.write("evacuate/z1", "");
    Store.write("rollout/shop", "v3");
    Store.write("config", "2");
    for (const RecordSet::Change &Each : Store.readInto(Node))
      cr_assert(Each.Renumbered == (Each.Record.Key != "rollout/shop"));
    cr_assert(inForce(Node, "rollout/shop") == "v3");
    cr_assert(Node.lostCount() == 0 && Node.lostDigest() == core::Digest());
  }
  // A key that is removed in the new era is removed.
  {
    Store.write("rollout/shop", "");
    Store.readInto(Node);
    cr_assert(inForce(Node, "rollout/shop").empty());
  }
}

// Guards against an order that goes out of force since the log of the copy,
// which is read for removals, has an older one and its removal.
Test(record_set, older_records_of_the_log_undo_nothing) {
  KeyedStore Store;
  RecordSet Node(versionOf);
  for (const char *Order : {"{}", "", "{}"}) {
    Store.write("evacuate/z1", Order);
    Store.readInto(Node);
  }
  Store.restore(2);
  Store.readInto(Node);
  Store.readInto(Node);
  cr_assert(inForce(Node, "evacuate/z1") == "{}");
  cr_assert(Node.lostCount() == 1);
}

// Guards against an order of the new era that is taken for the copy of an older
// one, which was the same and at the same offset.
Test(record_set, an_order_beyond_the_copy_is_a_new_one) {
  KeyedStore Store;
  RecordSet Node(versionOf);
  Store.write("config", "1");
  Store.readInto(Node);
  Store.write("evacuate/z1", "{}");
  Store.readInto(Node);
  Store.write("evacuate/z1", "");
  Store.readInto(Node);
  Store.restore(1);
  Store.readInto(Node);
  cr_assert(inForce(Node, "evacuate/z1").empty());
  Store.write("evacuate/z1", "{}");
  Store.readInto(Node);
  cr_assert(inForce(Node, "evacuate/z1") == "{}");
}

// Guards against a process that starts after a restore and keeps to the copy.
Test(record_set, a_new_process_learns_from_others_what_was_lost) {
  KeyedStore Store;
  RecordSet Node(versionOf);
  Store.write("config", "1");
  Store.write("rollout/shop", "v2");
  Store.readInto(Node);
  Store.write("config", "2");
  Store.write("rollout/shop", "v3");
  Store.readInto(Node);
  Store.restore(2);
  RecordSet Started(versionOf);
  Store.readInto(Started);
  cr_assert(inForce(Started, "rollout/shop") == "v2");
  // It meets a node that has not read of the new era.
  {
    Started.merge(Node.entries());
    cr_assert(inForce(Started, "config") == "2");
  }
  // That one has, meanwhile, and knows which order is the older one.
  {
    Node.merge(Started.entries());
    cr_assert(Node.position() == Store.end());
    cr_assert(inForce(Node, "rollout/shop") == "v3");
    Started.merge(Node.entries());
    cr_assert(inForce(Started, "rollout/shop") == "v3");
    cr_assert(Started.lostDigest() == Node.lostDigest());
  }
}

// Guards against sets that stay different, and against versions that go back,
// in any order of reads, merges, starts and restores.
Test(record_set, sets_agree_once_all_have_met) {
  cr_assert(rc::check([] {
    KeyedStore Store;
    constexpr std::size_t Count = 3;
    std::vector<RecordSet> Nodes(Count, RecordSet(versionOf));
    std::vector<std::uint64_t> Highest(Count, 0);
    std::uint64_t Version = 0;
    const int Steps = *rc::gen::inRange(5, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      const auto Index = *rc::gen::inRange<std::size_t>(0, Count);
      switch (*rc::gen::inRange(0, 8)) {
      case 0:
        Store.write("config", std::to_string(++Version));
        break;
      case 1:
        Store.write("rollout/shop",
                    "v" + std::to_string(*rc::gen::inRange(1, 4)));
        break;
      case 2:
        Store.write("evacuate/z1", *rc::gen::inRange(0, 2) == 0 ? "" : "{}");
        break;
      case 3:
        Store.restore(*rc::gen::inRange<std::size_t>(0, Store.size() + 1));
        break;
      case 4:
        if (*rc::gen::inRange(0, 4) == 0) {
          Nodes[Index] = RecordSet(versionOf);
          Highest[Index] = 0;
        }
        break;
      case 5:
        Nodes[Index].merge(
            Nodes[*rc::gen::inRange<std::size_t>(0, Count)].entries());
        break;
      default:
        Store.readInto(Nodes[Index]);
      }
      for (std::size_t Node = 0; Node < Count; ++Node) {
        const std::string Text = inForce(Nodes[Node], "config");
        const std::uint64_t Now = Text.empty() ? 0 : std::stoull(Text);
        RC_ASSERT(Now >= Highest[Node]);
        Highest[Node] = Now;
      }
    }
    for (RecordSet &Node : Nodes)
      Store.readInto(Node);
    for (int Round = 0; Round < 4; ++Round)
      for (RecordSet &Node : Nodes)
        for (const RecordSet &Other : Nodes)
          if (Other.lostDigest() != Node.lostDigest())
            Node.merge(Other.entries());
    for (const RecordSet &Node : Nodes) {
      RC_ASSERT(allInForce(Node) == allInForce(Nodes[0]));
      RC_ASSERT(Node.position() == Store.end());
    }
    // What the operator writes now is in force everywhere.
    Store.write("config", std::to_string(++Version));
    Store.write("rollout/shop", "last");
    Store.write("evacuate/z1", "last");
    for (RecordSet &Node : Nodes) {
      Store.readInto(Node);
      RC_ASSERT(inForce(Node, "config") == std::to_string(Version));
      RC_ASSERT(inForce(Node, "rollout/shop") == "last");
      RC_ASSERT(inForce(Node, "evacuate/z1") == "last");
      RC_ASSERT(Node.lostCount() == 0u);
    }
  }));
}
