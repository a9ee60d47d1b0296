#include "filbertvane/observe/RequestStory.h"
#include "filbertvane/observe/LogWriter.h"
#include <criterion/criterion.h>
#include <fcntl.h>
#include <rapidcheck.h>
#include <unistd.h>

using namespace filbertvane;
using namespace filbertvane::observe;

namespace {

core::Instant at(std::int64_t Ms) {
  return {core::TimePoint(core::Milliseconds(Ms)),
          core::WallTime(core::Milliseconds(Ms))};
}

/// A pipe whose reader is the test.
struct Pipe {
  Pipe() { cr_assert(pipe(Ends) == 0); }
  ~Pipe() {
    close(Ends[0]);
    close(Ends[1]);
  }
  std::string read() {
    std::string Text(1 << 20, '\0');
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t Size = ::read(Ends[0], Text.data(), Text.size());
    Text.resize(Size > 0 ? static_cast<std::size_t>(Size) : 0);
    return Text;
  }
  int Ends[2] = {-1, -1};
};

const std::string Entry =
    "ts=1000 node=n1 level=info event=2004 request retried on another target: "
    "request=q1 role=entry route=list at=n2 age_ms=30 after=no_answer\n"
    "ts=1100 node=n1 level=warning event=2002 request refused before it ran: "
    "request=q1 role=entry reason=FV513\n";
const std::string Host =
    "ts=1020 node=n2 level=warning event=2003 request ended without an answer; "
    "it may have run: request=q1 role=host reason=FV512\n"
    "cut li\n"
    "ts=1050 node=n2 level=warning event=2060 log lines dropped: of=2001 "
    "lines=7\n";

} // namespace

// Guards against a story whose steps are out of order, or lacks what it needs
// to be trusted.
Test(request_story, steps_of_all_logs_are_put_in_order) {
  const RequestStory Story = collectStory("q1", {Entry, Host});
  cr_assert(Story.Steps.size() == 3);
  cr_assert(Story.Steps[1].Node == "n2");
  cr_assert(Story.Unreadable == 1 && Story.LeftOut == 7);
  const std::string Text = storyText(Story);
  cr_assert(Text.find("targets refused the request before it ran") !=
            std::string::npos);
  cr_assert(Text.find("7 lines were left out") != std::string::npos);
  cr_assert(storyJson(Story).find("\"lines_left_out\": 7") !=
            std::string::npos);
}

// Guards against an unknown id that looks like a request without trouble.
Test(request_story, an_unknown_request_is_said_to_be_unknown) {
  const RequestStory Story = collectStory("q9", {Entry});
  cr_assert(Story.Steps.empty());
  cr_assert(storyText(Story).find("no line about this request") !=
            std::string::npos);
}

// Guards against a program that ends on a log of another writer.
Test(request_story, any_log_is_read) {
  cr_assert(rc::check([](const std::string &Text) {
    storyText(collectStory("q1", {Text, "ts=" + Text}));
  }));
}

// Guards against logs that grow without bound under load.
Test(log_writer, each_event_has_a_budget) {
  Pipe To;
  LogWriter Log(To.Ends[1], "n1");
  for (int I = 0; I < 1000; ++I)
    Log.write({EventId::MeshRequestRefused, "request=q"}, at(5000));
  Log.write({EventId::MeshOutcomeUnknown, "request=other"}, at(5000));
  Log.flush(at(5000));
  const std::string First = To.read();
  cr_assert(std::ranges::count(First, '\n') == LogWriter::LinesPerSecond + 2);
  cr_assert(First.find("of=2002 lines=960") != std::string::npos);
  // The next second has a budget of its own.
  Log.write({EventId::MeshRequestRefused, "request=q"}, at(6000));
  Log.flush(at(6000));
  cr_assert(To.read().find("event=2002") != std::string::npos);
}

// Guards against a loop that blocks on a log which nobody reads.
Test(log_writer, a_stalled_pipe_costs_lines_not_time) {
  Pipe To;
  LogWriter Log(To.Ends[1], "n1");
  const std::string Long(2000, 'x');
  for (std::int64_t Second = 0; Second < 100; ++Second) {
    for (int I = 0; I < 40; ++I)
      Log.write({EventId::MeshRequestRefused, Long}, at(Second * 1000));
    Log.flush(at(Second * 1000));
  }
  cr_assert(Log.dropped() > 3000, "%lu", Log.dropped());
  // A reader that comes back gets the lines that waited, and then the count of
  // the others.
  To.read();
  Log.flush(at(200000));
  To.read();
  Log.flush(at(201000));
  cr_assert(To.read().find("event=2060") != std::string::npos);
}
