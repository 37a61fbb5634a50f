#include <array>
#include <map>
#include <memory>
#include <vector>

#include "comfreyvane/once/fake_table.h"
#include "comfreyvane/once/store_record_core.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kSchedules = 10000;
constexpr int kSteps = 150;
constexpr std::size_t kHosts = 3;
const ServiceId kService(9);

struct Handling {
  RecordName name;
  bool dispatched = false;
  bool reached = false;
};

/// One incarnation of a host with its calls to the table in flight.
struct Process {
  Process(std::size_t host,
          std::uint64_t incarnation,
          const StoreRecordLimits& limits,
          TimePoint now)
      : core(kService,
             HostId(1 + host),
             Incarnation(incarnation),
             limits,
             incarnation,
             now) {}

  StoreRecordCore core;
  std::vector<StoreRecordAction> calls;
  std::vector<Handling> handlings;
};

/// Hosts that share one table, which may be down, lose replies or apply writes
/// late.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(seed) {
    limits_.capacity = 6;
    limits_.epoch_length = seconds(20);
    limits_.delete_batch = 2;
    for (std::size_t host = 0; host < kHosts; ++host)
      Restart(host);
  }

  void Step() {
    now_ += milliseconds(random_.Below(random_.Below(20) == 0 ? 30000 : 300));
    down_ = random_.Below(12) == 0 ? !down_ : down_;
    Process& process = Any();
    switch (random_.Below(14)) {
      case 0:
        if (random_.Below(4) == 0)
          Restart(random_.Below(kHosts));
        break;
      case 1:
        Issue(process);
        break;
      case 2:
      case 3:
        Submit(process);
        break;
      case 4:
      case 5:
        process.core.OnTick(now_);
        cr_assert(process.core.NextDue() > now_,
                  "work is still due after a tick");
        break;
      case 6:
      case 7:
      case 8:
        Advance(process);
        break;
      case 9:
        ApplyDelayedCommit();
        break;
      default:
        AnswerCall(process);
        break;
    }
    for (const auto& each : processes_)
      HandleActions(*each);
  }

 private:
  /// @return a random process, possibly one that was replaced while paused.
  Process& Any() {
    const std::size_t index = random_.Below(4) == 0
                                  ? random_.Below(processes_.size())
                                  : hosts_[random_.Below(kHosts)];
    return *processes_[index];
  }

  void Restart(std::size_t host) {
    hosts_[host] = processes_.size();
    processes_.push_back(
        std::make_unique<Process>(host, processes_.size(), limits_, now_));
  }

  void Issue(Process& process) {
    if (const auto name = process.core.IssueName(WorkspaceId(1)))
      names_.push_back(*name);
  }

  void Submit(Process& process) {
    if (names_.empty())
      return;
    const RecordName name = names_[random_.Below(names_.size())];
    process.core.Begin(name, RequestId(name.serial),
                       now_ + milliseconds(random_.Below(20000)), now_);
  }

  void HandleActions(Process& process) {
    for (const StoreRecordAction& action : process.core.TakeActions()) {
      const auto* answer = std::get_if<AnswerSubmission>(&action);
      if (answer == nullptr) {
        process.calls.push_back(action);
        continue;
      }
      if (std::holds_alternative<FirstSubmission>(answer->answer))
        process.handlings.push_back({answer->name});
      if (const auto* refusal = std::get_if<Refusal>(&answer->answer))
        CheckReportedState(answer->name, refusal->run_state);
      if (std::holds_alternative<AlreadyRan>(answer->answer))
        cr_assert(runs_[answer->name] == 1);
    }
  }

  void AnswerCall(Process& process) {
    if (process.calls.empty())
      return;
    const std::size_t index = random_.Below(process.calls.size());
    const StoreRecordAction action = process.calls[index];
    process.calls.erase(process.calls.begin() +
                        static_cast<std::ptrdiff_t>(index));
    if (const auto* commit = std::get_if<CommitTransaction>(&action)) {
      process.core.OnOutcome(Commit(commit->transaction), now_);
    } else if (const auto* read = std::get_if<ReadRecords>(&action)) {
      process.core.OnReading(
          read->read, down_ ? TableReading{} : table_.Read(read->keys), now_);
    } else if (const auto* scan = std::get_if<ScanRecords>(&action)) {
      process.core.OnReading(
          scan->read, down_ ? TableReading{} : table_.Scan(scan->prefix), now_);
    }
  }

  TableOutcome Commit(const TableTransaction& transaction) {
    const TableOutcome unknown{transaction.id, TableStatus::kUnknown, {}, {}};
    if (down_)
      return {transaction.id, TableStatus::kUnavailable, {}, {}};
    switch (random_.Below(6)) {
      case 0:
        static_cast<void>(table_.Commit(transaction));
        return unknown;
      case 1:
        delayed_.push_back(transaction);
        return unknown;
      default:
        return table_.Commit(transaction);
    }
  }

  /// Applies a delayed call whose caller has already treated it as failed.
  void ApplyDelayedCommit() {
    if (delayed_.empty())
      return;
    const std::size_t index = random_.Below(delayed_.size());
    static_cast<void>(table_.Commit(delayed_[index]));
    delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void Advance(Process& process) {
    if (process.handlings.empty())
      return;
    const std::size_t index = random_.Below(process.handlings.size());
    Handling& handling = process.handlings[index];
    if (!handling.dispatched) {
      handling.dispatched = process.core.MarkDispatched(handling.name, now_);
      if (!handling.dispatched)
        End(process, index, RunState::kNotRun);
      else if (random_.Below(4) != 0)
        Run(handling);
      return;
    }
    if (!handling.reached && random_.Below(2) == 0) {
      process.core.OnAttemptNotRun(handling.name);
      handling.dispatched = false;
      End(process, index, RunState::kNotRun);
      return;
    }
    const bool answered = handling.reached && random_.Below(2) == 0;
    End(process, index, answered ? RunState::kRan : RunState::kUnknown);
  }

  void Run(Handling& handling) {
    handling.reached = true;
    cr_assert(++runs_[handling.name] == 1, "a request ran twice");
  }

  void End(Process& process, std::size_t index, RunState state) {
    const RecordName name = process.handlings[index].name;
    CheckReportedState(name, process.core.RunStateOf(name));
    process.core.Finish(name, {state, 200}, now_);
    process.handlings.erase(process.handlings.begin() +
                            static_cast<std::ptrdiff_t>(index));
  }

  void CheckReportedState(const RecordName& name, RunState reported) {
    cr_assert(reported != RunState::kNotRun || runs_[name] == 0,
              "reported as not run, but it ran");
  }

  RandomSource random_;
  StoreRecordLimits limits_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  FakeTable table_;
  bool down_ = false;
  std::vector<std::unique_ptr<Process>> processes_;
  std::array<std::size_t, kHosts> hosts_{};
  std::vector<RecordName> names_;
  std::vector<TableTransaction> delayed_;
  std::map<RecordName, int> runs_;
};

}  // namespace

Test(store_record_random, never_runs_twice_and_reports_true_run_states) {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(seed);
    for (int step = 0; step < kSteps; ++step)
      schedule.Step();
  }
}
