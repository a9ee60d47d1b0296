#include "filbertvane/decision/directory/Directory.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision;
using namespace filbertvane::decision::directory;

namespace {

/// Leads of two data centres that exchange summaries on a fake clock.
class Exchange {
public:
  Exchange() : Local(initial(settings("a"))), Remote(initial(settings("b"))) {
    handle(Local, MembersChanged{{member("a1", "v1")}});
    handle(Remote, MembersChanged{{member("b1", "v1")}});
  }

  Effects handle(State &S, const Event &E) {
    auto Next = reduce(std::move(S), E, Now);
    S = std::move(Next.NextState);
    return std::move(Next.EmittedEffects);
  }

  /// Returns the messages that a lead sends on one tick.
  std::vector<SendSummaries> tick(State &S) {
    std::vector<SendSummaries> Sent;
    for (const Effect &Each : handle(S, Tick{}))
      if (const auto *Message = std::get_if<SendSummaries>(&Each))
        Sent.push_back(*Message);
    return Sent;
  }

  void advance(core::Milliseconds By) {
    Now.Mono += By;
    Now.Wall += By;
  }

  static membership::Member member(const std::string &Node,
                                   const std::string &Version) {
    membership::Member M;
    M.Node = core::NodeId(Node);
    M.ControlAddress = Node + ":1";
    M.PeerAddress = Node + ":2";
    M.Ready = true;
    M.Target = membership::TargetAnnouncement{core::TargetId(Node),
                                              core::ServiceName("s"),
                                              core::TargetVersion(Version),
                                              18,
                                              core::WallTime(),
                                              false};
    return M;
  }

  core::Instant Now{core::TimePoint(core::Seconds(100)),
                    core::WallTime(core::Seconds(5000))};
  State Local;
  State Remote;

private:
  static Settings settings(const std::string &Name) {
    const std::string Other = Name == "a" ? "b1:1" : "a1:1";
    return {core::NodeId(Name + "1"),
            core::DataCentreId(Name),
            core::RegionId("r"),
            Name + "1:1",
            Name + "1:1",
            {Other}};
  }
};

const Peer FromB{core::NodeId("b1"), "b1:1"};

} // namespace

// Guards against repeated summaries that include unchanged services, which take
// most of the bytes of a summary.
Test(directory, repeats_leave_unchanged_services_out) {
  Exchange Leads;
  const auto First = Leads.tick(Leads.Remote);
  cr_assert(First.size() == 1 && First[0].Summaries[0].Services.size() == 1);
  Leads.handle(Leads.Local, SummariesReceived{FromB, First[0].Summaries});
  Leads.advance(SummaryRefreshPeriod);
  const auto Second = Leads.tick(Leads.Remote);
  cr_assert(Second.size() == 1 && Second[0].Summaries[0].Partial);
  cr_assert(Second[0].Summaries[0].Services.empty());
  Leads.handle(Leads.Local, SummariesReceived{FromB, Second[0].Summaries});
  const KnownDataCentre &B =
      Leads.Local.RemoteDataCentres.at(core::DataCentreId("b"));
  cr_assert(B.Summary.Services.size() == 1,
            "a repeated summary removed the services");
}

// Guards against a node that never learns the services of a data centre because
// it missed the only summary that included them.
Test(directory, a_repeat_of_unknown_services_is_answered_by_a_request) {
  Exchange Leads;
  Leads.tick(Leads.Remote);
  Leads.advance(SummaryRefreshPeriod);
  const auto Repeat = Leads.tick(Leads.Remote);
  const Effects Requested =
      Leads.handle(Leads.Local, SummariesReceived{FromB, Repeat[0].Summaries});
  cr_assert(Leads.Local.RemoteDataCentres.empty(),
            "a summary without services was adopted");
  const auto *Request = std::get_if<SendSummaries>(&Requested.at(0));
  cr_assert(Request && Request->To == "b1:1");
  cr_assert(Request->Summaries.empty());
  const Effects Reply = Leads.handle(
      Leads.Remote, SummariesReceived{{core::NodeId("a1"), "a1:1"}, {}});
  const auto *Full = std::get_if<SendSummaries>(&Reply.at(0));
  cr_assert(Full && Full->Summaries[0].Services.size() == 1);
}

// Guards against requests to an unreachable data centre, and against a data
// centre that stays silent after its summaries arrive again.
Test(directory, a_silent_data_centre_is_cut_off_until_it_is_heard) {
  Exchange Leads;
  const auto First = Leads.tick(Leads.Remote);
  Leads.handle(Leads.Local, SummariesReceived{FromB, First[0].Summaries});
  Leads.advance(SilenceTimeout);
  const Effects Emitted = Leads.handle(Leads.Local, Tick{});
  const auto *SilentEffect = std::get_if<DataCentreSilent>(&Emitted.at(0));
  cr_assert(SilentEffect &&
            SilentEffect->DataCentre == core::DataCentreId("b"));
  cr_assert(SilentEffect->SilentSince == Leads.Now.Wall - SilenceTimeout);
  const auto Again = Leads.tick(Leads.Remote);
  Leads.handle(Leads.Local, SummariesReceived{FromB, Again[0].Summaries});
  const KnownDataCentre &B =
      Leads.Local.RemoteDataCentres.at(core::DataCentreId("b"));
  cr_assert(!B.SilentSince, "still counts as silent");
}

// Guards against an old summary that replaces a newer one.
Test(directory, an_older_summary_has_no_effect) {
  Exchange Leads;
  const auto First = Leads.tick(Leads.Remote);
  Leads.handle(Leads.Remote, MembersChanged{{Exchange::member("b1", "v2")}});
  Leads.advance(MinSummaryInterval);
  const auto Second = Leads.tick(Leads.Remote);
  Leads.handle(Leads.Local, SummariesReceived{FromB, Second[0].Summaries});
  Leads.handle(Leads.Local, SummariesReceived{FromB, First[0].Summaries});
  const KnownDataCentre &B =
      Leads.Local.RemoteDataCentres.at(core::DataCentreId("b"));
  cr_assert(B.Summary.Services[0].Version == core::TargetVersion("v2"));
}
