#include "election/read_index.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace elmstall::election {

namespace {

/// Seconds. Stands for an event that has not happened yet; older than every limit on age.
constexpr double kFarPast = -1e18;

}  // namespace

double ReadIndex::current_as_of() const { return current_as_of_.value_or(kFarPast); }

double ReadIndex::last_success() const { return last_success_.value_or(kFarPast); }

void ReadIndex::request(double timeout_s, Callback callback) {
  const double now = loop_.now();
  unsent_.push_back({now, now + timeout_s, std::move(callback)});
  send_probe();
}

void ReadIndex::send_probe() {
  if (probe_in_flight_ || unsent_.empty()) return;
  // Users poll continuously. One request for each poll would use up the rate of requests that
  // the state store accepts, which the leader's commits need.
  const double now = loop_.now();
  if (next_probe_at_ && now < *next_probe_at_)
    return probe_timer_.after(*next_probe_at_ - now, [this] { send_probe(); });
  next_probe_at_ = now + min_interval_s_;
  probe_in_flight_ = true;
  store_.get(std::string(store::kProbeKey),
             scope_.wrap([this, reads = std::exchange(unsent_, {})](
                             const store::GetResult& result) mutable {
               on_probe_result(std::move(reads), result);
             }));
}

void ReadIndex::on_probe_result(std::vector<PendingRead> reads, const store::GetResult& result) {
  probe_in_flight_ = false;
  // The key of the probe never exists. The answer that it is missing has the current revision.
  if (result.outcome == store::Outcome::missing) {
    last_success_ = loop_.now();
    for (auto& read : reads) {
      read.required_revision = result.revision;
      awaiting_mirror_.push_back(std::move(read));
    }
  } else {
    for (auto& read : reads) read.callback(nullptr);
  }
  check();
  send_probe();
}

bool ReadIndex::mirror_has_reached(std::uint64_t revision) const {
  return mirror_.loaded() && mirror_.revision() >= revision;
}

void ReadIndex::check() {
  const double now = loop_.now();
  std::vector<PendingRead> ready;
  std::vector<PendingRead> still_waiting;
  for (auto& read : awaiting_mirror_) {
    const bool is_ready = mirror_has_reached(read.required_revision) || read.deadline <= now;
    (is_ready ? ready : still_waiting).push_back(std::move(read));
  }
  awaiting_mirror_ = std::move(still_waiting);
  for (auto& read : ready) {
    const bool current = mirror_has_reached(read.required_revision);
    if (current) current_as_of_ = std::max(current_as_of_.value_or(kFarPast), read.requested_at);
    // The requester no longer waits for a read whose deadline has passed. The process may also have
    // been suspended since the mirror became current, so that the answer would be outdated.
    const LinearizableRead proof(mirror_.revision());
    read.callback(current && now < read.deadline ? &proof : nullptr);
  }
}

}  // namespace elmstall::election
