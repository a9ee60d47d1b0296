#include "../../lib/io/ConnectionReuse.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <vector>

using filbertvane::io::ConnectionReuse;

// Guards against a request that is read behind a closing answer: its caller
// sends it again.
Test(connection_reuse, the_last_request_read_gets_the_closing_answer) {
  cr_assert(rc::check([] {
    ConnectionReuse Reuse;
    std::size_t Read = 0;
    std::size_t Answered = 0;
    bool Started = false;
    bool Closing = false;
    for (const int Step :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
      if (Step == 0 && Reuse.acceptsRequest()) {
        RC_ASSERT(!Closing);
        Reuse.requestRead();
        ++Read;
      } else if (Step == 1 && Read > Answered && !Started) {
        Started = true;
        Closing = Reuse.startAnswer();
        RC_ASSERT(!Closing || Read - Answered == 1);
      } else if (Step == 2 && Started) {
        Reuse.finishAnswer();
        Started = false;
        ++Answered;
      } else if (Step == 3) {
        Reuse.closeAfterLast();
      }
      RC_ASSERT(Read - Answered <= ConnectionReuse::MaximumUnanswered);
      RC_ASSERT(Reuse.isOver() == (Closing && Read == Answered));
    }
  }));
}

// Guards against a stop that waits for a connection whose answer was under way.
Test(connection_reuse, an_answer_that_began_is_followed_by_one_that_closes) {
  ConnectionReuse Reuse;
  Reuse.requestRead();
  cr_assert(!Reuse.startAnswer());
  Reuse.closeAfterLast();
  cr_assert(Reuse.acceptsRequest());
  Reuse.finishAnswer();
  Reuse.requestRead();
  cr_assert(!Reuse.acceptsRequest());
  cr_assert(Reuse.startAnswer());
  Reuse.finishAnswer();
  cr_assert(Reuse.isOver());
}
