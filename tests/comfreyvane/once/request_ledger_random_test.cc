#include <map>
#include <memory>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/once/once_fixture.h"
#include "comfreyvane/once/request_ledger.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::seconds;

namespace {

constexpr int kSchedules = 10000;
constexpr int kSteps = 80;
constexpr std::size_t kHosts = 3;

/// One incarnation of a host.
struct Process {
  Process(std::size_t host, std::uint64_t incarnation, TimePoint now)
      : terms{.host = HostId(1 + host),
              .incarnation = Incarnation(incarnation),
              .start = now,
              .epoch_length = seconds(5),
              .lifetime_epochs = 4},
        issuer(terms, FakeSigner{incarnation * kHosts + host}),
        ledger(terms, 6) {}

  TicketTerms terms;
  FakeIssuer issuer;
  RequestLedger ledger;
};

/// A request that a process is handling. The process may be paused at any
/// moment.
struct Handling {
  std::shared_ptr<Process> process;
  RequestTicket ticket;
  VerifiedTicket verified;
  bool dispatched = false;
  bool reached = false;  ///< The backend server has run the attempt.
};

/// Hosts that are replaced at random, and callers that resend to any host.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(seed) {
    for (std::size_t host = 0; host < kHosts; ++host)
      Restart(host);
  }

  void Step() {
    now_ += seconds(random_.Below(8) == 0 ? random_.Below(30) : 0);
    switch (random_.Below(12)) {
      case 0:
        Restart(random_.Below(kHosts));
        break;
      case 1:
      case 2:
        tickets_.push_back(Any()->issuer.Issue(now_));
        break;
      case 3:
      case 4:
      case 5:
        Submit();
        break;
      default:
        Advance();
        break;
    }
    for (const auto& process : hosts_)
      cr_assert(process->ledger.size() <= process->ledger.capacity());
  }

 private:
  std::shared_ptr<Process> Any() { return hosts_[random_.Below(kHosts)]; }

  /// The handlings keep the old process, which may be paused and resume later.
  void Restart(std::size_t host) {
    hosts_[host] = std::make_shared<Process>(host, ++incarnation_, now_);
  }

  void Submit() {
    if (tickets_.empty())
      return;
    const RequestTicket ticket = tickets_[random_.Below(tickets_.size())];
    const auto process = Any();
    const auto verified = Verify(process->issuer, ticket);
    if (const auto* refusal = std::get_if<Refusal>(&verified)) {
      CheckReportedState(ticket, refusal->run_state);
      return;
    }
    const auto good = std::get<VerifiedTicket>(verified);
    CheckReportedState(ticket, process->ledger.RunStateOf(good, now_));
    const LedgerAnswer answer =
        process->ledger.Begin(good, RequestId(ticket.serial), now_);
    if (std::holds_alternative<FirstSubmission>(answer))
      handlings_.push_back({process, ticket, good});
    if (const auto* refusal = std::get_if<Refusal>(&answer))
      CheckReportedState(ticket, refusal->run_state);
    if (std::holds_alternative<AlreadyRan>(answer))
      cr_assert(runs_[ticket.serial * 1000 + ticket.incarnation.value()] == 1);
  }

  void Advance() {
    if (handlings_.empty())
      return;
    const std::size_t index = random_.Below(handlings_.size());
    Handling& handling = handlings_[index];
    RequestLedger& ledger = handling.process->ledger;
    if (!handling.dispatched) {
      handling.dispatched = ledger.MarkDispatched(handling.verified, now_);
      if (!handling.dispatched || random_.Below(6) == 0)
        End(index, RunState::kNotRun);
      else if (random_.Below(4) != 0)
        Run(handling);
      return;
    }
    if (!handling.reached && random_.Below(2) == 0) {
      ledger.OnAttemptNotRun(handling.verified);
      handling.dispatched = false;
      if (random_.Below(2) == 0)
        End(index, RunState::kNotRun);
      return;
    }
    const bool answered = handling.reached && random_.Below(2) == 0;
    End(index, answered ? RunState::kRan : RunState::kUnknown);
  }

  void Run(Handling& handling) {
    handling.reached = true;
    const int runs = ++runs_[handling.ticket.serial * 1000 +
                             handling.ticket.incarnation.value()];
    cr_assert(runs == 1, "a request ran twice");
  }

  void End(std::size_t index, RunState state) {
    Handling& handling = handlings_[index];
    RequestLedger& ledger = handling.process->ledger;
    ledger.Finish(handling.verified, {state, 200}, now_);
    CheckReportedState(handling.ticket,
                       ledger.RunStateOf(handling.verified, now_));
    handlings_.erase(handlings_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void CheckReportedState(const RequestTicket& ticket, RunState reported) {
    const int runs = runs_[ticket.serial * 1000 + ticket.incarnation.value()];
    cr_assert(reported != RunState::kNotRun || runs == 0,
              "reported as not run, but it ran");
    cr_assert(reported != RunState::kRan || runs == 1);
  }

  RandomSource random_;
  TimePoint now_ = kStart;
  std::uint64_t incarnation_ = 0;
  std::array<std::shared_ptr<Process>, kHosts> hosts_;
  std::vector<RequestTicket> tickets_;
  std::vector<Handling> handlings_;
  std::map<std::uint64_t, int> runs_;
};

}  // namespace

Test(request_ledger_random, never_runs_twice_and_reports_true_run_states) {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(seed);
    for (int step = 0; step < kSteps; ++step)
      schedule.Step();
  }
}
