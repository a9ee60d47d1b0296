#include "filbertvane/wire/QuotaCodec.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
namespace quota = decision::mesh::quota;

namespace {

core::TimePoint someTime() {
  return core::TimePoint(core::Microseconds(
      *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 59)));
}

quota::Process someProcess() {
  return {core::NodeId(
              *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))),
          core::Incarnation(*rc::gen::arbitrary<std::uint64_t>())};
}

quota::QuotaRequest someRequest() {
  quota::QuotaRequest Request;
  Request.From = someProcess();
  Request.SentAt = someTime();
  Request.Lent = {core::Incarnation(*rc::gen::arbitrary<std::uint64_t>()),
                  someTime(), *rc::gen::inRange<std::uint64_t>(1, 1 << 30),
                  *rc::gen::inRange<std::uint32_t>(1, 5000)};
  Request.Demands = {{core::TenantName("a"), 3}, {core::TenantName("b"), 300}};
  return Request;
}

quota::QuotaReply someReply() {
  quota::QuotaReply Reply;
  Reply.From = someProcess();
  Reply.SentAt = someTime();
  Reply.ToIncarnation = core::Incarnation(*rc::gen::arbitrary<std::uint64_t>());
  Reply.RequestSentAt = someTime();
  Reply.Grants = {{core::TenantName("a"), 0, core::Milliseconds(12)},
                  {core::TenantName("b"), 300, core::Milliseconds(0)}};
  return Reply;
}

} // namespace

// Guards against a loan or a token that changes on its way.
Test(quota_codec, messages_arrive_as_sent) {
  cr_assert(rc::check([] {
    for (const wire::QuotaMessage &Sent :
         {wire::QuotaMessage(someRequest()), wire::QuotaMessage(someReply())}) {
      const auto Read = wire::decodeQuotaMessage(wire::encode(Sent));
      RC_ASSERT(core::ok(Read));
      RC_ASSERT(core::value(Read) == Sent);
    }
  }));
}

// Guards against a reply that refuses a tenant for longer than any loan lasts,
// and against a time that overflows when a term is added.
Test(quota_codec, times_out_of_range_are_refused) {
  quota::QuotaReply Reply;
  Reply.Grants = {{core::TenantName("a"), 0, quota::LoanTerm}};
  cr_assert(core::ok(
      wire::decodeQuotaMessage(wire::encode(wire::QuotaMessage(Reply)))));
  Reply.Grants[0].NextIn += core::Milliseconds(1);
  cr_assert(!core::ok(
      wire::decodeQuotaMessage(wire::encode(wire::QuotaMessage(Reply)))));
  Reply.Grants.clear();
  Reply.SentAt = core::TimePoint::max();
  cr_assert(!core::ok(
      wire::decodeQuotaMessage(wire::encode(wire::QuotaMessage(Reply)))));
}

// Guards against bytes of another program that end the process or bring tokens.
Test(quota_codec, foreign_bytes_are_refused_or_in_range) {
  cr_assert(rc::check([] {
    std::string Bytes = wire::encode(wire::QuotaMessage(someReply()));
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
    Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
    const auto Read = wire::decodeQuotaMessage(Bytes);
    if (core::ok(Read) &&
        std::holds_alternative<quota::QuotaReply>(core::value(Read)))
      for (const auto &Grant :
           std::get<quota::QuotaReply>(core::value(Read)).Grants)
        RC_ASSERT(Grant.NextIn >= core::Milliseconds(0));
  }));
  cr_assert(!core::ok(wire::decodeQuotaMessage("")));
  cr_assert(!core::ok(wire::decodeQuotaMessage("\x18 a host report")));
  cr_assert(!core::ok(
      wire::decodeQuotaMessage(std::string(wire::MaxQuotaBytes + 1, '\xf1'))));
}
