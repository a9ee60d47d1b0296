#include "filbertvane/config/SheetParser.h"
#include "config/RandomLog.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
using namespace filbertvane::config;

namespace {

const std::string Valid = R"(base: 3
services:
  - name: reading
    version: 1.40
    move: {to: "2.0", by: 2026-12-04T12:30:00Z}
  - {name: booking, version: a1}
routes:
  - name: slots
    prefix: /slots
    service: booking
    idempotent: false
    kind: patient
    timeout_ms: 4000
  - {name: lists, prefix: /, service: reading, idempotent: true}
)";

/// All errors of a sheet, one per line.
std::string errorsIn(const std::string &Text) {
  const auto Parsed = parseSheet(Text, "s.yaml");
  std::string Out;
  if (const auto *Found = std::get_if<ErrorList>(&Parsed))
    for (const core::Error &Each : *Found)
      Out += core::toString(Each) + "\n";
  return Out;
}

} // namespace

Test(sheet_parser, a_valid_sheet_is_read_and_sorted) {
  const auto Parsed = parseSheet(Valid, "s.yaml");
  const auto *Read = std::get_if<Sheet>(&Parsed);
  const std::string Errors = errorsIn(Valid);
  cr_assert(Read, "%s", Errors.c_str());
  cr_assert(Read->Base == core::ConfigVersion(3));
  cr_assert(Read->Services[0].Name == core::ServiceName("booking"));
  cr_assert(Read->Services[1].Version == core::TargetVersion("1.40"));
  cr_assert(Read->Services[1].Move->Deadline ==
            core::WallTime(core::Milliseconds(1796387400000)));
  const RouteSpec Slots{core::RouteName("slots"),     "/slots",
                        core::ServiceName("booking"), false,
                        TrafficKind::Patient,         core::Milliseconds(4000)};
  cr_assert(Read->Routes[1] == Slots);
  cr_assert(Read->Routes[0].Kind == TrafficKind::Interactive);
  cr_assert(Read->Routes[0].Timeout == core::Milliseconds(2000));
}

// Guards against operators who learn of only one error per attempt.
Test(sheet_parser, all_faults_are_reported_with_line_and_field) {
  const std::string Found = errorsIn(R"(base: -1
owner: ann
services:
  - name: a
    version: "1.0"
    move: {to: "2.0", by: 2026-02-30T00:00:00Z}
  - name: a
    version: [1]
  - 7
routes:
  - {name: r, prefix: x, service: a, idempotent: maybe, kind: fast}
  - {name: s, prefix: /, service: b, idempotent: true, timeout_ms: 0}
  - {name: t, prefix: /, idempotent: true}
)");
  const std::string Expected =
      "[FV203] sheet field is missing or has a wrong value: s.yaml:1: base: "
      "must be a whole number between 0 and 9223372036854775807\n"
      "[FV204] sheet has an unknown key: s.yaml:2: owner: is not a known key\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:6: "
      "services[0].move.by: must be an RFC 3339 time in UTC, for example "
      "2026-12-04T10:00:00Z\n"
      "[FV206] name is used twice: s.yaml:7: services[1].name: a\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:8: "
      "services[1].version: must be a single value\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:9: "
      "services[2]: must be a mapping\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:11: "
      "routes[0].idempotent: must be true or false\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:11: "
      "routes[0].kind: must be interactive, bulk or patient\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:11: "
      "routes[0].prefix: must begin with /\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:12: "
      "routes[1].timeout_ms: must be a whole number between 1 and 3600000\n"
      "[FV205] route leads to a service that the sheet does not define: "
      "s.yaml:12: routes[1].service: b\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:13: "
      "routes[2].service: is missing\n"
      "[FV203] sheet field is missing or has a wrong value: s.yaml:13: "
      "routes[2].prefix: / is also the prefix of route s\n";
  cr_assert_str_eq(Found.c_str(), Expected.c_str());
}

Test(sheet_parser, a_syntax_fault_names_its_line) {
  const std::string Found = errorsIn("base: 1\nservices: [\n");
  cr_assert(Found.starts_with("[FV202] sheet is not valid YAML: s.yaml:3: "),
            "%s", Found.c_str());
  const std::string Empty = errorsIn("");
  cr_assert_str_eq(Empty.c_str(), "[FV202] sheet is not valid YAML: s.yaml:1: "
                                  "must hold one YAML document\n");
}

// Guards against a duplicate key, one value of which would be ignored.
Test(sheet_parser, a_repeated_key_is_refused) {
  const std::string Found = errorsIn("base: 0\nservices: []\nroutes: []\n"
                                     "base: 1\n");
  cr_assert_str_eq(Found.c_str(),
                   "[FV203] sheet field is missing or has a wrong value: "
                   "s.yaml:4: base: is given twice\n");
}

// Guards against invalid moves that are found only after publication.
Test(sheet_parser, a_sheet_is_checked_against_the_current_state) {
  FleetState State;
  State.TrafficByService[core::ServiceName("booking")] =
      TrafficSplit{core::TargetVersion("a0"), std::nullopt, 0};
  const auto Parsed = parseSheet(Valid, "s.yaml", State,
                                 core::WallTime(std::chrono::days(36500)));
  const auto *Found = std::get_if<ErrorList>(&Parsed);
  cr_assert(Found && Found->size() == 2);
  cr_assert((*Found)[0].Code == core::ErrorCode::SheetTimePassed);
  const std::string Detail = (*Found)[1].Detail;
  cr_assert_str_eq(Detail.c_str(),
                   "s.yaml:6: services[1].version: a1 differs from the stable "
                   "version a0: order a move");
}

// Guards against files that crash the parser. Besides random text, tries
// corrupted valid sheets, which reach more of the parser.
Test(sheet_parser, random_text_never_crashes_the_parser) {
  cr_assert(rc::check("random text", [](std::uint64_t Seed) {
    tests::RandomLog Source(Seed);
    const std::string Special = "{}[]:,-&*!|>'\"%@`#? \n\t~0a";
    for (int I = 0; I < 20; ++I) {
      (void)parseSheet(Source.bytes(100), "s.yaml");
      std::string Text = Valid;
      for (std::uint64_t Left = 1 + Source.below(5); Left > 0; --Left)
        Text[Source.below(Text.size())] = Special[Source.below(Special.size())];
      (void)parseSheet(Text, "s.yaml");
    }
  }));
}

// Guards against sheets that crash the validator, and against log readers that
// accept a sheet which the validator refuses.
Test(sheet_parser, random_sheets_never_crash_the_validator) {
  cr_assert(rc::check("random sheets", [](std::uint64_t Seed) {
    tests::RandomLog Source(Seed);
    Sheet Content = Source.sheet({});
    for (ServiceSpec &Each : Content.Services)
      if (Source.oneIn(3))
        Each.Name = core::ServiceName(Source.bytes(80));
    for (RouteSpec &Each : Content.Routes)
      if (Source.oneIn(3))
        Each.Prefix = Source.bytes(300);
    const auto Own = validateSheet(Content);
    const SheetPublished Body{{}, computeDelta({}, Content), "o", {}};
    const ApplyResult After =
        apply({}, {}, {core::WriterId("w"), 1, RecordBody(Body)});
    if (!Own.empty())
      RC_ASSERT(std::holds_alternative<Refused>(After.Outcome));
  }));
}
