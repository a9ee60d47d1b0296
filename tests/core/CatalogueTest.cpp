#include "filbertvane/core/Error.h"
#include "filbertvane/observe/LogEvent.h"
#include <criterion/criterion.h>
#include <string>

using namespace filbertvane;

// Guards against errors and log lines without the number by which operators
// look them up.
Test(catalogue, an_error_names_its_number_and_subject) {
  const core::Error Failure{core::ErrorCode::SheetUnknownService, "route r1"};
  const std::string Line = core::toString(Failure);
  cr_assert_str_eq(Line.c_str(),
                   "[FV205] route leads to a service that the sheet does not "
                   "define: route r1");
}

Test(catalogue, an_event_names_its_level_and_number) {
  const observe::LogEvent Event{observe::EventId::ProcessStarted, ""};
  const std::string Line = observe::toString(Event);
  cr_assert_str_eq(Line.c_str(), "level=info event=1001 node process started");
}
