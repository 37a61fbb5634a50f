#include "comfreyvane/gateway/backend_client.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "comfreyvane/gateway/carried_codec.h"
#include "comfreyvane/gateway/message_heads.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/peer_authenticator.h"
#include "comfreyvane/net/streamed_message.h"

namespace comfreyvane {
namespace {

/// Covers two round trips between regions and the handshake.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

/// Idle time after which a pooled connection is not reused. Shorter than the
/// usual idle timeout of servers.
constexpr Duration kIdleLimit = std::chrono::seconds(6);

/// Fraction of a server's announced idle timeout during which its connections
/// are reused.
constexpr double kAnnouncedIdleFraction = 0.6;

/// Time beyond the deadline to wait for an answer that the server sends at the
/// deadline. Covers the latency between regions and some delay.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(60);

/// Bytes of an answer that are buffered before forwarding starts.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
constexpr std::size_t kChunkBytes = 16 * 1024;

/// Answers to earlier requests that are discarded on a connection.
constexpr int kMaxStrayAnswers = 2;

constexpr unsigned kSuccessClass = 2;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kDeadlinePassed = 504;

Duration AnnouncedIdle(const boost::beast::http::response_header<>& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto field = head[boost::beast::http::field::keep_alive];
  const std::string_view text(field.data(), field.size());
  const auto at = text.find(kTimeout);
  if (at == std::string_view::npos)
    return Duration::max();
  int seconds = 0;
  const char* const begin = text.data() + at + kTimeout.size();
  const auto [end, error] =
      std::from_chars(begin, text.data() + text.size(), seconds);
  if (error != std::errc() || end == begin)
    return Duration::max();
  return Scaled(std::chrono::seconds(seconds), kAnnouncedIdleFraction);
}

}  // namespace

struct BackendClient::Attempt {
  /// Ends the attempt, since the caller is gone.
  void Cancel() {
    is_cancelled = true;
    if (connection)
      connection->Cancel();
  }

  const GatewayRequest& request;
  BackendServerId server{};  ///< Not set if a carrier gets the request.
  std::string code{};        ///< Authentication code sent to a carrier.
  std::unique_ptr<BackendConnection> connection{};
  std::optional<TimePoint> sent_at{};  ///< To a server; nothing: not yet.
  bool is_cancelled = false;
  bool is_sent = false;      ///< At least partly.
  bool is_answered = false;  ///< At least the head of an answer.
  CallResult result{};
};

BackendClient::BackendClient(GatewayContext& context,
                             asio::io_context& io,
                             TimeoutSweeper& sweeper)
    : context_(context),
      io_(io),
      sweeper_(sweeper),
      pool_(kIdleLimit),
      carrier_pool_(kIdleLimit) {
  context_.backends.SetOpenConnections([this](BackendServerId server) {
    return pool_.HasLive(server, MonotonicNow());
  });
}

TimePoint BackendClient::AnswerDeadline(const GatewayRequest& request) {
  return request.deadline + kAnswerGrace;
}

asio::awaitable<CallResult> BackendClient::Call(
    const GatewayRequest& request,
    const RequestHead& head,
    BackendServerId server,
    std::function<void(std::function<void()>)> watch,
    std::function<void()> unwatch) {
  Attempt attempt{.request = request, .server = server};
  const BackendState* const state = context_.backends.Find(server);
  if (state == nullptr)
    co_return std::move(attempt.result);
  watch([&attempt] { attempt.Cancel(); });
  running_.insert(&attempt);
  co_await SendToServer(attempt, head, state->entry());
  running_.erase(&attempt);
  unwatch();
  co_return Finish(attempt);
}

asio::awaitable<CallResult> BackendClient::CallCarrier(
    const GatewayRequest& request,
    const RequestHead& head,
    const Carrier& carrier,
    std::function<void(std::function<void()>)> watch,
    std::function<void()> unwatch) {
  Attempt attempt{.request = request};
  watch([&attempt] { attempt.Cancel(); });
  co_await SendToCarrier(attempt, head, carrier);
  unwatch();
  co_return Finish(attempt);
}

CallResult BackendClient::Finish(Attempt& attempt) {
  if (attempt.is_cancelled) {
    attempt.result.caller_gone = true;
    attempt.result.head.reset();
    attempt.result.outcome = RequestOutcome::kCancelled;
    attempt.result.reason = RefusalReason::kCallerGone;
    attempt.connection.reset();
  }
  attempt.result.connection = std::move(attempt.connection);
  return std::move(attempt.result);
}

void BackendClient::AbandonUnreachable(TimePoint now) {
  if (context_.leaving)
    return;
  for (Attempt* const attempt : running_) {
    if (!attempt->request.route->idempotent || attempt->is_answered ||
        !attempt->connection || !attempt->sent_at ||
        !context_.paths.IsHopeless(attempt->server, *attempt->sent_at, now))
      continue;
    if (context_.attempt_lines.TryTake(now))
      Log(LogLevel::kInfo, "attempt-abandoned",
          {{"id", attempt->request.id},
           {"server", Field::Hex{attempt->server.value()}},
           {"sent_ms", now - *attempt->sent_at}});
    attempt->connection->Cancel();
  }
}

asio::awaitable<void> BackendClient::Connect(Attempt& attempt,
                                             std::string address,
                                             std::uint16_t port) {
  error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error)
    co_return;
  const TimePoint begun = MonotonicNow();
  attempt.connection = std::make_unique<BackendConnection>(io_, sweeper_);
  attempt.connection->AllowUnframedAnswers();
  const ExchangeFailure failure = co_await attempt.connection->Connect(
      {ip, port}, std::min(attempt.request.deadline, begun + kConnectTimeout));
  if (failure != ExchangeFailure::kNone) {
    attempt.connection.reset();
    co_return;
  }
  const TimePoint now = MonotonicNow();
  context_.metrics.Record(LatencyName::kBackendConnect, now - begun, now);
}

asio::awaitable<void> BackendClient::SendToServer(Attempt& attempt,
                                                  const RequestHead& head,
                                                  BackendEntry entry) {
  const BackendServerId server = attempt.server;
  attempt.result.server_started_ms = entry.started_ms;
  attempt.connection = pool_.Take(server, MonotonicNow());
  attempt.result.used_open_connection = attempt.connection != nullptr;
  if (!attempt.connection) {
    if (context_.backends.ReachOf(server) != ServerReach::kDirect)
      co_return;
    co_await Connect(attempt, entry.address, entry.port);
    if (!attempt.connection && !attempt.is_cancelled)
      context_.paths.OnConnectFailed(server, MonotonicNow());
    if (!attempt.connection)
      co_return;
    context_.metrics.Count(CounterName::kBackendConnections);
    context_.paths.OnConnected(server, MonotonicNow());
  }
  const TimePoint now = MonotonicNow();
  if (attempt.is_cancelled)
    co_return;
  // The server or the configuration may have changed during the connect.
  if (!context_.backends.MaySend(entry, attempt.request.pick) ||
      !attempt.request.IsCurrent(context_.table.get(), context_.freshness,
                                 now)) {
    Withdraw(attempt);
    co_return;
  }
  attempt.sent_at = now;
  context_.paths.OnSent(
      server, now,
      context_.backends.ExpectedAnswerOf(server, attempt.request.pick, now));
  co_await Send(
      attempt, HeadToBackend(head, attempt.request, entry.name,
                             attempt.request.deadline - now, context_.headers));
  RecordPath(attempt, server);
}

void BackendClient::Withdraw(Attempt& attempt) {
  attempt.connection.reset();
  attempt.result.was_withdrawn = true;
  attempt.result.outcome = RequestOutcome::kCancelled;
}

void BackendClient::RecordPath(const Attempt& attempt, BackendServerId server) {
  if (attempt.is_answered)
    return;
  if (attempt.result.outcome == RequestOutcome::kFailed &&
      !attempt.is_cancelled)
    context_.paths.OnConnectionLost(server, MonotonicNow(), attempt.sent_at);
  else
    context_.paths.OnUnanswered(server, attempt.sent_at);
}

asio::awaitable<void> BackendClient::SendToCarrier(Attempt& attempt,
                                                   const RequestHead& head,
                                                   const Carrier& carrier) {
  const BackendServerId key(carrier.host.id().value());
  attempt.connection = carrier_pool_.Take(key, MonotonicNow());
  attempt.result.used_open_connection = attempt.connection != nullptr;
  if (!attempt.connection) {
    co_await Connect(attempt, carrier.host.peer_address,
                     carrier.host.peer_port);
  }
  if (!attempt.connection || attempt.is_cancelled)
    co_return;
  if (!attempt.request.IsCurrent(context_.table.get(), context_.freshness,
                                 MonotonicNow())) {
    Withdraw(attempt);
    co_return;
  }
  RequestHead to_carrier = HeadToCarrier(
      head, attempt.request, attempt.request.deadline - MonotonicNow(),
      context_.headers);
  AddMark(attempt, carrier, to_carrier);
  co_await Send(attempt, std::move(to_carrier));
  // A carrier that closes its connection is no server that has crashed.
  attempt.result.closed_mid_request = false;
}

void BackendClient::AddMark(Attempt& attempt,
                            const Carrier& carrier,
                            RequestHead& head) {
  const GatewayRequest& request = attempt.request;
  const CarriedMark mark{context_.settings.name,      context_.incarnation,
                         ++context_.carried_sequence, carrier.host.name,
                         carrier.incarnation,         context_.settings.region,
                         request.pick.service,        request.attempts};
  head.set(kCarriedMarkField, EncodeCarriedMark(mark));
  if (request.pick.is_bound())
    head.set(kCarriedVersionField, std::to_string(request.table->version()));
  attempt.code = CarriedCodeOf(head, request.body, context_.fleet_secret);
  head.set(kCarriedCodeField, attempt.code);
}

asio::awaitable<void> BackendClient::Send(Attempt& attempt, RequestHead head) {
  const GatewayRequest& request = attempt.request;
  CallResult& result = attempt.result;
  if (MonotonicNow() >= request.deadline) {
    result.reason = RefusalReason::kDeadlinePassed;
    result.outcome = RequestOutcome::kCancelled;
    co_return;
  }
  StreamedMessage<true> message(std::move(head));
  const ExchangeFailure failure = co_await attempt.connection->Write(
      message, request.body, true, request.deadline);
  attempt.is_sent = message.bytes_written() > 0;
  result.run_state = attempt.is_sent ? RunState::kUnknown : RunState::kNotRun;
  if (failure != ExchangeFailure::kNone) {
    OnFailure(attempt, failure);
    co_return;
  }
  co_await ReadAnswer(attempt);
}

asio::awaitable<void> BackendClient::ReadAnswer(Attempt& attempt) {
  const GatewayRequest& request = attempt.request;
  CallResult& result = attempt.result;
  for (int stray = 0;; ++stray) {
    const ExchangeFailure failure = co_await attempt.connection->ReadHead(
        request.is_head, AnswerDeadline(request));
    if (failure != ExchangeFailure::kNone) {
      OnFailure(attempt, failure);
      co_return;
    }
    if (!attempt.is_answered && attempt.server != BackendServerId())
      context_.paths.OnAnswered(attempt.server, MonotonicNow(),
                                attempt.sent_at);
    attempt.is_answered = true;
    const auto& head = attempt.connection->answer().get().base();
    const auto id = head[context_.headers.request_id];
    // On a connection in use before, an answer without an id may be a copy of
    // an earlier refusal.
    const bool matches =
        id == request.id ||
        (id.empty() && !result.used_open_connection && stray == 0 &&
         head.count(context_.headers.not_run) > 0);
    if (matches)
      break;
    // This is the answer to an earlier request on the connection.
    context_.metrics.Count(CounterName::kStrayAnswers);
    if (stray == kMaxStrayAnswers || !co_await SkipBody(attempt)) {
      OnFailure(attempt, ExchangeFailure::kMalformed);
      co_return;
    }
  }
  result.head = attempt.connection->answer().get().base();
  // Answers with this status come from another server at the same address.
  if (attempt.code.empty() && result.head->result_int() != kMisdirected)
    result.notice = context_.notice_of(*result.head);
  co_await ReadBody(attempt);
  if (!result.head)
    co_return;
  if (attempt.code.empty())
    Classify(attempt);
  else
    ClassifyCarried(attempt);
}

asio::awaitable<bool> BackendClient::SkipBody(Attempt& attempt) {
  BackendConnection& connection = *attempt.connection;
  std::string buffer(kChunkBytes, '\0');
  for (std::size_t skipped = 0; !connection.answer().is_done();) {
    const BodyChunk chunk =
        co_await connection.ReadBody(buffer, AnswerDeadline(attempt.request));
    skipped += chunk.size;
    if (chunk.failure != ExchangeFailure::kNone || skipped > kMaxBufferedBytes)
      co_return false;
  }
  co_return !connection.answer().need_eof();
}

asio::awaitable<void> BackendClient::ReadBody(Attempt& attempt) {
  CallResult& result = attempt.result;
  BackendConnection& connection = *attempt.connection;
  result.complete = connection.answer().is_done();
  while (!result.complete && result.body.size() < kMaxBufferedBytes) {
    const std::size_t held = result.body.size();
    result.body.resize(held + kChunkBytes);
    const BodyChunk chunk = co_await connection.ReadBody(
        std::span(result.body).subspan(held), AnswerDeadline(attempt.request));
    result.body.resize(held + chunk.size);
    if (chunk.failure != ExchangeFailure::kNone) {
      result.head.reset();
      result.body.clear();
      OnFailure(attempt, chunk.failure);
      co_return;
    }
    result.complete = chunk.last;
  }
}

void BackendClient::OnFailure(Attempt& attempt, ExchangeFailure failure) {
  CallResult& result = attempt.result;
  const bool is_late = MonotonicNow() >= attempt.request.deadline;
  attempt.connection->Close();
  switch (failure) {
    case ExchangeFailure::kTimeout:
      // Before the deadline, the kernel has given up on the connection.
      result.reason = RefusalReason::kBackendTimeout;
      result.outcome =
          is_late ? RequestOutcome::kTimeout : RequestOutcome::kFailed;
      break;
    case ExchangeFailure::kMalformed:
    case ExchangeFailure::kTooLarge:
      result.reason = RefusalReason::kBackendMalformed;
      result.outcome = RequestOutcome::kFailed;
      break;
    case ExchangeFailure::kNone:
    case ExchangeFailure::kClosed:
      result.reason = RefusalReason::kBackendClosed;
      result.outcome = RequestOutcome::kFailed;
      result.closed_mid_request = attempt.is_sent;
      break;
  }
  if (is_late && result.run_state != RunState::kNotRun)
    result.reason = RefusalReason::kBackendTimeout;
}

void BackendClient::Classify(Attempt& attempt) {
  CallResult& result = attempt.result;
  const auto& head = *result.head;
  const unsigned status = head.result_int();
  result.load = LoadOf(head, context_.headers);
  const bool not_run =
      head.count(context_.headers.not_run) > 0 || status == kMisdirected;
  if (not_run) {
    result.run_state = RunState::kNotRun;
    result.reason = RefusalReason::kQueueFull;
    result.outcome = status == kMisdirected ? RequestOutcome::kConnectFailed
                                            : RequestOutcome::kShed;
    return;
  }
  attempt.connection->SetIdleLimit(AnnouncedIdle(head));
  ClassifyAnswer(attempt);
}

void BackendClient::ClassifyAnswer(Attempt& attempt) {
  CallResult& result = attempt.result;
  const unsigned status = result.head->result_int();
  result.run_state = RunState::kRan;
  const bool success = status / 100 == kSuccessClass;
  if (success && result.head->count(context_.headers.seal) == 0) {
    // Every successful answer of a backend server carries a seal, so this one
    // came from something else.
    result.head.reset();
    result.notice.reset();
    result.run_state = RunState::kUnknown;
    OnFailure(attempt, ExchangeFailure::kMalformed);
    return;
  }
  if (status == kDeadlinePassed)
    result.outcome = RequestOutcome::kTimeout;
  else if (status >= kFirstServerError)
    result.outcome = RequestOutcome::kFailed;
  else
    result.outcome = RequestOutcome::kOk;
}

void BackendClient::ClassifyCarried(Attempt& attempt) {
  CallResult& result = attempt.result;
  const auto text = (*result.head)[kCarriedVerdictField];
  const auto code = (*result.head)[kCarriedCodeField];
  const std::string_view verdict_text(text.data(), text.size());
  const PeerAuthenticator authenticator(context_.fleet_secret);
  const auto verdict =
      authenticator.Verify(attempt.code, verdict_text,
                           std::string_view(code.data(), code.size()))
          ? ParseCarriedVerdict(verdict_text)
          : std::nullopt;
  if (!verdict) {
    result.head.reset();
    OnFailure(attempt, ExchangeFailure::kMalformed);
    return;
  }
  result.carrier_attempts = verdict->attempts;
  result.head->erase(kCarriedVerdictField);
  result.head->erase(kCarriedCodeField);
  if (verdict->run_state == RunState::kRan) {
    ClassifyAnswer(attempt);
    return;
  }
  result.run_state = verdict->run_state;
  result.reason = verdict->reason;
  result.retry_after = verdict->retry_after;
  result.outcome = verdict->run_state == RunState::kNotRun
                       ? RequestOutcome::kShed
                       : RequestOutcome::kFailed;
}

void BackendClient::Recycle(BackendServerId server,
                            std::unique_ptr<BackendConnection> connection,
                            TimePoint now) {
  const BackendState* const state = context_.backends.Find(server);
  const bool is_leaving = state != nullptr && state->is_leaving();
  if (connection && connection->reusable() && !is_leaving)
    pool_.Give(server, std::move(connection), now);
}

void BackendClient::RecycleCarrier(
    HostId carrier,
    std::unique_ptr<BackendConnection> connection,
    TimePoint now) {
  if (connection && connection->reusable()) {
    carrier_pool_.Give(BackendServerId(carrier.value()), std::move(connection),
                       now);
  }
}

}  // namespace comfreyvane
