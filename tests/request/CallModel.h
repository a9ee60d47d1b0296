#ifndef FILBERTVANE_TESTS_REQUEST_CALLMODEL_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_REQUEST_CALLMODEL_H

#include "NodeFixture.h"
#include <map>
#include <set>

namespace request_fixture {

/// Model of what callers and targets of one node observe, checked after each
/// event.
struct CallModel {
  struct CallRecord {
    bool Idempotent = true;
    bool Ended = false;
    /// Attempts that are open or did not end with "not run".
    std::uint32_t MayHaveRun = 0;
    std::optional<core::AttemptId> OpenAttempt;
    bool Local = false;
    bool Started = false;
  };
  NodeFixture Node;
  std::map<std::uint64_t, CallRecord> Calls;
  std::set<std::uint64_t> Claiming;
  std::set<std::uint64_t> AskingOwner;
  std::uint32_t OpenLocalAttempts = 0;
  std::string Violation;

  CallModel(config::FleetState Fleet, std::vector<Endpoint> Places)
      : Node(std::move(Fleet), std::move(Places)) {}

  void reportViolation(const std::string &Message) {
    if (Violation.empty())
      Violation = Message;
  }

  void ended(CallRecord &Record) {
    if (Record.Ended)
      reportViolation("a call ended twice");
    Record.Ended = true;
  }

  void closeAttempt(CallRecord &Record) {
    if (Record.OpenAttempt && Record.Local)
      --OpenLocalAttempts;
    Record.OpenAttempt.reset();
  }

  void apply(const Event &Input, std::uint32_t Slots) {
    for (const Effect &Emitted : Effects(Node.handle(Input)))
      std::visit([this](const auto &E) { note(E); }, Emitted);
    if (OpenLocalAttempts > Slots)
      reportViolation("more requests run than the target has slots");
    for (const auto &[Index, Queue] : Node.Now->LocalTargets)
      if (Queue.slotsInUse() > Slots)
        reportViolation("slots in use exceed the limit");
    checkPools();
  }

  void checkPools() {
    for (const auto &[Name, Service] : Node.Now->Services)
      for (const VersionPool &Pool : Service.Pools)
        for (std::size_t Distance = 0; Distance < LocalityCount; ++Distance)
          if (!Pool.Members[Distance].empty() && Pool.Active[Distance].empty())
            reportViolation("ejection left no active target in a group");
  }

  void note(const StartAttempt &E) {
    CallRecord &Record = Calls[E.Id.value()];
    if (!Record.Idempotent && Record.MayHaveRun > 0)
      reportViolation("a non-idempotent request was sent again");
    if (Record.Ended)
      reportViolation("a call was sent after its end");
    ++Record.MayHaveRun;
    Record.OpenAttempt = E.Attempt;
    Record.Local = E.To.Local;
    Record.Started = false;
    OpenLocalAttempts += E.To.Local ? 1 : 0;
  }
  void note(const CancelAttempt &E) { closeAttempt(Calls[E.Id.value()]); }
  void note(const Refuse &E) {
    CallRecord &Record = Calls[E.Id.value()];
    if (E.Result == Outcome::NotRun && Record.MayHaveRun > 0)
      reportViolation("a request that may have run was reported as not run");
    ended(Record);
  }
  void note(const RequestClaim &E) { Claiming.insert(E.Id.value()); }
  void note(const AnswerFromOwner &E) { AskingOwner.insert(E.Id.value()); }
  void note(const SendKeptAnswer &E) { ended(Calls[E.Id.value()]); }
  void note(const auto &) {}

  void end(std::uint64_t Id, AttemptEnd End, bool Crashed, int Status) {
    CallRecord &Record = Calls[Id];
    AttemptEnded Ended;
    Ended.Id = core::CallId(Id);
    Ended.Attempt = *Record.OpenAttempt;
    Ended.End = End;
    Ended.Status = Status;
    Ended.TargetCrashed = Crashed;
    if (End == AttemptEnd::Answered)
      Ended.FullAnswer =
          std::make_shared<const KeptAnswer>(KeptAnswer{200, "whole"});
    closeAttempt(Record);
    if (End == AttemptEnd::NotRun)
      --Record.MayHaveRun;
    const bool Forwarded = End == AttemptEnd::Answered ||
                           End == AttemptEnd::Truncated || Record.Started;
    if (Forwarded && !Detached.count(Id))
      ended(Record);
    apply(Ended, 4);
  }
  std::set<std::uint64_t> Detached;
};

} // namespace request_fixture

#endif // FILBERTVANE_TESTS_REQUEST_CALLMODEL_H
