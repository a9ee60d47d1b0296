#include "platform/Requests.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using Kind = io::TargetAnswer::Kind;

namespace {

io::ResponseHead answer(int Status, io::Headers Fields) {
  return {Status, std::move(Fields)};
}

const io::Headers Signed = {{"X-Attempt-Id", "a1"},
                            {"X-Response-Signature", "s"}};

} // namespace

// Guards against an answer that belongs to another request, or that is not the
// whole work of the target.
Test(platform_requests, an_answer_has_to_be_the_targets_own) {
  const platform::Requests Speak;
  cr_assert(Speak.readAnswer(answer(200, Signed), "a1").What == Kind::Sound);
  cr_assert(Speak.readAnswer(answer(200, Signed), "a2").What == Kind::Foreign);
  // A success without signature, or in an encoding nobody asked for.
  cr_assert(
      Speak.readAnswer(answer(200, {{"X-Attempt-Id", "a1"}}), "a1").What ==
      Kind::Foreign);
  io::Headers Encoded = Signed;
  Encoded.emplace("Content-Encoding", "gzip");
  cr_assert(Speak.readAnswer(answer(200, Encoded), "a1").What == Kind::Foreign);
  // A failure needs no signature.
  cr_assert(
      Speak.readAnswer(answer(500, {{"X-Attempt-Id", "a1"}}), "a1").What ==
      Kind::Sound);
}

// Guards against a refusal that is taken for a run, and the reverse.
Test(platform_requests, only_marked_answers_mean_not_run) {
  const platform::Requests Speak;
  io::Headers Refused = {{"X-Attempt-Id", "a1"}, {"X-Not-Executed", "1"}};
  cr_assert(Speak.readAnswer(answer(503, Refused), "a1").What == Kind::NotRun);
  cr_assert(
      Speak.readAnswer(answer(503, {{"X-Attempt-Id", "a1"}}), "a1").What ==
      Kind::Sound);
  cr_assert(Speak.readAnswer(answer(421, {}), "a1").What == Kind::Misdirected);
  // A refusal has to name the request, unless that has no id.
  const auto Unnamed = answer(503, {{"X-Not-Executed", "1"}});
  cr_assert(Speak.readAnswer(Unnamed, "a1").What == Kind::Foreign);
  cr_assert(Speak.readAnswer(Unnamed, "").What == Kind::NotRun);
}

// Guards against a limit that is not read, and against one that is no number.
Test(platform_requests, a_target_names_its_limit_in_its_answers) {
  const platform::Requests Speak;
  const auto LimitOf = [&Speak](const char *Text) {
    io::Headers Fields = Signed;
    Fields.emplace("Server-Limit", Text);
    return Speak.readAnswer(answer(200, Fields), "a1")
        .Statement->RequestsPerSecond;
  };
  cr_assert(LimitOf("45.5") == 45.5);
  cr_assert(LimitOf("0") == 0.0);
  for (const char *NoLimit : {"", "many", "-3", "nan", "inf", "1e999", "5 "})
    cr_assert(!LimitOf(NoLimit), "%s", NoLimit);
  cr_assert(!Speak.readAnswer(answer(200, Signed), "a1")
                 .Statement->RequestsPerSecond);
}

// Guards against a target that leaves and goes on getting requests, and against
// one that is taken for leaving by the answer of another.
Test(platform_requests, a_target_says_in_its_answers_that_it_leaves) {
  const platform::Requests Speak;
  io::Headers Fields = Signed;
  cr_assert(!Speak.readAnswer(answer(200, Fields), "a1").Statement->Leaving);
  Fields.emplace("Server-Leaving", "1");
  cr_assert(Speak.readAnswer(answer(200, Fields), "a1").Statement->Leaving);
  cr_assert(!Speak.readAnswer(answer(200, Fields), "a2").Statement);
  cr_assert(!Speak.readAnswer(answer(421, Fields), "a1").Statement);
  Fields.emplace("X-Not-Executed", "1");
  cr_assert(Speak.readAnswer(answer(503, Fields), "a1").Statement->Leaving);
}

// Guards against a caller that names its own service, or a deadline that stays
// as the caller sent it.
Test(platform_requests, the_targets_fields_are_replaced) {
  const platform::Requests Speak;
  io::Headers Fields = {{"x-caller-service", "forged"},
                        {"X-Deadline-Ms", "2500"},
                        {"X-Attempt-Id", "a1"}};
  Speak.setTargetFields(Fields, {core::TargetId("i-1"), core::Milliseconds(700),
                                 core::ServiceName("home")});
  cr_assert(Fields.count("X-Caller-Service") == 1);
  cr_assert(*io::headerOf(Fields, "X-Caller-Service") == "home");
  cr_assert(*io::headerOf(Fields, "X-Deadline-Ms") == "700");
  cr_assert(*io::headerOf(Fields, "X-Expected-Instance") == "i-1");
  cr_assert(*io::headerOf(Fields, "X-Attempt-Id") == "a1");
}

// Guards against a key that reaches a target, and against a caller that names
// its own tenant.
Test(platform_requests, the_tenant_replaces_the_callers_identity) {
  const platform::Requests Speak;
  const auto FieldsFor = [&Speak](std::optional<core::TenantName> Tenant) {
    io::Headers Fields = {{"x-credential", "k1"},
                          {"X-Tenant-Id", "forged"},
                          {"x-tenant-id", "twice"}};
    Speak.setTargetFields(Fields,
                          {core::TargetId("i-1"), core::Milliseconds(700),
                           core::ServiceName("home"), std::move(Tenant)});
    return Fields;
  };
  const io::Headers Named = FieldsFor(core::TenantName("depot"));
  cr_assert(Named.count("X-Credential") == 0 &&
            Named.count("X-Tenant-Id") == 1);
  cr_assert(*io::headerOf(Named, "X-Tenant-Id") == "depot");
  const io::Headers Without = FieldsFor(core::TenantName());
  cr_assert(Without.count("X-Credential") + Without.count("X-Tenant-Id") == 0);
  // Where callers need no keys, the headers are not the platform's.
  cr_assert(FieldsFor(std::nullopt).count("X-Tenant-Id") == 2);
}

// Guards against two keys of which the node and another reader choose
// different ones.
Test(platform_requests, a_key_is_one_header) {
  const platform::Requests Speak;
  const auto KeyOf = [&Speak](io::Headers Fields) {
    io::RequestHead Head;
    Head.Fields = std::move(Fields);
    return core::value(Speak.readCaller(Head)).Credential;
  };
  cr_assert(!KeyOf({{"X-Attempt-Id", "a1"}}));
  cr_assert(KeyOf({{"x-credential", "k1"}}) == config::KeyDigest::of("k1"));
  cr_assert(KeyOf({{"X-Credential", "k1"}, {"X-Credential", "k2"}}) ==
            config::KeyDigest::of("k1, k2"));
}

// Guards against a malformed deadline that counts as none.
Test(platform_requests, the_callers_terms_are_read) {
  const platform::Requests Speak;
  io::RequestHead Head;
  Head.Fields = {{"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", "800"}};
  const auto Terms = Speak.readCaller(Head);
  cr_assert(core::value(Terms).RequestId == "a1");
  cr_assert(core::value(Terms).TimeLeft == core::Milliseconds(800));
  Head.Fields.erase("X-Deadline-Ms");
  Head.Fields.emplace("X-Deadline-Ms", "soon");
  cr_assert(!core::ok(Speak.readCaller(Head)));
}

// Guards against a call of a target that counts as a request of a client.
Test(platform_requests, a_call_names_the_request_that_makes_it) {
  const platform::Requests Speak;
  const auto ParentOf = [&Speak](const char *Id) {
    io::RequestHead Head;
    Head.Fields = {{"X-Attempt-Id", Id}};
    return core::value(Speak.readCaller(Head)).ParentId;
  };
  cr_assert(ParentOf("a1").empty());
  cr_assert(ParentOf("a1.b2") == "a1");
  cr_assert(ParentOf("a1.b2.c3") == "a1.b2");
}

// Guards against callers that cannot read when to return.
Test(platform_requests, the_time_to_return_is_in_seconds) {
  const platform::Requests Speak;
  const auto Fields = Speak.refusalFields(core::Milliseconds(250));
  cr_assert(*io::headerOf(Fields, "Retry-After") == "0.250");
  cr_assert(Speak.refusalFields({}).count("Retry-After") == 0);
}
