#ifndef FILBERTVANE_TESTS_IO_HTTPFIXTURE_H
#define FILBERTVANE_TESTS_IO_HTTPFIXTURE_H

#include "filbertvane/io/HttpClient.h"
#include <criterion/criterion.h>
#include <string>

namespace filbertvane::test {

/// @brief A loop that stops at a condition, or fails the test at a deadline.
class BoundedLoop {
public:
  io::EventLoop Loop;

  /// @brief Runs until `stop`; fails after 20 s.
  void run() {
    bool Expired = false;
    io::Timer Guard(Loop, [&] {
      Expired = true;
      Loop.stop();
    });
    Guard.arm(Loop.now().Mono + core::Seconds(20));
    Loop.run();
    cr_assert(!Expired, "the loop did not reach its condition");
  }
  void stop() { Loop.stop(); }

  /// @brief Runs for a fixed span of loop time, so that all data that can flow
  ///        without the test's help has flowed.
  void runFor(core::Milliseconds Span) {
    io::Timer End(Loop, [this] { Loop.stop(); });
    End.arm(Loop.now().Mono + Span);
    Loop.run();
  }
};

/// @brief Server-side handler made of functions.
struct ServerHandler final : io::ExchangeHandler {
  std::function<void(std::string_view)> Body = [](std::string_view) {};
  std::function<void()> BodyEnd = [] {};
  std::function<void()> Writable = [] {};
  std::function<void(bool)> Closed = [](bool) {};

  void onBody(std::string_view Part) override { Body(Part); }
  void onBodyEnd() override { BodyEnd(); }
  void onWritable() override { Writable(); }
  void onClosed(bool Whole) override { Closed(Whole); }
};

/// @brief Client-side handler that records an answer.
struct ClientRecorder final : io::ClientHandler {
  io::ResponseHead Head;
  std::string Body;
  std::optional<io::ClientEnd> End;
  std::function<void(std::string_view)> OnPart = [](std::string_view) {};
  std::function<void()> OnSendable = [] {};
  std::function<void()> OnOver = [] {};

  void onHead(const io::ResponseHead &Got) override { Head = Got; }
  void onBody(std::string_view Part) override {
    Body.append(Part);
    OnPart(Part);
  }
  void onSendable() override { OnSendable(); }
  void onEnd(io::ClientEnd How) override {
    End = How;
    OnOver();
  }
};

inline std::unique_ptr<io::HttpServer> listenOn(io::EventLoop &Loop,
                                                io::HttpServer::Acceptor Take) {
  io::HttpServer::Options Settings;
  Settings.Address = "127.0.0.1:0";
  auto Listening = io::HttpServer::listen(Loop, Settings, std::move(Take));
  cr_assert(core::ok(Listening), "no listening socket");
  return core::take(std::move(Listening));
}

inline std::string urlOf(std::uint16_t Port, const std::string &Path = "/") {
  return "http://127.0.0.1:" + std::to_string(Port) + Path;
}

inline io::HttpClient::Request requestTo(io::EventLoop &Loop, std::string Url) {
  io::HttpClient::Request What;
  What.Url = std::move(Url);
  What.Deadline = Loop.now().Mono + core::Seconds(10);
  return What;
}

/// @brief Bytes that differ at each offset of a period, so that lost or
///        reordered parts are noticed.
inline std::string patternOf(std::size_t Bytes) {
  std::string Text(Bytes, '\0');
  for (std::size_t I = 0; I < Bytes; ++I)
    Text[I] = static_cast<char>('a' + (I * 7 + I / 251) % 26);
  return Text;
}

} // namespace filbertvane::test

#endif // FILBERTVANE_TESTS_IO_HTTPFIXTURE_H
