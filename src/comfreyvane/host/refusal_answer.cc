#include "comfreyvane/host/refusal_answer.h"

#include <json/value.h>

#include <utility>

#include "comfreyvane/net/header_names.h"
#include "comfreyvane/net/json_text.h"

namespace comfreyvane {
namespace {

namespace http = boost::beast::http;

/// @return whole seconds, rounded up, as Retry-After wants them.
std::int64_t WholeSeconds(Duration duration) {
  return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

}  // namespace

OwnAnswer JsonAnswer(unsigned status,
                     std::string json,
                     const AnswerTerms& terms) {
  OwnAnswer answer(static_cast<http::status>(status), terms.version);
  answer.set(http::field::content_type, "application/json");
  if (!terms.request_id.empty())
    answer.set(kRequestIdField, terms.request_id);
  answer.set(kHostField, terms.host);
  answer.keep_alive(terms.keep_alive);
  answer.body() = std::move(json);
  answer.prepare_payload();
  return answer;
}

OwnAnswer RefusalAnswer(const Refusal& refusal, const AnswerTerms& terms) {
  Json::Value body;
  body["refused"] = std::string(Name(refusal.reason));
  body["run"] = std::string(Name(refusal.run_state));
  body["request"] = std::string(terms.request_id);
  body["host"] = std::string(terms.host);
  const bool has_advice = refusal.retry_after > Duration::zero();
  if (has_advice) {
    body["retry_after_ms"] = Json::Int64{
        std::chrono::ceil<std::chrono::milliseconds>(refusal.retry_after)
            .count()};
  }
  OwnAnswer answer =
      JsonAnswer(HttpStatus(refusal.reason), ToText(body), terms);
  answer.set(kRefusedField, Name(refusal.reason));
  answer.set(kRunField, Name(refusal.run_state));
  if (has_advice)
    answer.set(http::field::retry_after,
               std::to_string(WholeSeconds(refusal.retry_after)));
  return answer;
}

}  // namespace comfreyvane
