#include "comfreyvane/host/host_process.h"

#include <thread>
#include <utility>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/settings/load_host_settings.h"

namespace comfreyvane {
namespace {

/// Shards of the limits, alike on all hosts of a fleet.
constexpr std::uint32_t kLimitShards = 8;

constexpr std::size_t kRememberedDecisions = 4096;

ConfigurationSettings SettingsOf(HostId self, Incarnation incarnation) {
  ConfigurationSettings settings;
  settings.self = {self, incarnation};
  return settings;
}

std::unique_ptr<asio::ssl::context> TlsContext(const HostSettings& settings) {
  if (!settings.tls)
    return nullptr;
  auto tls =
      std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
  tls->set_options(asio::ssl::context::default_workarounds |
                   asio::ssl::context::no_tlsv1 |
                   asio::ssl::context::no_tlsv1_1);
  tls->use_certificate_chain_file(settings.tls->certificate_file.string());
  tls->use_private_key_file(settings.tls->private_key_file.string(),
                            asio::ssl::context::pem);
  return tls;
}

}  // namespace

HostProcess::HostProcess(const HostSettings& settings,
                         Incarnation incarnation,
                         TimePoint now)
    : settings_(settings),
      self_(HostId::Of(settings.name)),
      dispatchers_(incarnation.value()),
      limits_({self_, incarnation, 0, LeaseTerms{}}, kLimitShards, now),
      host_records_({.host = self_, .incarnation = incarnation, .start = now}),
      store_records_(
          self_,
          incarnation,
          incarnation.value(),
          [this](ServiceId service, std::vector<StoreRecordAction> actions) {
            control_.CarryOut(service, std::move(actions));
          }),
      crashes_(
          self_,
          incarnation,
          {[this](CrashEvidence evidence) {
             control_.SendCrashEvidence(std::move(evidence));
           },
           [this](SuspectCleared cleared) { control_.SendCleared(cleared); }}),
      configurations_(SettingsOf(self_, incarnation), now),
      steering_(SteeringSettings{}),
      decisions_(kRememberedDecisions),
      stop_(StopSettings{},
            [this](const StopActions& actions) { Take(actions); }),
      context_{settings,       self_,        incarnation,     metrics_,
               configuration_, dispatchers_, limits_,         host_records_,
               store_records_, crashes_,     configurations_, steering_,
               decisions_,     stop_,        exchange_wanted_},
      tls_(TlsContext(settings)),
      control_(context_,
               {ReadSecretFile(settings.peer_secret_file),
                ReadSecretFile(settings.operator_token_file)},
               now) {
  for (std::uint32_t i = 0; i < settings.threads; ++i) {
    workers_.push_back(std::make_unique<Worker>(
        context_, tls_.get(), HashPair(incarnation.value(), i)));
  }
}

HostProcess::~HostProcess() = default;

void HostProcess::Run() {
  Log(LogLevel::kInfo, "host-started",
      {{"host", settings_.name.c_str()},
       {"incarnation", context_.incarnation},
       {"threads", settings_.threads}});
  std::vector<std::jthread> threads;
  for (const auto& worker : workers_)
    threads.emplace_back([&worker] { worker->Run(); });
  control_.Run();
  threads.clear();
  Log(LogLevel::kInfo, "host-stopped", {{"host", settings_.name.c_str()}});
}

void HostProcess::Stop(TimePoint now) {
  stop_.Stop(now);
}

void HostProcess::Take(const StopActions& actions) {
  for (const StopAction& action : actions) {
    if (std::holds_alternative<comfreyvane::AnnounceLeaving>(action)) {
      Log(LogLevel::kInfo, "host-leaving", {});
      metrics_.SetGauge(GaugeName::kLeaving, 1);
      control_.AnnounceLeaving();
      for (const auto& worker : workers_)
        worker->BeginLeaving();
    } else if (std::holds_alternative<comfreyvane::StopAccepting>(action)) {
      for (const auto& worker : workers_)
        worker->StopAccepting();
    } else if (std::holds_alternative<comfreyvane::ReturnLeases>(action)) {
      control_.ReturnLeases();
    } else if (std::holds_alternative<comfreyvane::CloseAll>(action)) {
      for (const auto& worker : workers_)
        worker->Quit();
      control_.Quit();
    }
  }
}

}  // namespace comfreyvane
