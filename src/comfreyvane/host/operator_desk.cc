#include "comfreyvane/host/operator_desk.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "comfreyvane/config/codec.h"
#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/config/diff.h"
#include "comfreyvane/config/validate.h"
#include "comfreyvane/host/query_parameter.h"
#include "comfreyvane/host/steering_report.h"
#include "comfreyvane/operate/message_codec.h"
#include "comfreyvane/operate/paths.h"

namespace comfreyvane {
namespace {

using boost::beast::http::verb;

template <typename Message>
OperatorReply Reply(const Message& message) {
  return {200, WriteMessage(message)};
}

OperatorReply Failure(const OperatorError& error) {
  return {HttpStatus(error.error), WriteMessage(error)};
}

/// A message, or the reply that says why there is none.
template <typename Message>
std::variant<Message, OperatorReply> ReadBody(const std::string& body) {
  using Result = std::variant<Message, OperatorReply>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Result> {
        BOOST_LEAF_AUTO(message, ReadMessage<Message>(body));
        return Result(std::move(message));
      },
      [](const ParseErrors& errors) {
        OperatorError error;
        error.error = OperatorErrorKind::kMalformed;
        error.parse_errors = errors.errors;
        return Result(Failure(error));
      },
      [] {
        return Result(OperatorDesk::ErrorReply(OperatorErrorKind::kMalformed));
      });
}

SectionedDocument DocumentOf(const Configuration& configuration) {
  std::vector<Section> sections;
  for (const ConfigurationSection& section : ToSections(configuration))
    sections.push_back({section.name, section.text});
  return SectionedDocument(std::move(sections));
}

/// @return keys that work by `before` and not by `after`.
std::vector<KeyId> WithdrawnKeys(const Configuration& before,
                                 const Configuration& after) {
  std::set<std::string> working;
  for (const Workspace& workspace : after.workspaces) {
    for (const KeyRecord& key : workspace.keys) {
      if (!key.withdrawn)
        working.insert(key.id);
    }
  }
  std::vector<KeyId> withdrawn;
  for (const Workspace& workspace : before.workspaces) {
    for (const KeyRecord& key : workspace.keys) {
      if (!key.withdrawn && !working.contains(key.id))
        withdrawn.push_back(KeyId::Of(key.id));
    }
  }
  return withdrawn;
}

OperatorReply ReplyOf(const ApplyResult& result, const std::string& digest) {
  OperatorError error;
  error.base_revision = result.base;
  error.current_revision = result.revision;
  switch (result.status) {
    case ApplyStatus::kAccepted:
      return Reply(ChangeResponse{result.revision, digest, false});
    case ApplyStatus::kConflict:
      error.error = OperatorErrorKind::kConflict;
      break;
    case ApplyStatus::kUnknown:
      error.error = OperatorErrorKind::kOutcomeUnknown;
      break;
    case ApplyStatus::kUnavailable:
      error.error = OperatorErrorKind::kPlatformUnavailable;
      break;
    case ApplyStatus::kBusy:
      error.error = OperatorErrorKind::kConflict;
      break;
  }
  return Failure(error);
}

KeyRecord* FindKey(Configuration& configuration, const std::string& id) {
  for (Workspace& workspace : configuration.workspaces) {
    for (KeyRecord& key : workspace.keys) {
      if (key.id == id)
        return &key;
    }
  }
  return nullptr;
}

struct Target {
  std::string_view path;
  std::string_view query;
};

Target Split(std::string_view target) {
  const auto question = target.find('?');
  if (question == std::string_view::npos)
    return {target, {}};
  return {target.substr(0, question), target.substr(question + 1)};
}

}  // namespace

OperatorDesk::OperatorDesk(ControlContext& context,
                           ConfigurationDriver& configurations,
                           std::function<MemberViewPtr()> view)
    : context_(context),
      configurations_(configurations),
      view_(std::move(view)) {}

OperatorReply OperatorDesk::ErrorReply(OperatorErrorKind kind) {
  OperatorError error;
  error.error = kind;
  return Failure(error);
}

void OperatorDesk::Serve(verb method,
                         std::string_view target,
                         const std::string& body,
                         OnReply on_reply,
                         TimePoint now) {
  const auto [path, query] = Split(target);
  const bool is_get = method == verb::get;
  const bool is_post = method == verb::post;
  if (is_post && path == kCheckPath)
    return on_reply(ServeCheck(body));
  if (is_get && path == kConfigurationPath)
    return on_reply(ServeConfiguration());
  if (is_get && path == kStatusPath)
    return on_reply(ServeStatus(now));
  if (is_get && path == kExplainPath)
    return on_reply(ServeExplain(query, now));
  if (is_post && path == kApplyPath)
    return ServeApply(body, std::move(on_reply), now);
  if (is_post && path == kWithdrawPath)
    return ServeWithdraw(body, std::move(on_reply), now);
  if (is_post && path == kDrainPath)
    return ServeDrain(body, std::move(on_reply), now);
  on_reply(ErrorReply(OperatorErrorKind::kNotFound));
}

Revision OperatorDesk::NewestRevision() const {
  const auto held = configurations_.held();
  return held ? held->revision : Revision();
}

std::shared_ptr<const Configuration> OperatorDesk::Newest() const {
  const auto held = configurations_.held();
  if (!held)
    return std::make_shared<const Configuration>();
  std::vector<ConfigurationSection> sections;
  for (const auto& section : held->document.sections())
    sections.push_back({section->key, section->text});
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::shared_ptr<const Configuration>> {
        BOOST_LEAF_AUTO(configuration, FromSections(sections));
        return std::make_shared<const Configuration>(std::move(configuration));
      },
      [] { return std::shared_ptr<const Configuration>(); });
}

OperatorReply OperatorDesk::ServeCheck(const std::string& body) const {
  const auto read = ReadBody<CheckRequest>(body);
  if (const auto* failure = std::get_if<OperatorReply>(&read))
    return *failure;
  const Configuration& wanted = std::get<CheckRequest>(read).configuration;
  const auto newest = Newest();
  CheckResponse response;
  response.base_revision = NewestRevision();
  response.errors = Validate(wanted);
  if (newest)
    response.changes = Diff(*newest, wanted);
  return Reply(response);
}

OperatorReply OperatorDesk::ServeConfiguration() const {
  const auto newest = Newest();
  if (!newest || NewestRevision() == Revision())
    return ErrorReply(OperatorErrorKind::kNoConfiguration);
  return Reply(
      ConfigurationResponse{NewestRevision(), Digest(*newest), *newest});
}

OperatorReply OperatorDesk::ServeStatus(TimePoint now) const {
  const InForceStatus in_force = configurations_.Status(now);
  StatusResponse response;
  response.host = context_.host.settings.name;
  response.accepted = std::max(in_force.accepted, NewestRevision());
  response.in_force = in_force.in_force;
  response.platform_reachable = configurations_.platform_reachable();
  if (const auto newest = Newest())
    response.digest = Digest(*newest);
  const MemberViewPtr view = view_();
  for (const Member& member : view->members()) {
    const auto& lagging = in_force.lagging;
    const bool lags =
        std::find(lagging.begin(), lagging.end(), member.id) != lagging.end();
    const auto heard = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - member.last_heard);
    const bool is_self = member.id == context_.host.self;
    response.hosts.push_back(
        {member.descriptor.name, member.descriptor.failure_domain,
         std::string(Name(member.state)),
         lags ? in_force.in_force : response.accepted, lags,
         is_self ? 0 : static_cast<std::uint64_t>(heard.count())});
  }
  const auto configuration = context_.host.configuration.Load();
  if (!configuration)
    return Reply(response);
  for (const Service& service : configuration->configuration().services) {
    context_.host.steering.With([&](const SteeringCore& core) {
      const ShiftCore* const shift = core.Shift(ServiceId::Of(service.name));
      for (const SiteShare& share : service.shares) {
        ShareStatus status{service.name, share.site, share.parts, 0, {}};
        if (shift != nullptr) {
          status.steered =
              shift->in_force().PositionCount(SiteId::Of(share.site));
          if (shift->paused())
            status.pause = std::string(Name(shift->paused()->reason));
        }
        response.shares.push_back(std::move(status));
      }
    });
  }
  return Reply(response);
}

OperatorReply OperatorDesk::ServeExplain(std::string_view query,
                                         TimePoint now) const {
  const std::string request = QueryParameter(query, "request").value_or("");
  ExplainResponse response;
  if (!request.empty()) {
    std::uint64_t id = 0;
    std::from_chars(request.data(), request.data() + request.size(), id, 16);
    response.decisions = context_.host.decisions.Find(RequestId(id));
    if (response.decisions.empty())
      return ErrorReply(OperatorErrorKind::kUnknownRequest);
    return Reply(response);
  }
  const std::string service = QueryParameter(query, "service").value_or("");
  const auto configuration = context_.host.configuration.Load();
  if (!configuration)
    return ErrorReply(OperatorErrorKind::kNoConfiguration);
  if (configuration->FindService(service) == nullptr)
    return ErrorReply(OperatorErrorKind::kUnknownService);
  const auto explanation = ExplainSteering(
      context_.host, *configuration,
      QueryParameter(query, "client").value_or(""), service, now);
  if (!explanation)
    return ErrorReply(OperatorErrorKind::kMalformed);
  response.decisions.push_back(*explanation);
  return Reply(response);
}

void OperatorDesk::ServeApply(const std::string& body,
                              OnReply on_reply,
                              TimePoint now) {
  auto read = ReadBody<ApplyRequest>(body);
  if (const auto* failure = std::get_if<OperatorReply>(&read))
    return on_reply(*failure);
  auto& request = std::get<ApplyRequest>(read);
  Accept(std::move(request.configuration), request.base_revision,
         request.request_id, std::move(on_reply), now);
}

void OperatorDesk::ServeWithdraw(const std::string& body,
                                 OnReply on_reply,
                                 TimePoint now) {
  const auto read = ReadBody<WithdrawRequest>(body);
  if (const auto* failure = std::get_if<OperatorReply>(&read))
    return on_reply(*failure);
  const auto& request = std::get<WithdrawRequest>(read);
  const auto newest = Newest();
  if (!newest || NewestRevision() == Revision())
    return on_reply(ErrorReply(OperatorErrorKind::kNoConfiguration));
  Configuration wanted = *newest;
  KeyRecord* const key = FindKey(wanted, request.key_id);
  if (key == nullptr)
    return on_reply(ErrorReply(OperatorErrorKind::kUnknownKey));
  if (key->withdrawn) {
    return on_reply(
        Reply(ChangeResponse{NewestRevision(), Digest(*newest), true}));
  }
  key->withdrawn = true;
  Accept(std::move(wanted), NewestRevision(), request.request_id,
         std::move(on_reply), now);
}

void OperatorDesk::ServeDrain(const std::string& body,
                              OnReply on_reply,
                              TimePoint now) {
  const auto read = ReadBody<DrainRequest>(body);
  if (const auto* failure = std::get_if<OperatorReply>(&read))
    return on_reply(*failure);
  const auto& request = std::get<DrainRequest>(read);
  const auto newest = Newest();
  if (request.target == DrainTarget::kHost) {
    const auto id = HostId::Of(request.name);
    if (view_()->Find(id) == nullptr)
      return on_reply(ErrorReply(OperatorErrorKind::kUnknownHost));
    if (id == context_.host.self)
      context_.host.stop.Stop(now);
    else
      context_.peers.Send(id, peer_method::kStop, Json::objectValue);
    return on_reply(Reply(ChangeResponse{
        NewestRevision(), newest ? Digest(*newest) : std::string(), false}));
  }
  if (!newest || NewestRevision() == Revision())
    return on_reply(ErrorReply(OperatorErrorKind::kNoConfiguration));
  Configuration wanted = *newest;
  const auto server = std::find_if(
      wanted.backend_servers.begin(), wanted.backend_servers.end(),
      [&](const BackendServer& row) { return row.name == request.name; });
  if (server == wanted.backend_servers.end())
    return on_reply(ErrorReply(OperatorErrorKind::kUnknownBackendServer));
  if (server->leaving) {
    return on_reply(
        Reply(ChangeResponse{NewestRevision(), Digest(*newest), true}));
  }
  server->leaving = true;
  Accept(std::move(wanted), NewestRevision(), request.request_id,
         std::move(on_reply), now);
}

void OperatorDesk::Accept(Configuration wanted,
                          Revision base,
                          const std::string& request_id,
                          OnReply on_reply,
                          TimePoint now) {
  wanted = Canonical(std::move(wanted));
  OperatorError error;
  error.configuration_errors = Validate(wanted);
  if (!error.configuration_errors.empty()) {
    error.error = OperatorErrorKind::kInvalidConfiguration;
    return on_reply(Failure(error));
  }
  const auto newest = Newest();
  OperatorRequest request{request_id, base, DocumentOf(wanted), {}};
  if (newest)
    request.withdrawn_keys = WithdrawnKeys(*newest, wanted);
  configurations_.Apply(
      request,
      [on_reply = std::move(on_reply), digest = Digest(wanted)](
          const ApplyResult& result) { on_reply(ReplyOf(result, digest)); },
      now);
}

}  // namespace comfreyvane
