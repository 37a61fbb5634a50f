#include "comfreyvane/host/configuration_driver.h"

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "comfreyvane/config/codec.h"
#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/wire/spread_codec.h"

namespace comfreyvane {
namespace {

/// Time that an operator's change may take through another host.
constexpr Duration kApplyTimeout = std::chrono::seconds(4);

template <typename T, typename Parse>
std::optional<T> Parsed(Parse parse) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, parse());
        return std::optional<T>(std::move(value));
      },
      [] { return std::optional<T>(); });
}

std::vector<ConfigurationSection> SectionsOf(
    const SectionedDocument& document) {
  std::vector<ConfigurationSection> sections;
  for (const auto& section : document.sections())
    sections.push_back({section->key, section->text});
  return sections;
}

}  // namespace

ConfigurationDriver::ConfigurationDriver(ControlContext& context,
                                         OnInForce on_in_force)
    : context_(context), on_in_force_(std::move(on_in_force)) {}

void ConfigurationDriver::OnTick(TimePoint now) {
  Take(context_.host.configurations.With(
           [&](ConfigurationCore& core) { return core.OnTick(now); }),
       now);
  ExpireWaiting(now);
}

void ConfigurationDriver::OnMembers(const MemberViewPtr& view,
                                    const PeerGraph& graph,
                                    TimePoint now) {
  Take(context_.host.configurations.With([&](ConfigurationCore& core) {
    return core.SetMembers(view, graph, now);
  }),
       now);
}

void ConfigurationDriver::OnResumed(TimePoint now) {
  Take(context_.host.configurations.With(
           [&](ConfigurationCore& core) { return core.OnSelfResumed(now); }),
       now);
}

void ConfigurationDriver::OnSpreadMessage(HostId from,
                                          const Json::Value& json,
                                          TimePoint now) {
  const auto message =
      Parsed<SpreadMessage>([&] { return SpreadMessageFromJson(json); });
  if (!message)
    return;
  Take(context_.host.configurations.With([&](ConfigurationCore& core) {
    return core.OnMessage(from, *message, now);
  }),
       now);
}

void ConfigurationDriver::OnFreshnessMessage(HostId from,
                                             const Json::Value& json,
                                             TimePoint now) {
  const auto message =
      Parsed<FreshnessMessage>([&] { return FreshnessMessageFromJson(json); });
  if (!message)
    return;
  Take(context_.host.configurations.With([&](ConfigurationCore& core) {
    return core.OnMessage(from, *message, now);
  }),
       now);
}

void ConfigurationDriver::Apply(const OperatorRequest& request,
                                OnApplied on_applied,
                                TimePoint now) {
  if (waiting_.contains(request.id)) {
    on_applied({request.id, ApplyStatus::kBusy, request.base, {}});
    return;
  }
  waiting_[request.id] = {std::move(on_applied), now + kApplyTimeout};
  Take(context_.host.configurations.With([&](ConfigurationCore& core) {
    return core.OnApply(request, false, now);
  }),
       now);
}

void ConfigurationDriver::OnForwardedApply(HostId from,
                                           const Json::Value& json,
                                           TimePoint now) {
  const auto request =
      Parsed<OperatorRequest>([&] { return OperatorRequestFromJson(json); });
  if (!request)
    return;
  forwarded_[request->id] = from;
  Take(context_.host.configurations.With([&](ConfigurationCore& core) {
    return core.OnApply(*request, true, now);
  }),
       now);
}

void ConfigurationDriver::OnForwardedResult(const Json::Value& json) {
  const auto result =
      Parsed<ApplyResult>([&] { return ApplyResultFromJson(json); });
  if (result)
    Answer(*result);
}

void ConfigurationDriver::Leave() {
  context_.host.configurations.With(
      [](ConfigurationCore& core) { core.Leave(); });
}

InForceStatus ConfigurationDriver::Status(TimePoint now) const {
  return context_.host.configurations.With(
      [&](const ConfigurationCore& core) { return core.Status(now); });
}

ConfigurationDocumentPtr ConfigurationDriver::held() const {
  return context_.host.configurations.With(
      [](const ConfigurationCore& core) { return core.held(); });
}

void ConfigurationDriver::Answer(const ApplyResult& result) {
  if (const auto found = forwarded_.find(result.request_id);
      found != forwarded_.end()) {
    context_.peers.Send(found->second, peer_method::kApplied, ToJson(result));
    forwarded_.erase(found);
  }
  const auto found = waiting_.find(result.request_id);
  if (found == waiting_.end())
    return;
  const OnApplied on_applied = std::move(found->second.on_applied);
  waiting_.erase(found);
  on_applied(result);
}

void ConfigurationDriver::ExpireWaiting(TimePoint now) {
  std::vector<std::string> late;
  for (const auto& [id, waiting] : waiting_) {
    if (now >= waiting.deadline)
      late.push_back(id);
  }
  for (const std::string& id : late)
    Answer({id, ApplyStatus::kUnknown, {}, {}});
}

void ConfigurationDriver::Take(const ConfigurationActions& actions,
                               TimePoint now) {
  for (const ConfigurationAction& action : actions) {
    if (const auto* spread = std::get_if<SendSpreadMessage>(&action)) {
      context_.peers.Send(spread->to, peer_method::kSpread,
                          ToJson(spread->message));
    } else if (const auto* fresh = std::get_if<SendFreshnessMessage>(&action)) {
      context_.peers.Send(fresh->to, peer_method::kFreshness,
                          ToJson(fresh->message));
    } else if (const auto* forward = std::get_if<ForwardRequest>(&action)) {
      context_.peers.Send(forward->to, peer_method::kApply,
                          ToJson(forward->request));
    } else if (const auto* read = std::get_if<ReadRows>(&action)) {
      Read(*read);
    } else if (const auto* commit = std::get_if<CommitRows>(&action)) {
      Commit(commit->transaction);
    } else if (const auto* answer = std::get_if<AnswerOperator>(&action)) {
      Answer(answer->result);
    } else if (const auto* put =
                   std::get_if<comfreyvane::PutInForce>(&action)) {
      PutInForce(*put->document, now);
    }
  }
}

void ConfigurationDriver::Read(const ReadRows& read) {
  context_.platform.Read(
      read.keys, [this, number = read.number](const TableReading& reading) {
        platform_reachable_ = reading.status == TableStatus::kDone;
        const TimePoint now = MonotonicNow();
        Take(context_.host.configurations.With([&](ConfigurationCore& core) {
          return core.OnRead(number, reading, now);
        }),
             now);
      });
}

void ConfigurationDriver::Commit(const TableTransaction& transaction) {
  context_.platform.Commit(transaction, [this](const TableOutcome& outcome) {
    const TimePoint now = MonotonicNow();
    Take(context_.host.configurations.With([&](ConfigurationCore& core) {
      return core.OnOutcome(outcome, now);
    }),
         now);
  });
}

void ConfigurationDriver::PutInForce(const ConfigurationDocument& document,
                                     TimePoint now) {
  auto configuration = Parsed<Configuration>(
      [&] { return FromSections(SectionsOf(document.document)); });
  if (!configuration) {
    // Its acceptor has checked it, so a newer release wrote what this one
    // cannot read. Serving by an older one would revert it.
    Log(LogLevel::kError, "configuration-unreadable",
        {{"revision", document.revision}});
    context_.host.configuration.Publish(nullptr);
    return;
  }
  const auto index = std::make_shared<const ConfigurationIndex>(
      std::make_shared<const Configuration>(*std::move(configuration)),
      document.revision);
  on_in_force_(index, now);
  context_.host.metrics.Count(CounterName::kRevisionsApplied);
  context_.host.metrics.SetGauge(
      GaugeName::kConfigurationRevision,
      static_cast<std::int64_t>(document.revision.value()));
  Log(LogLevel::kInfo, "configuration-in-force",
      {{"revision", document.revision}});
}

}  // namespace comfreyvane
