#include "comfreyvane/gateway/gateway_handler.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <cstdio>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/base/number_of.h"
#include "comfreyvane/gateway/carried_codec.h"
#include "comfreyvane/gateway/limit_log.h"
#include "comfreyvane/gateway/message_heads.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/answer_checks.h"
#include "comfreyvane/net/peer_authenticator.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

/// Maximum number of failed connects after which a request is still retried.
constexpr std::uint32_t kMaxConnectFailures = 3;

/// Request bodies may take a quarter of the host's memory.
constexpr std::size_t kBodyMemoryDivisor = 4;
constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;

/// Fraction of the retry budget that is used. The margin covers requests that
/// are counted differently at the edges of a window.
constexpr double kRetryBudgetFraction = 0.8;

/// Fraction of the expected time that must be left for another attempt.
constexpr double kMinRemainingTimeFraction = 0.5;

/// Fraction of the objective that a request may wait for a token of another
/// host. Short, because an early refusal costs the caller little.
constexpr double kTokenWaitFraction = 0.12;
constexpr Duration kTokenPollInterval = std::chrono::milliseconds(8);

/// Time after which a host that has no recent configuration may have one again:
/// a call to another host that relays.
constexpr Duration kStaleRetryAfter = std::chrono::milliseconds(500);

/// Multiple of the expected time after which nearly all requests have ended.
constexpr double kSlowRequestFactor = 3.0;

/// Retry-After of refusals without an estimate of the wait.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(200);

constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kClientClosedRequest = 499;

unsigned StatusOf(const Refusal& refusal) {
  const unsigned status = HttpStatus(refusal.reason);
  if (refusal.run_state == RunState::kNotRun)
    return status >= kClientClosedRequest ? kServiceUnavailable : status;
  const bool timed_out = refusal.reason == RefusalReason::kBackendTimeout ||
                         refusal.reason == RefusalReason::kDeadlinePassed;
  return timed_out ? kGatewayTimeout : kBadGateway;
}

bool AllowsRetryAfter(unsigned status) {
  constexpr unsigned kTooManyRequests = 429;
  return status == kServiceUnavailable || status == kTooManyRequests;
}

std::string SecondsText(Duration span) {
  std::array<char, 32> text{};
  const double seconds = std::chrono::duration<double>(span).count();
  const int size = std::snprintf(text.data(), text.size(), "%.2f", seconds);
  return {text.data(), static_cast<std::size_t>(size)};
}

/// @return the attempts that this host has made of a carried request.
std::uint32_t AttemptsHere(const GatewayRequest& request) {
  return request.carried ? request.attempts - request.carried->attempts : 0;
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// @return how an attempt ended, for the log.
std::string_view EndName(const CallResult& result, bool is_answered) {
  if (is_answered)
    return "answered";
  return result.was_withdrawn ? "withdrawn" : Name(result.reason);
}

}  // namespace

GatewayRequest GatewayHandler::Start(const http::request_header<>& head,
                                     TimePoint now) {
  context_.metrics.Count(CounterName::kRequests);
  GatewayRequest request;
  request.started = now;
  request.id = View(head[context_.headers.request_id]);
  request.is_head = head.method() == http::verb::head;
  const std::string_view target = View(head.target());
  request.path = target.substr(0, target.find('?'));
  if (const auto caller_timeout =
          MillisecondsOf(View(head[context_.headers.deadline_ms])))
    request.caller_timeout = *caller_timeout;
  return request;
}

void GatewayHandler::SetMark(const http::request_header<>& head,
                             GatewayRequest& request) {
  const auto mark = ParseCarriedMark(View(head[kCarriedMarkField]));
  request.carried = mark.value_or(CarriedMark{});
  request.attempts = request.carried->attempts;
  request.pick.origin_region = RegionId::Of(request.carried->region);
}

bool GatewayHandler::IsOlderThanOrigin(
    const http::request_header<>& head) const {
  const auto version =
      NumberOf<std::uint64_t>(std::string(head[kCarriedVersionField]));
  return version && (!context_.table || context_.table->version() < *version);
}

CarriedAdmission GatewayHandler::CheckMark(const http::request_header<>& head,
                                           GatewayRequest& request) {
  const CarriedMark& mark = *request.carried;
  const bool is_authentic =
      HasCarriedCode(head, request.body, context_.fleet_secret);
  const CarriedAdmission admission =
      is_authentic ? carried_guard_.Accept(
                         mark, peers_.IncarnationOf(HostId::Of(mark.origin)))
                   : CarriedAdmission::kRepeated;
  if (admission != CarriedAdmission::kAccepted) {
    Log(LogLevel::kWarning, "carried-request-refused",
        {{"id", request.id},
         {"origin", mark.origin},
         {"sequence", mark.sequence},
         {"authentic", is_authentic},
         {"other_run", admission == CarriedAdmission::kOtherRun}});
  }
  // The verdict on a repeated request must not be taken for that on the first.
  if (admission != CarriedAdmission::kRepeated)
    request.carried_code = View(head[kCarriedCodeField]);
  return admission;
}

std::optional<Refusal> GatewayHandler::ResolveRoute(
    const http::request_header<>& head,
    GatewayRequest& request) {
  const auto refused = [](RefusalReason reason) {
    return Refusal{reason, RunState::kNotRun, Duration::zero()};
  };
  request.table = context_.table;
  request.route = nullptr;
  request.workspace = nullptr;
  if (!request.table)
    return refused(RefusalReason::kConfigurationMissing);
  request.route =
      request.table->Find(View(head[http::field::host]), request.path);
  if (request.route == nullptr)
    return refused(RefusalReason::kRouteUnknown);
  request.key = BearerKeyOf(head);
  if (request.table->needs_keys()) {
    if (!request.key.empty())
      request.workspace = request.table->WorkspaceOf(request.key);
    if (request.workspace == nullptr && !request.route->open) {
      return refused(request.key.empty() ? RefusalReason::kKeyMissing
                                         : RefusalReason::kKeyUnknown);
    }
  }
  request.deadline = request.started +
                     std::min(request.caller_timeout, request.route->timeout);
  request.urgency = {
      request.workspace == nullptr ? 0 : request.workspace->priority,
      request.route->priority};
  return std::nullopt;
}

void GatewayHandler::SetPickRequest(const http::request_header<>& head,
                                    GatewayRequest& request) {
  const EdgeRoute& route = *request.route;
  PickRequest& pick = request.pick;
  if (request.carried)
    pick.service = request.carried->service;
  SetService(request);
  const std::uint64_t route_hash = HashBytes(route.name);
  pick.kind = HashPair(route_hash, pick.service.value());
  const std::string_view object = CookieOf(head, context_.headers.affinity);
  pick.object = route.sticky && !object.empty()
                    ? HashPair(route_hash, HashBytes(object))
                    : 0;
  pick.idempotent = route.idempotent;
  pick.objective = route.objective;
  pick.deadline = request.deadline;
  SetRegions(request);
}

RetryBudget& GatewayHandler::RetryBudgetOf(ServiceId service) {
  const double slack =
      context_.settings.retry_slack * kRetryBudgetFraction /
      static_cast<double>(std::max<std::size_t>(1, context_.fleet.size()));
  const auto [budget, added] = context_.retry_budgets.try_emplace(
      service, context_.settings.retry_ratio * kRetryBudgetFraction, slack);
  return budget->second;
}

void GatewayHandler::SetService(GatewayRequest& request) {
  const EdgeRoute& route = *request.route;
  ServiceId& service = request.pick.service;
  const auto is_present = [&service](const ServiceShare& share) {
    return share.service == service;
  };
  if (std::ranges::none_of(route.services, is_present))
    service = context_.splitters[route.name].Next(route.services);
}

void GatewayHandler::SetRegions(GatewayRequest& request) {
  PickRequest& pick = request.pick;
  pick.regions = request.route->regions;
  if (request.workspace != nullptr && !request.workspace->regions.empty()) {
    const auto& allowed = request.workspace->regions;
    if (pick.regions.empty())
      pick.regions = allowed;
    else
      std::erase_if(pick.regions, [&](RegionId region) {
        return std::ranges::find(allowed, region) == allowed.end();
      });
    if (pick.regions.empty())
      pick.regions.push_back(RegionId());
  }
}

std::optional<Refusal> GatewayHandler::UpdateTerms(
    const http::request_header<>& head,
    GatewayRequest& request,
    TimePoint now) {
  const Refusal stale{RefusalReason::kConfigurationStale, RunState::kNotRun,
                      kStaleRetryAfter};
  if (request.table != context_.table) {
    const WorkspaceId workspace = request.workspace_id();
    if (auto refusal = ResolveRoute(head, request))
      return refusal;
    // The token of its limit belongs to the former workspace.
    if (request.workspace_id() != workspace)
      return stale;
    SetPickRequest(head, request);
  }
  if (request.pick.is_bound() && !context_.freshness.MaySendBound(now))
    return stale;
  return std::nullopt;
}

bool GatewayHandler::KeepGrant(const GatewayRequest& request,
                               const GatewayDispatcher::Grant& grant,
                               TimePoint now) {
  const bool is_current =
      !std::holds_alternative<GatewayDispatcher::ConfigurationChanged>(grant) &&
      request.IsCurrent(context_.table.get(), context_.freshness, now);
  if (is_current)
    return true;
  if (const auto* choice = std::get_if<BackendChoice>(&grant)) {
    dispatcher_.Release(request, *choice, RequestOutcome::kCancelled,
                        Duration::zero(), 0, now);
  }
  return false;
}

void GatewayHandler::SetFingerprint(const http::request_header<>& head,
                                    GatewayRequest& request) const {
  const std::uint64_t content =
      HashPair(HashBytes(View(head.target())), HashBytes(request.body));
  request.fingerprint = HashPair(request.workspace_id().value(), content);
}

asio::awaitable<bool> GatewayHandler::AcquireToken(
    const GatewayRequest& request) {
  const WorkspaceId workspace = request.workspace_id();
  TimePoint now = MonotonicNow();
  if (context_.limiter.TryTake(workspace, now))
    co_return true;
  if (!peers_.RequestTokens(workspace, now))
    co_return false;
  const TimePoint wait_until =
      now + Scaled(request.route->objective, kTokenWaitFraction);
  asio::steady_timer timer(io_);
  while (now < wait_until) {
    timer.expires_after(kTokenPollInterval);
    co_await timer.async_wait(kAwait);
    now = MonotonicNow();
    if (context_.limiter.TryTake(workspace, now))
      co_return true;
  }
  co_return false;
}

std::optional<Refusal> GatewayHandler::LeavingRefusal(
    const GatewayRequest& request,
    Duration wait,
    TimePoint now) const {
  if (!context_.leaving)
    return std::nullopt;
  const Duration work =
      Scaled(context_.backends.ExpectedWarm(request.pick), kSlowRequestFactor);
  // The wait is unbounded if none can be foreseen.
  const Duration bounded_wait = std::min(wait, context_.settings.grace);
  return context_.stop.RefusalFor({request.received, now + bounded_wait + work,
                                   BackendClient::AnswerDeadline(request)},
                                  now);
}

void GatewayHandler::RefuseHopeless(TimePoint now) {
  for (GatewayRequest* const request : open_) {
    if (!request->is_waiting || !request->cancel ||
        !LeavingRefusal(*request, Duration::zero(), now))
      continue;
    request->is_given_up = true;
    request->cancel();
  }
}

void GatewayHandler::GiveUp() {
  for (GatewayRequest* const request : open_) {
    request->is_given_up = true;
    if (request->cancel)
      request->cancel();
  }
}

bool GatewayHandler::ReserveBodyBytes(std::size_t bytes) {
  const std::size_t max_bytes = std::size_t{context_.settings.memory_mb} *
                                kBytesPerMegabyte / kBodyMemoryDivisor;
  if (context_.buffered_body_bytes + bytes > max_bytes)
    return false;
  context_.buffered_body_bytes += bytes;
  return true;
}

bool GatewayHandler::TryBeginRetry(const GatewayRequest& request,
                                   const CallResult& result,
                                   std::uint32_t connect_failures,
                                   TimePoint now) {
  const bool may_have_run = result.run_state != RunState::kNotRun;
  if (may_have_run && !request.route->idempotent)
    return false;
  if (connect_failures > kMaxConnectFailures ||
      request.attempts >= request.route->max_attempts)
    return false;
  const Duration needed = Scaled(context_.backends.ExpectedWarm(request.pick),
                                 kMinRemainingTimeFraction);
  if (now + needed > request.deadline ||
      LeavingRefusal(request, Duration::zero(), now))
    return false;
  if (!context_.poison.MayRun(request.fingerprint, now))
    return false;
  if (result.outcome == RequestOutcome::kConnectFailed) {
    context_.metrics.CountRetry(RetryReason::kConnectFailed);
    return true;
  }
  if (!RetryBudgetOf(request.pick.service).TrySpend())
    return false;
  context_.metrics.CountRetry(may_have_run ? RetryReason::kServerFailed
                                           : RetryReason::kServerShed);
  return true;
}

void GatewayHandler::RecordAttempt(const GatewayRequest& request,
                                   const BackendChoice& choice,
                                   const CallResult& result,
                                   Duration latency,
                                   TimePoint now) {
  context_.metrics.Record(LatencyName::kBackendAttempt, latency, now);
  const Duration silence = now - context_.last_answer_at;
  if (result.head)
    context_.last_answer_at = now;
  const bool is_reached =
      context_.backends.ReachOf(choice.server) != ServerReach::kNone;
  if (result.closed_mid_request && is_reached)
    context_.poison.OnServerCrash(request.fingerprint, choice.server,
                                  now - latency, now);
  else if (result.run_state == RunState::kRan)
    context_.poison.OnAnswered(request.fingerprint);
  if (result.load)
    dispatcher_.OnLoad(choice.server, *result.load, now);
  RecordNotice(choice.server, result, now - latency, now);
  if (choice.held_back_by)
    context_.metrics.Count(CounterName::kHeldBackByLimit);
  if (!context_.attempt_lines.TryTake(now))
    return;
  const BackendState* const state = context_.backends.Find(choice.server);
  Log(LogLevel::kInfo, "attempt-ended",
      {{"id", request.id},
       {"server", NameOf(choice.server)},
       {"origin", request.carried ? std::string_view(request.carried->origin)
                                  : std::string_view("caller")},
       {"route", request.route->name.c_str()},
       {"version", request.table->version()},
       {"regions", request.pick.regions.size()},
       {"configuration_age_ms", context_.freshness.Age(now)},
       {"object", Field::Hex{request.pick.object}},
       {"warm", choice.warm},
       {"distance", static_cast<int>(choice.distance)},
       {"run", result.run_state},
       {"open_connection", result.used_open_connection},
       {"silence_ms", silence},
       {"status", result.head ? result.head->result_int() : 0U},
       {"reason", EndName(result, result.head.has_value())},
       {"limit", result.notice ? result.notice->limit.rate : 0.0},
       {"server_leaving", result.notice && result.notice->is_leaving},
       {"held_back_by", NameOf(choice.held_back_by)},
       {"running", state == nullptr ? 0U : state->own_running()},
       {"others", state == nullptr ? 0.0 : state->OthersRunning(now)},
       {"waited_ms", now - request.started - latency},
       {"took_ms", latency},
       {"expected_ms", choice.expected}});
}

void GatewayHandler::RecordCarried(const GatewayRequest& request,
                                   const Carrier& carrier,
                                   const CallResult& result,
                                   Duration latency,
                                   TimePoint now) {
  context_.metrics.Count(CounterName::kCarriedByPeers);
  if (result.run_state == RunState::kRan)
    context_.poison.OnAnswered(request.fingerprint);
  if (!context_.attempt_lines.TryTake(now))
    return;
  Log(LogLevel::kInfo, "request-carried",
      {{"id", request.id},
       {"carrier", carrier.host.name},
       {"carrier_domain", carrier.host.failure_domain},
       {"report_age_ms", carrier.report_age},
       {"route", request.route->name},
       {"version", request.table->version()},
       {"regions", request.pick.regions.size()},
       {"configuration_age_ms", context_.freshness.Age(now)},
       {"object", Field::Hex{request.pick.object}},
       {"run", result.run_state},
       {"open_connection", result.used_open_connection},
       {"status", result.head ? result.head->result_int() : 0U},
       {"reason", EndName(result, result.run_state == RunState::kRan)},
       {"attempts", result.carrier_attempts},
       {"waited_ms", now - request.started - latency},
       {"took_ms", latency}});
}

void GatewayHandler::Recycle(AttemptEnd& end, TimePoint now) {
  if (end.server)
    backend_client_.Recycle(*end.server, std::move(end.result.connection), now);
  else
    backend_client_.RecycleCarrier(*end.carrier,
                                   std::move(end.result.connection), now);
}

void GatewayHandler::AddVerdict(const GatewayRequest& request,
                                const CarriedVerdict& verdict,
                                http::response_header<>& head) const {
  if (request.carried_code.empty())
    return;
  const PeerAuthenticator authenticator(context_.fleet_secret);
  const std::string text = EncodeCarriedVerdict(verdict);
  head.set(kCarriedVerdictField, text);
  head.set(kCarriedCodeField, authenticator.Sign(request.carried_code, text));
}

std::string_view GatewayHandler::NameOf(
    const std::optional<BackendServerId>& server) const {
  if (!server)
    return "none";
  const BackendState* const state = context_.backends.Find(*server);
  return state == nullptr ? std::string_view("gone")
                          : std::string_view(state->entry().name);
}

void GatewayHandler::RecordNotice(BackendServerId server,
                                  const CallResult& result,
                                  TimePoint sent_at,
                                  TimePoint now) {
  if (!result.notice)
    return;
  if (result.notice->is_leaving)
    peers_.OnLeavingAnswer({server, result.server_started_ms}, now);
  RecordWait(server, *result.notice, now);
  const NamedLimit& limit = result.notice->limit;
  // A server that did not run a request says nothing about the end of a limit.
  if (limit.state == NamedLimit::State::kAbsent &&
      result.run_state != RunState::kRan)
    return;
  const LimitChange change =
      context_.backends.OnNamedLimit(server, limit, sent_at, now);
  LogLimitChange(NameOf(server), change, "answer");
  if (limit.state == NamedLimit::State::kUnreadable &&
      context_.attempt_lines.TryTake(now))
    Log(LogLevel::kWarning, "server-limit-unreadable",
        {{"server", NameOf(server)}});
}

void GatewayHandler::RecordWait(BackendServerId server,
                                const ServerNotice& notice,
                                TimePoint now) {
  if (notice.wait > Duration::zero())
    context_.backends.OnWait(server, notice.wait, now);
  const bool is_stated = notice.wait > Duration::zero();
  if ((is_stated || notice.has_unreadable_wait) &&
      context_.attempt_lines.TryTake(now)) {
    Log(LogLevel::kInfo,
        is_stated ? EventName("server-wait")
                  : EventName("server-wait-unreadable"),
        {{"server", NameOf(server)}, {"wait_ms", notice.wait}});
  }
}

void GatewayHandler::RecordRefusal(const GatewayRequest& request,
                                   const Refusal& refusal,
                                   TimePoint now) {
  context_.metrics.CountRefusal(refusal.reason);
  if (!context_.refusal_lines.TryTake(now))
    return;
  Log(LogLevel::kInfo, "request-refused",
      {{"id", request.id},
       {"reason", refusal.reason},
       {"run", refusal.run_state},
       {"status", StatusOf(refusal)},
       {"route", request.route == nullptr
                     ? std::string_view("none")
                     : std::string_view(request.route->name)},
       {"version", request.table ? request.table->version() : 0},
       {"configuration_age_ms", context_.freshness.Age(now)},
       {"workspace", request.workspace == nullptr
                         ? std::string_view("none")
                         : std::string_view(request.workspace->name)},
       {"queued", dispatcher_.queued()},
       {"attempts", request.attempts},
       {"retry_after_ms", refusal.retry_after},
       {"after_ms", now - request.started}});
}

void GatewayHandler::RecordAnswer(const GatewayRequest& request,
                                  unsigned status,
                                  TimePoint now) {
  const Duration latency = now - request.started;
  context_.metrics.Count(CounterName::kAnswers);
  context_.metrics.Record(LatencyName::kRequest, latency, now);
  if (status >= kFirstServerError || IsLogged(LogLevel::kDebug)) {
    Log(LogLevel::kInfo, "request-answered",
        {{"id", request.id},
         {"status", status},
         {"route", request.route->name.c_str()},
         {"version", request.table->version()},
         {"after_ms", latency}});
  }
}

GatewayHandler::Answer GatewayHandler::RefusalAnswer(
    const GatewayRequest& request,
    const Refusal& refusal,
    unsigned version,
    bool keep_alive) const {
  const unsigned status = StatusOf(refusal);
  Answer answer(static_cast<http::status>(status), version);
  if (!request.id.empty())
    answer.set(context_.headers.request_id, request.id);
  if (AllowsRetryAfter(status) &&
      refusal.reason != RefusalReason::kCrashContained) {
    const Duration wait = refusal.retry_after > Duration::zero()
                              ? refusal.retry_after
                              : kDefaultRetryAfter;
    answer.set(http::field::retry_after, SecondsText(wait));
  }
  AddVerdict(request,
             {refusal.run_state, refusal.reason, AttemptsHere(request),
              refusal.retry_after},
             answer);
  answer.body() = Name(refusal.reason);
  answer.prepare_payload();
  answer.keep_alive(keep_alive);
  return answer;
}

GatewayHandler::Answer GatewayHandler::AnswerOf(const GatewayRequest& request,
                                                const CallResult& result,
                                                unsigned version,
                                                bool keep_alive) const {
  Answer answer;
  answer.version(version);
  answer.result(result.head->result_int());
  answer.reason(result.head->reason());
  CopyAnswerFields(*result.head, answer);
  AddVerdict(request,
             {RunState::kRan, RefusalReason::kInternal, AttemptsHere(request),
              Duration::zero()},
             answer);
  answer.body() = result.body;
  answer.keep_alive(keep_alive);
  return answer;
}

void GatewayHandler::SetFraming(const GatewayRequest& request,
                                const CallResult& result,
                                Answer& answer) {
  constexpr unsigned kNotModified = 304;
  const unsigned status = answer.result_int();
  if (HasNoBody(status))
    return;
  if (!request.is_head && status != kNotModified) {
    answer.content_length(answer.body().size());
    return;
  }
  // The length is that of a body which is not sent, and only the server's.
  const auto length = result.head->find(http::field::content_length);
  if (length != result.head->end())
    answer.set(http::field::content_length, length->value());
}

}  // namespace comfreyvane
