#include "Dispatch.h"
#include "EvidenceMessages.h"

namespace filbertvane::decision {

void Dispatch::receive(const core::DataCentreId &DataCentre,
                       const wire::Evidence &What) {
  // Members report to their lead; leads of other data centres report to the
  // coordinator.
  const bool FromMember = DataCentre == S.Local.DataCentre;
  const bool CoordinatorOnly = isCoordinator() && !S.Directory.IsLead;
  if (FromMember && !CoordinatorOnly)
    enqueue(
        rollout::MonitorEvent(rollout::EvidenceReceived{fromMessage(What)}));
  else
    enqueue(
        rollout::ControllerEvent(rollout::EvidenceReceived{fromMessage(What)}));
}

void Dispatch::receive(const wire::LocalRollback &What) {
  const rollout::LocalRollback Value = fromMessage(What);
  enqueue(rollout::MonitorEvent(rollout::LocalRollbackReceived{Value}));
  if (isCoordinator())
    enqueue(rollout::ControllerEvent(rollout::LocalRollbackReceived{Value}));
}

void Dispatch::handleEffect(rollout::SendEvidence &What) {
  const bool ToLead = What.To == rollout::Recipient::Lead;
  if (ToLead && S.Directory.IsLead) {
    enqueue(rollout::MonitorEvent(
        rollout::EvidenceReceived{std::move(What.Report)}));
    return;
  }
  if (!ToLead && isCoordinator()) {
    enqueue(rollout::ControllerEvent(
        rollout::EvidenceReceived{std::move(What.Report)}));
    return;
  }
  const auto To = ToLead ? leadAddress() : coordinatorAddress();
  if (To)
    send(*To, toMessage(What.Report));
}

void Dispatch::handleEffect(rollout::SendLocalRollback &What) {
  switch (What.To) {
  case rollout::Recipient::Lead:
    if (const auto To = leadAddress(); To && !S.Directory.IsLead)
      send(*To, toMessage(What.Rollback));
    return;
  case rollout::Recipient::Members:
    for (const std::string &To : memberAddresses())
      send(To, toMessage(What.Rollback));
    return;
  case rollout::Recipient::Coordinator:
    if (isCoordinator())
      enqueue(rollout::ControllerEvent(
          rollout::LocalRollbackReceived{What.Rollback}));
    else if (const auto To = coordinatorAddress())
      send(*To, toMessage(What.Rollback));
    return;
  }
}

void Dispatch::handleEffect(rollout::LocalRollbacksChanged &What) {
  S.LocalRollbacks = std::move(What.Moves);
  updateRequestConfiguration();
}

void Dispatch::handleEffect(rollout::AppendRecord &What) {
  // The process may have been paused since the lease was last checked.
  if (lease::holdsLease(S.Lease, Now.Mono))
    append(std::move(What.Body));
}

void Dispatch::handleEffect(rollout::PublishLocalRollback &What) {
  enqueue(rollout::MonitorEvent(rollout::LocalRollbackReceived{What.Rollback}));
  for (const distribution::RemoteLead &Each : S.Distribution.RemoteLeads)
    send(Each.Contact.Address, toMessage(What.Rollback));
}

} // namespace filbertvane::decision
