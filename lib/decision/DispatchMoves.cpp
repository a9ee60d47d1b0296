#include "Dispatch.h"
#include "EvidenceMessages.h"

namespace filbertvane::decision {

void Dispatch::receive(const core::DataCentreId &DataCentre,
                       const wire::Evidence &Message) {
  // Members report to their lead, leads of other data centres to the
  // coordinator.
  const bool FromMember = DataCentre == S.Local.DataCentre;
  const bool CoordinatorOnly = isCoordinator() && !S.Directory.IsLead;
  if (FromMember && !CoordinatorOnly)
    enqueue(
        rollout::MonitorEvent(rollout::EvidenceReceived{fromMessage(Message)}));
  else
    enqueue(rollout::ControllerEvent(
        rollout::EvidenceReceived{fromMessage(Message)}));
}

void Dispatch::receive(const wire::LocalRollback &Message) {
  const rollout::LocalRollback Value = fromMessage(Message);
  enqueue(rollout::MonitorEvent(rollout::LocalRollbackReceived{Value}));
  if (isCoordinator())
    enqueue(rollout::ControllerEvent(rollout::LocalRollbackReceived{Value}));
}

void Dispatch::handleEffect(rollout::SendEvidence &Effect) {
  const bool ToLead = Effect.To == rollout::Recipient::Lead;
  if (ToLead && S.Directory.IsLead) {
    enqueue(rollout::MonitorEvent(
        rollout::EvidenceReceived{std::move(Effect.Report)}));
    return;
  }
  if (!ToLead && isCoordinator()) {
    enqueue(rollout::ControllerEvent(
        rollout::EvidenceReceived{std::move(Effect.Report)}));
    return;
  }
  const auto To = ToLead ? leadAddress() : coordinatorAddress();
  if (To)
    send(*To, toMessage(Effect.Report));
}

void Dispatch::handleEffect(rollout::SendLocalRollback &Effect) {
  switch (Effect.To) {
  case rollout::Recipient::Lead:
    if (const auto To = leadAddress(); To && !S.Directory.IsLead)
      send(*To, toMessage(Effect.Rollback));
    return;
  case rollout::Recipient::Members:
    for (const std::string &To : memberAddresses())
      send(To, toMessage(Effect.Rollback));
    return;
  case rollout::Recipient::Coordinator:
    if (isCoordinator())
      enqueue(rollout::ControllerEvent(
          rollout::LocalRollbackReceived{Effect.Rollback}));
    else if (const auto To = coordinatorAddress())
      send(*To, toMessage(Effect.Rollback));
    return;
  }
}

void Dispatch::handleEffect(rollout::LocalRollbacksChanged &Effect) {
  S.LocalRollbacks = std::move(Effect.Moves);
  updateRequestConfiguration();
}

void Dispatch::handleEffect(rollout::AppendRecord &Effect) {
  // The process may have been paused since the lease was checked.
  if (lease::holdsLease(S.Lease, Now.Mono))
    append(std::move(Effect.Body));
}

void Dispatch::handleEffect(rollout::PublishLocalRollback &Effect) {
  enqueue(
      rollout::MonitorEvent(rollout::LocalRollbackReceived{Effect.Rollback}));
  for (const distribution::RemoteLead &Each : S.Distribution.RemoteLeads)
    send(Each.Contact.Address, toMessage(Effect.Rollback));
}

} // namespace filbertvane::decision
