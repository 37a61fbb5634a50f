/// @file
/// Tests listeners that stop at any moment of a request.
#include <boost/asio/post.hpp>
#include <string>

#include "comfreyvane/net/caller_listener.h"
#include "support/criterion.h"
#include "support/loopback_edge.h"

namespace comfreyvane {
namespace {

using testing::RawClient;

/// More than there are handlers between a connect and an answer.
constexpr int kSteps = 24;

/// Answers after a turn of the event loop and counts what it has served.
class TurningHandler {
 public:
  explicit TurningHandler(asio::io_context& io) : io_(io) {}

  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange) {
    ++served;
    co_await asio::post(io_, kAwait);
    typename Exchange::Answer answer(boost::beast::http::status::ok, 11);
    answer.keep_alive(exchange.keep_alive());
    answer.body() = "served";
    answer.prepare_payload();
    co_return co_await exchange.WriteAnswer(answer) ==
        ExchangeFailure::kNone&& exchange.keep_alive();
  }

  template <typename Exchange>
  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason reason) {
    typename Exchange::Answer answer(
        boost::beast::http::status(HttpStatus(reason)), 11);
    answer.keep_alive(false);
    answer.prepare_payload();
    (void)co_await exchange.WriteAnswer(answer);
  }

  int served = 0;

 private:
  asio::io_context& io_;
};

/// A listener whose event loop runs step by step.
struct SteppedEdge {
  SteppedEdge() {
    sweeper.Start();
    listener.Start();
  }
  void Step(int handlers) {
    for (int i = 0; i < handlers; ++i)
      io.poll_one();
  }
  void RunUntilQuiet() {
    while (io.run_one_for(std::chrono::milliseconds(2)) > 0) {
    }
  }

  asio::io_context io{1};
  TimeoutSweeper sweeper{io};
  TurningHandler handler{io};
  CallerListener<TurningHandler> listener{io,
                                          {asio::ip::address_v4::loopback(), 0},
                                          PortSharing::kExclusive,
                                          nullptr,
                                          sweeper,
                                          HttpLimits{},
                                          handler};
};

int AnswersIn(const std::string& text) {
  int answers = 0;
  for (auto at = text.find("served"); at != std::string::npos;
       at = text.find("served", at + 1))
    ++answers;
  return answers;
}

const std::string kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

Test(caller_listener_stop, a_request_that_was_read_is_answered) {
  for (int step = 0; step < kSteps; ++step) {
    SteppedEdge edge;
    RawClient client(edge.listener.local_endpoint());
    client.Send(kRequest);
    edge.Step(step);
    edge.listener.StopAccepting();
    edge.RunUntilQuiet();
    client.EndInput();
    edge.RunUntilQuiet();
    const int answers = AnswersIn(client.ReceiveAll());
    // Its bytes were there before the stop.
    cr_expect(answers == 1 && edge.handler.served == 1,
              "step %d: %d served, %d answered", step, edge.handler.served,
              answers);
    cr_expect_eq(edge.listener.connections(), 0U);
  }
}

Test(caller_listener_stop, a_kept_connection_loses_no_request_that_was_read) {
  for (int first = 0; first < kSteps; ++first) {
    for (int second = 0; second < kSteps; ++second) {
      SteppedEdge edge;
      RawClient client(edge.listener.local_endpoint());
      client.Send(kRequest);
      edge.Step(first);
      client.Send(kRequest);
      edge.Step(second);
      edge.listener.StopAccepting();
      edge.RunUntilQuiet();
      client.EndInput();
      edge.RunUntilQuiet();
      const int answers = AnswersIn(client.ReceiveAll());
      cr_expect(answers >= 1 && answers == edge.handler.served,
                "steps %d and %d: %d served, %d answered", first, second,
                edge.handler.served, answers);
      cr_expect_eq(edge.listener.connections(), 0U);
    }
  }
}

Test(caller_listener_stop, idle_connections_are_closed_at_once) {
  SteppedEdge edge;
  const RawClient silent(edge.listener.local_endpoint());
  RawClient answered(edge.listener.local_endpoint());
  answered.Send(kRequest);
  edge.RunUntilQuiet();
  cr_expect_eq(edge.listener.connections(), 2U);
  edge.listener.StopAccepting();
  edge.Step(kSteps);
  // What has just been answered may still be on its way.
  cr_expect(edge.listener.connections() <= 1U);
  answered.EndInput();
  edge.RunUntilQuiet();
  cr_expect_eq(edge.listener.connections(), 0U);
}

Test(caller_listener_stop, an_answer_after_the_signal_closes_its_connection) {
  SteppedEdge edge;
  RawClient client(edge.listener.local_endpoint());
  client.Send(kRequest);
  while (edge.handler.served == 0)
    edge.io.poll_one();
  edge.listener.BeginLeaving();
  edge.RunUntilQuiet();
  client.EndInput();
  edge.RunUntilQuiet();
  const std::string answer = client.ReceiveAll();
  cr_expect(answer.find("Connection: close") != std::string::npos, "%s",
            answer.c_str());
}

}  // namespace
}  // namespace comfreyvane
