#include "comfreyvane/once/store_record_core.h"

#include "comfreyvane/once/fake_table.h"
#include "comfreyvane/once/once_fixture.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const ServiceId kService = ServiceId::Of("incentive-payments");
const WorkspaceId kWorkspace = WorkspaceId::Of("workspace");
constexpr RequestId kRequest(7);

/// Behaviour of the table in the following calls.
enum class Mode { kUp, kDown, kLosesReplies, kLosesTransactionIds };

/// A StoreRecordCore connected to a table.
class Host {
 public:
  Host(FakeTable& table, std::uint64_t id, StoreRecordLimits limits = {})
      : table_(table),
        core_(kService, HostId(id), Incarnation(1), limits, id, kStart) {
    PerformActions();
  }

  void Begin(const RecordName& name, RequestId request = kRequest) {
    core_.Begin(name, request, now_ + seconds(5), now_);
    PerformActions();
  }

  void Finish(const RecordName& name, RunOutcome end) {
    core_.Finish(name, end, now_);
    PerformActions();
  }

  void Wait(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      now_ = std::min(end,
                      now_ + std::max<Duration>(milliseconds(10), span / 1000));
      core_.OnTick(now_);
      PerformActions();
    }
  }

  RecordName Name() { return *core_.IssueName(kWorkspace); }
  LedgerAnswer TakeAnswer() { return std::exchange(answer_, InProgress{}); }
  StoreRecordCore& core() { return core_; }
  TimePoint now() const { return now_; }
  void SetMode(Mode mode) { mode_ = mode; }

 private:
  void PerformActions() {
    for (int round = 0; round < 20; ++round) {
      for (const StoreRecordAction& action : core_.TakeActions())
        std::visit([&](const auto& what) { Perform(what); }, action);
    }
  }

  void Perform(const CommitTransaction& commit) {
    TableOutcome outcome{
        commit.transaction.id, TableStatus::kUnavailable, {}, {}};
    if (mode_ != Mode::kDown)
      outcome = table_.Commit(commit.transaction);
    if (mode_ == Mode::kLosesTransactionIds)
      table_.ClearTransactionIds();
    if (mode_ == Mode::kLosesReplies || mode_ == Mode::kLosesTransactionIds)
      outcome = {commit.transaction.id, TableStatus::kUnknown, {}, {}};
    core_.OnOutcome(outcome, now_);
  }

  void Perform(const ReadRecords& read) {
    core_.OnReading(read.read, Reading(table_.Read(read.keys)), now_);
  }

  void Perform(const ScanRecords& scan) {
    core_.OnReading(scan.read, Reading(table_.Scan(scan.prefix)), now_);
  }

  void Perform(const AnswerSubmission& answer) { answer_ = answer.answer; }

  TableReading Reading(TableReading reading) const {
    return mode_ == Mode::kUp ? reading : TableReading{};
  }

  FakeTable& table_;
  StoreRecordCore core_;
  TimePoint now_ = kStart;
  Mode mode_ = Mode::kUp;
  LedgerAnswer answer_ = InProgress{};
};

bool IsRefusal(const LedgerAnswer& answer,
               RefusalReason reason,
               RunState state) {
  const auto* refusal = std::get_if<Refusal>(&answer);
  return refusal != nullptr && refusal->reason == reason &&
         refusal->run_state == state;
}

bool IsFirstSubmission(const LedgerAnswer& answer) {
  return std::holds_alternative<FirstSubmission>(answer);
}

}  // namespace

Test(store_record, runs_a_request_once_across_hosts) {
  struct Case {
    RunOutcome end;
    LedgerAnswer resend;
  };
  const Refusal unknown{RefusalReason::kOutcomeUnknown, RunState::kUnknown};
  for (const Case& each : {Case{{RunState::kRan, 201}, AlreadyRan{201}},
                           Case{{RunState::kUnknown}, unknown},
                           Case{{RunState::kNotRun}, unknown}}) {
    FakeTable table;
    Host first(table, 1);
    Host second(table, 2);
    const RecordName name = first.Name();
    first.Begin(name);
    cr_assert(IsFirstSubmission(first.TakeAnswer()));
    cr_expect(first.core().RunStateOf(name) == RunState::kNotRun);
    second.Begin(name);
    cr_expect(second.TakeAnswer() == LedgerAnswer(unknown));
    cr_assert(first.core().MarkDispatched(name, first.now()));
    cr_expect(!first.core().MarkDispatched(name, first.now()));
    cr_expect(first.core().RunStateOf(name) == RunState::kUnknown);
    first.Finish(name, each.end);
    second.Begin(name);
    cr_expect(second.TakeAnswer() == each.resend);
  }
}

Test(store_record, a_request_that_did_not_run_can_be_resent) {
  FakeTable table;
  Host first(table, 1);
  Host second(table, 2);
  const RecordName name = first.Name();
  first.Begin(name);
  cr_assert(IsFirstSubmission(first.TakeAnswer()));
  first.Finish(name, {RunState::kNotRun});
  cr_expect(!first.core().MayDispatch(name, first.now()));
  second.Begin(name);
  cr_expect(IsFirstSubmission(second.TakeAnswer()));
}

Test(store_record, recognises_its_own_insert_after_a_lost_reply) {
  for (const Mode mode : {Mode::kLosesReplies, Mode::kLosesTransactionIds}) {
    FakeTable table;
    Host host(table, 1);
    const RecordName name = host.Name();
    host.SetMode(mode);
    host.Begin(name);
    cr_expect(host.TakeAnswer() == LedgerAnswer(InProgress{}));
    cr_expect(host.core().waiting() == 1 && host.core().is_store_down());
    host.SetMode(Mode::kUp);
    host.Wait(seconds(3));
    cr_expect(IsFirstSubmission(host.TakeAnswer()));
    cr_expect(host.core().recorded() == 1);
  }
}

Test(store_record, refuses_at_the_deadline_while_the_store_is_down) {
  for (const Mode mode : {Mode::kDown, Mode::kLosesReplies}) {
    FakeTable table;
    Host host(table, 1);
    const RecordName name = host.Name();
    host.SetMode(mode);
    host.Begin(name);
    host.Wait(milliseconds(4900));
    cr_expect(host.core().waiting() == 1);
    host.Wait(milliseconds(200));
    cr_expect(IsRefusal(host.TakeAnswer(), RefusalReason::kRecordUnavailable,
                        RunState::kUnknown));
    cr_expect(!host.core().MayDispatch(name, host.now()));
    host.SetMode(Mode::kUp);
    host.Wait(seconds(5));
    cr_expect(host.core().pending_writes() == 0);
    host.Begin(name);
    cr_expect(IsFirstSubmission(host.TakeAnswer()),
              "its own row must be deleted");
  }
}

Test(store_record, a_paused_owner_does_not_dispatch_after_the_deadline) {
  FakeTable table;
  Host host(table, 1);
  const RecordName name = host.Name();
  host.Begin(name);
  cr_assert(IsFirstSubmission(host.TakeAnswer()));
  cr_expect(!host.core().MarkDispatched(name, host.now() + seconds(5)));
  cr_expect(host.core().MarkDispatched(name, host.now() + seconds(4)));
}

Test(store_record, refuses_a_name_used_for_another_request) {
  FakeTable table;
  Host host(table, 1);
  Host other(table, 2);
  const RecordName name = host.Name();
  host.Begin(name);
  host.Begin(name);
  cr_expect(host.TakeAnswer() == LedgerAnswer(InProgress{}));
  for (Host* each : {&host, &other}) {
    each->Begin(name, RequestId(8));
    cr_expect(IsRefusal(each->TakeAnswer(), RefusalReason::kMalformedRequest,
                        RunState::kUnknown));
  }
}

Test(store_record, refuses_submissions_above_its_capacity) {
  FakeTable table;
  StoreRecordLimits limits;
  limits.capacity = 2;
  Host host(table, 1, limits);
  for (int i = 0; i < 2; ++i) {
    host.Begin(host.Name());
    cr_assert(IsFirstSubmission(host.TakeAnswer()));
  }
  host.Begin(host.Name());
  cr_expect(IsRefusal(host.TakeAnswer(), RefusalReason::kRecordFull,
                      RunState::kUnknown));
}

Test(store_record, rows_are_deleted_only_after_their_epoch_is_refused) {
  FakeTable table;
  Host host(table, 1);
  Host other(table, 2);
  const RecordName name = host.Name();
  cr_expect(name.epoch == 1);
  host.Begin(name);
  cr_assert(IsFirstSubmission(host.TakeAnswer()));
  cr_assert(host.core().MarkDispatched(name, host.now()));
  host.Finish(name, {RunState::kRan, 200});
  host.Wait(minutes(11));
  cr_expect(host.core().epoch() == 2);
  host.Begin(name);
  cr_expect(host.TakeAnswer() == LedgerAnswer(AlreadyRan{200}));
  host.Wait(minutes(11));
  cr_expect(host.core().epoch() == 3);
  cr_expect(table.Row(RowKey(name)).revision == Revision());
  for (Host* each : {&host, &other}) {
    each->Begin(name);
    cr_expect(IsRefusal(each->TakeAnswer(), RefusalReason::kOutcomeUnknown,
                        RunState::kUnknown));
  }
}

Test(store_record, issues_no_name_before_the_epoch_is_known) {
  StoreRecordCore core(kService, HostId(1), Incarnation(1), {}, 1, kStart);
  cr_expect(!core.IssueName(kWorkspace).has_value());
  cr_expect(core.epoch() == 0);
}

Test(store_record, names_and_rows_round_trip_through_text) {
  const RecordName name{kService, kWorkspace, 3, HostId(4), Incarnation(5), 6};
  const auto read =
      ValueOf<RecordName>([&] { return ParseRecordName(ToText(name)); });
  cr_assert(std::holds_alternative<RecordName>(read));
  cr_expect(std::get<RecordName>(read) == name);
  const StoreRecord record{kRequest, HostId(1), Incarnation(2), 3, true, 201};
  cr_expect(ParseRowValue(ToRowValue(record)) == record);
  cr_expect(!ParseRowValue("started").has_value());
}
