#include "comfreyvane/gateway/carried_codec.h"

#include "comfreyvane/gateway/carried_guard.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

namespace http = boost::beast::http;

constexpr const char* kSecret = "secret";

CarriedMark Mark() {
  return {"edge-1", 11, 7, "edge-2", 22, "west", ServiceId::Of("capture"), 1};
}

http::request_header<> MarkedHead() {
  http::request_header<> head;
  head.version(11);
  head.method(http::verb::post);
  head.target("/a?b=c");
  head.set(http::field::host, "h");
  head.set("X-Request-Id", "r1");
  head.set("X-Deadline-Ms", "900");
  head.set(kCarriedMarkField, EncodeCarriedMark(Mark()));
  head.set(kCarriedCodeField, CarriedCodeOf(head, "body", kSecret));
  return head;
}

}  // namespace

Test(carried_codec, encodes_and_decodes_marks_and_verdicts) {
  cr_expect(ParseCarriedMark(EncodeCarriedMark(Mark())) == Mark());
  for (const CarriedVerdict& verdict :
       {CarriedVerdict{RunState::kNotRun, RefusalReason::kQueueFull, 2,
                       std::chrono::milliseconds(150)},
        CarriedVerdict{RunState::kRan, RefusalReason::kInternal, 1, {}},
        CarriedVerdict{
            RunState::kUnknown, RefusalReason::kBackendClosed, 1, {}}})
    cr_expect(ParseCarriedVerdict(EncodeCarriedVerdict(verdict)) == verdict);
  for (const char* text : {"", "{", "[]", "{}", "{\"origin\":1}"}) {
    cr_expect(!ParseCarriedMark(text), "%s", text);
    cr_expect(!ParseCarriedVerdict(text), "%s", text);
  }
}

Test(carried_codec, a_code_covers_all_that_a_carrier_acts_upon) {
  cr_expect(HasCarriedCode(MarkedHead(), "body", kSecret));
  cr_expect(!HasCarriedCode(MarkedHead(), "other", kSecret));
  cr_expect(!HasCarriedCode(MarkedHead(), "body", "guess"));
  cr_expect(!HasCarriedCode(MarkedHead(), "body", ""));
  auto changed = MarkedHead();
  changed.target("/a?b=d");
  cr_expect(!HasCarriedCode(changed, "body", kSecret));
  changed = MarkedHead();
  changed.set("X-Deadline-Ms", "90000");
  cr_expect(!HasCarriedCode(changed, "body", kSecret));
  changed = MarkedHead();
  changed.insert("Authorization", "Bearer other");
  cr_expect(!HasCarriedCode(changed, "body", kSecret));
  changed = MarkedHead();
  changed.set(http::field::content_length, "4");
  changed.set(http::field::connection, "keep-alive");
  cr_expect(HasCarriedCode(changed, "body", kSecret),
            "framing changes on the way");
}

Test(carried_guard, admits_a_mark_once_and_in_one_run_of_both_hosts) {
  CarriedGuard guard("edge-2", 22);
  cr_expect(guard.Accept(Mark(), std::nullopt) == CarriedAdmission::kOtherRun,
            "nothing has been heard from the origin");
  cr_expect(guard.Accept(Mark(), 11) == CarriedAdmission::kAccepted);
  cr_expect(guard.Accept(Mark(), 11) == CarriedAdmission::kRepeated);
  CarriedMark other = Mark();
  other.sequence = 6;
  cr_expect(guard.Accept(other, 11) == CarriedAdmission::kAccepted);
  cr_expect(guard.Accept(Mark(), 12) == CarriedAdmission::kOtherRun,
            "the origin has restarted");
  other = Mark();
  other.carrier_incarnation = 21;
  cr_expect(guard.Accept(other, 11) == CarriedAdmission::kOtherRun,
            "this host has restarted");
  other = Mark();
  other.carrier = "edge-3";
  cr_expect(guard.Accept(other, 11) == CarriedAdmission::kOtherRun);
  CarriedGuard restarted("edge-2", 23);
  cr_expect(restarted.Accept(Mark(), 11) == CarriedAdmission::kOtherRun);
}
