#include "comfreyvane/once/request_ledger.h"

#include "comfreyvane/once/once_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::seconds;

namespace {

constexpr RequestId kRequest(7);
const HostId kHost = HostId::Of("host");

TicketTerms Terms(std::uint64_t incarnation = 1) {
  return {.host = kHost,
          .incarnation = Incarnation(incarnation),
          .start = kStart,
          .epoch_length = seconds(10),
          .lifetime_epochs = 6};
}

/// An issuer and the ledger of the same incarnation.
struct Host {
  FakeIssuer issuer{Terms(), FakeSigner{5}};
  RequestLedger ledger{Terms(), 4};

  VerifiedTicket Ticket(TimePoint now = kStart) {
    return std::get<VerifiedTicket>(Verify(issuer, issuer.Issue(now)));
  }
};

bool IsRefusal(const LedgerAnswer& answer,
               RefusalReason reason,
               RunState state) {
  const auto* refusal = std::get_if<Refusal>(&answer);
  return refusal != nullptr && refusal->reason == reason &&
         refusal->run_state == state;
}

}  // namespace

Test(request_ticket, is_verified_only_by_its_issuer) {
  FakeIssuer issuer(Terms(), FakeSigner{5});
  const RequestTicket good = issuer.Issue(kStart);
  cr_expect(std::holds_alternative<VerifiedTicket>(Verify(issuer, good)));
  struct Case {
    RequestTicket ticket;
    RefusalReason reason;
  };
  Case other_host{good, RefusalReason::kWrongHost};
  other_host.ticket.host = HostId::Of("other");
  Case earlier{good, RefusalReason::kOutcomeUnknown};
  earlier.ticket.incarnation = Incarnation(0);
  Case invented{good, RefusalReason::kMalformedRequest};
  invented.ticket.serial += 1;
  Case renewed{good, RefusalReason::kMalformedRequest};
  renewed.ticket.epoch += 1;
  for (const Case& each : {other_host, earlier, invented, renewed}) {
    const auto verified = Verify(issuer, each.ticket);
    cr_assert(std::holds_alternative<Refusal>(verified));
    cr_expect(std::get<Refusal>(verified).reason == each.reason);
    cr_expect(std::get<Refusal>(verified).run_state == RunState::kUnknown);
  }
  const FakeIssuer same_number(Terms(), FakeSigner{6});
  cr_expect(std::holds_alternative<Refusal>(Verify(same_number, good)));
}

Test(request_ticket, round_trips_through_text) {
  FakeIssuer issuer(Terms(), FakeSigner{5}, 3, 8);
  const RequestTicket ticket = issuer.Issue(kStart + seconds(25));
  cr_expect(ticket.serial % 8 == 3 && issuer.Issue(kStart).serial == 11);
  const auto read =
      ValueOf<RequestTicket>([&] { return ParseTicket(ToText(ticket)); });
  cr_assert(std::holds_alternative<RequestTicket>(read));
  cr_expect(std::get<RequestTicket>(read) == ticket);
  const std::string text = ToText(ticket);
  for (const std::string& bad :
       {std::string(), text + "0", text.substr(1), "x" + text.substr(1),
        std::string(text).replace(16, 1, "0"), "G" + text.substr(1)}) {
    cr_expect(std::holds_alternative<Refusal>(
        ValueOf<RequestTicket>([&] { return ParseTicket(bad); })));
  }
}

Test(request_ledger, answers_according_to_the_state_of_the_request) {
  enum class Step {
    kBegin,
    kDispatch,
    kNotRun,
    kEndNotRun,
    kEndUnknown,
    kEndRan
  };
  struct Case {
    std::vector<Step> before;
    LedgerAnswer answer;
    RunState reported;
  };
  const Refusal unknown{RefusalReason::kOutcomeUnknown, RunState::kUnknown};
  for (const Case& each : {
           Case{{}, FirstSubmission{}, RunState::kNotRun},
           Case{{Step::kBegin}, InProgress{}, RunState::kUnknown},
           Case{{Step::kBegin, Step::kDispatch},
                InProgress{},
                RunState::kUnknown},
           Case{{Step::kBegin, Step::kEndNotRun},
                FirstSubmission{},
                RunState::kNotRun},
           Case{
               {Step::kBegin, Step::kDispatch, Step::kNotRun, Step::kEndNotRun},
               FirstSubmission{},
               RunState::kNotRun},
           Case{{Step::kBegin, Step::kDispatch, Step::kEndNotRun},
                unknown,
                RunState::kUnknown},
           Case{{Step::kBegin, Step::kDispatch, Step::kEndUnknown},
                unknown,
                RunState::kUnknown},
           Case{{Step::kBegin, Step::kDispatch, Step::kEndRan},
                AlreadyRan{201},
                RunState::kRan},
           Case{
               {Step::kBegin, Step::kDispatch, Step::kEndRan, Step::kEndNotRun},
               AlreadyRan{201},
               RunState::kRan},
       }) {
    Host host;
    const VerifiedTicket ticket = host.Ticket();
    for (const Step step : each.before) {
      if (step == Step::kBegin)
        cr_assert(host.ledger.Begin(ticket, kRequest, kStart) ==
                  LedgerAnswer(FirstSubmission{}));
      if (step == Step::kDispatch)
        cr_assert(host.ledger.MarkDispatched(ticket, kStart));
      if (step == Step::kNotRun)
        host.ledger.OnAttemptNotRun(ticket);
      if (step == Step::kEndNotRun)
        host.ledger.Finish(ticket, {RunState::kNotRun}, kStart);
      if (step == Step::kEndUnknown)
        host.ledger.Finish(ticket, {RunState::kUnknown}, kStart);
      if (step == Step::kEndRan)
        host.ledger.Finish(ticket, {RunState::kRan, 201}, kStart);
    }
    cr_expect(host.ledger.RunStateOf(ticket, kStart) == each.reported);
    cr_expect(host.ledger.Begin(ticket, kRequest, kStart) == each.answer);
  }
}

Test(request_ledger, a_run_can_be_claimed_once) {
  Host host;
  const VerifiedTicket ticket = host.Ticket();
  cr_expect(!host.ledger.MarkDispatched(ticket, kStart));
  cr_assert(host.ledger.Begin(ticket, kRequest, kStart) ==
            LedgerAnswer(FirstSubmission{}));
  cr_expect(host.ledger.MarkDispatched(ticket, kStart));
  cr_expect(!host.ledger.MarkDispatched(ticket, kStart));
  host.ledger.OnAttemptNotRun(ticket);
  cr_expect(host.ledger.MarkDispatched(ticket, kStart));
  host.ledger.Finish(ticket, {RunState::kRan, 200}, kStart);
  cr_expect(!host.ledger.MarkDispatched(ticket, kStart));
  host.ledger.OnAttemptNotRun(ticket);
  cr_expect(!host.ledger.MarkDispatched(ticket, kStart));
}

Test(request_ledger, refuses_a_ticket_of_a_later_epoch) {
  Host host;
  const VerifiedTicket ticket = host.Ticket(kStart + seconds(30));
  cr_expect(IsRefusal(host.ledger.Begin(ticket, kRequest, kStart),
                      RefusalReason::kOutcomeUnknown, RunState::kUnknown));
}

Test(request_ledger, refuses_a_ticket_used_for_another_request) {
  Host host;
  const VerifiedTicket ticket = host.Ticket();
  cr_assert(host.ledger.Begin(ticket, kRequest, kStart) ==
            LedgerAnswer(FirstSubmission{}));
  cr_expect(IsRefusal(host.ledger.Begin(ticket, RequestId(8), kStart),
                      RefusalReason::kMalformedRequest, RunState::kUnknown));
}

Test(request_ledger, a_paused_process_does_not_dispatch_an_expired_ticket) {
  Host host;
  const VerifiedTicket ticket = host.Ticket();
  cr_assert(host.ledger.Begin(ticket, kRequest, kStart) ==
            LedgerAnswer(FirstSubmission{}));
  const TimePoint late = kStart + seconds(70);
  cr_expect(host.ledger.MayDispatch(ticket, late - seconds(1)));
  cr_expect(!host.ledger.MayDispatch(ticket, late));
  cr_expect(!host.ledger.MarkDispatched(ticket, late));
}

Test(request_ledger, refuses_an_expired_ticket) {
  for (const bool ran : {false, true}) {
    Host host;
    const VerifiedTicket ticket = host.Ticket();
    if (ran) {
      cr_assert(host.ledger.Begin(ticket, kRequest, kStart) ==
                LedgerAnswer(FirstSubmission{}));
      cr_assert(host.ledger.MarkDispatched(ticket, kStart));
      host.ledger.Finish(ticket, {RunState::kRan, 200}, kStart);
    }
    const TimePoint late = kStart + seconds(70);
    host.ledger.Expire(late);
    cr_expect(host.ledger.size() == 0);
    cr_expect(IsRefusal(host.ledger.Begin(ticket, kRequest, late),
                        RefusalReason::kOutcomeUnknown, RunState::kUnknown));
    cr_expect(host.ledger.RunStateOf(ticket, late) == RunState::kUnknown);
  }
}

Test(request_ledger, refuses_when_full_until_entries_expire) {
  Host host;
  for (int i = 0; i < 4; ++i)
    cr_assert(host.ledger.Begin(host.Ticket(), kRequest, kStart) ==
              LedgerAnswer(FirstSubmission{}));
  cr_expect(host.ledger.unfinished() == 4);
  const VerifiedTicket one_more = host.Ticket(kStart + seconds(15));
  cr_expect(
      IsRefusal(host.ledger.Begin(one_more, kRequest, kStart + seconds(15)),
                RefusalReason::kRecordFull, RunState::kNotRun));
  cr_expect(host.ledger.Begin(one_more, kRequest, kStart + seconds(70)) ==
            LedgerAnswer(FirstSubmission{}));
  cr_expect(host.ledger.size() == 1 && host.ledger.unfinished() == 1);
}
