#include "filbertvane/config/Report.h"
#include "filbertvane/config/Rfc3339.h"
#include <nlohmann/json.hpp>

namespace filbertvane::config {

namespace {

using nlohmann::json;

json decisionJson(const MoveDecision &Decision) {
  return {
      {"route", Decision.Route.value()},    {"reason", Decision.Reason},
      {"new_answers", Decision.NewAnswers}, {"new_faults", Decision.NewFaults},
      {"old_answers", Decision.OldAnswers}, {"old_faults", Decision.OldFaults}};
}

json moveJson(const MoveStatus &Move, core::WallTime Now) {
  json Out = {{"service", Move.Id.Service.value()},
              {"ordered_in", Move.Id.OrderedIn.value()},
              {"from", Move.From.value()},
              {"to", Move.Order.To.value()},
              {"by", formatRfc3339(Move.Order.Deadline)},
              {"accepted_at", formatRfc3339(Move.AcceptedAt)},
              {"stage", stageName(Move)},
              {"share_permille", Move.Share},
              {"sentence", describeMove(Move, Now)}};
  if (Move.Stage == MoveStage::InProgress)
    Out["left_ms"] = (Move.Order.Deadline - Now).count();
  if (Move.EndedAt)
    Out["ended_at"] = formatRfc3339(*Move.EndedAt);
  if (Move.Decision)
    Out["decided"] = decisionJson(*Move.Decision);
  return Out;
}

json refusedJson(const RefusedSheet &Sheet) {
  return {{"offset", Sheet.Offset.value()},
          {"operator", Sheet.Operator},
          {"code", static_cast<int>(Sheet.Reason.Code)},
          {"reason", core::toString(Sheet.Reason)}};
}

json inForceJson(const InForceReported &Report) {
  json Missing = json::array();
  for (const auto &[DataCentre, Since] : Report.Missing)
    Missing.push_back(
        {{"data_centre", DataCentre.value()}, {"since", formatRfc3339(Since)}});
  return {{"version", Report.Version.value()},
          {"at", formatRfc3339(Report.At)},
          {"missing", std::move(Missing)}};
}

json trafficJson(const TrafficSplit &Split) {
  json Out = {{"stable", Split.Stable.value()},
              {"candidate_share_permille", Split.CandidateShare}};
  if (Split.Candidate)
    Out["candidate"] = Split.Candidate->value();
  return Out;
}

} // namespace

std::string reportJson(const FleetState &State, core::WallTime Now) {
  json Out = {{"version", State.Version.value()},
              {"sheet_version", State.SheetVersion.value()},
              {"next_offset", State.NextOffset.value()},
              {"epoch", State.CurrentEpoch.value()},
              {"lease_holder", State.LeaseHolder.value()},
              {"services", json::object()},
              {"moves", json::array()},
              {"refused_sheets", json::array()}};
  for (const auto &[Service, Split] : State.TrafficByService)
    Out["services"][Service.value()] = trafficJson(Split);
  for (const MoveStatus &Move : State.Moves)
    Out["moves"].push_back(moveJson(Move, Now));
  for (const RefusedSheet &Sheet : State.RefusedSheets)
    Out["refused_sheets"].push_back(refusedJson(Sheet));
  if (State.InForce)
    Out["in_force"] = inForceJson(*State.InForce);
  // Names in log records may contain bytes that are not valid UTF-8.
  return Out.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace filbertvane::config
