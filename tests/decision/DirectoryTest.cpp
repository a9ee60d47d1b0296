#include "filbertvane/decision/directory/Directory.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision;
using namespace filbertvane::decision::directory;

namespace {

/// Two data centres whose leads exchange summaries on a fake clock.
class Exchange {
public:
  Exchange() : Here(initial(settings("a"))), There(initial(settings("b"))) {
    handle(Here, MembersChanged{{member("a1", "v1")}});
    handle(There, MembersChanged{{member("b1", "v1")}});
  }

  Effects handle(State &Of, const Event &What) {
    auto Next = reduce(std::move(Of), What, Now);
    Of = std::move(Next.NextState);
    return std::move(Next.EmittedEffects);
  }

  /// Messages of one tick of a lead.
  std::vector<SendSummaries> tick(State &Of) {
    std::vector<SendSummaries> Sent;
    for (const Effect &Each : handle(Of, Tick{}))
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
    membership::Member One;
    One.Node = core::NodeId(Node);
    One.ControlAddress = Node + ":1";
    One.PeerAddress = Node + ":2";
    One.Ready = true;
    One.Target = membership::TargetAnnouncement{core::TargetId(Node),
                                                core::ServiceName("s"),
                                                core::TargetVersion(Version),
                                                18,
                                                core::WallTime(),
                                                false};
    return One;
  }

  core::Instant Now{core::TimePoint(core::Seconds(100)),
                    core::WallTime(core::Seconds(5000))};
  State Here;
  State There;

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

// Guards against repeats that cost as much as the services of a data centre.
Test(directory, repeats_leave_unchanged_services_out) {
  Exchange Both;
  const auto First = Both.tick(Both.There);
  cr_assert(First.size() == 1 && First[0].Summaries[0].Services.size() == 1);
  Both.handle(Both.Here, SummariesReceived{FromB, First[0].Summaries});
  Both.advance(SummaryRefreshPeriod);
  const auto Second = Both.tick(Both.There);
  cr_assert(Second.size() == 1 && Second[0].Summaries[0].Partial);
  cr_assert(Second[0].Summaries[0].Services.empty());
  Both.handle(Both.Here, SummariesReceived{FromB, Second[0].Summaries});
  const KnownDataCentre &B =
      Both.Here.RemoteDataCentres.at(core::DataCentreId("b"));
  cr_assert(B.Summary.Services.size() == 1, "a repeat removed the services");
}

// Guards against a node that never learns the services of a data centre,
// because it missed the one full summary.
Test(directory, a_repeat_of_unknown_services_is_answered_by_a_question) {
  Exchange Both;
  Both.tick(Both.There);
  Both.advance(SummaryRefreshPeriod);
  const auto Repeat = Both.tick(Both.There);
  const Effects Asked =
      Both.handle(Both.Here, SummariesReceived{FromB, Repeat[0].Summaries});
  cr_assert(Both.Here.RemoteDataCentres.empty(), "adopted without services");
  const auto *Question = std::get_if<SendSummaries>(&Asked.at(0));
  cr_assert(Question && Question->To == "b1:1");
  cr_assert(Question->Summaries.empty());
  const Effects Reply = Both.handle(
      Both.There, SummariesReceived{{core::NodeId("a1"), "a1:1"}, {}});
  const auto *Whole = std::get_if<SendSummaries>(&Reply.at(0));
  cr_assert(Whole && Whole->Summaries[0].Services.size() == 1);
}

// Guards against requests sent to a data centre that is cut off, and against
// one that stays cut off after it is heard again.
Test(directory, a_silent_data_centre_is_cut_off_until_it_is_heard) {
  Exchange Both;
  const auto First = Both.tick(Both.There);
  Both.handle(Both.Here, SummariesReceived{FromB, First[0].Summaries});
  Both.advance(SilenceTimeout);
  const Effects Silent = Both.handle(Both.Here, Tick{});
  const auto *Cut = std::get_if<DataCentreSilent>(&Silent.at(0));
  cr_assert(Cut && Cut->DataCentre == core::DataCentreId("b"));
  cr_assert(Cut->SilentSince == Both.Now.Wall - SilenceTimeout);
  const auto Again = Both.tick(Both.There);
  Both.handle(Both.Here, SummariesReceived{FromB, Again[0].Summaries});
  const KnownDataCentre &B =
      Both.Here.RemoteDataCentres.at(core::DataCentreId("b"));
  cr_assert(!B.SilentSince, "still cut off");
}

// Guards against an old summary that overrides a newer one.
Test(directory, an_older_summary_has_no_effect) {
  Exchange Both;
  const auto First = Both.tick(Both.There);
  Both.handle(Both.There, MembersChanged{{Exchange::member("b1", "v2")}});
  Both.advance(MinSummaryInterval);
  const auto Second = Both.tick(Both.There);
  Both.handle(Both.Here, SummariesReceived{FromB, Second[0].Summaries});
  Both.handle(Both.Here, SummariesReceived{FromB, First[0].Summaries});
  const KnownDataCentre &B =
      Both.Here.RemoteDataCentres.at(core::DataCentreId("b"));
  cr_assert(B.Summary.Services[0].Version == core::TargetVersion("v2"));
}
