#include "filbertvane/io/EventLoop.h"
#include <csignal>
#include <ctime>
#include <ev.h>

namespace filbertvane::io {

namespace {

/// The boot-time clock also counts the time for which the host was suspended,
/// so that deadlines that passed meanwhile are seen on waking up.
std::int64_t monotonicMicros() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return static_cast<std::int64_t>(Now.tv_sec) * 1000000 + Now.tv_nsec / 1000;
}

} // namespace

struct EventLoop::Signals {
  ev_signal Term{};
  ev_signal Interrupt{};
  std::function<void()> Handler;
};

struct EventLoop::HangUp {
  ev_signal Ev{};
  std::function<void()> Handler;
};

EventLoop::EventLoop() : Loop(ev_loop_new(EVFLAG_AUTO)) {
  // A peer that closes early must end one write, not the process.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  if (Terminate) {
    ev_signal_stop(Loop, &Terminate->Term);
    ev_signal_stop(Loop, &Terminate->Interrupt);
  }
  if (Reload)
    ev_signal_stop(Loop, &Reload->Ev);
  ev_loop_destroy(Loop);
}

void EventLoop::run() { ev_run(Loop, 0); }

void EventLoop::stop() { ev_break(Loop, EVBREAK_ALL); }

core::Instant EventLoop::now() const {
  const core::TimePoint Mono{core::Microseconds(monotonicMicros())};
  const auto Wall = std::chrono::time_point_cast<core::Milliseconds>(
      std::chrono::system_clock::now());
  return {Mono, Wall};
}

void EventLoop::onTerminate(std::function<void()> Handler) {
  Terminate = std::make_unique<Signals>();
  Terminate->Handler = std::move(Handler);
  const auto Call = [](struct ev_loop *, ev_signal *Watcher, int) {
    static_cast<Signals *>(Watcher->data)->Handler();
  };
  ev_signal_init(&Terminate->Term, Call, SIGTERM);
  ev_signal_init(&Terminate->Interrupt, Call, SIGINT);
  Terminate->Term.data = Terminate.get();
  Terminate->Interrupt.data = Terminate.get();
  ev_signal_start(Loop, &Terminate->Term);
  ev_signal_start(Loop, &Terminate->Interrupt);
}

void EventLoop::onHangUp(std::function<void()> Handler) {
  Reload = std::make_unique<HangUp>();
  Reload->Handler = std::move(Handler);
  const auto Call = [](struct ev_loop *, ev_signal *Watcher, int) {
    static_cast<HangUp *>(Watcher->data)->Handler();
  };
  ev_signal_init(&Reload->Ev, Call, SIGHUP);
  Reload->Ev.data = Reload.get();
  ev_signal_start(Loop, &Reload->Ev);
}

struct Timer::Watcher {
  ev_timer Ev{};
  std::function<void()> Handler;
};

Timer::Timer(EventLoop &Loop, std::function<void()> Handler)
    : Loop(Loop), Impl(std::make_unique<Watcher>()) {
  Impl->Handler = std::move(Handler);
  const auto Call = [](struct ev_loop *, ev_timer *Ev, int) {
    static_cast<Watcher *>(Ev->data)->Handler();
  };
  ev_timer_init(&Impl->Ev, Call, 0., 0.);
  Impl->Ev.data = Impl.get();
}

Timer::~Timer() { cancel(); }

void Timer::arm(core::TimePoint Deadline) {
  ev_timer_stop(Loop.raw(), &Impl->Ev);
  // The loop's cached time may lag behind while handlers run.
  ev_now_update(Loop.raw());
  const core::Microseconds Left = Deadline - Loop.now().Mono;
  const double Delay =
      Left.count() > 0 ? static_cast<double>(Left.count()) * 1e-6 : 0.;
  ev_timer_set(&Impl->Ev, Delay, 0.);
  ev_timer_start(Loop.raw(), &Impl->Ev);
}

void Timer::cancel() { ev_timer_stop(Loop.raw(), &Impl->Ev); }

struct Descriptor::Watcher {
  ev_io Ev{};
  std::function<void(int)> Handler;
};

Descriptor::Descriptor(EventLoop &Loop, int Fd,
                       std::function<void(int)> Handler)
    : Loop(Loop), Impl(std::make_unique<Watcher>()) {
  Impl->Handler = std::move(Handler);
  const auto Call = [](struct ev_loop *, ev_io *Ev, int Events) {
    int Interests = None;
    if (Events & EV_READ)
      Interests |= Readable;
    if (Events & EV_WRITE)
      Interests |= Writable;
    static_cast<Watcher *>(Ev->data)->Handler(Interests);
  };
  ev_io_init(&Impl->Ev, Call, Fd, 0);
  Impl->Ev.data = Impl.get();
}

Descriptor::~Descriptor() { ev_io_stop(Loop.raw(), &Impl->Ev); }

void Descriptor::watch(int Interests) {
  ev_io_stop(Loop.raw(), &Impl->Ev);
  int Events = 0;
  if (Interests & Readable)
    Events |= EV_READ;
  if (Interests & Writable)
    Events |= EV_WRITE;
  if (Events == 0)
    return;
  const int Fd = Impl->Ev.fd;
  ev_io_set(&Impl->Ev, Fd, Events);
  ev_io_start(Loop.raw(), &Impl->Ev);
}

} // namespace filbertvane::io
