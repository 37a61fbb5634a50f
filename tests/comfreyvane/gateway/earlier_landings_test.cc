/// @file
/// Tests that messages between hosts are read by this build as earlier landings
/// write them, and that those find in this build's all that they need.
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <sstream>
#include <string>

#include "comfreyvane/gateway/carried_codec.h"
#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/gateway/relay_codec.h"
#include "support/criterion.h"
#include "support/landings/samples.h"

using namespace comfreyvane;

namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

/// @return a landing's samples by kind.
std::map<std::string, std::string> SamplesOf(const char* text) {
  std::map<std::string, std::string> samples;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const auto space = line.find(' ');
    samples[line.substr(0, space)] = line.substr(space + 1);
  }
  return samples;
}

/// @return whether a text has all that a sample has, with the same values.
///     Objects may have more fields, and arrays of fields more elements.
bool Covers(const json::value& text, const json::value& sample) {
  if (sample.is_object()) {
    if (!text.is_object())
      return false;
    for (const auto& [name, value] : sample.get_object()) {
      const json::value* const own = text.get_object().if_contains(name);
      if (own == nullptr || !Covers(*own, value))
        return false;
    }
    return true;
  }
  if (!sample.is_array())
    return text == sample;
  const auto& elements = sample.get_array();
  if (!text.is_array() || text.get_array().size() < elements.size())
    return false;
  for (std::size_t i = 0; i < elements.size(); ++i) {
    if (!Covers(text.get_array()[i], elements[i]))
      return false;
  }
  return true;
}

void ExpectCovers(const std::string& text, const std::string& sample) {
  cr_expect(Covers(json::parse(text), json::parse(sample)), "%s\n%s",
            text.c_str(), sample.c_str());
}

}  // namespace

Test(earlier_landings, heartbeats_are_read_both_ways) {
  for (const char* landing : testing::kLandingSamples) {
    const std::string text = SamplesOf(landing).at("heartbeat");
    const auto heartbeat = ParseHeartbeat(text);
    cr_assert(heartbeat.has_value());
    cr_expect(heartbeat->host == "edge-1" && heartbeat->leaving);
    cr_expect(heartbeat->limits.size() == 1 && heartbeat->paths.has_value());
    ExpectCovers(EncodeHeartbeat(*heartbeat), text);
  }
}

Test(earlier_landings, host_rows_are_read_both_ways) {
  for (const char* landing : testing::kLandingSamples) {
    const std::string text = SamplesOf(landing).at("host");
    const auto host = ParseFleetHost(text);
    cr_assert(host.has_value());
    cr_expect(host->name == "edge-1" && host->peer_port == 83);
    ExpectCovers(EncodeFleetHost(*host), text);
  }
}

Test(earlier_landings, relay_messages_are_read_both_ways) {
  for (const char* landing : testing::kLandingSamples) {
    const auto samples = SamplesOf(landing);
    const auto call = ParseRelayCall(samples.at("relay-call"));
    cr_assert(call.has_value());
    // Earlier landings refuse calls with other parameters.
    cr_expect(EncodeRelayCall(*call) == samples.at("relay-call"));
    const auto answer = ParseRelayAnswer(samples.at("relay-answer"));
    cr_assert(answer.has_value());
    cr_expect(answer->feeds[1].rows.size() == 2);
    cr_expect(EncodeRelayAnswer(*answer) == samples.at("relay-answer"));
  }
}

Test(earlier_landings, carried_requests_are_read_both_ways) {
  for (const char* landing : testing::kLandingSamples) {
    const auto samples = SamplesOf(landing);
    const auto mark = ParseCarriedMark(samples.at("mark"));
    cr_assert(mark.has_value());
    ExpectCovers(EncodeCarriedMark(*mark), samples.at("mark"));
    http::request_header<> head;
    head.version(11);
    head.method(http::verb::post);
    head.target("/a?b=c");
    head.set(http::field::host, "h");
    head.set("X-Request-Id", "r1");
    head.set(kCarriedMarkField, samples.at("mark"));
    cr_expect(CarriedCodeOf(head, "body", "secret") == samples.at("mark-code"));
    const auto verdict = ParseCarriedVerdict(samples.at("verdict"));
    cr_assert(verdict.has_value());
    cr_expect(verdict->run_state == RunState::kNotRun);
    ExpectCovers(EncodeCarriedVerdict(*verdict), samples.at("verdict"));
  }
}
