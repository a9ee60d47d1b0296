#include "Bench.h"
#include <criterion/criterion.h>

using namespace bench;

namespace {

using enum config::TrafficKind;
using Kind = AdmissionDecision::Kind;

const core::TimePoint Now{core::Seconds(100)};

SlotRequest applicant(std::uint64_t Id, config::TrafficKind Of, int WithinMs,
                      std::uint64_t Bytes = 0, bool Alone = false) {
  return {core::CallId(Id), Of, Now + core::Milliseconds(WithinMs), Bytes,
          Alone};
}

/// One slot, in use, with an observed service time of 100 ms.
Admission busy(std::size_t Entries = 10) {
  Admission Made(1, {Entries, 1000, true});
  Made.admit(applicant(900, Interactive, 9000), Now);
  Made.finish(applicant(900, Interactive, 9000), core::Milliseconds(100));
  Made.admit(applicant(901, Interactive, 9000), Now);
  return Made;
}

core::CallId nextOf(Admission &Own) {
  Own.finish(applicant(0, Interactive, 0), std::nullopt);
  return Own.dequeue(Now)->Id;
}

} // namespace

// Guards against more concurrent requests than the target announced.
Test(admission, slots_are_counted_exactly) {
  Admission Own(2, {});
  cr_assert(Own.admit(applicant(1, Interactive, 99), Now).Action ==
            Kind::Start);
  cr_assert(Own.admit(applicant(2, Interactive, 99), Now).Action ==
            Kind::Start);
  cr_assert(Own.admit(applicant(3, Interactive, 99), Now).Action == Kind::Wait);
  cr_assert(!Own.dequeue(Now), "started without a slot");
  Own.finish(applicant(1, Interactive, 99), std::nullopt);
  cr_assert(Own.dequeue(Now)->Id == core::CallId(3), "slot not reused");
  cr_assert(Own.slotsInUse() == 2, "count");
}

// Guards against work that is late when it ends.
Test(admission, interactive_requests_that_cannot_finish_are_refused) {
  Admission Own = busy();
  const AdmissionDecision Verdict =
      Own.admit(applicant(1, Interactive, 150), Now);
  cr_assert(Verdict.Action == Kind::Refuse, "queued in vain");
  cr_assert(Verdict.Reason == core::ErrorCode::RequestDeadlineTooShort, "why");
  cr_assert(Own.admit(applicant(2, Interactive, 250), Now).Action == Kind::Wait,
            "refused though it fits");
  cr_assert(Own.admit(applicant(3, Patient, 150), Now).Action == Kind::Wait,
            "patient requests may wait");
  Own.finish(applicant(901, Interactive, 9000), std::nullopt);
  const auto Turn = Own.dequeue(Now + core::Milliseconds(160));
  cr_assert(Turn->Decision.Action == Kind::Refuse, "started too late");
}

// Guards against an order that lets urgent requests expire, and against
// patient requests that never start.
Test(admission, the_queue_is_ordered_by_kind_and_deadline) {
  Admission Own = busy(50);
  Own.admit(applicant(1, Patient, 5000), Now);
  Own.admit(applicant(2, Interactive, 9000), Now);
  Own.admit(applicant(3, Interactive, 4000), Now);
  cr_assert(nextOf(Own) == core::CallId(3), "earliest deadline first");
  cr_assert(nextOf(Own) == core::CallId(2), "interactive first");
  for (std::uint64_t Id = 10; Id < 30; ++Id)
    Own.admit(applicant(Id, Interactive, 9000), Now);
  int Starts = 0;
  while (nextOf(Own) != core::CallId(1))
    ++Starts;
  cr_assert(Starts < 8, "patient request starved");
}

// Guards against an unbounded queue.
Test(admission, the_queue_is_bounded) {
  Admission Own = busy(1);
  Own.admit(applicant(1, Patient, 5000), Now);
  const AdmissionDecision Verdict = Own.admit(applicant(2, Patient, 5000), Now);
  cr_assert(Verdict.Reason == core::ErrorCode::RequestQueueFull, "no bound");
}

// Guards against bulk bodies that fill the target's memory.
Test(admission, bulk_is_limited_by_bytes_in_flight) {
  Admission Own(9, {10, 1000, true});
  SlotRequest First = applicant(1, Bulk, 5000, 600);
  cr_assert(Own.admit(First, Now).Action == Kind::Start, "the first fits");
  cr_assert(Own.admit(applicant(2, Bulk, 5000, 300), Now).Action == Kind::Start,
            "it fits");
  Own.addBytes(First, 200);
  cr_assert(Own.admit(applicant(3, Bulk, 5000, 100), Now).Action == Kind::Wait,
            "above the limit");
  cr_assert(Own.admit(applicant(4, Interactive, 500), Now).Action ==
                Kind::Start,
            "bulk holds others back");
  Own.finish(First, std::nullopt);
  cr_assert(Own.bulkBytes() == 300, "bytes not freed");
  cr_assert(Own.dequeue(Now)->Id == core::CallId(3), "not started");
}

// Guards against a suspect that crashes other requests with it.
Test(admission, a_suspect_runs_alone) {
  Admission Own(2, {});
  Own.admit(applicant(1, Interactive, 500), Now);
  const SlotRequest Suspect = applicant(2, Interactive, 500, 0, true);
  cr_assert(Own.admit(Suspect, Now).Action == Kind::Wait, "with others");
  cr_assert(!Own.dequeue(Now), "with others");
  cr_assert(Own.admit(applicant(3, Interactive, 500), Now).Action == Kind::Wait,
            "overtakes the suspect");
  Own.finish(applicant(1, Interactive, 500), std::nullopt);
  cr_assert(Own.dequeue(Now)->Id == core::CallId(2), "not started");
  cr_assert(!Own.dequeue(Now), "another request beside the suspect");
  Own.finish(Suspect, std::nullopt);
  cr_assert(Own.dequeue(Now)->Id == core::CallId(3), "others go on");
}
