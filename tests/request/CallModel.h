#ifndef FILBERTVANE_TESTS_REQUEST_CALLMODEL_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_REQUEST_CALLMODEL_H

#include "Bench.h"
#include <map>
#include <set>

namespace bench {

/// What the callers and targets of one node saw, checked after each event.
struct CallModel {
  struct Seen {
    bool Idempotent = true;
    bool Ended = false;
    /// Attempts that ended otherwise than by "not run", or are open.
    std::uint32_t MayHaveRun = 0;
    std::optional<core::AttemptId> Open;
    bool Local = false;
    bool Started = false;
  };
  Bench Node;
  std::map<std::uint64_t, Seen> Calls;
  std::set<std::uint64_t> Claiming;
  std::set<std::uint64_t> AskingOwner;
  std::uint32_t LocalOpen = 0;
  std::string Violation;

  CallModel(config::FleetState Fleet, std::vector<Endpoint> Places)
      : Node(std::move(Fleet), std::move(Places)) {}

  void violated(const std::string &What) {
    if (Violation.empty())
      Violation = What;
  }

  void ended(Seen &Which) {
    if (Which.Ended)
      violated("a call ended twice");
    Which.Ended = true;
  }

  void closeAttempt(Seen &Which) {
    if (Which.Open && Which.Local)
      --LocalOpen;
    Which.Open.reset();
  }

  void apply(const Event &What, std::uint32_t Slots) {
    for (const Effect &One : Effects(Node.handle(What)))
      std::visit([this](const auto &E) { note(E); }, One);
    if (LocalOpen > Slots)
      violated("more requests run than the target has slots");
    for (const auto &[At, Own] : Node.Now->LocalTargets)
      if (Own.slotsInUse() > Slots)
        violated("slots in use exceed the limit");
    checkPools();
  }

  void checkPools() {
    for (const auto &[Name, Service] : Node.Now->Services)
      for (const VersionPool &Pool : Service.Pools)
        for (std::size_t Near = 0; Near < LocalityCount; ++Near)
          if (!Pool.Members[Near].empty() && Pool.Active[Near].empty())
            violated("ejection emptied a group of targets");
  }

  void note(const StartAttempt &E) {
    Seen &Which = Calls[E.Id.value()];
    if (!Which.Idempotent && Which.MayHaveRun > 0)
      violated("a non-idempotent request was sent again");
    if (Which.Ended)
      violated("an ended call was sent");
    ++Which.MayHaveRun;
    Which.Open = E.Attempt;
    Which.Local = E.To.Local;
    Which.Started = false;
    LocalOpen += E.To.Local ? 1 : 0;
  }
  void note(const CancelAttempt &E) { closeAttempt(Calls[E.Id.value()]); }
  void note(const Refuse &E) {
    Seen &Which = Calls[E.Id.value()];
    if (E.Result == Outcome::NotRun && Which.MayHaveRun > 0)
      violated("not run was said of a request that may have run");
    ended(Which);
  }
  void note(const RequestClaim &E) { Claiming.insert(E.Id.value()); }
  void note(const AnswerFromOwner &E) { AskingOwner.insert(E.Id.value()); }
  void note(const SendKeptAnswer &E) { ended(Calls[E.Id.value()]); }
  void note(const auto &) {}

  void end(std::uint64_t Id, AttemptEnd How, bool Crashed, int Status) {
    Seen &Which = Calls[Id];
    AttemptEnded What;
    What.Id = core::CallId(Id);
    What.Attempt = *Which.Open;
    What.End = How;
    What.Status = Status;
    What.TargetCrashed = Crashed;
    if (How == AttemptEnd::Answered)
      What.FullAnswer =
          std::make_shared<const KeptAnswer>(KeptAnswer{200, "whole"});
    closeAttempt(Which);
    if (How == AttemptEnd::NotRun)
      --Which.MayHaveRun;
    const bool PassedOn = How == AttemptEnd::Answered ||
                          How == AttemptEnd::Truncated || Which.Started;
    if (PassedOn && !Detached.count(Id))
      ended(Which);
    apply(What, 4);
  }
  std::set<std::uint64_t> Detached;
};

} // namespace bench

#endif // FILBERTVANE_TESTS_REQUEST_CALLMODEL_H
