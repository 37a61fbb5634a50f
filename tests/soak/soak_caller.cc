#include "soak/soak_caller.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "comfreyvane/net/clock.h"
#include "soak/look_up.h"

namespace comfreyvane::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kManners = 4;
/// Number of hosts that are asked where to connect.
constexpr int kLookUpTries = 3;
/// Longest pause between two requests.
constexpr std::uint64_t kPauseMs = 30;
constexpr std::size_t kLongBody = 4000;

}  // namespace

SoakCaller::SoakCaller(SoakFleet& fleet, std::size_t number)
    : fleet_(fleet),
      number_(number),
      manner_(static_cast<Manner>(number % kManners)),
      random_(fleet.options().seed * 1000 + number) {}

void SoakCaller::Run(const std::atomic<bool>& stop, RequestEnds& ends) {
  while (!stop) {
    Connect();
    for (RequestEnd& end : Send()) {
      const std::lock_guard lock(ends.mutex);
      ends.all.push_back(std::move(end));
    }
    std::this_thread::sleep_for(milliseconds(random_.Below(kPauseMs)));
  }
}

void SoakCaller::Connect() {
  if (manner_ == Manner::kLookUp)
    LookUp();
  const bool keeps = client_ && client_->is_open() &&
                     (manner_ == Manner::kKeep || manner_ == Manner::kPipeline);
  const bool is_fresh = manner_ == Manner::kLookUp ||
                        (manner_ == Manner::kRandom && random_.Uniform() < 0.2);
  if (keeps || (client_ && client_->is_open() && !is_fresh))
    return;
  const std::size_t host = hosts_.empty()
                               ? random_.Below(fleet_.size())
                               : hosts_[random_.Below(hosts_.size())];
  client_ = std::make_unique<SoakClient>(host, fleet_.caller_port(host));
}

std::vector<RequestEnd> SoakCaller::Send() {
  const bool is_read = random_.Uniform() < 0.5;
  if (manner_ == Manner::kRandom && random_.Uniform() < 0.03)
    return {client_->Abandon(Draw(is_read))};
  if (manner_ != Manner::kPipeline)
    return {client_->Ask(Draw(is_read))};
  std::vector<SoakRequest> requests;
  for (std::uint64_t left = 1 + random_.Below(3); left > 0; --left)
    requests.push_back(Draw(true));
  return client_->AskAll(requests);
}

SoakRequest SoakCaller::Draw(bool is_read) {
  SoakRequest request;
  request.id = std::to_string(number_) + "-" + std::to_string(sent_++);
  request.method = !is_read                   ? Method::kPost
                   : random_.Uniform() < 0.15 ? Method::kHead
                                              : Method::kGet;
  request.is_route_bound = random_.Uniform() < 0.25;
  request.is_workspace_bound = random_.Uniform() < 0.25;
  request.work = milliseconds(5 + random_.Below(60));
  if (fleet_.options().only_planned)
    request.deadline = milliseconds(5000);
  if (random_.Uniform() < 0.05) {
    request.work = fleet_.options().only_planned
                       ? milliseconds(500 + random_.Below(2200))
                       : milliseconds(200 + random_.Below(500));
  }
  request.is_chunked = random_.Uniform() < 0.3;
  if (random_.Uniform() < 0.1)
    request.body_repeats = kLongBody;
  return request;
}

void SoakCaller::LookUp() {
  const TimePoint now = MonotonicNow();
  if (now < look_up_at_)
    return;
  for (int i = 0; i < kLookUpTries; ++i) {
    if (Ask(random_.Below(fleet_.size())))
      return;
  }
}

bool SoakCaller::Ask(std::size_t host) {
  const auto answer = AskForHosts(fleet_.look_up_port(host));
  if (!answer)
    return false;
  std::vector<std::size_t> hosts;
  for (std::size_t i = 0; i < fleet_.size(); ++i) {
    if (std::ranges::count(answer->ports, fleet_.caller_port(i)) > 0)
      hosts.push_back(i);
  }
  if (hosts.empty())
    return false;
  hosts_ = hosts;
  // Some keep an answer for longer than it says.
  const int factor = random_.Uniform() < 0.2 ? 3 : 1;
  look_up_at_ = MonotonicNow() + factor * answer->time_to_live;
  return true;
}

}  // namespace comfreyvane::soak
