#include "comfreyvane/gateway/path_supervisor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <vector>

#include "comfreyvane/edge/server_notice.h"
#include "comfreyvane/edge/server_silence.h"
#include "comfreyvane/gateway/limit_log.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/backend_connection.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/streamed_message.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

/// Covers two round trips between regions.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

/// Probes of one server that may wait for answers at the same time.
constexpr int kMaxProbesAtServer = 4;

/// Broken connections from this long before the loss of a path belong to it.
constexpr Duration kBreakLead = std::chrono::milliseconds(1500);

std::string_view NameOf(PathGroup::Kind kind) {
  switch (kind) {
    case PathGroup::Kind::kAll:
      return "all";
    case PathGroup::Kind::kFailureDomain:
      return "failure-domain";
    case PathGroup::Kind::kService:
      return "service";
  }
  return "";
}

}  // namespace

PathSupervisor::PathSupervisor(GatewayContext& context,
                               asio::io_context& io,
                               TimeoutSweeper& sweeper,
                               GatewayDispatcher& dispatcher,
                               BackendClient& backend_client)
    : context_(context),
      io_(io),
      sweeper_(sweeper),
      dispatcher_(dispatcher),
      backend_client_(backend_client) {}

void PathSupervisor::OnTick(TimePoint now) {
  for (const BackendServerId server : context_.paths.running())
    context_.paths.SetLoad(server, context_.backends.LoadOf(server, now));
  const std::vector<PathChange> changes = context_.paths.Update(now);
  for (const PathChange& change : changes) {
    LogChange(change);
    if (change.kind != PathChange::Kind::kLost)
      continue;
    context_.metrics.Count(CounterName::kLostPaths);
    context_.poison.Retract(now - kBreakLead);
  }
  const bool is_disturbed = context_.paths.is_disturbed();
  if (is_disturbed || was_disturbed_) {
    context_.backends.ApplyReach(context_.paths, now);
    backend_client_.AbandonUnreachable(now);
  }
  if (!changes.empty())
    dispatcher_.Reassign();
  was_disturbed_ = is_disturbed;
  const auto probes = context_.paths.TakeProbes(
      [this, now](BackendServerId server) { return TryProbe(server, now); },
      now);
  for (const BackendServerId server : probes) {
    BackendEntry entry = context_.backends.Find(server)->entry();
    asio::co_spawn(io_, Probe(std::move(entry)), asio::detached);
  }
}

void PathSupervisor::LogChange(const PathChange& change) const {
  const auto witness =
      change.witness ? context_.fleet.Find(*change.witness) : std::nullopt;
  const EventName event =
      change.kind == PathChange::Kind::kLost       ? EventName("path-lost")
      : change.kind == PathChange::Kind::kRegained ? EventName("path-regained")
                                                   : EventName("path-open");
  Log(change.kind == PathChange::Kind::kLost ? LogLevel::kWarning
                                             : LogLevel::kInfo,
      event,
      {{"servers", NameOf(change.group.kind)},
       {"group", Field::Hex{change.group.id}},
       {"silence_ms", change.silence},
       {"silent", change.silent},
       {"busy", change.busy},
       {"refused", change.refused},
       {"witness",
        witness ? std::string_view(witness->name) : std::string_view("none")},
       {"lasted_ms", change.lasted}});
}

bool PathSupervisor::TryProbe(BackendServerId server, TimePoint now) {
  const auto probing = probing_.find(server);
  if (probing != probing_.end() && probing->second >= kMaxProbesAtServer)
    return false;
  return context_.backends.TryProbe(server, now);
}

asio::awaitable<void> PathSupervisor::Probe(BackendEntry entry) {
  const BackendServerId server = entry.id();
  const TimePoint sent_at = MonotonicNow();
  const ServerLoad load = context_.backends.LoadOf(server, sent_at);
  context_.paths.OnSent(server, sent_at, {.load = load});
  ++probing_[server];
  BackendConnection connection(io_, sweeper_);
  const bool is_answered =
      co_await Check(connection, entry, ServerSilence::ProbeTimeout(load));
  const TimePoint now = MonotonicNow();
  if (is_answered) {
    context_.paths.OnAnswered(server, now, sent_at);
    context_.paths.OnProbeAnswered(server);
    RecordNotice(entry, connection.answer().get().base(), sent_at);
  } else {
    context_.paths.OnUnanswered(server, sent_at);
  }
  if (--probing_[server] == 0)
    probing_.erase(server);
}

void PathSupervisor::RecordNotice(
    const BackendEntry& entry,
    const boost::beast::http::response_header<>& head,
    TimePoint sent_at) {
  // Another server has the address.
  if (head.result() == http::status::misdirected_request)
    return;
  const TimePoint now = MonotonicNow();
  const ServerNotice notice = context_.notice_of(head);
  if (notice.wait > Duration::zero())
    context_.backends.OnWait(entry.id(), notice.wait, now);
  if (notice.limit.state != NamedLimit::State::kNamed)
    return;
  LogLimitChange(
      entry.name,
      context_.backends.OnNamedLimit(entry.id(), notice.limit, sent_at, now),
      "probe");
}

asio::awaitable<bool> PathSupervisor::Check(BackendConnection& connection,
                                            BackendEntry entry,
                                            Duration answer_time) {
  error_code error;
  const auto address = asio::ip::make_address(entry.address, error);
  const EdgeService* const service =
      context_.table ? context_.table->FindService(entry.service) : nullptr;
  if (error || service == nullptr)
    co_return false;
  http::request_header<> head;
  head.version(kHttp11);
  head.method(http::verb::get);
  head.target(service->health_path);
  head.set(http::field::host, entry.address);
  const ExchangeFailure connected = co_await connection.Connect(
      {address, entry.port}, MonotonicNow() + kConnectTimeout);
  if (connected != ExchangeFailure::kNone) {
    context_.paths.OnConnectFailed(entry.id(), MonotonicNow());
    co_return false;
  }
  context_.paths.OnConnected(entry.id(), MonotonicNow());
  context_.metrics.Count(CounterName::kProbes);
  StreamedMessage<true> message(std::move(head));
  const TimePoint deadline = MonotonicNow() + answer_time;
  connection.AllowUnframedAnswers();
  const ExchangeFailure written =
      co_await connection.Write(message, {}, true, deadline);
  if (written != ExchangeFailure::kNone)
    co_return false;
  co_return co_await connection.ReadHead(false, deadline) ==
      ExchangeFailure::kNone;
}

}  // namespace comfreyvane
