#include "comfreyvane/host/steering_report.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>
#include <variant>

#include "comfreyvane/config/configuration_index.h"

namespace comfreyvane {
namespace {

std::string SiteName(const ConfigurationIndex& configuration, SiteId site) {
  const Site* const found = configuration.Find(site);
  return found == nullptr ? std::string() : found->name;
}

std::string Outcome(const SteeringDecision& decision,
                    const ConfigurationIndex& configuration) {
  if (const auto* refusal = std::get_if<Refusal>(&decision.outcome))
    return "refused: " + std::string(Name(refusal->reason));
  const auto& answer = std::get<SteeringAnswer>(decision.outcome);
  std::string text = "answered: " + SiteName(configuration, answer.site);
  for (const EntryHost& host : answer.hosts)
    text += " " + host.address + ":" + std::to_string(host.port);
  return text;
}

}  // namespace

std::optional<Explanation> ExplainSteering(
    HostContext& host,
    const ConfigurationIndex& configuration,
    const std::string& client,
    const std::string& service,
    TimePoint now) {
  const auto address = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<ClientAddress>> {
        BOOST_LEAF_AUTO(parsed, ClientAddress::Parse(client));
        return std::optional<ClientAddress>(parsed);
      },
      [] { return std::optional<ClientAddress>(); });
  if (!address)
    return std::nullopt;
  const LookupRequest request{*address, ServiceId::Of(service), {}, true};
  const SteeringDecision decision = host.steering.With(
      [&](const SteeringCore& core) { return core.Decide(request, now); });
  const SteeringExplanation& why = decision.explanation;
  Explanation explanation;
  explanation.host = host.settings.name;
  explanation.decision = Outcome(decision, configuration);
  explanation.rule = "steer." + std::string(Name(why.rule));
  explanation.revision = why.revision;
  explanation.inputs = {
      {"client", client},
      {"service", service},
      {"position", std::to_string(why.position)},
      {"share-site", SiteName(configuration, why.share_site)}};
  if (why.nearest) {
    explanation.inputs.push_back(
        {"nearest-site", SiteName(configuration, *why.nearest)});
  }
  if (why.shortage) {
    explanation.inputs.push_back(
        {"shortage", std::string(Name(why.shortage->reason))});
  }
  return explanation;
}

}  // namespace comfreyvane
