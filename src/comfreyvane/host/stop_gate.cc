#include "comfreyvane/host/stop_gate.h"

#include <utility>

namespace comfreyvane {

StopGate::StopGate(const StopSettings& settings, Sink sink)
    : core_(settings), sink_(std::move(sink)) {}

std::optional<Refusal> StopGate::TryStart() {
  const std::lock_guard lock(mutex_);
  if (auto refusal = core_.RefusalForNewRequest())
    return refusal;
  core_.OnRequestStarted();
  return std::nullopt;
}

void StopGate::Finish(TimePoint now) {
  StopActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = core_.OnRequestFinished(now);
  }
  Emit(std::move(actions));
}

void StopGate::Stop(TimePoint now) {
  StopActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = core_.Stop(now);
  }
  Emit(std::move(actions));
}

void StopGate::OnTick(TimePoint now) {
  StopActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = core_.OnTick(now);
  }
  Emit(std::move(actions));
}

void StopGate::OnLeasesReturned(TimePoint now) {
  StopActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = core_.OnLeasesReturned(now);
  }
  Emit(std::move(actions));
}

StopPhase StopGate::phase() const {
  const std::lock_guard lock(mutex_);
  return core_.phase();
}

std::uint64_t StopGate::running() const {
  const std::lock_guard lock(mutex_);
  return core_.running();
}

void StopGate::Emit(StopActions actions) {
  if (!actions.empty())
    sink_(std::move(actions));
}

}  // namespace comfreyvane
