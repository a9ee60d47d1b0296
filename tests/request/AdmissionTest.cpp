#include "NodeFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

namespace {

using enum config::TrafficKind;
using Action = AdmissionDecision::Kind;

const core::TimePoint Now{core::Seconds(100)};

SlotRequest slotRequest(std::uint64_t Id, config::TrafficKind Kind,
                        int WithinMs, std::uint64_t Bytes = 0,
                        bool Exclusive = false) {
  return {core::CallId(Id), Kind, Now + core::Milliseconds(WithinMs), Bytes,
          Exclusive};
}

/// Admission with one slot, in use, and a measured service time of 100 ms.
Admission busyAdmission(std::size_t Entries = 10) {
  Admission Queue(1, {Entries, 1000, true});
  Queue.admit(slotRequest(900, Interactive, 9000), Now);
  Queue.finish(slotRequest(900, Interactive, 9000), core::Milliseconds(100));
  Queue.admit(slotRequest(901, Interactive, 9000), Now);
  return Queue;
}

core::CallId finishAndDequeue(Admission &Queue) {
  Queue.finish(slotRequest(0, Interactive, 0), std::nullopt);
  return Queue.dequeue(Now)->Id;
}

} // namespace

// Guards against more concurrent requests than the target announced.
Test(admission, slots_are_counted_exactly) {
  Admission Queue(2, {});
  cr_assert(Queue.admit(slotRequest(1, Interactive, 99), Now).Action ==
            Action::Start);
  cr_assert(Queue.admit(slotRequest(2, Interactive, 99), Now).Action ==
            Action::Start);
  cr_assert(Queue.admit(slotRequest(3, Interactive, 99), Now).Action ==
            Action::Wait);
  cr_assert(!Queue.dequeue(Now), "started without a free slot");
  Queue.finish(slotRequest(1, Interactive, 99), std::nullopt);
  cr_assert(Queue.dequeue(Now)->Id == core::CallId(3),
            "the freed slot is not reused");
  cr_assert(Queue.slotsInUse() == 2, "wrong number of slots in use");
}

// Guards against starting requests that would end after their deadline.
Test(admission, interactive_requests_that_cannot_finish_are_refused) {
  Admission Queue = busyAdmission();
  const AdmissionDecision Decision =
      Queue.admit(slotRequest(1, Interactive, 150), Now);
  cr_assert(Decision.Action == Action::Refuse,
            "a request that cannot finish in time was queued");
  cr_assert(Decision.Reason == core::ErrorCode::RequestDeadlineTooShort,
            "wrong reason");
  cr_assert(Queue.admit(slotRequest(2, Interactive, 250), Now).Action ==
                Action::Wait,
            "refused although it can finish in time");
  cr_assert(Queue.admit(slotRequest(3, Patient, 150), Now).Action ==
                Action::Wait,
            "a patient request was refused");
  Queue.finish(slotRequest(901, Interactive, 9000), std::nullopt);
  const auto Next = Queue.dequeue(Now + core::Milliseconds(160));
  cr_assert(Next->Decision.Action == Action::Refuse,
            "started although it would miss its deadline");
}

// Guards against a queue order in which urgent requests expire or patient
// requests never start.
Test(admission, the_queue_is_ordered_by_kind_and_deadline) {
  Admission Queue = busyAdmission(50);
  Queue.admit(slotRequest(1, Patient, 5000), Now);
  Queue.admit(slotRequest(2, Interactive, 9000), Now);
  Queue.admit(slotRequest(3, Interactive, 4000), Now);
  cr_assert(finishAndDequeue(Queue) == core::CallId(3),
            "not the earliest deadline first");
  cr_assert(finishAndDequeue(Queue) == core::CallId(2),
            "interactive request not first");
  for (std::uint64_t Id = 10; Id < 30; ++Id)
    Queue.admit(slotRequest(Id, Interactive, 9000), Now);
  int Starts = 0;
  while (finishAndDequeue(Queue) != core::CallId(1))
    ++Starts;
  cr_assert(Starts < 8, "patient request starved");
}

// Guards against an unbounded queue.
Test(admission, the_queue_is_bounded) {
  Admission Queue = busyAdmission(1);
  Queue.admit(slotRequest(1, Patient, 5000), Now);
  const AdmissionDecision Decision =
      Queue.admit(slotRequest(2, Patient, 5000), Now);
  cr_assert(Decision.Reason == core::ErrorCode::RequestQueueFull,
            "the queue limit is not enforced");
}

// Guards against bulk bodies that exhaust the memory of the target.
Test(admission, bulk_is_limited_by_bytes_in_flight) {
  Admission Queue(9, {10, 1000, true});
  SlotRequest First = slotRequest(1, Bulk, 5000, 600);
  cr_assert(Queue.admit(First, Now).Action == Action::Start,
            "first bulk request not started");
  cr_assert(Queue.admit(slotRequest(2, Bulk, 5000, 300), Now).Action ==
                Action::Start,
            "second bulk request not started");
  Queue.addBytes(First, 200);
  cr_assert(Queue.admit(slotRequest(3, Bulk, 5000, 100), Now).Action ==
                Action::Wait,
            "started above the byte limit");
  cr_assert(Queue.admit(slotRequest(4, Interactive, 500), Now).Action ==
                Action::Start,
            "bulk requests block interactive ones");
  Queue.finish(First, std::nullopt);
  cr_assert(Queue.bulkBytes() == 300, "bytes not released");
  cr_assert(Queue.dequeue(Now)->Id == core::CallId(3),
            "waiting request not started");
}

// Guards against a suspect request that crashes the target while other requests
// run on it.
Test(admission, a_suspect_runs_alone) {
  Admission Queue(2, {});
  Queue.admit(slotRequest(1, Interactive, 500), Now);
  const SlotRequest Suspect = slotRequest(2, Interactive, 500, 0, true);
  cr_assert(Queue.admit(Suspect, Now).Action == Action::Wait,
            "the suspect runs along with another request");
  cr_assert(!Queue.dequeue(Now), "the suspect runs along with another request");
  cr_assert(Queue.admit(slotRequest(3, Interactive, 500), Now).Action ==
                Action::Wait,
            "started before the suspect");
  Queue.finish(slotRequest(1, Interactive, 500), std::nullopt);
  cr_assert(Queue.dequeue(Now)->Id == core::CallId(2),
            "waiting request not started");
  cr_assert(!Queue.dequeue(Now), "another request runs along with the suspect");
  Queue.finish(Suspect, std::nullopt);
  cr_assert(Queue.dequeue(Now)->Id == core::CallId(3),
            "not started after the suspect ended");
}
