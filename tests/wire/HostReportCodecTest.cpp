#include "filbertvane/wire/HostReportCodec.h"
#include "../mesh/MeshBench.h"
#include <rapidcheck.h>

using namespace meshbench;

// Guards against fields that are lost between nodes.
Test(host_report_codec, a_report_survives_the_way) {
  HostReport Report = report("n1", 9);
  Report.Leaving = true;
  Report.StoreReachable = true;
  Report.Position = position(77, 3);
  Report.LostRecords = core::Digest(0xfedcba9876543210);
  Report.Target->FaultPermille = 12;
  Report.Target->Tallies = {
      {core::RouteName("list"), 10, 2,
       AnswerTimes().with(milliseconds(90)).with(milliseconds(900)),
       AnswerTimes().with(milliseconds(1200))}};
  Report.Target->StepTallies = {{core::RouteName("list"), 3, 1, {}, {}}};
  Report.Target->RequestsPerSecond = 12.5;
  Report.Moves = {{core::ServiceName("shop"), core::TargetVersion("v2"),
                   position(5, 2), MovePhase::Rejected, milliseconds(1200)}};
  Report.Departed = DepartedTarget{core::TargetId("t-1"), 1700};
  Report.RecipientDeparted = DepartedTarget{core::TargetId("t-2"), 1800};
  const auto Read = wire::decodeHostReport(wire::encode(Report));
  cr_assert(core::ok(Read));
  cr_assert(core::value(Read) == Report);
  Report.Target.reset();
  cr_assert(core::value(wire::decodeHostReport(wire::encode(Report))) ==
            Report);
}

// Guards against operators' records that differ between nodes.
Test(host_report_codec, records_survive_the_way) {
  const RecordEntries Entries{
      position(9, 2),
      position(6, 2),
      {{{"config", position(4, 1), std::string("\0x", 2)},
        position(7, 2),
        true},
       {{"evacuate/z1", position(3, 2), ""}, position(3, 2), false}}};
  cr_assert(core::value(wire::decodeRecordEntries(wire::encode(Entries))) ==
            Entries);
}

// Guards against a process that ends on a datagram of another writer.
Test(host_report_codec, any_bytes_are_decoded_or_refused) {
  cr_assert(rc::check([](const std::string &Bytes) {
    wire::decodeHostReport(Bytes);
    wire::decodeRecordEntries(Bytes);
  }));
  cr_assert(rc::check([] {
    std::string Bytes = wire::encode(report("n1"));
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
    wire::decodeHostReport(Bytes);
  }));
}
