#include "filbertvane/config/Report.h"
#include "filbertvane/config/Rfc3339.h"
#include <fmt/format.h>

namespace filbertvane::config {

namespace {

std::string durationText(core::Milliseconds Length) {
  const auto Seconds = Length.count() / 1000;
  if (Seconds < 60)
    return fmt::format("{} s", Seconds);
  if (Seconds < 3600)
    return fmt::format("{} min {} s", Seconds / 60, Seconds % 60);
  if (Seconds < 172800)
    return fmt::format("{} h {} min", Seconds / 3600, Seconds / 60 % 60);
  return fmt::format("{} days", Seconds / 86400);
}

std::string deadlineText(const MoveStatus &Move, core::WallTime Now) {
  const std::string By = formatRfc3339(Move.Order.Deadline);
  if (Move.Order.Deadline >= Now)
    return fmt::format("to be complete by {}, {} left", By,
                       durationText(Move.Order.Deadline - Now));
  return fmt::format("was to be complete by {}, {} ago", By,
                     durationText(Now - Move.Order.Deadline));
}

std::string figuresText(const MoveStatus &Move) {
  const MoveDecision &Decision = *Move.Decision;
  const std::string Route =
      Decision.Route.value().empty()
          ? ""
          : fmt::format(" on route {}", Decision.Route.value());
  return fmt::format("Answers{}: {} of {} failed on {}, {} of {} on {}.", Route,
                     Decision.NewFaults, Decision.NewAnswers,
                     Move.Order.To.value(), Decision.OldFaults,
                     Decision.OldAnswers, Move.From.value());
}

std::string endText(const MoveStatus &Move, const char *StageText) {
  const std::string At = Move.EndedAt ? formatRfc3339(*Move.EndedAt) : "?";
  std::string Text = fmt::format("{} at {}", StageText, At);
  if (!Move.Decision)
    return Text + ".";
  if (!Move.Decision->Reason.empty())
    Text += fmt::format(" because {}", Move.Decision->Reason);
  return fmt::format("{}. {}", Text, figuresText(Move));
}

std::string stageText(const MoveStatus &Move, core::WallTime Now) {
  switch (Move.Stage) {
  case MoveStage::InProgress:
    break;
  case MoveStage::Completed:
    return endText(Move, "done");
  case MoveStage::RolledBack:
    return endText(Move, "reversed");
  case MoveStage::Superseded:
    return endText(Move, "replaced by a newer sheet");
  }
  if (Move.Share == 0)
    return fmt::format("accepted at {}, no requests yet; {}.",
                       formatRfc3339(Move.AcceptedAt), deadlineText(Move, Now));
  return fmt::format("in progress with {}.{}% of the requests; {}.",
                     Move.Share / 10, Move.Share % 10, deadlineText(Move, Now));
}

std::string inForceText(const InForceReported &Report) {
  std::string Text =
      fmt::format("Version {} was in force at {}", Report.Version.value(),
                  formatRfc3339(Report.At));
  if (Report.Missing.empty())
    return Text + " in all data centres.\n";
  Text += ", except in data centres that cannot be reached:";
  for (const auto &[DataCentre, Since] : Report.Missing)
    Text +=
        fmt::format(" {} (since {})", DataCentre.value(), formatRfc3339(Since));
  return Text + ".\n";
}

} // namespace

const char *stageName(const MoveStatus &Move) {
  switch (Move.Stage) {
  case MoveStage::InProgress:
    return Move.Share == 0 ? "accepted" : "in_progress";
  case MoveStage::Completed:
    return "done";
  case MoveStage::RolledBack:
    return "reversed";
  case MoveStage::Superseded:
    return "superseded";
  }
  return "unknown";
}

std::string describeMove(const MoveStatus &Move, core::WallTime Now) {
  return fmt::format("Move of {} from {} to {}: {}", Move.Id.Service.value(),
                     Move.From.value(), Move.Order.To.value(),
                     stageText(Move, Now));
}

std::string reportText(const FleetState &State, core::WallTime Now) {
  std::string Text =
      fmt::format("Configuration version {}, sheet version {}.\n",
                  State.Version.value(), State.SheetVersion.value());
  if (State.InForce)
    Text += inForceText(*State.InForce);
  for (const MoveStatus &Move : State.Moves)
    Text += describeMove(Move, Now) + "\n";
  for (const RefusedSheet &Sheet : State.RefusedSheets)
    Text +=
        fmt::format("Sheet of {} at offset {} refused: {}\n", Sheet.Operator,
                    Sheet.Offset.value(), core::toString(Sheet.Reason));
  return Text;
}

} // namespace filbertvane::config
