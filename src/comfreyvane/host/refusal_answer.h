/// @file
/// Answers that are refusals.
#ifndef COMFREYVANE_HOST_REFUSAL_ANSWER_H_
#define COMFREYVANE_HOST_REFUSAL_ANSWER_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "comfreyvane/base/refusal.h"

namespace comfreyvane {

/// What an answer of the host's own says besides its content.
struct AnswerTerms {
  std::string_view request_id;
  std::string_view host;
  bool keep_alive = true;
  unsigned version = 11;
};

using OwnAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// @return a JSON answer with the reason and whether the request has run, in
/// fields and in the body.
[[nodiscard]] OwnAnswer RefusalAnswer(const Refusal& refusal,
                                      const AnswerTerms& terms);

/// @return a JSON answer.
[[nodiscard]] OwnAnswer JsonAnswer(unsigned status,
                                   std::string json,
                                   const AnswerTerms& terms);

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_REFUSAL_ANSWER_H_
