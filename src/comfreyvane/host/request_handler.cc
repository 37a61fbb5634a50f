#include "comfreyvane/host/request_handler.h"

#include <array>
#include <cstdio>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/log/log.h"

namespace comfreyvane {

RequestHandler::RequestHandler(HostContext& context,
                               asio::io_context& io,
                               TimeoutSweeper& sweeper,
                               BackendPool& pool,
                               std::uint64_t seed)
    : context_(context),
      io_(io),
      gate_(context, io),
      watch_(context, io, sweeper),
      backends_(context, gate_, io, sweeper, pool, watch_),
      system_(context),
      random_(seed) {}

RequestRun RequestHandler::StartRun(TimePoint now) {
  constexpr std::uint64_t kAnyId = ~std::uint64_t{0};
  context_.metrics.Count(CounterName::kRequests);
  RequestRun run;
  run.started = now;
  run.deadline = now;
  run.id = RequestId(random_.Below(kAnyId));
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016lx", run.id.value());
  run.id_text = text.data();
  return run;
}

DispatchRequest RequestHandler::DispatchRequestOf(const RequestRun& run,
                                                  bool isolated) const {
  DispatchRequest request;
  request.workspace = run.workspace_id();
  request.route.idempotent = run.terms.idempotent;
  request.route.isolated = isolated;
  request.route.deadline = run.deadline;
  if (run.terms.idempotent)
    request.route.affinity = run.fingerprint;
  return request;
}

std::optional<Refusal> RequestHandler::CheckAtDispatch(const RequestRun& run,
                                                       TimePoint now) {
  if (now >= run.deadline)
    return Refusal{RefusalReason::kDeadlinePassed, RunState::kNotRun, {}};
  if (auto refusal = gate_.CheckFreshness(run, now))
    return refusal;
  return gate_.ClaimRun(run, now);
}

AnswerTerms RequestHandler::TermsOf(const RequestRun& run,
                                    bool keep_alive,
                                    unsigned version) const {
  return {run.id_text, context_.settings.name, keep_alive, version};
}

void RequestHandler::SetFingerprint(
    const boost::beast::http::request_header<>& head,
    RequestRun& run) const {
  const std::string_view body(run.first_part.data(), run.first_part.size());
  const std::uint64_t line = HashPair(static_cast<std::uint64_t>(head.method()),
                                      HashBytes(head.target()));
  const std::uint64_t content = HashPair(line, HashBytes(body));
  run.fingerprint = RequestId(HashPair(run.workspace_id().value(), content));
}

void RequestHandler::NoteRefusal(const RequestRun& run,
                                 const Refusal& refusal) {
  context_.metrics.CountRefusal(refusal.reason);
  const std::string service = run.service == nullptr ? "" : run.service->name;
  const std::string workspace =
      run.workspace == nullptr ? "" : run.workspace->name;
  const Duration after = MonotonicNow() - run.started;
  Log(LogLevel::kInfo, "request-refused", run.id,
      {{"reason", refusal.reason},
       {"run", refusal.run_state},
       {"service", service},
       {"workspace", workspace},
       {"after_ms", after}});
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(after);
  Explanation explanation;
  explanation.host = context_.settings.name;
  explanation.decision = "refused: " + std::string(Name(refusal.reason));
  explanation.rule = "request";
  if (run.configuration)
    explanation.revision = run.configuration->revision();
  explanation.inputs = {{"run", std::string(Name(refusal.run_state))},
                        {"service", service},
                        {"workspace", workspace},
                        {"after-ms", std::to_string(milliseconds.count())}};
  context_.decisions.Add(run.id, std::move(explanation));
}

void RequestHandler::NoteAnswered(const RequestRun& run, Duration at_backend) {
  const TimePoint now = MonotonicNow();
  const Duration whole = now - run.started;
  context_.metrics.Count(CounterName::kAnswers);
  context_.metrics.Record(LatencyName::kRequest, whole, now);
  context_.metrics.Record(LatencyName::kAddedByHost, whole - at_backend, now);
  if (IsLogged(LogLevel::kDebug)) {
    Log(LogLevel::kDebug, "request-answered", run.id,
        {{"service", run.service->name.c_str()}, {"after_ms", whole}});
  }
}

}  // namespace comfreyvane
