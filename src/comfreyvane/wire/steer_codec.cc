#include "comfreyvane/wire/steer_codec.h"

#include <array>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "comfreyvane/config/site_share.h"
#include "comfreyvane/steer/share_map.h"
#include "comfreyvane/steer/shift_plan.h"

namespace comfreyvane {
namespace leaf = boost::leaf;
namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kMostDigits = 16;

std::string Hex(std::uint64_t value) {
  std::array<char, kMostDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 value, kHexadecimal);
  return {digits.data(), end.ptr};
}

Json::Int64 Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Json::Value ListOf(const auto& values) {
  Json::Value list(Json::arrayValue);
  for (const auto& value : values)
    list.append(ToJson(value));
  return list;
}

}  // namespace

static Json::Value ToJson(const SiteAllocation& part) {
  Json::Value json;
  json["site"] = Hex(part.site.value());
  json["parts"] = part.parts;
  return json;
}

static Json::Value ToJson(const ShareRun& run) {
  Json::Value json;
  json["first"] = run.first;
  json["count"] = run.count;
  json["site"] = Hex(run.site.value());
  return json;
}

static Json::Value ToJson(const SiteShareBounds& share_bounds) {
  Json::Value json;
  json["site"] = Hex(share_bounds.site.value());
  json["least"] = share_bounds.min;
  json["most"] = share_bounds.max;
  return json;
}

static Json::Value ToJson(const EntryHost& host) {
  Json::Value json;
  json["id"] = Hex(host.id.value());
  json["incarnation"] = Hex(host.incarnation.value());
  json["address"] = host.address;
  json["port"] = host.port;
  return json;
}

static Json::Value ToJson(const Shortage& shortage) {
  Json::Value json;
  json["resource"] = Hex(shortage.resource.value());
  json["reason"] = std::string(Name(shortage.reason));
  json["usable"] = Json::Int64{shortage.usable};
  json["reserved"] = Json::Int64{shortage.reserved};
  json["retry_after_ms"] = Milliseconds(shortage.retry_after);
  return json;
}

static Json::Value ToJson(const Refusal& refusal) {
  Json::Value json;
  json["reason"] = std::string(Name(refusal.reason));
  json["run_state"] = std::string(Name(refusal.run_state));
  json["retry_after_ms"] = Milliseconds(refusal.retry_after);
  return json;
}

static Json::Value ToJson(const StepTaken& step) {
  Json::Value json;
  json["action"] = "step-taken";
  json["service"] = Hex(step.service.value());
  json["revision"] = Json::UInt64{step.revision.value()};
  json["step"] = step.step;
  json["moved"] = step.moved;
  json["in_force"] = ListOf(step.in_force);
  return json;
}

static Json::Value ToJson(const ShiftResumed& resumed) {
  Json::Value json;
  json["action"] = "resumed";
  json["service"] = Hex(resumed.service.value());
  json["revision"] = Json::UInt64{resumed.revision.value()};
  return json;
}

static Json::Value ToJson(const ShiftCompleted& completed) {
  Json::Value json;
  json["action"] = "completed";
  json["service"] = Hex(completed.service.value());
  json["revision"] = Json::UInt64{completed.revision.value()};
  json["steps"] = completed.steps;
  return json;
}

Json::Value ToJson(const ShiftPaused& pause) {
  Json::Value json;
  json["action"] = "paused";
  json["service"] = Hex(pause.service.value());
  json["revision"] = Json::UInt64{pause.revision.value()};
  json["step"] = pause.step;
  json["reason"] = std::string(Name(pause.reason));
  json["site"] = Hex(pause.site.value());
  json["measurement_age_ms"] = Milliseconds(pause.age);
  json["headroom"] = Json::Int64{pause.headroom};
  json["needed"] = Json::Int64{pause.needed};
  return json;
}

Json::Value ToJson(const ShiftAction& action) {
  return std::visit([](const auto& value) { return ToJson(value); }, action);
}

Json::Value ToJson(const ShiftExplanation& why) {
  Json::Value json;
  json["service"] = Hex(why.service.value());
  json["revision"] = Json::UInt64{why.revision.value()};
  json["step"] = why.step;
  json["cap"] = why.cap;
  json["remaining"] = why.remaining;
  json["in_force"] = ListOf(why.in_force);
  json["declared"] = ListOf(why.declared);
  json["reach"] = ListOf(why.share_bounds);
  json["measurements"] = Json::Value(Json::arrayValue);
  for (const auto& measurement : why.measurements) {
    Json::Value entry;
    entry["site"] = Hex(measurement.site.value());
    entry["up"] = measurement.up;
    entry["rate"] = Json::Int64{measurement.rate};
    entry["headroom"] = Json::Int64{measurement.headroom};
    entry["age_ms"] = Milliseconds(why.now - measurement.measured_at);
    json["measurements"].append(entry);
  }
  if (why.fleet)
    json["fleet"] = ToJson(*why.fleet, why.now);
  if (why.paused)
    json["paused"] = ToJson(*why.paused);
  return json;
}

Json::Value ToJson(const SteeringAnswer& answer) {
  Json::Value json;
  json["hosts"] = ListOf(answer.hosts);
  json["site"] = Hex(answer.site.value());
  json["ttl_ms"] = Milliseconds(answer.ttl);
  json["revision"] = Json::UInt64{answer.revision.value()};
  return json;
}

Json::Value ToJson(const SteeringExplanation& why) {
  Json::Value json;
  json["client"] = why.request.client.ToString();
  json["service"] = Hex(why.request.service.value());
  json["workspace"] = Hex(why.request.workspace.value());
  json["idempotent"] = why.request.idempotent;
  json["revision"] = Json::UInt64{why.revision.value()};
  json["rule"] = std::string(Name(why.rule));
  json["position"] = why.position;
  if (why.nearest)
    json["nearest"] = Hex(why.nearest->value());
  json["share_site"] = Hex(why.share_site.value());
  json["site"] = Hex(why.site.value());
  if (why.shortage)
    json["shortage"] = ToJson(*why.shortage);
  return json;
}

Json::Value ToJson(const SteeringDecision& decision) {
  Json::Value json;
  const bool answered =
      std::holds_alternative<SteeringAnswer>(decision.outcome);
  json[answered ? "answer" : "refusal"] = std::visit(
      [](const auto& outcome) { return ToJson(outcome); }, decision.outcome);
  json["explanation"] = ToJson(decision.explanation);
  return json;
}

Json::Value ToJson(const ShiftProgress& progress) {
  Json::Value json;
  json["service"] = Hex(progress.service.value());
  json["revision"] = Json::UInt64{progress.revision.value()};
  json["step"] = progress.step;
  json["plan"] = Hex(progress.plan);
  json["remaining"] = progress.remaining;
  json["declared"] = ListOf(progress.declared);
  json["base"] = ListOf(progress.base);
  json["earlier"] = ListOf(progress.earlier);
  return json;
}

Json::Value ToJson(const FleetProgress& progress, TimePoint now) {
  Json::Value json;
  json["plan"] = Hex(progress.plan);
  json["remaining"] = progress.remaining;
  json["age_ms"] = Milliseconds(now - progress.reported_at);
  json["least_remaining"] = progress.min_remaining;
  json["traffic"] = Json::UInt64{progress.traffic};
  json["moved_traffic"] = Json::Value(Json::arrayValue);
  for (const std::uint64_t traffic : progress.moved_traffic)
    json["moved_traffic"].append(Json::UInt64{traffic});
  return json;
}

namespace {

constexpr std::uint64_t kMostSteps = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMostRevisions =
    std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMostAgeMs = 86'400'000;
constexpr std::uint64_t kMostTraffic = std::uint64_t{1} << 48U;

leaf::result<void> CheckMembers(const Json::Value& json,
                                std::initializer_list<const char*> names) {
  if (!json.isObject())
    return leaf::new_error(SteerWireError::kNoObject);
  for (const char* name : names) {
    if (!json.isMember(name))
      return leaf::new_error(SteerWireError::kMissingMember);
  }
  if (json.size() != names.size())
    return leaf::new_error(SteerWireError::kUnknownMember);
  return {};
}

leaf::result<std::uint64_t> ReadHex(const Json::Value& json) {
  if (!json.isString())
    return leaf::new_error(SteerWireError::kIllTypedMember);
  const std::string text = json.asString();
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data(), end, value, kHexadecimal);
  if (error != std::errc{} || stop != end)
    return leaf::new_error(SteerWireError::kIllTypedMember);
  return value;
}

leaf::result<std::uint64_t> ReadCount(const Json::Value& json,
                                      std::uint64_t max) {
  if (!json.isUInt64() || json.asUInt64() > max)
    return leaf::new_error(SteerWireError::kIllTypedMember);
  return json.asUInt64();
}

leaf::result<SiteAllocation> ReadPart(const Json::Value& json) {
  if (auto members = CheckMembers(json, {"site", "parts"}); !members)
    return members.error();
  BOOST_LEAF_AUTO(site, ReadHex(json["site"]));
  BOOST_LEAF_AUTO(parts, ReadCount(json["parts"], kWholeShare));
  return SiteAllocation{SiteId(site), static_cast<std::uint32_t>(parts)};
}

leaf::result<ShareRun> ReadRun(const Json::Value& json) {
  if (auto members = CheckMembers(json, {"first", "count", "site"}); !members)
    return members.error();
  BOOST_LEAF_AUTO(first, ReadCount(json["first"], kWholeShare - 1));
  BOOST_LEAF_AUTO(count, ReadCount(json["count"], kWholeShare));
  BOOST_LEAF_AUTO(site, ReadHex(json["site"]));
  return ShareRun{static_cast<ClientPosition>(first),
                  static_cast<std::uint16_t>(count), SiteId(site)};
}

template <typename Value>
leaf::result<std::vector<Value>> ReadList(
    const Json::Value& json,
    leaf::result<Value> (*read)(const Json::Value&)) {
  if (!json.isArray() || json.size() > kWholeShare)
    return leaf::new_error(SteerWireError::kIllTypedMember);
  std::vector<Value> values;
  for (const auto& element : json) {
    BOOST_LEAF_AUTO(value, read(element));
    values.push_back(value);
  }
  return values;
}

leaf::result<std::vector<ShareRun>> ReadShareMap(const Json::Value& json) {
  BOOST_LEAF_AUTO(runs, ReadList(json, ReadRun));
  if (!ShareMap::OfRuns(runs))
    return leaf::new_error(SteerWireError::kNoShareMap);
  return runs;
}

leaf::result<std::vector<SiteAllocation>> ReadShares(const Json::Value& json) {
  BOOST_LEAF_AUTO(parts, ReadList(json, ReadPart));
  std::uint64_t total = 0;
  for (const auto& part : parts)
    total += part.parts;
  if (total != kWholeShare)
    return leaf::new_error(SteerWireError::kNoShareMap);
  return parts;
}

}  // namespace

leaf::result<ShiftProgress> ShiftProgressFromJson(const Json::Value& json) {
  if (auto members =
          CheckMembers(json, {"service", "revision", "step", "plan",
                              "remaining", "declared", "base", "earlier"});
      !members)
    return members.error();
  BOOST_LEAF_AUTO(service, ReadHex(json["service"]));
  BOOST_LEAF_AUTO(revision, ReadCount(json["revision"], kMostRevisions));
  BOOST_LEAF_AUTO(step, ReadCount(json["step"], kMostSteps));
  BOOST_LEAF_AUTO(plan, ReadHex(json["plan"]));
  BOOST_LEAF_AUTO(remaining, ReadCount(json["remaining"], kWholeShare));
  BOOST_LEAF_AUTO(declared, ReadShares(json["declared"]));
  BOOST_LEAF_AUTO(base, ReadShareMap(json["base"]));
  BOOST_LEAF_AUTO(earlier, ReadShareMap(json["earlier"]));
  ShiftProgress progress{.service = ServiceId(service),
                         .revision = Revision(revision),
                         .step = static_cast<std::uint32_t>(step),
                         .plan = plan,
                         .remaining = static_cast<std::uint32_t>(remaining),
                         .declared = std::move(declared),
                         .base = std::move(base),
                         .earlier = std::move(earlier)};
  if (!IsConsistent(progress))
    return leaf::new_error(SteerWireError::kNoShareMap);
  return progress;
}

leaf::result<FleetProgress> FleetProgressFromJson(const Json::Value& json,
                                                  TimePoint now) {
  if (auto members =
          CheckMembers(json, {"plan", "remaining", "age_ms", "least_remaining",
                              "traffic", "moved_traffic"});
      !members)
    return members.error();
  BOOST_LEAF_AUTO(plan, ReadHex(json["plan"]));
  BOOST_LEAF_AUTO(remaining, ReadCount(json["remaining"], kWholeShare));
  BOOST_LEAF_AUTO(age, ReadCount(json["age_ms"], kMostAgeMs));
  BOOST_LEAF_AUTO(min, ReadCount(json["least_remaining"], remaining));
  BOOST_LEAF_AUTO(traffic, ReadCount(json["traffic"], kMostTraffic));
  FleetProgress progress{.plan = plan,
                         .remaining = static_cast<std::uint32_t>(remaining),
                         .reported_at = now - std::chrono::milliseconds(age),
                         .min_remaining = static_cast<std::uint32_t>(min),
                         .traffic = traffic};
  const Json::Value& moved = json["moved_traffic"];
  if (!moved.isArray() || moved.size() != kStepCheckpoints)
    return leaf::new_error(SteerWireError::kIllTypedMember);
  for (Json::ArrayIndex i = 0; i < moved.size(); ++i) {
    BOOST_LEAF_ASSIGN(progress.moved_traffic[i],
                      ReadCount(moved[i], kMostTraffic));
  }
  return progress;
}

}  // namespace comfreyvane
